package simulation

import (
	"context"
	"encoding/json"
	"time"

	"drumpick/internal/fleet"
)

// Delivery of workers' heartbeats to controllers.

// setUnreachable sets whether all workers are cut off from a controller.
func (c *cluster) setUnreachable(i int, on bool) {
	c.mu.Lock()
	c.unreachable[i] = on
	c.mu.Unlock()
}

// isUnreachable reports whether no worker can reach a controller.
func (c *cluster) isUnreachable(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreachable[i]
}

// isUnreachableFromZone reports whether another controller is the only one that the workers of a zone can reach.
func (c *cluster) isUnreachableFromZone(i int, zone string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	only, ok := c.onlyControllerForZone[zone]
	return ok && only != i
}

// delayOf returns the delay of messages to a controller, in addition to the network latency.
func (c *cluster) delayOf(i int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delays[i]
}

// heartbeat is the environment's HeartbeatFunc. It also counts the heartbeat and delivers or keeps copies of it.
func (c *cluster) heartbeat(i int, r *fleet.Heartbeat) (int, fleet.HeartbeatResponse, string) {
	time.Sleep(networkLatency + c.delayOf(i))
	n := c.controller(i)
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
			if to := c.controller((i + k) % len(c.controllers)); to != nil {
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

// copyHeartbeats makes copies of every heartbeat from now on, one for each delay, and delivers each copy after its
// delay. The first copy goes to the controller that received the heartbeat, each further copy to the next controller. A
// copy to a controller that is down is dropped.
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

// replayKeptHeartbeats delivers each kept copy of a heartbeat once to every running controller, and discards the
// copies. It is called at the beginning of a term, and stops early when the term ends, which ends ctx.
func (c *cluster) replayKeptHeartbeats(ctx context.Context) {
	c.mu.Lock()
	kept := c.keptHeartbeats
	c.keptHeartbeats = nil
	c.mu.Unlock()
	for _, raw := range kept {
		for i := range c.controllers {
			if n := c.controller(i); n != nil && ctx.Err() == nil {
				go n.server.HandleHeartbeat(raw)
			}
		}
	}
}
