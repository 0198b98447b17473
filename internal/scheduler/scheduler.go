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

// Scheduler is the state of one term's scheduling. It is not safe for concurrent use: the leader
// calls it under its own lock.
type Scheduler struct {
	settings  Settings
	term      uint64
	termStart time.Time
	sequence  uint64    // last number given to an attempt or a request in this term
	passTime  time.Time // of the placement pass or rebalancing round under way

	// Jobs and their order.
	jobs             map[string]*Job   // open jobs by id
	completeJobs     map[*Job]struct{} // of these, those of which every task is done
	dependencies     *dependency.Graph // of the same jobs and those that they name
	placementClasses placementClasses
	sortedJobs       []*Job          // jobs that are not blocked, in the order in which they are served
	order            *placementOrder // of the same jobs
	queueStale       bool            // the order has to be worked out again

	// Machines.
	fleet          *fleet.Table
	machineTypes   map[string]records.MachineType
	typesByPrice   []string                  // machine types, cheapest first
	spaces         map[string]*packing.Space // the bins of each type
	lastBinRefresh time.Time                 // when it was last examined which machines accept tasks
	quotaUsage     *quota.Account            // what the attempts in fleet take, by team
	urgentMachines map[string]bool           // machines that are to get commands at once, not with their next heartbeat
	zoneHealth     *zonehealth.Monitor       // which zones have a suspected outage

	// Placement.
	placementStale   bool                       // something changed since the last placement pass
	currentTurns     *turnIterator              // of the placement pass under way; nil: there is none
	plannedAttempts  []*fleet.Attempt           // planned, in the order of their turns; some may no longer be planned
	onDemandShortage *fairshare.ShortageTracker // which on-demand machines are too few for jobs that may use no others
	freedRoom        freedRoom
	lastRebalance    time.Time

	// Room that is kept for jobs.
	claimOwners           []*Job // jobs that have claims
	reservationCandidates []*Job // jobs that may need a reservation
	machineHolders        []*Job // jobs for which machines are held
	lastMachineHolder     *Job   // the one of them that is served last, for the placement pass under way

	// Failover and reconciliation.
	reconciled bool // every machine that an earlier term may have used has been heard or is gone
	watermarks watermarkState

	// Autoscaling and drains.
	autoscaling autoscalingState
	drains      drainSet

	// Records that are no longer needed.
	closedJobs      []string // jobs whose finished tasks need no record
	removedMachines []string // machines that need no record

	// Overload and service levels.
	overload      *overload.Detector // how far the leader falls behind
	maxDelay      time.Duration      // the longest that anything waited since the last tick
	slo           *slo.Tracker       // which jobs arrived and which began
	lastSLOReport time.Time
}

// New returns the scheduler of a new term, which knows no job and no machine yet.
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

// AddJob adds an open job, accepted at its record's wall-clock time. A job that is known already is
// returned as it is.
func (s *Scheduler) AddJob(record records.Job, revision uint64, now, wall time.Time) *Job {
	if job := s.jobs[record.ID]; job != nil {
		return job
	}
	words := (record.Tasks + 63) / 64
	job := &Job{
		Job: record, Revision: revision,
		request:         packing.Resources{CPU: record.CPUs, GPU: record.GPUs, Mem: record.MemGB},
		imageReadyLabel: fleet.ImageReadyLabel(record.Image),
		done:            make([]uint64, words),
		stored:          make([]uint64, words),
		waitingTasks:    waitingTasks{inRetries: make([]uint64, words)},
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
		s.updateCharge(attempt) // until now its job was not known
	}
	return job
}

// LoadDone adds stored ranges of finished tasks of a chunk.
func (s *Scheduler) LoadDone(id string, chunk int, ranges string) error {
	job := s.jobs[id]
	if job == nil {
		return nil
	}
	s.slo.JobStarted(id, s.termStart)
	base := chunk * s.settings.ChunkTasks
	return records.ParseRanges(ranges, func(i int) {
		if task := base + i; task < job.Tasks {
			job.stored[task/64] |= 1 << (task % 64)
			if job.Shape == records.ShapeGang {
				s.recordResult(job, task) // and so the whole gang, of which not all may be stored
			} else if !hasBit(job.done, task) {
				s.setDone(job, task)
			}
		}
	})
}

// setDone notes that a task is done that was not.
func (s *Scheduler) setDone(j *Job, n int) {
	j.done[n/64] |= 1 << (n % 64)
	if j.doneCount++; j.doneCount == j.Tasks {
		s.completeJobs[j] = struct{}{}
	}
}

// recordResult notes a task's result, to be stored. A gang completes as a whole: without this, where some
// results reached the last leader, or reach this one from one machine and not from another that is
// gone, the rest would begin alone, wait for its peers in vain, and the job would never be done.
func (s *Scheduler) recordResult(job *Job, task int) {
	if task >= job.Tasks || hasBit(job.done, task) || job.Shape == records.ShapeService {
		return
	}
	first, last := task, task
	if job.Shape == records.ShapeGang {
		first, last = 0, job.Tasks-1
	}
	for n := first; n <= last; n++ {
		if !hasBit(job.done, n) {
			s.setDone(job, n)
			job.dirtyParts[s.partOf(n)] = true
		}
	}
}

// LoadMachine adds a recorded machine, which an earlier term may have used.
func (s *Scheduler) LoadMachine(host string, record records.Machine, now time.Time) {
	m := s.fleet.GetOrCreate(host, record.Addr, record.Type, record.Zone, record.Spot)
	m.Recorded, m.Inherited = true, true
	m.Incarnation = max(m.Incarnation, record.Incarnation)
	m.SilentSince = now
	s.autoscaling.lastListed[host] = now // it was up before, so any later list must contain it
	s.assignBin(m)
}

// CloseJob notes that a job is no longer open, for whichever reason. Whatever still runs of it is
// stopped.
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

// LastDispatched returns when a task of a job, which may be closed by now, was last sent to a machine
// that has not shown it yet. Zero: none is on its way.
func (s *Scheduler) LastDispatched(id string) time.Time {
	var last time.Time
	for _, a := range s.fleet.AttemptsOfJob(id) {
		if a.State() == fleet.Sent && a.AssignedAt.After(last) {
			last = a.AssignedAt
		}
	}
	return last
}

// attemptSequenceBits is how many low bits of an attempt number count within a term. The term is in the
// bits above, so that no other term uses the number.
const attemptSequenceBits = 24

// newAttemptNumber returns a number that no other attempt has.
func (s *Scheduler) newAttemptNumber() uint64 {
	s.sequence++
	return s.term<<attemptSequenceBits | s.sequence
}

// startedThisTerm reports whether this term started an attempt.
func (s *Scheduler) startedThisTerm(attempt *fleet.Attempt) bool {
	return attempt.Number>>attemptSequenceBits == s.term
}

// NextRentalNumbers returns the numbers that name a scale-out request, unlike those of any other
// request of any term.
func (s *Scheduler) NextRentalNumbers() (term, seq uint64) {
	s.sequence++
	return s.term, s.sequence
}

// Progress reports how a job stands, for display.
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
