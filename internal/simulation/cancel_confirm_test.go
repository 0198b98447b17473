package simulation

import (
	"testing"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// After the cancellation of a job has been confirmed to a user, no task of the job starts, however late the leader's
// watch of the store reports the cancellation. The environment checks this as rule started_cancelled. Short tasks keep
// starting on few machines while users cancel the jobs one by one at other controllers. Guards against starts by a
// leader that is the only controller refused by the store, and by a leader that reaches neither the store nor its
// peers.
func TestNoTaskStartsAfterConfirmedCancellation(t *testing.T) {
	for name, scenario := range map[string]func(c *cluster, leader int, cancel func()){
		"the store is slow for the leader": func(c *cluster, leader int, cancel func()) {
			c.controller(leader).client.SetDelay(700 * time.Millisecond)
			for range 4 {
				cancel()
				sleep(1.5)
			}
			c.controller(leader).client.SetDelay(0)
		},
		"the store refuses the leader alone": func(c *cluster, leader int, cancel func()) {
			c.store.SetRefused(c.env.Controllers[leader], true)
			for range 4 {
				cancel()
				sleep(0.7)
			}
			sleep(10)
			c.store.SetRefused(c.env.Controllers[leader], false)
		},
		"the leader is isolated from store and peers": func(c *cluster, leader int, cancel func()) {
			c.isolateFromControlPlane(leader, true)
			for range 6 {
				cancel()
				sleep(1)
			}
			sleep(10)
			c.isolateFromControlPlane(leader, false)
		},
		"during an election": func(c *cluster, leader int, cancel func()) {
			c.killController(leader)
			for range 200 {
				cancel()
				sleep(0.05)
			}
			c.startController(leader)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenarioWith(t, func(c *cluster) { c.env.ZoneCapacity = 4 }, func(c *cluster) {
				c.env.RunTime = func(string) time.Duration { return time.Second }
				sleep(2)
				const jobs = 12
				for n := range jobs {
					c.submit(n%3, records.Job{ID: jobID(n + 1), Tasks: 3000, CPUs: 1, EstimateS: 1})
				}
				sleep(35)
				leader, next := c.leaderIndex(), 0
				scenario(c, leader, func() {
					// Users repeat each cancellation until it is confirmed.
					if next < jobs {
						if _, st := c.ask((leader+1+next%2)%3, peer.MethodCancel, jobID(next+1)); st == records.StatusCancelled {
							next++
						}
					}
				})
				if next == 0 {
					t.Error("no cancellation was confirmed")
				}
				for n := range jobs {
					c.ask(0, peer.MethodCancel, jobID(n+1))
				}
				sleep(60)
			})
		})
	}
}
