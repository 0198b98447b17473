package simulation

import (
	"fmt"
	"slices"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// The rules of the protocol ("Rules"), by their names there. A breach is noted once and for
// good; rules_test.go breaks each on purpose.

func (w *World) breach(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); !slices.Contains(w.broken, text) {
		w.broken = append(w.broken, text)
	}
}

// Withdrawn notes that a user asks to cancel a job.
func (w *World) Withdrawn(id string) {
	w.mu.Lock()
	w.asked[id] = true
	w.mu.Unlock()
}

// wanted says whether a user asked to cancel a job, or one before it.
func (w *World) wanted(id string) bool {
	w.mu.Lock()
	_, told := w.cancelled[id]
	asked := w.asked[id] || told
	w.mu.Unlock()
	j, _ := w.Jobs(id)
	return asked || slices.ContainsFunc(j.Dependencies, w.wanted)
}

// Cancelled notes that a user was told that a job is cancelled.
func (w *World) Cancelled(id string) {
	w.mu.Lock()
	if _, ok := w.cancelled[id]; !ok {
		w.cancelled[id] = time.Now()
	}
	w.mu.Unlock()
}

// Orphaned says for how long a user has known that a job before this one is cancelled.
func (w *World) Orphaned(id string) time.Duration {
	j, _ := w.Jobs(id)
	var longest time.Duration
	for _, p := range j.Dependencies {
		longest = max(longest, w.Orphaned(p))
		w.mu.Lock()
		if at, ok := w.cancelled[p]; ok {
			longest = max(longest, time.Since(at))
		}
		w.mu.Unlock()
	}
	return longest
}

// Submitted checks what a user is told of a submission that was sent at some time.
func (w *World) Submitted(id string, status int, asked time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, known := w.accepted[id]
	switch status {
	case 200, 201:
		if status == 201 && known && asked.After(at) {
			w.breach("went_back: %s was accepted, and a repeated submission of it is taken for a new job", id)
		}
		if j, ok := w.Jobs(id); !ok || !w.canRun(j) {
			w.breach("odd: %s was accepted, and lacks a field or can never run", id)
		}
		w.accept(id)
	case 400, 422:
		if known && asked.After(at) {
			w.breach("forgotten: %s was accepted, and a repeated submission of it gets %d", id, status)
		}
	}
}

// canRun says whether a machine type takes a job's tasks and its team's limit allows it.
func (w *World) canRun(j records.Job) bool {
	n := 1.0
	if j.Shape != records.ShapeArray {
		n = float64(j.Tasks)
	}
	known := len(w.Teams) == 0 || slices.ContainsFunc(w.Teams, func(t config.Team) bool { return t.Name == j.Team })
	return known && w.within(j.Team, n*j.CPUs, n*j.GPUs) && slices.ContainsFunc(w.Types, func(t records.MachineType) bool {
		return (len(j.Types) == 0 || slices.Contains(j.Types, t.Name)) && (j.Zone == nil || len(t.Zones) == 0 || slices.Contains(t.Zones, *j.Zone)) &&
			j.CPUs <= t.CPUs+1e-9 && j.GPUs <= t.GPUs+1e-9 && j.MemGB <= t.MemGB+1e-9
	})
}

// accept notes that a user was told that there is such a job, with the world locked.
func (w *World) accept(id string) {
	if _, known := w.accepted[id]; !known {
		w.accepted[id] = time.Now()
	}
}

// Unknown checks that a user who asked at some time is told that there is no such job.
func (w *World) Unknown(id string, asked time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at, known := w.accepted[id]; known && asked.After(at) {
		w.breach("forgotten: %s was accepted and is not known", id)
	}
}

