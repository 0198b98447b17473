package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"drumpick/internal/ctxtime"
	"drumpick/internal/httpclient"
	"drumpick/internal/records"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
)

var (
	requestSeconds      = metrics.NewHistogram("drumpick_state_request_seconds")
	refusedTotal        = metrics.NewCounter("drumpick_state_refused_total")
	throttledTotal      = metrics.NewCounter("drumpick_state_throttled_total")
	unansweredTotal     = metrics.NewCounter("drumpick_state_unanswered_total")
	usersThrottledTotal = metrics.NewCounter("drumpick_state_users_held_back_total")
)

const (
	// leaderWriteShare is the leader's part of the write rate; the rest stays free for users.
	leaderWriteShare = 0.5
	// throttledRetries and userThrottledRetries are how often a throttled request is repeated.
	throttledRetries     = 3
	userThrottledRetries = 1
	// retryPauseDivisor is the first pause before a retry, as a part of the timeout.
	retryPauseDivisor = 20
	// userWaitDivisor is how long a user's request waits for its turn, as a part of the timeout.
	userWaitDivisor = 2
)

// Client is a client of the store. It is safe for concurrent use.
type Client struct {
	*connection
	forUsers bool // its requests are users', and are held back where the store throttles
}

// connection is what the views of one connection share.
type connection struct {
	http         *httpclient.Client
	timeout      time.Duration
	leaderWrites *rate.Limiter // the leader's own writes; users' requests do not wait for it
	userRequests *userThrottle
	userWrites   *userThrottle // what users' requests change

	started time.Time

	mu           sync.Mutex // guards the fields below
	lastOK       time.Time  // when an answer last came in that was no refusal
	lastFailure  time.Time  // when a request was last refused or not answered
	lastResponse time.Time  // when anything last came back, a refusal included
}

// Limits are the rates and bounds of a client.
type Limits struct {
	RPS            float64 // requests that the store takes a second; 0: not known
	WriteRPS       float64 // changes that the store takes a second; 0: not known
	Controllers    int     // controllers that share the rates
	MaxConnections int
	Timeout        time.Duration
}

// NewClient returns a client for the store at addr.
func NewClient(addr string, limits Limits) *Client {
	leaderWriteRPS := limits.WriteRPS * leaderWriteShare
	return &Client{connection: &connection{
		http:         httpclient.New(addr, limits.MaxConnections, limits.Timeout),
		timeout:      limits.Timeout,
		leaderWrites: rate.NewLimiter(rate.Limit(leaderWriteRPS), max(int(leaderWriteRPS), 1)),
		userRequests: newUserThrottle(limits.RPS, limits.Controllers),
		userWrites:   newUserThrottle(limits.WriteRPS, limits.Controllers),
		started:      time.Now(),
	}}
}

// ForUsers returns the same connection for users' requests: where the store throttles they
// wait a moment for their turn, or fail as throttled, and leave the rest to the leader.
func (c *Client) ForUsers() *Client { return &Client{connection: c.connection, forUsers: true} }

// Health returns when the store last answered (zero: not since the start), whether it fails
// now, and when the client started.
func (c *Client) Health() (lastOK time.Time, failing bool, started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastOK, c.failingLocked(), c.started
}

// FailedSince reports whether the last request failed, later than t.
func (c *Client) FailedSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failingLocked() && c.lastFailure.After(t)
}

func (c *connection) failingLocked() bool { return c.lastFailure.After(c.lastOK) }

// LastResponse returns when anything last came back from the store, a refusal included, or
// when the client started.
func (c *Client) LastResponse() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastResponse.IsZero() {
		return c.started
	}
	return c.lastResponse
}

func (c *connection) recordOK() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastOK = now
}

func (c *connection) recordFailure() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastFailure = now
}

func (c *connection) recordResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastResponse = time.Now()
}

// WaitForWrites waits until n of the leader's writes fit into its share of the write rate.
func (c *Client) WaitForWrites(ctx context.Context, n int) error {
	return c.leaderWrites.WaitN(ctx, min(n, c.leaderWrites.Burst()))
}

// request is a request to the store.
type request struct {
	method, uri string
	body        any // nil for none
	writes      int // how many keys it changes
	// shared is set for a request that serves many users at once, and is not held back.
	shared bool
}

// send sends a request once. It fails where the store did not execute it, or may not have.
func (c *connection) send(ctx context.Context, r request, timeout time.Duration) (status int, body []byte, err error) {
	began := time.Now()
	deadline := began.Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	status, body, err = c.http.DoJSON(r.method, r.uri, r.body, deadline)
	if err != nil {
		unansweredTotal.Inc()
		c.recordFailure()
		return 0, nil, fmt.Errorf("%w: %s %s: %v", records.ErrUnknownOutcome, r.method, r.uri, err)
	}
	if timeout <= c.timeout { // watches wait on purpose
		requestSeconds.UpdateDuration(began)
	}
	c.recordResponse()
	switch status {
	case http.StatusServiceUnavailable:
		refusedTotal.Inc()
		c.recordFailure()
		return status, nil, records.ErrUnavailable
	case http.StatusTooManyRequests:
		throttledTotal.Inc()
		return status, nil, records.ErrThrottled
	}
	c.recordOK()
	return status, body, nil
}

// sendWithRetries sends a request and repeats it, for a short while, where it is throttled.
func (c *Client) sendWithRetries(ctx context.Context, r request) (status int, body []byte, err error) {
	retries := throttledRetries
	if c.forUsers {
		retries = userThrottledRetries
	}
	pause := c.timeout / retryPauseDivisor
	for try := 0; ; try++ {
		if c.forUsers && !r.shared && !c.waitForThrottle(ctx, r.writes) {
			usersThrottledTotal.Inc()
			return http.StatusTooManyRequests, nil, records.ErrThrottled
		}
		status, body, err = c.send(ctx, r, c.timeout)
		if !errors.Is(err, records.ErrThrottled) {
			return status, body, err
		}
		now := time.Now()
		if r.writes > 0 {
			c.userWrites.recordThrottled(now)
		}
		c.userRequests.recordThrottled(now)
		if try == retries {
			return status, body, err
		}
		if err := ctxtime.Sleep(ctx, pause/2+rand.N(pause)); err != nil {
			return 0, nil, err
		}
		pause *= 2
	}
}

// waitForThrottle waits for the turn of a user's request, and reports whether it has come soon
// enough.
func (c *Client) waitForThrottle(ctx context.Context, changes int) bool {
	end := time.Now().Add(c.timeout / userWaitDivisor)
	wait := func(throttle *userThrottle, n int) bool {
		for {
			now := time.Now()
			d := throttle.tryAcquire(float64(n), now)
			if d == 0 {
				return true
			}
			if now.Add(d).After(end) || ctxtime.Sleep(ctx, d) != nil {
				return false
			}
		}
	}
	return (changes == 0 || wait(c.userWrites, changes)) && wait(c.userRequests, 1)
}
