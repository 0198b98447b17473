package peer

import (
	"net/http"
	"time"

	"drumpick/internal/cancellation"
	"drumpick/internal/watermark"
)

// Paths of the calls.
const (
	pathStatus          = "/peer/status"
	pathProgress        = "/peer/progress"
	pathCancelled       = "/peer/cancelled"
	pathRelay           = "/peer/relay"
	pathRelayHeartbeat  = "/peer/checkin"
	pathRelayHeartbeats = "/peer/checkins"
	pathOperatorRequest = "/peer/operate"
)

// contentType is that of all messages.
const contentType = "application/msgpack"

// Status is how the store serves a controller.
type Status struct {
	Node                 string `msgpack:"node"`
	SinceStoreResponseMS int64  `msgpack:"silent_ms"` // since the store's last answer, or since the start
	StoreAnswered        bool   `msgpack:"answered"`  // the store has answered since the start
	StoreFailing         bool   `msgpack:"failing"`   // its last request failed
	SinceConfirmationMS  int64  `msgpack:"quiet_ms"`  // since a cancellation was last confirmed, or since the start
	// Cancellations are the confirmed ones, where the request asks for them. Versions that
	// do not list them leave it out.
	Cancellations *cancellation.ConfirmedList `msgpack:"told,omitempty"`
	// Attestation is what it remembers of leaders' attestations. Versions without
	// watermarks leave it out.
	Attestation *watermark.Attestation `msgpack:"heard,omitempty"`
	// LatestReconciled is the attestation of the latest reconciled term that it has heard of.
	LatestReconciled *watermark.Attestation `msgpack:"settled,omitempty"`
	// SinceRenewalMS is since it may last have renewed a worker's lease, as leader, or since
	// the start. Versions that do not say leave it out.
	SinceRenewalMS *int64 `msgpack:"renewed_ms,omitempty"`
}

// StoreHealth is a client of the store as far as StatusOf asks it.
type StoreHealth interface {
	// Health returns when the store last answered (zero: not since the start), whether it
	// fails now, and when the client started.
	Health() (lastOK time.Time, failing bool, started time.Time)
}

// StatusOf returns how the store serves a controller, and what that has confirmed of
// cancellations.
func StatusOf(node string, store StoreHealth, confirmed *cancellation.Log, request StatusRequest) Status {
	lastOK, failing, started := store.Health()
	now := time.Now()
	s := Status{
		Node:                node,
		StoreAnswered:       !lastOK.IsZero(),
		StoreFailing:        failing,
		SinceConfirmationMS: confirmed.SinceLastConfirmation(now).Milliseconds(),
	}
	// A span that no clock could have measured asks for all there is.
	spanMS := min(request.CancellationSpanMS, maxCancellationSpan.Milliseconds())
	if spanMS > 0 {
		list := confirmed.ConfirmedWithin(time.Duration(spanMS)*time.Millisecond, now)
		s.Cancellations = &list
	}
	if !s.StoreAnswered {
		lastOK = started
	}
	s.SinceStoreResponseMS = time.Since(lastOK).Milliseconds()
	return s
}

// maxCancellationSpan bounds how far back a controller is asked for what it confirmed.
const maxCancellationSpan = 24 * time.Hour

// WithAttestations adds what a controller remembers of leaders' attestations, having observed
// one more, and how long ago it may last have renewed a lease.
func (s Status) WithAttestations(o *watermark.Observer, heard watermark.Attestation, sinceRenewal time.Duration) Status {
	remembered := o.Observe(heard)
	reconciled := o.LatestReconciled()
	sinceRenewalMS := sinceRenewal.Milliseconds()
	s.Attestation = &remembered
	s.LatestReconciled = &reconciled
	s.SinceRenewalMS = &sinceRenewalMS
	return s
}

// StatusRequest is a leader's attestation of its watermarks, along with which a controller is
// asked how the store serves it.
type StatusRequest struct {
	watermark.Attestation
	// CancellationSpanMS asks for the cancellations that it confirmed so long ago or later;
	// 0: for none.
	CancellationSpanMS int64 `msgpack:"told_ms,omitempty"`
}

// JobRequest names a job.
type JobRequest struct {
	ID string `msgpack:"id"`
}

// CancelledReply is a leader's answer to a cancellation.
type CancelledReply struct {
	// Acknowledged means that the leader starts none of the job's tasks any more.
	Acknowledged bool `msgpack:"heard"`
}

// Progress is how a job stands at the leader.
type Progress struct {
	Known   bool   `msgpack:"known"`
	Status  string `msgpack:"status"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
	// DependenciesClear means that no job which this one depends on is cancelled, as far as
	// the leader knew ClearAgeMS ago. Earlier versions leave both out: then it is not known.
	DependenciesClear bool  `msgpack:"clear,omitempty"`
	ClearAgeMS        int64 `msgpack:"clear_ms,omitempty"`
}

// Methods of users' requests that one controller relays to another.
const (
	MethodSubmit = "submit"
	MethodPoll   = "poll"
	MethodCancel = "withdraw"
	// MethodSubmitWithDependencies is a submission that names dependencies. An earlier
	// version would accept it, as MethodSubmit, for a job that waits for nothing; it does
	// not know this method and answers 400.
	MethodSubmitWithDependencies = "submit_chain"
)

// RelayRequest is a user's request, relayed.
type RelayRequest struct {
	Method string `msgpack:"method"`
	ID     string `msgpack:"id"`
	Body   []byte `msgpack:"body"`
}

// RelayReply is the answer to a relayed request: an HTTP status and a body.
type RelayReply struct {
	Status int    `msgpack:"status"`
	Body   []byte `msgpack:"body"`
}

// Final reports whether a peer's answer to a request is one for the user. What is malformed
// is not relayed, so a 400 for a submission with dependencies means that the peer knows none.
func (r *RelayReply) Final(request RelayRequest) bool {
	switch r.Status {
	case 0, http.StatusServiceUnavailable:
		return false
	case http.StatusBadRequest:
		return request.Method != MethodSubmitWithDependencies
	}
	return true
}

// HeartbeatRequest is a worker's heartbeat that came to a controller which does not lead.
type HeartbeatRequest struct {
	Body []byte `msgpack:"body"` // as the worker sent it
}

// HeartbeatBatch is workers' heartbeats that came to a controller which does not lead, as the
// workers sent them. An empty one says that the sender could relay some.
type HeartbeatBatch struct {
	From       string   `msgpack:"from"`
	Heartbeats [][]byte `msgpack:"bodies"`
	// DelayMS is how long the sender's last batch waited before the leader got to it, and
	// its answer on the way back.
	DelayMS int64  `msgpack:"late_ms,omitempty"`
	Zone    string `msgpack:"zone,omitempty"` // the sender's
}

// HeartbeatBatchReply has the answers to the heartbeats of a batch, in the same order.
type HeartbeatBatchReply struct {
	Answers      []RelayReply `msgpack:"answers"`
	ProcessingMS int64        `msgpack:"held_ms,omitempty"` // how long the leader took over it
}