// NoteAnswer checks what state of a job a user is told who asked at some time. What anybody was told
// before that binds the answer, whichever controller gives it. It says whether a final state is
// told for the first time.
func (w *World) NoteAnswer(id, status string, asked time.Time) (first bool) {
	orphaned, wanted := w.Orphaned(id), w.wanted(id)
	j, known := w.Jobs(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !known {
		w.breach("invented: nobody submitted %s, which is called %s", id, status)
	}
	w.accept(id)
	over := status == records.StatusDone || status == records.StatusCancelled
	switch {
	case status == records.StatusCancelled && !wanted:
		w.breach("went_back: %s is called cancelled, which neither it nor one before it was", id)
	case status != records.StatusCancelled && orphaned > w.Cancel:
		w.breach("orphaned: %s is called %s, %v after one before it was cancelled", id, status, orphaned)
	}
	was, ended := w.final[id]
	if ended && was.status != status && (over || asked.After(was.at)) {
		w.breach("went_back: %s was called %s, and is called %s", id, was.status, status)
	}
	if done := len(w.finished[id]); known && status == records.StatusDone && done < j.Tasks {
		w.breach("not_done: %s is called done with %d of %d tasks", id, done, j.Tasks)
	}
	if over && !ended {
		w.final[id] = fate{status, time.Now()}
	}
	return over && !ended
}

// fate is a final state, and when a user was first told of it.
type fate struct {
	status string
	at     time.Time
}

// Broken lists what rules were broken.
func (w *World) Broken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.broken...)
}

// CheckEnd checks what must not be on machines any more.
func (w *World) CheckEnd() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		for _, s := range m.tasks {
			id, _ := fleet.ParseTask(s.task)
			at, ok := w.cancelled[id.Job]
			// From when it has its image until it exits, also while it waits for its gang or saves.
			if !ok || s.status == "ended" || s.status == "pulling" || m.gone || time.Since(m.lastSent) > w.Lease {
				continue
			}
			if since := time.Since(at); since > w.Cancel {
				w.breach("ran_cancelled: %s still on %s", s.task, m.Host)
			} else {
				w.longest = max(w.longest, since)
			}
		}
	}
}

// checkStart checks the rules when a task starts.
func (w *World) checkStart(m *Machine, o fleet.Command, job records.Job) {
	id, _ := fleet.ParseTask(o.Task)
	now := time.Now()
	if at, ok := w.cancelled[id.Job]; ok {
		switch since := now.Sub(at); {
		case since > w.Cancel:
			w.breach("ran_cancelled: %s started %v after its cancellation", o.Task, since)
		case since > w.InFlight:
			w.breach("started_cancelled: %s started %v after its cancellation was confirmed", o.Task, since)
		}
	}
	for _, p := range job.Dependencies {
		if pj, ok := w.Jobs(p); ok && len(w.finished[p]) < pj.Tasks {
			w.breach("too_early: %s started, %d of %d tasks of %s are done", o.Task, len(w.finished[p]), pj.Tasks, p)
		}
	}
	zones := map[string]int{}
	for s, x := range w.byJob[id.Job] {
		if !x.holds(now) {
			continue
		}
		if s.task == o.Task && x != m {
			w.breach("ran_twice: %s started on %s while it is on %s", o.Task, m.Host, x.Host)
		}
		zones[x.Zone]++
	}
	if job.OneZone && len(zones) > 1 || job.SpreadZones && zones[m.Zone] > (job.Tasks+1)/2 ||
		job.Zone != nil && *job.Zone != m.Zone || len(job.Types) > 0 && !slices.Contains(job.Types, m.typ.Name) || m.Spot && !job.Spot {
		w.breach("wrong_place: %s on %s", o.Task, m.Host)
	}
	w.checkLimit(job.Team)
}

// holds says whether what a machine has counts as there: its worker's lease has not ended.
func (m *Machine) holds(now time.Time) bool { return !m.gone && now.Sub(m.lastSent) <= m.w.Lease }

// checkLimit checks what a team's tasks use. What still waits for its image counts as well,
// which is stricter than the rule.
func (w *World) checkLimit(team string) {
	if len(w.Teams) == 0 {
		return // nobody has one
	}
	if cpus, gpus := w.used(team); !w.within(team, cpus, gpus) {
		w.breach("quota: %s uses %g CPUs and %g GPUs", team, cpus, gpus)
	}
}

// used is what a team's tasks take.
func (w *World) used(team string) (cpus, gpus float64) {
	now := time.Now()
	for _, of := range w.byJob {
		for s, m := range of {
			if s.job.Team == team && m.holds(now) {
				cpus, gpus = cpus+s.job.CPUs, gpus+s.job.GPUs
			}
		}
	}
	return cpus, gpus
}

// within says whether a team may use so much.
func (w *World) within(team string, cpus, gpus float64) bool {
	return !slices.ContainsFunc(w.Teams, func(t config.Team) bool {
		return t.Name == team && (t.LimitCPUs > 0 && cpus > t.LimitCPUs+1e-9 || t.LimitGPUs > 0 && gpus > t.LimitGPUs+1e-9)
	})
}
