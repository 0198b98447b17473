package watermark

import (
	"slices"
	"time"
)

// A new leader need not hear a machine, or give it back, to know that its tasks are gone: it
// is enough that its lease has ended. Whoever may have renewed it is known. Once a term was
// settled, every machine that may hold tasks had shown it, and workers drop what an earlier
// leader answers; so only the holders of that term and of those since can have renewed any
// lease. When each of them, asked by the new leader, has answered no worker for a lease, no
// lease is left but those that the new leader itself has renewed: a lease counts from when
// the worker sent the report that was answered, and what a holder answers afterwards renews
// that of a worker which has nothing any more.

// PossibleRenewers lists, by name, the controllers that may have renewed a lease which the leader of
// a term has not: last is the word of the latest term known to be settled, reigns are all
// that took the key since its revision. ok is false where that is not known.
func PossibleRenewers(last Attestation, reigns []LeaderChange, ours uint64) (nodes []string, ok bool) {
	if !last.Reconciled || last.Node == "" || last.Term >= ours {
		return nil, false
	}
	nodes = []string{last.Node}
	for _, r := range reigns {
		switch {
		case r.Term == ours:
			ok = true
		case r.Node == "":
			return nil, false
		default:
			nodes = append(nodes, r.Node)
		}
	}
	slices.Sort(nodes)
	if !ok {
		return nil, false // a log without our own term is not the log we asked for
	}
	return slices.Compact(nodes), true
}

// LeasesExpired says whether each holder has renewed no lease for as long as a lease lasts, by how
// long ago, at least, each last may have; what is not known of one is missing.
func LeasesExpired(holders []string, since map[string]time.Duration, lease time.Duration) bool {
	for _, h := range holders {
		if s, known := since[h]; !known || s < lease {
			return false
		}
	}
	return len(holders) > 0
}
