package scheduler

import (
	"time"

	"drumpick/internal/fleet"
)

// Recency compares a heartbeat with what is known of its machine. From one that is late, or from a
// machine that was returned, nothing may be concluded, not even where its worker sends its heartbeats.
func (s *Scheduler) Recency(heartbeat *fleet.Heartbeat, now time.Time) fleet.Recency {
	if s.fleet.Machines[heartbeat.Machine] == nil {
		if _, gone := s.autoscaling.returnedAt[heartbeat.Machine]; gone {
			return fleet.Late
		}
		return fleet.Current
	}
	return s.fleet.Recency(heartbeat, now)
}

// RenewOvertaken answers a heartbeat that an answer to a direct command has overtaken: its worker's
// lease is renewed, and the commands that are harmless when late are repeated. It returns false where
// the heartbeat is late, or its machine is not recorded, so that the next leader would not know what
// it may hold.
func (s *Scheduler) RenewOvertaken(machine *fleet.Machine, heartbeat *fleet.Heartbeat, now time.Time) (fleet.HeartbeatResponse, bool) {
	if machine == nil || !machine.Recorded || !machine.IsOvertaken(heartbeat, now) {
		return fleet.HeartbeatResponse{}, false
	}
	machine.RenewLease(now)
	return fleet.HeartbeatResponse{FencingToken: s.term, Commands: machine.PendingCommands()}, true
}

// maxRelayLeases is for how many leases a worker is answered through another controller before it is
// redirected here again.
const maxRelayLeases = 4

// NeedsRelay reports whether a worker whose heartbeat came to another controller cannot reach this
// one, and is to be answered through that controller. A worker that is new to us, or was heard just
// now, is redirected here first; one that comes to the other controller again, or was heard here and
// has fallen silent, has tried. Without this, a leader that only the workers cannot reach would take
// every machine for lost. Now and then a worker is redirected here again to find out whether it
// reaches this controller by now.
func (s *Scheduler) NeedsRelay(host string, now time.Time) bool {
	machine := s.fleet.Machines[host]
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

// RecordAnswer notes that a heartbeat was answered with 200, via another controller unless that is "".
func (s *Scheduler) RecordAnswer(m *fleet.Machine, via string, now time.Time) {
	m.MarkAnswered(via, now)
}
