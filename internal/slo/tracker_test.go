package slo

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A class is served well while its largest jobs are not: the summaries show it.
func TestSummariesShowLargestJobs(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1000+int64(s), 0) }
	tracker := New()
	for i := range 20 {
		id := fmt.Sprint("small-", i)
		tracker.JobArrived(id, "scan", "desk", 2, at(i))
		tracker.JobStarted(id, at(i+5))
	}
	tracker.JobArrived("big-1", "scan", "desk", 12, at(3))
	tracker.JobArrived("big-2", "scan", "night", 12, at(4))
	tracker.JobStarted("big-2", at(200))
	tracker.JobArrived("gone", "scan", "desk", 50, at(4))
	tracker.JobClosed("gone", false, at(9)) // cancelled: it counts nowhere
	tracker.JobClosed("small-0", true, at(60))
	got := map[string]string{}
	for _, sum := range tracker.Summarize(100*time.Second, at(300)) {
		got[sum.Dimension+" "+sum.Name] = fmt.Sprintf("%d arrived, %d started, %d done, %.2f in time, longest %v, waits %s",
			sum.Arrived, sum.Started, sum.Done, sum.ShareInTime(), sum.LongestWait, sum.LongestWaitingJob)
	}
	for what, want := range map[string]string{
		"class scan":   "22 arrived, 21 started, 1 done, 0.91 in time, longest 4m57s, waits big-1",
		"largest scan": "2 arrived, 1 started, 0 done, 0.00 in time, longest 4m57s, waits big-1",
		"team desk":    "21 arrived, 20 started, 1 done, 0.95 in time, longest 4m57s, waits big-1",
		"team night":   "1 arrived, 1 started, 0 done, 0.00 in time, longest 3m16s, waits ",
	} {
		if got[what] != want {
			t.Errorf("%s: got %s, want %s", what, got[what], want)
		}
	}
}

// A leader that starts with a day's jobs all open adds them within moments, and forgets
// none of them; once they are closed, it forgets those.
func TestDayOfOpenJobsIsAddedQuickly(t *testing.T) {
	const day = 41_000
	const bound = 5 * time.Second // measured: 0.1 s with all below, and 35 s with a scan of all at each that arrives
	tracker, now := New(), time.Unix(1000, 0)
	start := time.Now()
	for i := range day {
		tracker.JobArrived(fmt.Sprint("j-", i), "class", "team", 1, now)
	}
	if took := time.Since(start); took > bound {
		t.Errorf("%d open jobs took %v, want at most %v", day, took, bound)
	}
	if len(tracker.jobs) != day {
		t.Errorf("%d of %d open jobs are remembered", len(tracker.jobs), day)
	}
	for i := range day {
		tracker.JobClosed(fmt.Sprint("j-", i), true, now)
		tracker.JobClosed(fmt.Sprint("j-", i), true, now) // notified twice
	}
	tracker.JobArrived("j-later", "class", "team", 1, now)
	if len(tracker.jobs) > maxJobs || len(tracker.jobs) != len(tracker.order) || tracker.jobs["j-later"] == nil {
		t.Errorf("%d jobs are remembered, %d in order, want at most %d with the newest", len(tracker.jobs), len(tracker.order), maxJobs)
	}
}

// Whatever arrives and closes, no waiting job is forgotten, memory is
// bounded, and no summary counts more started jobs than arrived ones.
func TestNoWaitingJobIsForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, waits := New(), map[string]bool{}
		now := time.Unix(1000, 0)
		for i := range rapid.IntRange(1, 3*maxJobs).Draw(t, "jobs") {
			now = now.Add(time.Second)
			id := fmt.Sprint("j-", i)
			tracker.JobArrived(id, fmt.Sprint("c", i%3), fmt.Sprint("t", i%5), float64(i%17), now)
			if i%1000 == 7 {
				waits[id] = true
				continue
			}
			tracker.JobStarted(id, now)
			tracker.JobClosed(id, i%2 == 0, now)
		}
		closed := 0
		for _, j := range tracker.jobs {
			if j.closed {
				closed++
			}
		}
		if closed != tracker.closed {
			t.Fatalf("%d jobs are closed, %d are counted", closed, tracker.closed)
		}
		if len(tracker.jobs) > maxJobs+1 || len(tracker.jobs) != len(tracker.order) {
			t.Fatalf("%d jobs are remembered, %d in order", len(tracker.jobs), len(tracker.order))
		}
		for id := range waits {
			if tracker.jobs[id] == nil {
				t.Fatalf("%s waits and is forgotten", id)
			}
		}
		for _, sum := range tracker.Summarize(time.Minute, now) {
			if sum.Started > sum.Arrived || sum.Done > sum.Started || sum.Late > sum.Due || sum.Due > sum.Arrived {
				t.Fatalf("%+v does not add up", sum)
			}
		}
	})
}
