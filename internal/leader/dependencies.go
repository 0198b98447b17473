package leader

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"drumpick/internal/ctxtime"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"

	"golang.org/x/time/rate"
)

const (
	// dependencyReadShare is the share of the store's request rate that dependency reads may use.
	dependencyReadShare = 0.25
	// maxDependencyReads is the maximum number of concurrent dependency reads.
	maxDependencyReads = 8
)

// dependencyReader reads the records of closed jobs that open jobs depend on.
type dependencyReader struct {
	*term
	limiter *rate.Limiter
	// notBefore holds the time of the next read, by id of a job that had no closed record at the
	// last one.
	notBefore map[string]time.Time
}

func newDependencyReader(t *term) *dependencyReader {
	requestRate := max(t.cfg.Deployment.Store.Lowest().RPS*dependencyReadShare, 1)
	return &dependencyReader{
		term:      t,
		limiter:   rate.NewLimiter(rate.Limit(requestRate), int(requestRate)),
		notBefore: map[string]time.Time{},
	}
}

func (d *dependencyReader) run(ctx context.Context) {
	pause := d.settings.HeartbeatInterval / 8
	for ctxtime.Sleep(ctx, pause/2+rand.N(pause)) == nil {
		var jobs []string
		d.withState(func() { jobs = d.state.scheduler.UnreadDependencies() })
		d.readAll(ctx, jobs)
		hasJobsToCancel := false
		d.withState(func() { hasJobsToCancel = d.state.scheduler.HasJobsToCancel() })
		if hasJobsToCancel {
			d.persistSoon()
		}
		// Bounds the map, which also holds jobs that no open job depends on any more.
		if len(d.notBefore) > 4*len(jobs)+64 {
			clear(d.notBefore)
		}
	}
}

// readAll reads the closed records of those jobs whose next read is due, within the rate limit. It
// returns when all reads have ended.
func (d *dependencyReader) readAll(ctx context.Context, jobs []string) {
	var reads sync.WaitGroup
	var absent []string // guarded by the state's lock
	slots := make(chan struct{}, maxDependencyReads)
	now := time.Now()
	for _, job := range jobs {
		if now.Before(d.notBefore[job]) {
			continue
		}
		delete(d.notBefore, job)
		if d.limiter.Wait(ctx) != nil {
			break
		}
		slots <- struct{}{}
		reads.Add(1)
		go func() {
			defer reads.Done()
			defer func() { <-slots }()
			d.guard("dependency read", func() { d.read(ctx, job, &absent) })
		}()
	}
	reads.Wait()
	for _, job := range absent {
		d.notBefore[job] = now.Add(d.settings.HeartbeatInterval)
	}
}

// read reads the closed record of a job and applies it to the scheduler. It adds the job to absent
// if the record is missing or unreadable.
func (d *dependencyReader) read(ctx context.Context, job string, absent *[]string) {
	record, err := d.store.Get(ctx, records.ClosedKey(job))
	if err != nil {
		slog.Debug("dependency not read", "job", job, "err", err)
		return
	}
	d.withState(func() {
		var closed records.ClosedJob
		if record == nil || jsoncodec.Unmarshal(record.Value, &closed) != nil {
			// The job may be open and not yet reported by the watch.
			*absent = append(*absent, job)
			return
		}
		d.state.scheduler.ApplyClosedRecord(job, closed, record.Revision)
	})
}
