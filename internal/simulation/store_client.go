package simulation

import (
	"context"
	"fmt"
	"sync"
	"time"

	"drumpick/internal/ctxtime"
	"drumpick/internal/records"

	"golang.org/x/time/rate"
)

const (
	// networkLatency is how long a message takes on its way.
	networkLatency = 5 * time.Millisecond
	// requestTimeout is how long a caller waits for an answer, as the controllers' settings have it.
	requestTimeout = time.Second
	// listPageEntries is how many entries List asks for at a time.
	listPageEntries = 500
)

// Client is one controller's connection to the store. Faults of the connection are injected here.
type Client struct {
	store        *Store
	name         string
	started      time.Time
	writeLimiter *rate.Limiter // of the leader's background writes; nil: no limit

	mu                 sync.Mutex // guards what follows
	lastOK, lastFailed time.Time
	lastResponse       time.Time // refusals included

	killed          bool
	hang            time.Duration // how long calls hang without an answer; 0: they are answered
	delay           time.Duration // by how much later calls reach the store
	loseAnswers     int           // so many commits are carried out lostCommitDelay later, without an answer
	lostCommitDelay time.Duration
	pickLateWrite   func() (time.Duration, bool)
}

// Client returns the connection of a controller.
func (s *Store) Client(name string) *Client {
	return &Client{store: s, name: name, started: time.Now()}
}

// LoseAnswers makes the next n commits be carried out d later, without an answer.
func (c *Client) LoseAnswers(n int, d time.Duration) {
	c.mu.Lock()
	c.loseAnswers, c.lostCommitDelay = n, d
	c.mu.Unlock()
}

// SetLateWrites sets what decides for each commit whether it gets no answer, and how much later it is carried out,
// after newer ones; 0: at once, only its answer is lost. nil: every commit is answered.
func (c *Client) SetLateWrites(pick func() (time.Duration, bool)) {
	c.mu.Lock()
	c.pickLateWrite = pick
	c.mu.Unlock()
}

// SetDelay makes every call take so much longer; 0: it does not.
func (c *Client) SetDelay(d time.Duration) {
	c.mu.Lock()
	c.delay = d
	c.mu.Unlock()
}

// SetHang makes every call hang for so long without an answer; 0: calls are answered again.
func (c *Client) SetHang(d time.Duration) {
	c.mu.Lock()
	c.hang = d
	c.mu.Unlock()
	c.store.mu.Lock()
	c.store.wakeWatchersLocked() // open watches are to see it
	c.store.mu.Unlock()
}

// Kill ends the connection of a process that has ended.
func (c *Client) Kill() {
	c.mu.Lock()
	c.killed = true
	c.mu.Unlock()
}

// beginCall lets a call through to the store, after its latency, or fails it as the injected faults say.
func (c *Client) beginCall(ctx context.Context) error {
	c.mu.Lock()
	delay, hang := c.delay, c.hang
	c.mu.Unlock()
	if err := ctxtime.Sleep(ctx, max(networkLatency, hang, min(delay, requestTimeout))); err != nil {
		return err
	}
	if delay >= requestTimeout {
		c.recordFailure()
		return fmt.Errorf("%w: too slow", records.ErrUnknownOutcome)
	}
	refused := c.store.refuses(c.name)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.killed:
		return records.ErrUnknownOutcome
	case c.hang > 0:
		c.lastFailed = time.Now()
		return records.ErrUnknownOutcome
	case refused:
		c.lastFailed, c.lastResponse = time.Now(), time.Now()
		return records.ErrUnavailable
	}
	c.lastOK, c.lastResponse = time.Now(), time.Now()
	return nil
}

// recordFailure notes that a call got no answer.
func (c *Client) recordFailure() {
	c.mu.Lock()
	c.lastFailed = time.Now()
	c.mu.Unlock()
}

// Health returns when the store last answered, whether the last request failed, and when the connection began.
func (c *Client) Health() (time.Time, bool, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastOK, c.lastFailed.After(c.lastOK), c.started
}

// LastResponse returns when the store last answered anything, a refusal included.
func (c *Client) LastResponse() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastResponse
}

// FailedSince reports whether the last request failed, later than t.
func (c *Client) FailedSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastFailed.After(c.lastOK) && c.lastFailed.After(t)
}

