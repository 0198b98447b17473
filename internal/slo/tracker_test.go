package slo

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A class is served well while its largest are not: the account tells.
func TestLargestAreSeen(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1000+int64(s), 0) }
	a := New()
	for i := range 20 {
		id := fmt.Sprint("small-", i)
		a.JobArrived(id, "scan", "desk", 2, at(i))
		a.JobStarted(id, at(i+5))
	}
	a.JobArrived("big-1", "scan", "desk", 12, at(3))
	a.JobArrived("big-2", "scan", "night", 12, at(4))
	a.JobStarted("big-2", at(200))
	a.JobArrived("gone", "scan", "desk", 50, at(4))
	a.JobClosed("gone", false, at(9)) // cancelled: it counts nowhere
	a.JobClosed("small-0", true, at(60))
	got := map[string]string{}
	for _, l := range a.Summarize(100*time.Second, at(300)) {
		got[l.Dimension+" "+l.Name] = fmt.Sprintf("%d came, %d begun, %d done, %.2f in time, longest %v, waits %s", l.Arrived, l.Started, l.Done, l.ShareInTime(), l.LongestWait, l.Waiting)
	}
	for what, want := range map[string]string{
		"class scan":   "22 came, 21 begun, 1 done, 0.91 in time, longest 4m57s, waits big-1",
		"largest scan": "2 came, 1 begun, 0 done, 0.00 in time, longest 4m57s, waits big-1",
		"team desk":    "21 came, 20 begun, 1 done, 0.95 in time, longest 4m57s, waits big-1",
		"team night":   "1 came, 1 begun, 0 done, 0.00 in time, longest 3m16s, waits ",
	} {
		if got[what] != want {
			t.Errorf("%s: %s\nwant %s", what, got[what], want)
		}
	}
}

// A leader that begins with a day's jobs all open takes them in within moments, and forgets
// none of them; once they are over, it forgets those.
func TestDayOfOpenJobs(t *testing.T) {
	const day = 41_000
	const bound = 5 * time.Second // measured: 0.1 s with all below, and 35 s with a look through all at each that came
	a, now := New(), time.Unix(1000, 0)
	began := time.Now()
	for i := range day {
		a.JobArrived(fmt.Sprint("j-", i), "class", "team", 1, now)
	}
	if took := time.Since(began); took > bound {
		t.Errorf("%d open jobs took %v", day, took)
	}
	if len(a.jobs) != day {
		t.Errorf("%d of %d open jobs are remembered", len(a.jobs), day)
	}
	for i := range day {
		a.JobClosed(fmt.Sprint("j-", i), true, now)
		a.JobClosed(fmt.Sprint("j-", i), true, now) // told twice
	}
	a.JobArrived("j-later", "class", "team", 1, now)
	if len(a.jobs) > most || len(a.jobs) != len(a.order) || a.jobs["j-later"] == nil {
		t.Errorf("%d jobs are remembered, %d in order", len(a.jobs), len(a.order))
	}
}

// Whatever comes and in whatever order it is told, nobody who waits is forgotten, memory is
// bounded, and no line counts more who began than came.
func TestNobodyWhoWaitsIsForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, waits := New(), map[string]bool{}
		now := time.Unix(1000, 0)
		for i := range rapid.IntRange(1, 3*most).Draw(t, "jobs") {
			now = now.Add(time.Second)
			id := fmt.Sprint("j-", i)
			a.JobArrived(id, fmt.Sprint("c", i%3), fmt.Sprint("t", i%5), float64(i%17), now)
			if i%1000 == 7 {
				waits[id] = true
				continue
			}
			a.JobStarted(id, now)
			a.JobClosed(id, i%2 == 0, now)
		}
		over := 0
		for _, j := range a.jobs {
			if j.over {
				over++
			}
		}
		if over != a.ended {
			t.Fatalf("%d jobs are over, %d are counted", over, a.ended)
		}
		if len(a.jobs) > most+1 || len(a.jobs) != len(a.order) {
			t.Fatalf("%d jobs are remembered, %d in order", len(a.jobs), len(a.order))
		}
		for id := range waits {
			if a.jobs[id] == nil {
				t.Fatalf("%s waits and is forgotten", id)
			}
		}
		for _, l := range a.Summarize(time.Minute, now) {
			if l.Started > l.Arrived || l.Done > l.Started || l.Late > l.Due || l.Due > l.Arrived {
				t.Fatalf("%+v does not add up", l)
			}
		}
	})
}
