package scheduler

import (
	"slices"
	"testing"
	"time"

	"drumpick/internal/records"
)

// Guards against placement passes that skip a job which could be placed. After a turn finds no room, a
// pass skips only the later equivalent turns, except those of jobs with claims, including claims made
// during the pass. A deactivated turn is skipped only until its job is activated.
func TestPlacementOrderSkipsEquivalentJobs(t *testing.T) {
	job := func(id string, imageClass int) *Job {
		return &Job{Job: records.Job{ID: id, Tasks: 1}, placementClass: 1, imageClass: imageClass, turnAt: time.Unix(int64(id[0]), 0)}
	}
	a, b, c, d, e := job("a", 2), job("b", 2), job("c", 3), job("d", 2), job("e", 2)
	order := newPlacementOrder([]*Job{a, b, c, d, e}, func(*Job) time.Duration { return 0 })
	play := func(exempt []*Job, onTurn func(turns *turnIterator, j *Job)) (seen []string) {
		turns := order.iterate(exempt)
		for turn, more := turns.next(); more; turn, more = turns.next() {
			seen = append(seen, turn.job.ID)
			onTurn(turns, turn.job)
		}
		return seen
	}
	want := func(what string, got []string, jobs ...string) {
		t.Helper()
		if !slices.Equal(got, jobs) {
			t.Errorf("%s: got the turns of %v, want %v", what, got, jobs)
		}
	}
	nothing := func(*turnIterator, *Job) {}
	want("all", play(nil, nothing), "a", "b", "c", "d", "e")
	want("b finds no room", play(nil, func(turns *turnIterator, j *Job) {
		if j == b {
			turns.skipEquivalent()
		}
	}), "a", "b", "c")
	want("b finds no room, d has a claim", play([]*Job{d}, func(turns *turnIterator, j *Job) {
		if j == b {
			turns.skipEquivalent()
		}
	}), "a", "b", "c", "d")
	want("e gets a claim after b found no room", play(nil, func(turns *turnIterator, j *Job) {
		switch j {
		case b:
			turns.skipEquivalent()
		case c:
			turns.exemptFromSkipping(e)
		}
	}), "a", "b", "c", "e")
	want("a is deactivated", play(nil, func(turns *turnIterator, j *Job) {
		if j == a {
			turns.deactivate()
		}
	}), "a", "b", "c", "d", "e")
	want("a stays deactivated", play(nil, nothing), "b", "c", "d", "e")
	order.activate(a)
	want("a is activated", play(nil, nothing), "a", "b", "c", "d", "e")
}
