package simulation

import (
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/ctxtime"
	"drumpick/internal/fleet"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"
	"drumpick/internal/workers"
)

// Machine is a rented machine and its worker. The environment's lock guards the unexported fields.
type Machine struct {
	Name    string
	Zone    string
	Spot    bool
	Version string // of the worker

	env       *Environment
	typ       records.MachineType
	rented    time.Time
	addr      string
	closeAddr func()
	wakeup    chan struct{} // signalled when the worker has a change to report

	up, terminated bool      // up: has booted; stays set after termination
	preemptionAt   time.Time // when the preemption terminates the machine; zero: no preemption notice

	hung         bool
	inboundLost  bool // its heartbeats arrive, but responses and commands do not reach it
	outboundLost bool // its heartbeats reach no controller, but direct commands reach it

	reboots      int // number of reboots so far
	incarnation  uint64
	sequence     uint64    // number of the last heartbeat; restarts at a reboot
	fencingToken uint64    // latest token that the worker has accepted
	leaseStart   time.Time // when the last answered heartbeat was sent, or the incarnation began

	tasks        map[string]*attempt  // by "TASK:ATTEMPT NUMBER"
	imageReadyAt map[string]time.Time // when the fetch of an image ends, by image
}

func newMachine(env *Environment, name string, r autoscaler.RentalRequest) *Machine {
	m := &Machine{
		env: env, Name: name, Zone: r.Zone, Spot: r.Spot, Version: env.WorkerVersion, typ: env.Types[0],
		rented: time.Now(), addr: name, closeAddr: func() {}, wakeup: make(chan struct{}, 1), incarnation: 1,
		tasks: map[string]*attempt{}, imageReadyAt: map[string]time.Time{},
	}
	for _, t := range env.Types {
		if t.Name == r.Type {
			m.typ = t
		}
	}
	return m
}

// Type returns the name of the machine's type.
func (m *Machine) Type() string { return m.typ.Name }

// Addr returns the address for direct commands, or "" while the machine boots.
func (m *Machine) Addr() string {
	m.env.mu.Lock()
	defer m.env.mu.Unlock()
	if !m.up {
		return ""
	}
	return m.addr
}

// cost returns the cost of the machine until a time, or until now if the time is zero. It charges at least
// autoscaler.MinCharge.
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

// removeLocked terminates the machine with all of its tasks. It returns the function that closes the machine's
// address, which must be called without the lock. If the machine is already terminated, that function does nothing.
func (m *Machine) removeLocked() (closeAddr func()) {
	if m.terminated {
		return func() {}
	}
	m.terminated = true
	m.loseTasksLocked(time.Now())
	m.env.costs = append(m.env.costs, m.cost(time.Now()))
	return m.closeAddr
}

// Terminate terminates the machine without notice.
func (m *Machine) Terminate() {
	m.env.mu.Lock()
	closeAddr := m.removeLocked()
	m.env.mu.Unlock()
	closeAddr()
}

// SetHung makes the machine and its worker hang, or lets them continue if on is false.
func (m *Machine) SetHung(on bool) {
	m.env.mu.Lock()
	m.hung = on
	m.env.mu.Unlock()
}

// SetUnreachable drops all responses and commands to the machine, while its heartbeats still arrive. If on is false,
// the machine is reachable again.
func (m *Machine) SetUnreachable(on bool) {
	m.env.mu.Lock()
	m.inboundLost = on
	m.env.mu.Unlock()
}

// SetIsolated drops all heartbeats of the machine, while direct commands still reach it. If on is false, heartbeats
// arrive again.
func (m *Machine) SetIsolated(on bool) {
	m.env.mu.Lock()
	m.outboundLost = on
	m.env.mu.Unlock()
}

// Reboot restarts the machine at once, without its tasks and with its incarnation, sequence number and fencing token
// reset.
func (m *Machine) Reboot() {
	m.env.mu.Lock()
	m.loseTasksLocked(time.Now())
	m.incarnation, m.sequence, m.fencingToken, m.leaseStart = 1, 0, 0, time.Now()
	m.reboots++
	m.env.mu.Unlock()
	m.wake()
}

