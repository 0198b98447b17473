// Package workers sends a worker the commands that cannot wait for the response to the worker's next
// heartbeat.
package workers

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/httpclient"
	"drumpick/internal/jsoncodec"
)

const (
	// pathCommands is the worker's path for commands.
	pathCommands = "/orders"
	// maxConnectionsPerWorker bounds the connections to one worker.
	maxConnectionsPerWorker = 2
	// maxAddresses bounds the cached clients: without it, the clients of returned machines would
	// accumulate. It is above the largest fleet that one leader has handled. At the bound the whole
	// cache is cleared; this is cheap because every call opens a new connection anyway.
	maxAddresses = 20_000
)

// Caller sends commands to workers. Calls made by Go have bounded concurrency. It is safe for
// concurrent use.
type Caller struct {
	timeout time.Duration // of a call
	slots   chan struct{} // one element per running function of Go

	mu      sync.Mutex                    // guards clients
	clients map[string]*httpclient.Client // by address
}

// NewCaller returns a caller whose Go runs at most maxCalls functions at a time. Each call has the
// given timeout.
func NewCaller(maxCalls int, timeout time.Duration) *Caller {
	return &Caller{timeout: timeout, slots: make(chan struct{}, maxCalls), clients: map[string]*httpclient.Client{}}
}

// Go starts a goroutine that runs f, which makes one call, once a slot is free. It does not block.
func (c *Caller) Go(f func()) {
	go func() {
		c.slots <- struct{}{}
		defer func() { <-c.slots }()
		f()
	}()
}

// client returns the cached client of an address. If there is none, it creates and caches one.
func (c *Caller) client(addr string) *httpclient.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached := c.clients[addr]; cached != nil {
		return cached
	}
	if len(c.clients) >= maxAddresses {
		c.removeAllLocked()
	}
	client := httpclient.New(addr, maxConnectionsPerWorker, c.timeout/2)
	client.ClosePerCall = true
	c.clients[addr] = client
	return client
}

// removeAllLocked clears the client cache. The caller must hold mu.
func (c *Caller) removeAllLocked() {
	for addr, client := range c.clients {
		client.Close()
		delete(c.clients, addr)
	}
}

// Outcome reports whether a worker executed the commands of a request.
type Outcome int

const (
	// OutcomeUnknown means that no valid response arrived: the worker may have executed the commands.
	OutcomeUnknown Outcome = iota
	// OutcomeExecuted means that the worker executed the commands.
	OutcomeExecuted
	// OutcomeRejected means that the worker executed none of the commands because the fencing
	// token or the incarnation of the request was outdated.
	OutcomeRejected
)

// SendCommands sends commands to the worker at addr. It returns the worker's heartbeat if the
// worker executed or rejected them, and OutcomeUnknown with an error otherwise. It takes no slot:
// see Go.
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
	if err := jsoncodec.Unmarshal(body, &heartbeat); err != nil {
		return OutcomeUnknown, nil, fmt.Errorf("worker %s: %w", addr, err)
	}
	if err := heartbeat.Validate(); err != nil {
		return OutcomeUnknown, nil, fmt.Errorf("worker %s: %w", addr, err)
	}
	return outcome, &heartbeat, nil
}
