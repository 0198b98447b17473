package fleet

// State is the state of an attempt.
type State uint8

// States. Planned and Sent are the leader's own, the others are what workers report.
const (
	Planned State = iota // chosen for a machine, and nothing was sent
	Sent                 // the run command is in a response, which may or may not arrive
	Pulling              // its image is being fetched
	Waiting              // for the other tasks of its gang
	Running
	Checkpointing // it was stopped, and saves a checkpoint
	Ended
)

var stateNames = [...]string{"planned", "sent", "pulling", "waiting", "running", "flushing", "ended"}

// String returns the state in the worker protocol's words.
func (s State) String() string { return stateNames[s] }

// parseState parses a state that a worker may report.
func parseState(name string) (State, bool) {
	for state := Pulling; state <= Ended; state++ {
		if stateNames[state] == name {
			return state, true
		}
	}
	return 0, false
}
