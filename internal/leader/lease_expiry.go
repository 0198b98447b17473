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

// leaseExpiry waits, as long as machines are not reconciled after the failover, for the workers'
// leases that earlier terms renewed to have expired: then the tasks that these machines had are
// gone.
type leaseExpiry struct {
	*term
	attestor *attestor
}

// run asks the store only once the failover is complete, which does not wait for it.
func (e *leaseExpiry) run(ctx context.Context) {
	renewers := e.possibleRenewers(ctx)
	if len(renewers) == 0 {
		return
	}
	// Two clocks are involved: the worker's, for its lease, and the renewer's, for how long it has
	// accepted no heartbeat.
	lease := e.settings.Lease + config.Drift(e.settings.Lease)
	for ctxtime.Sleep(ctx, e.settings.HeartbeatInterval/4) == nil {
		if e.reconciled() {
			return
		}
		if time.Since(e.startedAt) < lease/2 {
			continue // the last leader cannot have been silent for so long
		}
		if !watermark.LeasesExpired(renewers, e.sinceRenewals(ctx), lease) {
			continue
		}
		e.state.mu.Lock()
		machines := e.state.scheduler.ExpireEarlierLeases(time.Now())
		e.state.mu.Unlock()
		slog.Info("earlier leases expired", "term", e.number, "machines", machines, "nodes", renewers)
		e.persistSoon()
		return
	}
}

func (e *leaseExpiry) reconciled() bool {
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	return e.state.scheduler.Reconciled()
}

// possibleRenewers lists the nodes that may have renewed leases which this term has not; none
// where that is not known.
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

// sinceRenewals returns, by node, how long ago at least each controller that answers has renewed a
// lease. What this process renewed in an earlier term of its own was before this term.
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
