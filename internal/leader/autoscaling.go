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

// maxRentalRetries is the maximum number of retries of a rental request that the cloud neither
// grants nor refuses for lack of capacity.
const maxRentalRetries = 8

// autoscaling carries out the scheduler's decisions on scaling out and in, and reconciles the
// scheduler's machines with the cloud's machine list.
type autoscaling struct {
	*term
	cloud Cloud
}

// runReconciliation reconciles the machines with the cloud's list periodically until ctx ends.
func (a *autoscaling) runReconciliation(ctx context.Context) {
	for ctx.Err() == nil {
		pause := max(a.reconcileCloudList(ctx), a.settings.HeartbeatInterval/4)
		if ctxtime.Sleep(ctx, pause*3/4+rand.N(pause/2)) != nil {
			return
		}
	}
}

// reconcileCloudList reads the cloud's list once, reconciles the machines with it, and returns the
// delay until the next read.
func (a *autoscaling) reconcileCloudList(ctx context.Context) (pause time.Duration) {
	pause = a.settings.ListLag + a.settings.HeartbeatInterval
	askedAt := time.Now()
	list, err := a.cloud.List(ctx)
	if err != nil {
		slog.Debug("cloud machine list not read", "err", err)
		return pause
	}
	a.lock()
	defer a.unlock()
	a.state.scheduler.ReconcileCloudList(list, askedAt, time.Now())
	if !a.state.scheduler.Reconciled() {
		return a.settings.ListLag / 2 // tasks wait until the list shows which machines are gone
	}
	return pause
}

// runScaleOut rents the machines that the scheduler plans until ctx ends. It returns once all
// requests in progress have ended.
func (a *autoscaling) runScaleOut(ctx context.Context) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for ctxtime.Sleep(ctx, a.settings.HeartbeatInterval/4) == nil {
		if !a.leaseConfirmed() {
			continue
		}
		var planned []autoscaler.RentalRequest
		a.withState(func() { planned = a.state.scheduler.PlanRentals(time.Now()) })
		for _, request := range planned {
			requests.Add(1)
			go func() {
				defer requests.Done()
				a.guard("rental", func() { a.rent(ctx, request) })
			}()
		}
	}
}

// rent sends one rental request and tells the scheduler the result. It retries after every error
// but a lack of capacity, up to maxRentalRetries times; the request's name makes it idempotent.
// Nothing is sent while the lease on the leader key may have expired.
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
			a.withState(func() { a.state.scheduler.MachinesRented(request, machines, now) })
			return
		case noCapacity, ctx.Err() != nil, retries >= maxRentalRetries:
			a.withState(func() { a.state.scheduler.RentalRefused(request, noCapacity, now) })
			return
		}
		slog.Debug("scale out not answered", "request", request.Name, "err", err)
		if ctxtime.Sleep(ctx, pause/2+rand.N(pause)) != nil {
			continue
		}
		pause = min(2*pause, 4*a.settings.HeartbeatInterval)
	}
}

// runScaleIn returns to the cloud the machines that the scheduler no longer needs, until ctx ends.
func (a *autoscaling) runScaleIn(ctx context.Context) {
	for ctxtime.Sleep(ctx, a.settings.HeartbeatInterval/2) == nil {
		// Repeats while each call returns the maximum number of machines. With one call per pause,
		// older work would wait long until the last of hundreds of machines of an unreachable zone
		// is returned.
		for more := true; more && a.leaseConfirmed(); {
			more = a.returnMachines(ctx)
		}
	}
}

// returnMachines returns up to autoscaler.MaxReturnNames machines to the cloud in one call, and
// reports whether more may be due. After an error, more is false.
func (a *autoscaling) returnMachines(ctx context.Context) (more bool) {
	var machines []string
	a.withState(func() { machines = a.state.scheduler.MachinesToReturn(time.Now()) })
	if len(machines) == 0 || !a.leaseConfirmed() {
		return false
	}
	if err := a.cloud.Return(ctx, machines); err != nil {
		slog.Debug("scale in not answered", "machines", machines, "err", err)
		return false
	}
	a.withState(func() { a.state.scheduler.MachinesReturned(machines, time.Now()) })
	a.persistSoon()
	return len(machines) == autoscaler.MaxReturnNames
}
