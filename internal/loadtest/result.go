package loadtest

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/simulation"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of a run.
type Result struct {
	Version               string                    `json:"version"` // commit of the sources
	StartedAt             time.Time                 `json:"at"`
	Cores                 int                       `json:"cores"` // of the host
	Size                  Size                      `json:"size"`
	MeasuredS             float64                   `json:"measured_s"`
	Workers               int                       `json:"workers"` // workers that were up at the end of the measurement
	MaxRunning            int                       `json:"running"` // maximum number of concurrently running tasks
	StartRate             StartRates                `json:"starts"`
	Usage                 map[string]Usage          `json:"usage"`   // by role
	Traffic               map[string]Traffic        `json:"traffic"` // by kind
	StartLatency          map[string]LatencySummary `json:"waits"`   // from submission to the first start of a task, by class
	CommandToRunning      LatencySummary            `json:"to_run"`  // from the arrival of a task's start command until it runs
	UrgentOnTimeShare     float64                   `json:"in_time"` // fraction of urgent tasks started within urgentStartTargetS; 0 if none started
	LeaseExpiries         int                       `json:"lapses"`  // expired worker leases
	LostStarts            int                       `json:"lost"`    // task starts that did not complete, without those of cancelled jobs
	RejectedHeartbeats    uint64                    `json:"refused"` // heartbeats without a 200 response
	AcceptedJobs          int                       `json:"jobs"`
	FinishedJobs          int                       `json:"finished"` // accepted jobs seen to become final after their acceptance
	UnansweredSubmissions int                       `json:"unanswered"`
	InjectedFaults        InjectedFaults            `json:"happened"`
	// WithoutTeams is the result of the preceding run of the same size without teams. It is nil if there was none.
	WithoutTeams *Result     `json:"without,omitempty"`
	Violations   []Violation `json:"breaches"`
}

// StartRates are rates of task starts per second.
type StartRates struct {
	Mean float64 `json:"mean"`
	Peak float64 `json:"peak"` // maximum over one second
}

// LatencySummary is a distribution of latencies, in seconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Range and precision of the latency histograms: up to an hour, with three significant digits.
const (
	maxLatencyMS    = 3_600_000
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMS, histogramDigits)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Milliseconds(), 1), maxLatencyMS)) // never fails: the value is within the histogram's range
}

func summarizeLatency(h *hdrhistogram.Histogram) LatencySummary {
	quantileS := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return LatencySummary{h.TotalCount(), quantileS(50), quantileS(95), quantileS(99), float64(h.Max()) / 1000}
}

// measureStarts computes the rates, latencies and lost starts from the task starts between from and to. runs holds the
// ended attempts, including those that workers rejected.
func (r *Result) measureStarts(runs []simulation.TaskRun, jobs map[string]*UserJob, from, to time.Time) {
	startLatency := map[string]*hdrhistogram.Histogram{classUrgent: newHistogram(), classBulk: newHistogram()}
	commandToRunning := newHistogram()
	firstStart := map[string]time.Time{} // by task
	perSecond := map[int]int{}
	starts, onTime, urgent := 0, 0, 0
	for _, taskRun := range runs {
		if at, known := firstStart[taskRun.Task]; !known || taskRun.Started.Before(at) {
			firstStart[taskRun.Task] = taskRun.Started
		}
		if taskRun.Started.Before(from) || taskRun.Started.After(to) {
			continue
		}
		starts++
		perSecond[int(taskRun.Started.Sub(from).Seconds())]++
		if !taskRun.Running.IsZero() {
			recordLatency(commandToRunning, taskRun.Running.Sub(taskRun.Started))
		}
		if j := jobs[jobOf(taskRun.Task)]; taskRun.Cause != fleet.CauseDone && (j == nil || !j.CancelRequested) {
			r.LostStarts++
		}
	}
	for task, at := range firstStart {
		j := jobs[jobOf(task)]
		if j == nil || at.Before(from) || at.After(to) {
			continue
		}
		latency := at.Sub(j.Submitted)
		recordLatency(startLatency[j.Class], latency)
		if j.Class == classUrgent {
			if urgent++; latency.Seconds() <= urgentStartTargetS {
				onTime++
			}
		}
	}
	r.StartLatency = map[string]LatencySummary{}
	for class, h := range startLatency {
		r.StartLatency[class] = summarizeLatency(h)
	}
	r.CommandToRunning = summarizeLatency(commandToRunning)
	r.UrgentOnTimeShare = float64(onTime) / float64(max(urgent, 1))
	r.StartRate.Mean = float64(starts) / to.Sub(from).Seconds()
	for _, n := range perSecond {
		r.StartRate.Peak = max(r.StartRate.Peak, float64(n))
	}
}

