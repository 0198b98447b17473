// Package lead drives a term: it feeds what comes in to a dispatch.Core, carries the
// decisions out, and keeps what the next leader needs in the store. What to decide is not
// for here; whether a decision may still be carried out is.
package leader

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/cancellation"
	"drumpick/internal/config"
	"drumpick/internal/election"
	"drumpick/internal/fleet"
	"drumpick/internal/httpclient"
	"drumpick/internal/peer"
	"drumpick/internal/records"
	"drumpick/internal/scheduler"
	"drumpick/internal/watermark"
)

// Store is the state service as a leader needs it.
type Store interface {
	Get(ctx context.Context, key string) (*records.KeyValue, error)
	List(ctx context.Context, prefix string, each func(records.KeyValue) error) (uint64, error)
	Commit(ctx context.Context, when []records.Compare, ops []records.Op) (uint64, error)
	Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]records.Event, uint64, error)
	WaitForWrites(ctx context.Context, n int) error
	Health() (lastOK time.Time, failing bool, started time.Time)
	FailedSince(t time.Time) bool
}

// Cloud rents machines.
type Cloud interface {
	Types(ctx context.Context) ([]records.MachineType, error)
	Rent(ctx context.Context, r autoscaler.RentalRequest) ([]string, error)
	Return(ctx context.Context, hosts []string) error
	List(ctx context.Context) ([]autoscaler.CloudMachine, error)
}

// Workers takes direct commands to workers.
type Workers interface {
	Go(f func())
	SendCommands(addr string, d fleet.CommandRequest) (int, *fleet.Heartbeat, error)
}

// Peers are the other controllers.
type Peers interface {
	QueryStatus(ctx context.Context, ask peer.StatusRequest) (answers []peer.Status, all bool)
}

// Leader drives a dispatch.Core through one term: it feeds events in and carries the
// decisions out. Nothing is held locked over I/O.
type Leader struct {
	cfg     *config.Config
	set     scheduler.Settings
	store   Store
	cloud   Cloud
	tenure  *election.Election
	peers   Peers
	workers Workers
	witness *watermark.Observer // this controller's own
	told    *cancellation.Log   // what users were told here of cancellations

	term   uint64
	began  time.Time
	last   watermark.Attestation // of the latest settled term, as heard at the takeover
	mu     sync.Mutex
	core   *scheduler.Scheduler
	rec    *scheduler.Persistence
	loaded chan struct{}
	wake   chan struct{} // something is to be stored
	over   atomic.Bool   // the term is over, or given up
	logged chan struct{} // closed, and replaced, when machines have come on record
	ended  ended         // jobs that others said are cancelled

	contactMu sync.Mutex
	bound     cancellation.RenewalBound // until when leases may be renewed
	vouched   time.Time                 // until then, nobody else can lead, grant or not
	word      watermark.Attestation
	loose     time.Time // until then, all others have heard that the marks are loose
	swore     time.Time // when a record was last made that the marks are whole
	spoke     time.Time // when the others were last told how they stand; for announce alone
}

// New prepares a term; Run serves it.
func New(cfg *config.Config, store Store, cloud Cloud, ten *election.Election, peers Peers, workers Workers, witness *watermark.Observer, told *cancellation.Log, term uint64) *Leader {
	set := scheduler.SettingsOf(cfg)
	return &Leader{
		cfg: cfg, set: set, store: store, cloud: cloud, tenure: ten, peers: peers, workers: workers, witness: witness, told: told,
		term: term, began: time.Now(), core: scheduler.New(set, term, time.Now()),
		loaded: make(chan struct{}), wake: make(chan struct{}, 1), logged: make(chan struct{}),
		word:  watermark.Attestation{Term: term, Revision: term, Node: cfg.Node},
		bound: cancellation.NewRenewalBound(config.Seconds(cfg.Deployment.Workers.CancelS), set.Lease),
	}
}

// granted says whether the term is surely ours at this moment.
func (l *Leader) granted() bool {
	term, until := l.tenure.Term()
	return term == l.term && time.Now().Before(until)
}

// Run serves the term until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { l.over.Store(true) })()
	var epoch uint64
	for {
		began := time.Now()
		e, err := l.load(ctx)
		if err == nil {
			epoch = e
			l.touched(began)
			break
		}
		slog.Warn("takeover: cannot read the store", "term", l.term, "err", err)
		if httpclient.Sleep(ctx, l.set.HeartbeatInterval/8+rand.N(l.set.HeartbeatInterval/8)) != nil {
			return
		}
	}
	close(l.loaded)
	var wg sync.WaitGroup
	work := []func(context.Context){
		func(ctx context.Context) { l.watch(ctx, epoch) },
		l.flush, l.tick, l.fence, l.prices, l.lists, l.rents, l.returns, l.confirm, l.resolve, l.lapse,
	}
	if l.cfg.Options.Operators {
		work = append(work, func(ctx context.Context) { l.watchDrains(ctx, epoch) })
	}
	for _, f := range work {
		wg.Add(1)
		go func() { defer wg.Done(); f(ctx) }()
	}
	wg.Wait()
}

