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
	// networkLatency is the delivery time of a message.
	networkLatency = 5 * time.Millisecond
	// requestTimeout is the maximum time that a caller waits for a response, as in the controllers' settings.
	requestTimeout = time.Second
	// listPageEntries is the page size that List requests.
	listPageEntries = 500
)

// Client is a controller's connection to the store. It injects faults of the connection.
type Client struct {
	store        *Store
	name         string
	started      time.Time
	writeLimiter *rate.Limiter // of the leader's background writes; nil: no limit

	mu                 sync.Mutex // guards the fields below
	lastOK, lastFailed time.Time  // times of the last successful and the last failed call
	lastResponse       time.Time  // including refusals

	killed          bool
	hang            time.Duration // calls hang for this time and get no response; 0: calls get responses
	delay           time.Duration // minimum duration of a call; from requestTimeout on, calls time out
	loseResponses   int           // number of next commits that get no response and are applied after lostCommitDelay
	lostCommitDelay time.Duration
	pickLateWrite   func() (time.Duration, bool) // see SetLateWrites
}

// Client returns a new connection for the controller with the given name.
func (s *Store) Client(name string) *Client {
	return &Client{store: s, name: name, started: time.Now()}
}

// LoseResponses drops the responses of the next n commits and applies them after d.
func (c *Client) LoseResponses(n int, d time.Duration) {
	c.mu.Lock()
	c.loseResponses, c.lostCommitDelay = n, d
	c.mu.Unlock()
}

// SetLateWrites sets the function that decides for each commit whether its response is lost, and after which delay the
// commit is then applied; 0: at once. A delayed commit can be applied after newer ones. If the function is nil, every
// commit gets a response.
func (c *Client) SetLateWrites(pick func() (time.Duration, bool)) {
	c.mu.Lock()
	c.pickLateWrite = pick
	c.mu.Unlock()
}

// SetDelay sets the minimum duration of every call; 0: only networkLatency. From requestTimeout on, calls time out.
func (c *Client) SetDelay(d time.Duration) {
	c.mu.Lock()
	c.delay = d
	c.mu.Unlock()
}

// SetHang makes every call hang for a time without a response. If the time is 0, calls get responses again.
func (c *Client) SetHang(d time.Duration) {
	c.mu.Lock()
	c.hang = d
	c.mu.Unlock()
	c.store.mu.Lock()
	c.store.wakeWatchersLocked() // open watches check for the hang
	c.store.mu.Unlock()
}

// Kill closes the connection, as when the controller's process ends.
func (c *Client) Kill() {
	c.mu.Lock()
	c.killed = true
	c.mu.Unlock()
}

// beginCall waits for the latency of a call. It returns an error if an injected fault makes the call fail.
func (c *Client) beginCall(ctx context.Context) error {
	c.mu.Lock()
	delay, hang := c.delay, c.hang
	c.mu.Unlock()
	if err := ctxtime.Sleep(ctx, max(networkLatency, hang, min(delay, requestTimeout))); err != nil {
		return err
	}
	if delay >= requestTimeout {
		c.recordFailure()
		return fmt.Errorf("%w: request timed out", records.ErrUnknownOutcome)
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

// recordFailure records that a call got no response.
func (c *Client) recordFailure() {
	c.mu.Lock()
	c.lastFailed = time.Now()
	c.mu.Unlock()
}

// Health returns the time of the last successful response, whether the last request failed, and when the client was
// created.
func (c *Client) Health() (time.Time, bool, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastOK, c.lastFailed.After(c.lastOK), c.started
}

// LastResponse returns the time of the store's last response, including refusals.
func (c *Client) LastResponse() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastResponse
}

// FailedSince reports whether the last request failed and did so after t.
func (c *Client) FailedSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastFailed.After(c.lastOK) && c.lastFailed.After(t)
}

// WaitForWrites blocks until the share set by SetWriteShare allows n writes, or a full burst if n is larger. Without a
// share it does not wait. It returns an error if ctx ends.
func (c *Client) WaitForWrites(ctx context.Context, n int) error {
	if c.writeLimiter == nil {
		return ctx.Err()
	}
	return c.writeLimiter.WaitN(ctx, min(n, c.writeLimiter.Burst()))
}

// SetWriteShare sets the controller's share of the write rate, in writes per second. It must be called before the client
// is used concurrently.
func (c *Client) SetWriteShare(writeRPS float64) {
	c.writeLimiter = rate.NewLimiter(rate.Limit(writeRPS), max(int(writeRPS), 1))
}

// Get returns the entry of a key, or nil if it is absent.
func (c *Client) Get(ctx context.Context, key string) (*records.KeyValue, error) {
	if err := c.beginCall(ctx); err != nil {
		return nil, err
	}
	if kv, _, ok := c.store.get(key); ok {
		return &kv, nil
	}
	return nil, nil
}

// List calls each for all entries under a prefix, in order of their keys, and returns the revision of the first page.
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

// Commit applies a transaction and returns its revision. It returns records.ErrUnknownOutcome if an injected fault
// delays the commit or drops its response.
func (c *Client) Commit(ctx context.Context, compares []records.Compare, ops []records.Op) (uint64, error) {
	c.mu.Lock()
	delay, killed := c.delay, c.killed
	c.mu.Unlock()
	if delay >= requestTimeout && !killed {
		// The commit reaches the store nevertheless, after the caller's timeout.
		time.AfterFunc(delay, func() {
			if !c.store.refuses(c.name) {
				_, _ = c.store.commit(compares, ops)
			}
		})
	}
	if err := c.beginCall(ctx); err != nil {
		return 0, err
	}
	lateBy, lost := c.losesResponse()
	switch {
	case lost && lateBy == 0:
		// The commit is applied at once and only its response is lost.
		_, _ = c.store.commit(compares, ops)
		if err := ctxtime.Sleep(ctx, requestTimeout); err != nil {
			return 0, err
		}
		c.recordFailure()
		return 0, fmt.Errorf("%w: response lost", records.ErrUnknownOutcome)
	case lost:
		time.AfterFunc(lateBy, func() { _, _ = c.store.commit(compares, ops) })
		return 0, fmt.Errorf("%w: commit delayed and response lost", records.ErrUnknownOutcome)
	}
	return c.store.commit(compares, ops)
}

// losesResponse decides whether a commit's response is lost, and after which delay the commit is then applied.
func (c *Client) losesResponse() (lateBy time.Duration, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.loseResponses > 0:
		c.loseResponses--
		return c.lostCommitDelay, true
	case c.pickLateWrite != nil:
		return c.pickLateWrite()
	}
	return 0, false
}

// GrantLease obtains a lease and returns its ID.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	if err := c.beginCall(ctx); err != nil {
		return 0, err
	}
	return c.store.grantLease(ttl), nil
}

// RenewLease renews a lease for its original TTL. It returns records.ErrLeaseExpired if the lease does not exist.
func (c *Client) RenewLease(ctx context.Context, id uint64, _ time.Duration) error {
	if err := c.beginCall(ctx); err != nil {
		return err
	}
	if !c.store.renewLease(id) {
		return records.ErrLeaseExpired
	}
	return nil
}

// RevokeLease revokes a lease, unless an injected fault makes the call fail.
func (c *Client) RevokeLease(ctx context.Context, id uint64) {
	if c.beginCall(ctx) == nil {
		c.store.revokeLease(id)
	}
}

// Watch waits up to wait for changes under a prefix after the revision since. It returns the changes and the revision
// from which the next watch continues.
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
