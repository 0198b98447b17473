package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/peer"
	"drumpick/internal/records"
	"drumpick/internal/scheduler"
)

// These tests inject each fault of docs/faults.md in separate scenarios. At the end of each scenario, every accepted
// job must be known to every controller.

// A machine's heartbeats arrive while responses and commands do not reach the machine. Once the leader detects this,
// the machine must get no starts and a gang must start elsewhere. The machine is returned if it stays unreachable, and
// used again if it becomes reachable.
func TestMachineThatReceivesNothing(t *testing.T) {
	unreachableFor := func(c *cluster, ms []*Machine, s float64) {
		for _, m := range ms {
			m.SetUnreachable(true)
		}
		sleep(s)
		for _, m := range ms {
			m.SetUnreachable(false)
		}
	}
	for name, scenario := range map[string]func(c *cluster){
		"holds a gang": func(c *cluster) {
			c.submit(0, records.Job{ID: "j-1", Shape: records.ShapeGang, Tasks: 6, CPUs: 4, EstimateS: 30})
			sleep(35)
			c.env.Machines()[0].SetUnreachable(true)
			sleep(90)
		},
		"from its boot on": func(c *cluster) {
			c.submit(0, records.Job{ID: "j-1", Shape: records.ShapeGang, Tasks: 6, CPUs: 4, EstimateS: 30})
			for len(c.env.Machines()) == 0 {
				sleep(0.01)
			}
			c.env.Machines()[0].SetUnreachable(true)
			sleep(100)
			if started := c.env.Starts(); started < 6 {
				c.t.Errorf("the gang has not started: %d starts", started)
			}
		},
		"across a failover": func(c *cluster) {
			c.submit(0, records.Job{ID: "j-1", Tasks: 12, CPUs: 2, EstimateS: 30})
			c.submit(0, records.Job{ID: "j-2", Team: "limited", Tasks: 12, CPUs: 2, EstimateS: 30})
			sleep(33)
			c.env.Machines()[0].SetUnreachable(true)
			c.killController(c.leaderIndex())
			sleep(20)
			isUp := func(v scheduler.MachineView) bool { return v.State == scheduler.MachineUp }
			if !slices.ContainsFunc(c.leaderMachines(), isUp) {
				c.t.Error("no machine is up 20 s after the failover")
			}
			sleep(90)
		},
		"a job on it is cancelled": func(c *cluster) {
			c.submit(0, records.Job{ID: "j-1", Tasks: 12, CPUs: 2, EstimateS: 30})
			c.submit(0, records.Job{ID: "j-2", Tasks: 4, CPUs: 2, EstimateS: 300})
			sleep(33)
			ms := c.env.Machines()
			for _, m := range ms {
				m.SetUnreachable(true)
			}
			c.ask(0, peer.MethodCancel, "j-2")
			c.expectedDone = c.expectedDone[:1]
			unreachableFor(c, ms, 31)
			sleep(90)
		},
		"reachable again after 5 s": func(c *cluster) {
			c.submit(0, records.Job{ID: "j-1", Tasks: 60, CPUs: 2, EstimateS: 30})
			sleep(33)
			unreachableFor(c, c.env.Machines()[:2], 5)
			sleep(15)
			for _, v := range c.leaderMachines() {
				if v.State == scheduler.MachineUnreachable {
					c.t.Errorf("%s is reachable but considered unreachable", v.Name)
				}
			}
			sleep(120)
		},
		"a zone for two leases": func(c *cluster) {
			c.submit(0, records.Job{ID: "j-1", Tasks: 60, CPUs: 2, EstimateS: 30})
			sleep(33)
			unreachableFor(c, slices.DeleteFunc(c.env.Machines(), func(m *Machine) bool { return m.Zone != "a" }), 24)
			sleep(200)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenarioWith(t, func(c *cluster) {
				c.env.GangStartTimeout, c.env.GangPeerTimeout = 30*time.Second, 5*time.Second
				c.cfg.Deployment.Teams = append(c.cfg.Deployment.Teams, config.Team{Name: "limited", LimitCPUs: 100})
			}, func(c *cluster) {
				sleep(2)
				scenario(c)
				c.wantAllJobsKnown()
				c.wantNoVanishedMachines()
			})
		})
	}
}

