package records

// Job is an accepted job: the user's description plus the time of acceptance. The public API has a
// separate type (package client), so that the API and the stored form can change independently;
// controllers of several versions read the stored form.
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
	AcceptedMS  int64    `json:"accepted_ms"` // wall-clock time in ms, accurate to the configured maximum clock error
	// Dependencies names the jobs that must be done before any task of this one starts. Records
	// of versions without dependencies lack the field.
	Dependencies []string `json:"prereqs,omitempty"`
}

// Shapes of jobs.
const (
	ShapeArray   = "batch"
	ShapeGang    = "group"
	ShapeService = "service"
)

// Statuses of jobs.
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

// ClosedJob is the final state of a job. Earlier versions do not write the fields marked
// omitempty; a reader must not depend on them.
type ClosedJob struct {
	Status  string `json:"status"`
	Tasks   int    `json:"shots"`
	AtMS    int64  `json:"at_ms,omitempty"`   // wall-clock time in ms when the job closed
	Service bool   `json:"service,omitempty"` // the job is a service: no job may depend on it
}
