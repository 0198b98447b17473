package drain

import "time"

// Task is the input of a decision about a task on a machine.
type Task struct {
	Running        bool // makes progress; otherwise it fetches its image or waits for its gang
	WaitingForGang bool // its gang does not run yet
	Stopping       bool // a stop has been requested
	Gang           bool // moves only together with its gang
	Service        bool // is a replica of a service
	Urgent         bool // has priority urgent or critical

	Remaining       time.Duration  // estimated run time left; 0 for a replica
	Ran             time.Duration  // work that is lost if the task is stopped without a checkpoint
	CanSave         bool           // can save a checkpoint
	SaveDuration    time.Duration  // time that saving a checkpoint takes
	RestartDuration time.Duration  // from its stop here to its start elsewhere, given room there
	Slack           *time.Duration // from its expected end to its job's next target; nil: no target can be met

	OtherReplicas int   // of a replica: others that run on machines not being drained
	Place         Place // whether it could run elsewhere
}

// Place is whether a task could run on another machine; a gang task only together with its gang.
type Place int

// Places.
const (
	NotPermitted Place = iota // no other machine may run it, nor any that could be rented
	NoRoom                    // no machine that may run it has room now
	HasRoom                   // another machine has room
)

// Action is what happens to a task on a machine that is being drained. Operators see its text.
type Action string

// Actions.
const (
	Finish  Action = "finishes"              // runs to its end on this machine
	Move    Action = "moves"                 // is stopped now, with a checkpoint if possible, and continues elsewhere
	Wait    Action = "waits"                 // for its gang, for room elsewhere, or for another replica
	Restart Action = "begins anew elsewhere" // is stopped now, and its work is lost
	Blocked Action = "blocked"               // may not run on any other machine
)

// Decision is an action with its reason.
type Decision struct {
	Action Action
	Reason string        // shown to operators
	Lost   time.Duration // work that is lost
}

// estimateErrorFactor bounds the error of an estimated run time, in both directions.
const estimateErrorFactor = 1.5

// moveBenefitFactor is the minimum ratio of a task's remaining run time, or of an urgent task's slack,
// to the cost of moving it, for a move that no deadline requires.
const moveBenefitFactor = 2

// deadline compares a task with the time by which its machine must be empty.
type deadline struct {
	timeLeft    *time.Duration // until the deadline; nil: no deadline
	atRisk      bool           // the task might not end in time
	mustStopNow bool           // at risk, and later there is no time to save a checkpoint
	expired     bool           // no time is left, regardless of the estimate
}

func newDeadline(t Task, timeLeft *time.Duration, margin time.Duration) deadline {
	d := deadline{timeLeft: timeLeft}
	if timeLeft == nil {
		return d
	}
	d.atRisk = t.Service || time.Duration(float64(t.Remaining)*estimateErrorFactor) > *timeLeft
	d.mustStopNow = d.atRisk && *timeLeft <= t.SaveDuration+margin
	d.expired = *timeLeft <= margin
	return d
}

// cannotFinish reports whether a task misses the deadline even if the estimate is too long by
// estimateErrorFactor. There must be a deadline.
func (d deadline) cannotFinish(t Task) bool {
	return time.Duration(float64(t.Remaining)/estimateErrorFactor) > *d.timeLeft
}

// Decide returns what to do with a task. timeLeft is the time until the machine must be empty, nil
// without a deadline; margin is how long before it a command must be sent (a heartbeat interval).
// The rules in order of precedence: completed work is lost only if the deadline requires it; a task
// that is nearly done, or urgent with little slack, keeps running where it is if the deadline is not
// at risk; a task that can save a checkpoint moves.
func Decide(t Task, timeLeft *time.Duration, margin time.Duration) Decision {
	d := newDeadline(t, timeLeft, margin)
	switch {
	case t.Stopping:
		return Decision{Action: Move, Reason: "is being stopped"}
	case d.expired:
		return decideExpired(t)
	case t.Place == NotPermitted && !d.mustStopNow:
		if timeLeft == nil && !t.Service {
			return Decision{Action: Finish, Reason: "no other machine may take it"}
		}
		return Decision{Action: Blocked, Reason: "no other machine may take it, nor one that could be rented"}
	case t.Service:
		return decideReplica(t, d)
	case t.WaitingForGang && !d.atRisk:
		return Decision{Action: Wait, Reason: "for its gang"}
	case !t.Running && !d.mustStopNow:
		return decideNotRunning(t)
	case d.atRisk:
		return decideAtRisk(t, d)
	}
	return decideRunning(t)
}

// decideNotRunning decides about a task that has not started: a move loses only its image fetch.
func decideNotRunning(t Task) Decision {
	switch {
	case t.Remaining <= t.RestartDuration:
		return Decision{Action: Finish, Reason: "ends sooner than it would start elsewhere"}
	case t.Place == HasRoom:
		return Decision{Action: Move, Reason: "has not begun"}
	}
	return Decision{Action: Wait, Reason: "for room elsewhere"}
}

// decideAtRisk decides about a task that might not end in time.
func decideAtRisk(t Task, d deadline) Decision {
	switch {
	case t.CanSave && (d.mustStopNow || t.Place == HasRoom):
		return Decision{Action: Move, Reason: "saves; would not end in time"}
	case t.CanSave:
		return Decision{Action: Wait, Reason: "for room elsewhere, until it must save"}
	case d.mustStopNow, t.Place == HasRoom && d.cannotFinish(t):
		// The task's work is lost in any case; stopping it now lets it start elsewhere sooner.
		return Decision{Action: Restart, Reason: "cannot save and would not end in time", Lost: t.Ran}
	}
	return Decision{Action: Finish, Reason: "may just end in time"}
}

// decideRunning decides about a running task that is not at risk.
func decideRunning(t Task) Decision {
	cost := t.SaveDuration + t.RestartDuration
	switch {
	case !t.CanSave:
		return Decision{Action: Finish, Reason: "cannot save"}
	case t.Remaining <= moveBenefitFactor*cost:
		return Decision{Action: Finish, Reason: "is nearly done"}
	case t.Urgent && t.Slack != nil && *t.Slack < moveBenefitFactor*cost:
		return Decision{Action: Finish, Reason: "is urgent and has little time"}
	case t.Place == HasRoom:
		return Decision{Action: Move, Reason: "saves"}
	}
	return Decision{Action: Wait, Reason: "for room elsewhere"}
}

// decideReplica decides about a replica of a service. The last running replica is kept as long as
// possible.
func decideReplica(t Task, d deadline) Decision {
	switch {
	case d.mustStopNow:
		return decideExpired(t)
	case t.Running && t.OtherReplicas == 0:
		return Decision{Action: Wait, Reason: "for another replica to run"}
	case t.Place == HasRoom:
		return Decision{Action: Move, Reason: "another replica runs"}
	}
	return Decision{Action: Wait, Reason: "for room elsewhere"}
}

// decideExpired decides about a task on a machine whose deadline has expired, or about a replica
// that must stop now.
func decideExpired(t Task) Decision {
	const reason = "the time is over"
	switch {
	case t.CanSave:
		return Decision{Action: Move, Reason: reason + "; saves"}
	case t.Running && !t.Service && t.Ran > 0:
		return Decision{Action: Restart, Reason: reason, Lost: t.Ran}
	}
	return Decision{Action: Move, Reason: reason}
}
