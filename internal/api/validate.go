package api

import (
	"errors"
	"fmt"
	"slices"

	"drumpick/internal/config"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"
)

// submissionFields is a job as users send it. Pointers distinguish a missing field from a zero value.
type submissionFields struct {
	ID          *string  `json:"uid"`
	Class       *string  `json:"jobclass"`
	Team        *string  `json:"owner"`
	Shape       *string  `json:"shape"`
	Priority    *string  `json:"urgency"`
	Tasks       *int     `json:"shots"`
	CPUs        *float64 `json:"vcpus"`
	GPUs        *float64 `json:"gpus"`
	MemGB       *float64 `json:"mem_gb"`
	Image       *string  `json:"build"`
	ImageGB     *float64 `json:"size_gb"`
	Types       []string `json:"rigs"`
	Zone        *string  `json:"site"`
	OneZone     *bool    `json:"one_zone"`
	Apart       *bool    `json:"apart"`
	Spot        *bool    `json:"loaners"`
	EstimateS   *float64 `json:"guess_s"`
	CheckpointS *float64 `json:"snapshot_s"`
	SaveS       *float64 `json:"flush_s"`
	DeadlineS   *float64 `json:"due_s"`

	Dependencies jsoncodec.RawMessage `json:"prereqs"`
}

// submission is a well-formed job as submitted.
type submission struct {
	job records.Job
	// dependencyError is what is wrong with the list of dependencies, "" if nothing. Unlike the errors
	// of parseSubmission, it matters only if the job was not accepted earlier.
	dependencyError string
}

// Limits of what a submission may contain.
const (
	maxTasks     = 100_000
	maxTextBytes = 200 // length of any text field
	maxTypes     = 256 // machine types in the list of allowed ones
	maxAmount    = 1e9 // any amount, in the unit of its field
)

var (
	shapes     = []string{records.ShapeArray, records.ShapeGang, records.ShapeService}
	priorities = []string{records.PriorityCritical, records.PriorityUrgent, records.PriorityStandard, records.PriorityLow}
)

// parseSubmission decodes a submission and checks its form. An error names the invalid field, unless
// the body is not a JSON object. Invalid dependencies are no error: see submission.dependencyError.
func parseSubmission(body []byte) (submission, error) {
	fields, err := decodeSubmission(body)
	if err != nil {
		return submission{}, err
	}
	var sub submission
	for _, stage := range []func(*submissionFields, *records.Job) error{copyTexts, copyAmounts, copyFlags, checkValues} {
		if err := stage(fields, &sub.job); err != nil {
			return submission{}, err
		}
	}
	sub.job.Tasks, sub.job.Types, sub.job.Zone, sub.job.DeadlineS = *fields.Tasks, fields.Types, fields.Zone, fields.DeadlineS
	sub.job.Dependencies, sub.dependencyError = parseDependencies(fields.Dependencies, sub.job.ID)
	return sub, nil
}

func decodeSubmission(body []byte) (*submissionFields, error) {
	var fields submissionFields
	if err := jsoncodec.Unmarshal(body, &fields); err != nil {
		var typeErr *jsoncodec.TypeError
		if errors.As(err, &typeErr) && typeErr.Field != "" {
			return nil, typeErr
		}
		return nil, errors.New("the body is not a JSON object")
	}
	return &fields, nil
}

func errMissing(field string) error { return errors.New(field + " is missing") }

// requiredField is a field that every submission must have, and the destination of its value.
type requiredField[T any] struct {
	name string
	from *T // nil if the field is missing
	to   *T
}

// copyRequired checks and copies fields, and returns an error for the first that is missing or invalid.
// check returns what is wrong with a value, "" if nothing.
func copyRequired[T any](fields []requiredField[T], check func(T) string) error {
	for _, f := range fields {
		if f.from == nil {
			return errMissing(f.name)
		}
		if problem := check(*f.from); problem != "" {
			return errors.New(f.name + " " + problem)
		}
		*f.to = *f.from
	}
	return nil
}

func copyTexts(fields *submissionFields, job *records.Job) error {
	return copyRequired([]requiredField[string]{
		{"uid", fields.ID, &job.ID},
		{"jobclass", fields.Class, &job.Class},
		{"owner", fields.Team, &job.Team},
		{"shape", fields.Shape, &job.Shape},
		{"urgency", fields.Priority, &job.Priority},
		{"build", fields.Image, &job.Image},
	}, func(text string) string {
		if isEmptyOrLong(text) {
			return "is empty or too long"
		}
		return ""
	})
}

func copyAmounts(fields *submissionFields, job *records.Job) error {
	return copyRequired([]requiredField[float64]{
		{"vcpus", fields.CPUs, &job.CPUs},
		{"gpus", fields.GPUs, &job.GPUs},
		{"mem_gb", fields.MemGB, &job.MemGB},
		{"size_gb", fields.ImageGB, &job.ImageGB},
		{"guess_s", fields.EstimateS, &job.EstimateS},
		{"snapshot_s", fields.CheckpointS, &job.CheckpointS},
		{"flush_s", fields.SaveS, &job.SaveS},
	}, func(amount float64) string {
		if !isAmount(amount) {
			return "is out of range"
		}
		return ""
	})
}

