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
	env          *Environment
	Name         string
	Zone         string
	Spot         bool
	Version      string
	typ          records.MachineType
	addr         string
	rented       time.Time
	up, gone     bool
	hung         bool
	inboundLost  bool // it speaks, and nothing reaches it
	outboundLost bool // it reaches no controller, and direct commands reach it
	reboots      int  // of its worker, beyond the first
	preemptionAt time.Time
	incarnation  uint64
	sequence     uint64
	fencingToken uint64
	leaseStart   time.Time // when the last answered report was sent
	tasks        map[string]*attempt
	imageReadyAt map[string]time.Time // when each is there
	closeAddr    func()
	wakeup       chan struct{}
}

func newMachine(w *Environment, host string, r autoscaler.RentalRequest) *Machine {
	m := &Machine{
		env: w, Name: host, Zone: r.Zone, Spot: r.Spot, addr: host, rented: time.Now(), incarnation: 1, typ: w.Types[0], Version: w.WorkerVersion,
		tasks: map[string]*attempt{}, imageReadyAt: map[string]time.Time{}, closeAddr: func() {}, wakeup: make(chan struct{}, 1),
	}
	for _, t := range w.Types {
		if t.Name == r.Type {
			m.typ = t
		}
	}
	return m
}

// cost says what the machine cost until a time, or now.
func (m *Machine) cost(to time.Time) RentalCost {
	end := to
	if to.IsZero() {
		end = time.Now()
	}
	price := m.typ.Price
	if m.Spot {
		price = m.typ.SpotPrice
	}
	return RentalCost{
		Machine: m.Name, Type: m.typ.Name, Zone: m.Zone, Spot: m.Spot, From: m.rented, To: to,
		Cost: price * max(end.Sub(m.rented), autoscaler.MinCharge).Hours(),
	}
}

// removeLocked takes the machine away with all that is on it. The world is locked; what it returns closes
// the machine's address, and is to be called when it is not.
func (m *Machine) removeLocked() (closeAddr func()) {
	if m.gone {
		return func() {}
	}
	m.gone = true
	m.loseTasksLocked(time.Now())
	m.env.costs = append(m.env.costs, m.cost(time.Now()))
	return m.closeAddr
}

// loseTasksLocked drops every task, as lost at a time.
func (m *Machine) loseTasksLocked(at time.Time) {
	for _, s := range m.tasks {
		if s.status != "ended" {
			if s.status == "running" {
				m.env.saveProgressLocked(s, s.checkpointAt(time.Now()))
			}
			m.endAtLocked(s, "lost", at)
		}
	}
	clear(m.tasks)
}

// endLocked ends a task.
func (m *Machine) endLocked(s *attempt, cause string) { m.endAtLocked(s, cause, time.Now()) }

// endAtLocked ends a task that was over at a time.
func (m *Machine) endAtLocked(s *attempt, cause string, at time.Time) {
	if cause != fleet.CauseDone && s.job.Shape != records.ShapeService {
		m.env.lostWork += max(s.progressAt(time.Now())-m.env.savedProgress[s.checkpointKey()], 0)
	}
	s.status, s.cause, s.statusSince, s.statusEnds = "ended", cause, at, time.Time{}
	if of := m.env.attempts[s.taskID.Job]; of != nil {
		if delete(of, s); len(of) == 0 {
			delete(m.env.attempts, s.taskID.Job)
		}
	}
	m.env.runs = append(m.env.runs, TaskRun{Task: s.task, Machine: m.Name, Zone: m.Zone, Started: s.startedAt, Running: s.runningSince, Ended: s.statusSince, Cause: cause})
	m.wake()
}

// Type names the machine's type.
func (m *Machine) Type() string { return m.typ.Name }

// Addr is where the machine takes direct commands; "": it does not yet.
func (m *Machine) Addr() string {
	m.env.mu.Lock()
	defer m.env.mu.Unlock()
	if !m.up {
		return ""
	}
	return m.addr
}

// Die ends a machine without a word; Hang stops it until Resume.
func (m *Machine) Die() {
	m.env.mu.Lock()
	closeAddr := m.removeLocked()
	m.env.mu.Unlock()
	closeAddr()
}

// Hang makes the machine and its worker stand still; false lets them go on.
func (m *Machine) Hang(on bool) {
	m.env.mu.Lock()
	m.hung = on
	m.env.mu.Unlock()
}

// SetUnreachable keeps answers and commands from the machine, while its reports arrive; false lets
// it hear again.
func (m *Machine) SetUnreachable(on bool) {
	m.env.mu.Lock()
	m.inboundLost = on
	m.env.mu.Unlock()
}

// SetIsolated keeps the machine's worker from every controller, while direct commands reach it; false
// lets it report again.
func (m *Machine) SetIsolated(on bool) {
	m.env.mu.Lock()
	m.outboundLost = on
	m.env.mu.Unlock()
}

// Reboot stops the machine and has it back at once, without its tasks and with its counters
// at the start.
func (m *Machine) Reboot() {
	m.env.mu.Lock()
	m.loseTasksLocked(time.Now())
	m.incarnation, m.sequence, m.fencingToken, m.leaseStart = 1, 0, 0, time.Now()
	m.reboots++
	m.env.mu.Unlock()
	m.wake()
}

// NotifyPreemption tells the worker that its machine will be taken.
func (m *Machine) NotifyPreemption(in time.Duration) {
	m.env.mu.Lock()
	m.preemptionAt = time.Now().Add(in)
	m.env.mu.Unlock()
	m.wake()
	time.AfterFunc(in, m.Die)
}

