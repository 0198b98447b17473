package peer

import (
	"sync"
	"time"
)

const (
	// maxInFlightBatches bounds the batches that one node has not answered yet.
	maxInFlightBatches = 4
	// maxBatchBytes keeps a batch well below the 64 KiB of a request, in bytes of heartbeats.
	maxBatchBytes = 40 << 10
)

// SendBatchFunc sends heartbeats to a node.
type SendBatchFunc func(node string, heartbeats [][]byte) (HeartbeatBatchReply, error)

// Batcher puts heartbeats for one node together: what comes within a window goes out at once,
// or later where the node has not answered the batches before; these grow meanwhile. Without
// that, a leader that takes a moment would be asked more and more at once.
//
// It is safe for concurrent use.
type Batcher struct {
	window time.Duration
	send   SendBatchFunc

	mu    sync.Mutex               // guards the fields below
	open  map[string]*batch        // by node, the batch that takes more
	slots map[string]chan struct{} // by node, what it has not answered yet
}

// batch is heartbeats that are sent together.
type batch struct {
	heartbeats [][]byte // guarded by the batcher until the batch is no longer open
	bytes      int      // guarded by the batcher

	done  chan struct{} // closed once reply and err are set
	reply HeartbeatBatchReply
	err   error
}

// NewBatcher returns a batcher that sends through the function given.
func NewBatcher(window time.Duration, send SendBatchFunc) *Batcher {
	return &Batcher{window: window, send: send, open: map[string]*batch{}, slots: map[string]chan struct{}{}}
}

// Send sends a heartbeat along with others and waits for its answer.
func (b *Batcher) Send(node string, heartbeat []byte) (RelayReply, error) {
	joined, index, first := b.add(node, heartbeat)
	if first {
		b.deliver(node, joined)
	} else {
		<-joined.done
	}
	if joined.err != nil {
		return RelayReply{}, joined.err
	}
	return joined.reply.Answers[index], nil
}

// add adds a heartbeat to the open batch of a node and returns its index there. first means
// that the batch is new: whoever opened it delivers it.
func (b *Batcher) add(node string, heartbeat []byte) (joined *batch, index int, first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	joined = b.open[node]
	if joined == nil || joined.bytes+len(heartbeat) > maxBatchBytes {
		joined = &batch{done: make(chan struct{})}
		b.open[node] = joined
		first = true
	}
	if b.slots[node] == nil {
		b.slots[node] = make(chan struct{}, maxInFlightBatches)
	}
	index = len(joined.heartbeats)
	joined.heartbeats = append(joined.heartbeats, heartbeat)
	joined.bytes += len(heartbeat)
	return joined, index, first
}

// deliver sends a batch once its window is over and the node has a slot for it.
func (b *Batcher) deliver(node string, joined *batch) {
	slot := b.slot(node)
	time.Sleep(b.window)
	slot <- struct{}{}
	b.seal(node, joined)
	joined.reply, joined.err = b.send(node, joined.heartbeats)
	<-slot
	close(joined.done)
}

func (b *Batcher) slot(node string) chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.slots[node]
}

// seal lets no more heartbeats into a batch.
func (b *Batcher) seal(node string, joined *batch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open[node] == joined {
		delete(b.open, node)
	}
}