// Write writes the result to a JSON file.
func (r *Result) Write(path string) error {
	raw, err := jsoncodec.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

// ReadResult reads a result from a JSON file. A result without workers or measured time is an error.
func ReadResult(path string) (*Result, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := jsoncodec.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if r.Size.Workers < 1 || r.MeasuredS <= 0 {
		return nil, fmt.Errorf("%s is not a load test result: it has no workers or no measured time", path)
	}
	return r, nil
}

// Print writes the result as a text table with the first 10 violations, after the result without teams, if any.
func (r *Result) Print(out io.Writer) error {
	if r.WithoutTeams != nil {
		if err := r.WithoutTeams.Print(out); err != nil {
			return err
		}
		fmt.Fprintln(out)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%d workers (%d asked for), %d regions, %d controllers each, %d teams; measured for %.0f s\n",
		r.Workers, r.Size.Workers, r.Size.Deployments, r.Size.Controllers, r.Size.Teams, r.MeasuredS)
	fmt.Fprintf(w, "starts a second\t%.0f, peak %.0f, asked for %.0f\n", r.StartRate.Mean, r.StartRate.Peak, r.Size.StartRate)
	fmt.Fprintf(w, "tasks running\t%d at the most, asked for %d\n", r.MaxRunning, r.Size.Tasks)
	for _, class := range slices.Sorted(maps.Keys(r.StartLatency)) {
		x := r.StartLatency[class]
		fmt.Fprintf(w, "%s: submission to start\tp50 %.2f, p95 %.2f, p99 %.2f, max %.2f s of %d\n", class, x.P50, x.P95, x.P99, x.Max, x.Count)
	}
	fmt.Fprintf(w, "urgent within %g s\t%.3f\n", urgentStartTargetS, r.UrgentOnTimeShare)
	toRunning := r.CommandToRunning
	fmt.Fprintf(w, "order to running\tp50 %.2f, p95 %.2f, max %.2f s\n", toRunning.P50, toRunning.P95, toRunning.Max)
	fmt.Fprintf(w, "leases lost\t%d; starts that came to nothing %d; reports not answered with 200: %d\n",
		r.LeaseExpiries, r.LostStarts, r.RejectedHeartbeats)
	fmt.Fprintf(w, "jobs\t%d accepted, %d over at the end, %d submissions unanswered\n", r.AcceptedJobs, r.FinishedJobs, r.UnansweredSubmissions)
	injected := r.InjectedFaults
	fmt.Fprintf(w, "went wrong on purpose\t%d machines failed, %d restarted, %d racks, %d zones\n",
		injected.MachineFailures, injected.MachineRestarts, injected.RackFailures, injected.ZoneFailures)
	for _, failover := range injected.Failovers {
		fmt.Fprintf(w, "takeover in region %d\tled after %.1f s, started again after %.1f s\n", failover.Deployment+1, failover.NewLeaderS, failover.FirstStartS)
	}
	fmt.Fprintln(w, "\nrole\tprocesses\tcores, mean\tpeak\tMB")
	for _, role := range slices.Sorted(maps.Keys(r.Usage)) {
		u := r.Usage[role]
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.0f\n", role, u.Processes, u.Cores, u.PeakCores, u.MemoryMB)
	}
	fmt.Fprintln(w, "\nmessages\ta second\tKB/s sent\tKB/s received")
	for _, kind := range slices.Sorted(maps.Keys(r.Traffic)) {
		t := r.Traffic[kind]
		perSecond := func(n uint64) float64 { return float64(n) / r.MeasuredS }
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\n", kind, perSecond(t.Messages), perSecond(t.Sent)/1000, perSecond(t.Received)/1000)
	}
	for _, v := range r.Violations[:min(len(r.Violations), 10)] {
		fmt.Fprintf(w, "RULE BROKEN\t%s: %s\n", v.Rule, v.Detail)
	}
	return w.Flush()
}
