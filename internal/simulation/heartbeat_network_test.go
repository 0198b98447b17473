package simulation

import (
	"context"
	"encoding/json"
	"time"

	"drumpick/internal/fleet"
)

// Delivery of workers' heartbeats to controllers.

// setUnreachable sets whether all workers are cut off from a node.
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

// isUnreachableFromZone reports whether workers of a zone cannot reach a node.
func (c *cluster) isUnreachableFromZone(i int, zone string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	only, ok := c.onlyNodeForZone[zone]
	return ok && only != i
}

// delayOf returns the delay of messages to a node, in addition to the network latency.
func (c *cluster) delayOf(i int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delays[i]
}

// heartbeat delivers a worker's heartbeat to a node and returns the status, the response and the
// leader it names. Status 0 means no response.
func (c *cluster) heartbeat(i int, r *fleet.Heartbeat) (int, fleet.HeartbeatResponse, string) {
	time.Sleep(networkLatency + c.delayOf(i))
	n := c.node(i)
	if n == nil {
		return StatusRefused, fleet.HeartbeatResponse{}, ""
	}
	if c.isUnreachable(i) || c.isUnreachableFromZone(i, r.Zone) {
		return 0, fleet.HeartbeatResponse{}, ""
	}
	c.mu.Lock()
	c.heartbeatCounts[i]++
	copyDelays := c.copyDelays
	c.mu.Unlock()
	c.keepHeartbeat(r)
	for k, d := range copyDelays {
		runAfter(d, func() {
			if to := c.node((i + k) % len(c.nodes)); to != nil {
				copied, _ := json.Marshal(r)
				to.server.HandleHeartbeat(copied)
			}
		})
	}
	body, _ := json.Marshal(r)
	out := n.server.HandleHeartbeat(body)
	var resp struct {
		fleet.HeartbeatResponse
		Leader string `json:"conductor"`
	}
	_ = json.Unmarshal(out.Body, &resp)
	time.Sleep(networkLatency) // of the response
	return out.Status, resp.HeartbeatResponse, resp.Leader
}

// copyHeartbeats sets the delays after which copies of every heartbeat from now on are delivered in
// addition. The copy of the first delay goes to the node that received the heartbeat, that of each
// further delay to the next node. A copy to a node that is down then is dropped.
func (c *cluster) copyHeartbeats(after ...time.Duration) {
	c.mu.Lock()
	c.copyDelays = after
	c.mu.Unlock()
}

// keepHeartbeat keeps a copy of a heartbeat for replayKeptHeartbeats if shouldKeepCopy selects it.
func (c *cluster) keepHeartbeat(r *fleet.Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shouldKeepCopy != nil && c.shouldKeepCopy() {
		raw, _ := json.Marshal(r)
		c.keptHeartbeats = append(c.keptHeartbeats, raw)
	}
}

// replayKeptHeartbeats delivers the heartbeat copies kept so far, once each, to every running controller as a
// term begins, and discards them. It stops early if the term, and with it ctx, ends.
func (c *cluster) replayKeptHeartbeats(ctx context.Context) {
	c.mu.Lock()
	kept := c.keptHeartbeats
	c.keptHeartbeats = nil
	c.mu.Unlock()
	for _, raw := range kept {
		for i := range c.nodes {
			if n := c.node(i); n != nil && ctx.Err() == nil {
				go n.server.HandleHeartbeat(raw)
			}
		}
	}
}
