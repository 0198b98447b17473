package fleet

// HeartbeatOutcome is how a leader responds to a heartbeat.
type HeartbeatOutcome int

const (
	// HeartbeatUnavailable requests a retry from the worker: the leader cannot respond now.
	HeartbeatUnavailable HeartbeatOutcome = iota
	// HeartbeatAccepted renews the worker's lease and returns its commands.
	HeartbeatAccepted
	// HeartbeatRedirected redirects the worker: this controller is no longer the leader.
	HeartbeatRedirected
)

// HeartbeatResult is a leader's result for a heartbeat. Response is valid only with
// HeartbeatAccepted.
type HeartbeatResult struct {
	Outcome  HeartbeatOutcome
	Response HeartbeatResponse
}
