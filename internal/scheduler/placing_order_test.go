package scheduler

import (
	"slices"
	"testing"
	"time"

	"drumpick/internal/records"
)

// A placing goes through the turns in order, and passes over those alike once one of them is hopeless, but for jobs
// that have room of their own, also where they get it meanwhile. A job that was put to sleep is looked at again once it
// is woken.
func TestPlacingOrderSkipsEqualJobs(t *testing.T) {
	job := func(id string, twins int) *Job {
		return &Job{Job: records.Job{ID: id, Tasks: 1}, placementClass: 1, imageClass: twins, turnAt: time.Unix(int64(id[0]), 0)}
	}
	a, b, c, d, e := job("a", 2), job("b", 2), job("c", 3), job("d", 2), job("e", 2)
	order := newPlacingOrder([]*Job{a, b, c, d, e}, func(*Job) time.Duration { return 0 })
	play := func(each []*Job, at func(turns *placingTurns, j *Job)) (seen []string) {
		turns := order.begin(each)
		for turn, more := turns.next(); more; turn, more = turns.next() {
			seen = append(seen, turn.job.ID)
			at(turns, turn.job)
		}
		return seen
	}
	want := func(what string, got []string, jobs ...string) {
		t.Helper()
		if !slices.Equal(got, jobs) {
			t.Errorf("%s: %v are looked at, want %v", what, got, jobs)
		}
	}
	nothing := func(*placingTurns, *Job) {}
	want("all", play(nil, nothing), "a", "b", "c", "d", "e")
	want("b is hopeless", play(nil, func(turns *placingTurns, j *Job) {
		if j == b {
			turns.skipAlike()
		}
	}), "a", "b", "c")
	want("b is hopeless, d has room of its own", play([]*Job{d}, func(turns *placingTurns, j *Job) {
		if j == b {
			turns.skipAlike()
		}
	}), "a", "b", "c", "d")
	want("e gets room of its own after b was hopeless", play(nil, func(turns *placingTurns, j *Job) {
		switch j {
		case b:
			turns.skipAlike()
		case c:
			turns.keepSeparate(e)
		}
	}), "a", "b", "c", "e")
	want("a falls asleep", play(nil, func(turns *placingTurns, j *Job) {
		if j == a {
			turns.deactivate()
		}
	}), "a", "b", "c", "d", "e")
	want("a sleeps", play(nil, nothing), "b", "c", "d", "e")
	order.activate(a)
	want("a is woken", play(nil, nothing), "a", "b", "c", "d", "e")
}
