package drain

import "slices"

// Phases of a drain.
const (
	Waiting     = "waiting" // for its window
	Draining    = "draining"
	Drained     = "drained" // every machine it means is empty, or given back
	Upgrading   = "upgrading"
	RollingBack = "rolling back"
	Done        = "done" // every machine has the wanted version
	RolledBack  = "rolled back"
	Stopped     = "stopped"
)

// Summary counts what becomes of tasks, planned or seen.
type Summary struct {
	Machines int     `json:"machines"`
	Finish   int     `json:"finish"`
	Move     int     `json:"move"`
	Lose     int     `json:"lose"`
	Wait     int     `json:"wait,omitempty"`
	Blocked  int     `json:"blocked,omitempty"`
	LostS    float64 `json:"lost_s"`             // work thrown away
	Vanished int     `json:"vanished,omitempty"` // tasks whose machine was gone in the middle of it
	EmptyS   float64 `json:"empty_s,omitempty"`  // until all were empty; of a plan, as far as can be guessed
}

// add counts a decision.
func (s *Summary) add(d Decision) {
	switch d.Action {
	case Finish:
		s.Finish++
	case Move:
		s.Move++
	case Restart:
		s.Lose++
	case Wait:
		s.Wait++
	case Blocked:
		s.Blocked++
	}
	s.LostS += d.Lost.Seconds()
}

// State is how a drain stands, as its leader stores it.
type State struct {
	Phase        string   `json:"phase"`
	Rollout      *Rollout `json:"roll,omitempty"`
	OutOfService []string `json:"in_hand,omitempty"` // machines of an upgrade that are out of service
	Left         int      `json:"left"`              // machines that are not empty, or lack the version
	Blocked      string   `json:"blocked,omitempty"`
	Plan         Summary  `json:"plan"` // as it was when the drain began
	Actual       Summary  `json:"seen"` // what happened
	BeganMS      int64    `json:"began_ms,omitempty"`
	EndedMS      int64    `json:"ended_ms,omitempty"`
	Term         uint64   `json:"term,omitempty"`
}

// Closed says whether nothing more is to be done.
func (s *State) Closed() bool { return s.Phase == Done || s.Phase == RolledBack || s.Phase == Stopped }

// Same says whether two states tell people the same.
func (s *State) Same(o *State) bool {
	a, b := *s, *o
	ra, rb := Rollout{}, Rollout{}
	if a.Rollout != nil {
		ra = *a.Rollout
	}
	if b.Rollout != nil {
		rb = *b.Rollout
	}
	return a.Phase == b.Phase && ra == rb && slices.Equal(a.OutOfService, b.OutOfService) && a.Left == b.Left && a.Blocked == b.Blocked &&
		a.Plan == b.Plan && a.Actual == b.Actual && a.BeganMS == b.BeganMS && a.EndedMS == b.EndedMS
}

// TaskPlan is what becomes of one task.
type TaskPlan struct {
	Task   string  `json:"task"`
	Class  string  `json:"class"`
	Action Action  `json:"action"`
	Reason string  `json:"why"`
	UntilS float64 `json:"until_s"` // when it is off the machine, as far as can be guessed
	LostS  float64 `json:"lost_s,omitempty"`
	LateS  float64 `json:"late_s,omitempty"` // by how much its job gets later than it should, through this
}

// MachinePlan is what becomes of one machine's tasks.
type MachinePlan struct {
	Machine string     `json:"machine"`
	Zone    string     `json:"zone"`
	EmptyS  float64    `json:"empty_s"`
	Tasks   []TaskPlan `json:"tasks,omitempty"`
	Others  int        `json:"others,omitempty"` // tasks that are not listed
}

// ClassPlan is what a drain does to a class of jobs.
type ClassPlan struct {
	Summary
	Late    int `json:"late"`     // jobs that miss what is due through it
	LateNow int `json:"late_now"` // jobs that miss it in any case
}

// Plan is what a drain would do, were it started now.
type Plan struct {
	Machines []MachinePlan         `json:"machines"`
	More     bool                  `json:"more,omitempty"` // others behind these
	Classes  map[string]*ClassPlan `json:"classes"`
	All      Summary               `json:"all"`
	Windows  []string              `json:"windows,omitempty"` // its next ones
	Warnings []string              `json:"warnings,omitempty"`
}

// Count adds a task's decision to the plan's sums.
func (p *Plan) Count(class string, d Decision) {
	if p.Classes[class] == nil {
		p.Classes[class] = &ClassPlan{}
	}
	p.Classes[class].add(d)
	p.All.add(d)
}
