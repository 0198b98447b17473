// Package peer is what controllers tell each other on their back address, in
// msgpack: how the store serves them, how jobs progress, and requests of users
// that one passes on because the store refuses it alone.
package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"drumpick/internal/cancellation"
	"drumpick/internal/config"
	"drumpick/internal/httpclient"
	"drumpick/internal/watermark"

	"github.com/gofiber/fiber/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Status is how the store serves a controller.
type Status struct {
	Node                string `msgpack:"node"`
	StoreSilentMS       int64  `msgpack:"silent_ms"` // since the store's last answer, or since the start
	StoreAnswered       bool   `msgpack:"answered"`  // the store has answered since the start
	StoreFailing        bool   `msgpack:"failing"`   // its last request failed
	CancellationQuietMS int64  `msgpack:"quiet_ms"`  // since a user was last told of a cancellation, or since the start
	// Told is which cancellations that were, where it was asked. Versions that do not tell
	// leave it out.
	Cancellations *cancellation.ConfirmedList `msgpack:"told,omitempty"`
	// Heard is what it remembers of leaders' words about their marks. Versions without
	// marks leave it out.
	Attestation *watermark.Attestation `msgpack:"heard,omitempty"`
	// Settled is the latest settled term that it has heard of.
	Reconciled *watermark.Attestation `msgpack:"settled,omitempty"`
	// RenewedMS is since it may last have renewed a worker's lease, as leader, or since the
	// start. Versions that do not tell leave it out.
	SinceRenewalMS *int64 `msgpack:"renewed_ms,omitempty"`
}

// StatusOf says how the store serves a controller, and what that has told of cancellations.
func StatusOf(node string, store interface {
	Health() (lastOK time.Time, failing bool, started time.Time)
}, told *cancellation.Log, ask StatusRequest) Status {
	lastOK, failing, started := store.Health()
	now := time.Now()
	s := Status{Node: node, StoreAnswered: !lastOK.IsZero(), StoreFailing: failing, CancellationQuietMS: told.QuietFor(now).Milliseconds()}
	// Guards against a span that no clock could have measured: it asks for all there is.
	if span := time.Duration(min(ask.CancellationSpanMS, mostAskedMS)) * time.Millisecond; span > 0 {
		word := told.Confirmed(span, now)
		s.Cancellations = &word
	}
	if !s.StoreAnswered {
		lastOK = started
	}
	s.StoreSilentMS = time.Since(lastOK).Milliseconds()
	return s
}

// mostAskedMS bounds how far back a controller is asked for what it told.
const mostAskedMS = 24 * 3600 * 1000

// WithAttestations adds what a controller remembers of leaders' words, having heard one more, and
// how long ago it may last have renewed a lease.
func (s Status) WithAttestations(w *watermark.Observer, word watermark.Attestation, renewed time.Duration) Status {
	heard, settled, ms := w.Observe(word), w.LatestReconciled(), renewed.Milliseconds()
	s.Attestation, s.Reconciled, s.SinceRenewalMS = &heard, &settled, &ms
	return s
}

// StatusRequest is a leader's word about its marks, along with which a controller is asked how the
// store serves it.
type StatusRequest struct {
	watermark.Attestation
	// ToldMS asks for the cancellations that it told so long ago or later; 0: for none.
	CancellationSpanMS int64 `msgpack:"told_ms,omitempty"`
}

// JobRequest names a job.
type JobRequest struct {
	ID string `msgpack:"id"`
}

// CancelledReply says whether a leader has taken in what it was told.
type CancelledReply struct {
	Acknowledged bool `msgpack:"heard"`
}

