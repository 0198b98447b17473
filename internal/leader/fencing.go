package leader

import (
	"context"
	"sync"

	"drumpick/internal/ctxtime"
	"drumpick/internal/scheduler"
	"drumpick/internal/workers"
)

// machineFencing fences every machine that earlier terms may have used: once a machine has received
// this term, it rejects older leaders, and the status it reports is complete.
type machineFencing struct {
	*term
}

// run calls the machines until all are reconciled. A round starts once all calls of the previous
// one have been answered.
func (f *machineFencing) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.state.mu.Lock()
		machines := f.state.scheduler.Unreconciled()
		reconciled := f.state.scheduler.Reconciled()
		f.state.mu.Unlock()
		if reconciled {
			return
		}
		var calls sync.WaitGroup
		for _, machine := range machines {
			calls.Add(1)
			f.workers.Go(func() {
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

// fence sends a machine the term. A worker that has restarted refuses the call and returns its new
// incarnation, with which the call is retried once.
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