func copyFlags(fields *submissionFields, job *records.Job) error {
	return copyRequired([]requiredField[bool]{
		{"one_zone", fields.OneZone, &job.OneZone},
		{"apart", fields.Apart, &job.SpreadZones},
		{"loaners", fields.Spot, &job.Spot},
	}, func(bool) string { return "" })
}

// checkValues checks the copied texts that allow only certain values, and the fields not copied yet.
func checkValues(fields *submissionFields, job *records.Job) error {
	switch {
	case !records.ValidID(job.ID):
		return errors.New("uid has another form")
	case !slices.Contains(shapes, job.Shape):
		return errors.New("shape is not known")
	case !slices.Contains(priorities, job.Priority):
		return errors.New("urgency is not known")
	case fields.Tasks == nil:
		return errMissing("shots")
	case *fields.Tasks < 1 || *fields.Tasks > maxTasks:
		return errors.New("shots is out of range")
	case fields.Types != nil && (len(fields.Types) == 0 || len(fields.Types) > maxTypes):
		return errors.New("rigs is empty or too long")
	case fields.Zone != nil && isEmptyOrLong(*fields.Zone):
		return errors.New("site is empty or too long")
	case fields.DeadlineS != nil && !isAmount(*fields.DeadlineS):
		return errors.New("due_s is out of range")
	case slices.ContainsFunc(fields.Types, isEmptyOrLong):
		return errors.New("rigs holds a name that is empty or too long")
	}
	return nil
}

func isEmptyOrLong(text string) bool { return text == "" || len(text) > maxTextBytes }

// isAmount reports whether a number is a valid amount; NaN is not.
func isAmount(v float64) bool { return v >= 0 && v <= maxAmount }

// parseDependencies returns the ids in a submission's list of dependencies, without duplicates, or the
// reason why the list is invalid. id is the submitted job's own id.
func parseDependencies(raw jsoncodec.RawMessage, id string) (ids []string, reason string) {
	if len(raw) == 0 || string(raw) == "null" {
		return nil, ""
	}
	var list []any
	if jsoncodec.Unmarshal(raw, &list) != nil {
		return nil, "prereqs is not a list of job ids"
	}
	for _, v := range list {
		dependency, ok := v.(string)
		switch {
		case !ok || !records.ValidID(dependency):
			return nil, fmt.Sprintf("prereqs holds what is no job id: %.100q", fmt.Sprint(v))
		case dependency == id:
			return nil, "prereqs names the job itself: " + dependency
		case !slices.Contains(ids, dependency):
			ids = append(ids, dependency)
		}
	}
	return ids, ""
}

// tolerance allows for rounding errors when CPUs, GPUs and memory are compared.
const tolerance = 1e-9

// infeasibleReason returns why a job can never run, "" if it can run.
func infeasibleReason(job *records.Job, teams []config.Team, types []records.MachineType) string {
	i := slices.IndexFunc(teams, func(t config.Team) bool { return t.Name == job.Team })
	if i < 0 {
		return "unknown team"
	}
	if exceedsLimit(job, teams[i]) {
		return "needs more than the team's limit"
	}
	if !slices.ContainsFunc(types, func(t records.MachineType) bool { return allows(job, t) && fits(job, t) }) {
		return "a task fits no allowed machine type"
	}
	return ""
}

// exceedsLimit reports whether a job needs more CPUs or GPUs at once than its team's limits: for one
// task of a job array, for all tasks of any other job.
func exceedsLimit(job *records.Job, team config.Team) bool {
	concurrent := 1.0
	if job.Shape != records.ShapeArray {
		concurrent = float64(job.Tasks)
	}
	return team.LimitCPUs > 0 && concurrent*job.CPUs > team.LimitCPUs+tolerance ||
		team.LimitGPUs > 0 && concurrent*job.GPUs > team.LimitGPUs+tolerance
}

// allows reports whether a job may use machines of a type, by its lists of machine types and its zone.
func allows(job *records.Job, t records.MachineType) bool {
	return (job.Types == nil || slices.Contains(job.Types, t.Name)) &&
		(job.Zone == nil || slices.Contains(t.Zones, *job.Zone))
}

// fits reports whether one task fits an empty machine of a type.
func fits(job *records.Job, t records.MachineType) bool {
	return job.CPUs <= t.CPUs+tolerance && job.GPUs <= t.GPUs+tolerance && job.MemGB <= t.MemGB+tolerance
}

// tooLargeReason returns why a job's record is too large to be stored, "" if it is not: the record must
// not exceed the lower of the store's current and upcoming limits on the size of a value.
func (s *Server) tooLargeReason(job *records.Job) string {
	limit := int(s.cfg.Deployment.Store.Lowest().ValueKB * 1024)
	if limit == 0 {
		return ""
	}
	size := records.EncodedSize(job)
	switch {
	case size <= limit:
		return ""
	case len(job.Dependencies) > 0:
		return fmt.Sprintf("the job's description with %d prereqs takes %d bytes, of %d at the most", len(job.Dependencies), size, limit)
	default:
		return fmt.Sprintf("the job's description takes %d bytes, of %d at the most", size, limit)
	}
}
