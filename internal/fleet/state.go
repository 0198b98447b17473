package fleet

// State is the state of an attempt.
type State uint8

// States. Planned and Sent are set by the leader; the others are reported by workers.
const (
	Planned State = iota // assigned to a machine; nothing was sent yet
	Sent                 // the run command was sent and may or may not arrive
	Pulling              // its image is being fetched
	Waiting              // for the other tasks of the gang
	Running
	Checkpointing // stopped; a checkpoint is being saved
	Ended
)

var stateNames = [...]string{"planned", "sent", "pulling", "waiting", "running", "flushing", "ended"}

// String returns the name of the state: from Pulling on, that in the worker protocol.
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
