package api

import (
	"context"
	"errors"
	"log/slog"
	"sync"

	"drumpick/internal/config"
	"drumpick/internal/records"
	"drumpick/internal/recovery"

	"github.com/VictoriaMetrics/metrics"
)

var closedChecks = metrics.NewCounter("drumpick_polls_shared_checks_total")

const (
	// comparesPerOp is how many conditions a transaction may have for each of its operations, by the
	// protocol.
	comparesPerOp = 4
	// maxCheckedJobs bounds the jobs of one check, whose request must fit the store's limit on its size.
	maxCheckedJobs = 200
	// readsPerCheck is how many final states are read between two checks.
	readsPerCheck = 4
)

// closedReads is the queue of jobs that are not open and whose final state is not cached. Polls wait for
// it if they arrive faster than the rate limit allows reads of single jobs. One transaction that only
// compares checks many of them at once, so that polls for jobs that do not exist cost little; the final
// states of those that exist are read one by one, once each.
//
// A job stays in the queue when its poll has given up, and the answer to its next poll is cached then.
// Otherwise users who poll at steady intervals could always be the ones for whom no read is left.
type closedReads struct {
	mu      sync.Mutex             // guards the fields below, but not the content of the reads
	repeats []*closedRead          // of the last check, which left open whether they exist; checked next, by themselves
	checks  []*closedRead          // to be checked for existence, the longest waiting first
	reads   []*closedRead          // exist and are to be read, the longest waiting first
	waiting map[string]*closedRead // those of the queues above, by job id
	running bool                   // a goroutine works on the queues
}

// closedRead is the read of one job's final state. job and err may be read once done is closed.
type closedRead struct {
	id   string
	done chan struct{}
	job  *records.ClosedJob // nil: there was none when the check began
	err  error
}

// finish sets the result of a read.
func (r *closedRead) finish(job *records.ClosedJob, err error) {
	r.job, r.err = job, err
	close(r.done)
}

var errTooManyReads = errors.New("too many final states wait to be read")

// join returns the read of a job that starts after this call, or is known to find a final state. start
// is true if the caller has to start work on the queue.
func (q *closedReads) join(id string) (read *closedRead, start bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	read = q.waiting[id]
	if read == nil {
		if len(q.waiting) >= maxCacheEntries {
			return nil, false, errTooManyReads
		}
		read = &closedRead{id: id, done: make(chan struct{})}
		if q.waiting == nil {
			q.waiting = map[string]*closedRead{}
		}
		q.waiting[id] = read
		q.checks = append(q.checks, read)
	}
	start = !q.running
	q.running = true
	return read, start, nil
}

// takeChecks removes and returns up to limit reads to be checked.
func (q *closedReads) takeChecks(limit int) []*closedRead {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.repeats
	if q.repeats = nil; len(taken) == 0 {
		taken = q.checks[:min(limit, len(q.checks))]
		q.checks = q.checks[len(taken):]
	}
	for _, read := range taken {
		delete(q.waiting, read.id) // a later poll needs a later check
	}
	return taken
}

// repeatCheck queues a read for the next check.
func (q *closedReads) repeatCheck(read *closedRead) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[read.id] = read
	q.repeats = append(q.repeats, read)
}

// addRead adds a job that exists to the ones to be read.
func (q *closedReads) addRead(read *closedRead) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[read.id] = read
	q.reads = append(q.reads, read)
}

// takeRead removes and returns the next job to be read, nil if there is none.
func (q *closedReads) takeRead() *closedRead {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.reads) == 0 {
		return nil
	}
	read := q.reads[0]
	q.reads = q.reads[1:]
	delete(q.waiting, read.id)
	return read
}

// hasChecks reports whether any job is to be checked.
func (q *closedReads) hasChecks() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.repeats)+len(q.checks) > 0
}

// stopIfEmpty reports whether the queue is empty, and if so ends the work on it.
func (q *closedReads) stopIfEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	empty := len(q.repeats)+len(q.checks)+len(q.reads) == 0
	q.running = q.running && !empty
	return empty
}

