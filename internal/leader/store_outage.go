package leader

import (
	"context"
	"log/slog"
	"time"

	"drumpick/internal/cancellation"
	"drumpick/internal/config"
	"drumpick/internal/ctxtime"
	"drumpick/internal/peer"
)

// storeOutage queries the peers while the store does not answer the leader. Each peer lists the
// cancellations that it has confirmed to users since the leader's last contact. If all peers
// answer, the leader cancels the listed jobs and may renew workers' leases for longer, also on
// machines with tasks of these jobs, because the tasks are killed. A restarted peer lists only the
// time since its start; if that leaves a gap, leases are not renewed for longer. If the store
// serves a peer but not the leader, the leader resigns once its lease on the leader key has
// expired.
type storeOutage struct {
	*term
	attestor        *attestor
	cancellationLog *cancellation.Log // the cancellations that this controller has confirmed to users

	// servedElsewhereSince is when a query first showed that the store serves a peer but not the
	// leader, and has answered a peer since the lease on the leader key expired; zero if the last
	// query did not show this.
	servedElsewhereSince time.Time
}

// run queries peers and announces attestations sequentially. Otherwise an earlier attestation that
// is still in flight could be recorded by a peer that has restarted and forgotten a later one.
func (o *storeOutage) run(ctx context.Context) {
	for o.attestor.announce(ctx); ctxtime.Sleep(ctx, o.settings.HeartbeatInterval/4) == nil; {
		lastOK, failing, _ := o.store.Health()
		if !failing || time.Since(lastOK) < o.settings.HeartbeatInterval/2 {
			o.attestor.announce(ctx)
			continue
		}
		if !o.queryPeers(ctx, lastOK) {
			return
		}
	}
}

// queryPeers queries all peers once and applies their answers. It returns false if the leader has
// resigned. lastOK is when the store last answered the leader.
func (o *storeOutage) queryPeers(ctx context.Context, lastOK time.Time) bool {
	interval := o.settings.HeartbeatInterval
	askedAt := time.Now()
	_, confirmedUntil := o.election.Term()
	attestation := o.attestor.requestRelaxation()
	span := o.contact.requiredSpan(askedAt, interval) // allows for the duration of the query
	answers, all := o.peers.QueryStatus(ctx, peer.StatusRequest{Attestation: attestation, CancellationSpanMS: span.Milliseconds()})
	o.attestor.applyAcknowledgements(attestation, answers, all, askedAt)
	now := time.Now()
	own := o.cancellationLog.ConfirmedWithin(span, now)
	sinceExpiry := time.Since(confirmedUntil)
	cancellationAnswers := []cancellation.PeerAnswer{{Confirmed: &own, SinceLastConfirmation: o.cancellationLog.SinceLastConfirmation(now)}}
	for _, answer := range answers {
		cancellationAnswers = append(cancellationAnswers, cancellation.PeerAnswer{
			Confirmed:             answer.Cancellations,
			SinceLastConfirmation: time.Duration(answer.SinceConfirmationMS) * time.Millisecond,
		})
	}
	access := o.summarizeStoreAccess(answers, sinceExpiry, now.Sub(askedAt))
	if o.shouldResign(access, askedAt, lastOK) {
		slog.Warn("leader resigned", "term", o.number, "node", o.cfg.Node, "reason", "store serves other controllers but not this one")
		o.election.Resign()
		return false
	}
	cancelled, covered := o.contact.coveredBy(cancellationAnswers, now)
	if all && covered {
		o.cancelReported(cancelled)
		o.contact.record(askedAt)
	}
	if all && access.noneCanLead && !access.served {
		o.contact.setSoleLeaderUntil(askedAt.Add(interval))
	}
	return true
}

// peerStoreAccess summarizes how the store serves the peers that have answered.
type peerStoreAccess struct {
	served           bool // the store serves a peer now
	servedPastExpiry bool // it has certainly answered a peer since the lease on the leader key expired
	noneCanLead      bool // it has certainly answered no peer since then, so none can have been elected
}

// summarizeStoreAccess summarizes what the peers have answered to a query that took elapsed.
// sinceExpiry is the time since the lease on the leader key was last certain not to have expired;
// negative while that is certain.
func (o *storeOutage) summarizeStoreAccess(answers []peer.Status, sinceExpiry, elapsed time.Duration) peerStoreAccess {
	access := peerStoreAccess{noneCanLead: true}
	for _, answer := range answers {
		silent := time.Duration(answer.SinceStoreServedMS) * time.Millisecond
		if silent < o.settings.HeartbeatInterval/2 && !answer.StoreFailing {
			access.served = true
		}
		if answer.StoreServed && silent < sinceExpiry-elapsed {
			access.servedPastExpiry = true
		}
		// A controller that the store has never answered since its start cannot lead either,
		// however recent the start.
		if answer.StoreServed && silent-config.MaxDrift(silent) < sinceExpiry {
			access.noneCanLead = false
		}
	}
	return access
}

// shouldResign reports whether the store has served peers but not the leader for so long that the
// leader has to resign.
func (o *storeOutage) shouldResign(access peerStoreAccess, askedAt, lastOK time.Time) bool {
	// No other controller can lead before the lease on the leader key has expired. Without the
	// condition servedPastExpiry, the leader could resign just before the store fails for all
	// controllers, which would leave no leader until the store recovers.
	if !access.served || !access.servedPastExpiry {
		o.servedElsewhereSince = time.Time{}
		return false
	}
	if o.servedElsewhereSince.IsZero() {
		o.servedElsewhereSince = askedAt
	}
	// At the end of an outage for all controllers, the store serves first whoever sends the first
	// request. Only a later request of the leader that fails shows that the store excludes the
	// leader.
	return time.Since(lastOK) > o.settings.HeartbeatInterval &&
		o.store.FailedSince(o.servedElsewhereSince) &&
		askedAt.Sub(o.servedElsewhereSince) >= o.settings.HeartbeatInterval/2
}
