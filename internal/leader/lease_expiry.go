package leader

import (
	"context"
	"log/slog"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/ctxtime"
	"drumpick/internal/peer"
	"drumpick/internal/watermark"
)

// leaseExpiry waits after a failover until all workers' leases that earlier terms renewed have
// expired. The tasks of machines that are still not reconciled are gone from then on.
type leaseExpiry struct {
	*term
	attestor *attestor
}

// run returns once all machines are reconciled, which includes those whose leases have expired, or ctx
// has ended, or if the possible renewers are not known. It queries the store only after the failover is complete,
// so that the failover does not wait for the answer.
func (e *leaseExpiry) run(ctx context.Context) {
	renewers := e.possibleRenewers(ctx)
	if len(renewers) == 0 {
		return
	}
	// The drift is that between two clocks: the worker's measures the lease, and the renewer's the
	// time since its last renewal.
	lease := e.settings.Lease + config.MaxDrift(e.settings.Lease)
	for ctxtime.Sleep(ctx, e.settings.HeartbeatInterval/4) == nil {
		if e.reconciled() {
			return
		}
		if time.Since(e.startedAt) < lease/2 {
			continue // the last leader's renewals cannot be that old yet
		}
		if !watermark.LeasesExpired(renewers, e.sinceRenewals(ctx), lease) {
			continue
		}
		// Machines with a lease of this term still await reconciliation: the loop continues for them.
		machines := 0
		e.withState(func() { machines = e.state.scheduler.ExpireEarlierLeases(time.Now()) })
		if machines > 0 {
			slog.Info("earlier leases expired", "term", e.number, "machines", machines, "nodes", renewers)
			e.persistSoon()
		}
	}
}

func (e *leaseExpiry) reconciled() bool {
	e.lock()
	defer e.unlock()
	return e.state.scheduler.Reconciled()
}

// possibleRenewers returns the nodes that may have renewed leases in earlier terms, or nil if they
// are not known or Options.LeaseExpiryProofs is off.
func (e *leaseExpiry) possibleRenewers(ctx context.Context) []string {
	last := e.attestor.lastReconciled
	if !last.Reconciled || !e.cfg.Options.LeaseExpiryProofs {
		return nil
	}
	changes, err := e.leaderChanges(ctx, last.Revision)
	if err != nil {
		slog.Debug("earlier leaders unknown", "term", e.number, "revision", last.Revision, "err", err)
		return nil
	}
	nodes, _ := watermark.PossibleRenewers(last, changes, e.number)
	return nodes
}

// sinceRenewals returns, for this node and each peer that answers, a lower bound of the time since
// its last lease renewal. For this node that is the age of this term: its renewals in earlier terms
// are older.
func (e *leaseExpiry) sinceRenewals(ctx context.Context) map[string]time.Duration {
	since := map[string]time.Duration{e.cfg.Node: time.Since(e.startedAt)}
	answers, _ := e.peers.QueryStatus(ctx, peer.StatusRequest{})
	for _, answer := range answers {
		if answer.SinceRenewalMS != nil {
			since[answer.Node] = time.Duration(*answer.SinceRenewalMS) * time.Millisecond
		}
	}
	return since
}