// watch follows new and closed jobs.
func (l *Leader) watch(ctx context.Context, since uint64) {
	l.follow(ctx, records.PrefixOpen, since, l.set.HeartbeatInterval, l.reread, func(events []records.Event, asked time.Time) {
		// What came back was made after it was asked for: up to then nothing
		// was missed.
		now := time.Now()
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, e := range events {
			if e.Write != "" {
				l.addJob(l.core, e.Write, e.Value, e.Revision, now, now)
			} else if id, ok := strings.CutPrefix(e.Delete, records.PrefixOpen); ok {
				l.core.CloseJob(id) // how it ended, its over record tells
			}
		}
		if len(events) > 0 && l.granted() {
			l.core.Replan(now)
		}
		l.ended.seen(asked)
		l.touched(asked)
	})
}

// follow watches a prefix, and reads it again where its revision is too old. take is given
// each answer, and when it was asked for.
func (l *Leader) follow(ctx context.Context, prefix string, since uint64, wait time.Duration,
	reread func(context.Context) (uint64, error), take func(events []records.Event, asked time.Time)) {
	for ctx.Err() == nil {
		asked := time.Now()
		events, epoch, err := l.store.Watch(ctx, prefix, since, wait)
		if errors.Is(err, records.ErrCompacted) {
			epoch, err = reread(ctx)
			events = nil
		}
		if err != nil {
			if httpclient.Sleep(ctx, l.set.HeartbeatInterval/8+rand.N(l.set.HeartbeatInterval/8)) != nil {
				return
			}
			continue
		}
		since = epoch
		take(events, asked)
	}
}