// Progress is how a job stands at the leader.
type Progress struct {
	Known   bool   `msgpack:"known"`
	Status  string `msgpack:"status"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
	// Clear says that no job before this one is cancelled, as far as the leader knew
	// so long ago. Earlier versions leave it out: then it is not known.
	DependenciesClear bool  `msgpack:"clear,omitempty"`
	ClearAgeMS        int64 `msgpack:"clear_ms,omitempty"`
}

// Requests of users that one controller passes on to another.
const (
	MethodSubmit = "submit"
	MethodPoll   = "poll"
	MethodCancel = "withdraw"
	// MethodSubmitWithDependencies is a submission that names prerequisites. Guards against an earlier
	// version, which would accept it as a job that waits for nothing: it does not know
	// this word, and answers 400.
	MethodSubmitWithDependencies = "submit_chain"
)

// RelayRequest is a user's request, passed on.
type RelayRequest struct {
	Method string `msgpack:"method"`
	ID     string `msgpack:"id"`
	Body   []byte `msgpack:"body"`
}

// RelayReply is its answer.
type RelayReply struct {
	Status int    `msgpack:"status"`
	Body   []byte `msgpack:"body"`
}

// Final says whether a peer's answer is one for the user. What is malformed is not
// passed on, so a 400 for a chain says that the peer knows no chains.
func (out *RelayReply) Final(r RelayRequest) bool {
	return out.Status != 503 && out.Status != 0 && !(out.Status == 400 && r.Method == MethodSubmitWithDependencies)
}

// HeartbeatRequest is a worker's report that came to a controller which does not lead.
type HeartbeatRequest struct {
	Body []byte `msgpack:"body"` // as the worker sent it
}

// Peers calls the other controllers.
type Peers struct {
	timeout time.Duration
	seeds   []config.Peer
	clients []*httpclient.Client
}

// NewPeers returns a caller for the other controllers.
func NewPeers(seeds []config.Peer, timeout time.Duration) *Peers {
	p := &Peers{timeout: timeout, seeds: seeds}
	for _, s := range seeds {
		p.clients = append(p.clients, httpclient.New(s.Addr, 16, timeout))
	}
	return p
}

// ErrUnsupported means that a peer answered that it does not know what it was asked.
var ErrUnsupported = errors.New("peer: unexpected status")

func (p *Peers) call(i int, path string, in, out any, timeout time.Duration) error {
	raw, err := msgpack.Marshal(in)
	if err != nil {
		return err
	}
	status, answer, err := p.clients[i].Do("POST", path, "application/msgpack", raw, time.Now().Add(timeout))
	if err != nil {
		return fmt.Errorf("peer %s: %w", p.seeds[i].Node, err)
	}
	if status != 200 {
		return fmt.Errorf("%w %d from %s", ErrUnsupported, status, p.seeds[i].Node)
	}
	return msgpack.Unmarshal(answer, out)
}

// Status asks every other controller. all is true when every one answered.
func (p *Peers) Status(ctx context.Context) (answers []Status, all bool) {
	return p.QueryStatus(ctx, StatusRequest{})
}

// QueryStatus is Status with a leader's word about its marks; a zero word tells nothing.
func (p *Peers) QueryStatus(_ context.Context, ask StatusRequest) (answers []Status, all bool) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range p.seeds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var s Status
			if p.call(i, "/peer/status", ask, &s, p.timeout) == nil {
				mu.Lock()
				answers = append(answers, s)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return answers, len(answers) == len(p.seeds)
}

// Progress asks a node how a job stands.
func (p *Peers) Progress(node, id string) (Progress, error) {
	for i, s := range p.seeds {
		if s.Node == node {
			var out Progress
			err := p.call(i, "/peer/progress", JobRequest{id}, &out, p.timeout/2)
			return out, err
		}
	}
	return Progress{}, fmt.Errorf("peer %q is not known", node)
}

// NotifyCancelled tells a node that leads of a cancelled job. heard says that it starts none of its
// tasks from then on; a version that does not know the question answers with an Unknown error.
func (p *Peers) NotifyCancelled(node, id string) (heard bool, err error) {
	for i, s := range p.seeds {
		if s.Node == node {
			var out CancelledReply
			err := p.call(i, "/peer/cancelled", JobRequest{id}, &out, p.timeout)
			return out.Acknowledged, err
		}
	}
	return false, fmt.Errorf("peer %q is not known", node)
}

// Relay passes a user's request to the peers in turn, until one has a final
// answer for it.
func (p *Peers) Relay(r RelayRequest, timeout time.Duration) (RelayReply, bool) {
	for i := range p.seeds {
		var out RelayReply
		if p.call(i, "/peer/relay", r, &out, timeout) == nil && out.Final(r) {
			return out, true
		}
	}
	return RelayReply{}, false
}

// RelayHeartbeat passes a worker's report on to the node that leads.
func (p *Peers) RelayHeartbeat(node string, body []byte) (RelayReply, error) {
	for i, s := range p.seeds {
		if s.Node == node {
			var out RelayReply
			err := p.call(i, "/peer/checkin", HeartbeatRequest{body}, &out, p.timeout)
			return out, err
		}
	}
	return RelayReply{}, fmt.Errorf("peer %q is not known", node)
}

// Operate asks the node that leads an operator's question. A version without operators
// answers 404, which is an error here.
func (p *Peers) Operate(node string, r RelayRequest, timeout time.Duration) (RelayReply, error) {
	for i, s := range p.seeds {
		if s.Node == node {
			var out RelayReply
			err := p.call(i, "/peer/operate", r, &out, timeout)
			return out, err
		}
	}
	return RelayReply{}, fmt.Errorf("peer %q is not known", node)
}

// Handlers are what a controller answers its peers with.
type Handlers struct {
	Operate         func(RelayRequest) RelayReply // nil where operators are not served
	Status          func(StatusRequest) Status
	Progress        func(id string) Progress
	Relay           func(RelayRequest) RelayReply
	RelayHeartbeat  func(HeartbeatRequest) RelayReply
	RelayHeartbeats func(HeartbeatBatch) HeartbeatBatchReply // nil where reports are not passed on
	// Cancelled takes in a cancellation, as the leader; nil: like a version that does not know it.
	Cancelled func(id string) bool
}

// Mount serves the handlers on the back address.
func Mount(app *fiber.App, h Handlers) {
	app.Post("/peer/status", func(c *fiber.Ctx) error {
		// Versions without marks send a word that says nothing.
		var ask StatusRequest
		if err := msgpack.Unmarshal(c.Body(), &ask); err != nil {
			return c.SendStatus(400)
		}
		return send(c, h.Status(ask))
	})
	app.Post("/peer/progress", func(c *fiber.Ctx) error {
		var a JobRequest
		if err := msgpack.Unmarshal(c.Body(), &a); err != nil {
			return c.SendStatus(400)
		}
		return send(c, h.Progress(a.ID))
	})
	if h.Cancelled != nil {
		app.Post("/peer/cancelled", func(c *fiber.Ctx) error {
			var a JobRequest
			if err := msgpack.Unmarshal(c.Body(), &a); err != nil {
				return c.SendStatus(400)
			}
			return send(c, CancelledReply{h.Cancelled(a.ID)})
		})
	}
	app.Post("/peer/checkin", func(c *fiber.Ctx) error {
		var in HeartbeatRequest
		if err := msgpack.Unmarshal(c.Body(), &in); err != nil {
			return c.SendStatus(400)
		}
		return send(c, h.RelayHeartbeat(in))
	})
	if h.RelayHeartbeats != nil {
		app.Post("/peer/checkins", func(c *fiber.Ctx) error {
			var in HeartbeatBatch
			if err := msgpack.Unmarshal(c.Body(), &in); err != nil {
				return c.SendStatus(400)
			}
			return send(c, h.RelayHeartbeats(in))
		})
	}
	relay := func(answer func(RelayRequest) RelayReply) fiber.Handler {
		return func(c *fiber.Ctx) error {
			var r RelayRequest
			if err := msgpack.Unmarshal(c.Body(), &r); err != nil {
				return c.SendStatus(400)
			}
			return send(c, answer(r))
		}
	}
	app.Post("/peer/relay", relay(h.Relay))
	if h.Operate != nil {
		app.Post("/peer/operate", relay(h.Operate))
	}
}

func send(c *fiber.Ctx, v any) error {
	raw, err := msgpack.Marshal(v)
	if err != nil {
		return err
	}
	c.Set("Content-Type", "application/msgpack")
	return c.Send(raw)
}
