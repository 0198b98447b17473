package scheduler

import (
	"time"

	"drumpick/internal/config"
	"drumpick/internal/dependency"
	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/records"
	"drumpick/internal/watermark"
)

// Job is an open job.
type Job struct {
	records.Job
	Revision uint64 // of its record
	Accepted time.Time

	request               packing.Resources // of one task
	preferredLabels       []string          // labels of machines that suit it, the weightiest first
	imageReadyLabel       string            // label of machines that have its image
	placementClass        int               // shared by jobs whose tasks fit the same machines; 0: shared with none
	imageClass            int               // the same for jobs that also share the image
	team                  config.Team       // what the settings say of its team
	teamLimited           bool              // the team has a limit
	releasedAt            time.Time         // from when its waiting time counts: its acceptance, or the end of its last dependency
	earliestStartRevision uint64            // the revision before which none of its tasks can have been started
	blocked               bool              // by a dependency that is not known to be stored as done
	precedence            dependency.Precedence

	// Progress.
	done, stored []uint64 // bit sets of finished tasks, and of those the store has
	doneCount    int
	dirtyParts   map[int]bool // parts of the finished tasks that are to be stored
	closed       bool         // no longer open
	closing      bool         // its move to the closed records is being stored

	// Tasks that wait, and attempts. A task has at most one attempt of its own; further attempts of
	// the same task on other machines are duplicates, which are being stopped.
	waitingTasks
	attempts   map[int]*fleet.Attempt
	duplicates map[int]int
	watermark  watermark.Mark // how far into it tasks may have been sent
	uncertain  []uint64       // bit set of tasks that may be on machines not heard since the failover; nil: none

	// Failures.
	errorMachines map[string]bool // machines where it failed
	retryAt       time.Time       // no task starts before
	backoff       time.Duration

	// Gangs.
	gangAttempt  uint64    // attempt number shared by all its tasks; 0: none
	gangBroken   bool      // its attempt is being stopped as a whole
	gangBrokenAt time.Time // when a gang that had begun lost its last place

	// Room.
	claims             []claim                   // room on machines that only this job may use
	claimsNotBefore    time.Time                 // no room is claimed before
	reservedZone       string                    // the zone where room is reserved for it
	reservationCheckAt time.Time                 // whether a reservation is due is not examined before
	preemptedTasks     map[fleet.TaskID]struct{} // tasks that were preempted for it
	movedTasks         map[int]struct{}          // tasks of its own that were moved to fill or empty a bin
	relocatingTasks    int                       // tasks that have to leave their machines and find no others
	remainingByZone    map[string]int            // of a job bound to zones: its tasks by zone without those; else nil

	// Order.
	guaranteed     bool      // its room is within its team's guarantee
	protected      bool      // it may preempt for that, and is preempted by nobody
	canBeginInTime bool      // it can still begin within the guarantee's time
	targets        []float64 // when it should be complete, in seconds from its release
	rank           int       // of its priority, the highest being 0; odd ranks are late
	turnAt         time.Time // its place among jobs of its rank

	start startStages // how far its first start has come
}

// unconstrained reports whether where a task may go depends on nothing but its size, zone and kind
// of machine.
func (j *Job) unconstrained() bool {
	return len(j.Types) == 0 && !j.OneZone && !j.SpreadZones && j.Shape != records.ShapeGang
}

// jobOf returns the open job of an attempt, nil if there is none.
func (s *Scheduler) jobOf(attempt *fleet.Attempt) *Job {
	job, ok := attempt.Job.(*Job)
	if !ok {
		if job = s.jobs[attempt.Task.Job]; job == nil {
			return nil
		}
		attempt.Job = job
	}
	if job.closed {
		return nil
	}
	return job
}

// hasBit reports whether a bit set contains i.
func hasBit(set []uint64, i int) bool { return set[i/64]>>(i%64)&1 == 1 }