func (m *Machine) wake() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

func (m *Machine) silentLocked() bool { return m.gone || m.hung || !m.up || m.env.partitioned[m.Zone] }

var errSilent = errors.New("no answer")

// ExecuteCommands takes direct commands.
func (m *Machine) ExecuteCommands(d fleet.CommandRequest) (workers.Outcome, *fleet.Heartbeat, error) {
	m.env.mu.Lock()
	defer m.env.mu.Unlock()
	if m.silentLocked() || m.inboundLost {
		return workers.OutcomeUnknown, nil, errSilent
	}
	if d.FencingToken < m.fencingToken || d.Incarnation != m.incarnation {
		return workers.OutcomeRejected, m.heartbeatLocked(), nil
	}
	m.fencingToken = max(m.fencingToken, d.FencingToken)
	m.executeLocked(d.Commands)
	m.wake()
	return workers.OutcomeExecuted, m.heartbeatLocked(), nil
}

// Status is the worker's report, on demand.
func (m *Machine) Status() (*fleet.Heartbeat, error) {
	m.env.mu.Lock()
	defer m.env.mu.Unlock()
	if m.silentLocked() || m.inboundLost {
		return nil, errSilent
	}
	m.advanceLocked()
	return m.heartbeatLocked(), nil
}

func (m *Machine) heartbeatLocked() *fleet.Heartbeat {
	m.sequence++
	r := &fleet.Heartbeat{
		Machine: m.Name, Addr: m.addr, Type: m.typ.Name, Zone: m.Zone, Spot: m.Spot,
		Incarnation: m.incarnation, Sequence: m.sequence, FencingToken: m.fencingToken, Version: m.Version,
	}
	if !m.preemptionAt.IsZero() {
		left := time.Until(m.preemptionAt).Seconds()
		r.PreemptionNoticeS = &left
	}
	for _, s := range m.tasks {
		r.Tasks = append(r.Tasks, fleet.TaskStatus{Task: s.task, Attempt: s.number, Status: s.status, Cause: s.cause, Saved: s.saved})
	}
	// Deep copies stand for what goes over the wire.
	raw, _ := json.Marshal(r)
	var out fleet.Heartbeat
	_ = json.Unmarshal(raw, &out)
	return &out
}

// boot brings the machine up; false: it is gone before that.
func (m *Machine) boot() bool {
	w := m.env
	takes := w.BootTime
	w.mu.Lock()
	if w.bootTime != nil {
		takes = w.bootTime()
	}
	w.mu.Unlock()
	if ctxtime.Sleep(w.ctx, takes) != nil {
		return false
	}
	if w.Listen != nil {
		addr, end, err := w.Listen(m)
		if err != nil {
			m.Die() // a machine that never comes up
			return false
		}
		w.mu.Lock()
		m.addr, m.closeAddr = addr, end
		gone := m.gone
		w.mu.Unlock()
		if gone {
			end()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	m.up, m.leaseStart = true, time.Now()
	return !m.gone
}

// heartbeatTimeout is how long a worker waits for an answer (PROTOCOL), and elsewhere how soon it
// tries the next controller then, or at once where none listens.
const heartbeatTimeout = 4 * time.Second

func (env *Environment) retryDelay() time.Duration { return min(env.HeartbeatInterval/2, time.Second) }

// run is the life of a machine: boot, then report and run tasks.
func (m *Machine) run() {
	w := m.env
	if !m.boot() || w.RemoteMachines {
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
		silent := m.hung || m.outboundLost || w.partitioned[m.Zone]
		if !m.hung {
			m.advanceLocked()
		}
		if !silent {
			r, sent, start = m.heartbeatLocked(), time.Now(), m.reboots
		}
		w.mu.Unlock()
		if !silent {
			status, resp, conductor := w.Heartbeat(node, r)
			w.mu.Lock()
			if m.inboundLost || m.reboots != start {
				status = 0 // the answer does not reach it, or the process that asked is no more
			}
			w.mu.Unlock()
			if status == 0 && ctxtime.Sleep(w.ctx, heartbeatTimeout) != nil {
				return
			}
			w.mu.Lock()
			switch {
			case status == 200 && r.Incarnation == m.incarnation && resp.FencingToken >= m.fencingToken && !m.gone && !m.hung && time.Since(sent) < 2*w.HeartbeatInterval:
				m.fencingToken = resp.FencingToken
				m.leaseStart = sent
				m.executeLocked(resp.Commands)
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
				if ctxtime.Sleep(w.ctx, w.retryDelay()) != nil {
					return
				}
				continue
			}
			w.mu.Unlock()
		}
		if !m.waitForNextHeartbeat() {
			return
		}
	}
}

// waitForNextHeartbeat waits for the next report: the interval, or less when something changes.
func (m *Machine) waitForNextHeartbeat() bool {
	w := m.env
	wait := w.HeartbeatInterval
	w.mu.Lock()
	for _, s := range m.tasks {
		if !s.statusEnds.IsZero() {
			wait = min(wait, max(time.Until(s.statusEnds), w.HeartbeatInterval/4))
		}
	}
	w.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-w.ctx.Done():
		return false
	case <-t.C:
	case <-m.wakeup:
		return ctxtime.Sleep(w.ctx, w.HeartbeatInterval/4) == nil
	}
	return true
}
