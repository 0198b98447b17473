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

// storeOutage queries the peers while the store does not answer the leader. They also report the
// cancellations that they have confirmed to users since the last contact. If all peers answer,
// workers' leases may be renewed for longer, including those of machines with tasks of cancelled
// jobs, as these tasks are killed. A restarted controller answers only for the time since its
// start, and leases are not renewed if that leaves a gap. If the store serves a peer but not the
// leader, the leader resigns once its lease on the leader key has expired.
type storeOutage struct {
	*term
	attestor        *attestor
	cancellationLog *cancellation.Log // the cancellations that this controller has confirmed to users

	// servedElsewhereSince is since when, after the lease on the leader key has expired, the store
	// has served peers but not the leader; zero if it does not.
	servedElsewhereSince time.Time
}

// run queries peers and announces attestations sequentially. Otherwise a peer that started after an
// earlier attestation was sent could record it after a later one.
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
	cancellations := []cancellation.PeerAnswer{{Confirmed: &own, SinceLastConfirmation: o.cancellationLog.SinceLastConfirmation(now)}}
	for _, answer := range answers {
		cancellations = append(cancellations, cancellation.PeerAnswer{
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
	cancelled, covered := o.contact.coveredBy(cancellations, now)
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
	served           bool // it serves a peer now
	servedPastExpiry bool // it has answered a peer since the lease on the leader key expired
	noneCanLead      bool // it has answered no peer since then, so none can have been elected
}

// summarizeStoreAccess summarizes the peers' answers to a query that took elapsed. sinceExpiry is
// the time since the lease on the leader key was last certain not to have expired; negative while
// that is certain.
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
	// No other controller can lead until the lease has expired. The second condition prevents the
	// leader from resigning just before the store fails for all, which would leave no leader until
	// it recovers.
	if !access.served || !access.servedPastExpiry {
		o.servedElsewhereSince = time.Time{}
		return false
	}
	if o.servedElsewhereSince.IsZero() {
		o.servedElsewhereSince = askedAt
	}
	// At the end of an outage for all controllers, the first to send a request is served first.
	// Only a later failed request of the leader shows that it is excluded.
	return time.Since(lastOK) > o.settings.HeartbeatInterval &&
		o.store.FailedSince(o.servedElsewhereSince) &&
		askedAt.Sub(o.servedElsewhereSince) >= o.settings.HeartbeatInterval/2
}
