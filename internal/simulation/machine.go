package simulation

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/ctxtime"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
	"drumpick/internal/workers"
)

// Machine is a rented machine and its worker.
type Machine struct {
	w        *World
	Host     string
	Zone     string
	Spot     bool
	Version  string
	typ      records.MachineType
	addr     string
	rented   time.Time
	up, gone bool
	hung     bool
	deaf     bool // it speaks, and nothing reaches it
	mute     bool // it reaches no controller, and direct commands reach it
	starts   int  // of its worker, beyond the first
	notice   time.Time
	session  uint64
	tick     uint64
	baton    uint64
	lastSent time.Time // when the last answered report was sent
	tasks    map[string]*attempt
	images   map[string]time.Time // when each is there
	close    func()
	poke     chan struct{}
}

func newMachine(w *World, host string, r autoscaler.RentalRequest) *Machine {
	m := &Machine{
		w: w, Host: host, Zone: r.Zone, Spot: r.Spot, addr: host, rented: time.Now(), session: 1, typ: w.Types[0], Version: w.Version,
		tasks: map[string]*attempt{}, images: map[string]time.Time{}, close: func() {}, poke: make(chan struct{}, 1),
	}
	for _, t := range w.Types {
		if t.Name == r.Type {
			m.typ = t
		}
	}
	return m
}

// bill says what the machine cost until a time, or now.
func (m *Machine) bill(to time.Time) RentalCost {
	end := to
	if to.IsZero() {
		end = time.Now()
	}
	price := m.typ.Price
	if m.Spot {
		price = m.typ.SpotPrice
	}
	return RentalCost{
		Machine: m.Host, Type: m.typ.Name, Zone: m.Zone, Spot: m.Spot, From: m.rented, To: to,
		Cost: price * max(end.Sub(m.rented), autoscaler.MinCharge).Hours(),
	}
}

// end takes the machine away with all that is on it. The world is locked; what it returns closes
// the machine's address, and is to be called when it is not.
func (m *Machine) end() (closeAddr func()) {
	if m.gone {
		return func() {}
	}
	m.gone = true
	m.forget(time.Now())
	m.w.bills = append(m.w.bills, m.bill(time.Now()))
	return m.close
}

// forget drops every task, as lost at a time.
func (m *Machine) forget(at time.Time) {
	for _, s := range m.tasks {
		if s.status != "ended" {
			if s.status == "running" {
				m.w.saveProgress(s, s.checkpoint(time.Now()))
			}
			m.overAt(s, "lost", at)
		}
	}
	clear(m.tasks)
}

// over ends a task.
func (m *Machine) over(s *attempt, cause string) { m.overAt(s, cause, time.Now()) }

// overAt ends a task that was over at a time.
func (m *Machine) overAt(s *attempt, cause string, at time.Time) {
	if cause != fleet.CauseDone && s.job.Shape != records.ShapeService {
		m.w.wasted += max(s.at(time.Now())-m.w.saved[s.safe()], 0)
	}
	s.status, s.cause, s.since, s.until = "ended", cause, at, time.Time{}
	if of := m.w.byJob[s.id.Job]; of != nil {
		if delete(of, s); len(of) == 0 {
			delete(m.w.byJob, s.id.Job)
		}
	}
	m.w.ran = append(m.w.ran, TaskRun{Task: s.task, Machine: m.Host, Zone: m.Zone, Started: s.began, Running: s.ran, Ended: s.since, Cause: cause})
	m.wake()
}

// Type names the machine's type.
func (m *Machine) Type() string { return m.typ.Name }

// Addr is where the machine takes direct commands; "": it does not yet.
func (m *Machine) Addr() string {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	if !m.up {
		return ""
	}
	return m.addr
}

// Die ends a machine without a word; Hang stops it until Resume.
func (m *Machine) Die() {
	m.w.mu.Lock()
	closeAddr := m.end()
	m.w.mu.Unlock()
	closeAddr()
}

// Hang makes the machine and its worker stand still; false lets them go on.
func (m *Machine) Hang(on bool) {
	m.w.mu.Lock()
	m.hung = on
	m.w.mu.Unlock()
}

// SetUnreachable keeps answers and commands from the machine, while its reports arrive; false lets
// it hear again.
func (m *Machine) SetUnreachable(on bool) {
	m.w.mu.Lock()
	m.deaf = on
	m.w.mu.Unlock()
}

// SetIsolated keeps the machine's worker from every controller, while direct commands reach it; false
// lets it report again.
func (m *Machine) SetIsolated(on bool) {
	m.w.mu.Lock()
	m.mute = on
	m.w.mu.Unlock()
}

// Reboot stops the machine and has it back at once, without its tasks and with its counters
// at the start.
func (m *Machine) Reboot() {
	m.w.mu.Lock()
	m.forget(time.Now())
	m.session, m.tick, m.baton, m.lastSent = 1, 0, 0, time.Now()
	m.starts++
	m.w.mu.Unlock()
	m.wake()
}

// NotifyPreemption tells the worker that its machine will be taken.
func (m *Machine) NotifyPreemption(in time.Duration) {
	m.w.mu.Lock()
	m.notice = time.Now().Add(in)
	m.w.mu.Unlock()
	m.wake()
	time.AfterFunc(in, m.Die)
}

func (m *Machine) wake() {
	select {
	case m.poke <- struct{}{}:
	default:
	}
}

