// Package store talks to the state service: requests within its rates, and what each
// answer, or none, lets a caller conclude (package ledger has the records and errors).
package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strconv"
	"sync"
	"time"

	"drumpick/internal/ctxtime"
	"drumpick/internal/httpclient"
	"drumpick/internal/records"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
)

var (
	requestSeconds  = metrics.NewHistogram("drumpick_state_request_seconds")
	refusedTotal    = metrics.NewCounter("drumpick_state_refused_total")
	throttledTotal  = metrics.NewCounter("drumpick_state_throttled_total")
	unansweredTotal = metrics.NewCounter("drumpick_state_unanswered_total")
	heldBackTotal   = metrics.NewCounter("drumpick_state_users_held_back_total")
)

// Client is a connection to the state service. It is safe for concurrent use.
type Client struct {
	*conn
	users bool // its requests are users', and are held back where the service throttles
}

// conn is what the views of one connection share.
type conn struct {
	link    *httpclient.Client
	timeout time.Duration
	batch   *rate.Limiter // the leader's own writes; users' requests do not wait for it
	calls   *governor     // of users' requests
	changes *governor     // of what they change

	mu       sync.Mutex
	started  time.Time
	lastOK   time.Time // when an answer last came in
	lastFail time.Time
	reached  time.Time // when anything last came back, a refusal included
}

// Limits shape a client.
type Limits struct {
	RPS, WriteRPS  float64 // what the service takes a second, requests and changes; 0: not known
	Controllers    int     // that share it
	MaxConnections int
	Timeout        time.Duration
}

// NewClient returns a client for the state service at addr.
func NewClient(addr string, l Limits) *Client {
	return &Client{conn: &conn{
		calls: newGovernor(l.RPS, l.Controllers), changes: newGovernor(l.WriteRPS, l.Controllers),
		link:    httpclient.New(addr, l.MaxConnections, l.Timeout),
		timeout: l.Timeout,
		// Half of the write rate is the leader's; the rest stays free for users.
		batch:   rate.NewLimiter(rate.Limit(l.WriteRPS/2), max(int(l.WriteRPS/2), 1)),
		started: time.Now(),
	}}
}

// ForUsers returns the same connection for users' requests: where the service throttles they wait a moment for
// their turn, or are told to come back, and leave the rest to the leader.
func (c *Client) ForUsers() *Client { return &Client{c.conn, true} }

// Health tells when the service last answered, and whether it fails now.
func (c *Client) Health() (lastOK time.Time, failing bool, started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastOK, c.lastFail.After(c.lastOK), c.started
}

// FailedSince says whether the last request failed, later than t.
func (c *Client) FailedSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastFail.After(c.lastOK) && c.lastFail.After(t)
}

// LastResponse is when anything last came back from the service, a refusal included, or the start.
func (c *Client) LastResponse() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reached.IsZero() {
		return c.started
	}
	return c.reached
}

func (c *Client) note(ok bool) {
	now := time.Now()
	c.mu.Lock()
	if ok {
		c.lastOK = now
	} else {
		c.lastFail = now
	}
	c.mu.Unlock()
}

// WaitForWrites waits until n of the leader's writes fit into its share of the rate.
func (c *Client) WaitForWrites(ctx context.Context, n int) error {
	return c.batch.WaitN(ctx, min(n, c.batch.Burst()))
}

func (c *Client) call(ctx context.Context, method, uri string, body any, timeout time.Duration) (int, []byte, error) {
	began := time.Now()
	deadline := began.Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	status, raw, err := c.link.JSON(method, uri, body, deadline)
	if err != nil {
		unansweredTotal.Inc()
		c.note(false)
		return 0, nil, fmt.Errorf("%w: %s %s: %v", records.ErrUnknownOutcome, method, uri, err)
	}
	if timeout <= c.timeout { // watches wait on purpose
		requestSeconds.UpdateDuration(began)
	}
	c.mu.Lock()
	c.reached = time.Now()
	c.mu.Unlock()
	switch status {
	case 503:
		refusedTotal.Inc()
		c.note(false)
		return status, nil, records.ErrUnavailable
	case 429:
		throttledTotal.Inc()
		return status, nil, records.ErrThrottled
	}
	c.note(true)
	return status, raw, nil
}

