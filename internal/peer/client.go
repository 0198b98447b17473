package peer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/httpclient"
	"drumpick/internal/recovery"

	"github.com/vmihailenco/msgpack/v5"
)

// maxConnectionsPerPeer bounds the connections to each other controller.
const maxConnectionsPerPeer = 16

// ErrUnsupported means that a peer responded with status 404, as versions that do not support the call
// do. Any other unexpected status says nothing about the version: the peer may have failed to handle
// the call.
var ErrUnsupported = errors.New("peer: call not supported")

// statusError is the error of a response with an unexpected status.
type statusError struct {
	status int
	node   string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("peer %s: unexpected status %d", e.node, e.status)
}

// Unwrap returns ErrUnsupported if the status means that.
func (e *statusError) Unwrap() error {
	if e.status == http.StatusNotFound {
		return ErrUnsupported
	}
	return nil
}

// Peers calls the other controllers. It is safe for concurrent use.
type Peers struct {
	timeout time.Duration
	peers   []config.Peer
	clients []*httpclient.Client // by index of peers
}

// NewPeers returns a client of the given controllers, all others of the deployment.
func NewPeers(peers []config.Peer, timeout time.Duration) *Peers {
	p := &Peers{timeout: timeout, peers: peers}
	for _, other := range peers {
		p.clients = append(p.clients, httpclient.New(other.Addr, maxConnectionsPerPeer, timeout))
	}
	return p
}

// call sends a request to the peer with the given index and decodes the peer's reply. Any HTTP status
// but 200 is returned as a *statusError.
func (p *Peers) call(i int, path string, request, reply any, timeout time.Duration) error {
	raw, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	status, body, err := p.clients[i].Do(http.MethodPost, path, contentType, raw, time.Now().Add(timeout))
	if err != nil {
		return fmt.Errorf("peer %s: %w", p.peers[i].Node, err)
	}
	if status != http.StatusOK {
		return &statusError{status: status, node: p.peers[i].Node}
	}
	return msgpack.Unmarshal(body, reply)
}

// callNode is like call, for the peer with the given node name. It fails if there is no such peer.
func (p *Peers) callNode(node, path string, request, reply any, timeout time.Duration) error {
	for i, other := range p.peers {
		if other.Node == node {
			return p.call(i, path, request, reply, timeout)
		}
	}
	return fmt.Errorf("unknown peer %q", node)
}

// Status returns the statuses of the other controllers that replied; all is true if every one did.
func (p *Peers) Status(ctx context.Context) (statuses []Status, all bool) {
	return p.QueryStatus(ctx, StatusRequest{})
}

// QueryStatus is like Status and sends the given request; a zero attestation in it has no effect.
// Only the timeout bounds the calls: the context is ignored.
func (p *Peers) QueryStatus(_ context.Context, request StatusRequest) (statuses []Status, all bool) {
	var mu sync.Mutex // guards statuses
	var wg sync.WaitGroup
	for i := range p.peers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			recovery.Call("status of a peer", func() {
				var status Status
				if p.call(i, pathStatus, request, &status, p.timeout) == nil {
					mu.Lock()
					statuses = append(statuses, status)
					mu.Unlock()
				}
			})
		}()
	}
	wg.Wait()
	return statuses, len(statuses) == len(p.peers)
}

// Progress returns the progress of a job as the given node, the leader, knows it.
func (p *Peers) Progress(node, id string) (Progress, error) {
	var reply Progress
	err := p.callNode(node, pathProgress, JobRequest{ID: id}, &reply, p.timeout/2)
	return reply, err
}

// NotifyCancelled notifies the leader's node of a cancelled job. acknowledged means that the leader
// dispatches none of the job's tasks from then on. The error wraps ErrUnsupported if the node's version
// does not know the call.
func (p *Peers) NotifyCancelled(node, id string) (acknowledged bool, err error) {
	var reply CancelledReply
	err = p.callNode(node, pathCancelled, JobRequest{ID: id}, &reply, p.timeout)
	return reply.Acknowledged, err
}

// Relay sends a user's request to the peers one after the other until one gives a final reply. timeout
// bounds each call. ok is false if no reply is final.
func (p *Peers) Relay(request RelayRequest, timeout time.Duration) (reply RelayReply, ok bool) {
	for i := range p.peers {
		var reply RelayReply
		if p.call(i, pathRelay, request, &reply, timeout) == nil && reply.Final(request) {
			return reply, true
		}
	}
	return RelayReply{}, false
}

// RelayHeartbeat relays a worker's heartbeat, in the form that the worker sent, to the leader's node.
func (p *Peers) RelayHeartbeat(node string, body []byte) (RelayReply, error) {
	var reply RelayReply
	err := p.callNode(node, pathRelayHeartbeat, HeartbeatRequest{Body: body}, &reply, p.timeout)
	return reply, err
}

// RelayHeartbeats relays a batch to the leader's node. Without an error, the reply has one element for
// each heartbeat. The error wraps ErrUnsupported if the node's version accepts no batches.
func (p *Peers) RelayHeartbeats(node string, batch HeartbeatBatch, timeout time.Duration) (HeartbeatBatchReply, error) {
	var reply HeartbeatBatchReply
	err := p.callNode(node, pathRelayHeartbeats, batch, &reply, timeout)
	if err == nil && len(reply.Replies) != len(batch.Heartbeats) {
		err = fmt.Errorf("peer %s: %d replies to %d heartbeats", node, len(reply.Replies), len(batch.Heartbeats))
	}
	return reply, err
}

// RelayOperatorRequest relays an operator's request to the leader's node. The error wraps
// ErrUnsupported if the node's version has no operator API.
func (p *Peers) RelayOperatorRequest(node string, request RelayRequest, timeout time.Duration) (RelayReply, error) {
	var reply RelayReply
	err := p.callNode(node, pathOperatorRequest, request, &reply, timeout)
	return reply, err
}
