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
	ByLargest = "largest" // the largest tenth of the jobs of a class, by size
)

// Summary counts the jobs of one group: of a class, of a team, or the largest jobs of a class. It
// excludes cancelled jobs.
type Summary struct {
	Dimension string // ByClass, ByTeam or ByLargest
	Name      string // name of the class or team
	Arrived   int    // number of all jobs
	Started   int    // jobs that have started
	Done      int    // jobs that are done
	Due       int    // jobs that have started or have waited for longer than the bound
	Late      int    // jobs that did not start within the bound

	LongestWait       time.Duration // until the start, or until now for jobs that have not started
	LongestWaitingJob string        // the job waiting longest among those that have not started; "" if none
}

// ShareInTime returns the share of the due jobs that started within the bound, 0 to 1; 1 if none is
// due.
func (s Summary) ShareInTime() float64 {
	if s.Due == 0 {
		return 1
	}
	return 1 - float64(s.Late)/float64(s.Due)
}

// largestShare is the share of a class's jobs that ByLargest covers; it covers at least one job.
const largestShare = 0.1

// group identifies a summary.
type group struct{ dimension, name string }

// summaryBuilder builds the summaries for one bound at one time.
type summaryBuilder struct {
	tracker *Tracker
	bound   time.Duration
	now     time.Time
	byGroup map[group]*Summary
}

// Summarize returns a summary of each group that has jobs, sorted by dimension and name. bound is the
// longest wait that counts as in time. Jobs that have not started have waited until now.
func (t *Tracker) Summarize(bound time.Duration, now time.Time) []Summary {
	builder := &summaryBuilder{tracker: t, bound: bound, now: now, byGroup: map[group]*Summary{}}
	byClass := map[string][]string{}
	for _, id := range t.order {
		j := t.jobs[id]
		if j.closed && !j.done {
			continue
		}
		builder.add(group{ByClass, j.class}, id)
		builder.add(group{ByTeam, j.team}, id)
		byClass[j.class] = append(byClass[j.class], id)
	}
	for class, ids := range byClass {
		for _, id := range t.largestJobs(ids) {
			builder.add(group{ByLargest, class}, id)
		}
	}
	var summaries []Summary
	for _, summary := range builder.byGroup {
		summaries = append(summaries, *summary)
	}
	slices.SortFunc(summaries, func(x, y Summary) int {
		return cmp.Or(cmp.Compare(x.Dimension, y.Dimension), cmp.Compare(x.Name, y.Name))
	})
	return summaries
}

// largestJobs returns the largestShare of the given jobs by size, and all jobs as large as the smallest
// of them. ids must not be empty; largestJobs sorts it and returns a part of it.
func (t *Tracker) largestJobs(ids []string) []string {
	slices.SortStableFunc(ids, func(x, y string) int { return cmp.Compare(t.jobs[y].size, t.jobs[x].size) })
	n := max(int(float64(len(ids))*largestShare), 1)
	minSize := t.jobs[ids[n-1]].size
	for n < len(ids) && t.jobs[ids[n]].size >= minSize {
		n++
	}
	return ids[:n]
}

// add counts a job in the summary of a group.
func (s *summaryBuilder) add(g group, id string) {
	summary := s.byGroup[g]
	if summary == nil {
		summary = &Summary{Dimension: g.dimension, Name: g.name}
		s.byGroup[g] = summary
	}
	j := s.tracker.jobs[id]
	started, waited := !j.started.IsZero(), j.waited(s.now)
	summary.Arrived++
	if started {
		summary.Started++
	}
	if j.done {
		summary.Done++
	}
	if started || waited > s.bound {
		summary.Due++
	}
	if waited > s.bound {
		summary.Late++
	}
	summary.LongestWait = max(summary.LongestWait, waited)
	if !started && (summary.LongestWaitingJob == "" || j.waitsSince.Before(s.tracker.jobs[summary.LongestWaitingJob].waitsSince)) {
		summary.LongestWaitingJob = id
	}
}
