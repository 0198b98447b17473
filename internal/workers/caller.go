// Package workers sends commands to workers, where a command cannot wait for the answer to
// the worker's next heartbeat.
package workers

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/httpclient"

	"github.com/mailru/easyjson"
)

const (
	// pathCommands is where a worker takes commands.
	pathCommands = "/orders"
	// maxConnectionsPerWorker bounds the connections to one worker.
	maxConnectionsPerWorker = 2
	// maxAddresses bounds the addresses that are remembered: machines come and go. It lies
	// above the largest fleet that one leader was seen to carry; beyond it all are forgotten at
	// once, and each is made anew at its next call, which needs a new connection in any case.
	maxAddresses = 20_000
)

// Caller sends commands to workers, a bounded number at a time. It is safe for concurrent use.
type Caller struct {
	timeout time.Duration
	slots   chan struct{} // one for each call under way

	mu      sync.Mutex                    // guards clients
	clients map[string]*httpclient.Client // by address
}

// NewCaller returns a caller that has at most maxCalls calls under way.
func NewCaller(maxCalls int, timeout time.Duration) *Caller {
	return &Caller{timeout: timeout, slots: make(chan struct{}, maxCalls), clients: map[string]*httpclient.Client{}}
}

// Go runs f once a slot is free, without waiting for it.
func (c *Caller) Go(f func()) {
	go func() {
		c.slots <- struct{}{}
		defer func() { <-c.slots }()
		f()
	}()
}

// client returns the client of an address.
func (c *Caller) client(addr string) *httpclient.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.clients[addr]; known != nil {
		return known
	}
	if len(c.clients) >= maxAddresses {
		c.removeAllLocked()
	}
	client := httpclient.New(addr, maxConnectionsPerWorker, c.timeout/2)
	client.ClosePerCall = true
	c.clients[addr] = client
	return client
}

// removeAllLocked forgets all addresses.
func (c *Caller) removeAllLocked() {
	for addr, client := range c.clients {
		client.Close()
		delete(c.clients, addr)
	}
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
func (c *Caller) SendCommands(addr string, request fleet.CommandRequest) (Outcome, *fleet.Heartbeat, error) {
	status, body, err := c.client(addr).DoJSON(http.MethodPost, pathCommands, request, time.Now().Add(c.timeout))
	if err != nil {
		return OutcomeUnknown, nil, fmt.Errorf("worker %s: %w", addr, err)
	}
	var outcome Outcome
	switch status {
	case http.StatusOK:
		outcome = OutcomeExecuted
	case http.StatusConflict:
		outcome = OutcomeRejected
	default:
		return OutcomeUnknown, nil, fmt.Errorf("worker %s: status %d", addr, status)
	}
	var heartbeat fleet.Heartbeat
	if err := easyjson.Unmarshal(body, &heartbeat); err != nil {
		return OutcomeUnknown, nil, fmt.Errorf("worker %s: %w", addr, err)
	}
	if err := heartbeat.Validate(); err != nil {
		return OutcomeUnknown, nil, fmt.Errorf("worker %s: %w", addr, err)
	}
	return outcome, &heartbeat, nil
}
