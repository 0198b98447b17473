package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// isolateFromControlPlane cuts a controller off from the store and the other controllers, but not from workers.
func (c *cluster) isolateFromControlPlane(i int, on bool) {
	c.setIsolated(i, on)
	hang := time.Duration(0)
	if on {
		hang = time.Second
	}
	if n := c.node(i); n != nil {
		n.client.SetHang(hang)
	}
}

// endFaults ends all faults.
func endFaults(c *cluster) {
	c.mu.Lock()
	clear(c.isolated)
	clear(c.delays)
	clear(c.onlyNodeForZone)
	clear(c.unreachable)
	c.shouldKeepCopy, c.onJobEvent = nil, nil // copies that come late go on coming
	c.mu.Unlock()
	c.store.SetOutage(false)
	for i, name := range strings.Fields(nodeNames)[:len(c.nodes)] {
		c.store.SetRefused(name, false)
		if c.node(i) == nil {
			c.startNode(i)
		}
		n := c.node(i).client
		n.SetHang(0)
		n.SetLateWrites(nil)
		n.SetDelay(0)
	}
	c.env.SetCommandDelay(nil)
	for _, z := range []string{"a", "b"} {
		c.env.PartitionZone(z, false)
		c.env.BlockCommands(z, false)
	}
	for _, m := range c.env.Machines() {
		m.SetHung(false)
		m.SetUnreachable(false)
		m.SetIsolated(false)
	}
}

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
		if c.node(i) != nil {
			c.isolateFromControlPlane(i, true)
			sleep(float64(1 + r.IntN(40)))
			if c.node(i) != nil {
				c.isolateFromControlPlane(i, false)
			}
		}
	case 2:
		if c.node(i) != nil {
			c.killNode(i)
			sleep(r.Float64())
			c.startNode(i)
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

// injectRandomFault is one of what may happen, by chance.
func injectRandomFault(c *cluster, r *rand.Rand) {
	i := r.IntN(3)
	ms := c.env.Machines()
	switch r.IntN(10) {
	case 0, 1:
		if l := c.leaderIndex(); l >= 0 {
			c.killNode(l)
		}
	case 2:
		for k := range 3 {
			c.killNode(k)
		}
		sleep(1 + 2*r.Float64())
		for k := range 3 {
			c.startNode(k)
		}
	case 3, 4:
		if c.node(i) == nil {
			c.startNode(i)
		} else {
			c.killNode(i)
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

// restartNode ends a controller and starts it anew a while later; -1: none.
func (c *cluster) restartNode(i int, pause float64) {
	if i >= 0 && c.node(i) != nil {
		c.killNode(i)
		sleep(pause)
		c.startNode(i)
	}
}

// setLateWrites has all controllers' transactions held up.
func (c *cluster) setLateWrites(by func() (time.Duration, bool)) {
	for k := range c.nodes {
		if n := c.node(k); n != nil {
			n.client.SetLateWrites(by)
		}
	}
}

// hangMachines has up to n machines with tasks hang for so many seconds. The channel is closed when they go on.
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
	over := make(chan struct{})
	go func() {
		sleep(float64(s))
		for _, m := range ms {
			m.SetHung(false)
		}
		close(over)
	}()
	return over
}

// reconnectMachines lets all workers send heartbeats again.
func (c *cluster) reconnectMachines() {
	for _, m := range c.env.Machines() {
		m.SetIsolated(false)
	}
}

// keepHeartbeatCopies keeps copies of a third of the heartbeats for the next leader.
func (c *cluster) keepHeartbeatCopies(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 4))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shouldKeepCopy = func() bool { return r.IntN(3) == 0 }
}

// randomBootTimes has most machines up within two seconds.
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

// randomLateWrites has half of a controller's transactions carried out 2 to 12 s late.
func randomLateWrites(seed uint64) func() (time.Duration, bool) {
	r := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	return func() (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		return 2*time.Second + time.Duration(r.IntN(10_000))*time.Millisecond, r.IntN(2) == 0
	}
}

// randomCommandDelays holds direct commands and their answers up, some for seconds, so that the machine goes
// on before they come; many are not.
func randomCommandDelays(seed uint64) func() (command, answer time.Duration) {
	r := rand.New(rand.NewPCG(seed, 2))
	var mu sync.Mutex
	span := func() time.Duration {
		if r.IntN(3) > 0 {
			return 0
		}
		return time.Duration(r.IntN(15_000)) * time.Millisecond
	}
	return func() (time.Duration, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		return span(), span()
	}
}
