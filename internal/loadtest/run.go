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

// run is a load test under way.
type run struct {
	size        Size
	deployments []*deployment
	users       *users
	meter       *meter
	log         io.Writer

	maxRunning int // tasks, the most at a time so far
}

const (
	// sampleInterval and progressInterval are how often a run samples, and logs its progress.
	sampleInterval   = time.Second
	progressInterval = 5 * time.Second
	// bootTimeout bounds how long the workers may take to come up.
	bootTimeout = 2 * time.Minute
	// bootIdleIntervals is for how many heartbeat intervals no worker comes up before it is taken that none will.
	bootIdleIntervals = 3
	// minUpShare is the share of the workers that has to be up before it is measured.
	minUpShare = 0.98
)

// RunPaired runs a size without teams, and then with them.
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

// Run runs a size and measures it. Progress goes to log.
func Run(ctx context.Context, size Size, programs Programs, log io.Writer) (_ *Result, err error) {
	if err := size.Check(); err != nil {
		return nil, err
	}
	data, err := os.MkdirTemp("", "drumpick-scale-")
	if err != nil {
		return nil, err
	}
	ctx, end := context.WithCancel(ctx)
	r := &run{size: size, meter: newMeter(), log: log}
	defer func() {
		end()
		for _, region := range r.deployments {
			err = errors.Join(err, region.close())
		}
		err = errors.Join(err, os.RemoveAll(data))
	}()
	for i := range size.Deployments {
		region, err := startDeployment(ctx, size, i, programs, data)
		if err != nil {
			return nil, err
		}
		r.deployments = append(r.deployments, region)
	}
	r.users = newUsers(ctx, size, r.deployments)
	return r.measure(ctx)
}

// measure submits the load, measures once it has come up, waits for the jobs that are left, and checks the rules.
func (r *run) measure(ctx context.Context) (*Result, error) {
	submit, stopSubmitting := context.WithCancel(ctx)
	defer stopSubmitting()
	poll, stopPolling := context.WithCancel(ctx)
	defer stopPolling()
	go r.users.submitLoad(submit)
	go r.users.pollOpenJobs(poll)
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
	began := time.Now()
	go func() {
		defer close(injectorDone)
		injector.run(ctx)
	}()
	if err := r.sampleUntil(ctx, "measuring", func() bool { return time.Since(began) >= r.size.MeasureTime }); err != nil {
		return nil, err
	}
	ended := time.Now()
	result.MeasuredS, result.Usage = ended.Sub(began).Seconds(), r.meter.usage()
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
	return result, r.evaluate(result, began, ended)
}

// evaluate works out what the workers and users saw, and checks the rules on it.
func (r *run) evaluate(result *Result, began, ended time.Time) error {
	var runs []simulation.TaskRun
	for _, region := range r.deployments {
		ofRegion, err := region.history()
		if err != nil {
			return err
		}
		runs = append(runs, ofRegion...)
	}
	r.users.mu.Lock()
	defer r.users.mu.Unlock()
	result.measureStarts(runs, r.users.jobs, began, ended)
	result.UnansweredSubmissions = r.users.unanswered
	for _, j := range r.users.jobs {
		if !j.Accepted.IsZero() {
			result.AcceptedJobs++
		}
	}
	result.FinishedJobs = result.AcceptedJobs - len(r.users.openJobs)
	h := &History{Runs: runs, Jobs: r.users.jobs, CancelLimit: config.Seconds(cancelS)}
	for _, region := range r.deployments {
		limits := CPULimits{}
		for _, t := range r.size.deploymentConfig(region.index, region.zones).Teams {
			limits[t.Name] = t.LimitCPUs
		}
		h.Limits = append(h.Limits, limits)
	}
	result.Violations = h.Check()
	return r.users.err
}

// waitForWorkers waits until the load has risen, and the workers are up or no more of them come.
func (r *run) waitForWorkers(ctx context.Context) error {
	began := time.Now()
	most, lastRise := 0, began
	err := r.sampleUntil(ctx, "coming up", func() bool {
		if up := r.workersUp(); up > most {
			most, lastRise = up, time.Now()
		}
		enough := most >= int(minUpShare*float64(r.size.Workers))
		noMore := most > 0 && time.Since(lastRise) > bootIdleIntervals*config.Seconds(heartbeatS)
		return (enough || noMore) && time.Since(began) >= r.size.taskTime()+rampTime || time.Since(began) > bootTimeout
	})
	r.meter, r.maxRunning = newMeter(), 0
	return err
}

// workersUp counts the workers that are up.
func (r *run) workersUp() int {
	n := 0
	for _, region := range r.deployments {
		n += len(region.cluster.Environment.Machines())
	}
	return n
}

// sampleUntil samples, and logs the progress of a phase, until done returns true.
func (r *run) sampleUntil(ctx context.Context, phase string, done func() bool) error {
	var logged time.Time
	for !done() {
		for _, region := range r.deployments {
			region.sampleProcesses(r.meter)
		}
		counts, err := r.readCounters()
		if err != nil {
			return err
		}
		r.maxRunning = max(r.maxRunning, counts.workers.Running)
		if time.Since(logged) >= progressInterval {
			logged = time.Now()
			fmt.Fprintf(r.log, "%s: %d workers up, %d tasks running, %d starts so far, %d jobs open\n",
				phase, counts.workers.Machines, counts.workers.Running, counts.workers.Starts, r.users.openCount())
		}
		if err := ctxtime.Sleep(ctx, sampleInterval); err != nil {
			return err
		}
	}
	return nil
}

// counters is what the processes of all roles counted so far.
type counters struct {
	workers                     WorkerCounts
	store                       map[string]Traffic // by kind of request
	submissions, polls, cancels Traffic
}

func (r *run) readCounters() (counters, error) {
	all := counters{
		store: map[string]Traffic{}, submissions: r.users.submissions.read(),
		polls: r.users.polls.read(), cancels: r.users.cancels.read(),
	}
	for _, region := range r.deployments {
		workers, err := region.workerCounts()
		if err != nil {
			return all, err
		}
		all.workers = all.workers.plus(workers)
		var store map[string]Traffic
		if err := region.store.request("GET", "/counts", nil, &store); err != nil {
			return all, err
		}
		for kind, t := range store {
			all.store[kind] = all.store[kind].Plus(t)
		}
	}
	return all, nil
}

// trafficSince returns the traffic since an earlier count, by kind.
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

// sourceVersion returns the commit that this program was built from; "unknown" where the build does not tell.
func sourceVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	commit, changed := "unknown", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			commit = setting.Value[:min(len(setting.Value), commitDigits)]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			changed = ", changed"
		}
	}
	return commit + changed
}

// commitDigits is how many digits of a commit are kept.
const commitDigits = 8