// WaitForWrites waits for the leader's share of the write rate.
func (c *Client) WaitForWrites(ctx context.Context, n int) error {
	if c.writeLimiter == nil {
		return ctx.Err()
	}
	return c.writeLimiter.WaitN(ctx, min(n, c.writeLimiter.Burst()))
}

// SetWriteShare gives the client's controller its share of the write rate.
func (c *Client) SetWriteShare(writeRPS float64) {
	c.writeLimiter = rate.NewLimiter(rate.Limit(writeRPS), max(int(writeRPS), 1))
}

// Get reads a key; nil: it is absent.
func (c *Client) Get(ctx context.Context, key string) (*records.KeyValue, error) {
	if err := c.beginCall(ctx); err != nil {
		return nil, err
	}
	if kv, _, ok := c.store.get(key); ok {
		return &kv, nil
	}
	return nil, nil
}

// List reads the keys under a prefix, and returns the revision of the first page.
func (c *Client) List(ctx context.Context, prefix string, each func(records.KeyValue) error) (uint64, error) {
	if err := c.beginCall(ctx); err != nil {
		return 0, err
	}
	var first uint64
	for since, more := "", true; more; {
		var entries []records.KeyValue
		var revision uint64
		entries, more, revision = c.store.page(prefix, since, listPageEntries, maxPageBytes)
		if since == "" {
			first = revision
		}
		for _, kv := range entries {
			if err := each(kv); err != nil {
				return 0, err
			}
			since = kv.Key
		}
	}
	return first, nil
}

// Commit applies a transaction, unless an injected fault delays it or loses its answer.
func (c *Client) Commit(ctx context.Context, compares []records.Compare, ops []records.Op) (uint64, error) {
	c.mu.Lock()
	delay, killed := c.delay, c.killed
	c.mu.Unlock()
	if delay >= requestTimeout && !killed {
		// It reaches the store all the same, when nobody waits for it any more.
		time.AfterFunc(delay, func() {
			if !c.store.refuses(c.name) {
				_, _ = c.store.commit(compares, ops)
			}
		})
	}
	if err := c.beginCall(ctx); err != nil {
		return 0, err
	}
	lateBy, lost := c.losesAnswer()
	switch {
	case lost && lateBy == 0:
		// It is carried out at once, and only its answer is lost.
		_, _ = c.store.commit(compares, ops)
		if err := ctxtime.Sleep(ctx, requestTimeout); err != nil {
			return 0, err
		}
		c.recordFailure()
		return 0, fmt.Errorf("%w: its answer is lost", records.ErrUnknownOutcome)
	case lost:
		time.AfterFunc(lateBy, func() { _, _ = c.store.commit(compares, ops) })
		return 0, fmt.Errorf("%w: lost", records.ErrUnknownOutcome)
	}
	return c.store.commit(compares, ops)
}

// losesAnswer decides whether a commit gets no answer, and how much later it is carried out then.
func (c *Client) losesAnswer() (lateBy time.Duration, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.loseAnswers > 0:
		c.loseAnswers--
		return c.lostCommitDelay, true
	case c.pickLateWrite != nil:
		return c.pickLateWrite()
	}
	return 0, false
}

// GrantLease obtains a lease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	if err := c.beginCall(ctx); err != nil {
		return 0, err
	}
	return c.store.grantLease(ttl), nil
}

// RenewLease renews a lease.
func (c *Client) RenewLease(ctx context.Context, id uint64, _ time.Duration) error {
	if err := c.beginCall(ctx); err != nil {
		return err
	}
	if !c.store.renewLease(id) {
		return records.ErrLeaseExpired
	}
	return nil
}

// RevokeLease ends a lease.
func (c *Client) RevokeLease(ctx context.Context, id uint64) {
	if c.beginCall(ctx) == nil {
		c.store.revokeLease(id)
	}
}

// Watch waits for a change under a prefix.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]records.Event, uint64, error) {
	if err := c.beginCall(ctx); err != nil {
		return nil, since, err
	}
	events, revision, err := c.store.watch(ctx, c.name, prefix, since, wait, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.killed || c.hang > 0
	})
	if err == nil {
		c.mu.Lock()
		c.lastOK = time.Now()
		c.mu.Unlock()
	}
	return events, revision, err
}
