// Package intake is the users' side: submit, poll, withdraw, ready. Any
// controller serves it from the store.
package api

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"drumpick/internal/cancellation"
	"drumpick/internal/config"
	"drumpick/internal/ctxtime"
	"drumpick/internal/fleet"
	"drumpick/internal/peer"
	"drumpick/internal/records"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/utils"
	"golang.org/x/time/rate"
)

// Store is what intake needs of the state service.
type Store interface {
	Get(ctx context.Context, key string) (*records.KeyValue, error)
	List(ctx context.Context, prefix string, each func(records.KeyValue) error) (uint64, error)
	Commit(ctx context.Context, when []records.Compare, ops []records.Op) (uint64, error)
	Health() (lastOK time.Time, failing bool, started time.Time)
	// Reached is when the service last answered anything, a refusal included.
	LastResponse() time.Time
}

// Peers is what intake needs of the other controllers.
type Peers interface {
	Status(ctx context.Context) (answers []peer.Status, all bool)
	Progress(node, id string) (peer.Progress, error)
	Relay(r peer.RelayRequest, timeout time.Duration) (peer.RelayReply, bool)
	RelayHeartbeat(node string, body []byte) (peer.RelayReply, error)
	RelayHeartbeats(node string, in peer.HeartbeatBatch, timeout time.Duration) (peer.HeartbeatBatchReply, error)
	// Cancelled tells the node that leads of a cancellation; heard says that it starts none of
	// the job's tasks from then on.
	NotifyCancelled(node, id string) (heard bool, err error)
}

// Local is this process's leader side, when it leads.
type Local interface {
	Progress(id string) (status string, done, running int, ok bool)
	// Clear says whether no job before this one was cancelled so long ago.
	DependenciesClear(id string) (age time.Duration, ok bool)
	Heartbeat(r *fleet.Heartbeat) fleet.HeartbeatResult
	// Recency tells how a report stands to what is known of its machine.
	Recency(r *fleet.Heartbeat) fleet.Recency
	// Cancel takes in that a job is cancelled, by the store's word, and says whether none of its
	// tasks is sent from then on.
	NotifyCancelled(ctx context.Context, id string) bool
	// Late notes by how much something waited before the leader got to it.
	ObserveDelay(d time.Duration)
	// Unreachable says whether a worker that came to a peer cannot reach us.
	NeedsRelay(r *fleet.Heartbeat) bool
}

// Server answers users and workers.
type Server struct {
	cfg    *config.Config
	store  Store
	peers  Peers
	leader func() string // node that leads, "" when unknown
	local  func() Local  // nil when this process does not lead
	reads  *rate.Limiter // what polls may take of the store's request rate

	told    *cancellation.Log
	crowd   crowd
	relays  relays
	renewed atomic.Value // time.Time: when a report was last answered here as leader, or the start

	mu    sync.Mutex
	types []records.MachineType
	over  map[string]records.ClosedJob // final states never change
	// unheard are cancelled jobs of which it is not known whether the leader has heard, with when
	// that they are cancelled was first known here.
	unheard map[string]time.Time
	clear   map[string]time.Time // until then neither this open job nor one before it was cancelled
	needs   map[string][]string  // jobs that an accepted one needs
	doomed  map[string]bool      // jobs with a cancelled one before them
	known   map[string]bool      // jobs that were accepted, as far as remembered
	repeat  time.Time            // when a job last came that another controller had accepted
	served  bool                 // the store serves another controller, but not this one
	asked   bool                 // the others were asked since the store failed this one
	alone   bool                 // neither the store nor any other controller answers
}

// New returns a server.
func New(cfg *config.Config, store Store, peers Peers, leader func() string, local func() Local) *Server {
	share := cfg.Deployment.State.Lowest().RPS * pollShare
	s := &Server{
		cfg: cfg, store: store, peers: peers, leader: leader, local: local,
		reads: rate.NewLimiter(rate.Limit(share/float64(max(cfg.Deployment.Nodes, 1))), max(int(share), 1)),
		over:  map[string]records.ClosedJob{}, known: map[string]bool{}, clear: map[string]time.Time{}, unheard: map[string]time.Time{},
		needs: map[string][]string{}, doomed: map[string]bool{}, told: cancellation.NewLog(time.Now()),
	}
	s.renewed.Store(time.Now())
	s.relays.gather = peer.NewBatcher(cfg.HeartbeatInterval()/windowShare, s.passOn)
	return s
}

