package scheduler

import (
	"time"

	"drumpick/internal/fleet"
)

// TicksPerHeartbeat is the number of ticks per heartbeat interval.
const TicksPerHeartbeat = 8

// Counts returns the numbers of known open jobs and machines.
func (s *Scheduler) Counts() (jobs, machines int) { return len(s.jobs), len(s.fleet.Sorted()) }

// Reconciled reports whether every machine that an earlier term may have used has reported under this
// term or is gone.
func (s *Scheduler) Reconciled() bool { return s.reconciled }

// UnreconciledMachine is a machine that has not reported under this term yet: the address of its
// worker, and the worker's latest known incarnation, at least 1.
type UnreconciledMachine struct {
	Addr        string
	Incarnation uint64
}

// Unreconciled lists the machines that are not reconciled and have a known address.
func (s *Scheduler) Unreconciled() []UnreconciledMachine {
	var list []UnreconciledMachine
	for _, m := range s.fleet.Sorted() {
		if m.AwaitsReconciliation() && m.Addr != "" {
			list = append(list, UnreconciledMachine{m.Addr, max(m.Incarnation, 1)})
		}
	}
	return list
}

// Replan runs a placement pass if anything has changed since the last one.
func (s *Scheduler) Replan(now time.Time) {
	if s.placementStale {
		s.placeWaiting(now)
	}
}

// CloseUnlistedJobs closes the jobs that are missing from a list of all open jobs read at a revision.
func (s *Scheduler) CloseUnlistedJobs(listed func(id string) bool, revision uint64) {
	for id, j := range s.jobs {
		// The list cannot contain a job created after that revision.
		if !listed(id) && j.Revision <= revision {
			s.CloseJob(id)
		}
	}
}

// ObserveDelay records how long an event waited before the leader handled it. The next Tick uses
// the longest delay since the last one.
func (s *Scheduler) ObserveDelay(d time.Duration) { s.maxDelay = max(s.maxDelay, d) }

// SetWatermarksRelaxed sets whether tasks beyond their watermarks may be sent.
func (s *Scheduler) SetWatermarksRelaxed(on bool) { s.watermarks.relaxed = on }

// WatermarksStored reports whether every task that may have been sent is below a stored watermark.
func (s *Scheduler) WatermarksStored() bool {
	stored := s.watermarks.complete
	for _, j := range s.jobs {
		stored = stored && j.watermark.Stored >= j.watermark.Requested
	}
	return stored
}

// IsLatestHeartbeat reports whether the incarnation and sequence number are those of the latest status
// of a machine.
func (s *Scheduler) IsLatestHeartbeat(m *fleet.Machine, incarnation, sequence uint64) bool {
	return s.fleet.Machines[m.Name] == m && m.Incarnation == incarnation && m.Sequence == sequence
}

// UrgentCommands are commands to be sent to a machine's worker at once, before its next heartbeat.
type UrgentCommands struct {
	Addr string
	Body fleet.CommandRequest
}

// TakeUrgentCommands returns the commands to be sent at once, in messages of limited size, and clears the
// set of machines that need them.
func (s *Scheduler) TakeUrgentCommands() []UrgentCommands {
	var calls, unreachable []UrgentCommands
	for name := range s.urgentMachines {
		machine := s.fleet.Machines[name]
		delete(s.urgentMachines, name)
		if machine == nil || machine.Addr == "" || !machine.HasStatus {
			continue
		}
		for _, batch := range machine.AllBatches() {
			body := fleet.CommandRequest{FencingToken: s.term, Incarnation: machine.Incarnation, Commands: batch.Commands}
			call := UrgentCommands{machine.Addr, body}
			if machine.Unreachable() {
				unreachable = append(unreachable, call)
			} else {
				calls = append(calls, call)
			}
		}
	}
	// Calls to unreachable machines may hang, so they come last and delay no others.
	return append(calls, unreachable...)
}
