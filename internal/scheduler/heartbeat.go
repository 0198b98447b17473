package scheduler

import (
	"time"

	"drumpick/internal/fleet"
)

// Recency returns the recency of a heartbeat relative to the latest status of its machine: Late for
// a returned machine, Current for an unknown one. A Late heartbeat is no evidence of its worker's
// state, nor of the controller that the worker uses now.
func (s *Scheduler) Recency(heartbeat *fleet.Heartbeat, now time.Time) fleet.Recency {
	if s.fleet.Machines[heartbeat.Machine] == nil {
		if _, returned := s.autoscaling.returnedAt[heartbeat.Machine]; returned {
			return fleet.Late
		}
		return fleet.Current
	}
	return s.fleet.Recency(heartbeat, now)
}

// RenewOvertaken answers a heartbeat that is older than the answer to a direct command but arrived
// after it: it renews the worker's lease and repeats the pending commands, which are safe when
// late. It returns false if the heartbeat is late, or if its machine is not recorded: the next
// leader would not know that the machine may hold tasks.
func (s *Scheduler) RenewOvertaken(machine *fleet.Machine, heartbeat *fleet.Heartbeat, now time.Time) (fleet.HeartbeatResponse, bool) {
	if machine == nil || !machine.Recorded || !machine.IsOvertaken(heartbeat, now) {
		return fleet.HeartbeatResponse{}, false
	}
	machine.RenewLease(now)
	return fleet.HeartbeatResponse{FencingToken: s.term, Commands: s.nextBatch(machine).Commands}, true
}

// maxRelayLeases is for how many leases a worker is answered through another controller before it is
// redirected to this one again.
const maxRelayLeases = 4

// NeedsRelay reports whether a worker that sent its heartbeat to another controller cannot reach
// this one, so that it has to be answered through that controller. An unknown worker is always
// redirected here; one without a status, or with a recent one, at first. A worker that was
// redirected and within a lease still sends to the other controller, or whose last status is older
// than 1.5 heartbeat intervals, counts as unable to reach this controller. Without relays, a leader
// that only the workers cannot reach would take every machine for lost. After maxRelayLeases
// leases, a relayed worker is redirected here again, in case it can reach this controller now.
func (s *Scheduler) NeedsRelay(name string, now time.Time) bool {
	machine := s.fleet.Machines[name]
	if machine == nil {
		return false
	}
	if !machine.RelayedAt.IsZero() && now.Sub(machine.RelayedAt) < s.settings.Lease {
		if !machine.RelayedSince.IsZero() && now.Sub(machine.RelayedSince) > maxRelayLeases*s.settings.Lease {
			machine.RelayedSince = time.Time{}
			return false
		}
		if machine.RelayedSince.IsZero() {
			machine.RelayedSince = now
		}
		machine.RelayedAt = now
		return true
	}
	machine.RelayedAt, machine.RelayedSince = now, time.Time{}
	return machine.HasStatus && now.Sub(machine.LastStatusAt) > s.settings.HeartbeatInterval*3/2
}

// RecordAnswer records that a machine's heartbeat was answered with HTTP status 200. via is the
// controller that relayed the answer; "": none.
func (s *Scheduler) RecordAnswer(m *fleet.Machine, via string, now time.Time) {
	m.MarkAnswered(via, now)
}