// pollShare is the share of the store's request rate that polls may take with a read each.
// Guards against polls, for unknown jobs or by the thousand, that leave the leader's lease
// and submissions without an answer: beyond it many share a read (crowd.go).
const pollShare = 0.6

// SetTypes tells which machine types there are.
func (s *Server) SetTypes(t []records.MachineType) {
	s.mu.Lock()
	s.types = t
	s.mu.Unlock()
}

// HasTypes says whether the machine types are known.
func (s *Server) HasTypes() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.types) > 0
}

// Cancellations is what users were told here of cancellations.
func (s *Server) Cancellations() *cancellation.Log { return s.told }

// SinceRenewal is how long ago this controller may last have renewed a worker's lease, or this
// process started.
func (s *Server) SinceRenewal() time.Duration {
	return time.Since(s.renewed.Load().(time.Time))
}

// answer is what a user is told.
type answer struct {
	status int
	body   any
}

type state struct {
	ID      string `json:"uid"`
	Status  string `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

type failure struct {
	Error string `json:"error"`
}

func fail(status int, text string) answer { return answer{status, failure{text}} }

var errAway = fail(503, "the service cannot decide now; please retry")

// Mount serves users and workers.
func (s *Server) Mount(app *fiber.App) {
	app.Post("/work", func(c *fiber.Ctx) error {
		return s.reply(c, peer.RelayRequest{Method: peer.MethodSubmit, Body: c.Body()})
	})
	app.Get("/work/:id", func(c *fiber.Ctx) error {
		return s.reply(c, peer.RelayRequest{Method: peer.MethodPoll, ID: utils.CopyString(c.Params("id"))})
	})
	app.Post("/work/:id/withdraw", func(c *fiber.Ctx) error {
		return s.reply(c, peer.RelayRequest{Method: peer.MethodCancel, ID: utils.CopyString(c.Params("id"))})
	})
	app.Get("/ready", func(c *fiber.Ctx) error {
		if s.Ready() {
			return c.SendStatus(200)
		}
		c.Set("Retry-After", retryAfter(1))
		return c.SendStatus(503)
	})
	app.Post("/checkin", s.checkin)
}

// reply answers a user. Where the store refuses this controller, a peer that is
// served answers in its place; where none is, the user is told at once to retry.
func (s *Server) reply(c *fiber.Ctx, r peer.RelayRequest) error {
	out := s.Answer(r)
	if out.Status == 503 {
		c.Set("Retry-After", retryAfter(1))
	}
	c.Set("Content-Type", "application/json")
	return c.Status(out.Status).Send(out.Body)
}

// Answer decides what a user is told. While it is open whether the store refuses
// this controller alone, peers are tried too: they say at once if they cannot.
func (s *Server) Answer(r peer.RelayRequest) peer.RelayReply {
	if s.isAlone() {
		// Whatever is not known here nobody can be asked: users are told at once, and go on
		// to another controller.
		return s.answerWithin(r, 0)
	}
	_, failing, _ := s.store.Health()
	served, asked := s.peerServed()
	if r.Method == peer.MethodSubmit && failing {
		switch j, _, err := parse(r.Body); {
		case err != nil:
			return s.answerWithin(r, s.budget())
		case j.Dependencies != nil:
			r.Method = peer.MethodSubmitWithDependencies
		}
	}
	if failing && served {
		if out, ok := s.peers.Relay(r, s.budget()/2); ok {
			return out
		}
	}
	out := s.answerWithin(r, s.budget())
	if _, failing, _ = s.store.Health(); out.Status == 503 && failing && !asked {
		if other, ok := s.peers.Relay(r, s.budget()/2); ok {
			return other
		}
	}
	return out
}

func (s *Server) answerWithin(r peer.RelayRequest, budget time.Duration) peer.RelayReply {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	a := s.serve(ctx, r)
	return asJSON(a.status, a.body)
}

// userPatience is how long users wait for the answer to a poll (PROTOCOL).
const userPatience = 2 * time.Second

// budget bounds the work on one request.
func (s *Server) budget() time.Duration { return userPatience * 3 / 4 }

// Relay answers a request that a peer passed on.
func (s *Server) Relay(r peer.RelayRequest) peer.RelayReply { return s.answerWithin(r, s.budget()/2) }

func (s *Server) serve(ctx context.Context, r peer.RelayRequest) answer {
	switch r.Method {
	case peer.MethodSubmit, peer.MethodSubmitWithDependencies:
		return s.submit(ctx, r.Body)
	case peer.MethodPoll:
		return s.poll(ctx, r.ID)
	case peer.MethodCancel:
		return s.withdraw(ctx, r.ID)
	}
	return fail(400, "unknown request")
}

func (s *Server) poll(ctx context.Context, id string) answer {
	if !records.ValidID(id) {
		return fail(404, "no such job")
	}
	if a, ok := s.remembered(ctx, id); ok {
		return a
	}
	read := time.Now()
	if s.crowd.here(read) {
		return s.pollShared(ctx, id)
	}
	if !s.reads.Allow() {
		s.crowd.more(read)
		return s.pollShared(ctx, id)
	}
	row, over, err := s.lookup(ctx, id)
	switch {
	case errors.Is(err, records.ErrThrottled):
		s.crowd.more(time.Now())
		return s.pollShared(ctx, id)
	case err != nil:
		slog.Debug("poll failed", "job", id, "err", err)
		return errAway
	case over != nil:
		return s.overAnswer(ctx, id, *over)
	case row == nil:
		return fail(404, "no such job")
	}
	p := s.progress(id)
	if a, over := s.chained(ctx, id, row, read, p); over {
		return a
	}
	return openAnswer(id, p)
}

func openAnswer(id string, p peer.Progress) answer {
	return answer{200, state{ID: id, Status: p.Status, Done: &p.Done, Running: &p.Running}}
}

// progress is for display only: where the leader is not at hand, an open job
// is simply pending.
func (s *Server) progress(id string) peer.Progress {
	if l := s.local(); l != nil {
		if status, done, running, ok := l.Progress(id); ok {
			age, isClear := l.DependenciesClear(id)
			return peer.Progress{Known: true, Status: status, Done: done, Running: running, DependenciesClear: isClear, ClearAgeMS: age.Milliseconds()}
		}
	} else if node := s.leader(); node != "" && node != s.cfg.Node {
		if p, err := s.peers.Progress(node, id); err == nil && p.Known {
			return p
		}
	}
	return peer.Progress{Status: records.StatusPending}
}

// Ready says whether this controller can take requests. It cannot when the
// store refuses it alone; in an outage that all share, it stays ready, since
// no other controller would serve better.
func (s *Server) Ready() bool {
	lastOK, failing, started := s.store.Health()
	if lastOK.IsZero() {
		lastOK = started
	}
	if !failing || time.Since(lastOK) < s.cfg.HeartbeatInterval()/2 {
		return true
	}
	served, _ := s.peerServed()
	return !served && !s.isAlone()
}

// isAlone says whether this controller is cut off: in an outage that all share the store
// refuses, or others say that they fare no better.
func (s *Server) isAlone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alone
}

// peerServed says whether the store was last seen to serve some other
// controller, and whether they were asked since the store failed this one.
func (s *Server) peerServed() (served, asked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served, s.asked
}

// Watch asks the other controllers, while the store fails this one, whether it
// serves them. It works in the background, so that no user waits for a
// controller that is cut off.
func (s *Server) Watch(ctx context.Context) {
	report := s.cfg.HeartbeatInterval()
	for ctxtime.Sleep(ctx, report/4) == nil {
		served, alone := false, false
		_, failing, _ := s.store.Health()
		if failing {
			answers, all := s.peers.Status(ctx)
			alone = !all && len(answers) == 0 && time.Since(s.store.LastResponse()) > report/2
			for _, a := range answers {
				// An open watch outlasts the start of an outage without failing,
				// so only a recent answer counts.
				served = served || !a.StoreFailing && time.Duration(a.StoreSilentMS)*time.Millisecond < report*3/2
			}
		}
		s.mu.Lock()
		s.served, s.asked, s.alone = served, failing, alone
		s.mu.Unlock()
	}
}

type referral struct {
	Conductor string `json:"conductor,omitempty"`
}
