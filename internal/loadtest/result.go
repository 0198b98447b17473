package loadtest

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/simulation"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a run measured.
type Result struct {
	Version            string             `json:"version"` // of the sources, by their commit
	At                 time.Time          `json:"at"`
	Cores              int                `json:"cores"` // of the machine
	Size               Size               `json:"size"`
	Measured           float64            `json:"measured_s"`
	Workers            int                `json:"workers"` // that were up at its end
	Running            int                `json:"running"` // tasks, the most at a time
	Starts             Rates              `json:"starts"`
	Usage              map[string]Usage   `json:"usage"`    // by role
	Traffic            map[string]Traffic `json:"traffic"`  // by kind
	Waits              map[string]Waits   `json:"waits"`    // from submission to a task's start, by class
	CommandToRunning   Waits              `json:"to_run"`   // from the command to running
	UrgentInTime       float64            `json:"in_time"`  // share of urgent tasks begun in time
	LeaseExpiries      int                `json:"lapses"`   // leases of workers that ended
	LostStarts         int                `json:"lost"`     // starts of jobs that were not cancelled that came to nothing
	RejectedHeartbeats uint64             `json:"refused"`  // heartbeats not answered with 200
	Jobs               int                `json:"jobs"`     // accepted
	Finished           int                `json:"finished"` // of these, over at the end
	Unanswered         int                `json:"unanswered"`
	InjectedFaults     InjectedFaults     `json:"happened"`
	// WithoutTeams is the same size without teams, run just before.
	WithoutTeams *Result     `json:"without,omitempty"`
	Violations   []Violation `json:"breaches"`
}

// Rates are starts a second.
type Rates struct {
	Mean float64 `json:"mean"`
	Peak float64 `json:"peak"` // over a second
}

// Waits is a distribution of times, in seconds.
type Waits struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// maxWaitMS and digits bound the histograms: an hour in milliseconds, at three digits.
const (
	maxWaitMS = 3_600_000
	digits    = 3
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxWaitMS, digits) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Milliseconds(), 1), maxWaitMS)) // always within its bounds
}

func waitsOf(h *hdrhistogram.Histogram) Waits {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Waits{h.TotalCount(), at(50), at(95), at(99), float64(h.Max()) / 1000}
}

// measureStarts works out the starts within a span.
func (r *Result) measureStarts(ran []simulation.TaskRun, jobs map[string]*UserJob, from, to time.Time) {
	waits := map[string]*hdrhistogram.Histogram{classUrgent: newHistogram(), classBulk: newHistogram()}
	toRun := newHistogram()
	first := map[string]time.Time{} // when a task began, by its name
	perSecond := map[int]int{}
	starts, inTime, urgent := 0, 0, 0
	for _, x := range ran {
		if at, known := first[x.Task]; !known || x.Started.Before(at) {
			first[x.Task] = x.Started
		}
		if x.Started.Before(from) || x.Started.After(to) {
			continue
		}
		starts++
		perSecond[int(x.Started.Sub(from).Seconds())]++
		if !x.Running.IsZero() {
			record(toRun, x.Running.Sub(x.Started))
		}
		if j := jobs[jobOf(x.Task)]; x.Cause != fleet.CauseDone && (j == nil || !j.CancelRequested) {
			r.LostStarts++
		}
	}
	for task, at := range first {
		j := jobs[jobOf(task)]
		if j == nil || at.Before(from) || at.After(to) {
			continue
		}
		wait := at.Sub(j.Submitted)
		record(waits[j.Class], wait)
		if j.Class == classUrgent {
			if urgent++; wait.Seconds() <= urgentStartS {
				inTime++
			}
		}
	}
	r.Waits = map[string]Waits{}
	for class, h := range waits {
		r.Waits[class] = waitsOf(h)
	}
	r.CommandToRunning = waitsOf(toRun)
	r.UrgentInTime = float64(inTime) / float64(max(urgent, 1))
	r.Starts.Mean = float64(starts) / to.Sub(from).Seconds()
	for _, n := range perSecond {
		r.Starts.Peak = max(r.Starts.Peak, float64(n))
	}
}

// Write stores the result as JSON.
func (r *Result) Write(path string) error {
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

// ReadResult reads a result.
func ReadResult(path string) (*Result, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if r.Size.Workers < 1 || r.Measured <= 0 {
		return nil, fmt.Errorf("%s is no result of a run", path)
	}
	return r, nil
}

// Print writes the result as a table for people.
func (r *Result) Print(out io.Writer) error {
	if r.WithoutTeams != nil {
		if err := r.WithoutTeams.Print(out); err != nil {
			return err
		}
		fmt.Fprintln(out)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%d workers (%d asked for), %d regions, %d controllers each, %d teams; measured for %.0f s\n",
		r.Workers, r.Size.Workers, r.Size.Regions, r.Size.Controllers, r.Size.Teams, r.Measured)
	fmt.Fprintf(w, "starts a second\t%.0f, peak %.0f, asked for %.0f\n", r.Starts.Mean, r.Starts.Peak, r.Size.Rate)
	fmt.Fprintf(w, "tasks running\t%d at the most, asked for %d\n", r.Running, r.Size.Tasks)
	for _, class := range slices.Sorted(maps.Keys(r.Waits)) {
		x := r.Waits[class]
		fmt.Fprintf(w, "%s: submission to start\tp50 %.2f, p95 %.2f, p99 %.2f, max %.2f s of %d\n", class, x.P50, x.P95, x.P99, x.Max, x.Count)
	}
	fmt.Fprintf(w, "urgent within %g s\t%.3f\n", urgentStartS, r.UrgentInTime)
	toRunning := r.CommandToRunning
	fmt.Fprintf(w, "order to running\tp50 %.2f, p95 %.2f, max %.2f s\n", toRunning.P50, toRunning.P95, toRunning.Max)
	fmt.Fprintf(w, "leases lost\t%d; starts that came to nothing %d; reports not answered with 200: %d\n",
		r.LeaseExpiries, r.LostStarts, r.RejectedHeartbeats)
	fmt.Fprintf(w, "jobs\t%d accepted, %d over at the end, %d submissions unanswered\n", r.Jobs, r.Finished, r.Unanswered)
	injected := r.InjectedFaults
	fmt.Fprintf(w, "went wrong on purpose\t%d machines failed, %d restarted, %d racks, %d zones\n",
		injected.Failures, injected.Restarts, injected.Racks, injected.Zones)
	for _, t := range injected.Failovers {
		fmt.Fprintf(w, "takeover in region %d\tled after %.1f s, started again after %.1f s\n", t.Region+1, t.LeaderS, t.FirstStartS)
	}
	fmt.Fprintln(w, "\nrole\tprocesses\tcores, mean\tpeak\tMB")
	for _, role := range slices.Sorted(maps.Keys(r.Usage)) {
		u := r.Usage[role]
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.0f\n", role, u.Processes, u.Cores, u.PeakCores, u.MemoryMB)
	}
	fmt.Fprintln(w, "\nmessages\ta second\tKB/s sent\tKB/s received")
	for _, kind := range slices.Sorted(maps.Keys(r.Traffic)) {
		t := r.Traffic[kind]
		perSecond := func(n uint64) float64 { return float64(n) / r.Measured }
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\n", kind, perSecond(t.Messages), perSecond(t.Sent)/1000, perSecond(t.Received)/1000)
	}
	for _, b := range r.Violations[:min(len(r.Violations), 10)] {
		fmt.Fprintf(w, "RULE BROKEN\t%s: %s\n", b.Rule, b.What)
	}
	return w.Flush()
}
