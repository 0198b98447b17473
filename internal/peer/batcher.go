package peer

import (
	"errors"
	"sync"
	"time"
)

const (
	// maxInFlightBatches bounds the batches that are sent to one node and have no reply yet.
	maxInFlightBatches = 4
	// maxBatchBytes bounds the size of a batch's heartbeats, well below MaxRequestBytes, and below the 64 KiB
	// that earlier versions accept. A larger heartbeat is a batch of its own.
	maxBatchBytes = 40 << 10
)

// SendBatchFunc sends a batch of heartbeats to a node. Without an error, the reply has one element for
// each heartbeat, in the same order.
type SendBatchFunc func(node string, heartbeats [][]byte) (HeartbeatBatchReply, error)

// Batcher batches heartbeats by the node that they are sent to. A batch is sent when its window ends,
// or later if the node has maxInFlightBatches batches without a reply; until then it grows, up to
// maxBatchBytes. Without the bound on batches in flight, a slow leader would receive ever more
// concurrent requests.
//
// It is safe for concurrent use.
type Batcher struct {
	window time.Duration // how long a batch collects heartbeats
	send   SendBatchFunc

	mu    sync.Mutex               // guards the fields below
	open  map[string]*batch        // by node, the batch that accepts heartbeats
	slots map[string]chan struct{} // by node, one element per batch in flight
}

// batch is a set of heartbeats that are sent together.
type batch struct {
	heartbeats [][]byte // guarded by the batcher until the batch is no longer open
	bytes      int      // guarded by the batcher

	done  chan struct{} // closed once reply and err are set
	reply HeartbeatBatchReply
	err   error
}

// NewBatcher returns a batcher that sends its batches by calling send.
func NewBatcher(window time.Duration, send SendBatchFunc) *Batcher {
	return &Batcher{window: window, send: send, open: map[string]*batch{}, slots: map[string]chan struct{}{}}
}

// Send sends a heartbeat to a node as part of a batch, and returns the reply to this heartbeat.
func (b *Batcher) Send(node string, heartbeat []byte) (RelayReply, error) {
	target, index, first := b.add(node, heartbeat)
	if first {
		b.deliver(node, target)
	} else {
		<-target.done
	}
	if target.err != nil {
		return RelayReply{}, target.err
	}
	return target.reply.Replies[index], nil
}

// add adds a heartbeat to the open batch of a node and returns its index in the batch. If first is
// true, the batch is new and the caller must deliver it.
func (b *Batcher) add(node string, heartbeat []byte) (target *batch, index int, first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	target = b.open[node]
	if target == nil || target.bytes+len(heartbeat) > maxBatchBytes {
		target = &batch{done: make(chan struct{})}
		b.open[node] = target
		first = true
	}
	if b.slots[node] == nil {
		b.slots[node] = make(chan struct{}, maxInFlightBatches)
	}
	index = len(target.heartbeats)
	target.heartbeats = append(target.heartbeats, heartbeat)
	target.bytes += len(heartbeat)
	return target, index, first
}

// deliver sends a batch once its window is over and the node has a free slot, and sets the batch's
// reply.
func (b *Batcher) deliver(node string, target *batch) {
	slots := b.nodeSlots(node)
	time.Sleep(b.window)
	slots <- struct{}{}
	b.seal(node, target)
	// Deferred, because the senders of the batch's other heartbeats would wait forever after a panic.
	target.err = errNotSent
	defer close(target.done)
	defer func() { <-slots }()
	target.reply, target.err = b.send(node, target.heartbeats)
}

// errNotSent is the error of a batch whose send function panicked.
var errNotSent = errors.New("peer: batch not sent")

// nodeSlots returns the semaphore that bounds a node's batches in flight.
func (b *Batcher) nodeSlots(node string) chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.slots[node]
}

// seal makes sure that no further heartbeat is added to a batch.
func (b *Batcher) seal(node string, target *batch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open[node] == target {
		delete(b.open, node)
	}
}
