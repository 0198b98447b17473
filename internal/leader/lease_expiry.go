package leader

import (
	"context"
	"log/slog"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/httpclient"
	"drumpick/internal/peer"
	"drumpick/internal/watermark"
)

// whoHeld lists who may have renewed leases that this term has not; none: it is not known.
func (l *Leader) whoHeld(ctx context.Context) []string {
	if !l.last.Reconciled || !l.cfg.Options.LeaseExpiryProofs {
		return nil
	}
	reigns, err := l.reigns(ctx, l.last.Revision)
	if err != nil {
		slog.Debug("who held the key is not known", "term", l.term, "since", l.last.Revision, "err", err)
		return nil
	}
	nodes, _ := watermark.PossibleRenewers(l.last, reigns, l.term)
	return nodes
}

// lapse waits, as long as machines are unheard of since the takeover, for the leases that
// earlier terms gave to have ended: then what these machines had is gone. It asks the store
// only once the takeover is done, which does not wait for it.
func (l *Leader) lapse(ctx context.Context) {
	holders := l.whoHeld(ctx)
	if len(holders) == 0 {
		return
	}
	// Two clocks are in it: the worker's, for its lease, and the holder's, for how long it
	// has answered nobody.
	lease := l.set.Lease + config.Drift(l.set.Lease)
	for httpclient.Sleep(ctx, l.set.HeartbeatInterval/4) == nil {
		l.mu.Lock()
		settled := l.core.Reconciled()
		l.mu.Unlock()
		if settled {
			return
		}
		if time.Since(l.began) < lease/2 {
			continue // the last leader cannot have been silent for so long
		}
		// What this process answered in an earlier term of its own, it did before this one.
		since := map[string]time.Duration{l.cfg.Node: time.Since(l.began)}
		answers, _ := l.peers.QueryStatus(ctx, peer.StatusRequest{})
		for _, a := range answers {
			if a.SinceRenewalMS != nil {
				since[a.Node] = time.Duration(*a.SinceRenewalMS) * time.Millisecond
			}
		}
		if !watermark.LeasesExpired(holders, since, lease) {
			continue
		}
		l.mu.Lock()
		n := l.core.ExpireEarlierLeases(time.Now())
		l.mu.Unlock()
		slog.Info("leases that earlier terms gave have ended", "term", l.term, "machines", n, "holders", holders)
		l.poke()
		return
	}
}
