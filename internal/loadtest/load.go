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
	classUrgent        = "urgent"
	classBulk          = "bulk"
	urgentStartTargetS = 2.8 // within which urgent tasks are to start
)

// The shape of the load. What is not urgent comes in arrays; nothing saves its progress.
const (
	urgentShare           = 0.04 // of all starts
	urgentRunTimeS        = 5.0
	urgentJobsPerS        = 1.0  // a second, over all regions
	bulkJobsPerS          = 2.0  // a second, over all regions
	cancelShare           = 0.02 // of the bulk jobs
	pollInterval          = 5 * time.Second
	imageCount            = 16
	submitInterval        = 100 * time.Millisecond
	maxConcurrentRequests = 64 // of users that are under way at once
	completionTimeout     = 90 * time.Second
)

// users submit the load of a run, poll their jobs, and cancel some.
type users struct {
	ctx         context.Context // ends with the run: nobody polls the next one's controllers
	size        Size
	deployments []*deployment
	rand        *rand.Rand

	mu            sync.Mutex
	jobs          map[string]*UserJob
	openJobs      map[string]bool // accepted, and not known to be final
	lastJobNumber int
	err           error
	requestSlots  chan struct{} // bounds the requests under way

	submissions, polls, cancels trafficCounter
	unanswered                  int // submissions that nobody took in time
}

func newUsers(ctx context.Context, size Size, cells []*deployment) *users {
	return &users{
		ctx: ctx, size: size, deployments: cells, rand: rand.New(rand.NewPCG(uint64(size.Workers), uint64(size.Tasks))),
		jobs: map[string]*UserJob{}, openJobs: map[string]bool{}, requestSlots: make(chan struct{}, maxConcurrentRequests),
	}
}

// stream is work of one class that comes at a steady rate.
type stream struct {
	class, priority string
	jobsPerS        float64 // a second
	tasksPerS       float64 // a second
	runTimeS        float64 // seconds that a task runs
	dueJobs         float64 // jobs that are to be submitted by now
}

func (s *Size) streams() []*stream {
	return []*stream{
		{class: classUrgent, priority: client.Urgent, jobsPerS: urgentJobsPerS, tasksPerS: urgentShare * s.StartRate, runTimeS: urgentRunTimeS},
		{class: classBulk, priority: client.Standard, jobsPerS: bulkJobsPerS, tasksPerS: (1 - urgentShare) * s.StartRate, runTimeS: s.taskTime().Seconds()},
	}
}

// rampTime is how long the load takes to rise to its peak.
const rampTime = 10 * time.Second

// submitLoad submits work until ctx ends.
func (u *users) submitLoad(ctx context.Context) {
	began, streams := time.Now(), u.size.streams()
	last := began
	for ctxtime.Sleep(ctx, submitInterval) == nil {
		now := time.Now()
		ramp := min(now.Sub(began).Seconds()/rampTime.Seconds(), 1)
		for _, s := range streams {
			for s.dueJobs += s.jobsPerS * now.Sub(last).Seconds(); s.dueJobs >= 1; s.dueJobs-- {
				if tasks := int(s.tasksPerS/s.jobsPerS*ramp + u.rand.Float64()); tasks > 0 {
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
	u.lastJobNumber++
	n := u.lastJobNumber
	u.mu.Unlock()
	region := n % len(u.deployments)
	j := &UserJob{Deployment: region, Submitted: time.Now(), Job: client.Job{
		ID: fmt.Sprintf("j-%06d", n), Class: s.class, Team: teamName(n / len(u.deployments) % max(u.size.Teams, 1)),
		Shape: client.Batch, Priority: s.priority, Spot: true,
		Tasks: tasks, CPUs: 1, MemGB: taskMemGB, EstimateS: s.runTimeS,
		Image: fmt.Sprint("image-", u.rand.IntN(imageCount)), ImageGB: imageGB,
	}}
	cancelled := s.class == classBulk && u.rand.Float64() < cancelShare
	u.mu.Lock()
	u.jobs[j.ID] = j
	u.mu.Unlock()
	u.startRequest(func() {
		r := u.deployments[region]
		if err := r.uploadJobs(j.Job); err != nil {
			u.recordError(err)
			return
		}
		st, _, err := r.client.Submit(ctx, j.Job)
		u.submissions.add(submissionBytes, responseBytes)
		u.mu.Lock()
		defer u.mu.Unlock()
		if err != nil {
			if ctx.Err() == nil {
				u.unanswered++
			}
			return
		}
		j.Accepted, u.openJobs[j.ID] = time.Now(), !st.IsFinal()
		if cancelled {
			time.AfterFunc(u.size.taskTime()/2, func() { u.cancel(j) })
		}
	})
}

// Bytes of the users' messages, as they are: their bodies differ by a few bytes.
const (
	submissionBytes = 330
	responseBytes   = 60
)

// startRequest runs a user's request once fewer than maxConcurrentRequests are under way.
func (u *users) startRequest(request func()) {
	go func() {
		u.requestSlots <- struct{}{}
		defer func() { <-u.requestSlots }()
		request()
	}()
}

// recordError notes an error that makes the run fail.
func (u *users) recordError(err error) {
	u.mu.Lock()
	u.err = errors.Join(u.err, err)
	u.mu.Unlock()
}

// cancel has a user cancel a job.
func (u *users) cancel(j *UserJob) {
	u.mu.Lock()
	j.CancelRequested = true
	u.mu.Unlock()
	ctx, stop := context.WithTimeout(u.ctx, time.Minute)
	defer stop()
	st, err := u.deployments[j.Deployment].client.Cancel(ctx, j.ID)
	u.cancels.add(0, responseBytes)
	u.mu.Lock()
	defer u.mu.Unlock()
	if err == nil && st.Status == client.Cancelled {
		j.Cancelled = time.Now()
	}
}

// pollOpenJobs polls every open job at intervals until ctx ends.
func (u *users) pollOpenJobs(ctx context.Context) {
	for ctxtime.Sleep(ctx, pollInterval) == nil {
		u.mu.Lock()
		var ask []*UserJob
		for id, open := range u.openJobs {
			if open {
				ask = append(ask, u.jobs[id])
			}
		}
		u.mu.Unlock()
		var asked sync.WaitGroup
		for _, j := range ask {
			asked.Add(1)
			u.startRequest(func() {
				defer asked.Done()
				u.poll(ctx, j)
			})
		}
		asked.Wait()
	}
}

// poll polls a job once.
func (u *users) poll(ctx context.Context, j *UserJob) {
	st, err := u.deployments[j.Deployment].client.Get(ctx, j.ID)
	u.polls.add(0, responseBytes)
	if err != nil || !st.IsFinal() {
		return
	}
	u.mu.Lock()
	delete(u.openJobs, j.ID)
	u.mu.Unlock()
}

// openCount returns how many jobs are open.
func (u *users) openCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.openJobs)
}

// awaitCompletion waits until every job is final, or for as long as that may take, and asks each controller for the state of
// each.
func (u *users) awaitCompletion(ctx context.Context) {
	until := time.Now().Add(3*u.size.taskTime() + completionTimeout)
	for u.openCount() > 0 && time.Now().Before(until) && ctxtime.Sleep(ctx, time.Second) == nil {
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
		u.startRequest(func() {
			defer asked.Done()
			j.FinalStates = u.deployments[j.Deployment].finalStates(ctx, j.ID)
		})
	}
	asked.Wait()
}
