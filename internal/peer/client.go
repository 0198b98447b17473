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

	"github.com/vmihailenco/msgpack/v5"
)

// maxConnectionsPerPeer is how many connections a controller has to each other one at most.
const maxConnectionsPerPeer = 16

// ErrUnsupported means that a peer answered that it does not know what it was asked.
var ErrUnsupported = errors.New("peer: unexpected status")

// Peers calls the other controllers. It is safe for concurrent use.
type Peers struct {
	timeout time.Duration
	peers   []config.Peer
	clients []*httpclient.Client // by index of peers
}

// NewPeers returns a client of the other controllers.
func NewPeers(peers []config.Peer, timeout time.Duration) *Peers {
	p := &Peers{timeout: timeout, peers: peers}
	for _, other := range peers {
		p.clients = append(p.clients, httpclient.New(other.Addr, maxConnectionsPerPeer, timeout))
	}
	return p
}

// call sends a request to the peer of the given index and reads its reply.
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
		return fmt.Errorf("%w %d from %s", ErrUnsupported, status, p.peers[i].Node)
	}
	return msgpack.Unmarshal(body, reply)
}

// callNode is call for the peer of the given name.
func (p *Peers) callNode(node, path string, request, reply any, timeout time.Duration) error {
	for i, other := range p.peers {
		if other.Node == node {
			return p.call(i, path, request, reply, timeout)
		}
	}
	return fmt.Errorf("peer %q is not known", node)
}

// Status asks every other controller. all is true when every one answered.
func (p *Peers) Status(ctx context.Context) (answers []Status, all bool) {
	return p.QueryStatus(ctx, StatusRequest{})
}

// QueryStatus is Status with a leader's attestation; a zero one says nothing. The timeout
// bounds it, whatever the context says.
func (p *Peers) QueryStatus(_ context.Context, request StatusRequest) (answers []Status, all bool) {
	var mu sync.Mutex // guards answers
	var wg sync.WaitGroup
	for i := range p.peers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var status Status
			if p.call(i, pathStatus, request, &status, p.timeout) == nil {
				mu.Lock()
				answers = append(answers, status)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return answers, len(answers) == len(p.peers)
}

// Progress asks a node how a job stands.
func (p *Peers) Progress(node, id string) (Progress, error) {
	var reply Progress
	err := p.callNode(node, pathProgress, JobRequest{ID: id}, &reply, p.timeout/2)
	return reply, err
}

// NotifyCancelled notifies a node that leads of a cancelled job. acknowledged means that it
// starts none of the job's tasks from then on; from a version that does not know the call the
// error is ErrUnsupported.
func (p *Peers) NotifyCancelled(node, id string) (acknowledged bool, err error) {
	var reply CancelledReply
	err = p.callNode(node, pathCancelled, JobRequest{ID: id}, &reply, p.timeout)
	return reply.Acknowledged, err
}

// Relay sends a user's request to the peers in turn, until one has a final answer for it.
func (p *Peers) Relay(request RelayRequest, timeout time.Duration) (reply RelayReply, ok bool) {
	for i := range p.peers {
		var reply RelayReply
		if p.call(i, pathRelay, request, &reply, timeout) == nil && reply.Final(request) {
			return reply, true
		}
	}
	return RelayReply{}, false
}

// RelayHeartbeat sends a worker's heartbeat on to the node that leads.
func (p *Peers) RelayHeartbeat(node string, body []byte) (RelayReply, error) {
	var reply RelayReply
	err := p.callNode(node, pathRelayHeartbeat, HeartbeatRequest{Body: body}, &reply, p.timeout)
	return reply, err
}

// RelayHeartbeats sends a batch on to the node that leads. From a version that takes no
// batches the error is ErrUnsupported.
func (p *Peers) RelayHeartbeats(node string, batch HeartbeatBatch, timeout time.Duration) (HeartbeatBatchReply, error) {
	var reply HeartbeatBatchReply
	err := p.callNode(node, pathRelayHeartbeats, batch, &reply, timeout)
	if err == nil && len(reply.Answers) != len(batch.Heartbeats) {
		err = fmt.Errorf("peer %s: %d answers to %d reports", node, len(reply.Answers), len(batch.Heartbeats))
	}
	return reply, err
}

// RelayOperatorRequest sends an operator's request to the node that leads. From a version without
// operators the error is ErrUnsupported.
func (p *Peers) RelayOperatorRequest(node string, request RelayRequest, timeout time.Duration) (RelayReply, error) {
	var reply RelayReply
	err := p.callNode(node, pathOperatorRequest, request, &reply, timeout)
	return reply, err
}
