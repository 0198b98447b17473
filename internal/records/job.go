package records

// Job is an accepted job, as users describe it plus when it was accepted. What users send
// has a type of its own (package client): others build on that one, this one is for
// controllers of several versions, and neither may change for the other's sake.
type Job struct {
	ID          string   `json:"uid" msgpack:"uid"`
	Class       string   `json:"jobclass"`
	Team        string   `json:"owner"`
	Shape       string   `json:"shape"`
	Priority    string   `json:"urgency"`
	Tasks       int      `json:"shots"`
	CPUs        float64  `json:"vcpus"`
	GPUs        float64  `json:"gpus"`
	MemGB       float64  `json:"mem_gb"`
	Image       string   `json:"build"`
	ImageGB     float64  `json:"size_gb"`
	Types       []string `json:"rigs"`
	Zone        *string  `json:"site"`
	OneZone     bool     `json:"one_zone"`
	SpreadZones bool     `json:"apart"`
	Spot        bool     `json:"loaners"`
	EstimateS   float64  `json:"guess_s"`
	CheckpointS float64  `json:"snapshot_s"`
	SaveS       float64  `json:"flush_s"`
	DeadlineS   *float64 `json:"due_s"`
	AcceptedMS  int64    `json:"accepted_ms"` // time of day, within the settings' bound
	// Dependencies names the jobs that have to be done before any task of this one
	// starts. Versions without it wrote records without it: none.
	Dependencies []string `json:"prereqs,omitempty"`
}

// Shapes of jobs.
const (
	ShapeArray   = "batch"
	ShapeGang    = "group"
	ShapeService = "service"
)

// States of jobs.
const (
	StatusPending   = "pending"
	StatusRunning   = "running"
	StatusDone      = "done"
	StatusCancelled = "cancelled"
)

// Priorities of jobs.
const (
	PriorityCritical = "critical"
	PriorityUrgent   = "urgent"
	PriorityStandard = "standard"
	PriorityLow      = "low"
)

// ClosedJob is the final state of a job. What is omitted was not written by earlier
// versions: a reader must do without it.
type ClosedJob struct {
	Status  string `json:"status"`
	Tasks   int    `json:"shots"`
	AtMS    int64  `json:"at_ms,omitempty"`   // time of day when the job closed
	Service bool   `json:"service,omitempty"` // no job may depend on it
}
