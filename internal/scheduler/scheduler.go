package scheduler

import (
	"time"

	"drumpick/internal/dependency"
	"drumpick/internal/fairshare"
	"drumpick/internal/fleet"
	"drumpick/internal/overload"
	"drumpick/internal/packing"
	"drumpick/internal/quota"
	"drumpick/internal/records"
	"drumpick/internal/slo"
	"drumpick/internal/zonehealth"
)

// Scheduler is the scheduling state of one term. It is not safe for concurrent use: the leader calls
// it under its own lock.
type Scheduler struct {
	settings  Settings
	term      uint64
	termStart time.Time
	sequence  uint64    // last sequence number given to an attempt or a rental request of this term
	passTime  time.Time // time of the current or last placement pass or rebalancing round

	// Jobs and their scheduling order.
	jobs             map[string]*Job   // open jobs by id
	completeJobs     map[*Job]struct{} // open jobs whose tasks are all done
	dependencies     *dependency.Graph // of the open jobs and their dependencies
	placementClasses placementClasses
	sortedJobs       []*Job          // jobs that are not blocked, in scheduling order
	order            *placementOrder // placement order of the same jobs
	queueStale       bool            // sortedJobs and order have to be recomputed

	// Machines.
	fleet          *fleet.Table
	machineTypes   map[string]records.MachineType
	typesByPrice   []string                  // names of machine types, cheapest first; those with GPUs come last
	spaces         map[string]*packing.Space // bins by machine type
	lastBinRefresh time.Time                 // when refreshOpenBins last checked which machines accept tasks
	quotaUsage     *quota.Account            // resources used by attempts, by team
	urgentMachines map[string]bool           // machines that need commands at once, before their next heartbeat
	zoneHealth     *zonehealth.Monitor       // detects suspected zone outages

	// Placement.
	placementStale   bool                       // something changed since the last placement pass
	currentTurns     *turnIterator              // turns of the current placement pass; nil: none is running
	plannedAttempts  []*fleet.Attempt           // in placement order; some may have been sent or cancelled since the last tick
	endsBuffer       []expectedEnd              // memory of the last result of expectedEnds
	spareItem        *packing.Item              // for the next insertion; nil: none
	onDemandShortage *fairshare.ShortageTracker // shortage of on-demand machines for jobs that may not use spot machines
	freedRoom        freedRoom                  // room freed by ending tasks, for preempt
	lastRebalance    time.Time
	zoneScans        int // number of calls of tasksByZone, which tests bound

	// Room reserved for jobs.
	claimOwners           []*Job // jobs that have claims; until expireClaims, also jobs without claims and duplicates
	reservationCandidates []*Job // jobs that may need a reservation
	machineHolders        []*Job // jobs for which machines are held
	lastMachineHolder     *Job   // result of lastHoldingJob for the current placement pass; nil: no machine is excluded by it

	// Failover and reconciliation.
	reconciled bool // every machine that an earlier term may have used has reported or is gone
	watermarks watermarkState

	// Autoscaling and drains.
	autoscaling autoscalingState
	drains      drainSet

	// Records that are no longer needed.
	closedJobs      []string // jobs whose finished-task records can be removed
	removedMachines []string // machines whose records can be removed

	// Overload and service-level objectives.
	overload      *overload.Detector // measures how far the leader falls behind
	maxDelay      time.Duration      // longest time that an event waited since the last tick
	slo           *slo.Tracker       // arrivals and starts of jobs
	lastSLOReport time.Time
}

// New returns the scheduler of a new term, without jobs and machines.
func New(settings Settings, term uint64, now time.Time) *Scheduler {
	s := &Scheduler{
		settings:         settings,
		term:             term,
		termStart:        now,
		jobs:             map[string]*Job{},
		completeJobs:     map[*Job]struct{}{},
		dependencies:     dependency.New(),
		placementClasses: placementClasses{},
		order:            newPlacementOrder(nil, nil),
		fleet:            fleet.NewTable(term, settings.Lease, settings.Forecast),
		machineTypes:     map[string]records.MachineType{},
		spaces:           map[string]*packing.Space{},
		quotaUsage:       quota.NewAccount(),
		urgentMachines:   map[string]bool{},
		zoneHealth:       zonehealth.New(settings.Lease),
		onDemandShortage: fairshare.NewShortageTracker(),
		watermarks:       newWatermarkState(),
		autoscaling:      newAutoscalingState(settings),
		overload:         overload.New(settings.HeartbeatInterval, settings.HeartbeatInterval/TicksPerHeartbeat),
		slo:              slo.New(),
		lastSLOReport:    now,
	}
	s.fleet.OnChange = s.updateCharge
	return s
}

// AddJob adds an open job from its record, which is stored at the given revision and was read at time
// now, wall by wall-clock time. It returns the job; a job that is already known stays unchanged.
func (s *Scheduler) AddJob(record records.Job, revision uint64, now, wall time.Time) *Job {
	if job := s.jobs[record.ID]; job != nil {
		return job
	}
	job := &Job{
		Job: record, Revision: revision,
		request:         fleet.Request(&record, s.term<<attemptSequenceBits|maxAttemptSequence),
		imageReadyLabel: fleet.ImageReadyLabel(record.Image),
		dirtyParts:      map[int]bool{},
		attempts:        map[int]*fleet.Attempt{},
		duplicates:      map[int]int{},
		errorMachines:   map[string]bool{},
	}
	age := max(wall.Sub(time.UnixMilli(record.AcceptedMS)), 0)
	job.Accepted = now.Add(-age)
	job.releasedAt, job.earliestStartRevision = job.Accepted, revision
	job.start.learnedAt = now
	s.placementClasses.prune(s.jobs)
	s.placementClasses.assign(job)
	job.setTeam(s.settings.Teams[job.Team])
	s.jobs[record.ID] = job
	s.queueStale, s.placementStale = true, true
	size := float64(job.Tasks) * max(job.request.CPU, job.request.GPU)
	s.slo.JobArrived(job.ID, job.Class, job.Team, size, job.releasedAt)
	s.addDependencies(job)
	s.markUncertain(job)
	s.raiseWatermarkForNewJob(job)
	for _, attempt := range s.fleet.AttemptsOfJob(record.ID) {
		s.updateCharge(attempt) // its job was unknown so far
	}
	return job
}

