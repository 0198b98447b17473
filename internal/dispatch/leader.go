package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/fleet"
	"drumpick/internal/ledger"
	"drumpick/internal/peer"
	"drumpick/internal/rental"
	"drumpick/internal/tenure"
)

// Store, Cloud, Workers and Peers are what a leader needs of the world outside.
type Store interface {
	Get(ctx context.Context, key string) (*ledger.Row, error)
	List(ctx context.Context, prefix string, each func(ledger.Row) error) (uint64, error)
	Commit(ctx context.Context, when []ledger.Cond, ops []ledger.Op) (uint64, error)
	Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]ledger.Event, uint64, error)
	WaitBatch(ctx context.Context, n int) error
	Health() (lastOK time.Time, failing bool, started time.Time)
	FailedSince(t time.Time) bool
}

type Cloud interface {
	Types(ctx context.Context) ([]ledger.MachineType, error)
	Rent(ctx context.Context, r rental.Request) ([]string, error)
	Return(ctx context.Context, hosts []string) error
	List(ctx context.Context) ([]rental.Listed, error)
}

type Workers interface {
	Go(f func())
	Orders(addr string, d fleet.Direct) (int, *fleet.Report, error)
}

type Peers interface {
	Status(ctx context.Context) (answers []peer.Status, all bool)
}

// Leader drives a Core through one term: it feeds events in and carries the
// decisions out. Nothing is held locked over I/O.
type Leader struct {
	cfg     *config.Config
	set     Settings
	store   Store
	cloud   Cloud
	tenure  *tenure.Tenure
	peers   Peers
	workers Workers
	quiet   func() time.Duration // since a user was last told of a cancellation here

	term    uint64
	mu      sync.Mutex
	core    *Core
	hosts   *ledger.Shelf // machines on record
	chunks  *ledger.Shelf // finished tasks on record
	loaded  chan struct{}
	wake    chan struct{} // something is to be stored
	flushed time.Time     // when finished tasks were last gathered
	logged  chan struct{} // closed, and replaced, when machines have come on record

	contactMu sync.Mutex
	contact   time.Time // until then, no cancellation can have been missed
	vouched   time.Time // until then, nobody else can lead, grant or not
}

// NewLeader prepares a term; Run serves it.
func NewLeader(cfg *config.Config, store Store, cloud Cloud, ten *tenure.Tenure, peers Peers, workers Workers, quiet func() time.Duration, term uint64) *Leader {
	set := SettingsOf(cfg)
	return &Leader{
		cfg: cfg, set: set, store: store, cloud: cloud, tenure: ten, peers: peers, workers: workers, quiet: quiet,
		term: term, core: NewCore(set, term, time.Now()),
		loaded: make(chan struct{}), wake: make(chan struct{}, 1), logged: make(chan struct{}),
	}
}

// granted says whether the term is surely ours at this moment.
func (l *Leader) granted() bool {
	term, until := l.tenure.Term()
	return term == l.term && time.Now().Before(until)
}

// mayStart says whether tasks may be started at this moment: the grant is surely
// ours, or, in an outage that all controllers share, every other one has vouched
// a moment ago that the store has not answered it since our grant was sure. The
// key cannot have changed hands before that, and to lead afterwards takes an
// answer of the store. Machines are given back and rented under the grant alone.
func (l *Leader) mayStart() bool {
	if l.granted() {
		return true
	}
	term, _ := l.tenure.Term()
	l.contactMu.Lock()
	defer l.contactMu.Unlock()
	return term == l.term && time.Now().Before(l.vouched)
}

// supports says whether reports may still be answered with 200. A leader out
// of touch with the store may miss cancellations: it stops renewing leases
// early enough for them to lapse in time.
func (l *Leader) supports(now time.Time) bool {
	w := l.cfg.Facts.Workers
	span := config.Seconds(w.CancelS) - l.set.Lease
	span -= config.Drift(span) + span/10
	l.contactMu.Lock()
	defer l.contactMu.Unlock()
	return now.Before(l.contact.Add(span))
}

func (l *Leader) touched(at time.Time) {
	l.contactMu.Lock()
	if at.After(l.contact) {
		l.contact = at
	}
	l.contactMu.Unlock()
}

