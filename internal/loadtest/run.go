package loadtest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/ctxtime"
	"drumpick/internal/simulation"
)

// run is a load test in progress.
type run struct {
	size        Size
	deployments []*deployment
	users       *users
	meter       *meter
	log         io.Writer

	maxRunning int // maximum number of concurrently running tasks so far
}

const (
	// sampleInterval and progressInterval are the intervals of usage samples and of progress messages.
	sampleInterval   = time.Second
	progressInterval = 5 * time.Second
	// bootTimeout is the maximum wait for the workers and for the peak of the load; the measurement starts then anyway.
	bootTimeout = 2 * time.Minute
	// bootIdleIntervals is the number of heartbeat intervals without a new worker after which no more are expected.
	bootIdleIntervals = 3
	// minUpShare is the fraction of the workers that must be up to stop waiting for further ones.
	minUpShare = 0.98
)

// RunPaired runs a load test without teams and then one with teams. It returns the second result, which includes the
// first result and the violations of both. It returns a UsageError if size has no teams.
func RunPaired(ctx context.Context, size Size, programs Programs, log io.Writer) (*Result, error) {
	if size.Teams == 0 {
		return nil, &UsageError{"paired", "without teams there is nothing to compare"}
	}
	withoutTeams := size
	withoutTeams.Teams = 0
	without, err := Run(ctx, withoutTeams, programs, log)
	if err != nil {
		return nil, err
	}
	with, err := Run(ctx, size, programs, log)
	if err != nil {
		return nil, err
	}
	with.WithoutTeams = without
	with.Violations = append(without.Violations, with.Violations...)
	return with, nil
}

