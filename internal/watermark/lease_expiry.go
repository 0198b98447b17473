package watermark

import (
	"slices"
	"time"
)

// A new leader knows that a machine's tasks are gone once the machine's lease has expired, even if
// no heartbeat of the machine arrives and the machine is not returned to the cloud. The controllers
// that may have renewed the lease are known: once a term is reconciled, every machine that may hold
// tasks has acknowledged the term, and workers ignore answers from earlier leaders. So only the
// leaders of that term and of later terms can have renewed a lease. The new leader queries these
// controllers. If none of them has answered a worker for the length of a lease, all leases have
// expired except those that the new leader has renewed itself. This holds because a lease starts
// when the worker sends the heartbeat, and a later answer of an earlier leader only renews the
// lease of a worker without tasks.

// PossibleRenewers returns the sorted names of the controllers that may have renewed leases in
// terms earlier than the given one. last is the attestation of the latest term known to be
// reconciled; changes are all acquisitions of the leader key after its revision. ok is false, and
// nodes nil, if the controllers are not known.
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
		return nil, false // changes without the leader's own term are incomplete
	}
	return slices.Compact(nodes), true
}

// LeasesExpired reports whether no renewer has renewed a lease for at least the lease duration.
// sinceRenewal holds, by renewer, a lower bound of the time since its last renewal. The result is
// false if the bound of any renewer is missing, or if there are no renewers.
func LeasesExpired(renewers []string, sinceRenewal map[string]time.Duration, lease time.Duration) bool {
	for _, node := range renewers {
		since, known := sinceRenewal[node]
		if !known || since < lease {
			return false
		}
	}
	return len(renewers) > 0
}
