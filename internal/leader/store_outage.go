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

// storeOutage queries the peers while the store does not answer the leader. Which cancellations
// they have confirmed to users since the last contact they report as well; where all have
// answered, workers' leases may be renewed for longer, those of machines with tasks of cancelled
// jobs too, as their tasks are killed. A controller that has restarted answers only for the time
// since, so that a gap ends it. If the store serves a peer while it does not serve the leader, the
// leader resigns once its lease on the leader key has expired.
type storeOutage struct {
	*term
	attestor        *attestor
	cancellationLog *cancellation.Log // the cancellations that this controller has confirmed to users

	// servedElsewhereSince is since when, past the expiry of the lease on the leader key, the
	// store serves peers and not the leader; zero while it does not.
	servedElsewhereSince time.Time
}

// run queries and announces one after the other, from here alone. Without this, a peer that
// started only after an earlier attestation was sent could take it in after a later one.
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

// queryPeers asks all peers once and takes in what they answer. It returns false when the leader
// has resigned. lastOK is when the store last answered the leader.
func (o *storeOutage) queryPeers(ctx context.Context, lastOK time.Time) bool {
	interval := o.settings.HeartbeatInterval
	askedAt := time.Now()
	_, confirmedUntil := o.election.Term()
	attestation := o.attestor.requestRelaxation()
	span := o.contact.requiredSpan(askedAt, interval) // answers may take a moment, and so may this
	answers, all := o.peers.QueryStatus(ctx, peer.StatusRequest{Attestation: attestation, CancellationSpanMS: span.Milliseconds()})
	o.attestor.applyAcknowledgements(attestation, answers, all, askedAt)
	now := time.Now()
	own := o.cancellationLog.ConfirmedWithin(span, now)
	sinceExpiry := time.Since(confirmedUntil)
	cancellations := []cancellation.PeerAnswer{{Confirmed: &own, SinceLastConfirmation: o.cancellationLog.SinceLastConfirmation(now)}}
	for _, answer := range answers {
		cancellations = append(cancellations, cancellation.PeerAnswer{
			Confirmed:             answer.Cancellations,
			SinceLastConfirmation: time.Duration(answer.CancellationQuietMS) * time.Millisecond,
		})
	}
	reach := o.summarizeStoreAccess(answers, sinceExpiry, now.Sub(askedAt))
	if o.shouldResign(reach, askedAt, lastOK) {
		slog.Warn("leader resigned", "term", o.number, "node", o.cfg.Node, "reason", "the store serves other controllers and not this one")
		o.election.Resign()
		return false
	}
	cancelled, covered := o.contact.coveredBy(cancellations, now)
	if all && covered {
		o.cancelReported(cancelled)
		o.contact.record(askedAt)
	}
	if all && reach.noneCanLead && !reach.served {
		o.contact.setSoleLeaderUntil(askedAt.Add(interval))
	}
	return true
}

// peerStoreAccess is how the store serves the peers that have answered.
type peerStoreAccess struct {
	served           bool // it serves one of them now
	servedPastExpiry bool // it has answered one of them since the lease on the leader key expired
	noneCanLead      bool // it has answered none of them since, so that none can have been elected
}

// summarizeStoreAccess sums up answers that took a while to come in. sinceExpiry is for how long the lease
// on the leader key has not been certain; negative while it is.
func (o *storeOutage) summarizeStoreAccess(answers []peer.Status, sinceExpiry, took time.Duration) peerStoreAccess {
	reach := peerStoreAccess{noneCanLead: true}
	for _, answer := range answers {
		silent := time.Duration(answer.StoreSilentMS) * time.Millisecond
		if silent < o.settings.HeartbeatInterval/2 && !answer.StoreFailing {
			reach.served = true
		}
		if answer.StoreAnswered && silent < sinceExpiry-took {
			reach.servedPastExpiry = true
		}
		// A controller that the store has never answered since its start cannot lead either,
		// however short that is.
		if answer.StoreAnswered && silent-config.Drift(silent) < sinceExpiry {
			reach.noneCanLead = false
		}
	}
	return reach
}

// shouldResign reports whether the store serves peers and not the leader, for so long that the leader
// is to resign.
func (o *storeOutage) shouldResign(reach peerStoreAccess, askedAt, lastOK time.Time) bool {
	// Until the lease has expired nobody else can lead. Without the second condition, a leader
	// could resign moments before the store fails for all: there would be none until it is back.
	if !reach.served || !reach.servedPastExpiry {
		o.servedElsewhereSince = time.Time{}
		return false
	}
	if o.servedElsewhereSince.IsZero() {
		o.servedElsewhereSince = askedAt
	}
	// At the end of an outage that all shared, whoever asks first is served first. Only a request
	// of the leader's that has failed after that tells.
	return time.Since(lastOK) > o.settings.HeartbeatInterval &&
		o.store.FailedSince(o.servedElsewhereSince) &&
		askedAt.Sub(o.servedElsewhereSince) >= o.settings.HeartbeatInterval/2
}