// Run runs a load test of the given size and measures it. It writes its progress to log.
func Run(ctx context.Context, size Size, programs Programs, log io.Writer) (_ *Result, err error) {
	if err := size.Check(); err != nil {
		return nil, err
	}
	dataDir, err := os.MkdirTemp("", "drumpick-scale-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &run{size: size, meter: newMeter(), log: log}
	defer func() {
		cancel()
		for _, d := range r.deployments {
			err = errors.Join(err, d.close())
		}
		err = errors.Join(err, os.RemoveAll(dataDir))
	}()
	for i := range size.Deployments {
		d, err := startDeployment(ctx, size, i, programs, dataDir)
		if err != nil {
			return nil, err
		}
		r.deployments = append(r.deployments, d)
	}
	r.users = newUsers(ctx, size, r.deployments)
	return r.measure(ctx)
}

// measure submits the load, measures once the workers are up and the load has reached its peak, waits for the open
// jobs, and checks the protocol's rules.
func (r *run) measure(ctx context.Context) (*Result, error) {
	submitCtx, stopSubmitting := context.WithCancel(ctx)
	defer stopSubmitting()
	pollCtx, stopPolling := context.WithCancel(ctx)
	defer stopPolling()
	go r.users.submitLoad(submitCtx)
	go r.users.pollOpenJobs(pollCtx)
	if err := r.waitForWorkers(ctx); err != nil {
		return nil, err
	}
	result := &Result{StartedAt: time.Now().UTC(), Cores: runtime.NumCPU(), Size: r.size, Version: sourceVersion()}
	before, err := r.readCounters()
	if err != nil {
		return nil, err
	}
	injector := &faultInjector{size: r.size, deployments: r.deployments, rand: rand.New(rand.NewPCG(1, uint64(r.size.Workers)))}
	injectorDone := make(chan struct{})
	start := time.Now()
	go func() {
		defer close(injectorDone)
		injector.run(ctx)
	}()
	if err := r.sampleUntil(ctx, "measuring", func() bool { return time.Since(start) >= r.size.MeasureTime }); err != nil {
		return nil, err
	}
	end := time.Now()
	result.MeasuredS, result.Usage = end.Sub(start).Seconds(), r.meter.usage()
	after, err := r.readCounters()
	if err != nil {
		return nil, err
	}
	result.Traffic = after.trafficSince(before)
	result.Workers, result.MaxRunning = after.workers.Machines, r.maxRunning
	result.LeaseExpiries = after.workers.LeaseExpiries - before.workers.LeaseExpiries
	result.RejectedHeartbeats = after.workers.RejectedHeartbeats - before.workers.RejectedHeartbeats
	stopSubmitting()
	<-injectorDone
	result.InjectedFaults = injector.injected
	fmt.Fprintf(r.log, "waiting for %d jobs to end\n", r.users.openCount())
	r.users.awaitCompletion(ctx)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return result, r.evaluate(result, start, end)
}

// evaluate adds to result what the workers and users observed between start and end, and the violations of the
// protocol's rules. It returns the users' errors, or the error of reading the workers' history.
func (r *run) evaluate(result *Result, start, end time.Time) error {
	var runs []simulation.TaskRun
	for _, d := range r.deployments {
		deploymentRuns, err := d.history()
		if err != nil {
			return err
		}
		runs = append(runs, deploymentRuns...)
	}
	r.users.mu.Lock()
	defer r.users.mu.Unlock()
	result.measureStarts(runs, r.users.jobs, start, end)
	result.UnansweredSubmissions = r.users.unanswered
	for _, j := range r.users.jobs {
		if !j.Accepted.IsZero() {
			result.AcceptedJobs++
		}
	}
	result.FinishedJobs = result.AcceptedJobs - len(r.users.openJobs)
	h := &History{Runs: runs, Jobs: r.users.jobs, CancelLimit: config.Seconds(cancelS)}
	for _, d := range r.deployments {
		limits := CPULimits{}
		for _, t := range r.size.deploymentConfig(d.index, d.zones).Teams {
			limits[t.Name] = t.LimitCPUs
		}
		h.Limits = append(h.Limits, limits)
	}
	result.Violations = h.Check()
	return r.users.err
}

// waitForWorkers waits until the load has reached its peak and the workers are up, but at most for bootTimeout. If no
// further worker appears for bootIdleIntervals heartbeat intervals, it waits only for the load. It then discards the
// samples taken so far.
func (r *run) waitForWorkers(ctx context.Context) error {
	start := time.Now()
	maxUp, lastIncrease := 0, start
	err := r.sampleUntil(ctx, "starting up", func() bool {
		if up := r.workersUp(); up > maxUp {
			maxUp, lastIncrease = up, time.Now()
		}
		enoughUp := maxUp >= int(minUpShare*float64(r.size.Workers))
		stalled := maxUp > 0 && time.Since(lastIncrease) > bootIdleIntervals*config.Seconds(heartbeatS)
		return (enoughUp || stalled) && time.Since(start) >= r.size.taskTime()+rampTime || time.Since(start) > bootTimeout
	})
	r.meter, r.maxRunning = newMeter(), 0
	return err
}

// workersUp returns the number of workers that are up.
func (r *run) workersUp() int {
	n := 0
	for _, d := range r.deployments {
		n += len(d.cluster.Environment.Machines())
	}
	return n
}

// sampleUntil samples the processes, and logs the progress of a phase, until done returns true. It returns an error if
// ctx ends or a process does not return its counts.
func (r *run) sampleUntil(ctx context.Context, phase string, done func() bool) error {
	var lastLogged time.Time
	for !done() {
		for _, d := range r.deployments {
			d.sampleProcesses(r.meter)
		}
		totals, err := r.readCounters()
		if err != nil {
			return err
		}
		r.maxRunning = max(r.maxRunning, totals.workers.Running)
		if time.Since(lastLogged) >= progressInterval {
			lastLogged = time.Now()
			fmt.Fprintf(r.log, "%s: %d workers up, %d tasks running, %d starts so far, %d jobs open\n",
				phase, totals.workers.Machines, totals.workers.Running, totals.workers.Starts, r.users.openCount())
		}
		if err := ctxtime.Sleep(ctx, sampleInterval); err != nil {
			return err
		}
	}
	return nil
}

// counters holds the counts of all processes and users since the start of the run.
type counters struct {
	workers                     WorkerCounts
	store                       map[string]Traffic // by request kind
	submissions, polls, cancels Traffic
}

func (r *run) readCounters() (counters, error) {
	totals := counters{
		store: map[string]Traffic{}, submissions: r.users.submissions.read(),
		polls: r.users.polls.read(), cancels: r.users.cancels.read(),
	}
	for _, d := range r.deployments {
		workers, err := d.workerCounts()
		if err != nil {
			return totals, err
		}
		totals.workers = totals.workers.plus(workers)
		var store map[string]Traffic
		if err := d.store.request("GET", "/counts", nil, &store); err != nil {
			return totals, err
		}
		for kind, t := range store {
			totals.store[kind] = totals.store[kind].Plus(t)
		}
	}
	return totals, nil
}

// trafficSince returns the traffic since the counters had the values before, by message kind.
func (c counters) trafficSince(before counters) map[string]Traffic {
	all := map[string]Traffic{
		"report":       c.workers.Heartbeats.Minus(before.workers.Heartbeats),
		"order":        c.workers.Commands.Minus(before.workers.Commands),
		"submission":   c.submissions.Minus(before.submissions),
		"poll":         c.polls.Minus(before.polls),
		"cancellation": c.cancels.Minus(before.cancels),
	}
	for kind, t := range c.store {
		all["store "+kind] = t.Minus(before.store[kind])
	}
	return all
}

// sourceVersion returns the abbreviated commit that this program was built from, or "unknown" if the build has no such
// information. It appends ", changed" if the sources had uncommitted changes.
func sourceVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	commit, suffix := "unknown", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			commit = setting.Value[:min(len(setting.Value), commitDigits)]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			suffix = ", changed"
		}
	}
	return commit + suffix
}

// commitDigits is the length of an abbreviated commit hash.
const commitDigits = 8
