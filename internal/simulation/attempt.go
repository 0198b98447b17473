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
	task     string
	id       fleet.TaskID
	job      records.Job
	try      uint64
	status   string
	cause    string
	saved    bool
	began    time.Time     // when it came
	since    time.Time     // of the status
	ran      time.Time     // when it first ran; zero: it has not
	until    time.Time     // when the status ends by itself; zero: it does not
	progress time.Duration // when it began to run
	lacking  time.Time     // since when a mate is missing
}

// step moves the machine on to the present: lease, and what ends by itself.
func (m *Machine) step() {
	now := time.Now()
	if now.Sub(m.lastSent) > m.w.Lease {
		m.w.lapses++
		m.forget(m.lastSent.Add(m.w.Lease))
		m.session++
		m.lastSent = now
	}
	for _, s := range m.tasks {
		group := s.job.Shape == records.ShapeGang
		switch {
		case s.status == "pulling" && !now.Before(s.until):
			m.fetched(s)
		case s.status == "waiting" && !s.until.IsZero() && !now.Before(s.until):
			m.over(s, fleet.CauseAlone)
		case s.status == "running" && group && m.lonely(s, now):
			m.w.saveProgress(s, s.checkpoint(now))
			m.over(s, fleet.CauseMatesGone)
		case s.status == "running" && !s.until.IsZero() && !now.Before(s.until):
			m.complete(s)
		case s.status == "flushing" && !now.Before(s.until):
			s.saved = true
			m.over(s, fleet.CauseStopped)
		}
	}
}

// fetched goes on when the image is there.
func (m *Machine) fetched(s *attempt) {
	now := time.Now()
	s.since, s.until = now, time.Time{}
	if m.w.finished[s.id.Job][s.task] {
		m.over(s, fleet.CauseDone) // its result is kept
		return
	}
	if s.job.Shape != records.ShapeGang || m.w.GangWait == 0 {
		m.begin(s, now)
		return
	}
	s.status, s.until = "waiting", now.Add(m.w.GangWait)
	mates := m.w.mates(s)
	if len(mates) < s.job.Tasks {
		return
	}
	for _, x := range mates {
		if x.s.status != "waiting" {
			return
		}
	}
	for _, x := range mates {
		x.m.begin(x.s, now)
		x.m.wake()
	}
}

// begin lets a task run on from what is safe.
func (m *Machine) begin(s *attempt, now time.Time) {
	s.status, s.since, s.until = "running", now, time.Time{}
	s.ran = now
	s.progress = m.w.saved[s.safe()]
	if s.job.Shape != records.ShapeService {
		s.until = now.Add(max(m.w.RunFor(s.task)-s.progress, 0))
	}
}

// complete ends a task that is done, and with it its whole gang.
func (m *Machine) complete(s *attempt) {
	if m.w.Fails != nil && m.w.Fails(m, s.task) {
		m.over(s, fleet.CauseError)
		return
	}
	all := []mate{{m, s}}
	if s.job.Shape == records.ShapeGang && m.w.GangWait > 0 {
		all = m.w.mates(s)
	}
	if m.w.finished[s.id.Job] == nil {
		m.w.finished[s.id.Job] = map[string]bool{}
	}
	if s.job.Shape == records.ShapeGang {
		// When one task is done every one is, also where gangs go on whoever is missing.
		for n := range s.job.Tasks {
			m.w.finished[s.id.Job][fleet.TaskID{Job: s.id.Job, N: n}.String()] = true
		}
	}
	for _, x := range all {
		m.w.finished[s.id.Job][x.s.task] = true
		x.m.over(x.s, fleet.CauseDone)
	}
}

// lonely says whether a gang has been without one of its tasks for too long.
func (m *Machine) lonely(s *attempt, now time.Time) bool {
	if m.w.GangPeer == 0 || len(m.w.mates(s)) == s.job.Tasks {
		s.lacking = time.Time{}
		return false
	}
	if s.lacking.IsZero() {
		s.lacking = now
	}
	return now.Sub(s.lacking) >= m.w.GangPeer
}

type mate struct {
	m *Machine
	s *attempt
}

