package simulation

import (
	"math/rand/v2"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// faultPairs are the fault pairs of docs/faults.md, in the order of that page. inject injects the pair once, with
// random parameters from r.
var faultPairs = []struct {
	name   string
	inject func(c *cluster, r *rand.Rand)
}{
	{"cancellation through another controller, then an outage", func(c *cluster, r *rand.Rand) {
		leader := max(c.leaderIndex(), 0)
		c.store.SetRefused(c.env.Controllers[leader], true)
		sleep(3 * r.Float64())
		c.cancelSome(r, 1)
		c.store.SetOutage(true)
		sleep(float64(r.IntN(45)))
		if r.IntN(2) == 0 {
			injectRandomFault(c, r)
		}
		c.store.SetRefused(c.env.Controllers[leader], false)
		c.store.SetOutage(false)
	}},
	{"late transactions and a leader restart", func(c *cluster, r *rand.Rand) {
		c.setLateWrites(randomLateWrites(r.Uint64()))
		sleep(float64(r.IntN(15)))
		c.restartController(c.leaderIndex(), 2*r.Float64())
	}},
	{"the leader isolated from store and peers", func(c *cluster, r *rand.Rand) {
		if leader := c.leaderIndex(); leader >= 0 {
			c.isolateFromControlPlane(leader, true)
			sleep(float64(4 + r.IntN(12)))
			c.cancelSome(r, 1)
			sleep(float64(r.IntN(30)))
			c.isolateFromControlPlane(leader, false)
		}
	}},
	{"a slow store and a random fault", func(c *cluster, r *rand.Rand) {
		if n := c.controller(r.IntN(3)); n != nil {
			n.client.SetDelay(time.Duration(r.IntN(3000)) * time.Millisecond)
			defer n.client.SetDelay(0)
		}
		injectRandomFault(c, r)
		sleep(float64(r.IntN(10)))
	}},
	{"all controllers die and one restarts at once", func(c *cluster, r *rand.Rand) {
		for k := range 3 {
			c.killController(k)
		}
		sleep(r.Float64())
		c.startController(r.IntN(3))
		sleep(float64(r.IntN(10)))
		for k := range 3 {
			if c.controller(k) == nil {
				c.startController(k)
			}
		}
	}},
	{"machines partitioned or unreachable at a failover", func(c *cluster, r *rand.Rand) {
		zone := []string{"a", "b"}[r.IntN(2)]
		unreachable := r.IntN(2) == 0
		for _, m := range c.env.Machines() {
			if unreachable && m.Zone == zone {
				m.SetUnreachable(true)
			}
		}
		c.env.PartitionZone(zone, !unreachable)
		sleep(float64(r.IntN(4)))
		leader := max(c.leaderIndex(), 0)
		c.killController(leader)
		sleep(float64(r.IntN(30)))
		c.startController(leader)
		c.env.PartitionZone(zone, false)
		for _, m := range c.env.Machines() {
			m.SetUnreachable(false)
		}
	}},
	{"process and network faults together", func(c *cluster, r *rand.Rand) {
		injectRandomProcessFault(c, r)
		injectRandomFault(c, r)
	}},
	{"repeated leader restarts", func(c *cluster, r *rand.Rand) {
		for range 3 {
			c.restartController(c.leaderIndex(), r.Float64())
			sleep(float64(r.IntN(6)))
		}
	}},
	// The next seven pairs were requested by users of the scheduler.
	{"polls at every controller while one is refused, slow or restarted", func(c *cluster, r *rand.Rand) {
		c.pollAggressively(r.Uint64())
		i := r.IntN(3)
		switch r.IntN(3) {
		case 0:
			c.store.SetRefused(c.env.Controllers[i], true)
		case 1:
			if n := c.controller(i); n != nil {
				n.client.SetDelay(time.Duration(100+r.IntN(800)) * time.Millisecond)
				defer n.client.SetDelay(0)
			}
		case 2:
			c.restartController(c.leaderIndex(), r.Float64())
		}
		for range 4 {
			submitRandomJob(c, r)
			sleep(r.Float64())
			c.cancelSome(r, 1)
			sleep(2 * r.Float64())
		}
		c.store.SetRefused(c.env.Controllers[i], false)
	}},
	{"transactions applied at once with lost responses", func(c *cluster, r *rand.Rand) {
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
			c.restartController(c.leaderIndex(), r.Float64())
		}
		sleep(float64(r.IntN(10)))
		c.setLateWrites(nil)
	}},
	{"a team at its limit, cancellation on hung or partitioned machines, and a failover", func(c *cluster, r *rand.Rand) {
		c.mu.Lock()
		n := len(c.jobs)
		c.mu.Unlock()
		for k := range 3 {
			c.submitToAny(k, records.Job{ID: jobID(n + 1 + k), Team: "limited", Tasks: 6 + r.IntN(6), CPUs: 2, EstimateS: 10})
		}
		sleep(float64(5 + r.IntN(25)))
		hangEnded := c.hangMachines(r, 2, 1+r.IntN(25))
		if r.IntN(2) == 0 {
			c.env.PartitionZone("b", true)
		}
		for k := range 2 {
			c.cancel(r.IntN(3), jobID(n+1+k))
		}
		sleep(2 * r.Float64())
		leader := max(c.leaderIndex(), 0)
		c.killController(leader)
		sleep(float64(r.IntN(12)))
		c.startController(leader)
		c.cancel(r.IntN(3), jobID(n+3))
		<-hangEnded
		c.env.PartitionZone("b", false)
	}},
	{"cancellation during a failover", func(c *cluster, r *rand.Rand) {
		leader := max(c.leaderIndex(), 0)
		cancelBefore := r.IntN(2) == 0
		if cancelBefore {
			c.cancelSome(r, 2)
		}
		c.killController(leader)
		sleep(7 * r.Float64())
		c.cancelSome(r, 2)
		for k := 0; k < 400 && c.leaderIndex() < 0; k++ {
			sleep(0.02)
		}
		for range 4 {
			c.cancelSome(r, 1)
			sleep(0.05 * r.Float64())
		}
		c.startController(leader)
	}},
	{"fast machine boots, late writes and a leader restart", func(c *cluster, r *rand.Rand) {
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
		c.restartController(c.leaderIndex(), float64(r.IntN(6)))
		c.env.SetBootTime(previous)
	}},
	{"old heartbeats at every controller as a term begins", func(c *cluster, r *rand.Rand) {
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
		c.restartController(c.leaderIndex(), r.Float64())
		sleep(float64(r.IntN(8)))
		c.restartController(c.leaderIndex(), r.Float64())
	}},
	{"four single-task jobs a second, a quarter cancelled", func(c *cluster, r *rand.Rand) {
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
				c.killController(max(c.leaderIndex(), 0))
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
	// Further pairs.
	{"more work than capacity over slow links", func(c *cluster, r *rand.Rand) {
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
		c.restartController(c.leaderIndex(), 2*r.Float64())
		sleep(float64(r.IntN(15)))
		c.mu.Lock()
		clear(c.delays)
		c.mu.Unlock()
	}},
	{"jobs bound to one zone, which loses machines", func(c *cluster, r *rand.Rand) {
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
			c.restartController(c.leaderIndex(), r.Float64())
		}
		sleep(float64(r.IntN(15)))
		c.env.PartitionZone(zone, false)
	}},
	{"all controllers down for longer than a lease", func(c *cluster, r *rand.Rand) {
		for k := range 3 {
			c.killController(k)
		}
		sleep(12 + float64(r.IntN(20)))
		for k := range 3 {
			c.startController(k)
			sleep(r.Float64())
		}
		c.cancelSome(r, 1)
	}},
	{"polls, cancellations and repeated submissions as the last task ends", func(c *cluster, r *rand.Rand) {
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
	{"a zone's workers and a controller partitioned together for longer than a lease", func(c *cluster, r *rand.Rand) {
		i, zone := r.IntN(3), []string{"a", "b"}[r.IntN(2)]
		if leader := c.leaderIndex(); leader >= 0 && r.IntN(2) == 0 {
			i = leader
		}
		if c.controller(i) == nil {
			return
		}
		c.mu.Lock()
		c.onlyControllerForZone[zone] = i
		c.mu.Unlock()
		c.env.BlockCommands(zone, true)
		c.isolateFromControlPlane(i, true)
		sleep(float64(2 + r.IntN(10)))
		c.cancelSome(r, 2)
		sleep(float64(10 + r.IntN(30)))
		c.mu.Lock()
		delete(c.onlyControllerForZone, zone)
		c.mu.Unlock()
		c.env.BlockCommands(zone, false)
		c.isolateFromControlPlane(i, false)
	}},
	{"a team at its limit, a failover, machines that receive no commands, and a cancellation", func(c *cluster, r *rand.Rand) {
		c.mu.Lock()
		n := len(c.jobs)
		c.mu.Unlock()
		for k := range 3 {
			c.submitToAny(k, records.Job{ID: jobID(n + 1 + k), Team: "limited", Tasks: 10, CPUs: 2, EstimateS: 10})
		}
		sleep(float64(5 + r.IntN(20)))
		zone := []string{"a", "b"}[r.IntN(2)]
		c.env.BlockCommands(zone, true)
		for _, m := range c.env.Machines() {
			if m.Zone == zone && r.IntN(3) == 0 {
				m.SetIsolated(true)
			}
		}
		leader := max(c.leaderIndex(), 0)
		c.killController(leader)
		sleep(float64(r.IntN(8)))
		c.cancel((leader+1)%3, jobID(n+1))
		sleep(float64(r.IntN(12)))
		c.cancel((leader+2)%3, jobID(n+2))
		c.startController(leader)
		sleep(float64(r.IntN(10)))
		c.env.BlockCommands(zone, false)
		c.reconnectMachines()
	}},
	{"heartbeats are lost and direct commands arrive", func(c *cluster, r *rand.Rand) {
		for _, m := range c.env.Machines() {
			m.SetIsolated(r.IntN(3) > 0)
		}
		sleep(float64(r.IntN(8)))
		c.cancelSome(r, 1)
		if r.IntN(2) == 0 {
			c.restartController(c.leaderIndex(), 3*r.Float64())
		}
		sleep(float64(r.IntN(35)))
		c.reconnectMachines()
	}},
	{"ten leader restarts in two minutes", func(c *cluster, r *rand.Rand) {
		withOutage := r.IntN(2) == 0
		for k := range 10 {
			if withOutage && k == 4 {
				c.store.SetOutage(true)
			}
			if k == 6 {
				c.store.SetOutage(false)
			}
			c.restartController(c.leaderIndex(), r.Float64())
			if r.IntN(3) == 0 {
				c.cancelSome(r, 1)
			}
			sleep(float64(6 + r.IntN(7)))
		}
	}},
	{"cancellation on machines that begin to hang", func(c *cluster, r *rand.Rand) {
		hangEnded := c.hangMachines(r, 8, 1+r.IntN(40))
		c.cancelSome(r, 3)
		if r.IntN(2) == 0 {
			c.restartController(c.leaderIndex(), r.Float64())
		}
		<-hangEnded
	}},
}
