package simulation

import "time"

// gangPeer is an attempt of a gang's task and the machine that it is on.
type gangPeer struct {
	machine *Machine
	attempt *attempt
}

// gangPeersLocked returns the attempts of a's gang that have the attempt number of a and have not ended, including a.
// It omits attempts on hung machines.
func (env *Environment) gangPeersLocked(a *attempt) []gangPeer {
	var peers []gangPeer
	for other, m := range env.attempts[a.taskID.Job] {
		if other.number == a.number && !m.terminated && !m.hung {
			peers = append(peers, gangPeer{m, other})
		}
	}
	return peers
}

// startGangIfReadyLocked lets all tasks of a's gang run if all of them are waiting.
func (env *Environment) startGangIfReadyLocked(a *attempt, now time.Time) {
	peers := env.gangPeersLocked(a)
	if len(peers) < a.job.Tasks {
		return
	}
	for _, p := range peers {
		if p.attempt.status != statusWaiting {
			return
		}
	}
	for _, p := range peers {
		p.machine.startRunningLocked(p.attempt, now)
		p.machine.wake()
	}
}

// gangPeerTimedOutLocked reports whether a task of a's gang has been missing for GangPeerTimeout, which is never the
// case if that is 0. It stores in a since when a task is missing.
func (m *Machine) gangPeerTimedOutLocked(a *attempt, now time.Time) bool {
	if m.env.GangPeerTimeout == 0 || len(m.env.gangPeersLocked(a)) == a.job.Tasks {
		a.peerMissingSince = time.Time{}
		return false
	}
	if a.peerMissingSince.IsZero() {
		a.peerMissingSince = now
	}
	return now.Sub(a.peerMissingSince) >= m.env.GangPeerTimeout
}
