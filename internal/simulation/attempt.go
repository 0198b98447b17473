package simulation

import (
	"fmt"
	"math"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// attempt is one start of a task on a machine.
type attempt struct {
	task             string
	taskID           fleet.TaskID
	job              records.Job
	number           uint64
	status           string
	cause            string
	saved            bool
	startedAt        time.Time     // when it came
	statusSince      time.Time     // of the status
	runningSince     time.Time     // when it first ran; zero: it has not
	statusEnds       time.Time     // when the status ends by itself; zero: it does not
	initialProgress  time.Duration // when it began to run
	peerMissingSince time.Time     // since when a mate is missing
}

// advanceLocked moves the machine on to the present: lease, and what ends by itself.
func (m *Machine) advanceLocked() {
	now := time.Now()
	if now.Sub(m.leaseStart) > m.env.Lease {
		m.env.leaseExpiries++
		m.loseTasksLocked(m.leaseStart.Add(m.env.Lease))
		m.incarnation++
		m.leaseStart = now
	}
	for _, s := range m.tasks {
		group := s.job.Shape == records.ShapeGang
		switch {
		case s.status == "pulling" && !now.Before(s.statusEnds):
			m.imageReadyLocked(s)
		case s.status == "waiting" && !s.statusEnds.IsZero() && !now.Before(s.statusEnds):
			m.endLocked(s, fleet.CauseAlone)
		case s.status == "running" && group && m.peersMissingLocked(s, now):
			m.env.saveProgressLocked(s, s.checkpointAt(now))
			m.endLocked(s, fleet.CauseMatesGone)
		case s.status == "running" && !s.statusEnds.IsZero() && !now.Before(s.statusEnds):
			m.completeLocked(s)
		case s.status == "flushing" && !now.Before(s.statusEnds):
			s.saved = true
			m.endLocked(s, fleet.CauseStopped)
		}
	}
}

// imageReadyLocked goes on when the image is there.
func (m *Machine) imageReadyLocked(s *attempt) {
	now := time.Now()
	s.statusSince, s.statusEnds = now, time.Time{}
	if m.env.completed[s.taskID.Job][s.task] {
		m.endLocked(s, fleet.CauseDone) // its result is kept
		return
	}
	if s.job.Shape != records.ShapeGang || m.env.GangStartTimeout == 0 {
		m.runLocked(s, now)
		return
	}
	s.status, s.statusEnds = "waiting", now.Add(m.env.GangStartTimeout)
	mates := m.env.gangPeersLocked(s)
	if len(mates) < s.job.Tasks {
		return
	}
	for _, x := range mates {
		if x.attempt.status != "waiting" {
			return
		}
	}
	for _, x := range mates {
		x.machine.runLocked(x.attempt, now)
		x.machine.wake()
	}
}

// runLocked lets a task run on from what is safe.
func (m *Machine) runLocked(s *attempt, now time.Time) {
	s.status, s.statusSince, s.statusEnds = "running", now, time.Time{}
	s.runningSince = now
	s.initialProgress = m.env.savedProgress[s.checkpointKey()]
	if s.job.Shape != records.ShapeService {
		s.statusEnds = now.Add(max(m.env.RunTime(s.task)-s.initialProgress, 0))
	}
}

// completeLocked ends a task that is done, and with it its whole gang.
func (m *Machine) completeLocked(s *attempt) {
	if m.env.TaskFails != nil && m.env.TaskFails(m, s.task) {
		m.endLocked(s, fleet.CauseError)
		return
	}
	all := []gangPeer{{m, s}}
	if s.job.Shape == records.ShapeGang && m.env.GangStartTimeout > 0 {
		all = m.env.gangPeersLocked(s)
	}
	if m.env.completed[s.taskID.Job] == nil {
		m.env.completed[s.taskID.Job] = map[string]bool{}
	}
	if s.job.Shape == records.ShapeGang {
		// When one task is done every one is, also where gangs go on whoever is missing.
		for n := range s.job.Tasks {
			m.env.completed[s.taskID.Job][fleet.TaskID{Job: s.taskID.Job, N: n}.String()] = true
		}
	}
	for _, x := range all {
		m.env.completed[s.taskID.Job][x.attempt.task] = true
		x.machine.endLocked(x.attempt, fleet.CauseDone)
	}
}

// peersMissingLocked says whether a gang has been without one of its tasks for too long.
func (m *Machine) peersMissingLocked(s *attempt, now time.Time) bool {
	if m.env.GangPeerTimeout == 0 || len(m.env.gangPeersLocked(s)) == s.job.Tasks {
		s.peerMissingSince = time.Time{}
		return false
	}
	if s.peerMissingSince.IsZero() {
		s.peerMissingSince = now
	}
	return now.Sub(s.peerMissingSince) >= m.env.GangPeerTimeout
}

type gangPeer struct {
	machine *Machine
	attempt *attempt
}

// gangPeersLocked are the tasks of an attempt that are on machines and have not ended.
func (env *Environment) gangPeersLocked(s *attempt) []gangPeer {
	var all []gangPeer
	for x, m := range env.attempts[s.taskID.Job] {
		if x.number == s.number && !m.gone && !m.hung {
			all = append(all, gangPeer{m, x})
		}
	}
	return all
}

// checkpointKey names what a task's safe progress is kept under.
func (a *attempt) checkpointKey() string {
	if a.job.Shape == records.ShapeGang {
		return a.taskID.Job
	}
	return a.task
}

// progressAt is how far a task has come.
func (a *attempt) progressAt(now time.Time) time.Duration {
	if a.status != "running" {
		return a.initialProgress
	}
	return a.initialProgress + now.Sub(a.statusSince)
}

// checkpointAt is the progress that a task has saved by itself.
func (a *attempt) checkpointAt(now time.Time) time.Duration {
	if a.job.CheckpointS <= 0 {
		return 0
	}
	every := a.job.CheckpointS
	return time.Duration(math.Floor(a.progressAt(now).Seconds()/every) * every * float64(time.Second))
}

func (env *Environment) saveProgressLocked(s *attempt, to time.Duration) {
	env.savedProgress[s.checkpointKey()] = max(env.savedProgress[s.checkpointKey()], to)
}

func (m *Machine) executeLocked(orders []fleet.Command) {
	m.advanceLocked()
	for _, o := range orders {
		k := fmt.Sprintf("%s:%d", o.Task, o.Attempt)
		s := m.tasks[k]
		switch o.Verb {
		case fleet.VerbRun:
			if s == nil {
				m.startLocked(k, o)
			}
		case fleet.VerbKill:
			if s != nil && s.status != "ended" {
				m.killLocked(s, o)
			}
		case fleet.VerbReap:
			if s != nil && s.status == "ended" {
				delete(m.tasks, k)
			}
		}
	}
}

// killLocked stops a task, which saves where it can and is given the time.
func (m *Machine) killLocked(s *attempt, o fleet.Command) {
	now, grace := time.Now(), 0.0
	if o.GraceS != nil {
		grace = *o.GraceS
	}
	switch saves := s.job.CheckpointS > 0; {
	case s.status == "flushing" && grace > 0:
	case s.status == "running" && saves && grace >= s.job.SaveS:
		m.env.saveProgressLocked(s, s.progressAt(now))
		s.status, s.statusSince, s.statusEnds = "flushing", now, now.Add(time.Duration(s.job.SaveS*float64(time.Second)))
		if s.job.SaveS == 0 {
			s.saved = true
			m.endLocked(s, fleet.CauseStopped)
		}
	default:
		if s.status == "running" {
			m.env.saveProgressLocked(s, s.checkpointAt(now))
		}
		m.endLocked(s, fleet.CauseStopped)
	}
}

// startLocked takes a task in, and checks the rules while it does.
func (m *Machine) startLocked(k string, o fleet.Command) {
	w := m.env
	id, _ := fleet.ParseTask(o.Task)
	now := time.Now()
	job, ok := w.LookupJob(id.Job)
	s := &attempt{task: o.Task, taskID: id, job: job, number: o.Attempt, startedAt: now, statusSince: now, status: "pulling"}
	m.tasks[k] = s
	cpus, mem := job.CPUs, job.MemGB
	for _, x := range m.tasks {
		if x != s && x.status != "ended" {
			if cpus, mem = cpus+x.job.CPUs, mem+x.job.MemGB; x.task == s.task {
				m.endLocked(s, fleet.CauseBusy)
				return
			}
		}
	}
	switch {
	case !ok:
		m.endLocked(s, fleet.CauseNoSuch)
		return
	case cpus > m.typ.CPUs+1e-9 || m.typ.MemGB > 0 && mem > m.typ.MemGB+1e-9:
		m.endLocked(s, fleet.CauseFull)
		return
	}
	if w.attempts[id.Job] == nil {
		w.attempts[id.Job] = map[*attempt]*Machine{}
	}
	w.attempts[id.Job][s] = m
	w.starts++
	w.checkStartLocked(m, o, job)
	if _, ok := m.imageReadyAt[job.Image]; !ok {
		var fetch time.Duration
		if m.typ.FetchGBps > 0 {
			fetch = time.Duration(job.ImageGB / m.typ.FetchGBps * float64(time.Second))
		}
		m.imageReadyAt[job.Image] = now.Add(fetch)
	}
	if s.statusEnds = m.imageReadyAt[job.Image]; !now.Before(s.statusEnds) {
		m.imageReadyLocked(s)
	}
	m.wake()
}