// retry429 repeats a call that was throttled, for a short while. changes is how much it changes.
func (c *Client) retry429(ctx context.Context, method, uri string, body any, changes int) (int, []byte, error) {
	wait := c.timeout / 20
	for i := 0; ; i++ {
		if c.users && changes != many && !c.turn(ctx, changes) {
			heldBackTotal.Inc()
			return 429, nil, records.ErrThrottled
		}
		status, raw, err := c.call(ctx, method, uri, body, c.timeout)
		if !errors.Is(err, records.ErrThrottled) {
			return status, raw, err
		}
		now := time.Now()
		if changes > 0 {
			c.changes.throttled(now)
		}
		c.calls.throttled(now)
		if i == 3 || c.users && i == 1 {
			return status, raw, err
		}
		if err := ctxtime.Sleep(ctx, wait/2+rand.N(wait)); err != nil {
			return 0, nil, err
		}
		wait *= 2
	}
}

// many stands for a call that serves many users at once, and is not held back.
const many = -1

// turn waits for the turn of a user's request, and says whether it has come soon enough.
func (c *Client) turn(ctx context.Context, changes int) bool {
	end := time.Now().Add(c.timeout / 2)
	wait := func(g *governor, n int) bool {
		for {
			now := time.Now()
			d := g.take(float64(n), now)
			if d == 0 {
				return true
			}
			if now.Add(d).After(end) || ctxtime.Sleep(ctx, d) != nil {
				return false
			}
		}
	}
	return (changes == 0 || wait(c.changes, changes)) && wait(c.calls, 1)
}

// Get reads a key. It returns nil when the key is absent.
func (c *Client) Get(ctx context.Context, key string) (*records.KeyValue, error) {
	status, raw, err := c.retry429(ctx, "GET", "/store/"+key, nil, 0)
	if err != nil {
		return nil, err
	}
	switch status {
	case 404:
		// Only the service's own 404 counts as absent.
		var e struct {
			Epoch *uint64 `json:"epoch"`
		}
		if json.Unmarshal(raw, &e) != nil || e.Epoch == nil {
			return nil, fmt.Errorf("%w: 404 without epoch", records.ErrUnexpected)
		}
		return nil, nil
	case 200:
		var r records.KeyValue
		if err := json.Unmarshal(raw, &r); err != nil || r.Key != key || r.Revision == 0 {
			return nil, fmt.Errorf("%w: bad row for %s", records.ErrUnexpected, key)
		}
		return &r, nil
	}
	return nil, fmt.Errorf("%w: %d for %s", records.ErrUnexpected, status, key)
}

// List reads every key under a prefix. The epoch returned is that of the first
// page: a watch from there misses nothing.
func (c *Client) List(ctx context.Context, prefix string, each func(records.KeyValue) error) (uint64, error) {
	var epoch uint64
	since := ""
	for {
		uri := "/store?under=" + url.QueryEscape(prefix) + "&limit=500"
		if since != "" {
			uri += "&since=" + url.QueryEscape(since)
		}
		status, raw, err := c.retry429(ctx, "GET", uri, nil, many)
		if err != nil {
			return 0, err
		}
		var page struct {
			Rows  []records.KeyValue `json:"rows"`
			More  bool               `json:"more"`
			Epoch uint64             `json:"epoch"`
		}
		if status != 200 {
			return 0, fmt.Errorf("%w: %d for list %s", records.ErrUnexpected, status, prefix)
		}
		if err := json.Unmarshal(raw, &page); err != nil {
			return 0, fmt.Errorf("%w: %v", records.ErrUnexpected, err)
		}
		if epoch == 0 {
			epoch = page.Epoch
		}
		for _, r := range page.Rows {
			if err := each(r); err != nil {
				return 0, err
			}
			since = r.Key
		}
		if !page.More || len(page.Rows) == 0 {
			return epoch, nil
		}
	}
}

