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

// run is a run under way.
type run struct {
	size  Size
	cells []*region
	users *users
	meter *meter
	log   io.Writer

	running int // tasks, the most at a time
}

// How often a run looks at what it measures, and says how it goes.
const (
	sampleEvery   = time.Second
	progressEvery = 5 * time.Second
	// bootPatience bounds how long the workers may take to come up.
	bootPatience = 2 * time.Minute
	// noMoreReports is for how many report intervals none comes up before it is taken that none will.
	noMoreReports = 3
	// allUp is the share of the workers that has to be up before it is measured.
	allUp = 0.98
)

// RunPaired plays a size without teams, and then with them.
func RunPaired(ctx context.Context, size Size, programs Programs, log io.Writer) (*Result, error) {
	if size.Teams == 0 {
		return nil, &UsageError{"paired", "without teams there is nothing to compare"}
	}
	bare := size
	bare.Teams = 0
	without, err := Run(ctx, bare, programs, log)
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

// Run plays a size and measures it. Progress goes to log.
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
		for _, c := range r.cells {
			err = errors.Join(err, c.close())
		}
		err = errors.Join(err, os.RemoveAll(data))
	}()
	for i := range size.Regions {
		c, err := openRegion(ctx, size, i, programs, data)
		if err != nil {
			return nil, err
		}
		r.cells = append(r.cells, c)
	}
	r.users = newUsers(ctx, size, r.cells)
	return r.play(ctx)
}

// play submits the load, measures once it has come up, waits for what is left, and checks all.
func (r *run) play(ctx context.Context) (*Result, error) {
	submit, stopSubmitting := context.WithCancel(ctx)
	defer stopSubmitting()
	poll, stopPolling := context.WithCancel(ctx)
	defer stopPolling()
	go r.users.submitAll(submit)
	go r.users.pollAll(poll)
	if err := r.comeUp(ctx); err != nil {
		return nil, err
	}
	result := &Result{At: time.Now().UTC(), Cores: runtime.NumCPU(), Size: r.size, Version: sources()}
	before, err := r.counts()
	if err != nil {
		return nil, err
	}
	trouble := &faults{size: r.size, regions: r.cells, rand: rand.New(rand.NewPCG(1, uint64(r.size.Workers)))}
	troubled := make(chan struct{})
	began := time.Now()
	go func() { defer close(troubled); trouble.run(ctx) }()
	if err := r.watch(ctx, "measuring", func() bool { return time.Since(began) >= r.size.For }); err != nil {
		return nil, err
	}
	ended := time.Now()
	result.Measured, result.Usage = ended.Sub(began).Seconds(), r.meter.usage()
	after, err := r.counts()
	if err != nil {
		return nil, err
	}
	result.Traffic = after.traffic(before)
	result.Workers, result.Running = after.workers.Machines, r.running
	result.LeaseExpiries, result.RejectedHeartbeats = after.workers.LeaseExpiries-before.workers.LeaseExpiries, after.workers.RejectedHeartbeats-before.workers.RejectedHeartbeats
	stopSubmitting()
	<-troubled
	result.InjectedFaults = trouble.injected
	fmt.Fprintf(r.log, "waiting for %d jobs to end\n", r.users.left())
	r.users.finish(ctx)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return result, r.judge(result, began, ended)
}

// judge works out what the workers and users saw, and checks the rules on it.
func (r *run) judge(result *Result, began, ended time.Time) error {
	var ran []simulation.TaskRun
	for _, c := range r.cells {
		of, err := c.history()
		if err != nil {
			return err
		}
		ran = append(ran, of...)
	}
	r.users.mu.Lock()
	defer r.users.mu.Unlock()
	result.measureStarts(ran, r.users.jobs, began, ended)
	result.Unanswered = r.users.unanswered
	for _, j := range r.users.jobs {
		if !j.Accepted.IsZero() {
			result.Jobs++
		}
	}
	result.Finished = result.Jobs - len(r.users.open)
	h := &History{Ran: ran, Jobs: r.users.jobs, Cancel: config.Seconds(cancelS)}
	for _, c := range r.cells {
		of := Limits{}
		for _, t := range r.size.deployment(c.index, c.zones).Teams {
			of[t.Name] = t.LimitCPUs
		}
		h.Limits = append(h.Limits, of)
	}
	result.Violations = h.Check()
	return r.users.fail
}

// comeUp waits until the load has risen, and the workers are up or no more of them come.
func (r *run) comeUp(ctx context.Context) error {
	began := time.Now()
	most, rose := 0, began
	err := r.watch(ctx, "coming up", func() bool {
		if up := r.up(); up > most {
			most, rose = up, time.Now()
		}
		all := most >= int(allUp*float64(r.size.Workers)) || most > 0 && time.Since(rose) > noMoreReports*config.Seconds(heartbeatS)
		return all && time.Since(began) >= r.size.taskTime()+rampTime || time.Since(began) > bootPatience
	})
	r.meter, r.running = newMeter(), 0
	return err
}

// up counts the workers that are up.
func (r *run) up() int {
	n := 0
	for _, c := range r.cells {
		n += len(c.cluster.Environment.Machines())
	}
	return n
}

// watch samples, and says how it goes, until over says so.
func (r *run) watch(ctx context.Context, what string, over func() bool) error {
	var said time.Time
	for !over() {
		for _, c := range r.cells {
			c.sample(r.meter)
		}
		counts, err := r.counts()
		if err != nil {
			return err
		}
		r.running = max(r.running, counts.workers.Running)
		if time.Since(said) >= progressEvery {
			said = time.Now()
			fmt.Fprintf(r.log, "%s: %d workers up, %d tasks running, %d starts so far, %d jobs open\n", what, counts.workers.Machines, counts.workers.Running, counts.workers.Starts, r.users.left())
		}
		if err := ctxtime.Sleep(ctx, sampleEvery); err != nil {
			return err
		}
	}
	return nil
}

// counted is what all roles count.
type counted struct {
	workers                     WorkerCounts
	state                       map[string]Traffic
	submissions, polls, cancels Traffic
}

func (r *run) counts() (counted, error) {
	all := counted{state: map[string]Traffic{}, submissions: r.users.submissions.read(), polls: r.users.polls.read(), cancels: r.users.cancels.read()}
	for _, c := range r.cells {
		workers, err := c.counts()
		if err != nil {
			return all, err
		}
		all.workers = all.workers.plus(workers)
		var state map[string]Traffic
		if err := c.store.ask("GET", "/counts", nil, &state); err != nil {
			return all, err
		}
		for kind, t := range state {
			all.state[kind] = all.state[kind].Plus(t)
		}
	}
	return all, nil
}

// traffic is what came since an earlier count, by kind.
func (c counted) traffic(before counted) map[string]Traffic {
	all := map[string]Traffic{
		"report": c.workers.Heartbeats.Minus(before.workers.Heartbeats), "order": c.workers.Commands.Minus(before.workers.Commands),
		"submission": c.submissions.Minus(before.submissions), "poll": c.polls.Minus(before.polls), "cancellation": c.cancels.Minus(before.cancels),
	}
	for kind, t := range c.state {
		all["store "+kind] = t.Minus(before.state[kind])
	}
	return all
}

// sources names the commit that this program was built from; "unknown" where the build does not tell.
func sources() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	commit, changed := "unknown", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			commit = setting.Value[:min(len(setting.Value), shortCommit)]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			changed = ", changed"
		}
	}
	return commit + changed
}

// shortCommit is how much of a commit's name is told.
const shortCommit = 8
