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

// Job classes of the load, and the start objective of urgent tasks.
const (
	classUrgent        = "urgent"
	classBulk          = "bulk"
	urgentStartTargetS = 2.8 // maximum time from submission to start, in seconds
)

// Parameters of the load. All jobs are job arrays. No task writes checkpoints.
const (
	urgentShare           = 0.04 // fraction of all task starts
	urgentRunTimeS        = 5.0
	urgentJobsPerS        = 1.0  // over all deployments
	bulkJobsPerS          = 2.0  // over all deployments
	cancelShare           = 0.02 // fraction of bulk jobs
	pollInterval          = 5 * time.Second
	imageCount            = 16
	submitInterval        = 100 * time.Millisecond
	maxConcurrentRequests = 64
	completionTimeout     = 90 * time.Second
)

// users submits the jobs of a run, polls them and cancels some.
type users struct {
	ctx         context.Context // cancelled at the end of the run, so that no request reaches a later run's controllers
	size        Size
	deployments []*deployment
	rand        *rand.Rand

	mu            sync.Mutex
	jobs          map[string]*UserJob
	openJobs      map[string]bool // accepted jobs by ID; poll removes final ones; false: final when accepted
	lastJobNumber int
	err           error         // makes the run fail
	requestSlots  chan struct{} // limits the concurrent requests

	submissions, polls, cancels trafficCounter
	unanswered                  int // submissions without a successful response, apart from those interrupted at the end
}

func newUsers(ctx context.Context, size Size, deployments []*deployment) *users {
	return &users{
		ctx: ctx, size: size, deployments: deployments, rand: rand.New(rand.NewPCG(uint64(size.Workers), uint64(size.Tasks))),
		jobs: map[string]*UserJob{}, openJobs: map[string]bool{}, requestSlots: make(chan struct{}, maxConcurrentRequests),
	}
}

// stream is the load of one job class, submitted at a constant rate.
type stream struct {
	class, priority string
	jobsPerS        float64
	tasksPerS       float64
	runTimeS        float64 // run time of a task
	dueJobs         float64 // jobs due and not yet submitted
}

func (s *Size) streams() []*stream {
	return []*stream{
		{class: classUrgent, priority: client.Urgent, jobsPerS: urgentJobsPerS, tasksPerS: urgentShare * s.StartRate, runTimeS: urgentRunTimeS},
		{class: classBulk, priority: client.Standard, jobsPerS: bulkJobsPerS, tasksPerS: (1 - urgentShare) * s.StartRate, runTimeS: s.taskTime().Seconds()},
	}
}

// rampTime is the time over which the load rises linearly to its peak.
const rampTime = 10 * time.Second

// submitLoad submits jobs until ctx is cancelled.
func (u *users) submitLoad(ctx context.Context) {
	start, streams := time.Now(), u.size.streams()
	last := start
	for ctxtime.Sleep(ctx, submitInterval) == nil {
		now := time.Now()
		ramp := min(now.Sub(start).Seconds()/rampTime.Seconds(), 1)
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

// submit submits one job in a new goroutine. It cancels a random cancelShare of the bulk jobs half of the task run time
// after their acceptance.
func (u *users) submit(ctx context.Context, s *stream, tasks int) {
	u.mu.Lock()
	u.lastJobNumber++
	number := u.lastJobNumber
	u.mu.Unlock()
	index := number % len(u.deployments)
	j := &UserJob{Deployment: index, Submitted: time.Now(), Job: client.Job{
		ID: fmt.Sprintf("j-%06d", number), Class: s.class, Team: teamName(number / len(u.deployments) % max(u.size.Teams, 1)),
		Shape: client.Batch, Priority: s.priority, Spot: true,
		Tasks: tasks, CPUs: 1, MemGB: taskMemGB, EstimateS: s.runTimeS,
		Image: fmt.Sprint("image-", u.rand.IntN(imageCount)), ImageGB: imageGB,
	}}
	willCancel := s.class == classBulk && u.rand.Float64() < cancelShare
	u.mu.Lock()
	u.jobs[j.ID] = j
	u.mu.Unlock()
	u.startRequest(func() {
		d := u.deployments[index]
		if err := d.uploadJobs(j.Job); err != nil {
			u.recordError(err)
			return
		}
		st, _, err := d.client.Submit(ctx, j.Job)
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
		if willCancel {
			time.AfterFunc(u.size.taskTime()/2, func() { u.cancel(j) })
		}
	})
}

// Typical sizes of the users' messages in bytes. The actual sizes differ by a few bytes.
const (
	submissionBytes = 330
	responseBytes   = 60
)

// startRequest runs a request in a new goroutine, which waits until fewer than maxConcurrentRequests are running.
func (u *users) startRequest(request func()) {
	go func() {
		u.requestSlots <- struct{}{}
		defer func() { <-u.requestSlots }()
		request()
	}()
}

// recordError records an error that makes the run fail.
func (u *users) recordError(err error) {
	u.mu.Lock()
	u.err = errors.Join(u.err, err)
	u.mu.Unlock()
}

// cancel requests the cancellation of a job, and records the time of the confirmation.
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

// pollOpenJobs polls every open job at pollInterval until ctx is cancelled.
func (u *users) pollOpenJobs(ctx context.Context) {
	for ctxtime.Sleep(ctx, pollInterval) == nil {
		u.mu.Lock()
		var toPoll []*UserJob
		for id, open := range u.openJobs {
			if open {
				toPoll = append(toPoll, u.jobs[id])
			}
		}
		u.mu.Unlock()
		var pending sync.WaitGroup
		for _, j := range toPoll {
			pending.Add(1)
			u.startRequest(func() {
				defer pending.Done()
				u.poll(ctx, j)
			})
		}
		pending.Wait()
	}
}

// poll queries the state of a job, and removes the job from the open jobs if the state is final.
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

// openCount returns the number of open jobs, including those that were final when accepted.
func (u *users) openCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.openJobs)
}

// awaitCompletion waits until openCount is 0, but at most three task run times plus completionTimeout or until ctx ends.
// Then it sets FinalStates of every accepted job.
func (u *users) awaitCompletion(ctx context.Context) {
	deadline := time.Now().Add(3*u.size.taskTime() + completionTimeout)
	for u.openCount() > 0 && time.Now().Before(deadline) && ctxtime.Sleep(ctx, time.Second) == nil {
	}
	u.mu.Lock()
	all := make([]*UserJob, 0, len(u.jobs))
	for _, j := range u.jobs {
		all = append(all, j)
	}
	u.mu.Unlock()
	var pending sync.WaitGroup
	for _, j := range all {
		if j.Accepted.IsZero() {
			continue
		}
		pending.Add(1)
		u.startRequest(func() {
			defer pending.Done()
			j.FinalStates = u.deployments[j.Deployment].finalStates(ctx, j.ID)
		})
	}
	pending.Wait()
}
