package standin

import (
	"fmt"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/ledger"
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
	return asked || slices.ContainsFunc(j.Prereqs, w.wanted)
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
	for _, p := range j.Prereqs {
		longest = max(longest, w.Orphaned(p))
		w.mu.Lock()
		if at, ok := w.cancelled[p]; ok {
			longest = max(longest, time.Since(at))
		}
		w.mu.Unlock()
	}
	return longest
}

// Submitted checks what a user is told of a submission.
func (w *World) Submitted(id string, status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch status {
	case 200, 201:
		w.accepted[id] = true
	case 400, 422:
		if w.accepted[id] {
			w.breach("forgotten: %s was accepted, and a repeated submission of it gets %d", id, status)
		}
	}
}

// Unknown checks that a user is told that there is no such job.
func (w *World) Unknown(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.accepted[id] {
		w.breach("forgotten: %s was accepted and is not known", id)
	}
}

// Told checks what state of a job a user is told.
func (w *World) Told(id, status string) {
	orphaned, wanted := w.Orphaned(id), w.wanted(id)
	j, known := w.Jobs(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !known {
		w.breach("invented: nobody submitted %s, which is called %s", id, status)
	}
	switch {
	case status == ledger.StatusCancelled && !wanted:
		w.breach("went_back: %s is called cancelled, which neither it nor one before it was", id)
	case status != ledger.StatusCancelled && orphaned > w.Cancel:
		w.breach("orphaned: %s is called %s, %v after one before it was cancelled", id, status, orphaned)
	}
	if was := w.final[id]; was != "" && was != status {
		w.breach("went_back: %s was called %s, and is called %s", id, was, status)
	}
	if done := len(w.finished[id]); known && status == ledger.StatusDone && done < j.Tasks {
		w.breach("not_done: %s is called done with %d of %d tasks", id, done, j.Tasks)
	}
	if status == ledger.StatusDone || status == ledger.StatusCancelled {
		w.final[id] = status
	}
}

// Broken lists what rules were broken.
func (w *World) Broken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.broken...)
}

// Sweep checks what must not be on machines any more.
func (w *World) Sweep() {
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
func (w *World) checkStart(m *Machine, o fleet.Order, job ledger.Job) {
	id, _ := fleet.ParseTask(o.Shot)
	now := time.Now()
	if at, ok := w.cancelled[id.Job]; ok && now.Sub(at) > w.Cancel {
		w.breach("ran_cancelled: %s started %v after its cancellation", o.Shot, now.Sub(at))
	}
	for _, p := range job.Prereqs {
		if pj, ok := w.Jobs(p); ok && len(w.finished[p]) < pj.Tasks {
			w.breach("too_early: %s started, %d of %d tasks of %s are done", o.Shot, len(w.finished[p]), pj.Tasks, p)
		}
	}
	zones := map[string]int{}
	for s, x := range w.byJob[id.Job] {
		if !x.holds(now) {
			continue
		}
		if s.task == o.Shot && x != m {
			w.breach("ran_twice: %s started on %s while it is on %s", o.Shot, m.Host, x.Host)
		}
		zones[x.Zone]++
	}
	if job.OneZone && len(zones) > 1 || job.Apart && zones[m.Zone] > (job.Tasks+1)/2 ||
		job.Zone != nil && *job.Zone != m.Zone || len(job.Types) > 0 && !slices.Contains(job.Types, m.typ.Name) || m.Spot && !job.Spot {
		w.breach("wrong_place: %s on %s", o.Shot, m.Host)
	}
	w.checkLimit(job.Team, now)
}

// holds says whether what a machine has counts as there: its worker's lease has not ended.
func (m *Machine) holds(now time.Time) bool { return !m.gone && now.Sub(m.lastSent) <= m.w.Lease }

// checkLimit checks what a team's tasks use. What still waits for its image counts as well,
// which is stricter than the rule.
func (w *World) checkLimit(team string, now time.Time) {
	for _, t := range w.Teams {
		if t.Name != team || t.CPUsMax == 0 && t.GPUsMax == 0 {
			continue
		}
		cpus, gpus := 0.0, 0.0
		for _, of := range w.byJob {
			for s, m := range of {
				if s.job.Team == team && m.holds(now) {
					cpus, gpus = cpus+s.job.CPUs, gpus+s.job.GPUs
				}
			}
		}
		if t.CPUsMax > 0 && cpus > t.CPUsMax+1e-9 || t.GPUsMax > 0 && gpus > t.GPUsMax+1e-9 {
			w.breach("quota: %s uses %g CPUs and %g GPUs", team, cpus, gpus)
		}
	}
}
