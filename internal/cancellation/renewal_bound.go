package cancellation

import (
	"time"

	"drumpick/internal/config"
)

// RenewalBound is until when a leader may renew leases. It lies some time after the last
// contact: a moment before which every cancellation that was confirmed to anybody is known to
// the leader.
type RenewalBound struct {
	span    time.Duration // from the contact on
	contact time.Time
}

// marginDivisor is the margin of the bound's span for what is under way, as one part in so many.
const marginDivisor = 10

// NewRenewalBound returns the bound of a leader that has had no contact yet. A worker's lease
// counts from when it sent the heartbeat that was answered, so what is answered at the very
// bound has expired a lease later; clocks drift apart, and a tenth is a margin for what is
// under way.
func NewRenewalBound(cancel, lease time.Duration) RenewalBound {
	span := cancel - lease
	return RenewalBound{span: span - config.Drift(span) - span/marginDivisor}
}

// RecordContact notes that the store was read: the answer was made after it was asked for.
func (b *RenewalBound) RecordContact(asked time.Time) {
	if asked.After(b.contact) {
		b.contact = asked
	}
}

// LastContact returns the moment before which every confirmed cancellation is known.
func (b *RenewalBound) LastContact() time.Time { return b.contact }

// MayRenew reports whether leases may be renewed now.
func (b *RenewalBound) MayRenew(now time.Time) bool { return now.Before(b.contact.Add(b.span)) }

// RequiredSpan returns how far back the lists of others have to reach that are asked now and
// given so long to answer.
func (b *RenewalBound) RequiredSpan(now time.Time, timeout time.Duration) time.Duration {
	span := now.Sub(b.contact) + timeout
	return span + 2*config.Drift(span) + timeout
}

// PeerAnswer is what one controller answered.
type PeerAnswer struct {
	Confirmed             *ConfirmedList // nil from a version that lists no ids
	SinceLastConfirmation time.Duration  // for how long it has confirmed nothing
}

// Covers reports whether answers, asked for and all received by now, leave nothing out that
// was confirmed between the contact and when they were asked for, and lists what that was.
// Each has to reach back to the contact by itself: what a controller confirmed that has
// restarted since, or that is not reached, nobody else knows.
func (b *RenewalBound) Covers(answers []PeerAnswer, now time.Time) (ids []string, ok bool) {
	sinceContact := now.Sub(b.contact)
	for _, answer := range answers {
		// A quiet controller's list could be as long as its log; that it was quiet is enough.
		if answer.SinceLastConfirmation-config.Drift(answer.SinceLastConfirmation) >= sinceContact {
			continue
		}
		if answer.Confirmed == nil || answer.Confirmed.Check() != nil {
			return nil, false
		}
		span := time.Duration(answer.Confirmed.SpanMS) * time.Millisecond
		if span-config.Drift(span) < sinceContact {
			return nil, false
		}
		ids = append(ids, answer.Confirmed.IDs...)
	}
	return ids, true
}
