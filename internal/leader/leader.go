// Package leader serves one term of leadership. It feeds events from workers, peers, the store and
// the cloud to a scheduler.Scheduler, carries out its decisions, and persists what the next leader
// needs. The scheduler makes the decisions; this package decides whether a decision may still be
// carried out.
//
// Invariants:
//   - Fencing by term: every command to a worker carries the term as its fencing token. A leader
//     that receives a higher one in a heartbeat resigns.
//   - No write without the leader key: every commit compares the key with the term, so a late write
//     of a deposed leader fails. Machines are scaled out and in only while the lease on the key is
//     certain not to have expired.
//   - Lease bound: workers' leases are renewed only as long as the leader cannot have missed a
//     cancellation that was confirmed to a user.
//   - Record before use: a machine gets its first task, and a task beyond its watermark is
//     dispatched, only once the machine's record or the watermark is in the store. In an outage of
//     the store for all controllers, tasks are dispatched beyond watermarks once all peers have
//     acknowledged that.
//   - No lock is held over I/O.
package leader

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/cancellation"
	"drumpick/internal/config"
	"drumpick/internal/ctxtime"
	"drumpick/internal/election"
	"drumpick/internal/fleet"
	"drumpick/internal/peer"
	"drumpick/internal/records"
	"drumpick/internal/scheduler"
	"drumpick/internal/watermark"
	"drumpick/internal/workers"
)

// Store is the part of the consensus-backed store that a leader needs. Package store implements it.
type Store interface {
	Get(ctx context.Context, key string) (*records.KeyValue, error)
	List(ctx context.Context, prefix string, each func(records.KeyValue) error) (uint64, error)
	Commit(ctx context.Context, compares []records.Compare, ops []records.Op) (uint64, error)
	Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]records.Event, uint64, error)
	WaitForWrites(ctx context.Context, n int) error
	Health() (lastOK time.Time, failing bool, started time.Time)
	FailedSince(t time.Time) bool
}

// Cloud is the provider that machines are rented from. Rent returns the names of the machines
// granted, which may be fewer than requested.
type Cloud interface {
	Types(ctx context.Context) ([]records.MachineType, error)
	Rent(ctx context.Context, request autoscaler.RentalRequest) ([]string, error)
	Return(ctx context.Context, machines []string) error
	List(ctx context.Context) ([]autoscaler.CloudMachine, error)
}

// Workers sends direct commands to workers. Go runs a call in the background once fewer calls than
// the limit are in progress. SendCommands returns the worker's status, or an error if no valid
// response arrived.
type Workers interface {
	Go(call func())
	SendCommands(addr string, request fleet.CommandRequest) (workers.Outcome, *fleet.Heartbeat, error)
}

// Peers are the other controllers. QueryStatus queries all of them and returns the answers
// received; all reports whether every peer has answered.
type Peers interface {
	QueryStatus(ctx context.Context, request peer.StatusRequest) (answers []peer.Status, all bool)
}

// Leader serves one term of leadership.
type Leader struct {
	*term
	attestor *attestor
	loops    []loopFunc // in the order in which they are started
}

// loopFunc is a loop of a term. It starts once the state of earlier terms is loaded, and returns
// when ctx ends or its work is done. revision is the store revision of the loaded state.
type loopFunc func(ctx context.Context, revision uint64)

// New prepares the term with the given number; Run serves it. observer is the observer of this
// controller; confirmed is the log of the cancellations that this controller has confirmed to
// users.
func New(
	cfg *config.Config, store Store, cloud Cloud, elected *election.Election, peers Peers, workers Workers,
	observer *watermark.Observer, confirmed *cancellation.Log, number uint64,
) *Leader {
	t := newTerm(cfg, store, peers, workers, elected, number)
	attestor := newAttestor(t, observer)
	persister := &persister{term: t, attestor: attestor}
	jobs := &jobWatch{term: t}
	commands := &commandLoop{term: t}
	fencing := &machineFencing{term: t}
	scaling := &autoscaling{term: t, cloud: cloud}
	types := &machineTypes{term: t, cloud: cloud}
	outage := &storeOutage{term: t, attestor: attestor, cancellationLog: confirmed}
	dependencies := newDependencyReader(t)
	expiry := &leaseExpiry{term: t, attestor: attestor}
	l := &Leader{term: t, attestor: attestor}
	l.loops = []loopFunc{
		jobs.run,
		withoutRevision(persister.run),
		withoutRevision(commands.run),
		withoutRevision(fencing.run),
		withoutRevision(types.run),
		withoutRevision(scaling.runReconciliation),
		withoutRevision(scaling.runScaleOut),
		withoutRevision(scaling.runScaleIn),
		withoutRevision(outage.run),
		withoutRevision(dependencies.run),
		withoutRevision(expiry.run),
	}
	if cfg.Options.OperatorAPI {
		l.loops = append(l.loops, (&drainWatch{term: t}).run)
	}
	return l
}

