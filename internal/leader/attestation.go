package leader

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/fleet"
	"drumpick/internal/peer"
	"drumpick/internal/records"
	"drumpick/internal/watermark"
)

// askWitnesses asks all controllers what earlier leaders said of the marks in the store,
// and says whether they are whole. It is asked after the term was won: from then on no
// witness takes in that an earlier leader goes loose.
func (l *Leader) askWitnesses(ctx context.Context) bool {
	if !l.set.Watermarks {
		return false
	}
	ask := watermark.Attestation{Term: l.term}
	words, last := []watermark.Attestation{l.witness.Observe(ask)}, l.witness.LatestReconciled()
	answers, _ := l.peers.QueryStatus(ctx, peer.StatusRequest{Attestation: ask})
	for _, a := range answers {
		if a.Attestation != nil {
			words = append(words, *a.Attestation)
		}
		if a.Reconciled != nil && a.Reconciled.NewerThan(last) {
			last = *a.Reconciled
		}
	}
	l.last = last
	best, ok := watermark.Latest(words)
	if ok {
		reigns, err := l.reigns(ctx, best.Revision)
		whole := err == nil && watermark.Trusted(best, reigns, l.term)
		slog.Info("marks of what was sent", "term", l.term, "witnessed", best.Term, "whole", whole, "err", err)
		return whole
	}
	row, err := l.store.Get(ctx, records.KeyWatermarksComplete)
	if err != nil || row == nil {
		slog.Info("no witness of what was sent", "term", l.term, "asked", len(answers), "err", err)
		return false
	}
	var rec watermark.StoredAttestation
	_ = json.Unmarshal(row.Value, &rec) // what is unreadable is of no term
	_, _, started := l.store.Health()
	bound := time.Duration(l.cfg.Deployment.TimeBoundMS * float64(time.Millisecond))
	whole := rec.StillHolds(l.cfg.Node, started, l.firm()-config.Drift(l.firm()), bound)
	if whole {
		reigns, err := l.reigns(ctx, row.Revision)
		whole = err == nil && len(reigns) == 1 && reigns[0].Term == l.term
	}
	slog.Info("marks of what was sent, on record", "term", l.term, "recorded", rec.Term, "node", rec.Node, "whole", whole)
	return whole
}

// firm is how long after a record that its marks are whole a leader does not go loose:
// that record serves a process of this node that starts within it. A controller has to be
// back sooner for that; in an outage of the store starts are held up for no longer.
func (l *Leader) firm() time.Duration { return max(l.set.HeartbeatInterval, l.set.Lease/4) }

// swears is how often, in a firm span, such a record is stored, along with other writes.
const swears = 3

// reigns lists who has taken the leader's key since a revision.
func (l *Leader) reigns(ctx context.Context, since uint64) ([]watermark.LeaderChange, error) {
	events, _, err := l.store.Watch(ctx, records.KeyLeader, since, 0)
	if err != nil {
		return nil, err
	}
	var reigns []watermark.LeaderChange
	for _, e := range events {
		if e.Write == records.KeyLeader {
			var rec records.Leader
			_ = json.Unmarshal(e.Value, &rec) // what is unreadable keeps no marks
			reigns = append(reigns, watermark.LeaderChange{Term: e.Revision, KeepsWatermarks: rec.Watermarks, Node: rec.Node})
		}
	}
	return reigns, nil
}

// marked plans what a machine that is being answered is to start, and waits a moment for
// marks that it lacks, with the lock held before and after. It says whether the machine's
// report is still the last we know, and whether the plan stands as nothing was waited for.
func (l *Leader) marked(m *fleet.Machine, now time.Time) (ok, stands bool) {
	l.core.PlanMachine(m, now)
	if _, failing, _ := l.store.Health(); failing || !l.core.AwaitsWatermark(m) {
		return true, true
	}
	return l.await(m, func() bool {
		lacks := l.core.AwaitsWatermark(m)
		if lacks {
			l.rec.RequestWatermark()
		}
		return !lacks
	}), false
}

// wholeRecord returns that record when it is due.
func (l *Leader) wholeRecord(now time.Time) *watermark.StoredAttestation {
	l.contactMu.Lock()
	defer l.contactMu.Unlock()
	if !l.word.Complete || now.Sub(l.swore) < l.firm()/swears {
		return nil
	}
	l.swore = now // whether it is answered or not: it may be stored late
	return &watermark.StoredAttestation{Term: l.term, Node: l.cfg.Node, AtMS: now.UnixMilli()}
}

// led notes a revision at which the term held its key.
func (l *Leader) led(stamp uint64) {
	l.contactMu.Lock()
	l.word.Revision = max(l.word.Revision, stamp)
	l.contactMu.Unlock()
}

// announce tells the others how the marks stand, now and then, since one of them may have
// started meanwhile. Marks are whole again after an outage when the store has all.
func (l *Leader) announce(ctx context.Context) {
	if !l.set.Watermarks {
		return
	}
	// In this order: once they are no longer loose, whatever was sent while they were is
	// in what is looked at next.
	stored := !l.isLoose(time.Now())
	l.mu.Lock()
	stored = stored && l.core.WatermarksStored()
	settled := l.core.Reconciled()
	l.mu.Unlock()
	l.contactMu.Lock()
	changed := stored && !l.word.Complete || settled && !l.word.Reconciled
	if stored && !l.word.Complete {
		l.word.Complete, l.word.Seq = true, l.word.Seq+1
	}
	l.word.Reconciled = settled
	word := l.word
	l.contactMu.Unlock()
	if word.Seq > 0 && (changed || time.Since(l.spoke) >= l.set.HeartbeatInterval) {
		l.spoke = time.Now()
		l.witness.Observe(word)
		l.peers.QueryStatus(ctx, peer.StatusRequest{Attestation: word})
	}
}

// loosen is the word with which a leader asks to send tasks beyond marks that it cannot
// have stored.
func (l *Leader) loosen() watermark.Attestation {
	if !l.set.Watermarks {
		return watermark.Attestation{}
	}
	l.contactMu.Lock()
	defer l.contactMu.Unlock()
	if l.word.Complete || l.word.Seq == 0 {
		l.word.Complete, l.word.Seq = false, l.word.Seq+1
	}
	l.witness.Observe(l.word)
	return l.word
}

// loosened takes in who has heard that word. Only when all have, no witness is left that
// would tell a next leader otherwise.
func (l *Leader) loosened(word watermark.Attestation, answers []peer.Status, all bool, asked time.Time) {
	took := time.Since(asked)
	for _, a := range answers {
		// Guards against one that was barred by a new leader and has restarted since we
		// asked: the store has been silent to it, by its word, only since then.
		since := time.Duration(a.StoreSilentMS) * time.Millisecond
		all = all && a.Attestation != nil && word.ObservedBy(*a.Attestation) && since > took
	}
	if !all || word.Term == 0 {
		return
	}
	l.contactMu.Lock()
	defer l.contactMu.Unlock()
	// Nor does what the store may have say otherwise.
	if l.word.Seq == word.Seq && !l.word.Complete && asked.Sub(l.swore) > l.firm() {
		if l.loose.IsZero() {
			slog.Info("marks are loose: the store does not answer, and all others know", "term", l.term, "heard", fmt.Sprint(len(answers)))
		}
		l.loose = asked.Add(l.set.HeartbeatInterval)
	}
}

// isLoose says whether tasks beyond marks may be sent now.
func (l *Leader) isLoose(now time.Time) bool {
	l.contactMu.Lock()
	defer l.contactMu.Unlock()
	return now.Before(l.loose)
}
