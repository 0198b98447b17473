package api

import (
	"fmt"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/records"
)

// However many cancellations are remembered, none is forgotten while the leader may not have
// heard of it; those of which that is settled make room.
func TestFreshCancellationsAreKept(t *testing.T) {
	cfg := &config.Config{Node: "n-0", Options: config.DefaultOptions()}
	cfg.Deployment.Workers = config.Workers{HeartbeatS: 5, LeaseS: 24, CancelS: 44}
	cfg.Deployment.State.RPS = 100
	s := New(cfg, nil, nil, nil, nil)
	const fresh = 100
	old := time.Now().Add(-2 * cfg.Timing().LeaderLease)
	for i := range mostRemembered {
		id := fmt.Sprint("j-", i)
		if s.unheard[id] = old; i >= mostRemembered-fresh {
			delete(s.unheard, id)
			s.remember(id, records.ClosedJob{Status: records.StatusCancelled}, true)
		}
	}
	s.remember("j-99999", records.ClosedJob{Status: records.StatusCancelled}, true)
	kept := 0
	for id, since := range s.unheard {
		if since.After(old) {
			kept++
		} else {
			t.Fatalf("%s is settled and kept, and the memory is full", id)
		}
	}
	if kept != fresh+1 {
		t.Errorf("%d of %d fresh cancellations are remembered", kept, fresh+1)
	}
}
