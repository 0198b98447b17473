// Package served keeps account of who was served: how many jobs of a class, of a team and of
// a class's largest came, began and were done, and how long they waited. A day on which less
// than half of any of these is served has failed, however well the others fared, and nobody
// notices by looking at means.
//
// The package is pure: no I/O, no clock. It knows what its owner has seen, which begins anew
// with each term.
package slo

import (
	"cmp"
	"slices"
	"time"
)

// job is one that came.
type job struct {
	class, team string
	room        float64 // that it needs at once, all tasks together
	came, began time.Time
	over, done  bool
}

// Tracker is who came and what became of them.
type Tracker struct {
	jobs  map[string]*job
	order []string // as they came
	ended int      // of these, those that are over
}

// New returns an empty account.
func New() *Tracker { return &Tracker{jobs: map[string]*job{}} }

// most is how many jobs are remembered; of these, those over for longest are forgotten first.
// None that is open is forgotten, however many they are. At 41,000 jobs a day the account thus
// speaks of those that are open and of those that came in the last two hours or so: beyond that
// its figures leave out old jobs that are over, and nobody's scheduling depends on them.
const most = 4096

// JobArrived notes a job, which needs so much room and waits since then.
func (a *Tracker) JobArrived(id, class, team string, room float64, since time.Time) {
	if a.jobs[id] != nil {
		return
	}
	a.jobs[id] = &job{class: class, team: team, room: room, came: since}
	// Guards against a look through tens of thousands of open jobs at each that comes, as a
	// leader has them come that begins: none of them is to be forgotten.
	if a.order = append(a.order, id); len(a.order) <= most || a.ended == 0 {
		return
	}
	kept, excess := a.order[:0], len(a.order)-most*3/4
	for _, x := range a.order {
		if excess > 0 && a.jobs[x].over {
			delete(a.jobs, x)
			a.ended--
			excess--
			continue
		}
		kept = append(kept, x)
	}
	a.order = kept
}

// ResetWait notes that a job waits only since then: before, it waited for others.
func (a *Tracker) ResetWait(id string, at time.Time) {
	if j := a.jobs[id]; j != nil {
		j.came = at
	}
}

// JobStarted notes that a job has begun: a gang with all its tasks, an array with its first.
func (a *Tracker) JobStarted(id string, at time.Time) {
	if j := a.jobs[id]; j != nil && j.began.IsZero() {
		j.began = at
	}
}

// JobClosed notes that a job is over, done or cancelled.
func (a *Tracker) JobClosed(id string, done bool, at time.Time) {
	j := a.jobs[id]
	if j == nil {
		return
	}
	if !j.over {
		a.ended++
	}
	j.over, j.done = true, done
	if done {
		a.JobStarted(id, at)
	}
}

// What a line speaks of.
const (
	ByClass   = "class"
	ByTeam    = "team"
	ByLargest = "largest" // of a class, the largest tenth by room
)

// Summary is how a class, a team or a class's largest were served. Cancelled jobs are in none.
type Summary struct {
	Dimension, Name        string
	Arrived, Started, Done int
	Due, Late              int           // of those who came a bound ago or began: all, and those who did not begin within it
	LongestWait            time.Duration // wait, of those who have not begun up to now
	Waiting                string        // who waits longest of those who have not begun; "" if none does
}

// ShareInTime is the share of those due that began in time; 1 where nobody is due.
func (l Summary) ShareInTime() float64 {
	if l.Due == 0 {
		return 1
	}
	return 1 - float64(l.Late)/float64(l.Due)
}

// largestShare is the share of a class that counts as its largest, one job at least.
const largestShare = 0.1

// Summarize adds up, by classes, teams and largest, each by name.
func (a *Tracker) Summarize(bound time.Duration, now time.Time) []Summary {
	lines := map[[2]string]*Summary{}
	byClass := map[string][]string{}
	for _, id := range a.order {
		j := a.jobs[id]
		if j.over && !j.done {
			continue
		}
		a.add(lines, ByClass, j.class, id, bound, now)
		a.add(lines, ByTeam, j.team, id, bound, now)
		byClass[j.class] = append(byClass[j.class], id)
	}
	for class, ids := range byClass {
		slices.SortStableFunc(ids, func(x, y string) int { return cmp.Compare(a.jobs[y].room, a.jobs[x].room) })
		least := a.jobs[ids[max(int(float64(len(ids))*largestShare), 1)-1]].room
		for _, id := range ids {
			if a.jobs[id].room >= least {
				a.add(lines, ByLargest, class, id, bound, now)
			}
		}
	}
	var out []Summary
	for _, l := range lines {
		out = append(out, *l)
	}
	slices.SortFunc(out, func(x, y Summary) int {
		return cmp.Or(cmp.Compare(x.Dimension, y.Dimension), cmp.Compare(x.Name, y.Name))
	})
	return out
}

func (a *Tracker) add(lines map[[2]string]*Summary, by, name, id string, bound time.Duration, now time.Time) {
	l := lines[[2]string{by, name}]
	if l == nil {
		l = &Summary{Dimension: by, Name: name}
		lines[[2]string{by, name}] = l
	}
	j := a.jobs[id]
	l.Arrived++
	waited := now.Sub(j.came)
	if !j.began.IsZero() {
		l.Started++
		waited = j.began.Sub(j.came)
	}
	if j.done {
		l.Done++
	}
	if !j.began.IsZero() || waited > bound {
		l.Due++
	}
	if waited > bound {
		l.Late++
	}
	if waited > l.LongestWait {
		l.LongestWait = waited
	}
	if j.began.IsZero() && (l.Waiting == "" || j.came.Before(a.jobs[l.Waiting].came)) {
		l.Waiting = id
	}
}
