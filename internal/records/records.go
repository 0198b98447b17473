package records

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Keys. Open and over jobs live under different prefixes so that a takeover
// reads only what is still to be done, while final states are kept for good.
const (
	KeyLeader      = "leader"
	PrefixOpen     = "jobs/open/"
	PrefixClosed   = "jobs/over/"
	PrefixDone     = "done/"
	PrefixMachines = "machines/"
	// From which task on none of a job was ever sent (package frontier). Versions that
	// keep no marks leave it alone.
	PrefixWatermarks = "sent/"
	// KeyWatermarksComplete is when the last leader's marks were last whole.
	KeyWatermarksComplete = "whole"
	KeyTypes              = "types"
	// What operators asked for, and how it stands. Versions that know of no drains leave
	// both alone.
	PrefixDrains     = "drains/"
	PrefixDrainState = "drainstate/"
	// KeyDrainSequence is written along with each new drain: of two that were planned beside
	// the same others only one is stored.
	KeyDrainSequence = "drainturn"
)

// Leader is the value of the leader key.
type Leader struct {
	Node        string `json:"node"`
	Incarnation string `json:"start"` // id of the process's own start
	// Marks says that it keeps marks of what it sends (package frontier).
	Watermarks bool `json:"marks,omitempty"`
}

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
	// Prereqs names the jobs that have to be done before any task of this one
	// starts. Versions without it wrote records without it: none.
	Dependencies []string `json:"prereqs,omitempty"`
}

// Shapes, priorities and states of jobs, in the protocol's words.
const (
	ShapeArray   = "batch"
	ShapeGang    = "group"
	ShapeService = "service"

	StatusPending   = "pending"
	StatusRunning   = "running"
	StatusDone      = "done"
	StatusCancelled = "cancelled"

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
	AtMS    int64  `json:"at_ms,omitempty"`   // time of day when it was done
	Service bool   `json:"service,omitempty"` // no job may wait for it
}

// Machine is a machine that may hold tasks. Many share a value, by name (Shelf).
type Machine struct {
	Addr        string `json:"addr"`
	Type        string `json:"rig"`
	Zone        string `json:"site"`
	Spot        bool   `json:"loaners"`
	Incarnation uint64 `json:"stint"`
}

// MachineType is what the cloud offers.
type MachineType struct {
	Name      string   `json:"label"`
	CPUs      float64  `json:"vcpus"`
	GPUs      float64  `json:"gpus"`
	MemGB     float64  `json:"mem_gb"`
	CacheGB   float64  `json:"local_gb"`
	FetchGBps float64  `json:"pull_gb_per_s"`
	Price     float64  `json:"hourly"`
	SpotPrice float64  `json:"low_price"`
	StartupS  float64  `json:"startup_s"`
	Zones     []string `json:"sites"`
}

// MachineTypes is the last known list of machine types.
type MachineTypes struct {
	Types []MachineType `json:"rigs"`
}

// EncodedSize is how many bytes a value takes.
func EncodedSize(v any) int {
	raw, err := json.Marshal(v)
	if err != nil {
		return math.MaxInt
	}
	return len(raw)
}

// OpenKey names the record of a job that is open.
func OpenKey(id string) string { return PrefixOpen + id }

// ClosedKey names the record of a job that is over.
func ClosedKey(id string) string { return PrefixClosed + id }

// PartID names what is kept of a chunk of a job's finished tasks. Many such records share
// a value (Shelf). Zeros before the chunk's number change nothing for a reader, of any
// version: it adds up all that it finds of a chunk.
func PartID(id string, chunk, zeros int) string {
	return id + "/" + strings.Repeat("0", zeros) + strconv.Itoa(chunk)
}

// ParsePartID is the reverse of PartID, whatever the zeros.
func ParsePartID(s string) (id string, chunk int, ok bool) {
	id, c, ok := strings.Cut(s, "/")
	chunk, err := strconv.Atoi(c)
	return id, chunk, ok && err == nil && chunk >= 0
}

