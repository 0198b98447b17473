package peer

import (
	"fmt"
	"sync"
	"time"
)

// HeartbeatBatch is workers' reports that came to a controller which does not lead, as the
// workers sent them. An empty one says that the sender could pass some on.
type HeartbeatBatch struct {
	From       string   `msgpack:"from"`
	Heartbeats [][]byte `msgpack:"bodies"`
	// LateMS is how long the sender's last bundle waited before the leader got to it, and
	// its answer on the way back.
	DelayMS int64  `msgpack:"late_ms,omitempty"`
	Zone    string `msgpack:"zone,omitempty"` // the sender's
}

// HeartbeatBatchReply are the answers, in the same order.
type HeartbeatBatchReply struct {
	Answers []RelayReply `msgpack:"answers"`
	HeldMS  int64        `msgpack:"held_ms,omitempty"` // how long the leader had it in hand
}

// RelayHeartbeats passes a bundle on to the node that leads. A version that takes no bundles
// answers 404, which is an error here.
func (p *Peers) RelayHeartbeats(node string, in HeartbeatBatch, timeout time.Duration) (HeartbeatBatchReply, error) {
	for i, s := range p.seeds {
		if s.Node == node {
			var out HeartbeatBatchReply
			err := p.call(i, "/peer/checkins", in, &out, timeout)
			if err == nil && len(out.Answers) != len(in.Heartbeats) {
				err = fmt.Errorf("peer %s: %d answers to %d reports", node, len(out.Answers), len(in.Heartbeats))
			}
			return out, err
		}
	}
	return HeartbeatBatchReply{}, fmt.Errorf("peer %q is not known", node)
}

// Batcher puts reports for one node together: what comes within a window goes out at once,
// or later where the node has not answered the bundles before; these grow meanwhile.
// Guards against a leader that takes a moment and is thereby asked more and more at once.
type Batcher struct {
	window time.Duration
	send   func(node string, bodies [][]byte) (HeartbeatBatchReply, error)

	mu   sync.Mutex
	open map[string]*bundle       // by node
	ways map[string]chan struct{} // what is under way to each
}

// mostUnderWay bounds the bundles that one node has not answered yet.
const mostUnderWay = 4

type bundle struct {
	bodies [][]byte
	bytes  int
	done   chan struct{}
	out    HeartbeatBatchReply
	err    error
}

// mostBundled keeps a bundle well below the 64 KiB of a request, in bytes of reports.
const mostBundled = 40 << 10

// NewBatcher returns one that sends through the function given.
func NewBatcher(window time.Duration, send func(node string, bodies [][]byte) (HeartbeatBatchReply, error)) *Batcher {
	return &Batcher{window: window, send: send, open: map[string]*bundle{}, ways: map[string]chan struct{}{}}
}

// Send passes a report on along with others and waits for its answer.
func (g *Batcher) Send(node string, body []byte) (RelayReply, error) {
	g.mu.Lock()
	b := g.open[node]
	first := b == nil || b.bytes+len(body) > mostBundled
	if first {
		b = &bundle{done: make(chan struct{})}
		g.open[node] = b
	}
	way := g.ways[node]
	if way == nil {
		way = make(chan struct{}, mostUnderWay)
		g.ways[node] = way
	}
	i := len(b.bodies)
	b.bodies = append(b.bodies, body)
	b.bytes += len(body)
	g.mu.Unlock()
	if !first {
		<-b.done
	} else {
		time.Sleep(g.window)
		way <- struct{}{}
		g.mu.Lock()
		if g.open[node] == b {
			delete(g.open, node)
		}
		g.mu.Unlock()
		b.out, b.err = g.send(node, b.bodies)
		<-way
		close(b.done)
	}
	if b.err != nil {
		return RelayReply{}, b.err
	}
	return b.out.Answers[i], nil
}