// Copies of heartbeats arrive late, by 2 s to four leases, at the same and at other controllers, during a failover,
// returns of machines, lease expiries and a restart of all controllers. No machine may be recorded because of a copy,
// and no task may run twice.
func TestLateHeartbeatCopiesChangeNothing(t *testing.T) {
	for _, x := range []struct {
		name   string
		delays []time.Duration
	}{
		{"soon", []time.Duration{2 * time.Second, 5 * time.Second}},
		{"about a lease", []time.Duration{11 * time.Second, 14 * time.Second, 17 * time.Second}},
		{"four leases", []time.Duration{24 * time.Second, 48 * time.Second}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, func(c *cluster) {
				c.env.RunTime = mixedRunTime
				c.copyHeartbeats(x.delays...)
				sleep(2)
				for n := range 3 {
					c.submit(n, records.Job{ID: fmt.Sprint("j-", n+1), Tasks: 60, CPUs: 2, EstimateS: 8})
				}
				sleep(35)
				c.killController(c.leaderIndex())
				sleep(10)
				c.env.Machines()[0].Terminate()
				sleep(20)
				for i := range 3 {
					c.killController(i)
				}
				sleep(1)
				for i := range 3 {
					c.startController(i)
				}
				sleep(60)
				// By now idle machines have been returned, while copies of their heartbeats still
				// arrive. A new leader does not know these machines.
				sleep(20)
				c.submit(0, records.Job{ID: "j-9", Tasks: 4, CPUs: 4, EstimateS: 8})
				c.killController(c.leaderIndex())
				sleep(60)
				c.wantAllJobsKnown()
				c.wantNoVanishedMachines()
			})
		})
	}
}

// A controller is partitioned from the store and the other controllers, but not from its workers. No task may be lost.
func TestIsolatedControllerLosesNoTask(t *testing.T) {
	for _, role := range []string{"leader", "follower"} {
		for _, seconds := range []float64{5, 12, 90} {
			t.Run(fmt.Sprint(role, " for ", seconds, " s"), func(t *testing.T) {
				t.Parallel()
				runScenario(t, func(c *cluster) {
					c.env.RunTime = func(string) time.Duration { return 40 * time.Second }
					sleep(2)
					c.submit(0, records.Job{ID: "j-1", Tasks: 40, CPUs: 2, EstimateS: 40})
					c.submit(1, records.Job{ID: "j-2", Tasks: 4, EstimateS: 300})
					sleep(33)
					old := c.leaderIndex()
					isolated := old
					if role == "follower" {
						isolated = (old + 1) % 3
					}
					lostBefore, starts := countLostTasks(c), c.env.Starts()
					c.isolateFromControlPlane(isolated, true)
					sleep(4)
					if seconds > 5 {
						// Users of the isolated controller get 503 without a delay.
						sleep(3)
						began := time.Now()
						if status, _ := c.ask(isolated, peer.MethodPoll, "j-1"); status != 503 || time.Since(began) > time.Second/4 {
							t.Errorf("a poll at the isolated controller: %d after %v", status, time.Since(began))
						}
						if c.controller(isolated).server.Ready() {
							t.Error("the isolated controller is ready")
						}
					}
					c.ask((isolated+1)%3, peer.MethodCancel, "j-2")
					c.expectedDone = c.expectedDone[:1]
					sleep(max(seconds-7, 1))
					if n := countLostTasks(c) - lostBefore; n > 0 {
						t.Errorf("%d tasks were lost by lease expiry, of %d", n, starts)
					}
					c.env.CheckCancelled()
					c.isolateFromControlPlane(isolated, false)
					sleep(120)
					c.wantAllJobsKnown()
					c.wantNoVanishedMachines()
				})
			})
		}
	}
}