// FormatWatermark is the text form of how far into a job tasks may have been sent, as wide for
// every number, so that it never outgrows its place in a value.
func FormatWatermark(n int) json.RawMessage { return fmt.Appendf(nil, "\"%06d\"", n) }

// ParseWatermark is the reverse.
func ParseWatermark(v json.RawMessage) (int, error) {
	var s string
	if err := json.Unmarshal(v, &s); err != nil {
		return 0, err
	}
	n, err := strconv.Atoi(s)
	if err == nil && n < 0 {
		err = errors.New("below zero")
	}
	return n, err
}

// LeadingZeros tells how many zeros stand before the number of a chunk.
func LeadingZeros(s string) int {
	_, c, _ := strings.Cut(s, "/")
	n, err := strconv.Atoi(c)
	if err != nil {
		return 0
	}
	return len(c) - len(strconv.Itoa(n))
}

// Entries reads a value that many records share. Before there were any such, each
// record had a key of its own: the last part of it is then the id.
func Entries(prefix string, r KeyValue) (map[string]json.RawMessage, error) {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(r.Value, &m); err == nil {
		if _, single := m["rig"]; !single {
			return m, nil
		}
	} else if len(r.Value) == 0 || r.Value[0] != '"' {
		return nil, fmt.Errorf("record %s: %w", r.Key, err)
	}
	return map[string]json.RawMessage{strings.TrimPrefix(r.Key, prefix): r.Value}, nil
}

// ChunkBytes is the most that the ranges of n tasks take: in the worst pattern,
// every second task finished, each takes a number of up to five digits and a comma.
// They count from the start of a chunk of the size given.
func ChunkBytes(n, chunk int) int { return (n+1)/2*(len(strconv.Itoa(chunk))+1) + 2 }

// ChunkTasks is how many tasks one done record covers: in the worst pattern all of
// them fit into a value and, with room to spare, a commit.
func ChunkTasks(valueKB float64) int {
	return max(64, min(int(valueKB*1024/4), 16384))
}

// PartTasks is how many tasks of a chunk one record covers, so that the worst
// pattern of them fits into a value of another size. Chunks stay as they are, since
// the numbers in records count from their start.
func PartTasks(chunk int, valueKB float64) int {
	n := int(fill(valueKB)*partShare) / (len(strconv.Itoa(chunk)) + 1) * 2
	return max(1, min(n, chunk))
}

// partShare leaves room in a value for the record's id.
const partShare = 0.8

// FormatRanges is the text form of a set of finished tasks: "0-4,7". Numbers count
// from the start of the chunk.
func FormatRanges(done func(i int) bool, n int) string {
	var b strings.Builder
	for i := 0; i < n; i++ {
		if !done(i) {
			continue
		}
		j := i
		for j+1 < n && done(j+1) {
			j++
		}
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(i))
		if j > i {
			b.WriteByte('-')
			b.WriteString(strconv.Itoa(j))
		}
		i = j
	}
	return b.String()
}

// ParseRanges calls each for every number of the text form.
func ParseRanges(s string, each func(i int)) error {
	if s == "" {
		return nil
	}
	for part := range strings.SplitSeq(s, ",") {
		lo, hi, isRange := strings.Cut(part, "-")
		a, err := strconv.Atoi(lo)
		b := a
		if err == nil && isRange {
			b, err = strconv.Atoi(hi)
		}
		if err != nil || a < 0 || b < a || b > 1<<24 {
			return errors.New("bad range " + strconv.Quote(part))
		}
		for i := a; i <= b; i++ {
			each(i)
		}
	}
	return nil
}

// ValidID says whether a job id has the form that users give it.
func ValidID(id string) bool {
	rest, ok := strings.CutPrefix(id, "j-")
	if !ok || len(rest) == 0 || len(rest) > 100 {
		return false
	}
	for _, r := range rest {
		if r < '0' || r > '9' {
			return false
		}
	}
	return true
}
