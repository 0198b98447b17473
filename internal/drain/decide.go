package drain

import (
	"time"
)

// Task is what a decision about a task on a machine depends on.
type Task struct {
	Running         bool          // it makes progress; otherwise it fetches, or waits for its gang
	Waiting         bool          // for its gang
	Stopping        bool          // it was told to stop already
	Gang            bool          // goes together with its gang, whole
	Service         bool          // a replica
	Urgent          bool          // urgent or critical
	Remaining       time.Duration // until it would end here, as far as can be guessed; of a replica nothing
	Ran             time.Duration // work that is lost if it is stopped without saving
	Saves           bool
	SaveDuration    time.Duration  // what saving takes
	RestartDuration time.Duration  // from its end here to going on elsewhere, where there is room
	Slack           *time.Duration // until its job would be late; nil where nothing is due
	OtherReplicas   int            // of a replica: others that run elsewhere
	Place           Place          // elsewhere
}

// Place says where else a task could go.
type Place int

// Places, for a whole gang where it is one.
const (
	Nowhere Place = iota // no other machine may take it, nor one that could be rented
	NotNow               // none has room now
	Room
)

// Action is what becomes of a task on a machine that is to be emptied.
type Action string

// Actions.
const (
	Finish  Action = "finishes" // ends where it is
	Move    Action = "moves"    // is stopped now, saving where it can, and goes on elsewhere
	Wait    Action = "waits"    // for its gang, for room elsewhere, or for another replica
	Restart Action = "begins anew elsewhere"
	Blocked Action = "blocked" // nowhere else may it run
)

// Decision is an action with its reason.
type Decision struct {
	Action Action
	Reason string
	Lost   time.Duration // work that is thrown away
}

// likely is how many times as long as guessed a task may still run.
const likely = 1.5

// worth is how many times what a move costs a task must still have before it, to be moved
// where nothing presses.
const worth = 2

// Decide says what becomes of a task. left is how long the machine has until it must be
// empty, nil without such a time; margin is what must be told before that (a report
// interval). It keeps to this order: nothing that has begun is thrown away unless the time
// demands it; what is urgent and has little time goes on where it is; what saves, moves.
func Decide(t Task, left *time.Duration, margin time.Duration) Decision {
	cost := t.SaveDuration + t.RestartDuration
	pressed := left != nil && (t.Service || time.Duration(float64(t.Remaining)*likely) > *left)
	last := pressed && *left <= t.SaveDuration+margin // now or never
	short := left != nil && *left <= margin           // whatever the guess said
	switch {
	case t.Stopping:
		return Decision{Action: Move, Reason: "is being stopped"}
	case short:
		return gone(t, "the time is over")
	case t.Place == Nowhere && !last:
		if left == nil && !t.Service {
			return Decision{Action: Finish, Reason: "no other machine may take it"}
		}
		return Decision{Action: Blocked, Reason: "no other machine may take it, nor one that could be rented"}
	case t.Service:
		return replica(t, last)
	case t.Waiting && !pressed:
		return Decision{Action: Wait, Reason: "for its gang"}
	case !t.Running && !last:
		// Nothing is lost but a fetch.
		switch {
		case t.Remaining <= t.RestartDuration:
			return Decision{Action: Finish, Reason: "ends sooner than it would start elsewhere"}
		case t.Place == Room:
			return Decision{Action: Move, Reason: "has not begun"}
		}
		return Decision{Action: Wait, Reason: "for room elsewhere"}
	case pressed && t.Saves:
		if last || t.Place == Room {
			return Decision{Action: Move, Reason: "saves; would not end in time"}
		}
		return Decision{Action: Wait, Reason: "for room elsewhere, until it must save"}
	case pressed && (last || t.Place == Room && time.Duration(float64(t.Remaining)/likely) > *left):
		// By any guess it does not end in time: what it has done is lost either way, and
		// stopped now it begins elsewhere now.
		return Decision{Action: Restart, Reason: "cannot save and would not end in time", Lost: t.Ran}
	case pressed:
		return Decision{Action: Finish, Reason: "may just end in time"}
	case !t.Saves:
		return Decision{Action: Finish, Reason: "cannot save"}
	case t.Remaining <= worth*cost:
		return Decision{Action: Finish, Reason: "is nearly done"}
	case t.Urgent && t.Slack != nil && *t.Slack < worth*cost:
		return Decision{Action: Finish, Reason: "is urgent and has little time"}
	case t.Place == Room:
		return Decision{Action: Move, Reason: "saves"}
	}
	return Decision{Action: Wait, Reason: "for room elsewhere"}
}

func replica(t Task, last bool) Decision {
	switch {
	case last:
		return gone(t, "the time is over")
	case t.Running && t.OtherReplicas == 0:
		return Decision{Action: Wait, Reason: "for another replica to run"}
	case t.Place == Room:
		return Decision{Action: Move, Reason: "another replica runs"}
	}
	return Decision{Action: Wait, Reason: "for room elsewhere"}
}

// gone is what is left to do when the time is over.
func gone(t Task, why string) Decision {
	if t.Saves {
		return Decision{Action: Move, Reason: why + "; saves"}
	}
	if t.Running && !t.Service && t.Ran > 0 {
		return Decision{Action: Restart, Reason: why, Lost: t.Ran}
	}
	return Decision{Action: Move, Reason: why}
}
