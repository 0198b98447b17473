package leader

import (
	"context"
	"sync"

	"drumpick/internal/ctxtime"
	"drumpick/internal/scheduler"
	"drumpick/internal/workers"
)

// machineFencing makes every machine that earlier terms may have used show this term: from then on
// it follows no older leader, and what it shows is all it runs.
type machineFencing struct {
	*term
}

// run calls the machines until all are reconciled, each round once the one before is answered.
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

// fence shows a machine the term. A worker that has restarted refuses the call and tells
// its new incarnation, with which it is tried once more.
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
