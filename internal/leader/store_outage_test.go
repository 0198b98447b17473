package leader

import (
	"testing"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/scheduler"
)

// The peers' reports on the store decide whether one of them can lead and whether the store
// excludes only the leader. A wrong summary lets two leaders start tasks, or a leader resign that
// nobody can replace. The lease on the leader key expired 10 s ago; the query took 1 s.
func TestSummarizeStoreAccess(t *testing.T) {
	o := &storeOutage{term: &term{settings: scheduler.Settings{HeartbeatInterval: 4 * time.Second}}}
	const sinceExpiry, elapsed = 10 * time.Second, time.Second
	for name, x := range map[string]struct {
		answers []peer.Status
		want    peerStoreAccess
	}{
		"no peer": {nil, peerStoreAccess{noneCanLead: true}},
		"no answer since before the expiry": {
			[]peer.Status{{StoreServed: true, SinceStoreServedMS: 60_000, StoreFailing: true}},
			peerStoreAccess{noneCanLead: true},
		},
		"never answered since a recent start": {
			[]peer.Status{{SinceStoreServedMS: 500, StoreFailing: true}},
			peerStoreAccess{noneCanLead: true},
		},
		"answered after the expiry, failing now": {
			[]peer.Status{{StoreServed: true, SinceStoreServedMS: 5_000, StoreFailing: true}},
			peerStoreAccess{servedPastExpiry: true},
		},
		"answered close to the expiry": {
			[]peer.Status{{StoreServed: true, SinceStoreServedMS: 9_500, StoreFailing: true}},
			peerStoreAccess{},
		},
		"one of two is served": {
			[]peer.Status{
				{StoreServed: true, SinceStoreServedMS: 100},
				{StoreServed: true, SinceStoreServedMS: 60_000, StoreFailing: true},
			},
			peerStoreAccess{served: true, servedPastExpiry: true},
		},
	} {
		if got := o.summarizeStoreAccess(x.answers, sinceExpiry, elapsed); got != x.want {
			t.Errorf("%s: got %+v, want %+v", name, got, x.want)
		}
	}
}
