package lead

import (
	"context"
	"log/slog"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/frontier"
	"drumpick/internal/link"
)

// learnHolders finds out, at the takeover, who may have renewed leases that this term has
// not, from the last word of a settled term.
func (l *Leader) learnHolders(ctx context.Context, last frontier.Word) {
	l.holders = nil
	if !last.Settled || !l.cfg.Options.Lapses {
		return
	}
	reigns, err := l.reigns(ctx, last.Epoch)
	if err != nil {
		slog.Debug("who held the key is not known", "term", l.term, "since", last.Epoch, "err", err)
		return
	}
	if nodes, ok := frontier.Holders(last, reigns, l.term); ok {
		l.holders = nodes
	}
}

// lapse waits, as long as machines are unheard of since the takeover, for the leases that
// earlier terms gave to have ended: then what these machines had is gone.
func (l *Leader) lapse(ctx context.Context) {
	if len(l.holders) == 0 {
		return
	}
	// Two clocks are in it: the worker's, for its lease, and the holder's, for how long it
	// has answered nobody.
	lease := l.set.Lease + config.Drift(l.set.Lease)
	for link.Sleep(ctx, l.set.Report/4) == nil {
		l.mu.Lock()
		settled := l.core.Settled()
		l.mu.Unlock()
		if settled {
			return
		}
		// What this process answered in an earlier term of its own, it did before this one.
		since := map[string]time.Duration{l.cfg.Node: time.Since(l.began)}
		if time.Since(l.began) < lease/2 {
			continue // the last leader cannot have been silent for so long
		}
		answers, _ := l.peers.Tell(ctx, frontier.Word{})
		for _, a := range answers {
			if a.RenewedMS != nil {
				since[a.Node] = time.Duration(*a.RenewedMS) * time.Millisecond
			}
		}
		if !frontier.Lapsed(l.holders, since, lease) {
			continue
		}
		l.mu.Lock()
		n := l.core.Lapse(time.Now())
		l.mu.Unlock()
		slog.Info("leases that earlier terms gave have ended", "term", l.term, "machines", n, "holders", l.holders)
		l.poke()
		return
	}
}
