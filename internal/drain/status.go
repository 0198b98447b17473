package drain

import "slices"

// Phases of a drain.
const (
	PhaseWaiting     = "waiting"  // for its window
	PhaseDraining    = "draining" // a cordon stays in this phase while it is in force
	PhaseDrained     = "drained"  // every selected machine is empty or returned
	PhaseUpgrading   = "upgrading"
	PhaseRollingBack = "rolling back"
	PhaseDone        = "done"        // every machine has the target version
	PhaseRolledBack  = "rolled back" // every machine has the earlier version again, or none is known
	PhaseStopped     = "stopped"     // by an operator
)

// Summary counts tasks by outcome, planned or actual.
type Summary struct {
	Machines    int     `json:"machines"`
	Finish      int     `json:"finish"` // number of tasks by action, from here to Blocked
	Move        int     `json:"move"`
	Restart     int     `json:"lose"`
	Wait        int     `json:"wait,omitempty"`
	Blocked     int     `json:"blocked,omitempty"`
	LostS       float64 `json:"lost_s"`             // lost work, in seconds of run time
	MachineLost int     `json:"vanished,omitempty"` // tasks whose machine was lost during the drain
	EmptyS      float64 `json:"empty_s,omitempty"`  // time until all machines were empty; of a plan, estimated
}

// add counts a decision.
func (s *Summary) add(d Decision) {
	switch d.Action {
	case Finish:
		s.Finish++
	case Move:
		s.Move++
	case Restart:
		s.Restart++
	case Wait:
		s.Wait++
	case Blocked:
		s.Blocked++
	}
	s.LostS += d.Lost.Seconds()
}

// State is the state of a drain as the leader stores it.
type State struct {
	Phase        string   `json:"phase"`
	Rollout      *Rollout `json:"roll,omitempty"`    // upgrade only
	OutOfService []string `json:"in_hand,omitempty"` // upgrade only: machines out of service
	MachinesLeft int      `json:"left"`              // machines that are not empty, or lack the target version
	Blocked      string   `json:"blocked,omitempty"` // upgrade only: why a machine is not taken out of service; "": none is held back
	Plan         Summary  `json:"plan"`              // estimate at the start of the drain
	Actual       Summary  `json:"seen"`              // outcome so far
	BeganMS      int64    `json:"began_ms,omitempty"`
	EndedMS      int64    `json:"ended_ms,omitempty"`
	Term         uint64   `json:"term,omitempty"` // of the leader that stored the state
}

// Closed reports whether the drain is stopped or, of an upgrade, done or rolled back. PhaseDrained
// is not final: the drain stays in force.
func (s *State) Closed() bool {
	return s.Phase == PhaseDone || s.Phase == PhaseRolledBack || s.Phase == PhaseStopped
}

// EqualIgnoringTerm reports whether two states are equal except for the term. A change of the term
// alone needs no write, because operators do not see the term.
func (s *State) EqualIgnoringTerm(other *State) bool {
	return s.Phase == other.Phase && s.rolloutOrZero() == other.rolloutOrZero() &&
		slices.Equal(s.OutOfService, other.OutOfService) && s.MachinesLeft == other.MachinesLeft && s.Blocked == other.Blocked &&
		s.Plan == other.Plan && s.Actual == other.Actual && s.BeganMS == other.BeganMS && s.EndedMS == other.EndedMS
}

// rolloutOrZero returns the rollout, or the zero value if there is none.
func (s *State) rolloutOrZero() Rollout {
	if s.Rollout == nil {
		return Rollout{}
	}
	return *s.Rollout
}

// TaskPlan is the planned outcome of one task. Times are estimates, in seconds.
type TaskPlan struct {
	Task         string  `json:"task"`
	Class        string  `json:"class"`
	Action       Action  `json:"action"`
	Reason       string  `json:"why"`
	LeavesAfterS float64 `json:"until_s"` // until the task has left; its remaining run time unless it moves or restarts
	LostS        float64 `json:"lost_s,omitempty"`
	LateS        float64 `json:"late_s,omitempty"` // how late its job becomes because of the drain
}

// MachinePlan is the planned outcome of one machine's tasks.
type MachinePlan struct {
	Machine      string     `json:"machine"`
	Zone         string     `json:"zone"`
	EmptyS       float64    `json:"empty_s"` // estimated time until the machine is empty
	Tasks        []TaskPlan `json:"tasks,omitempty"`
	OmittedTasks int        `json:"others,omitempty"` // number of tasks not listed
}

// ClassPlan is the planned outcome for a class of jobs.
type ClassPlan struct {
	Summary
	Late       int `json:"late"`     // jobs that miss, because of the drain, the next target that they can meet
	LateAnyway int `json:"late_now"` // jobs with a task that can meet no target, even without the drain
}

// Plan is the expected effect of a drain that starts now.
type Plan struct {
	Machines     []MachinePlan         `json:"machines"`
	Truncated    bool                  `json:"more,omitempty"` // Machines is incomplete
	Classes      map[string]*ClassPlan `json:"classes"`
	Total        Summary               `json:"all"`
	WindowStarts []string              `json:"windows,omitempty"` // next starts of the window, in its time zone
	Warnings     []string              `json:"warnings,omitempty"`
}

// AddDecision counts the decision about a task of a class.
func (p *Plan) AddDecision(class string, d Decision) {
	if p.Classes[class] == nil {
		p.Classes[class] = &ClassPlan{}
	}
	p.Classes[class].add(d)
	p.Total.add(d)
}