func (l *Leader) lastContact() time.Time {
	l.contactMu.Lock()
	defer l.contactMu.Unlock()
	return l.contact
}

// Run serves the term until ctx ends.
func (l *Leader) Run(ctx context.Context) {
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
		if ledger.Sleep(ctx, l.set.Report/8+rand.N(l.set.Report/8)) != nil {
			return
		}
	}
	close(l.loaded)
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){
		func(ctx context.Context) { l.watch(ctx, epoch) },
		l.flush, l.tick, l.fence, l.prices, l.lists, l.rents, l.returns, l.confirm,
	} {
		wg.Add(1)
		go func() { defer wg.Done(); f(ctx) }()
	}
	wg.Wait()
}

// load reads what earlier terms left: open jobs, finished tasks, machines.
func (l *Leader) load(ctx context.Context) (uint64, error) {
	core := NewCore(l.set, l.term, time.Now())
	shelf := func(prefix string) *ledger.Shelf {
		n := 0
		return ledger.NewShelf(prefix, l.cfg.Facts.State.ValueKB, func() string {
			n++
			return fmt.Sprintf("%d-%d", l.term, n)
		})
	}
	hosts, chunks := shelf(ledger.PrefixHosts), shelf(ledger.PrefixDone)
	now, wall := time.Now(), time.Now()
	epoch, err := l.store.List(ctx, ledger.PrefixOpen, func(r ledger.Row) error {
		l.addJob(core, r.Key, r.Value, r.Stamp, now, wall)
		return nil
	})
	if err != nil {
		return 0, err
	}
	if err := l.loadShelf(ctx, ledger.PrefixDone, chunks, func(id string, v json.RawMessage) error {
		job, chunk, ok := ledger.ParseChunkID(id)
		var ranges string
		if !ok || json.Unmarshal(v, &ranges) != nil {
			return errors.New("unreadable")
		}
		return core.LoadDone(job, chunk, ranges)
	}); err != nil {
		return 0, err
	}
	for id := range maps.Clone(chunks.IDs()) {
		if job, _, _ := ledger.ParseChunkID(id); core.jobs[job] == nil {
			chunks.Remove(id)
		}
	}
	if err := l.loadShelf(ctx, ledger.PrefixHosts, hosts, func(host string, v json.RawMessage) error {
		var h ledger.Host
		err := json.Unmarshal(v, &h)
		// Whatever is unreadable about it, the machine may hold tasks.
		core.LoadHost(host, h, now)
		return err
	}); err != nil {
		return 0, err
	}
	if row, err := l.store.Get(ctx, ledger.KeyTypes); err != nil {
		return 0, err
	} else if row != nil {
		var t ledger.Types
		if json.Unmarshal(row.Value, &t) == nil {
			core.SetTypes(t.Types)
		}
	}
	core.checkSettled(now)
	slog.Info("took over", "term", l.term, "jobs", len(core.jobs), "machines", len(core.fleet.Sorted()))
	l.mu.Lock()
	l.core, l.hosts, l.chunks = core, hosts, chunks
	l.mu.Unlock()
	return epoch, nil
}

// loadShelf reads the values of a shelf.
func (l *Leader) loadShelf(ctx context.Context, prefix string, s *ledger.Shelf, each func(id string, v json.RawMessage) error) error {
	_, err := l.store.List(ctx, prefix, func(r ledger.Row) error {
		entries, err := ledger.Entries(prefix, r)
		if err != nil {
			slog.Error("unreadable record", "key", r.Key, "err", err)
			return nil
		}
		s.Load(r.Key, entries)
		for id, v := range entries {
			if err := each(id, v); err != nil {
				slog.Error("unreadable record", "key", r.Key, "id", id, "err", err)
			}
		}
		return nil
	})
	return err
}

func (l *Leader) addJob(core *Core, key string, value json.RawMessage, stamp uint64, now, wall time.Time) {
	var rec ledger.Job
	if err := json.Unmarshal(value, &rec); err != nil || ledger.OpenKey(rec.ID) != key || rec.Tasks <= 0 {
		slog.Error("unreadable record", "key", key, "err", err)
		return
	}
	core.AddJob(rec, stamp, now, wall)
}

