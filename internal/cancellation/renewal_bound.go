package cancellation

import (
	"time"

	"drumpick/internal/config"
)

// RenewalBound tracks until when a leader may renew workers' leases: a fixed span after its last
// contact with the store or with all peers. The leader knows every cancellation that any controller
// confirmed before the contact.
type RenewalBound struct {
	span    time.Duration // after the contact
	contact time.Time     // zero: none yet
}

// marginDivisor is the divisor of the span that gives its margin for messages in flight.
const marginDivisor = 10

// NewRenewalBound returns the bound of a leader that has had no contact yet. cancel is the time
// after the confirmation within which a cancelled job's tasks have to end. A worker's lease starts
// when it sends the heartbeat, so a lease renewed just before the bound expires at most one lease
// after it. The span is reduced by the clock drift and by a tenth for messages in flight.
func NewRenewalBound(cancel, lease time.Duration) RenewalBound {
	span := cancel - lease
	return RenewalBound{span: span - config.MaxDrift(span) - span/marginDivisor}
}

// RecordContact records that a request to the store or to all peers, sent at askedAt, was answered.
// The time of the request counts, because the response may reflect any state since then. An askedAt
// before the last contact has no effect.
func (b *RenewalBound) RecordContact(askedAt time.Time) {
	if askedAt.After(b.contact) {
		b.contact = askedAt
	}
}

// LastContact returns the time before which every confirmed cancellation is known; zero: none yet.
func (b *RenewalBound) LastContact() time.Time { return b.contact }

// MayRenew reports whether leases may be renewed now.
func (b *RenewalBound) MayRenew(now time.Time) bool { return now.Before(b.contact.Add(b.span)) }

// RequiredSpan returns how far back the peers' lists have to reach if the peers are queried now
// with a timeout.
func (b *RenewalBound) RequiredSpan(now time.Time, timeout time.Duration) time.Duration {
	span := now.Sub(b.contact) + timeout
	return span + 2*config.MaxDrift(span) + timeout
}

// PeerAnswer is what one controller answers about the cancellations that it has confirmed.
type PeerAnswer struct {
	Confirmed             *ConfirmedList // nil from a version that doesn't support lists
	SinceLastConfirmation time.Duration  // lower bound
}

// Covers reports whether the answers, one of every controller and all received by now, include
// every cancellation confirmed between the last contact and the query. It returns the listed job
// ids, or nil if not. The span of every answer has to include the contact, unless its controller has
// confirmed nothing since: no other controller knows what a restarted or unreachable one has
// confirmed.
func (b *RenewalBound) Covers(answers []PeerAnswer, now time.Time) (ids []string, ok bool) {
	sinceContact := now.Sub(b.contact)
	for _, answer := range answers {
		// A controller that has confirmed nothing since the contact needs no list: the list could
		// hold only earlier confirmations, as many as its log.
		if answer.SinceLastConfirmation-config.MaxDrift(answer.SinceLastConfirmation) >= sinceContact {
			continue
		}
		if answer.Confirmed == nil || answer.Confirmed.Check() != nil {
			return nil, false
		}
		span := time.Duration(answer.Confirmed.SpanMS) * time.Millisecond
		if span-config.MaxDrift(span) < sinceContact {
			return nil, false
		}
		ids = append(ids, answer.Confirmed.IDs...)
	}
	return ids, true
}
