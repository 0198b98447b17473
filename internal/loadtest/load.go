package loadtest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"drumpick/client"
	"drumpick/internal/ctxtime"
)

// Classes of the load, and the objective of urgent work.
const (
	classUrgent  = "urgent"
	classBulk    = "bulk"
	urgentStartS = 2.8 // within which urgent tasks are to start
)

// The shape of the load. What is not urgent comes in arrays; nothing saves its progress.
const (
	urgentShare       = 0.04 // of all starts
	urgentTaskS       = 5.0
	urgentJobs        = 1.0  // a second, over all regions
	bulkJobs          = 2.0  // a second, over all regions
	cancelShare       = 0.02 // of the bulk jobs
	pollEvery         = 5 * time.Second
	images            = 16
	submitEvery       = 100 * time.Millisecond
	maxRequests       = 64 // of users that are under way at once
	completionTimeout = 90 * time.Second
)

// users submit the load of a run, poll their jobs, and cancel some.
type users struct {
	ctx     context.Context // ends with the run: nobody polls the next one's controllers
	size    Size
	regions []*region
	rand    *rand.Rand

	mu   sync.Mutex
	jobs map[string]*UserJob
	open map[string]bool // accepted, and not known to be final
	seq  int
	fail error
	busy chan struct{} // bounds the requests under way

	submissions, polls, cancels tally
	unanswered                  int // submissions that nobody took in time
}

func newUsers(ctx context.Context, size Size, cells []*region) *users {
	return &users{
		ctx: ctx, size: size, regions: cells, rand: rand.New(rand.NewPCG(uint64(size.Workers), uint64(size.Tasks))),
		jobs: map[string]*UserJob{}, open: map[string]bool{}, busy: make(chan struct{}, maxRequests),
	}
}

// stream is work of one class that comes at a steady rate.
type stream struct {
	class, priority string
	jobs            float64 // a second
	tasks           float64 // a second
	runs            float64 // seconds that a task runs
	due             float64 // jobs that are to be submitted by now
}

func (s *Size) streams() []*stream {
	return []*stream{
		{class: classUrgent, priority: client.Urgent, jobs: urgentJobs, tasks: urgentShare * s.Rate, runs: urgentTaskS},
		{class: classBulk, priority: client.Standard, jobs: bulkJobs, tasks: (1 - urgentShare) * s.Rate, runs: s.taskTime().Seconds()},
	}
}

// rampTime is how long the load takes to rise to its peak.
const rampTime = 10 * time.Second

// submitAll submits work until ctx ends.
func (u *users) submitAll(ctx context.Context) {
	began, streams := time.Now(), u.size.streams()
	last := began
	for ctxtime.Sleep(ctx, submitEvery) == nil {
		now := time.Now()
		ramp := min(now.Sub(began).Seconds()/rampTime.Seconds(), 1)
		for _, s := range streams {
			for s.due += s.jobs * now.Sub(last).Seconds(); s.due >= 1; s.due-- {
				if tasks := int(s.tasks/s.jobs*ramp + u.rand.Float64()); tasks > 0 {
					u.submit(ctx, s, tasks)
				}
			}
		}
		last = now
	}
}

// submit has a user submit one job.
func (u *users) submit(ctx context.Context, s *stream, tasks int) {
	u.mu.Lock()
	u.seq++
	n := u.seq
	u.mu.Unlock()
	region := n % len(u.regions)
	j := &UserJob{Region: region, Submitted: time.Now(), Job: client.Job{
		ID: fmt.Sprintf("j-%06d", n), Class: s.class, Team: teamName(n / len(u.regions) % max(u.size.Teams, 1)),
		Shape: client.Batch, Priority: s.priority, Spot: true,
		Tasks: tasks, CPUs: 1, MemGB: taskMemGB, EstimateS: s.runs,
		Image: fmt.Sprint("image-", u.rand.IntN(images)), ImageGB: imageGB,
	}}
	cancelled := s.class == classBulk && u.rand.Float64() < cancelShare
	u.mu.Lock()
	u.jobs[j.ID] = j
	u.mu.Unlock()
	u.do(func() {
		r := u.regions[region]
		if err := r.upload(j.Job); err != nil {
			u.failed(err)
			return
		}
		st, _, err := r.client.Submit(ctx, j.Job)
		u.submissions.add(submissionBytes, answerBytes)
		u.mu.Lock()
		defer u.mu.Unlock()
		if err != nil {
			if ctx.Err() == nil {
				u.unanswered++
			}
			return
		}
		j.Accepted, u.open[j.ID] = time.Now(), !st.Over()
		if cancelled {
			time.AfterFunc(u.size.taskTime()/2, func() { u.cancel(j) })
		}
	})
}

// Bytes of the users' messages, as they are: their bodies differ by a few bytes.
const (
	submissionBytes = 330
	answerBytes     = 60
)

// do runs a user's request once fewer than maxRequests are under way.
func (u *users) do(request func()) {
	go func() {
		u.busy <- struct{}{}
		defer func() { <-u.busy }()
		request()
	}()
}

// failed notes an error that makes the run fail.
func (u *users) failed(err error) {
	u.mu.Lock()
	u.fail = errors.Join(u.fail, err)
	u.mu.Unlock()
}

// cancel has a user cancel a job.
func (u *users) cancel(j *UserJob) {
	u.mu.Lock()
	j.CancelRequested = true
	u.mu.Unlock()
	ctx, stop := context.WithTimeout(u.ctx, time.Minute)
	defer stop()
	st, err := u.regions[j.Region].client.Cancel(ctx, j.ID)
	u.cancels.add(0, answerBytes)
	u.mu.Lock()
	defer u.mu.Unlock()
	if err == nil && st.Status == client.Cancelled {
		j.Cancelled = time.Now()
	}
}

// pollAll polls every open job at intervals until ctx ends.
func (u *users) pollAll(ctx context.Context) {
	for ctxtime.Sleep(ctx, pollEvery) == nil {
		u.mu.Lock()
		var ask []*UserJob
		for id, open := range u.open {
			if open {
				ask = append(ask, u.jobs[id])
			}
		}
		u.mu.Unlock()
		var asked sync.WaitGroup
		for _, j := range ask {
			asked.Add(1)
			u.do(func() {
				defer asked.Done()
				u.poll(ctx, j)
			})
		}
		asked.Wait()
	}
}

// poll polls a job once.
func (u *users) poll(ctx context.Context, j *UserJob) {
	st, err := u.regions[j.Region].client.Get(ctx, j.ID)
	u.polls.add(0, answerBytes)
	if err != nil || !st.Over() {
		return
	}
	u.mu.Lock()
	delete(u.open, j.ID)
	u.mu.Unlock()
}

// left returns how many jobs are open.
func (u *users) left() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.open)
}

// finish waits until every job is final, or for as long as that may take, and asks each controller for the state of
// each.
func (u *users) finish(ctx context.Context) {
	until := time.Now().Add(3*u.size.taskTime() + completionTimeout)
	for u.left() > 0 && time.Now().Before(until) && ctxtime.Sleep(ctx, time.Second) == nil {
	}
	u.mu.Lock()
	all := make([]*UserJob, 0, len(u.jobs))
	for _, j := range u.jobs {
		all = append(all, j)
	}
	u.mu.Unlock()
	var asked sync.WaitGroup
	for _, j := range all {
		if j.Accepted.IsZero() {
			continue
		}
		asked.Add(1)
		u.do(func() {
			defer asked.Done()
			j.Finals = u.regions[j.Region].finalStates(ctx, j.ID)
		})
	}
	asked.Wait()
}
