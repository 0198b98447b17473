package leader

import (
	"testing"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/scheduler"
)

// What peers report of the store decides whether one of them can lead and whether the leader alone
// is not served. The lease on the leader key has expired 10 s ago, by answers that took 1 s.
func TestSummarizeStoreAccess(t *testing.T) {
	o := &storeOutage{term: &term{settings: scheduler.Settings{HeartbeatInterval: 4 * time.Second}}}
	const sinceExpiry, took = 10 * time.Second, time.Second
	for name, x := range map[string]struct {
		answers []peer.Status
		want    peerStoreAccess
	}{
		"no peer": {nil, peerStoreAccess{noneCanLead: true}},
		"silent for longer than the lease has expired": {
			[]peer.Status{{StoreAnswered: true, StoreSilentMS: 60_000, StoreFailing: true}},
			peerStoreAccess{noneCanLead: true},
		},
		"never answered since a start a moment ago": {
			[]peer.Status{{StoreSilentMS: 500, StoreFailing: true}},
			peerStoreAccess{noneCanLead: true},
		},
		"answered past the expiry, failing now": {
			[]peer.Status{{StoreAnswered: true, StoreSilentMS: 5_000, StoreFailing: true}},
			peerStoreAccess{servedPastExpiry: true},
		},
		"answered at about the expiry": {
			[]peer.Status{{StoreAnswered: true, StoreSilentMS: 9_500, StoreFailing: true}},
			peerStoreAccess{},
		},
		"one of two is served": {
			[]peer.Status{
				{StoreAnswered: true, StoreSilentMS: 100},
				{StoreAnswered: true, StoreSilentMS: 60_000, StoreFailing: true},
			},
			peerStoreAccess{served: true, servedPastExpiry: true},
		},
	} {
		if got := o.summarizeStoreAccess(x.answers, sinceExpiry, took); got != x.want {
			t.Errorf("%s: got %+v, want %+v", name, got, x.want)
		}
	}
}
