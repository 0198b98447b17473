package watermark

import (
	"slices"
	"time"
)

// A new leader need not hear from a machine, or return it to the cloud, to know that its
// tasks are gone: it is enough that its lease has expired. Whoever may have renewed the lease
// is known. Once a term was reconciled, every machine that may hold tasks had shown it, and
// workers drop what an earlier leader answers; so only the leaders of that term and of those
// since can have renewed any lease. When each of them, asked by the new leader, has answered
// no worker for the length of a lease, no lease is left but those that the new leader itself
// has renewed: a lease counts from when the worker sent the heartbeat that was answered, and
// what an earlier leader answers afterwards renews that of a worker which has nothing any
// more.

// PossibleRenewers lists, by name, the controllers that may have renewed a lease which the
// leader of the given term has not. last is the attestation of the latest term known to be
// reconciled, changes are all that took the leader's key since its revision. ok is false
// where the controllers are not known.
func PossibleRenewers(last Attestation, changes []LeaderChange, term uint64) (nodes []string, ok bool) {
	if !last.Reconciled || last.Node == "" || last.Term >= term {
		return nil, false
	}
	nodes = []string{last.Node}
	for _, change := range changes {
		switch {
		case change.Term == term:
			ok = true
		case change.Node == "":
			return nil, false
		default:
			nodes = append(nodes, change.Node)
		}
	}
	slices.Sort(nodes)
	if !ok {
		return nil, false // a log without the leader's own term is not the log it asked for
	}
	return slices.Compact(nodes), true
}

// LeasesExpired reports whether each of the renewers has renewed no lease for as long as a
// lease lasts, by how long ago, at least, each last may have; a renewer of which that is not
// known is missing in sinceRenewal.
func LeasesExpired(renewers []string, sinceRenewal map[string]time.Duration, lease time.Duration) bool {
	for _, node := range renewers {
		since, known := sinceRenewal[node]
		if !known || since < lease {
			return false
		}
	}
	return len(renewers) > 0
}
