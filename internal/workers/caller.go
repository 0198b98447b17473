// Package workers sends direct commands to workers.
package workers

import (
	"fmt"
	"sync"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/httpclient"

	"github.com/mailru/easyjson"
)

// Caller sends direct commands to workers, a bounded number at a time.
type Caller struct {
	timeout time.Duration
	slots   chan struct{}

	mu      sync.Mutex
	clients map[string]*httpclient.Client
}

// NewCaller returns a caller that has at most n calls under way.
func NewCaller(n int, timeout time.Duration) *Caller {
	return &Caller{timeout: timeout, slots: make(chan struct{}, n), clients: map[string]*httpclient.Client{}}
}

// Go runs f once a slot is free, without waiting for it.
func (c *Caller) Go(f func()) {
	go func() {
		c.slots <- struct{}{}
		defer func() { <-c.slots }()
		f()
	}()
}

// mostAddresses bounds the addresses that are remembered: machines come and go. It lies above
// the largest fleet that one leader was seen to carry; beyond it all are forgotten at once, and
// each is made anew at its next call, which needs a new connection in any case.
const mostAddresses = 20_000

func (c *Caller) client(addr string) *httpclient.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	hc := c.clients[addr]
	if hc == nil {
		if len(c.clients) >= mostAddresses {
			for a, old := range c.clients {
				old.Close()
				delete(c.clients, a)
			}
		}
		hc = httpclient.New(addr, 2, c.timeout/2)
		hc.ClosePerCall = true
		c.clients[addr] = hc
	}
	return hc
}

// Outcome is what a worker did with the commands of a request.
type Outcome int

const (
	// OutcomeUnknown means that no valid answer came: the commands may have been executed.
	OutcomeUnknown Outcome = iota
	// OutcomeExecuted means that the worker executed the commands.
	OutcomeExecuted
	// OutcomeRejected means that the worker executed none of them, because the fencing
	// token or the incarnation of the request was out of date.
	OutcomeRejected
)

// SendCommands sends commands to the worker at addr. Whether it executed or rejected them,
// its heartbeat comes back. With an error the outcome is OutcomeUnknown.
func (c *Caller) SendCommands(addr string, d fleet.CommandRequest) (Outcome, *fleet.Heartbeat, error) {
	status, raw, err := c.client(addr).JSON("POST", "/orders", d, time.Now().Add(c.timeout))
	if err != nil {
		return OutcomeUnknown, nil, fmt.Errorf("worker %s: %w", addr, err)
	}
	var outcome Outcome
	switch status {
	case 200:
		outcome = OutcomeExecuted
	case 409:
		outcome = OutcomeRejected
	default:
		return OutcomeUnknown, nil, fmt.Errorf("worker %s: status %d", addr, status)
	}
	var r fleet.Heartbeat
	if err := easyjson.Unmarshal(raw, &r); err != nil {
		return OutcomeUnknown, nil, fmt.Errorf("worker %s: %w", addr, err)
	}
	if err := r.Check(); err != nil {
		return OutcomeUnknown, nil, fmt.Errorf("worker %s: %w", addr, err)
	}
	return outcome, &r, nil
}
