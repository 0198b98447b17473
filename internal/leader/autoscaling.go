package leader

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/ctxtime"
)

// maxRentalRetries is the maximum number of retries of a rental request that the cloud does not
// answer.
const maxRentalRetries = 8

// autoscaling carries out the scheduler's decisions on scaling out and in, and reconciles its
// machines with the cloud's list.
type autoscaling struct {
	*term
	cloud Cloud
}

// runReconciliation reconciles machines with the cloud's list periodically.
func (a *autoscaling) runReconciliation(ctx context.Context) {
	for ctx.Err() == nil {
		pause := max(a.reconcileCloudList(ctx), a.settings.HeartbeatInterval/4)
		if ctxtime.Sleep(ctx, pause*3/4+rand.N(pause/2)) != nil {
			return
		}
	}
}

// reconcileCloudList reconciles machines with the cloud's list once, and returns the delay until
// the next time.
func (a *autoscaling) reconcileCloudList(ctx context.Context) (pause time.Duration) {
	pause = a.settings.ListLag + a.settings.HeartbeatInterval
	askedAt := time.Now()
	list, err := a.cloud.List(ctx)
	if err != nil {
		slog.Debug("cloud machine list not read", "err", err)
		return pause
	}
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	a.state.scheduler.ReconcileCloudList(list, askedAt, time.Now())
	if !a.state.scheduler.Reconciled() {
		return a.settings.ListLag / 2 // tasks wait until the list shows which machines are gone
	}
	return pause
}

// runScaleOut rents the machines that the scheduler plans. It returns once all requests have ended.
func (a *autoscaling) runScaleOut(ctx context.Context) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for ctxtime.Sleep(ctx, a.settings.HeartbeatInterval/4) == nil {
		if !a.leaseConfirmed() {
			continue
		}
		a.state.mu.Lock()
		planned := a.state.scheduler.PlanRentals(time.Now())
		a.state.mu.Unlock()
		for _, request := range planned {
			requests.Add(1)
			go func() {
				defer requests.Done()
				a.rent(ctx, request)
			}()
		}
	}
}

// rent retries one request, which the cloud identifies by its name, until it is answered or the
// retries are exhausted.
func (a *autoscaling) rent(ctx context.Context, request autoscaler.RentalRequest) {
	pause := a.settings.HeartbeatInterval / 4
	for retries := 0; ; retries++ {
		var machines []string
		err := error(autoscaler.ErrUnavailable)
		if a.leaseConfirmed() {
			machines, err = a.cloud.Rent(ctx, request)
		}
		now := time.Now()
		noCapacity := errors.Is(err, autoscaler.ErrNoCapacity)
		switch {
		case err == nil:
			a.state.mu.Lock()
			a.state.scheduler.MachinesRented(request, machines, now)
			a.state.mu.Unlock()
			return
		case noCapacity, ctx.Err() != nil, retries >= maxRentalRetries:
			a.state.mu.Lock()
			a.state.scheduler.RentalRefused(request, noCapacity, now)
			a.state.mu.Unlock()
			return
		}
		slog.Debug("scale out not answered", "request", request.Name, "err", err)
		if ctxtime.Sleep(ctx, pause/2+rand.N(pause)) != nil {
			continue
		}
		pause = min(2*pause, 4*a.settings.HeartbeatInterval)
	}
}

// runScaleIn returns the machines that the scheduler no longer needs.
func (a *autoscaling) runScaleIn(ctx context.Context) {
	for ctxtime.Sleep(ctx, a.settings.HeartbeatInterval/2) == nil {
		// Repeats while calls are full. Otherwise hundreds of machines of an unreachable zone would
		// be returned at one call per interval while all older work waits for the last.
		for more := true; more && a.leaseConfirmed(); {
			more = a.returnMachines(ctx)
		}
	}
}

// returnMachines returns as many machines as one call takes, and reports whether there may be more.
func (a *autoscaling) returnMachines(ctx context.Context) (more bool) {
	a.state.mu.Lock()
	machines := a.state.scheduler.MachinesToReturn(time.Now())
	a.state.mu.Unlock()
	if len(machines) == 0 || !a.leaseConfirmed() {
		return false
	}
	if err := a.cloud.Return(ctx, machines); err != nil {
		slog.Debug("scale in not answered", "machines", machines, "err", err)
		return false
	}
	a.state.mu.Lock()
	a.state.scheduler.MachinesReturned(machines, time.Now())
	a.state.mu.Unlock()
	a.persistSoon()
	return len(machines) == autoscaler.MaxReturnNames
}
