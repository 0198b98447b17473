package leader

import (
	"context"
	"log/slog"
	"time"

	"drumpick/internal/cancellation"
	"drumpick/internal/config"
	"drumpick/internal/httpclient"
	"drumpick/internal/peer"

	"github.com/VictoriaMetrics/metrics"
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
	l.contactMu.Lock()
	defer l.contactMu.Unlock()
	return l.bound.MayRenew(now)
}

func (l *Leader) touched(at time.Time) {
	l.contactMu.Lock()
	l.bound.NoteContact(at)
	l.contactMu.Unlock()
}

func (l *Leader) lastContact() time.Time {
	l.contactMu.Lock()
	defer l.contactMu.Unlock()
	return l.bound.LastContact()
}

// ended are jobs of which others have told us that they are cancelled, before our watch of the store
// did or while the store does not answer us, until its log has come past that. The leader's lock
// guards it.
type ended struct {
	ids map[string]time.Time // with when what was sent of it before has reached its worker
	at  time.Time            // when that was last heard
}

func (e *ended) has(id string) bool {
	_, ok := e.ids[id]
	return ok
}

// seen notes that all that the store had when it was asked has been taken in.
func (e *ended) seen(asked time.Time) {
	if asked.After(e.at) {
		e.ids = nil
	}
}

// cancelled ends jobs on the others' word. It is done before any lease is renewed on that
// word: a report that is answered from then on is answered with the kills.
func (l *Leader) cancelled(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, id := range ids {
		if !l.ended.has(id) {
			n++
		}
		l.end(id)
	}
	if n > 0 {
		byWord.Add(n)
		slog.Info("jobs cancelled by the word of other controllers, as the store does not answer", "jobs", n, "term", l.term)
	}
}

// end ends a job that is cancelled, with the lock held, and says when what was sent of it before
// has reached its worker.
func (l *Leader) end(id string) (arrived time.Time) {
	l.ended.at = time.Now()
	arrived, known := l.ended.ids[id]
	if known {
		return arrived
	}
	if l.ended.ids == nil {
		l.ended.ids = map[string]time.Time{}
	}
	if sent := l.core.LastDispatched(id); !sent.IsZero() {
		arrived = sent.Add(l.set.HeartbeatInterval / inFlightShare)
	}
	l.ended.ids[id] = arrived
	l.core.CloseJob(id) // its over record will tell those behind it
	return arrived
}

// NotifyCancelled ends a job that the store has as cancelled, before its user is told so, and says whether
// none of its tasks is sent from then on. Guards against starts after a confirmed cancellation:
// the watch tells later where the store is slow or out of reach of us alone. What is on its way to
// a worker by then is given a moment to arrive.
func (l *Leader) NotifyCancelled(ctx context.Context, id string) bool {
	select {
	case <-l.loaded:
	case <-ctx.Done():
		return false
	}
	if l.over.Load() {
		return false
	}
	l.mu.Lock()
	arrived := l.end(id)
	l.mu.Unlock()
	return httpclient.Sleep(ctx, time.Until(arrived)) == nil
}

// inFlightShare is the part of a report interval, one in so many, in which an answer to a report mostly
// reaches its worker, through another controller too.
const inFlightShare = 16

var byWord = metrics.NewCounter("drumpick_jobs_cancelled_by_word_total")

// confirm asks the others while the store does not answer us. What they told users of
// cancellations since our last contact they tell us as well; where all have, leases may be
// renewed for longer, those of the cancelled jobs' machines too, as their tasks are killed. A
// controller that has restarted answers only for the time since, so a gap ends it. If one is
// served while we are not, we are the odd one out and step down as our grant ends.
func (l *Leader) confirm(ctx context.Context) {
	odd := time.Time{} // since when others are served, past the end of our grant, and we are not
	// Words are told one after the other, from here alone. Guards against an earlier word
	// that reaches a controller which started only after it had been asked to hear a later.
	for l.announce(ctx); httpclient.Sleep(ctx, l.set.HeartbeatInterval/4) == nil; {
		lastOK, failing, _ := l.store.Health()
		if !failing || time.Since(lastOK) < l.set.HeartbeatInterval/2 {
			l.announce(ctx)
			continue
		}
		asked := time.Now()
		_, until := l.tenure.Term()
		word := l.loosen()
		l.contactMu.Lock()
		back := l.bound.InquirySpan(asked, l.set.HeartbeatInterval) // answers may take a moment, and so may we
		l.contactMu.Unlock()
		answers, all := l.peers.QueryStatus(ctx, peer.StatusRequest{Attestation: word, CancellationSpanMS: back.Milliseconds()})
		l.loosened(word, answers, all, asked)
		now := time.Now()
		own := l.told.Confirmed(back, now)
		words := []cancellation.PeerAnswer{{Confirmed: &own, QuietFor: l.told.QuietFor(now)}}
		ended := time.Since(until)
		served, past, vouched := false, false, all
		for _, a := range answers {
			since := time.Duration(a.StoreSilentMS) * time.Millisecond
			served = served || since < l.set.HeartbeatInterval/2 && !a.StoreFailing
			past = past || a.StoreAnswered && since < ended-now.Sub(asked)
			words = append(words, cancellation.PeerAnswer{Confirmed: a.Cancellations, QuietFor: time.Duration(a.CancellationQuietMS) * time.Millisecond})
			// A controller that the store has never answered since its start
			// cannot lead either, however short that is.
			vouched = vouched && (!a.StoreAnswered || since-config.Drift(since) >= ended)
		}
		// Until the grant is over nobody else can lead. Guards against a leader that steps down
		// moments before the store is down for all: there would be none until it is back.
		if !served || !past {
			odd = time.Time{}
		} else if odd.IsZero() {
			odd = asked
		}
		// Guards against the end of an outage that all shared: whoever asks first is
		// served first. Only a request of ours that failed after that tells.
		if served && past && time.Since(lastOK) > l.set.HeartbeatInterval && l.store.FailedSince(odd) && asked.Sub(odd) >= l.set.HeartbeatInterval/2 {
			slog.Info("refused by the store alone: stepping down", "term", l.term)
			l.tenure.Resign()
			return
		}
		l.contactMu.Lock()
		ids, covered := l.bound.Covers(words, now)
		l.contactMu.Unlock()
		if all && covered {
			l.cancelled(ids)
			l.touched(asked)
		}
		if vouched && !served {
			l.contactMu.Lock()
			l.vouched = asked.Add(l.set.HeartbeatInterval)
			l.contactMu.Unlock()
		}
	}
}