// Controllers restart within a second, also during an election, or machines reboot with their incarnation and sequence
// number reset. No job may be lost.
func TestImmediateRestartLosesNothing(t *testing.T) {
	restart := func(c *cluster, pause float64, controllers ...int) {
		for _, i := range controllers {
			c.killController(i)
		}
		sleep(pause)
		for _, i := range controllers {
			c.startController(i)
		}
	}
	for name, scenario := range map[string]func(c *cluster){
		"the leader":        func(c *cluster) { restart(c, 0.05, c.leaderIndex()) },
		"the leader, later": func(c *cluster) { restart(c, 0.9, c.leaderIndex()) },
		"the leader with a commit under way": func(c *cluster) {
			c.controller(c.leaderIndex()).client.LoseResponses(3, 2*time.Second)
			sleep(0.6)
			restart(c, 0.05, c.leaderIndex())
		},
		"the leader twice": func(c *cluster) {
			i := c.leaderIndex()
			restart(c, 0.1, i)
			sleep(0.3)
			restart(c, 0.1, i)
		},
		"two at once": func(c *cluster) { i := c.leaderIndex(); restart(c, 0.2, i, (i+1)%3) },
		"all":         func(c *cluster) { restart(c, 0.2, 0, 1, 2) },
		"in an election": func(c *cluster) {
			i := c.leaderIndex()
			c.killController(i)
			for c.leaderIndex() < 0 {
				sleep(0.01)
			}
			restart(c, 0.05, c.leaderIndex())
			c.startController(i)
		},
		"a machine":     func(c *cluster) { rebootMachines(c, c.env.Machines()[:1]) },
		"most machines": func(c *cluster) { rebootMachines(c, c.env.Machines()) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, func(c *cluster) {
				sleep(2)
				c.submit(0, records.Job{ID: "j-1", Tasks: 40, CPUs: 2, EstimateS: 30})
				c.submit(1, records.Job{ID: "j-2", Shape: records.ShapeGang, Tasks: 4, CPUs: 2, EstimateS: 30})
				sleep(33)
				scenario(c)
				c.submit(2, records.Job{ID: "j-3", Tasks: 4, EstimateS: 30})
				sleep(200)
				c.wantAllJobsKnown()
				c.wantNoVanishedMachines()
			})
		})
	}
}

// rebootMachines reboots machines, which resets their incarnations and sequence numbers, and requires that the leader
// uses them again within 5 s.
func rebootMachines(c *cluster, ms []*Machine) {
	for _, m := range ms {
		m.Reboot()
	}
	states := func() map[string]int {
		n := map[string]int{}
		for _, v := range c.leaderMachines() {
			if slices.ContainsFunc(ms, func(m *Machine) bool { return m.Name == v.Name }) {
				n[v.State]++
			}
		}
		return n
	}
	sleep(5)
	if n := states()[scheduler.MachineUp]; n != len(ms) {
		c.t.Errorf("%d machines of %d are in use again: %v", n, len(ms), states())
	}
}

// Random faults of processes and of the network, in any order, must violate no rule. At the end every job must be known
// and done.
func TestRandomProcessAndNetworkFaultsBreakNoRule(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 32))
			runScenarioWith(t, func(c *cluster) { c.env.ZoneCapacity = 8 }, func(c *cluster) {
				c.env.RunTime = mixedRunTime
				c.copyHeartbeats(time.Duration(1+r.IntN(60)) * time.Second)
				sleep(2)
				jobs := 0
				for range 10 {
					for i := range 3 {
						if c.controller(i) == nil {
							continue
						}
						j := records.Job{ID: jobID(jobs + 1), Tasks: 10 + r.IntN(40), CPUs: float64(1 + r.IntN(4)), EstimateS: 8}
						if c.submit(i, j) == 201 {
							jobs++
							break
						}
					}
					injectRandomProcessFault(c, r)
					if r.IntN(2) == 0 {
						injectRandomFault(c, r)
					}
				}
				endFaults(c)
				sleep(300)
				c.wantAllJobsKnown()
				c.wantNoVanishedMachines()
				if len(c.expectedDone) == 0 {
					t.Error("no job was accepted")
				}
			})
		})
	}
}
