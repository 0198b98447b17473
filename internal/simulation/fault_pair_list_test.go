package simulation

import (
	"math/rand/v2"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// faultPairs are the pairs of faults of docs/faults.md, in its order, each brought about once
// with what varies drawn from r.
var faultPairs = []struct {
	name   string
	inject func(c *cluster, r *rand.Rand)
}{
	{"cancelled through another controller, then an outage", func(c *cluster, r *rand.Rand) {
		l := max(c.leaderIndex(), 0)
		c.store.SetRefused(c.env.Nodes[l], true)
		sleep(3 * r.Float64())
		c.cancelSome(r, 1)
		c.store.SetOutage(true)
		sleep(float64(r.IntN(45)))
		if r.IntN(2) == 0 {
			injectRandomFault(c, r)
		}
		c.store.SetRefused(c.env.Nodes[l], false)
		c.store.SetOutage(false)
	}},
	{"transactions late, and the leader ends", func(c *cluster, r *rand.Rand) {
		c.setLateWrites(randomLateWrites(r.Uint64()))
		sleep(float64(r.IntN(15)))
		c.restartNode(c.leaderIndex(), 2*r.Float64())
	}},
	{"the leader without store and peers", func(c *cluster, r *rand.Rand) {
		if l := c.leaderIndex(); l >= 0 {
			c.isolateFromControlPlane(l, true)
			sleep(float64(4 + r.IntN(12)))
			c.cancelSome(r, 1)
			sleep(float64(r.IntN(30)))
			c.isolateFromControlPlane(l, false)
		}
	}},
	{"a slow store, and anything", func(c *cluster, r *rand.Rand) {
		if n := c.node(r.IntN(3)); n != nil {
			n.client.SetDelay(time.Duration(r.IntN(3000)) * time.Millisecond)
			defer n.client.SetDelay(0)
		}
		injectRandomFault(c, r)
		sleep(float64(r.IntN(10)))
	}},
	{"all end, and one is back at once", func(c *cluster, r *rand.Rand) {
		for k := range 3 {
			c.killNode(k)
		}
		sleep(r.Float64())
		c.startNode(r.IntN(3))
		sleep(float64(r.IntN(10)))
		for k := range 3 {
			if c.node(k) == nil {
				c.startNode(k)
			}
		}
	}},
	{"machines partitioned or unreachable at a failover", func(c *cluster, r *rand.Rand) {
		z := []string{"a", "b"}[r.IntN(2)]
		unreachable := r.IntN(2) == 0
		for _, m := range c.env.Machines() {
			if unreachable && m.Zone == z {
				m.SetUnreachable(true)
			}
		}
		c.env.PartitionZone(z, !unreachable)
		sleep(float64(r.IntN(4)))
		l := max(c.leaderIndex(), 0)
		c.killNode(l)
		sleep(float64(r.IntN(30)))
		c.startNode(l)
		c.env.PartitionZone(z, false)
		for _, m := range c.env.Machines() {
			m.SetUnreachable(false)
		}
	}},
	{"process and network faults together", func(c *cluster, r *rand.Rand) {
		injectRandomProcessFault(c, r)
		injectRandomFault(c, r)
	}},
	{"leadership changes back and forth", func(c *cluster, r *rand.Rand) {
		for range 3 {
			c.restartNode(c.leaderIndex(), r.Float64())
			sleep(float64(r.IntN(6)))
		}
	}},
	// The seven that the users asked for.
	{"asked everywhere, and a controller is refused, slow or old", func(c *cluster, r *rand.Rand) {
		c.pollAggressively(r.Uint64())
		i := r.IntN(3)
		switch r.IntN(3) {
		case 0:
			c.store.SetRefused(c.env.Nodes[i], true)
		case 1:
			if n := c.node(i); n != nil {
				n.client.SetDelay(time.Duration(100+r.IntN(800)) * time.Millisecond)
				defer n.client.SetDelay(0)
			}
		case 2:
			c.restartNode(c.leaderIndex(), r.Float64())
		}
		for range 4 {
			submitRandomJob(c, r)
			sleep(r.Float64())
			c.cancelSome(r, 1)
			sleep(2 * r.Float64())
		}
		c.store.SetRefused(c.env.Nodes[i], false)
	}},
	{"carried out at once, and the answer lost", func(c *cluster, r *rand.Rand) {
		pick := randomLateWrites(r.Uint64())
		c.setLateWrites(func() (time.Duration, bool) {
			_, lost := pick()
			return 0, lost
		})
		for range 3 {
			submitRandomJob(c, r)
			sleep(4 * r.Float64())
			c.cancelSome(r, 1)
		}
		if r.IntN(2) == 0 {
			c.restartNode(c.leaderIndex(), r.Float64())
		}
		sleep(float64(r.IntN(10)))
		c.setLateWrites(nil)
	}},
	{"at the limit, cancelled on machines that hang or are cut off, and the leader ends", func(c *cluster, r *rand.Rand) {
		c.mu.Lock()
		n := len(c.jobs)
		c.mu.Unlock()
		for k := range 3 {
			c.submitToAny(k, records.Job{ID: jobID(n + 1 + k), Team: "limited", Tasks: 6 + r.IntN(6), CPUs: 2, EstimateS: 10})
		}
		sleep(float64(5 + r.IntN(25)))
		hung := c.hangMachines(r, 2, 1+r.IntN(25))
		if r.IntN(2) == 0 {
			c.env.PartitionZone("b", true)
		}
		for k := range 2 {
			c.cancel(r.IntN(3), jobID(n+1+k))
		}
		sleep(2 * r.Float64())
		l := max(c.leaderIndex(), 0)
		c.killNode(l)
		sleep(float64(r.IntN(12)))
		c.startNode(l)
		c.cancel(r.IntN(3), jobID(n+3))
		<-hung
		c.env.PartitionZone("b", false)
	}},
	{"cancelled during a failover", func(c *cluster, r *rand.Rand) {
		l := max(c.leaderIndex(), 0)
		before := r.IntN(2) == 0
		if before {
			c.cancelSome(r, 2)
		}
		c.killNode(l)
		sleep(7 * r.Float64())
		c.cancelSome(r, 2)
		for k := 0; k < 400 && c.leaderIndex() < 0; k++ {
			sleep(0.02)
		}
		for range 4 {
			c.cancelSome(r, 1)
			sleep(0.05 * r.Float64())
		}
		c.startNode(l)
	}},
	{"machines up at once, writes late, and the leader ends", func(c *cluster, r *rand.Rand) {
		previous := c.env.SetBootTime(func() time.Duration { return time.Second })
		c.setLateWrites(randomLateWrites(r.Uint64()))
		for _, m := range c.env.Machines() {
			if r.IntN(2) == 0 {
				m.Terminate()
			}
		}
		for range 2 {
			submitRandomJob(c, r)
			sleep(1 + 4*r.Float64())
		}
		c.restartNode(c.leaderIndex(), float64(r.IntN(6)))
		c.env.SetBootTime(previous)
	}},
	{"old heartbeats at every controller as a new leader begins", func(c *cluster, r *rand.Rand) {
		c.keepHeartbeatCopies(r.Uint64())
		sleep(float64(2 + r.IntN(10)))
		for _, m := range c.env.Machines() {
			switch r.IntN(6) {
			case 0:
				m.Reboot()
			case 1:
				m.Terminate()
			}
		}
		sleep(float64(r.IntN(20)))
		c.restartNode(c.leaderIndex(), r.Float64())
		sleep(float64(r.IntN(8)))
		c.restartNode(c.leaderIndex(), r.Float64())
	}},
	{"four one-task jobs a second, a quarter cancelled", func(c *cluster, r *rand.Rand) {
		c.mu.Lock()
		n := len(c.jobs)
		c.mu.Unlock()
		for k := range 120 {
			at, job := r.IntN(3), jobID(n+1+k)
			go func() {
				c.submitToAny(at, records.Job{ID: job, Tasks: 1, CPUs: 1, EstimateS: 8})
				if k%4 == 0 {
					sleep(float64(k%5) / 2)
					c.cancel((at+1)%3, job)
				}
			}()
			switch {
			case k == 40 && r.IntN(2) == 0:
				c.killNode(max(c.leaderIndex(), 0))
			case k == 70 && r.IntN(2) == 0:
				c.store.SetOutage(true)
			case k == 100:
				c.store.SetOutage(false)
			}
			sleep(0.25)
		}
		c.store.SetOutage(false)
		sleep(5)
	}},
	// The others.
	{"more work than room over slow links", func(c *cluster, r *rand.Rand) {
		c.mu.Lock()
		for k := range 3 {
			c.delays[k] = time.Duration(r.IntN(900)) * time.Millisecond
		}
		n := len(c.jobs)
		c.mu.Unlock()
		for k := range 3 {
			j := records.Job{ID: jobID(n + 1 + k), Tasks: 30, CPUs: 2, EstimateS: 10}
			if k == 2 {
				j.Priority = records.PriorityUrgent
			}
			c.submitToAny(k, j)
		}
		sleep(float64(15 + r.IntN(20)))
		c.cancelSome(r, 1)
		c.restartNode(c.leaderIndex(), 2*r.Float64())
		sleep(float64(r.IntN(15)))
		c.mu.Lock()
		clear(c.delays)
		c.mu.Unlock()
	}},
	{"bound to one zone, which loses machines", func(c *cluster, r *rand.Rand) {
		c.mu.Lock()
		n := len(c.jobs)
		c.mu.Unlock()
		zone := []string{"a", "b"}[r.IntN(2)]
		c.submitToAny(0, records.Job{ID: jobID(n + 1), Tasks: 8, CPUs: 2, OneZone: true, EstimateS: 10})
		c.submitToAny(1, records.Job{ID: jobID(n + 2), Tasks: 12, CPUs: 2, Zone: &zone, EstimateS: 10})
		c.submitToAny(2, records.Job{ID: jobID(n + 3), Shape: records.ShapeGang, Tasks: 3, CPUs: 2, OneZone: true, EstimateS: 10})
		sleep(float64(3 + r.IntN(25)))
		switch r.IntN(3) {
		case 0:
			c.env.FailZone(zone)
		case 1:
			for _, m := range c.env.Machines() {
				if m.Zone == zone && r.IntN(2) == 0 {
					m.Terminate()
				}
			}
		case 2:
			c.env.PartitionZone(zone, true)
			sleep(float64(r.IntN(30)))
		}
		if r.IntN(2) == 0 {
			c.restartNode(c.leaderIndex(), r.Float64())
		}
		sleep(float64(r.IntN(15)))
		c.env.PartitionZone(zone, false)
	}},
	{"all controllers away for longer than a lease", func(c *cluster, r *rand.Rand) {
		for k := range 3 {
			c.killNode(k)
		}
		sleep(12 + float64(r.IntN(20)))
		for k := range 3 {
			c.startNode(k)
			sleep(r.Float64())
		}
		c.cancelSome(r, 1)
	}},
	{"asked, cancelled and repeated at the end of the last task", func(c *cluster, r *rand.Rand) {
		c.mu.Lock()
		n := len(c.jobs) + 1
		c.mu.Unlock()
		j := records.Job{ID: jobID(n), Tasks: 1 + r.IntN(3), CPUs: 1, EstimateS: 10}
		c.submitToAny(0, j)
		for k := 0; k < 3000 && !c.isCompleted(j); k++ {
			sleep(0.02)
		}
		wait := time.Duration(r.IntN(60)) * time.Millisecond
		for k := range 3 {
			runAfter(wait+time.Duration(r.IntN(20))*time.Millisecond, func() { c.cancel(k, jobID(n)) })
			for range 4 {
				runAfter(wait+time.Duration(r.IntN(1500))*time.Millisecond, func() { c.ask(k, peer.MethodPoll, jobID(n)) })
				runAfter(wait+time.Duration(r.IntN(1500))*time.Millisecond, func() { c.submit(k, j) })
			}
		}
		sleep(3)
	}},
	{"a zone with workers and a controller cut off for longer than a lease", func(c *cluster, r *rand.Rand) {
		i, zone := r.IntN(3), []string{"a", "b"}[r.IntN(2)]
		if l := c.leaderIndex(); l >= 0 && r.IntN(2) == 0 {
			i = l
		}
		if c.node(i) == nil {
			return
		}
		c.mu.Lock()
		c.onlyNodeForZone[zone] = i
		c.mu.Unlock()
		c.env.BlockCommands(zone, true)
		c.isolateFromControlPlane(i, true)
		sleep(float64(2 + r.IntN(10)))
		c.cancelSome(r, 2)
		sleep(float64(10 + r.IntN(30)))
		c.mu.Lock()
		delete(c.onlyNodeForZone, zone)
		c.mu.Unlock()
		c.env.BlockCommands(zone, false)
		c.isolateFromControlPlane(i, false)
	}},
	{"at the limit, a new leader, machines that cannot be asked, and a cancellation", func(c *cluster, r *rand.Rand) {
		c.mu.Lock()
		n := len(c.jobs)
		c.mu.Unlock()
		for k := range 3 {
			c.submitToAny(k, records.Job{ID: jobID(n + 1 + k), Team: "limited", Tasks: 10, CPUs: 2, EstimateS: 10})
		}
		sleep(float64(5 + r.IntN(20)))
		z := []string{"a", "b"}[r.IntN(2)]
		c.env.BlockCommands(z, true)
		for _, m := range c.env.Machines() {
			if m.Zone == z && r.IntN(3) == 0 {
				m.SetIsolated(true)
			}
		}
		l := max(c.leaderIndex(), 0)
		c.killNode(l)
		sleep(float64(r.IntN(8)))
		c.cancel((l+1)%3, jobID(n+1))
		sleep(float64(r.IntN(12)))
		c.cancel((l+2)%3, jobID(n+2))
		c.startNode(l)
		sleep(float64(r.IntN(10)))
		c.env.BlockCommands(z, false)
		c.reconnectMachines()
	}},
	{"workers reach no controller, and direct commands reach them", func(c *cluster, r *rand.Rand) {
		for _, m := range c.env.Machines() {
			m.SetIsolated(r.IntN(3) > 0)
		}
		sleep(float64(r.IntN(8)))
		c.cancelSome(r, 1)
		if r.IntN(2) == 0 {
			c.restartNode(c.leaderIndex(), 3*r.Float64())
		}
		sleep(float64(r.IntN(35)))
		c.reconnectMachines()
	}},
	{"leaders change ten times in two minutes", func(c *cluster, r *rand.Rand) {
		out := r.IntN(2) == 0
		for k := range 10 {
			if out && k == 4 {
				c.store.SetOutage(true)
			}
			if k == 6 {
				c.store.SetOutage(false)
			}
			c.restartNode(c.leaderIndex(), r.Float64())
			if r.IntN(3) == 0 {
				c.cancelSome(r, 1)
			}
			sleep(float64(6 + r.IntN(7)))
		}
	}},
	{"cancelled on machines that begin to hang", func(c *cluster, r *rand.Rand) {
		hung := c.hangMachines(r, 8, 1+r.IntN(40))
		c.cancelSome(r, 3)
		if r.IntN(2) == 0 {
			c.restartNode(c.leaderIndex(), r.Float64())
		}
		<-hung
	}},
}
