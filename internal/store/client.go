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
	// leaderWriteShare is the leader's share of the write rate; the rest is left to users.
	leaderWriteShare = 0.5
	// throttledRetries and userThrottledRetries limit the retries of a throttled request of the
	// leader and of a user.
	throttledRetries     = 3
	userThrottledRetries = 1
	// The first pause before a retry is timeout / retryPauseDivisor on average; it doubles per retry.
	retryPauseDivisor = 20
	// Each attempt of a user's request waits for the throttles for at most timeout / userWaitDivisor.
	userWaitDivisor = 2
)

// Client is a client of the store. It is safe for concurrent use.
type Client struct {
	*connection
	forUsers bool // the requests are users' requests, which wait for the user throttles
}

// connection is the state that all Clients of one store connection share.
type connection struct {
	http         *httpclient.Client
	timeout      time.Duration // of a request
	leaderWrites *rate.Limiter // limits the leader's own writes, not those of users
	userRequests *userThrottle // limits the number of users' requests
	userWrites   *userThrottle // limits the keys that users' requests write

	started time.Time // when the client was created

	mu           sync.Mutex // guards the fields below
	lastOK       time.Time  // time of the last response with a status other than 429 and 503
	lastFailure  time.Time  // time of the last 503 or missing response
	lastResponse time.Time  // time of the last response of any status
}

// Limits are the store's rate limits and the client's connection limits.
type Limits struct {
	RPS            float64 // requests per second that the store accepts; 0: unknown
	WriteRPS       float64 // key writes per second that the store accepts; 0: unknown
	Controllers    int     // number of controllers that share the rates
	MaxConnections int
	Timeout        time.Duration // of a request, and of opening a connection
}

// NewClient returns a client for the leader's own requests to the store at addr, a host:port.
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

// ForUsers returns a client for users' requests that shares the connections of c. While the store
// throttles, users' requests wait briefly for the user throttles or fail with records.ErrThrottled,
// so that the rest of the store's rate stays available to the leader.
func (c *Client) ForUsers() *Client { return &Client{connection: c.connection, forUsers: true} }

// Health returns when the store last served a request (zero: not since the start), whether it has
// failed since, and when the client started.
func (c *Client) Health() (lastOK time.Time, failing bool, started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastOK, c.failingLocked(), c.started
}

// FailedSince reports whether the store has served no request since its last failure, and that
// failure was after t.
func (c *Client) FailedSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failingLocked() && c.lastFailure.After(t)
}

// failingLocked reports whether the store has failed since it last served a request. The caller must
// hold mu.
func (c *connection) failingLocked() bool { return c.lastFailure.After(c.lastOK) }

// LastResponse returns the time of the store's last response, of any status, or the start of the
// client if there was none.
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

// WaitForWrites blocks until the leader's share of the write rate allows n writes, or the writes of one
// second if n is more. It returns an error if ctx ends or would end first. Commit does not call it.
func (c *Client) WaitForWrites(ctx context.Context, n int) error {
	return c.leaderWrites.WaitN(ctx, min(n, c.leaderWrites.Burst()))
}

// request is a request to the store.
type request struct {
	method, uri string
	body        any // nil if the request has no body
	writes      int // number of keys that the request writes or deletes
	// shared marks a request that serves many users at once; it does not wait for the user throttles.
	shared bool
}

// send sends a request once. It returns an error if the store is unavailable or throttles (503, 429),
// so that the request was not executed, or if no response arrived, so that the outcome is unknown.
// The caller handles all other statuses. Of ctx only the deadline counts: a cancellation does not end
// the call.
func (c *connection) send(ctx context.Context, r request, timeout time.Duration) (status int, body []byte, err error) {
	start := time.Now()
	deadline := start.Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	status, body, err = c.http.DoJSON(r.method, r.uri, r.body, deadline)
	if err != nil {
		unansweredTotal.Inc()
		c.recordFailure()
		return 0, nil, fmt.Errorf("%w: %s %s: %v", records.ErrUnknownOutcome, r.method, r.uri, err)
	}
	if timeout <= c.timeout { // excludes watches, which block until a change
		requestSeconds.UpdateDuration(start)
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

// sendWithRetries is like send, and retries a throttled request a few times with backoff. It returns
// records.ErrThrottled without a request if a user's request does not pass the user throttles in time.
func (c *Client) sendWithRetries(ctx context.Context, r request) (status int, body []byte, err error) {
	retries := throttledRetries
	if c.forUsers {
		retries = userThrottledRetries
	}
	pause := c.timeout / retryPauseDivisor
	for retry := 0; ; retry++ {
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
		if retry == retries {
			return status, body, err
		}
		if err := ctxtime.Sleep(ctx, pause/2+rand.N(pause)); err != nil {
			return 0, nil, err
		}
		pause *= 2
	}
}

// waitForThrottle blocks until the user throttles admit a request that writes the given number of
// keys. It returns false if this would take more than timeout / userWaitDivisor or if ctx ends.
func (c *Client) waitForThrottle(ctx context.Context, writes int) bool {
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
	return (writes == 0 || wait(c.userWrites, writes)) && wait(c.userRequests, 1)
}
