package scheduler

import (
	"fmt"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/records"
)

// Guards against memory that grows with the number of closed jobs: after thousands of jobs with
// different sizes and images, a few at a time, the tables of jobs and placement classes stay small.
// Jobs of the same size and image have equal class numbers throughout.
func TestClosedJobsReleaseState(t *testing.T) {
	cfg := &config.Config{Options: config.DefaultOptions()}
	cfg.Deployment.Workers = config.Workers{HeartbeatS: 2, LeaseS: 12, GangWaitS: 30, GangPeerLossS: 5, CancelS: 30}
	cfg.Deployment.Store.ValueKB = 8
	now := time.Unix(1_000_000, 0)
	s := New(SettingsOf(cfg), 5, now)
	add := func(id, image string, cpus float64) *Job {
		return s.AddJob(records.Job{ID: id, Shape: records.ShapeArray, Tasks: 10, CPUs: cpus, Image: image}, 10, now, now)
	}
	for i := range 5000 {
		a := add(fmt.Sprint("j-1", i), fmt.Sprint("img-", i), float64(i)/1000)
		b := add(fmt.Sprint("j-2", i), fmt.Sprint("img-", i), float64(i)/1000)
		other := add(fmt.Sprint("j-3", i), "else", float64(i)/1000)
		equal := a.placementClass == b.placementClass && a.imageClass == b.imageClass
		sameSize := other.placementClass == a.placementClass && other.imageClass != a.imageClass
		if !equal || !sameSize || a.placementClass == a.imageClass {
			t.Fatalf("job %d: placement and image classes %d %d, of its equal %d %d, of one with another image %d %d", i,
				a.placementClass, a.imageClass, b.placementClass, b.imageClass, other.placementClass, other.imageClass)
		}
		for _, j := range []*Job{a, b, other} {
			s.CloseJob(j.ID)
		}
		s.closedJobs = s.closedJobs[:0] // as persistence does after writing
		if len(s.placementClasses) > 100 || len(s.jobs) > 0 {
			t.Fatalf("after job %d: %d placement classes and %d jobs are left, want at most 100 and 0", i, len(s.placementClasses), len(s.jobs))
		}
	}
}