// LoadDone marks tasks as done that are stored as done: ranges of the tasks of a chunk, counted from
// the chunk's first task. It returns an error if the ranges are malformed, and does nothing if the job
// is not open.
func (s *Scheduler) LoadDone(id string, chunk int, ranges string) error {
	job := s.jobs[id]
	if job == nil {
		return nil
	}
	s.slo.JobStarted(id, s.termStart)
	base := chunk * s.settings.ChunkTasks
	return records.ParseRanges(ranges, func(i int) {
		if task := base + i; task < job.Tasks {
			job.stored.add(task)
			if job.Shape == records.ShapeGang {
				s.recordResult(job, task) // completes the whole gang; some of its results may not be stored
			} else if !job.done.has(task) {
				s.setDone(job, task)
			}
		}
	})
}

// setDone marks task n of a job as done. The task must not be done yet.
func (s *Scheduler) setDone(j *Job, n int) {
	j.done.add(n)
	if j.doneCount++; j.doneCount == j.Tasks {
		s.completeJobs[j] = struct{}{}
	}
}

// recordResult marks a task as done and its part as due to be stored, unless the task is done
// already or belongs to a service. One result completes a whole gang. Otherwise, if the last leader
// stored only some members' results, or the machines of the others are gone, the others would
// restart and wait for their peers, and the job would never complete.
func (s *Scheduler) recordResult(job *Job, task int) {
	if task >= job.Tasks || job.done.has(task) || job.Shape == records.ShapeService {
		return
	}
	first, last := task, task
	if job.Shape == records.ShapeGang {
		first, last = 0, job.Tasks-1
	}
	for n := first; n <= last; n++ {
		if !job.done.has(n) {
			s.setDone(job, n)
			job.dirtyParts[s.partOf(n)] = true
		}
	}
}

// LoadMachine adds a machine from its stored record. An earlier term may have used it.
func (s *Scheduler) LoadMachine(name string, record records.Machine, now time.Time) {
	m := s.fleet.GetOrCreate(name, record.Addr, record.Type, record.Zone, record.Spot)
	m.Recorded, m.Inherited = true, true
	m.Incarnation = max(m.Incarnation, record.Incarnation)
	m.SilentSince = now
	s.autoscaling.lastListed[name] = now // it was rented before this term, so every later cloud list must contain it
	s.assignBin(m)
}

// CloseJob removes a job that is no longer open, for any reason, stops its attempts, and updates the
// jobs that depend on it.
func (s *Scheduler) CloseJob(id string) {
	s.dependencies.Close(id)
	s.applyDependencyChanges()
	job := s.jobs[id]
	if job == nil {
		return
	}
	job.closed = true
	s.slo.JobClosed(id, job.doneCount == job.Tasks, s.passTime)
	s.releaseAllClaims(job)
	delete(s.jobs, id)
	delete(s.completeJobs, job)
	s.closedJobs = append(s.closedJobs, id)
	s.queueStale, s.placementStale = true, true
	for _, attempt := range s.fleet.AttemptsOfJob(id) {
		s.updateCharge(attempt)
		s.discardAttempt(attempt)
	}
}

// LastDispatched returns when the last task in flight of a job was sent, zero if none is in flight. A
// task is in flight until its machine has reported it. The job may be closed.
func (s *Scheduler) LastDispatched(id string) time.Time {
	var last time.Time
	for _, a := range s.fleet.AttemptsOfJob(id) {
		if a.State() == fleet.Sent && a.AssignedAt.After(last) {
			last = a.AssignedAt
		}
	}
	return last
}

// attemptSequenceBits is the number of low bits of an attempt number that count within a term. The
// higher bits hold the term, so attempt numbers are unique across terms.
const attemptSequenceBits = 24

// maxAttemptSequence is the highest number that an attempt has within its term.
const maxAttemptSequence = 1<<attemptSequenceBits - 1

// newAttemptNumber returns a new unique attempt number.
func (s *Scheduler) newAttemptNumber() uint64 {
	s.sequence++
	return s.term<<attemptSequenceBits | s.sequence
}

// startedThisTerm reports whether this term started an attempt.
func (s *Scheduler) startedThisTerm(attempt *fleet.Attempt) bool {
	return attempt.Number>>attemptSequenceBits == s.term
}

// NextRentalNumbers returns the term and a new sequence number, which make the name of a rental
// request unique.
func (s *Scheduler) NextRentalNumbers() (term, seq uint64) {
	s.sequence++
	return s.term, s.sequence
}

// Progress returns the status of an open job and its numbers of done and running tasks, for
// display. ok is false if the job is not open.
func (s *Scheduler) Progress(id string) (status string, done, running int, ok bool) {
	job := s.jobs[id]
	if job == nil {
		return "", 0, 0, false
	}
	for _, attempt := range job.attempts {
		if attempt.State() == fleet.Running || attempt.State() == fleet.Checkpointing {
			running++
		}
	}
	status = records.StatusPending
	if running > 0 {
		status = records.StatusRunning
	}
	return status, job.doneCount, running, true
}
