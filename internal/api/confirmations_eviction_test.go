package api

import (
	"fmt"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/records"
)

// A full map of pending confirmations evicts only cancellations that are older than the leader's
// lease. If it evicted a newer one, that cancellation could be confirmed to a user before the leader
// knows of it.
func TestUnconfirmedCancellationsAreKeptForALease(t *testing.T) {
	cfg := &config.Config{Node: "n-0", Options: config.DefaultOptions()}
	cfg.Deployment.Workers = config.Workers{HeartbeatS: 5, LeaseS: 24, CancelS: 44}
	cfg.Deployment.Store.RPS = 100
	s := New(cfg, nil, nil, nil, nil)
	const fresh = 100
	old := time.Now().Add(-2 * cfg.Timing().LeaderLease)
	for i := range maxCacheEntries {
		id := fmt.Sprint("j-", i)
		if s.confirmations.since[id] = old; i >= maxCacheEntries-fresh {
			delete(s.confirmations.since, id)
			s.jobs.addClosed(id, records.ClosedJob{Status: records.StatusCancelled}, true)
		}
	}
	s.jobs.addClosed("j-99999", records.ClosedJob{Status: records.StatusCancelled}, true)
	kept := 0
	for id, since := range s.confirmations.since {
		if since.After(old) {
			kept++
		} else {
			t.Fatalf("%s is older than a lease and kept although the map is full", id)
		}
	}
	if kept != fresh+1 {
		t.Errorf("%d fresh cancellations are kept, want %d", kept, fresh+1)
	}
}
