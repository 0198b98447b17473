package scheduler

import (
	"time"

	"drumpick/internal/fleet"
)

// What the driver of a term (package lead) asks and tells beside events and decisions.

// TicksPerHeartbeat is the part of a report interval, one in so many, between two ticks.
const TicksPerHeartbeat = 8

// Counts tells how many open jobs and machines are known.
func (s *Scheduler) Counts() (jobs, machines int) { return len(s.jobs), len(s.fleet.Sorted()) }

// Reconciled says whether every machine that an earlier term may have used has been heard, or
// is gone.
func (s *Scheduler) Reconciled() bool { return s.reconciled }

// UnreconciledMachine is a machine that has to show the term, by its address and the session of its
// worker that is known.
type UnreconciledMachine struct {
	Addr        string
	Incarnation uint64
}

// Unreconciled lists those that have not.
func (s *Scheduler) Unreconciled() []UnreconciledMachine {
	var list []UnreconciledMachine
	for _, m := range s.fleet.Sorted() {
		if m.AwaitsReconciliation() && m.Addr != "" {
			list = append(list, UnreconciledMachine{m.Addr, max(m.Incarnation, 1)})
		}
	}
	return list
}

// Replan places tasks if anything has changed since that was last done.
func (s *Scheduler) Replan(now time.Time) {
	if s.placementStale {
		s.placeWaiting(now)
	}
}

// CloseMissing closes the jobs that a list of all open ones lacks, read at a revision.
func (s *Scheduler) CloseMissing(listed func(id string) bool, revision uint64) {
	for id, j := range s.jobs {
		// A job newer than the list is not in it.
		if !listed(id) && j.Revision <= revision {
			s.CloseJob(id)
		}
	}
}

// ObserveDelay notes by how much anything waited before it was got to.
func (s *Scheduler) ObserveDelay(d time.Duration) { s.delay = max(s.delay, d) }

// SetRelaxed says whether tasks beyond marks may be sent now.
func (s *Scheduler) SetRelaxed(on bool) { s.watermarks.relaxed = on }

// WatermarksStored says whether every task that may have been sent is below a mark in the store.
func (s *Scheduler) WatermarksStored() bool {
	stored := s.watermarks.complete
	for _, j := range s.jobs {
		stored = stored && j.watermark.Stored >= j.watermark.Requested
	}
	return stored
}

// IsLatest says whether a report, by its session and number, is the last that we know of a
// machine.
func (s *Scheduler) IsLatest(m *fleet.Machine, incarnation, sequence uint64) bool {
	return s.fleet.Machines[m.Host] == m && m.Incarnation == incarnation && m.Sequence == sequence
}

// UrgentCommands is orders that a machine is to hear at once, not at its next report.
type UrgentCommands struct {
	Addr string
	Body fleet.CommandRequest
}

// TakeUrgentCommands takes what is to be sent so.
func (s *Scheduler) TakeUrgentCommands() []UrgentCommands {
	var calls, unreachable []UrgentCommands
	for host := range s.urgentMachines {
		machine := s.fleet.Machines[host]
		delete(s.urgentMachines, host)
		if machine == nil || machine.Addr == "" || !machine.Up {
			continue
		}
		if commands := machine.PendingCommands(); len(commands) > 0 {
			call := UrgentCommands{machine.Addr, fleet.CommandRequest{FencingToken: s.term, Incarnation: machine.Incarnation, Commands: commands}}
			if machine.Unreachable() {
				unreachable = append(unreachable, call)
			} else {
				calls = append(calls, call)
			}
		}
	}
	// Guards against calls that hang and keep others waiting.
	return append(calls, unreachable...)
}
