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
	Revision uint64 // revision of its record
	Accepted time.Time

	request               packing.Resources // resources that each task needs
	preferredLabels       []string          // labels of preferred machines, the most important first
	imageReadyLabel       string            // label of machines that have its image ready
	placementClass        int               // equal for jobs whose tasks fit the same machines; 0: none
	imageClass            int               // equal for jobs that also have the same image; 0: none
	team                  config.Team       // settings of its team
	teamLimited           bool              // its team has a limit
	releasedAt            time.Time         // start of its waiting time: its acceptance, or the end of its last dependency
	earliestStartRevision uint64            // none of its tasks can have started before this revision
	blocked               bool              // a dependency is not known to be stored as done
	precedence            dependency.Precedence

	// Progress.
	done, stored taskSet // finished tasks, and those whose result is stored
	doneCount    int
	dirtyParts   map[int]bool // parts of the finished tasks whose records have to be written
	closed       bool         // no longer open
	closing      bool         // its closed record is being stored

	// Waiting tasks and attempts. A task has at most one current attempt; further attempts of it on
	// other machines are duplicates, which are being stopped.
	waitingTasks
	attempts   map[int]*fleet.Attempt // current attempt by task
	duplicates map[int]int            // number of duplicates by task
	watermark  watermark.Mark         // tasks below it may have been sent
	uncertain  uncertainTasks

	// Failures.
	errorMachines map[string]bool // machines on which its tasks failed
	retryAt       time.Time       // no task starts before this time
	backoff       time.Duration   // the last delay before a retry

	// Gangs.
	gangAttempt  uint64    // attempt number of all its tasks; 0: none
	gangBroken   bool      // all its attempts are being stopped
	gangBrokenAt time.Time // when a gang that had started lost its last attempt

	// Reserved room and moves.
	claims             []claim                   // room on machines that is reserved for this job
	claimsNotBefore    time.Time                 // no claims are made before this time
	reservedZone       string                    // zone in which room is reserved for it
	reservationCheckAt time.Time                 // the need for a reservation is not checked before this time
	preemptedTasks     map[fleet.TaskID]struct{} // tasks of other jobs that were preempted for it
	movedTasks         map[int]struct{}          // own tasks that were moved to fill or empty a bin
	relocatingTasks    int                       // own tasks that have to leave their machines but find no room
	remainingByZone    map[string]int            // own tasks by zone without the relocating ones; nil: no zone constraint

	// Scheduling order.
	guaranteed     bool      // its use is within its team's guarantee
	protected      bool      // it may preempt to use the guarantee, and is not preempted
	canStartInTime bool      // it can still start within the guarantee's time
	targets        []float64 // completion targets, in seconds from its release
	rank           int       // the lowest goes first: twice its precedence's rank, one more if it is late
	turnAt         time.Time // orders jobs of the same rank, the earliest first

	start startStages // progress of its first start
}

// unconstrained reports whether placement of the job's tasks depends only on their size, zone and
// kind of machine (spot or on-demand).
func (j *Job) unconstrained() bool {
	return len(j.Types) == 0 && !j.OneZone && !j.SpreadZones && j.Shape != records.ShapeGang
}

// jobOf returns the open job of an attempt, or nil.
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
