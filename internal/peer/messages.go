package peer

import (
	"net/http"
	"time"

	"drumpick/internal/cancellation"
	"drumpick/internal/messagesize"
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

// MaxRequestBytes is the maximum size of a request to a controller's peer address: a request of a user,
// worker or operator of the largest size, as relayed, with the fields around it.
const MaxRequestBytes = messagesize.Max + maxEnvelopeBytes

// maxEnvelopeBytes bounds the size of a relayed request without its body.
const maxEnvelopeBytes = 8 << 10

// contentType is the media type of all messages.
const contentType = "application/msgpack"

// Status reports how the store serves a controller, and what the controller has recorded for leaders.
// The store serves a request if it responds with any status other than 429 and 503.
type Status struct {
	Node                string `msgpack:"node"`      // name of the controller
	SinceStoreServedMS  int64  `msgpack:"silent_ms"` // since the store last served a request, or since the start of the controller
	StoreServed         bool   `msgpack:"answered"`  // the store has served a request since the start of the controller
	StoreFailing        bool   `msgpack:"failing"`   // the store has failed since it last served a request
	SinceConfirmationMS int64  `msgpack:"quiet_ms"`  // since a cancellation may last have been confirmed to a user, or since the start of the controller
	// Cancellations lists the cancellations that the controller has confirmed to users or may be about
	// to confirm; nil if the request does not ask for them. Versions that do not support the list
	// omit it.
	Cancellations *cancellation.ConfirmedList `msgpack:"told,omitempty"`
	// Attestation is the latest attestation of a leader that the controller has recorded. Versions
	// without watermarks omit it.
	Attestation *watermark.Attestation `msgpack:"heard,omitempty"`
	// LatestReconciled is the recorded attestation of the latest term that the controller knows to be
	// reconciled. Earlier versions omit it.
	LatestReconciled *watermark.Attestation `msgpack:"settled,omitempty"`
	// SinceRenewalMS is the time since the controller, as leader, may last have renewed a worker's
	// lease, or since the start of the controller. Earlier versions omit it.
	SinceRenewalMS *int64 `msgpack:"renewed_ms,omitempty"`
}

// StoreHealth is the part of the store client that StatusOf needs.
type StoreHealth interface {
	// Health returns when the store last served a request (zero: not since the start), whether it
	// has failed since, and when the client started.
	Health() (lastOK time.Time, failing bool, started time.Time)
}

// StatusOf returns the status of a controller, without attestations. It includes the cancellations
// that the controller has confirmed if the request asks for them.
func StatusOf(node string, store StoreHealth, confirmed *cancellation.Log, request StatusRequest) Status {
	lastOK, failing, started := store.Health()
	now := time.Now()
	s := Status{
		Node:                node,
		StoreServed:         !lastOK.IsZero(),
		StoreFailing:        failing,
		SinceConfirmationMS: confirmed.SinceLastConfirmation(now).Milliseconds(),
	}
	// The bound keeps the duration from overflowing; the list states the span that it covers.
	spanMS := min(request.CancellationSpanMS, maxCancellationSpan.Milliseconds())
	if spanMS > 0 {
		list := confirmed.ConfirmedWithin(time.Duration(spanMS)*time.Millisecond, now)
		s.Cancellations = &list
	}
	if !s.StoreServed {
		lastOK = started
	}
	s.SinceStoreServedMS = time.Since(lastOK).Milliseconds()
	return s
}

// maxCancellationSpan bounds how far back the list of confirmed cancellations reaches.
const maxCancellationSpan = 24 * time.Hour

// WithAttestations records a received attestation with o. It returns the status with the attestations
// that o holds and with sinceRenewal, the time since the controller may last have renewed a lease.
func (s Status) WithAttestations(o *watermark.Observer, received watermark.Attestation, sinceRenewal time.Duration) Status {
	latest := o.Observe(received)
	reconciled := o.LatestReconciled()
	sinceRenewalMS := sinceRenewal.Milliseconds()
	s.Attestation = &latest
	s.LatestReconciled = &reconciled
	s.SinceRenewalMS = &sinceRenewalMS
	return s
}

// StatusRequest asks a controller for its status and carries a leader's attestation of its
// watermarks.
type StatusRequest struct {
	watermark.Attestation
	// CancellationSpanMS asks for the cancellations confirmed within this time before the request, in
	// milliseconds; 0 asks for none.
	CancellationSpanMS int64 `msgpack:"told_ms,omitempty"`
}

// JobRequest is a request about one job.
type JobRequest struct {
	ID string `msgpack:"id"`
}

// CancelledReply is the leader's reply to the notification of a cancelled job.
type CancelledReply struct {
	// Acknowledged means that the leader dispatches none of the job's tasks from now on.
	Acknowledged bool `msgpack:"heard"`
}

// Progress is the progress of an open job as the leader knows it. If Known is false, the leader
// does not know the job or the asked controller does not lead, and the other fields are not valid.
type Progress struct {
	Known   bool   `msgpack:"known"`
	Status  string `msgpack:"status"`
	Done    int    `msgpack:"done"`    // number of tasks
	Running int    `msgpack:"running"` // number of tasks
	// DependenciesClear means that no dependency of the job, direct or indirect, was cancelled as
	// far as the leader knew ClearAgeMS milliseconds ago. Earlier versions omit both fields; false
	// therefore means unknown.
	DependenciesClear bool  `msgpack:"clear,omitempty"`
	ClearAgeMS        int64 `msgpack:"clear_ms,omitempty"`
}

// Methods of users' requests that one controller relays to another.
const (
	MethodSubmit = "submit"
	MethodPoll   = "poll"
	MethodCancel = "withdraw"
	// MethodSubmitWithDependencies is a submission with dependencies. Earlier versions would accept
	// it under MethodSubmit and ignore the dependencies; they reject this method with a 400.
	MethodSubmitWithDependencies = "submit_chain"
)

// RelayRequest is a relayed request of a user or operator.
type RelayRequest struct {
	Method string `msgpack:"method"`
	ID     string `msgpack:"id"`
	Body   []byte `msgpack:"body"`
}

// RelayReply is the reply to a relayed request: an HTTP status and a body.
type RelayReply struct {
	Status int    `msgpack:"status"`
	Body   []byte `msgpack:"body"`
}

// Final reports whether a peer's reply may be returned to the user who sent the request. Malformed
// submissions are not relayed, so a 400 for a submission with dependencies means that the peer's
// version does not support dependencies.
func (r *RelayReply) Final(request RelayRequest) bool {
	switch r.Status {
	case 0, http.StatusServiceUnavailable:
		return false
	case http.StatusBadRequest:
		return request.Method != MethodSubmitWithDependencies
	}
	return true
}

// HeartbeatRequest is a worker's heartbeat, relayed by a follower.
type HeartbeatRequest struct {
	Body []byte `msgpack:"body"` // as the worker sent it
}

// HeartbeatBatch is a batch of workers' heartbeats, relayed by a follower as the workers sent them.
// An empty batch announces that the sender can relay heartbeats.
type HeartbeatBatch struct {
	From       string   `msgpack:"from"` // node of the sender
	Heartbeats [][]byte `msgpack:"bodies"`
	// DelayMS is the delay of the sender's previous batch, in milliseconds: the time until the leader
	// began to handle the batch plus the way back of the reply. For a failed batch it is the time until
	// the failure; it is 0 if the delay was already reported.
	DelayMS int64  `msgpack:"late_ms,omitempty"`
	Zone    string `msgpack:"zone,omitempty"` // zone of the sender, "" if unknown
}

// HeartbeatBatchReply has the replies to the heartbeats of a batch, in the same order.
type HeartbeatBatchReply struct {
	Replies      []RelayReply `msgpack:"answers"`
	ProcessingMS int64        `msgpack:"held_ms,omitempty"` // how long the leader took to handle the batch, in milliseconds
}
