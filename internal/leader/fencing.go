package leader

import (
	"context"
	"sync"

	"drumpick/internal/ctxtime"
	"drumpick/internal/scheduler"
	"drumpick/internal/workers"
)

// machineFencing sends this term to every machine that earlier terms may have used. Once a worker
// has received it, the worker rejects commands of earlier leaders, so the status that it then
// reports lists all tasks of earlier leaders.
type machineFencing struct {
	*term
}

// run sends the term to the unreconciled machines, in rounds, until all are reconciled or ctx ends.
// A round starts once all calls of the previous round have ended.
func (f *machineFencing) run(ctx context.Context) {
	for ctx.Err() == nil {
		var machines []scheduler.UnreconciledMachine
		reconciled := false
		f.withState(func() {
			machines = f.state.scheduler.Unreconciled()
			reconciled = f.state.scheduler.Reconciled()
		})
		if reconciled {
			return
		}
		var calls sync.WaitGroup
		for _, machine := range machines {
			calls.Add(1)
			f.callWorker("fencing", func() {
				defer calls.Done()
				f.fence(machine)
			})
		}
		calls.Wait()
		if ctxtime.Sleep(ctx, f.settings.HeartbeatInterval/2) != nil {
			return
		}
	}
}

// fence sends the term to a machine. A worker that has restarted rejects the call and returns its
// new incarnation, with which the call is retried once. Any other failure is left to the next
// round.
func (f *machineFencing) fence(machine scheduler.UnreconciledMachine) {
	for range 2 {
		outcome, status, err := f.workers.SendCommands(machine.Addr, f.emptyCommandRequest(machine.Incarnation))
		if err != nil || status.FencingToken > f.number {
			return
		}
		f.reconcileStatus(status)
		if outcome == workers.OutcomeExecuted {
			return
		}
		machine.Incarnation = status.Incarnation
	}
}