// mates are the tasks of an attempt that are on machines and have not ended.
func (w *World) mates(s *attempt) []mate {
	var all []mate
	for x, m := range w.byJob[s.id.Job] {
		if x.try == s.try && !m.gone && !m.hung {
			all = append(all, mate{m, x})
		}
	}
	return all
}

// safe names what a task's safe progress is kept under.
func (s *attempt) safe() string {
	if s.job.Shape == records.ShapeGang {
		return s.id.Job
	}
	return s.task
}

// at is how far a task has come.
func (s *attempt) at(now time.Time) time.Duration {
	if s.status != "running" {
		return s.progress
	}
	return s.progress + now.Sub(s.since)
}

// checkpoint is the progress that a task has saved by itself.
func (s *attempt) checkpoint(now time.Time) time.Duration {
	if s.job.CheckpointS <= 0 {
		return 0
	}
	every := s.job.CheckpointS
	return time.Duration(math.Floor(s.at(now).Seconds()/every) * every * float64(time.Second))
}

func (w *World) saveProgress(s *attempt, to time.Duration) {
	w.saved[s.safe()] = max(w.saved[s.safe()], to)
}

func (m *Machine) execute(orders []fleet.Command) {
	m.step()
	for _, o := range orders {
		k := fmt.Sprintf("%s:%d", o.Task, o.Attempt)
		s := m.tasks[k]
		switch o.Verb {
		case fleet.VerbRun:
			if s == nil {
				m.start(k, o)
			}
		case fleet.VerbKill:
			if s != nil && s.status != "ended" {
				m.kill(s, o)
			}
		case fleet.VerbReap:
			if s != nil && s.status == "ended" {
				delete(m.tasks, k)
			}
		}
	}
}

// kill stops a task, which saves where it can and is given the time.
func (m *Machine) kill(s *attempt, o fleet.Command) {
	now, grace := time.Now(), 0.0
	if o.GraceS != nil {
		grace = *o.GraceS
	}
	switch saves := s.job.CheckpointS > 0; {
	case s.status == "flushing" && grace > 0:
	case s.status == "running" && saves && grace >= s.job.SaveS:
		m.w.saveProgress(s, s.at(now))
		s.status, s.since, s.until = "flushing", now, now.Add(time.Duration(s.job.SaveS*float64(time.Second)))
		if s.job.SaveS == 0 {
			s.saved = true
			m.over(s, fleet.CauseStopped)
		}
	default:
		if s.status == "running" {
			m.w.saveProgress(s, s.checkpoint(now))
		}
		m.over(s, fleet.CauseStopped)
	}
}

// start takes a task in, and checks the rules while it does.
func (m *Machine) start(k string, o fleet.Command) {
	w := m.w
	id, _ := fleet.ParseTask(o.Task)
	now := time.Now()
	job, ok := w.Jobs(id.Job)
	s := &attempt{task: o.Task, id: id, job: job, try: o.Attempt, began: now, since: now, status: "pulling"}
	m.tasks[k] = s
	cpus, mem := job.CPUs, job.MemGB
	for _, x := range m.tasks {
		if x != s && x.status != "ended" {
			if cpus, mem = cpus+x.job.CPUs, mem+x.job.MemGB; x.task == s.task {
				m.over(s, fleet.CauseBusy)
				return
			}
		}
	}
	switch {
	case !ok:
		m.over(s, fleet.CauseNoSuch)
		return
	case cpus > m.typ.CPUs+1e-9 || m.typ.MemGB > 0 && mem > m.typ.MemGB+1e-9:
		m.over(s, fleet.CauseFull)
		return
	}
	if w.byJob[id.Job] == nil {
		w.byJob[id.Job] = map[*attempt]*Machine{}
	}
	w.byJob[id.Job][s] = m
	w.starts++
	w.checkStart(m, o, job)
	if _, ok := m.images[job.Image]; !ok {
		var fetch time.Duration
		if m.typ.FetchGBps > 0 {
			fetch = time.Duration(job.ImageGB / m.typ.FetchGBps * float64(time.Second))
		}
		m.images[job.Image] = now.Add(fetch)
	}
	if s.until = m.images[job.Image]; !now.Before(s.until) {
		m.fetched(s)
	}
	m.wake()
}