// watch follows new and closed jobs.
func (l *Leader) watch(ctx context.Context, since uint64) {
	wait := l.set.Report
	for ctx.Err() == nil {
		asked := time.Now()
		events, epoch, err := l.store.Watch(ctx, ledger.PrefixOpen, since, wait)
		if errors.Is(err, ledger.ErrCompacted) {
			epoch, err = l.reread(ctx)
			events = nil
		}
		if err != nil {
			if ledger.Sleep(ctx, l.set.Report/8+rand.N(l.set.Report/8)) != nil {
				return
			}
			continue
		}
		since = epoch
		// What came back was made after it was asked for: up to then nothing
		// was missed.
		now := time.Now()
		l.mu.Lock()
		for _, e := range events {
			if e.Write != "" {
				l.addJob(l.core, e.Write, e.Value, e.Stamp, now, now)
			} else if id, ok := strings.CutPrefix(e.Delete, ledger.PrefixOpen); ok {
				l.core.CloseJob(id, ledger.StatusCancelled)
			}
		}
		if len(events) > 0 && l.core.dirty && l.granted() {
			l.core.place(now)
		}
		l.mu.Unlock()
		l.touched(asked)
	}
}

// reread replaces a watch whose revision is too old.
func (l *Leader) reread(ctx context.Context) (uint64, error) {
	open := map[string]ledger.Row{}
	epoch, err := l.store.List(ctx, ledger.PrefixOpen, func(r ledger.Row) error {
		open[strings.TrimPrefix(r.Key, ledger.PrefixOpen)] = r
		return nil
	})
	if err != nil {
		return 0, err
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, j := range l.core.jobs {
		// A job newer than the list is not in it.
		if _, ok := open[id]; !ok && j.Stamp <= epoch {
			l.core.CloseJob(id, ledger.StatusCancelled)
		}
	}
	for _, r := range open {
		l.addJob(l.core, r.Key, r.Value, r.Stamp, now, now)
	}
	return epoch, nil
}

// Report answers a worker. A status other than 200 sends it on.
func (l *Leader) Report(r *fleet.Report) (int, fleet.Response) {
	select {
	case <-l.loaded:
	default:
		t := time.NewTimer(l.set.Report / 2)
		defer t.Stop()
		select {
		case <-l.loaded:
		case <-t.C:
			return 503, fleet.Response{}
		}
	}
	now := time.Now()
	// Guards against renewing leases while cancellations may be missed, be it in an
	// outage with others' word for the leadership or with a watch that hangs.
	if !l.supports(now) {
		return 503, fleet.Response{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Baton > l.term {
		// Somebody leads with a higher term: not we.
		l.tenure.Resign()
		return 421, fleet.Response{}
	}
	m, stale := l.core.Body(r, true, now)
	if stale || m == nil {
		return 503, fleet.Response{}
	}
	l.core.Observe(m)
	if !m.Recorded && !l.record(m) {
		return 503, fleet.Response{}
	}
	now = time.Now()
	can := l.mayStart()
	resp := l.core.Respond(m, can, now)
	// Guards against a grant that ended while orders were computed: what was
	// marked as sent is given up when the next report lacks it.
	if can && !l.mayStart() {
		return 503, fleet.Response{}
	}
	if l.core.unstored() {
		l.poke()
	}
	l.core.Answered(m, time.Now())
	return 200, resp
}

// record waits a moment, with the lock held before and after, until a new machine is
// on record: what waits then starts with this answer, and not a report interval
// later. It says whether the machine's report is still the last we know.
func (l *Leader) record(m *fleet.Machine) bool {
	stint, tick := m.Stint, m.Tick
	over := time.NewTimer(l.set.Report / 4)
	defer over.Stop()
	for waiting := true; waiting && !m.Recorded && l.granted(); {
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
	return l.core.fleet.Machines[m.Host] == m && m.Stint == stint && m.Tick == tick && l.supports(time.Now())
}

// Unreachable says whether a worker whose report a peer passed on cannot reach
// us itself.
func (l *Leader) Unreachable(r *fleet.Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Unreachable(r.Host, time.Now())
}

func (l *Leader) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Progress tells how a job stands, for display.
func (l *Leader) Progress(id string) (string, int, int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Progress(id)
}

// tick does what time brings, and sends kills out at once.
func (l *Leader) tick(ctx context.Context) {
	every := l.set.Report / 8
	for ledger.Sleep(ctx, every) == nil {
		now := time.Now()
		can := l.mayStart()
		l.mu.Lock()
		l.core.Tick(now, can)
		type call struct {
			host, addr string
			body       fleet.Direct
		}
		var calls []call
		for host := range l.core.kick {
			m := l.core.fleet.Machines[host]
			if m == nil || m.Addr == "" || !m.Up {
				delete(l.core.kick, host)
				continue
			}
			if orders := m.Orders(); len(orders) > 0 {
				calls = append(calls, call{host, m.Addr, fleet.Direct{Baton: l.term, Stint: m.Stint, Orders: orders}})
			}
			delete(l.core.kick, host)
		}
		l.mu.Unlock()
		for _, c := range calls {
			l.workers.Go(func() {
				if _, r, err := l.workers.Orders(c.addr, c.body); err == nil {
					l.body(r)
				}
			})
		}
	}
}

func (l *Leader) body(r *fleet.Report) {
	l.mu.Lock()
	l.core.Body(r, false, time.Now())
	l.mu.Unlock()
}

// fence makes every machine that earlier terms may have used show our term:
// from then on it follows no older leader, and what it shows is all it runs.
func (l *Leader) fence(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		var todo []*fleet.Machine
		for _, m := range l.core.fleet.Sorted() {
			if m.Inherited && !m.Settled && m.Addr != "" {
				todo = append(todo, m)
			}
		}
		type target struct {
			addr  string
			stint uint64
		}
		targets := make([]target, len(todo))
		for i, m := range todo {
			targets[i] = target{m.Addr, max(m.Stint, 1)}
		}
		settled := l.core.settled
		l.mu.Unlock()
		if settled {
			return
		}
		var wg sync.WaitGroup
		for _, t := range targets {
			wg.Add(1)
			l.workers.Go(func() {
				defer wg.Done()
				for range 2 {
					status, r, err := l.workers.Orders(t.addr, fleet.Direct{Baton: l.term, Stint: t.stint, Orders: []fleet.Order{}})
					if err != nil {
						return
					}
					if r.Baton > l.term {
						return
					}
					l.body(r)
					if status == 200 {
						return
					}
					t.stint = r.Stint
				}
			})
		}
		wg.Wait()
		if ledger.Sleep(ctx, l.set.Report/2) != nil {
			return
		}
	}
}

// prices keeps the machine types, with current prices, and stores them when
// they have changed in kind.
func (l *Leader) prices(ctx context.Context) {
	var stored string
	pause := l.set.Report
	for ctx.Err() == nil {
		types, err := l.cloud.Types(ctx)
		if err != nil {
			slog.Debug("cloud: no machine types", "err", err)
			if ledger.Sleep(ctx, pause/2+rand.N(pause)) != nil {
				return
			}
			continue
		}
		l.mu.Lock()
		l.core.SetTypes(types)
		l.mu.Unlock()
		sort.Slice(types, func(i, j int) bool { return types[i].Name < types[j].Name })
		plain := make([]ledger.MachineType, len(types))
		copy(plain, types)
		for i := range plain {
			plain[i].SpotPrice = 0 // it moves all the time
		}
		raw, _ := json.Marshal(plain)
		if string(raw) != stored {
			if _, err := l.store.Commit(ctx, l.mine(), []ledger.Op{{Write: ledger.KeyTypes, Value: ledger.Types{Types: types}}}); err == nil {
				stored = string(raw)
			}
		}
		if ledger.Sleep(ctx, 15*pause) != nil {
			return
		}
	}
}

// mine is the condition under which every write of a leader stands.
func (l *Leader) mine() []ledger.Cond {
	return []ledger.Cond{{Key: ledger.KeyLeader, Stamp: l.term}}
}

// lists reads the cloud's list of machines now and then.
func (l *Leader) lists(ctx context.Context) {
	for ctx.Err() == nil {
		every := l.set.ListLag + l.set.Report
		asked := time.Now()
		list, err := l.cloud.List(ctx)
		if err == nil {
			l.mu.Lock()
			l.core.Listed(list, asked, time.Now())
			if !l.core.settled {
				every = l.set.ListLag / 2 // work waits to hear which machines are gone
			}
			l.mu.Unlock()
		} else {
			slog.Debug("cloud: no list", "err", err)
		}
		every = max(every, l.set.Report/4)
		if ledger.Sleep(ctx, every*3/4+rand.N(every/2)) != nil {
			return
		}
	}
}

// rents asks for machines.
func (l *Leader) rents(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ledger.Sleep(ctx, l.set.Report/4) == nil {
		if !l.granted() {
			continue
		}
		l.mu.Lock()
		reqs := l.core.Wants(time.Now())
		l.mu.Unlock()
		for _, r := range reqs {
			wg.Add(1)
			go func() { defer wg.Done(); l.rent(ctx, r) }()
		}
	}
}

// rent repeats one request under its own name until it is answered.
func (l *Leader) rent(ctx context.Context, r rental.Request) {
	pause := l.set.Report / 4
	for try := 0; ; try++ {
		var hosts []string
		err := error(rental.ErrTrouble)
		if l.granted() {
			hosts, err = l.cloud.Rent(ctx, r)
		}
		now := time.Now()
		switch {
		case err == nil:
			l.mu.Lock()
			l.core.Rented(r, hosts, now)
			l.mu.Unlock()
			return
		case errors.Is(err, rental.ErrNoCapacity), ctx.Err() != nil, try >= 8:
			l.mu.Lock()
			l.core.Refused(r, errors.Is(err, rental.ErrNoCapacity), now)
			l.mu.Unlock()
			return
		}
		slog.Debug("rental not answered", "booking", r.Booking, "err", err)
		if ledger.Sleep(ctx, pause/2+rand.N(pause)) != nil {
			continue
		}
		pause = min(2*pause, 4*l.set.Report)
	}
}

// returns gives machines back.
func (l *Leader) returns(ctx context.Context) {
	for ledger.Sleep(ctx, l.set.Report/2) == nil {
		if !l.granted() {
			continue
		}
		l.mu.Lock()
		hosts := l.core.Returns(time.Now())
		l.mu.Unlock()
		if len(hosts) == 0 || !l.granted() {
			continue
		}
		if err := l.cloud.Return(ctx, hosts); err != nil {
			slog.Debug("return not answered", "machines", hosts, "err", err)
			continue
		}
		l.mu.Lock()
		l.core.Returned(hosts, time.Now())
		l.mu.Unlock()
		l.poke()
	}
}

// confirm asks the others while the store does not answer us. If no controller
// has told a user of a cancellation since our last contact, we can have missed
// none, and leases may be renewed for longer. A controller that has restarted
// answers only for the time since, so a gap ends it. If one is served while we
// are not, we are the odd one out and step down.
func (l *Leader) confirm(ctx context.Context) {
	odd := time.Time{} // since when others are served and we are not
	for ledger.Sleep(ctx, l.set.Report/2) == nil {
		lastOK, failing, _ := l.store.Health()
		if !failing || time.Since(lastOK) < l.set.Report/2 {
			continue
		}
		asked := time.Now()
		_, until := l.tenure.Term()
		answers, all := l.peers.Status(ctx)
		silent, ended := time.Since(l.lastContact()), time.Since(until)
		served, confirmed, vouched := false, all && l.quiet() >= silent, all
		for _, a := range answers {
			since := time.Duration(a.StoreSilentMS) * time.Millisecond
			served = served || since < l.set.Report/2 && !a.Failing
			quiet := time.Duration(a.QuietMS) * time.Millisecond
			confirmed = confirmed && quiet-config.Drift(quiet) >= silent
			// A controller that the store has never answered since its start
			// cannot lead either, however short that is.
			vouched = vouched && (!a.Answered || since-config.Drift(since) >= ended)
		}
		if !served {
			odd = time.Time{}
		} else if odd.IsZero() {
			odd = asked
		}
		// Guards against the end of an outage that all shared: whoever asks first is
		// served first. Only a request of ours that failed after that tells.
		if served && time.Since(lastOK) > l.set.Report && l.store.FailedSince(odd) && asked.Sub(odd) >= l.set.Report/2 {
			slog.Info("refused by the store alone: stepping down", "term", l.term)
			l.tenure.Resign()
			return
		}
		if confirmed {
			l.touched(asked)
		}
		if vouched && !served {
			l.contactMu.Lock()
			l.vouched = asked.Add(l.set.Report)
			l.contactMu.Unlock()
		}
	}
}