// Commit applies ops if all conditions hold, and returns the revision.
func (c *Client) Commit(ctx context.Context, when []records.Compare, ops []records.Op) (uint64, error) {
	if when == nil {
		when = []records.Compare{}
	}
	if ops == nil {
		ops = []records.Op{}
	}
	status, raw, err := c.retry429(ctx, "POST", "/commit", struct {
		When   []records.Compare `json:"when"`
		Writes []records.Op      `json:"writes"`
	}{when, ops}, len(ops))
	if err != nil {
		return 0, err
	}
	switch status {
	case 200:
		var r struct {
			Epoch uint64 `json:"epoch"`
		}
		if err := json.Unmarshal(raw, &r); err != nil || r.Epoch == 0 {
			// It was executed, but what came back is unreadable: treat it as unknown.
			return 0, fmt.Errorf("%w: unreadable commit answer", records.ErrUnknownOutcome)
		}
		return r.Epoch, nil
	case 409:
		var e records.ConflictError
		if err := json.Unmarshal(raw, &e); err != nil {
			return 0, fmt.Errorf("%w: %v", records.ErrUnexpected, err)
		}
		return 0, &e
	case 400:
		var e struct {
			Error string `json:"error"`
		}
		_ = json.Unmarshal(raw, &e)
		if e.Error == "no such lease" {
			return 0, records.ErrLeaseExpired
		}
		return 0, fmt.Errorf("%w: %s", records.ErrInvalid, e.Error)
	}
	return 0, fmt.Errorf("%w: %d for commit", records.ErrUnexpected, status)
}

// GrantLease obtains a lease of the given life.
func (c *Client) GrantLease(ctx context.Context, life time.Duration) (uint64, error) {
	status, raw, err := c.retry429(ctx, "POST", "/grants", map[string]int64{"life_ms": life.Milliseconds()}, 0)
	if err != nil {
		return 0, err
	}
	var r struct {
		Hold uint64 `json:"hold"`
	}
	if status != 200 || json.Unmarshal(raw, &r) != nil || r.Hold == 0 {
		return 0, fmt.Errorf("%w: %d for grant", records.ErrUnexpected, status)
	}
	return r.Hold, nil
}

// RenewLease renews a lease; ledger.ErrNoGrant says that it has ended.
func (c *Client) RenewLease(ctx context.Context, hold uint64, timeout time.Duration) error {
	status, _, err := c.call(ctx, "POST", "/grants/"+strconv.FormatUint(hold, 10)+"/extend", struct{}{}, timeout)
	switch {
	case errors.Is(err, records.ErrThrottled):
		c.calls.throttled(time.Now()) // users make room
		return err
	case err != nil:
		return err
	case status == 200:
		return nil
	case status == 404:
		return records.ErrLeaseExpired
	}
	return fmt.Errorf("%w: %d for extend", records.ErrUnexpected, status)
}

// RevokeLease ends a lease; nothing depends on its success.
func (c *Client) RevokeLease(ctx context.Context, hold uint64) {
	_, _, _ = c.call(ctx, "DELETE", "/grants/"+strconv.FormatUint(hold, 10), nil, c.timeout)
}

// Watch waits until something under prefix changes after the given revision.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]records.Event, uint64, error) {
	uri := fmt.Sprintf("/watch?under=%s&since=%d&wait_ms=%d", url.QueryEscape(prefix), since, wait.Milliseconds())
	status, raw, err := c.call(ctx, "GET", uri, nil, wait+c.timeout)
	if err != nil {
		return nil, since, err
	}
	if status == 410 {
		return nil, since, records.ErrCompacted
	}
	var r struct {
		Epoch uint64          `json:"epoch"`
		Log   []records.Event `json:"log"`
	}
	if status != 200 {
		return nil, since, fmt.Errorf("%w: %d for watch", records.ErrUnexpected, status)
	}
	if err := json.Unmarshal(raw, &r); err != nil || r.Epoch < since {
		return nil, since, fmt.Errorf("%w: unreadable watch answer", records.ErrUnexpected)
	}
	return r.Log, r.Epoch, nil
}
