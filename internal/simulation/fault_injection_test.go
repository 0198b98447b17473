package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// isolateFromControlPlane partitions a controller from the store and the other controllers, but not from workers. If on
// is false, it ends the partition.
func (c *cluster) isolateFromControlPlane(i int, on bool) {
	c.setIsolated(i, on)
	hang := time.Duration(0)
	if on {
		hang = time.Second
	}
	if n := c.controller(i); n != nil {
		n.client.SetHang(hang)
	}
}

// endFaults ends all injected faults and starts the controllers that are down.
func endFaults(c *cluster) {
	c.mu.Lock()
	clear(c.isolated)
	clear(c.delays)
	clear(c.onlyControllerForZone)
	clear(c.unreachable)
	c.shouldKeepCopy, c.onJobEvent = nil, nil // copyDelays stays set: late copies of heartbeats continue
	c.mu.Unlock()
	c.store.SetOutage(false)
	for i, name := range strings.Fields(controllerNames)[:len(c.controllers)] {
		c.store.SetRefused(name, false)
		if c.controller(i) == nil {
			c.startController(i)
		}
		n := c.controller(i).client
		n.SetHang(0)
		n.SetLateWrites(nil)
		n.SetDelay(0)
	}
	c.env.SetCommandDelay(nil)
	for _, zone := range []string{"a", "b"} {
		c.env.PartitionZone(zone, false)
		c.env.BlockCommands(zone, false)
	}
	for _, m := range c.env.Machines() {
		m.SetHung(false)
		m.SetUnreachable(false)
		m.SetIsolated(false)
	}
}

// injectRandomProcessFault injects a random fault of a process or machine and ends it after a random time.
func injectRandomProcessFault(c *cluster, r *rand.Rand) {
	ms := c.env.Machines()
	switch i := r.IntN(3); r.IntN(4) {
	case 0:
		for _, m := range ms {
			m.SetUnreachable(r.IntN(3) == 0)
		}
		sleep(float64(1 + r.IntN(25)))
		for _, m := range ms {
			m.SetUnreachable(false)
		}
	case 1:
		if c.controller(i) != nil {
			c.isolateFromControlPlane(i, true)
			sleep(float64(1 + r.IntN(40)))
			if c.controller(i) != nil {
				c.isolateFromControlPlane(i, false)
			}
		}
	case 2:
		if c.controller(i) != nil {
			c.killController(i)
			sleep(r.Float64())
			c.startController(i)
		}
		sleep(float64(r.IntN(6)))
	case 3:
		for _, m := range ms {
			if r.IntN(4) == 0 {
				m.Reboot()
			}
		}
		sleep(float64(r.IntN(8)))
	}
}

// injectRandomFault starts or ends a random fault.
func injectRandomFault(c *cluster, r *rand.Rand) {
	i := r.IntN(3)
	ms := c.env.Machines()
	switch r.IntN(10) {
	case 0, 1:
		if l := c.leaderIndex(); l >= 0 {
			c.killController(l)
		}
	case 2:
		for k := range 3 {
			c.killController(k)
		}
		sleep(1 + 2*r.Float64())
		for k := range 3 {
			c.startController(k)
		}
	case 3, 4:
		if c.controller(i) == nil {
			c.startController(i)
		} else {
			c.killController(i)
		}
	case 5:
		c.store.SetOutage(r.IntN(3) > 0)
	case 6:
		c.store.SetRefused(fmt.Sprint("n-", i), r.IntN(2) == 0)
	case 7:
		c.env.PartitionZone([]string{"a", "b"}[r.IntN(2)], r.IntN(2) == 0)
	case 8:
		for _, m := range ms {
			if r.IntN(3) == 0 {
				m.SetHung(r.IntN(2) == 0)
			}
		}
	case 9:
		if len(ms) > 0 {
			ms[r.IntN(len(ms))].Terminate()
		}
	}
}

// restartController kills a controller and starts it again after a pause in seconds. It does nothing if i is -1 or the
// controller is down.
func (c *cluster) restartController(i int, pause float64) {
	if i >= 0 && c.controller(i) != nil {
		c.killController(i)
		sleep(pause)
		c.startController(i)
	}
}

// setLateWrites calls Client.SetLateWrites for all running controllers.
func (c *cluster) setLateWrites(pick func() (time.Duration, bool)) {
	for k := range c.controllers {
		if n := c.controller(k); n != nil {
			n.client.SetLateWrites(pick)
		}
	}
}

// hangMachines makes up to n random machines with tasks hang for s seconds. The returned channel is closed when the
// machines resume.
func (c *cluster) hangMachines(r *rand.Rand, n, s int) <-chan struct{} {
	var ms []*Machine
	for _, m := range c.env.Machines() {
		c.env.mu.Lock()
		busy := len(m.tasks) > 0
		c.env.mu.Unlock()
		if busy && len(ms) < n && r.IntN(3) > 0 {
			m.SetHung(true)
			ms = append(ms, m)
		}
	}
	resumed := make(chan struct{})
	go func() {
		sleep(float64(s))
		for _, m := range ms {
			m.SetHung(false)
		}
		close(resumed)
	}()
	return resumed
}

// reconnectMachines ends the isolation of all machines.
func (c *cluster) reconnectMachines() {
	for _, m := range c.env.Machines() {
		m.SetIsolated(false)
	}
}

// keepHeartbeatCopies keeps copies of a random third of the heartbeats for the next leader.
func (c *cluster) keepHeartbeatCopies(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 4))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shouldKeepCopy = func() bool { return r.IntN(3) == 0 }
}

// randomBootTimes returns a function for SetBootTime: 0.2 to 2 s for three in four machines, 20 s for the others.
func randomBootTimes(seed uint64) func() time.Duration {
	r := rand.New(rand.NewPCG(seed, 5))
	var mu sync.Mutex
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if r.IntN(4) == 0 {
			return 20 * time.Second
		}
		return time.Duration(200+r.IntN(1800)) * time.Millisecond
	}
}

// randomLateWrites returns a function for SetLateWrites: half of the commits get no response and are applied 2 to 12 s
// late.
func randomLateWrites(seed uint64) func() (time.Duration, bool) {
	r := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	return func() (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		return 2*time.Second + time.Duration(r.IntN(10_000))*time.Millisecond, r.IntN(2) == 0
	}
}

// randomCommandDelays returns a function for SetCommandDelay: a third of the commands and of the responses are delayed
// by up to 15 s. The machine's state can change before such a command arrives.
func randomCommandDelays(seed uint64) func() (command, response time.Duration) {
	r := rand.New(rand.NewPCG(seed, 2))
	var mu sync.Mutex
	randomDelay := func() time.Duration {
		if r.IntN(3) > 0 {
			return 0
		}
		return time.Duration(r.IntN(15_000)) * time.Millisecond
	}
	return func() (time.Duration, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		return randomDelay(), randomDelay()
	}
}
