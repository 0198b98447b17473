package simulation

import (
	"context"
	"errors"
	"time"

	"drumpick/internal/peer"
)

// peerNetwork is a controller's connection to its peers.
type peerNetwork struct {
	cluster *cluster
	self    int // index of the controller
}

// setIsolated sets whether a controller is partitioned from all others.
func (c *cluster) setIsolated(i int, on bool) {
	c.mu.Lock()
	c.isolated[i] = on
	c.mu.Unlock()
}

// arePartitioned reports whether two controllers cannot reach each other.
func (c *cluster) arePartitioned(i, k int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isolated[i] || c.isolated[k]
}

// runsOlderVersion reports whether a controller runs a version without watermarks and heartbeat relay.
func (c *cluster) runsOlderVersion(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.olderVersion[i]
}

func (p *peerNetwork) Status(ctx context.Context) ([]peer.Status, bool) {
	return p.QueryStatus(ctx, peer.StatusRequest{})
}

func (p *peerNetwork) QueryStatus(_ context.Context, request peer.StatusRequest) ([]peer.Status, bool) {
	time.Sleep(networkLatency)
	var out []peer.Status
	for i := range p.cluster.controllers {
		n := p.cluster.controller(i)
		if i == p.self || n == nil || p.cluster.arePartitioned(p.self, i) {
			continue
		}
		if p.cluster.runsOlderVersion(i) {
			// The older version does not support attestations.
			out = append(out, peer.StatusOf(n.name, n.client, n.server.Cancellations(), peer.StatusRequest{}))
			continue
		}
		s := peer.StatusOf(n.name, n.client, n.server.Cancellations(), request)
		s = s.WithAttestations(&n.observer, request.Attestation, n.server.SinceWorkerRenewal())
		out = append(out, s)
	}
	return out, len(out) == len(p.cluster.controllers)-1
}

// hangIfPartitioned reports whether a controller is partitioned from this one. If it is, the function returns only after
// half a second, because a call to the controller hangs.
func (p *peerNetwork) hangIfPartitioned(i int) bool {
	if !p.cluster.arePartitioned(p.self, i) {
		return false
	}
	time.Sleep(time.Second / 2)
	return true
}

func (p *peerNetwork) RelayHeartbeat(controller string, body []byte) (peer.RelayReply, error) {
	for i := range p.cluster.controllers {
		if n := p.cluster.controller(i); n != nil && n.name == controller && !p.hangIfPartitioned(i) {
			return n.server.HandleRelayedHeartbeat(peer.HeartbeatRequest{Body: body}), nil
		}
	}
	return peer.RelayReply{}, errors.New("no response from the peer")
}

func (p *peerNetwork) RelayHeartbeats(controller string, in peer.HeartbeatBatch, _ time.Duration) (peer.HeartbeatBatchReply, error) {
	time.Sleep(networkLatency)
	for i := range p.cluster.controllers {
		if n := p.cluster.controller(i); n != nil && n.name == controller && !p.cluster.runsOlderVersion(i) && !p.cluster.arePartitioned(p.self, i) {
			time.Sleep(p.cluster.delayOf(i))
			return n.server.HandleHeartbeatBatch(in), nil
		}
	}
	return peer.HeartbeatBatchReply{}, errors.New("no response from the peer")
}

func (p *peerNetwork) Progress(controller, id string) (peer.Progress, error) {
	for i := range p.cluster.controllers {
		if n := p.cluster.controller(i); n != nil && n.name == controller && !p.hangIfPartitioned(i) {
			p.cluster.mu.Lock()
			l := n.leader
			p.cluster.mu.Unlock()
			if l == nil {
				break
			}
			status, done, running, ok := l.Progress(id)
			age, isClear := l.DependenciesClear(id)
			return peer.Progress{
				Known: ok, Status: status, Done: done, Running: running,
				DependenciesClear: isClear, ClearAgeMS: age.Milliseconds(),
			}, nil
		}
	}
	return peer.Progress{}, errors.New("no response from the peer")
}

func (p *peerNetwork) NotifyCancelled(controller, id string) (bool, error) {
	time.Sleep(networkLatency)
	for i := range p.cluster.controllers {
		if n := p.cluster.controller(i); n != nil && n.name == controller && !p.hangIfPartitioned(i) {
			time.Sleep(p.cluster.delayOf(i))
			return n.server.HandleCancellation(id), nil
		}
	}
	return false, errors.New("no response from the peer")
}

func (p *peerNetwork) Relay(r peer.RelayRequest, _ time.Duration) (peer.RelayReply, bool) {
	for i := range p.cluster.controllers {
		if n := p.cluster.controller(i); n != nil && i != p.self && !p.hangIfPartitioned(i) {
			if out := n.server.HandleRelayedRequest(r); out.Final(r) {
				return out, true
			}
		}
	}
	return peer.RelayReply{}, false
}
