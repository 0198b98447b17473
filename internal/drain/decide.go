package drain

import "time"

// Task is what a decision about a task on a machine depends on.
type Task struct {
	Running        bool // it makes progress; otherwise its image is being fetched, or it waits for its gang
	WaitingForGang bool // for its gang
	Stopping       bool // it was requested to stop already
	Gang           bool // it moves together with its gang only
	Service        bool // it is a replica of a service
	Urgent         bool // its priority is urgent or critical

	Remaining       time.Duration  // estimated, until it would end here; 0 for a replica
	Ran             time.Duration  // work that is lost if it is stopped without saving
	CanSave         bool           // it can save a checkpoint
	SaveDuration    time.Duration  // how long that takes
	RestartDuration time.Duration  // from its end here to its start elsewhere, where there is room
	Slack           *time.Duration // until its job would be late; nil: it has no deadline

	OtherReplicas int   // of a replica: others that run on machines not being drained
	Place         Place // where else it could run
}

// Place is whether a task could run elsewhere; a task of a gang only together with its gang.
type Place int

// Places.
const (
	NotPermitted Place = iota // no other machine may take it, nor one that could be requested
	NoRoom                    // none has room now
	HasRoom                   // another machine has room
)

// Action is what becomes of a task on a machine that is being drained. Its text is shown to operators.
type Action string

// Actions.
const (
	Finish  Action = "finishes"              // it ends where it is
	Move    Action = "moves"                 // it is stopped now, saving where it can, and goes on elsewhere
	Wait    Action = "waits"                 // for its gang, for room elsewhere, or for another replica
	Restart Action = "begins anew elsewhere" // it is stopped now, and its work is lost
	Blocked Action = "blocked"               // it may run nowhere else
)

// Decision is an action with its reason.
type Decision struct {
	Action Action
	Reason string        // for operators
	Lost   time.Duration // work that is thrown away
}

// estimateErrorFactor is how many times as long as estimated a task may still run.
const estimateErrorFactor = 1.5

// moveBenefitFactor is how many times what a move costs a task must still have to run, to be moved
// where no time limit demands it.
const moveBenefitFactor = 2

// deadline is how a task compares to the time at which its machine must be empty.
type deadline struct {
	timeLeft    *time.Duration // until that time; nil: there is none
	atRisk      bool           // the task might not end in time
	mustStopNow bool           // it might not, and would not have time to save later
	expired     bool           // there is no time left, whatever the estimate was
}

func newDeadline(t Task, left *time.Duration, margin time.Duration) deadline {
	d := deadline{timeLeft: left}
	if left == nil {
		return d
	}
	d.atRisk = t.Service || time.Duration(float64(t.Remaining)*estimateErrorFactor) > *left
	d.mustStopNow = d.atRisk && *left <= t.SaveDuration+margin
	d.expired = *left <= margin
	return d
}

// cannotFinish reports whether a task does not end in time by any estimate.
func (d deadline) cannotFinish(t Task) bool {
	return time.Duration(float64(t.Remaining)/estimateErrorFactor) > *d.timeLeft
}

// Decide decides what becomes of a task. left is how long the machine has until it must be
// empty, nil without such a time; margin is how long before that a command must be sent (a heartbeat
// interval). The order of the rules is: work that has been done is thrown away only where the time
// demands it; an urgent task with little slack goes on where it is; a task that can save moves.
func Decide(t Task, left *time.Duration, margin time.Duration) Decision {
	d := newDeadline(t, left, margin)
	switch {
	case t.Stopping:
		return Decision{Action: Move, Reason: "is being stopped"}
	case d.expired:
		return decideExpired(t)
	case t.Place == NotPermitted && !d.mustStopNow:
		if left == nil && !t.Service {
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

// decideNotRunning decides about a task that loses nothing but the fetch of its image.
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
		// What it has done is lost either way, and stopped now it starts elsewhere now.
		return Decision{Action: Restart, Reason: "cannot save and would not end in time", Lost: t.Ran}
	}
	return Decision{Action: Finish, Reason: "may just end in time"}
}

// decideRunning decides about a running task that is not pressed for time.
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

// decideReplica decides about a replica of a service, the last of which is kept as long as possible.
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

// decideExpired decides about a task whose machine has no time left.
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
