package slo

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The summaries show that the largest jobs of a class start late although most jobs of the class
// start in time. An average over the class would hide this.
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
	tracker.JobClosed("gone", false, at(9)) // cancelled, so in no summary
	tracker.JobClosed("small-0", true, at(60))
	got := map[string]string{}
	for _, sum := range tracker.Summarize(100*time.Second, at(300)) {
		got[sum.Dimension+" "+sum.Name] = fmt.Sprintf("%d arrived, %d started, %d done, %.2f in time, longest %v, waits %s",
			sum.Arrived, sum.Started, sum.Done, sum.ShareInTime(), sum.LongestWait, sum.LongestWaitingJob)
	}
	for name, want := range map[string]string{
		"class scan":   "22 arrived, 21 started, 1 done, 0.91 in time, longest 4m57s, waits big-1",
		"largest scan": "2 arrived, 1 started, 0 done, 0.00 in time, longest 4m57s, waits big-1",
		"team desk":    "21 arrived, 20 started, 1 done, 0.95 in time, longest 4m57s, waits big-1",
		"team night":   "1 arrived, 1 started, 0 done, 0.00 in time, longest 3m16s, waits ",
	} {
		if got[name] != want {
			t.Errorf("%s: got %s, want %s", name, got[name], want)
		}
	}
}

// A new leader adds a day's jobs, all open, quickly and keeps all of them. Once these jobs are closed,
// they are removed. A scan of all jobs at each arrival would take 35 s.
func TestDayOfOpenJobsIsAddedQuickly(t *testing.T) {
	const day = 41_000
	const bound = 5 * time.Second // the whole test usually takes 0.1 s
	tracker, now := New(), time.Unix(1000, 0)
	start := time.Now()
	for i := range day {
		tracker.JobArrived(fmt.Sprint("j-", i), "class", "team", 1, now)
	}
	if took := time.Since(start); took > bound {
		t.Errorf("%d open jobs took %v, want at most %v", day, took, bound)
	}
	if len(tracker.jobs) != day {
		t.Errorf("%d of %d open jobs are tracked, want all", len(tracker.jobs), day)
	}
	for i := range day {
		tracker.JobClosed(fmt.Sprint("j-", i), true, now)
		tracker.JobClosed(fmt.Sprint("j-", i), true, now) // repeated notification
	}
	tracker.JobArrived("j-later", "class", "team", 1, now)
	if len(tracker.jobs) > maxJobs || len(tracker.jobs) != len(tracker.order) || tracker.jobs["j-later"] == nil {
		t.Errorf("%d jobs are tracked, %d in order, want at most %d including the newest", len(tracker.jobs), len(tracker.order), maxJobs)
	}
}

// For random arrivals and closures, no waiting job is removed, the number of tracked jobs is bounded,
// and the counts of each summary are consistent.
func TestNoWaitingJobIsRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, waiting := New(), map[string]bool{}
		now := time.Unix(1000, 0)
		for i := range rapid.IntRange(1, 3*maxJobs).Draw(t, "jobs") {
			now = now.Add(time.Second)
			id := fmt.Sprint("j-", i)
			tracker.JobArrived(id, fmt.Sprint("c", i%3), fmt.Sprint("t", i%5), float64(i%17), now)
			if i%1000 == 7 {
				waiting[id] = true
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
			t.Fatalf("%d jobs are closed, counter is %d", closed, tracker.closed)
		}
		if len(tracker.jobs) > maxJobs+1 || len(tracker.jobs) != len(tracker.order) {
			t.Fatalf("%d jobs are tracked, %d in order", len(tracker.jobs), len(tracker.order))
		}
		for id := range waiting {
			if tracker.jobs[id] == nil {
				t.Fatalf("waiting job %s was removed", id)
			}
		}
		for _, sum := range tracker.Summarize(time.Minute, now) {
			if sum.Started > sum.Arrived || sum.Done > sum.Started || sum.Late > sum.Due || sum.Due > sum.Arrived {
				t.Fatalf("inconsistent counts: %+v", sum)
			}
		}
	})
}
