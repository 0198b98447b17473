package slo

import (
	"cmp"
	"slices"
	"time"
)

// Dimensions of summaries.
const (
	ByClass   = "class"
	ByTeam    = "team"
	ByLargest = "largest" // of a class, the largest tenth by room
)

// Summary is how a class, a team or a class's largest were served. Cancelled jobs are in none.
type Summary struct {
	Dimension string // ByClass, ByTeam or ByLargest
	Name      string // of the class or team
	Arrived   int    // all jobs
	Started   int    // those of them that have started
	Done      int    // those of them that are done
	Due       int    // those that have started, or have waited for longer than the bound
	Late      int    // those that did not start within the bound

	LongestWait       time.Duration // of jobs that started until then, of others up to now
	LongestWaitingJob string        // the job that has waited longest of those that have not started; "" if there is none
}

// ShareInTime is the share of the jobs due that started in time; 1 where none is due.
func (s Summary) ShareInTime() float64 {
	if s.Due == 0 {
		return 1
	}
	return 1 - float64(s.Late)/float64(s.Due)
}

// largestShare is the share of a class that counts as its largest, one job at least.
const largestShare = 0.1

// group identifies a summary.
type group struct{ dimension, name string }

// summaryBuilder are being made, at one time and for one bound.
type summaryBuilder struct {
	tracker *Tracker
	bound   time.Duration
	now     time.Time
	byGroup map[group]*Summary
}

// Summarize returns the summaries by class, team and largest, each by name. bound is how long a job may
// wait to have started in time.
func (t *Tracker) Summarize(bound time.Duration, now time.Time) []Summary {
	sums := &summaryBuilder{tracker: t, bound: bound, now: now, byGroup: map[group]*Summary{}}
	byClass := map[string][]string{}
	for _, id := range t.order {
		j := t.jobs[id]
		if j.closed && !j.done {
			continue
		}
		sums.add(group{ByClass, j.class}, id)
		sums.add(group{ByTeam, j.team}, id)
		byClass[j.class] = append(byClass[j.class], id)
	}
	for class, ids := range byClass {
		for _, id := range t.largestJobs(ids) {
			sums.add(group{ByLargest, class}, id)
		}
	}
	var all []Summary
	for _, sum := range sums.byGroup {
		all = append(all, *sum)
	}
	slices.SortFunc(all, func(x, y Summary) int {
		return cmp.Or(cmp.Compare(x.Dimension, y.Dimension), cmp.Compare(x.Name, y.Name))
	})
	return all
}

// largestJobs returns the largest share of some jobs by room, with all that are as large as the last of
// these. It sorts ids.
func (t *Tracker) largestJobs(ids []string) []string {
	slices.SortStableFunc(ids, func(x, y string) int { return cmp.Compare(t.jobs[y].size, t.jobs[x].size) })
	n := max(int(float64(len(ids))*largestShare), 1)
	leastRoom := t.jobs[ids[n-1]].size
	for n < len(ids) && t.jobs[ids[n]].size >= leastRoom {
		n++
	}
	return ids[:n]
}

// add counts a job in the summary of a group.
func (s *summaryBuilder) add(g group, id string) {
	sum := s.byGroup[g]
	if sum == nil {
		sum = &Summary{Dimension: g.dimension, Name: g.name}
		s.byGroup[g] = sum
	}
	j := s.tracker.jobs[id]
	started, waited := !j.started.IsZero(), j.waited(s.now)
	sum.Arrived++
	if started {
		sum.Started++
	}
	if j.done {
		sum.Done++
	}
	if started || waited > s.bound {
		sum.Due++
	}
	if waited > s.bound {
		sum.Late++
	}
	sum.LongestWait = max(sum.LongestWait, waited)
	if !started && (sum.LongestWaitingJob == "" || j.waitsSince.Before(s.tracker.jobs[sum.LongestWaitingJob].waitsSince)) {
		sum.LongestWaitingJob = id
	}
}
