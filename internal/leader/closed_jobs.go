package leader

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"drumpick/internal/httpclient"
	"drumpick/internal/records"

	"golang.org/x/time/rate"
)

// resolve reads what has become of jobs that open ones name.
func (l *Leader) resolve(ctx context.Context) {
	share := max(l.cfg.Deployment.State.Lowest().RPS*resolveShare, 1)
	reads := rate.NewLimiter(rate.Limit(share), int(share))
	pause := l.set.HeartbeatInterval / 8
	missing := map[string]time.Time{} // not over when last read: to be read again later
	for httpclient.Sleep(ctx, pause/2+rand.N(pause)) == nil {
		l.mu.Lock()
		ids := l.core.UnreadDependencies()
		l.mu.Unlock()
		var wg sync.WaitGroup
		var absent []string
		slots := make(chan struct{}, mostReads)
		now := time.Now()
		for _, id := range ids {
			if now.Before(missing[id]) {
				continue
			}
			delete(missing, id)
			if reads.Wait(ctx) != nil {
				break
			}
			slots <- struct{}{}
			wg.Add(1)
			go func() {
				defer func() { <-slots; wg.Done() }()
				row, err := l.store.Get(ctx, records.ClosedKey(id))
				if err != nil {
					slog.Debug("store: no answer about a job before others", "job", id, "err", err)
					return
				}
				l.mu.Lock()
				defer l.mu.Unlock()
				var o records.ClosedJob
				if row == nil || json.Unmarshal(row.Value, &o) != nil {
					// It may be open, and the watch about to tell.
					absent = append(absent, id)
					return
				}
				l.core.NoteClosed(id, o, row.Revision)
			}()
		}
		wg.Wait()
		for _, id := range absent {
			missing[id] = now.Add(l.set.HeartbeatInterval)
		}
		l.mu.Lock()
		doomed := l.core.HasCascade()
		l.mu.Unlock()
		if doomed {
			l.poke()
		}
		if len(missing) > 4*len(ids)+64 {
			clear(missing)
		}
	}
}

const (
	// resolveShare is the share of the store's request rate that such reads may take,
	// and mostReads how many are under way at once.
	resolveShare = 0.25
	mostReads    = 8
)

// DependenciesClear says whether, as far as the watch has come, no job before this one is cancelled,
// and how long ago it had come there.
func (l *Leader) DependenciesClear(id string) (time.Duration, bool) {
	// In this order: what the watch brings in between makes the word older, not wrong.
	contact := l.lastContact()
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(contact), l.core.DependenciesClear(id)
}