// NotifyPreemption gives the worker a preemption notice, and terminates the machine after the delay.
func (m *Machine) NotifyPreemption(delay time.Duration) {
	m.env.mu.Lock()
	m.preemptionAt = time.Now().Add(delay)
	m.env.mu.Unlock()
	m.wake()
	time.AfterFunc(delay, m.Terminate)
}

// wake makes the worker send its next heartbeat soon.
func (m *Machine) wake() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// unresponsiveLocked reports whether the machine responds to no requests: it is terminated, hung, booting or in a
// partitioned zone.
func (m *Machine) unresponsiveLocked() bool {
	return m.terminated || m.hung || !m.up || m.env.partitioned[m.Zone]
}

// ExecuteCommands executes direct commands, and returns the outcome and the worker's heartbeat. It rejects commands
// with an older fencing token or for another incarnation. It returns an error if the machine does not respond.
func (m *Machine) ExecuteCommands(r fleet.CommandRequest) (workers.Outcome, *fleet.Heartbeat, error) {
	m.env.mu.Lock()
	defer m.env.mu.Unlock()
	if m.unresponsiveLocked() || m.inboundLost {
		return workers.OutcomeUnknown, nil, errNoResponse
	}
	if r.FencingToken < m.fencingToken || r.Incarnation != m.incarnation {
		return workers.OutcomeRejected, m.heartbeatLocked(), nil
	}
	m.fencingToken = max(m.fencingToken, r.FencingToken)
	m.executeLocked(r.Commands)
	m.wake()
	return workers.OutcomeExecuted, m.heartbeatLocked(), nil
}

// Status returns the worker's current heartbeat on request, or an error if the machine does not respond.
func (m *Machine) Status() (*fleet.Heartbeat, error) {
	m.env.mu.Lock()
	defer m.env.mu.Unlock()
	if m.unresponsiveLocked() || m.inboundLost {
		return nil, errNoResponse
	}
	m.advanceLocked()
	return m.heartbeatLocked(), nil
}

// heartbeatLocked returns the worker's next heartbeat and increments its sequence number.
func (m *Machine) heartbeatLocked() *fleet.Heartbeat {
	m.sequence++
	r := &fleet.Heartbeat{
		Machine: m.Name, Addr: m.addr, Type: m.typ.Name, Zone: m.Zone, Spot: m.Spot,
		Incarnation: m.incarnation, Sequence: m.sequence, FencingToken: m.fencingToken,
	}
	r.SetWorkerVersion(m.Version)
	if !m.preemptionAt.IsZero() {
		left := time.Until(m.preemptionAt).Seconds()
		r.PreemptionNoticeS = &left
	}
	for _, a := range m.tasks {
		r.Tasks = append(r.Tasks, fleet.TaskStatus{
			Task: a.task, Attempt: a.number, Status: a.status, Cause: a.cause, CheckpointSaved: a.checkpointSaved,
		})
	}
	// Return a deep copy, as if the heartbeat had been sent over the wire.
	raw, _ := jsoncodec.Marshal(r)
	var sent fleet.Heartbeat
	_ = jsoncodec.Unmarshal(raw, &sent)
	return &sent
}

// boot boots the machine. It returns false if the machine was terminated meanwhile, its address could not be opened, or
// the environment has ended.
func (m *Machine) boot() bool {
	env := m.env
	bootTime := env.BootTime
	env.mu.Lock()
	if env.pickBootTime != nil {
		bootTime = env.pickBootTime()
	}
	env.mu.Unlock()
	if ctxtime.Sleep(env.ctx, bootTime) != nil {
		return false
	}
	if env.Listen != nil && !m.listen() {
		return false
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	m.up, m.leaseStart = true, time.Now()
	return !m.terminated
}

// listen opens the machine's address. It terminates the machine and returns false if that fails.
func (m *Machine) listen() bool {
	addr, closeAddr, err := m.env.Listen(m)
	if err != nil {
		m.Terminate()
		return false
	}
	m.env.mu.Lock()
	m.addr, m.closeAddr = addr, closeAddr
	terminated := m.terminated
	m.env.mu.Unlock()
	if terminated {
		closeAddr()
	}
	return true
}
