package simulation

import (
	"fmt"
	"math"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// Statuses of attempts, as workers report them.
const (
	statusPulling  = "pulling" // fetching the image
	statusWaiting  = "waiting" // waiting for the other tasks of the gang
	statusRunning  = "running"
	statusFlushing = "flushing" // saving a checkpoint before the attempt ends
	statusEnded    = "ended"
)

// attempt is one execution of a task on a machine.
type attempt struct {
	task   string
	taskID fleet.TaskID
	job    records.Job
	number uint64

	status           string
	cause            string // why the attempt ended: a fleet.Cause constant or causeLost
	checkpointSaved  bool   // a checkpoint was saved when the attempt was stopped
	startedAt        time.Time
	statusSince      time.Time
	statusEndsAt     time.Time     // when the status times out or completes; zero: never
	runningSince     time.Time     // zero: the attempt has not run yet
	initialProgress  time.Duration // saved progress of the task when the attempt began to run
	peerMissingSince time.Time     // zero: no task of the gang is missing
}

// checkpointKey returns the key of the task's saved progress: the job's ID for gangs, the task's name otherwise.
func (a *attempt) checkpointKey() string {
	if a.job.Shape == records.ShapeGang {
		return a.taskID.Job
	}
	return a.task
}

// progressAt returns the task's progress at a time, or its initial progress if the attempt is not running.
func (a *attempt) progressAt(now time.Time) time.Duration {
	if a.status != statusRunning {
		return a.initialProgress
	}
	return a.initialProgress + now.Sub(a.statusSince)
}

// checkpointAt returns the progress in the last periodic checkpoint before a time, or 0 if the job saves none.
func (a *attempt) checkpointAt(now time.Time) time.Duration {
	if a.job.CheckpointS <= 0 {
		return 0
	}
	interval := a.job.CheckpointS
	return time.Duration(math.Floor(a.progressAt(now).Seconds()/interval) * interval * float64(time.Second))
}

// saveProgressLocked stores an attempt's progress, with which later attempts of the task (or of the gang) start. It
// never lowers the stored progress.
func (env *Environment) saveProgressLocked(a *attempt, progress time.Duration) {
	key := a.checkpointKey()
	env.savedProgress[key] = max(env.savedProgress[key], progress)
}

// advanceLocked applies everything that is due by now: the expiry of the worker's lease and the status changes of
// its attempts.
func (m *Machine) advanceLocked() {
	now := time.Now()
	if now.Sub(m.leaseStart) > m.env.Lease {
		m.env.leaseExpiries++
		m.loseTasksLocked(m.leaseStart.Add(m.env.Lease))
		m.incarnation++
		m.leaseStart = now
	}
	for _, a := range m.tasks {
		gang := a.job.Shape == records.ShapeGang
		switch {
		case a.status == statusPulling && !now.Before(a.statusEndsAt):
			m.onImageReadyLocked(a)
		case a.status == statusWaiting && !a.statusEndsAt.IsZero() && !now.Before(a.statusEndsAt):
			m.endAttemptLocked(a, fleet.CauseGangTimeout)
		case a.status == statusRunning && gang && m.gangPeerTimedOutLocked(a, now):
			m.env.saveProgressLocked(a, a.checkpointAt(now))
			m.endAttemptLocked(a, fleet.CauseGangPeerLost)
		case a.status == statusRunning && !a.statusEndsAt.IsZero() && !now.Before(a.statusEndsAt):
			m.completeAttemptLocked(a)
		case a.status == statusFlushing && !now.Before(a.statusEndsAt):
			a.checkpointSaved = true
			m.endAttemptLocked(a, fleet.CauseStopped)
		}
	}
}

// executeLocked executes a controller's commands. A repeated command has no effect, with two exceptions: a kill without
// a grace period ends an attempt that is saving its checkpoint, and a run after a reap starts the attempt again.
func (m *Machine) executeLocked(commands []fleet.Command) {
	m.advanceLocked()
	for _, c := range commands {
		key := fmt.Sprintf("%s:%d", c.Task, c.Attempt)
		a := m.tasks[key]
		switch c.Verb {
		case fleet.VerbRun:
			if a == nil {
				m.startAttemptLocked(key, c)
			}
		case fleet.VerbKill:
			if a != nil && a.status != statusEnded {
				m.killAttemptLocked(a, c)
			}
		case fleet.VerbReap:
			if a != nil && a.status == statusEnded {
				delete(m.tasks, key)
			}
		}
	}
}

// startAttemptLocked starts an attempt and checks the rules that apply to a start. If the worker rejects the attempt,
// the attempt ends at once.
func (m *Machine) startAttemptLocked(key string, c fleet.Command) {
	env := m.env
	id, _ := fleet.ParseTask(c.Task)
	now := time.Now()
	job, known := env.LookupJob(id.Job)
	a := &attempt{
		task: c.Task, taskID: id, job: job, number: c.Attempt,
		status: statusPulling, startedAt: now, statusSince: now,
	}
	m.tasks[key] = a
	if cause := m.rejectionCauseLocked(a, known); cause != "" {
		m.endAttemptLocked(a, cause)
		return
	}
	if env.attempts[id.Job] == nil {
		env.attempts[id.Job] = map[*attempt]*Machine{}
	}
	env.attempts[id.Job][a] = m
	env.starts++
	env.checkStartLocked(m, c, job)
	if _, ok := m.imageReadyAt[job.Image]; !ok {
		var fetch time.Duration
		if m.typ.FetchGBps > 0 {
			fetch = time.Duration(job.ImageGB / m.typ.FetchGBps * float64(time.Second))
		}
		m.imageReadyAt[job.Image] = now.Add(fetch)
	}
	if a.statusEndsAt = m.imageReadyAt[job.Image]; !now.Before(a.statusEndsAt) {
		m.onImageReadyLocked(a)
	}
	m.wake()
}

// epsilon is the tolerance for rounding errors in sums of resources.
const epsilon = 1e-9

// rejectionCauseLocked returns why the worker rejects an attempt, or "" if it accepts it. It does not check GPUs.
func (m *Machine) rejectionCauseLocked(a *attempt, jobKnown bool) (cause string) {
	cpus, mem := a.job.CPUs, a.job.MemGB
	for _, other := range m.tasks {
		if other == a || other.status == statusEnded {
			continue
		}
		if other.task == a.task {
			return fleet.CauseOtherAttempt
		}
		cpus, mem = cpus+other.job.CPUs, mem+other.job.MemGB
	}
	switch {
	case !jobKnown:
		return fleet.CauseUnknownTask
	case cpus > m.typ.CPUs+epsilon || m.typ.MemGB > 0 && mem > m.typ.MemGB+epsilon:
		return fleet.CauseFull
	}
	return ""
}

// onImageReadyLocked starts an attempt whose image has been fetched, or lets it wait for its gang.
func (m *Machine) onImageReadyLocked(a *attempt) {
	now := time.Now()
	a.statusSince, a.statusEndsAt = now, time.Time{}
	if m.env.completed[a.taskID.Job][a.task] {
		m.endAttemptLocked(a, fleet.CauseDone) // the task already completed; its result is kept
		return
	}
	if a.job.Shape != records.ShapeGang || m.env.GangStartTimeout == 0 {
		m.startRunningLocked(a, now)
		return
	}
	a.status, a.statusEndsAt = statusWaiting, now.Add(m.env.GangStartTimeout)
	m.env.startGangIfReadyLocked(a, now)
}

// startRunningLocked lets an attempt run, starting with the saved progress of its task or gang.
func (m *Machine) startRunningLocked(a *attempt, now time.Time) {
	a.status, a.statusSince, a.statusEndsAt = statusRunning, now, time.Time{}
	a.runningSince = now
	a.initialProgress = m.env.savedProgress[a.checkpointKey()]
	if a.job.Shape != records.ShapeService {
		a.statusEndsAt = now.Add(max(m.env.RunTime(a.task)-a.initialProgress, 0))
	}
}

// completeAttemptLocked ends an attempt whose run time is over: with an error if TaskFails says so, otherwise as done,
// together with the other attempts of its gang if GangStartTimeout is set.
func (m *Machine) completeAttemptLocked(a *attempt) {
	env, job := m.env, a.taskID.Job
	if env.TaskFails != nil && env.TaskFails(m, a.task) {
		m.endAttemptLocked(a, fleet.CauseError)
		return
	}
	gang := a.job.Shape == records.ShapeGang
	done := []gangPeer{{m, a}}
	if gang && env.GangStartTimeout > 0 {
		done = env.gangPeersLocked(a)
	}
	if env.completed[job] == nil {
		env.completed[job] = map[string]bool{}
	}
	if gang {
		// All tasks of a gang are done together, even if gangs may run with tasks missing.
		for n := range a.job.Tasks {
			env.completed[job][fleet.TaskID{Job: job, N: n}.String()] = true
		}
	}
	for _, p := range done {
		env.completed[job][p.attempt.task] = true
		p.machine.endAttemptLocked(p.attempt, fleet.CauseDone)
	}
}

// killAttemptLocked stops an attempt. A running attempt first saves a checkpoint if its job saves checkpoints and the
// grace period is long enough. An attempt that is already saving one completes it unless the grace period is 0.
// Otherwise the attempt ends now and keeps the progress of its last periodic checkpoint.
func (m *Machine) killAttemptLocked(a *attempt, c fleet.Command) {
	now, grace := time.Now(), 0.0
	if c.GraceS != nil {
		grace = *c.GraceS
	}
	switch canSave := a.job.CheckpointS > 0; {
	case a.status == statusFlushing && grace > 0: // the attempt completes its checkpoint
	case a.status == statusRunning && canSave && grace >= a.job.SaveS:
		m.env.saveProgressLocked(a, a.progressAt(now))
		a.status, a.statusSince = statusFlushing, now
		a.statusEndsAt = now.Add(time.Duration(a.job.SaveS * float64(time.Second)))
		if a.job.SaveS == 0 {
			a.checkpointSaved = true
			m.endAttemptLocked(a, fleet.CauseStopped)
		}
	default:
		if a.status == statusRunning {
			m.env.saveProgressLocked(a, a.checkpointAt(now))
		}
		m.endAttemptLocked(a, fleet.CauseStopped)
	}
}

// loseTasksLocked removes all attempts from the machine and records those that had not ended as lost at a time.
func (m *Machine) loseTasksLocked(at time.Time) {
	for _, a := range m.tasks {
		if a.status != statusEnded {
			if a.status == statusRunning {
				m.env.saveProgressLocked(a, a.checkpointAt(time.Now()))
			}
			m.endAttemptAtLocked(a, causeLost, at)
		}
	}
	clear(m.tasks)
}

// endAttemptLocked ends an attempt now.
func (m *Machine) endAttemptLocked(a *attempt, cause string) {
	m.endAttemptAtLocked(a, cause, time.Now())
}

// endAttemptAtLocked ends an attempt with a time as its end, and records its run and its lost work.
func (m *Machine) endAttemptAtLocked(a *attempt, cause string, at time.Time) {
	env := m.env
	if cause != fleet.CauseDone && a.job.Shape != records.ShapeService {
		env.lostWork += max(a.progressAt(time.Now())-env.savedProgress[a.checkpointKey()], 0)
	}
	a.status, a.cause, a.statusSince, a.statusEndsAt = statusEnded, cause, at, time.Time{}
	if live := env.attempts[a.taskID.Job]; live != nil {
		if delete(live, a); len(live) == 0 {
			delete(env.attempts, a.taskID.Job)
		}
	}
	env.runs = append(env.runs, TaskRun{
		Task: a.task, Machine: m.Name, Zone: m.Zone,
		Started: a.startedAt, Running: a.runningSince, Ended: a.statusSince, Cause: cause,
	})
	m.wake()
}
