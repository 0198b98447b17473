package scheduler

import (
	"time"

	"drumpick/internal/fleet"
)

// TicksPerHeartbeat is how many ticks there are in a heartbeat interval.
const TicksPerHeartbeat = 8

// Counts returns how many open jobs and machines are known.
func (s *Scheduler) Counts() (jobs, machines int) { return len(s.jobs), len(s.fleet.Sorted()) }

// Reconciled reports whether every machine that an earlier term may have used has been heard, or is
// gone.
func (s *Scheduler) Reconciled() bool { return s.reconciled }

// UnreconciledMachine is a machine that has not shown that it knows this term: its address, and the
// known incarnation of its worker.
type UnreconciledMachine struct {
	Addr        string
	Incarnation uint64
}

// Unreconciled lists the machines that are not reconciled and can be asked.
func (s *Scheduler) Unreconciled() []UnreconciledMachine {
	var list []UnreconciledMachine
	for _, m := range s.fleet.Sorted() {
		if m.AwaitsReconciliation() && m.Addr != "" {
			list = append(list, UnreconciledMachine{m.Addr, max(m.Incarnation, 1)})
		}
	}
	return list
}

// Replan places tasks if anything has changed since the last placement pass.
func (s *Scheduler) Replan(now time.Time) {
	if s.placementStale {
		s.placeWaiting(now)
	}
}

// CloseUnlistedJobs closes the jobs that a list of all open jobs, read at a revision, does not contain.
func (s *Scheduler) CloseUnlistedJobs(listed func(id string) bool, revision uint64) {
	for id, j := range s.jobs {
		// A job newer than the list is not in it.
		if !listed(id) && j.Revision <= revision {
			s.CloseJob(id)
		}
	}
}

// ObserveDelay notes how long anything waited before the leader came to it.
func (s *Scheduler) ObserveDelay(d time.Duration) { s.maxDelay = max(s.maxDelay, d) }

// SetWatermarksRelaxed sets whether tasks beyond watermarks may be sent now.
func (s *Scheduler) SetWatermarksRelaxed(on bool) { s.watermarks.relaxed = on }

// WatermarksStored reports whether every task that may have been sent is below a stored watermark.
func (s *Scheduler) WatermarksStored() bool {
	stored := s.watermarks.complete
	for _, j := range s.jobs {
		stored = stored && j.watermark.Stored >= j.watermark.Requested
	}
	return stored
}

// IsLatestHeartbeat reports whether a heartbeat, by its incarnation and sequence number, is the latest known of
// a machine.
func (s *Scheduler) IsLatestHeartbeat(m *fleet.Machine, incarnation, sequence uint64) bool {
	return s.fleet.Machines[m.Name] == m && m.Incarnation == incarnation && m.Sequence == sequence
}

// UrgentCommands are commands that a machine is to get at once, not with its next heartbeat.
type UrgentCommands struct {
	Addr string
	Body fleet.CommandRequest
}

// TakeUrgentCommands takes the commands that are to be sent at once.
func (s *Scheduler) TakeUrgentCommands() []UrgentCommands {
	var calls, unreachable []UrgentCommands
	for host := range s.urgentMachines {
		machine := s.fleet.Machines[host]
		delete(s.urgentMachines, host)
		if machine == nil || machine.Addr == "" || !machine.HasStatus {
			continue
		}
		if commands := machine.PendingCommands(); len(commands) > 0 {
			body := fleet.CommandRequest{FencingToken: s.term, Incarnation: machine.Incarnation, Commands: commands}
			call := UrgentCommands{machine.Addr, body}
			if machine.Unreachable() {
				unreachable = append(unreachable, call)
			} else {
				calls = append(calls, call)
			}
		}
	}
	// Calls to unreachable machines may hang: they come last, so that they keep no others waiting.
	return append(calls, unreachable...)
}