// reread replaces a watch whose revision is too old.
func (l *Leader) reread(ctx context.Context) (uint64, error) {
	open := map[string]records.KeyValue{}
	epoch, err := l.store.List(ctx, records.PrefixOpen, func(r records.KeyValue) error {
		open[strings.TrimPrefix(r.Key, records.PrefixOpen)] = r
		return nil
	})
	if err != nil {
		return 0, err
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.CloseMissing(func(id string) bool { _, ok := open[id]; return ok }, epoch)
	for _, r := range open {
		l.addJob(l.core, r.Key, r.Value, r.Revision, now, now)
	}
	return epoch, nil
}

// Heartbeat answers a worker.
func (l *Leader) Heartbeat(r *fleet.Heartbeat) fleet.HeartbeatResult {
	select {
	case <-l.loaded:
	default:
		t := time.NewTimer(l.set.HeartbeatInterval / 2)
		defer t.Stop()
		select {
		case <-l.loaded:
		case <-t.C:
			return fleet.HeartbeatResult{Outcome: fleet.HeartbeatUnavailable}
		}
	}
	// Guards against workers held by one that has given up leading and still waits for calls
	// which nobody answers.
	if l.over.Load() {
		return fleet.HeartbeatResult{Outcome: fleet.HeartbeatRedirected}
	}
	now := time.Now()
	// Guards against renewing leases while cancellations may be missed, be it in an
	// outage with others' word for the leadership or with a watch that hangs.
	if !l.supports(now) {
		return fleet.HeartbeatResult{Outcome: fleet.HeartbeatUnavailable}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.ObserveDelay(time.Since(now))
	if r.FencingToken > l.term {
		// Somebody leads with a higher term: not we.
		l.tenure.Resign()
		return fleet.HeartbeatResult{Outcome: fleet.HeartbeatRedirected}
	}
	m, stale := l.core.Reconcile(r, true, now)
	if stale || m == nil {
		if resp, ok := l.core.RenewOvertaken(m, r, now); ok {
			return fleet.HeartbeatResult{Outcome: fleet.HeartbeatAccepted, Response: resp}
		}
		return fleet.HeartbeatResult{Outcome: fleet.HeartbeatUnavailable}
	}
	l.core.ObserveUse(m)
	// One that may have nothing yet, as it has not shown our term, needs no record: it is
	// answered, which shows it the term, and given nothing. Guards against machines on
	// record, and waited for at the next takeover, which a late copy of a report made up.
	if !m.Recorded && (m.Reconciled || !m.Empty()) && !l.await(m, func() bool { return m.Recorded }) {
		return fleet.HeartbeatResult{Outcome: fleet.HeartbeatUnavailable}
	}
	now = time.Now()
	can := l.mayStart()
	// Asked with the lock held from there on until the answer is made: announce relies on it.
	l.core.SetRelaxed(l.isLoose(now))
	if can {
		ok, stands := l.marked(m, now)
		if !ok {
			return fleet.HeartbeatResult{Outcome: fleet.HeartbeatUnavailable}
		}
		if !stands {
			now = time.Now()
			l.core.SetRelaxed(l.isLoose(now))
			l.core.PlanMachine(m, now)
		}
	}
	resp := l.core.Respond(m, can, now)
	// Guards against a grant that ended while orders were computed: what was
	// marked as sent is given up when the next report lacks it.
	if can && !l.mayStart() {
		return fleet.HeartbeatResult{Outcome: fleet.HeartbeatUnavailable}
	}
	if l.core.HasUnstoredJobs() {
		l.poke()
	}
	l.core.NoteAnswered(m, r.Via, time.Now())
	return fleet.HeartbeatResult{Outcome: fleet.HeartbeatAccepted, Response: resp}
}

// Recency tells how a report stands to what is known of its machine.
func (l *Leader) Recency(r *fleet.Heartbeat) fleet.Recency {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Recency(r, time.Now())
}

// ObserveDelay notes by how much something waited before this controller got to it, as others
// felt it.
func (l *Leader) ObserveDelay(d time.Duration) {
	l.mu.Lock()
	l.core.ObserveDelay(d)
	l.mu.Unlock()
}

// await waits a moment, with the lock held before and after, until what a machine needs
// is on record: what waits then starts with this answer, and not a report interval
// later. It says whether the machine's report is still the last we know.
func (l *Leader) await(m *fleet.Machine, ready func() bool) bool {
	session, tick := m.Incarnation, m.Sequence
	// Others that came in the same bundle wait along.
	over := time.NewTimer(l.set.HeartbeatInterval / 16)
	defer over.Stop()
	for waiting := true; waiting && !ready() && l.granted(); {
		logged := l.logged
		l.mu.Unlock()
		l.poke()
		select {
		case <-logged:
		case <-over.C:
			waiting = false
		}
		l.mu.Lock()
	}
	return l.core.IsLatest(m, session, tick) && l.supports(time.Now())
}

// NeedsRelay says whether a worker whose report a peer passed on cannot reach
// us itself.
func (l *Leader) NeedsRelay(r *fleet.Heartbeat) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.NeedsRelay(r.Machine, time.Now())
}

func (l *Leader) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// tick does what time brings, and sends kills out at once.
func (l *Leader) tick(ctx context.Context) {
	every := l.set.HeartbeatInterval / scheduler.TicksPerHeartbeat
	for began := time.Now(); httpclient.Sleep(ctx, every) == nil; began = time.Now() {
		now := time.Now()
		can := l.mayStart()
		l.mu.Lock()
		l.core.ObserveTick(now.Sub(began), now)
		l.core.Tick(now, can)
		calls := l.core.TakeUrgentCommands()
		questions := l.core.Probes(now)
		l.mu.Unlock()
		l.ask(questions)
		for _, c := range calls {
			l.workers.Go(func() {
				if _, r, err := l.workers.SendCommands(c.Addr, c.Body); err == nil {
					l.body(r)
				}
			})
		}
	}
}

// ask finds out what machines have whose reports cannot be taken at their word.
func (l *Leader) ask(questions []fleet.Probe) {
	for _, q := range questions {
		l.workers.Go(func() {
			_, r, err := l.workers.SendCommands(q.Addr, fleet.CommandRequest{FencingToken: l.term, Incarnation: q.Incarnation, Commands: []fleet.Command{}})
			if err != nil {
				return
			}
			l.mu.Lock()
			l.core.ApplyProbe(q, r, time.Now())
			l.mu.Unlock()
		})
	}
}

func (l *Leader) body(r *fleet.Heartbeat) {
	l.mu.Lock()
	l.core.Reconcile(r, false, time.Now())
	l.mu.Unlock()
}

// valueBytes is what a value takes at the most.
func (l *Leader) valueBytes() int { return int(l.cfg.Deployment.State.Lowest().ValueKB * 1024) }

// mine is the condition under which every write of a leader stands.
func (l *Leader) mine() []records.Compare {
	return []records.Compare{{Key: records.KeyLeader, Revision: l.term}}
}
