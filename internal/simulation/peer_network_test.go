package simulation

import (
	"context"
	"errors"
	"time"

	"drumpick/internal/peer"
)

// peerNetwork is a controller's way to the others.
type peerNetwork struct {
	cluster *cluster
	self    int
}

// setIsolated cuts a node off from the others, or connects it again.
func (c *cluster) setIsolated(i int, on bool) {
	c.mu.Lock()
	c.isolated[i] = on
	c.mu.Unlock()
}

// arePartitioned reports whether two nodes cannot reach each other.
func (c *cluster) arePartitioned(i, k int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isolated[i] || c.isolated[k]
}

// isOlderVersion reports whether a node runs an older version.
func (c *cluster) isOlderVersion(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.olderVersion[i]
}

func (f *peerNetwork) Status(ctx context.Context) ([]peer.Status, bool) {
	return f.QueryStatus(ctx, peer.StatusRequest{})
}

func (f *peerNetwork) QueryStatus(_ context.Context, ask peer.StatusRequest) ([]peer.Status, bool) {
	time.Sleep(networkLatency)
	var out []peer.Status
	for i := range f.cluster.nodes {
		n := f.cluster.node(i)
		if i == f.self || n == nil || f.cluster.arePartitioned(f.self, i) {
			continue
		}
		if f.cluster.isOlderVersion(i) {
			// It knows no attestations.
			out = append(out, peer.StatusOf(n.name, n.client, n.server.Cancellations(), peer.StatusRequest{}))
			continue
		}
		s := peer.StatusOf(n.name, n.client, n.server.Cancellations(), ask)
		s = s.WithAttestations(&n.observer, ask.Attestation, n.server.SinceWorkerRenewal())
		out = append(out, s)
	}
	return out, len(out) == len(f.cluster.nodes)-1
}

// hangIfPartitioned reports whether a call to a node gets no answer, after it has hung for a while.
func (f *peerNetwork) hangIfPartitioned(i int) bool {
	if !f.cluster.arePartitioned(f.self, i) {
		return false
	}
	time.Sleep(time.Second / 2)
	return true
}

func (f *peerNetwork) RelayHeartbeat(node string, body []byte) (peer.RelayReply, error) {
	for i := range f.cluster.nodes {
		if n := f.cluster.node(i); n != nil && n.name == node && !f.hangIfPartitioned(i) {
			return n.server.HandleRelayedHeartbeat(peer.HeartbeatRequest{Body: body}), nil
		}
	}
	return peer.RelayReply{}, errors.New("no answer")
}

func (f *peerNetwork) RelayHeartbeats(node string, in peer.HeartbeatBatch, _ time.Duration) (peer.HeartbeatBatchReply, error) {
	time.Sleep(networkLatency)
	for i := range f.cluster.nodes {
		if n := f.cluster.node(i); n != nil && n.name == node && !f.cluster.isOlderVersion(i) && !f.cluster.arePartitioned(f.self, i) {
			time.Sleep(f.cluster.delayOf(i))
			return n.server.HandleHeartbeatBatch(in), nil
		}
	}
	return peer.HeartbeatBatchReply{}, errors.New("no answer")
}

func (f *peerNetwork) Progress(node, id string) (peer.Progress, error) {
	for i := range f.cluster.nodes {
		if n := f.cluster.node(i); n != nil && n.name == node && !f.hangIfPartitioned(i) {
			f.cluster.mu.Lock()
			l := n.leader
			f.cluster.mu.Unlock()
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
	return peer.Progress{}, errors.New("no answer")
}

func (f *peerNetwork) NotifyCancelled(node, id string) (bool, error) {
	time.Sleep(networkLatency)
	for i := range f.cluster.nodes {
		if n := f.cluster.node(i); n != nil && n.name == node && !f.hangIfPartitioned(i) {
			time.Sleep(f.cluster.delayOf(i))
			return n.server.HandleCancellation(id), nil
		}
	}
	return false, errors.New("no answer")
}

func (f *peerNetwork) Relay(r peer.RelayRequest, _ time.Duration) (peer.RelayReply, bool) {
	for i := range f.cluster.nodes {
		if n := f.cluster.node(i); n != nil && i != f.self && !f.hangIfPartitioned(i) {
			if out := n.server.HandleRelayedRequest(r); out.Final(r) {
				return out, true
			}
		}
	}
	return peer.RelayReply{}, false
}
