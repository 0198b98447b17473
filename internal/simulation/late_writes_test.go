package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// Commits without a response are applied seconds later, after newer ones of the same controller, while
// machines fail and leaders are killed during a zone partition. Guards against a late commit that
// reverts newer writes of the same term, because both commits compare only the leader key.
func TestLateWritesRevertNoNewerWrite(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 35))
			runScenarioWith(t, func(c *cluster) { c.env.ZoneCapacity = 12 }, func(c *cluster) {
				c.env.RunTime = mixedRunTime
				installRecordCheck(c)
				setLate := func() {
					for i := range 3 {
						if n := c.controller(i); n != nil {
							n.client.SetLateWrites(randomLateWrites(seed + uint64(i)))
						}
					}
				}
				sleep(2)
				setLate()
				for n := range 12 {
					j := records.Job{ID: fmt.Sprint("j-", n+1), Tasks: 4 + r.IntN(60), CPUs: float64(1 + r.IntN(4)), EstimateS: 8}
					for try := range 6 { // users retry until a controller accepts
						if status := c.submit((n+try)%3, j); status == 201 || status == 200 {
							break
						}
						sleep(1)
					}
					if n%4 == 3 {
						c.ask(n%3, peer.MethodCancel, fmt.Sprint("j-", n+1))
						c.expectCancelled(fmt.Sprint("j-", n+1))
					}
					sleep(float64(1 + r.IntN(14)))
					switch ms := c.env.Machines(); r.IntN(4) {
					case 0:
						if len(ms) > 0 {
							ms[r.IntN(len(ms))].Terminate()
						}
					case 1:
						leader := max(c.leaderIndex(), 0)
						c.env.PartitionZone("b", true)
						c.killController(leader)
						sleep(float64(r.IntN(8)))
						c.startController(leader)
						setLate()
						c.env.PartitionZone("b", false)
					}
				}
				for i := range 3 {
					c.controller(i).client.SetLateWrites(nil)
				}
				sleep(240)
				c.wantAllJobsKnown()
				c.wantNoVanishedMachines()
				if len(c.env.acceptedAt) < 6 {
					t.Errorf("%d jobs were accepted", len(c.env.acceptedAt))
				}
			})
		})
	}
}