// withoutRevision adapts a loop that needs no revision because it watches no records in the store.
func withoutRevision(run func(ctx context.Context)) loopFunc {
	return func(ctx context.Context, _ uint64) { run(ctx) }
}

// Run serves the term until ctx ends, and returns once all of its loops have returned. A panic of a loop
// ends the term.
func (l *Leader) Run(ctx context.Context) {
	l.guard("term", func() { l.serve(ctx) })
}

func (l *Leader) serve(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { l.closed.Store(true) })()
	revision, ok := l.loadWithRetries(ctx)
	if !ok {
		return
	}
	close(l.loaded)
	var running sync.WaitGroup
	for _, run := range l.loops {
		running.Add(1)
		go func() {
			defer running.Done()
			l.guard("leader loop", func() { run(ctx, revision) })
		}()
	}
	running.Wait()
}

// loadWithRetries loads the state of earlier terms and retries until that succeeds. ok is false if
// ctx ended before.
func (l *Leader) loadWithRetries(ctx context.Context) (revision uint64, ok bool) {
	for {
		askedAt := time.Now()
		revision, err := l.loadState(ctx)
		if err == nil {
			l.contact.record(askedAt)
			return revision, true
		}
		slog.Warn("failover delayed", "term", l.number, "node", l.cfg.Node, "err", err)
		if ctxtime.Sleep(ctx, l.settings.HeartbeatInterval/8+rand.N(l.settings.HeartbeatInterval/8)) != nil {
			return 0, false
		}
	}
}

// term is the state that the loops of one term share.
type term struct {
	number    uint64
	startedAt time.Time // when this process prepared the term, after it had won it
	cfg       *config.Config
	settings  scheduler.Settings
	store     Store
	peers     Peers
	workers   Workers
	election  *election.Election

	loaded    chan struct{} // closed once the state of earlier terms is loaded
	closed    atomic.Bool   // the term has ended or was resigned
	writesDue chan struct{} // triggers the persister; see persistSoon
	contact   storeContact
	state     state
}

func newTerm(cfg *config.Config, store Store, peers Peers, workers Workers, elected *election.Election, number uint64) *term {
	settings := scheduler.SettingsOf(cfg)
	return &term{
		number:    number,
		startedAt: time.Now(),
		cfg:       cfg,
		settings:  settings,
		store:     store,
		peers:     peers,
		workers:   workers,
		election:  elected,
		loaded:    make(chan struct{}),
		writesDue: make(chan struct{}, 1),
		contact:   newStoreContact(config.Seconds(cfg.Deployment.Workers.CancelS), settings.Lease),
		state:     newState(settings, number),
	}
}

// state is the scheduler of a term and the data guarded by the same lock.
type state struct {
	mu          sync.Mutex // guards the fields below; never held over I/O
	scheduler   *scheduler.Scheduler
	persistence *scheduler.Persistence // nil until loaded
	cancelled   cancelledJobs
	committed   chan struct{} // closed, and replaced, after each commit
	lockedAt    time.Time     // when the lock was last acquired
	// inconsistent is set once a holder of the lock has panicked.
	inconsistent bool
}

func newState(settings scheduler.Settings, term uint64) state {
	return state{scheduler: scheduler.New(settings, term, time.Now()), committed: make(chan struct{})}
}

// persistSoon triggers the persister before its next round is due. It does not block.
func (t *term) persistSoon() {
	select {
	case t.writesDue <- struct{}{}:
	default:
	}
}

// maxValueBytes returns the maximum size of a value in the store, in bytes.
func (t *term) maxValueBytes() int {
	return int(t.cfg.Deployment.Store.Lowest().ValueKB * 1024)
}
