package drain

import "slices"

// Phases of a drain.
const (
	PhaseWaiting     = "waiting" // for its window
	PhaseDraining    = "draining"
	PhaseDrained     = "drained" // every machine that it selects is empty, or returned
	PhaseUpgrading   = "upgrading"
	PhaseRollingBack = "rolling back"
	PhaseDone        = "done"        // every machine has the target version
	PhaseRolledBack  = "rolled back" // every machine has the earlier version again
	PhaseStopped     = "stopped"     // by an operator
)

// Summary counts what becomes of tasks, as it is planned or as it happened.
type Summary struct {
	Machines    int     `json:"machines"`
	Finish      int     `json:"finish"` // tasks by action, here and below
	Move        int     `json:"move"`
	Restart     int     `json:"lose"` // those with action Restart
	Wait        int     `json:"wait,omitempty"`
	Blocked     int     `json:"blocked,omitempty"`
	LostS       float64 `json:"lost_s"`             // work thrown away
	MachineLost int     `json:"vanished,omitempty"` // tasks whose machine was lost during the drain
	EmptyS      float64 `json:"empty_s,omitempty"`  // until all machines were empty; of a plan, estimated
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

// State is the state of a drain, as its leader stores it.
type State struct {
	Phase        string   `json:"phase"`
	Rollout      *Rollout `json:"roll,omitempty"`    // of an upgrade
	OutOfService []string `json:"in_hand,omitempty"` // machines of an upgrade that are out of service
	MachinesLeft int      `json:"left"`              // machines that are not empty, or lack the version
	Blocked      string   `json:"blocked,omitempty"` // why it does not go on; "" where it does
	Plan         Summary  `json:"plan"`              // as it was when the drain began
	Actual       Summary  `json:"seen"`              // what happened
	BeganMS      int64    `json:"began_ms,omitempty"`
	EndedMS      int64    `json:"ended_ms,omitempty"`
	Term         uint64   `json:"term,omitempty"` // of the leader that stored it
}

// Closed reports whether nothing more is to be done.
func (s *State) Closed() bool {
	return s.Phase == PhaseDone || s.Phase == PhaseRolledBack || s.Phase == PhaseStopped
}

// EqualIgnoringTerm reports whether two states look the same to operators, who do not see the term.
func (s *State) EqualIgnoringTerm(other *State) bool {
	return s.Phase == other.Phase && s.rolloutOrZero() == other.rolloutOrZero() &&
		slices.Equal(s.OutOfService, other.OutOfService) && s.MachinesLeft == other.MachinesLeft && s.Blocked == other.Blocked &&
		s.Plan == other.Plan && s.Actual == other.Actual && s.BeganMS == other.BeganMS && s.EndedMS == other.EndedMS
}

// rolloutOrZero returns the rollout, or the zero one where there is none.
func (s *State) rolloutOrZero() Rollout {
	if s.Rollout == nil {
		return Rollout{}
	}
	return *s.Rollout
}

// TaskPlan is what becomes of one task. Estimated times count from now.
type TaskPlan struct {
	Task         string  `json:"task"`
	Class        string  `json:"class"`
	Action       Action  `json:"action"`
	Reason       string  `json:"why"`
	LeavesAfterS float64 `json:"until_s"` // when it is off the machine, estimated
	LostS        float64 `json:"lost_s,omitempty"`
	LateS        float64 `json:"late_s,omitempty"` // by how much its job misses its deadline because of the drain
}

// MachinePlan is what becomes of one machine's tasks.
type MachinePlan struct {
	Machine      string     `json:"machine"`
	Zone         string     `json:"zone"`
	EmptyS       float64    `json:"empty_s"` // until it is empty, estimated
	Tasks        []TaskPlan `json:"tasks,omitempty"`
	OmittedTasks int        `json:"others,omitempty"` // tasks that are not listed
}

// ClassPlan is what a drain does to a class of jobs.
type ClassPlan struct {
	Summary
	Late       int `json:"late"`     // jobs that miss their deadline because of it
	LateAnyway int `json:"late_now"` // jobs that miss it in any case
}

// Plan is what a drain would do, were it started now.
type Plan struct {
	Machines     []MachinePlan         `json:"machines"`
	Truncated    bool                  `json:"more,omitempty"` // there are more machines than these
	Classes      map[string]*ClassPlan `json:"classes"`
	Total        Summary               `json:"all"`
	WindowStarts []string              `json:"windows,omitempty"` // its next starts, in the window's time zone
	Warnings     []string              `json:"warnings,omitempty"`
}

// AddDecision adds a task's decision to the plan's sums.
func (p *Plan) AddDecision(class string, d Decision) {
	if p.Classes[class] == nil {
		p.Classes[class] = &ClassPlan{}
	}
	p.Classes[class].add(d)
	p.Total.add(d)
}