func (m *Machine) unreachable() bool { return m.gone || m.hung || !m.up || m.w.cut[m.Zone] }

var errSilent = errors.New("no answer")

// ExecuteCommands takes direct commands.
func (m *Machine) ExecuteCommands(d fleet.CommandRequest) (workers.Outcome, *fleet.Heartbeat, error) {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	if m.unreachable() || m.deaf {
		return workers.OutcomeUnknown, nil, errSilent
	}
	if d.FencingToken < m.baton || d.Incarnation != m.session {
		return workers.OutcomeRejected, m.body(), nil
	}
	m.baton = max(m.baton, d.FencingToken)
	m.execute(d.Commands)
	m.wake()
	return workers.OutcomeExecuted, m.body(), nil
}

// Status is the worker's report, on demand.
func (m *Machine) Status() (*fleet.Heartbeat, error) {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	if m.unreachable() || m.deaf {
		return nil, errSilent
	}
	m.step()
	return m.body(), nil
}

func (m *Machine) body() *fleet.Heartbeat {
	m.tick++
	r := &fleet.Heartbeat{
		Machine: m.Host, Addr: m.addr, Type: m.typ.Name, Zone: m.Zone, Spot: m.Spot,
		Incarnation: m.session, Sequence: m.tick, FencingToken: m.baton, Version: m.Version,
	}
	if !m.notice.IsZero() {
		left := time.Until(m.notice).Seconds()
		r.PreemptionNoticeS = &left
	}
	for _, s := range m.tasks {
		r.Tasks = append(r.Tasks, fleet.TaskStatus{Task: s.task, Attempt: s.try, Status: s.status, Cause: s.cause, Saved: s.saved})
	}
	// Deep copies stand for what goes over the wire.
	raw, _ := json.Marshal(r)
	var out fleet.Heartbeat
	_ = json.Unmarshal(raw, &out)
	return &out
}

// boot brings the machine up; false: it is gone before that.
func (m *Machine) boot() bool {
	w := m.w
	takes := w.Startup
	w.mu.Lock()
	if w.boots != nil {
		takes = w.boots()
	}
	w.mu.Unlock()
	if ctxtime.Sleep(w.ctx, takes) != nil {
		return false
	}
	if w.Open != nil {
		addr, end, err := w.Open(m)
		if err != nil {
			m.Die() // a machine that never comes up
			return false
		}
		w.mu.Lock()
		m.addr, m.close = addr, end
		gone := m.gone
		w.mu.Unlock()
		if gone {
			end()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	m.up, m.lastSent = true, time.Now()
	return !m.gone
}

// patience is how long a worker waits for an answer (PROTOCOL), and elsewhere how soon it
// tries the next controller then, or at once where none listens.
const patience = 4 * time.Second

func (w *World) elsewhere() time.Duration { return min(w.HeartbeatInterval/2, time.Second) }

// run is the life of a machine: boot, then report and run tasks.
func (m *Machine) run() {
	w := m.w
	if !m.boot() || w.Remote {
		return
	}
	node := w.firstNode(m)
	for {
		w.mu.Lock()
		if m.gone {
			w.mu.Unlock()
			return
		}
		var r *fleet.Heartbeat
		var sent time.Time
		start := 0
		silent := m.hung || m.mute || w.cut[m.Zone]
		if !m.hung {
			m.step()
		}
		if !silent {
			r, sent, start = m.body(), time.Now(), m.starts
		}
		w.mu.Unlock()
		if !silent {
			status, resp, conductor := w.Heartbeat(node, r)
			w.mu.Lock()
			if m.deaf || m.starts != start {
				status = 0 // the answer does not reach it, or the process that asked is no more
			}
			w.mu.Unlock()
			if status == 0 && ctxtime.Sleep(w.ctx, patience) != nil {
				return
			}
			w.mu.Lock()
			switch {
			case status == 200 && r.Incarnation == m.session && resp.FencingToken >= m.baton && !m.gone && !m.hung && time.Since(sent) < 2*w.HeartbeatInterval:
				m.baton = resp.FencingToken
				m.lastSent = sent
				m.execute(resp.Commands)
			case status == 421 && slices.Contains(w.Nodes, conductor) && slices.Index(w.Nodes, conductor) != node:
				// It goes there at once, or after up to half a second.
				node = slices.Index(w.Nodes, conductor)
				w.mu.Unlock()
				if ctxtime.Sleep(w.ctx, min(w.HeartbeatInterval, time.Second)/4) != nil {
					return
				}
				continue
			case status != 200:
				node = (node + 1) % len(w.Nodes)
				w.mu.Unlock()
				if ctxtime.Sleep(w.ctx, w.elsewhere()) != nil {
					return
				}
				continue
			}
			w.mu.Unlock()
		}
		if !m.pause() {
			return
		}
	}
}

// pause waits for the next report: the interval, or less when something changes.
func (m *Machine) pause() bool {
	w := m.w
	wait := w.HeartbeatInterval
	w.mu.Lock()
	for _, s := range m.tasks {
		if !s.until.IsZero() {
			wait = min(wait, max(time.Until(s.until), w.HeartbeatInterval/4))
		}
	}
	w.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-w.ctx.Done():
		return false
	case <-t.C:
	case <-m.poke:
		return ctxtime.Sleep(w.ctx, w.HeartbeatInterval/4) == nil
	}
	return true
}
