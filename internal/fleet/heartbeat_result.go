package fleet

// HeartbeatOutcome is what a leader makes of a heartbeat.
type HeartbeatOutcome int

const (
	// HeartbeatUnavailable tells the worker to try again: the leader cannot answer now.
	HeartbeatUnavailable HeartbeatOutcome = iota
	// HeartbeatAccepted renews the worker's lease and gives it its commands.
	HeartbeatAccepted
	// HeartbeatRedirected sends the worker away: this controller does not lead any more.
	HeartbeatRedirected
)

// HeartbeatResult is a leader's answer to a heartbeat. Response counts only where it is accepted.
type HeartbeatResult struct {
	Outcome  HeartbeatOutcome
	Response HeartbeatResponse
}