// awaitClosed returns a job's final state, nil without an error if there was none at a time after this
// call. The caller must have found no open record of the job before: see lookup.
func (s *Server) awaitClosed(ctx context.Context, id string) (*records.ClosedJob, error) {
	read, start, err := s.closedReads.join(id)
	if err != nil {
		return nil, err
	}
	if start {
		go s.workOnClosedReads()
	}
	select {
	case <-read.done:
		return read.job, read.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// workOnClosedReads checks and reads the queued jobs until there are none.
func (s *Server) workOnClosedReads() {
	for !s.closedReads.stopIfEmpty() {
		if s.closedReads.hasChecks() {
			s.checkClosed()
		}
		for range readsPerCheck {
			read := s.closedReads.takeRead()
			if read == nil {
				break
			}
			s.readWaiting(read)
		}
	}
}

// errReadFailed is the error of a check or read that panicked.
var errReadFailed = errors.New("read of a final state failed")

// readWaiting reads the final state of a job that exists.
func (s *Server) readWaiting(read *closedRead) {
	if job, ok := s.jobs.closedJob(read.id); ok {
		read.finish(&job, nil) // another poll has read it
		return
	}
	var job *records.ClosedJob
	err := errReadFailed
	recovery.Call("read of a final state", func() {
		job, err = limitedRead(s, func(ctx context.Context) (*records.ClosedJob, error) { return s.readClosed(ctx, read.id) })
	})
	read.finish(job, err)
}

// limitedRead calls read once the rate limit allows a read. Only the read has a timeout: with a low limit,
// the wait may be longer.
func limitedRead[T any](s *Server, read func(ctx context.Context) (T, error)) (T, error) {
	if err := s.readLimiter.Wait(context.Background()); err != nil {
		var none T
		return none, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout())
	defer cancel()
	return read(ctx)
}

// checkClosed checks which of the jobs that wait longest have a final state, and queues these to be read.
func (s *Server) checkClosed() {
	var reads []*closedRead
	var found closedCheck
	err := errReadFailed
	recovery.Call("check of final states", func() {
		found, err = limitedRead(s, func(ctx context.Context) (closedCheck, error) {
			reads = s.closedReads.takeChecks(maxChecks(s.cfg)) // as late as possible: polls that join share the check
			return s.findClosed(ctx, reads)
		})
	})
	for _, read := range reads {
		switch {
		case err != nil || len(found.existing) == 0:
			read.finish(found.job, err)
		case found.existing[read.id]:
			s.closedReads.addRead(read)
		default:
			s.closedReads.repeatCheck(read)
		}
	}
}

// closedCheck is the result of a check.
type closedCheck struct {
	// existing are some of the checked jobs that have a final state; the store need not name all of them.
	// If it is empty and job is nil, none had one at a time after the check began.
	existing map[string]bool
	job      *records.ClosedJob // the final state, if a single job was checked and has one
}

// maxChecks returns how many jobs one check may contain.
func maxChecks(cfg *config.Config) int {
	return min(comparesPerOp*max(cfg.Deployment.Store.Lowest().TxnOps, 1), maxCheckedJobs)
}

// findClosed checks which of the jobs have a final state, by a transaction that only compares. It reads a
// single one instead, which costs no more.
func (s *Server) findClosed(ctx context.Context, reads []*closedRead) (closedCheck, error) {
	switch len(reads) {
	case 0:
		return closedCheck{}, nil
	case 1:
		job, err := s.readClosed(ctx, reads[0].id)
		return closedCheck{job: job}, err
	}
	closedChecks.Inc()
	compares := make([]records.Compare, len(reads))
	ids := make(map[string]string, len(reads)) // by key
	for i, read := range reads {
		key := records.ClosedKey(read.id)
		compares[i].Key, ids[key] = key, read.id
	}
	_, err := s.store.Commit(ctx, compares, []records.Op{})
	var conflict *records.ConflictError
	switch {
	case err == nil:
		return closedCheck{}, nil
	case !errors.As(err, &conflict):
		slog.Debug("final states not checked", "jobs", len(reads), "err", err)
		return closedCheck{}, err
	}
	existing := map[string]bool{}
	for _, key := range conflict.Failed {
		if id, ok := ids[key]; ok {
			existing[id] = true
		}
	}
	if len(existing) == 0 {
		return closedCheck{}, records.ErrUnexpected // a conflict without a key that was compared
	}
	return closedCheck{existing: existing}, nil
}
