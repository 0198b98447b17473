package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"

	"drumpick/internal/config"
	"drumpick/internal/records"
)

// submission is a job as users send it. Pointers tell a missing field from a
// zero one.
type submission struct {
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

	Prereqs json.RawMessage `json:"prereqs"`
}

// Bounds of what a submission may say.
const (
	mostTasks  = 100_000
	mostText   = 200
	mostTypes  = 256
	mostAmount = 1e9
)

// parse reads and checks a submission; every error is a 400. What is wrong with the
// jobs that it names is a 422, and decided only where the job is not known yet.
func parse(body []byte) (j records.Job, why string, err error) {
	var s submission
	if j, err = parseJob(body, &s); err == nil {
		j.Dependencies, why = needs(s.Prereqs, j.ID)
	}
	return j, why, err
}

func parseJob(body []byte, s *submission) (records.Job, error) {
	var j records.Job
	if err := json.Unmarshal(body, s); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) && wrong.Field != "" {
			return j, errors.New(wrong.Field + " has the wrong type or is out of range")
		}
		return j, errors.New("the body is not a JSON object")
	}
	texts := []struct {
		name string
		v    *string
		to   *string
	}{
		{"uid", s.ID, &j.ID}, {"jobclass", s.Class, &j.Class}, {"owner", s.Team, &j.Team},
		{"shape", s.Shape, &j.Shape}, {"urgency", s.Priority, &j.Priority}, {"build", s.Image, &j.Image},
	}
	for _, f := range texts {
		if f.v == nil {
			return j, errors.New(f.name + " is missing")
		}
		if len(*f.v) == 0 || len(*f.v) > mostText {
			return j, errors.New(f.name + " is empty or too long")
		}
		*f.to = *f.v
	}
	amounts := []struct {
		name string
		v    *float64
		to   *float64
	}{
		{"vcpus", s.CPUs, &j.CPUs}, {"gpus", s.GPUs, &j.GPUs}, {"mem_gb", s.MemGB, &j.MemGB},
		{"size_gb", s.ImageGB, &j.ImageGB}, {"guess_s", s.EstimateS, &j.EstimateS},
		{"snapshot_s", s.CheckpointS, &j.CheckpointS}, {"flush_s", s.SaveS, &j.SaveS},
	}
	for _, f := range amounts {
		if f.v == nil {
			return j, errors.New(f.name + " is missing")
		}
		if !(*f.v >= 0 && *f.v <= mostAmount) {
			return j, errors.New(f.name + " is out of range")
		}
		*f.to = *f.v
	}
	flags := []struct {
		name string
		v    *bool
		to   *bool
	}{{"one_zone", s.OneZone, &j.OneZone}, {"apart", s.Apart, &j.SpreadZones}, {"loaners", s.Spot, &j.Spot}}
	for _, f := range flags {
		if f.v == nil {
			return j, errors.New(f.name + " is missing")
		}
		*f.to = *f.v
	}
	switch {
	case !records.ValidID(j.ID):
		return j, errors.New("uid has another form")
	case !slices.Contains([]string{records.ShapeArray, records.ShapeGang, records.ShapeService}, j.Shape):
		return j, errors.New("shape is not known")
	case !slices.Contains([]string{records.PriorityCritical, records.PriorityUrgent, records.PriorityStandard, records.PriorityLow}, j.Priority):
		return j, errors.New("urgency is not known")
	case s.Tasks == nil:
		return j, errors.New("shots is missing")
	case *s.Tasks < 1 || *s.Tasks > mostTasks:
		return j, errors.New("shots is out of range")
	case s.Types != nil && (len(s.Types) == 0 || len(s.Types) > mostTypes):
		return j, errors.New("rigs is empty or too long")
	case s.Zone != nil && (*s.Zone == "" || len(*s.Zone) > mostText):
		return j, errors.New("site is empty or too long")
	case s.DeadlineS != nil && !(*s.DeadlineS >= 0 && *s.DeadlineS <= mostAmount):
		return j, errors.New("due_s is out of range")
	}
	for _, t := range s.Types {
		if t == "" || len(t) > mostText {
			return j, errors.New("rigs holds a name that is empty or too long")
		}
	}
	j.Tasks, j.Types, j.Zone, j.DeadlineS = *s.Tasks, s.Types, s.Zone, s.DeadlineS
	return j, nil
}

// needs reads the jobs that a submission names; why says what is wrong with the list.
func needs(raw json.RawMessage, id string) (ids []string, why string) {
	if len(raw) == 0 || string(raw) == "null" {
		return nil, ""
	}
	var list []any
	if json.Unmarshal(raw, &list) != nil {
		return nil, "prereqs is not a list of job ids"
	}
	for _, v := range list {
		s, ok := v.(string)
		switch {
		case !ok || !records.ValidID(s):
			return nil, fmt.Sprintf("prereqs holds what is no job id: %.100q", fmt.Sprint(v))
		case s == id:
			return nil, "prereqs names the job itself: " + s
		case !slices.Contains(ids, s):
			ids = append(ids, s)
		}
	}
	return ids, ""
}

// impossible says why a job can never run, "" when it can.
func impossible(j *records.Job, teams []config.Team, types []records.MachineType) string {
	i := slices.IndexFunc(teams, func(t config.Team) bool { return t.Name == j.Team })
	if i < 0 {
		return "unknown team"
	}
	n := 1.0
	if j.Shape != records.ShapeArray {
		n = float64(j.Tasks)
	}
	t := teams[i]
	if t.LimitCPUs > 0 && n*j.CPUs > t.LimitCPUs+1e-9 || t.LimitGPUs > 0 && n*j.GPUs > t.LimitGPUs+1e-9 {
		return "needs more than the team's limit"
	}
	for _, mt := range types {
		if j.Types != nil && !slices.Contains(j.Types, mt.Name) {
			continue
		}
		if j.Zone != nil && !slices.Contains(mt.Zones, *j.Zone) {
			continue
		}
		if j.CPUs <= mt.CPUs+1e-9 && j.GPUs <= mt.GPUs+1e-9 && j.MemGB <= mt.MemGB+1e-9 {
			return ""
		}
	}
	return "a task fits no allowed machine type"
}

// retryAfter is what users are told when a request cannot be taken now: the
// shortest pause that they keep.
func retryAfter(pause float64) string {
	return fmt.Sprint(int(math.Ceil(max(pause, 1))))
}
