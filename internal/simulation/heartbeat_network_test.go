package simulation

import (
	"context"
	"encoding/json"
	"time"

	"drumpick/internal/fleet"
)

// How workers' heartbeats reach controllers.

// setUnreachable keeps all workers from a node, or lets them reach it again.
func (c *cluster) setUnreachable(i int, on bool) {
	c.mu.Lock()
	c.unreachable[i] = on
	c.mu.Unlock()
}

// isUnreachable reports whether workers cannot reach a node.
func (c *cluster) isUnreachable(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreachable[i]
}

// isHiddenFrom reports whether workers of a zone cannot reach a node.
func (c *cluster) isHiddenFrom(i int, zone string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	only, ok := c.onlyNodeForZone[zone]
	return ok && only != i
}

// delayOf returns by how much later a node gets what others send to it.
func (c *cluster) delayOf(i int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delays[i]
}

// heartbeat delivers a worker's heartbeat to a node.
func (c *cluster) heartbeat(i int, r *fleet.Heartbeat) (int, fleet.HeartbeatResponse, string) {
	time.Sleep(networkLatency + c.delayOf(i))
	n := c.node(i)
	if n == nil {
		return StatusRefused, fleet.HeartbeatResponse{}, ""
	}
	if c.isUnreachable(i) || c.isHiddenFrom(i, r.Zone) {
		return 0, fleet.HeartbeatResponse{}, ""
	}
	c.mu.Lock()
	c.heartbeatCounts[i]++
	copyDelays := c.copyDelays
	c.mu.Unlock()
	c.keepHeartbeat(r)
	for n, d := range copyDelays {
		runAfter(d, func() {
			if to := c.node((i + n) % len(c.nodes)); to != nil {
				copied, _ := json.Marshal(r)
				to.server.HandleHeartbeat(copied)
			}
		})
	}
	body, _ := json.Marshal(r)
	out := n.server.HandleHeartbeat(body)
	var answer struct {
		fleet.HeartbeatResponse
		Leader string `json:"conductor"`
	}
	_ = json.Unmarshal(out.Body, &answer)
	time.Sleep(networkLatency) // on its way
	return out.Status, answer.HeartbeatResponse, answer.Leader
}

// copyHeartbeats has a copy of every heartbeat come to another node after each of these times.
func (c *cluster) copyHeartbeats(after ...time.Duration) {
	c.mu.Lock()
	c.copyDelays = after
	c.mu.Unlock()
}

// keepHeartbeat keeps a copy of a heartbeat for the next leader.
func (c *cluster) keepHeartbeat(r *fleet.Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shouldKeepCopy != nil && c.shouldKeepCopy() {
		raw, _ := json.Marshal(r)
		c.keptCopies = append(c.keptCopies, raw)
	}
}

// replayKept brings the copies that were kept to every controller just as a new leader begins.
func (c *cluster) replayKept(ctx context.Context) {
	c.mu.Lock()
	kept := c.keptCopies
	c.keptCopies = nil
	c.mu.Unlock()
	for _, raw := range kept {
		for i := range c.nodes {
			if n := c.node(i); n != nil && ctx.Err() == nil {
				go n.server.HandleHeartbeat(raw)
			}
		}
	}
}
