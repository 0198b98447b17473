package simulation

import (
	"context"
	"fmt"
	"testing"

	"drumpick/internal/autoscaler"
	"drumpick/internal/records"
)

// observedCloud is the cloud of a controller, which calls the cluster's beforeCloudList.
type observedCloud struct {
	*CloudClient
	cluster    *cluster
	controller int
}

func (o *observedCloud) List(ctx context.Context) ([]autoscaler.CloudMachine, error) {
	o.cluster.mu.Lock()
	f := o.cluster.beforeCloudList
	o.cluster.mu.Unlock()
	if f != nil {
		f(o.controller)
	}
	return o.CloudClient.List(ctx)
}

// Guards against a fault in the leader's code that ends one process after the other: a loop of three
// successive leaders panics while tasks run. Each time the term ends, another controller leads, and no
// task is lost, started twice or forgotten.
func TestPanicOfLeaderEndsItsTermOnly(t *testing.T) {
	t.Parallel()
	runScenario(t, func(c *cluster) {
		c.env.RunTime = mixedRunTime
		for n := range 6 {
			c.submit(0, records.Job{ID: fmt.Sprint("j-", n+1), Tasks: 40, EstimateS: 8})
		}
		sleep(30)
		for range 3 {
			panicked := c.panicOfLeader()
			for leads := c.leaderIndex(); leads < 0 || leads == panicked; leads = c.leaderIndex() {
				sleep(0.1)
			}
			sleep(5)
		}
		sleep(120)
		for n := range 6 {
			for i := range 3 {
				c.wantDone(i, fmt.Sprint("j-", n+1))
			}
		}
	})
}

// panicOfLeader waits until the leader's next read of the machine list panics, and returns its index.
func (c *cluster) panicOfLeader() int {
	panicked := make(chan int, 1)
	c.setBeforeCloudList(func(controller int) {
		c.setBeforeCloudList(nil)
		panicked <- controller
		panic("injected")
	})
	return <-panicked
}

func (c *cluster) setBeforeCloudList(f func(controller int)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beforeCloudList = f
}
