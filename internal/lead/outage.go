package lead

import (
	"context"
	"log/slog"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/link"
)

// mayStart says whether tasks may be started at this moment: the grant is surely
// ours, or, in an outage that all controllers share, every other one has vouched
// a moment ago that the store has not answered it since our grant was sure. The
// key cannot have changed hands before that, and to lead afterwards takes an
// answer of the store. Machines are given back and rented under the grant alone.
func (l *Leader) mayStart() bool {
	if l.granted() {
		return true
	}
	term, _ := l.tenure.Term()
	l.contactMu.Lock()
	defer l.contactMu.Unlock()
	return term == l.term && time.Now().Before(l.vouched)
}

// supports says whether reports may still be answered with 200. A leader out
// of touch with the store may miss cancellations: it stops renewing leases
// early enough for them to lapse in time.
func (l *Leader) supports(now time.Time) bool {
	w := l.cfg.Facts.Workers
	span := config.Seconds(w.CancelS) - l.set.Lease
	span -= config.Drift(span) + span/10
	l.contactMu.Lock()
	defer l.contactMu.Unlock()
	return now.Before(l.contact.Add(span))
}

func (l *Leader) touched(at time.Time) {
	l.contactMu.Lock()
	if at.After(l.contact) {
		l.contact = at
	}
	l.contactMu.Unlock()
}

func (l *Leader) lastContact() time.Time {
	l.contactMu.Lock()
	defer l.contactMu.Unlock()
	return l.contact
}

// confirm asks the others while the store does not answer us. If no controller
// has told a user of a cancellation since our last contact, we can have missed
// none, and leases may be renewed for longer. A controller that has restarted
// answers only for the time since, so a gap ends it. If one is served while we
// are not, we are the odd one out and step down.
func (l *Leader) confirm(ctx context.Context) {
	odd := time.Time{} // since when others are served and we are not
	// Words are told one after the other, from here alone. Guards against an earlier word
	// that reaches a controller which started only after it had been asked to hear a later.
	for l.announce(ctx); link.Sleep(ctx, l.set.Report/4) == nil; {
		lastOK, failing, _ := l.store.Health()
		if !failing || time.Since(lastOK) < l.set.Report/2 {
			l.announce(ctx)
			continue
		}
		asked := time.Now()
		_, until := l.tenure.Term()
		word := l.loosen()
		answers, all := l.peers.Tell(ctx, word)
		l.loosened(word, answers, all, asked)
		silent, ended := time.Since(l.lastContact()), time.Since(until)
		served, confirmed, vouched := false, all && l.quiet() >= silent, all
		for _, a := range answers {
			since := time.Duration(a.StoreSilentMS) * time.Millisecond
			served = served || since < l.set.Report/2 && !a.Failing
			quiet := time.Duration(a.QuietMS) * time.Millisecond
			confirmed = confirmed && quiet-config.Drift(quiet) >= silent
			// A controller that the store has never answered since its start
			// cannot lead either, however short that is.
			vouched = vouched && (!a.Answered || since-config.Drift(since) >= ended)
		}
		if !served {
			odd = time.Time{}
		} else if odd.IsZero() {
			odd = asked
		}
		// Guards against the end of an outage that all shared: whoever asks first is
		// served first. Only a request of ours that failed after that tells.
		if served && time.Since(lastOK) > l.set.Report && l.store.FailedSince(odd) && asked.Sub(odd) >= l.set.Report/2 {
			slog.Info("refused by the store alone: stepping down", "term", l.term)
			l.tenure.Resign()
			return
		}
		if confirmed {
			l.touched(asked)
		}
		if vouched && !served {
			l.contactMu.Lock()
			l.vouched = asked.Add(l.set.Report)
			l.contactMu.Unlock()
		}
	}
}
