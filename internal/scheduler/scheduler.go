// Package dispatch decides: which task runs where and when, which are stopped,
// which machines are wanted and which are given back. Core is plain data moved
// by events, with time passed in; Leader drives it for one term.
package scheduler

import (
	"math/bits"
	"slices"
	"sort"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/dependency"
	"drumpick/internal/fairshare"
	"drumpick/internal/fleet"
	"drumpick/internal/forecast"
	"drumpick/internal/overload"
	"drumpick/internal/packing"
	"drumpick/internal/quota"
	"drumpick/internal/records"
	"drumpick/internal/slo"
	"drumpick/internal/watermark"
	"drumpick/internal/zonehealth"
)

// Settings shape a Core. All durations derive from the platform's settings.
type Settings struct {
	HeartbeatInterval, Lease, RoundInterval, GangPeerTimeout time.Duration
	ListLag                                                  time.Duration
	ChunkTasks, PartTasks                                    int // tasks of a chunk, and of what a record holds of it
	IdleStartups                                             float64
	RefusedStartups                                          float64
	Zones                                                    []string
	Objectives                                               []config.Objective
	Teams                                                    map[string]config.Team
	Forecast                                                 forecast.Params
	Watermarks                                               bool          // nothing is sent that the store has not marked
	LoadShedding                                             bool          // starts are left out when the leader falls behind
	Guarantees                                               bool          // work within a guarantee that can begin in time goes first, and finds room
	GuaranteeWithin                                          time.Duration // within which work that is guaranteed is to begin; 0: none is stated
	BeginWithin                                              time.Duration // in which any job should begin, for the account of who is served
	ReservationBound                                         time.Duration // within which any job is to begin, the largest too; 0: room is saved for none
	ZoneHealth                                               bool          // machines of a zone that is cut off are waited for
}

// SettingsOf derives them from the configuration.
func SettingsOf(c *config.Config) Settings {
	w := c.Deployment.Workers
	report, lease := config.Seconds(w.HeartbeatS), config.Seconds(w.LeaseS)
	s := Settings{
		HeartbeatInterval: report,
		// A worker's lease ends by its own clock, so drift is added, and a
		// margin for what lies between writing an answer and its arrival.
		Lease:           lease + config.Drift(lease) + report/4,
		RoundInterval:   time.Duration(float64(report) * c.Options.RoundIntervals),
		GangPeerTimeout: config.Seconds(w.GangPeerS),
		ListLag:         config.Seconds(c.Deployment.Cloud.ListLagS),
		ChunkTasks:      records.ChunkTasks(c.Deployment.State.ValueKB),
		PartTasks:       records.PartTasks(records.ChunkTasks(c.Deployment.State.ValueKB), c.Deployment.State.Lowest().ValueKB),
		IdleStartups:    c.Options.IdleStartups, RefusedStartups: c.Options.CapacityBackoffStartups,
		Zones: c.Deployment.Zones, Objectives: c.Deployment.Objectives, Watermarks: c.Options.Watermarks, LoadShedding: c.Options.LoadShedding, ZoneHealth: c.Options.ZoneHealth, Guarantees: c.Options.Guarantees,
		Teams: map[string]config.Team{},
		Forecast: forecast.Params{
			Up: c.Options.AlphaUp, Down: c.Options.AlphaDown,
			Window: c.Options.Window, Percentile: c.Options.Percentile,
		},
	}
	s.BeginWithin = config.Seconds(c.Options.BeginS)
	if c.Options.Reservations {
		s.ReservationBound = s.BeginWithin
	}
	for _, o := range c.Deployment.Objectives {
		if within := config.Seconds(o.WithinS); o.Kind == config.KindGuarantee && within > 0 && (s.GuaranteeWithin == 0 || within < s.GuaranteeWithin) {
			s.GuaranteeWithin = within
		}
	}
	for _, t := range c.Deployment.Teams {
		s.Teams[t.Name] = t
	}
	return s
}

// Job is an open job.
type Job struct {
	records.Job
	Revision         uint64
	Accepted         time.Time
	releasedAt       time.Time          // from when its times count: its acceptance, or the end of the last job before it
	notStartedBefore uint64             // the revision before which none of its tasks can have been started
	blocked          bool               // for a job that is not known to be stored as done
	urgency          dependency.Urgency // what it is worth for its own sake and that of the jobs behind it
	request          packing.Resources
	preferLabels     []string // marks of machines that suit it, the weightiest first
	imageReadyLabel  string   // mark of machines where its image is
	placementClass   int      // a number that jobs share whose tasks fit the same machines; 0: it shares none
	imageClass       int      // the same of those that also share the image

	watermark watermark.Mark // how far into it tasks may have been sent
	uncertain []uint64       // bit set of tasks that may be on machines not heard since the takeover; nil: none

	done, stored []uint64 // bit sets of finished tasks, and of those the store has
	doneCount    int
	dirtyParts   map[int]bool // parts to be stored

	team    config.Team // what the settings say of its team
	limited bool        // the team has a limit

	nextUntried    int      // tasks from here on were never tried
	adoptedUntried bool     // some of these may be held all the same, adopted after a takeover
	retries        []int    // tasks to be tried again
	retryListed    []uint64 // bit set of what again holds
	attempts       map[int]*fleet.Attempt
	duplicates     map[int]int // attempts on machines beside the held one

	closed  bool // no longer open
	closing bool // its move to the over records is being stored

	errorMachines map[string]bool
	retryAt       time.Time
	backoff       time.Duration

	gangAttempt      uint64
	gangBroken       bool
	start            startStages               // how far its first start has come
	claims           []claim                   // room on machines that is its own
	noClaimsBefore   time.Time                 // claims no room before
	reservedZone     string                    // the zone where room is saved for it
	reserveNotBefore time.Time                 // it is not looked at before whether that is due
	gangBrokenAt     time.Time                 // when a gang that had begun lost its last place
	preempted        map[fleet.TaskID]struct{} // tasks that were stopped for its sake
	moved            map[int]struct{}          // tasks that were moved to fill or empty a bin
	relocating       int                       // tasks that are to leave their machines and find no others
	remainingZones   map[string]int            // where a job bound to zones has its others then; else nil
	guaranteed       bool                      // it is owed its room by its team's guarantee
	protected        bool                      // it may have others stopped for that, and is stopped for nobody
	canBeginInTime   bool                      // it can still begin in time
	targets          []float64                 // when it should be complete, in seconds from its base
	rank             int                       // of its priority, the highest being 0; odd ones are late
	turnAt           time.Time                 // its place among jobs of its priority
}

// unconstrained says whether where a task may go depends on nothing but its size, zone and
// kind of machine.
func (j *Job) unconstrained() bool {
	return len(j.Types) == 0 && !j.OneZone && !j.SpreadZones && j.Shape != records.ShapeGang
}

// placementKey is all that decides whether a plain job's task has room.
type placementKey struct {
	request packing.Resources
	zone    string
	spot    bool
	image   string // of jobs that are to start where it is; otherwise ""
}

// classNumber gives each likeness a number of its own, from 1.
func (s *Scheduler) classNumber(f placementKey) int {
	if s.placementClasses[f] == 0 {
		s.placementClasses[f] = len(s.placementClasses) + 1
	}
	return s.placementClasses[f]
}

// assignPlacementClass gives a job the numbers that it shares with jobs alike.
func (s *Scheduler) assignPlacementClass(job *Job) {
	if !job.unconstrained() {
		return
	}
	f := placementKey{request: job.request, spot: job.Spot}
	if job.Job.Zone != nil {
		f.zone = *job.Job.Zone
	}
	job.placementClass = s.classNumber(f)
	f.image = job.Image
	job.imageClass = s.classNumber(f)
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

func has(set []uint64, i int) bool { return set[i/64]>>(i%64)&1 == 1 }

// Scheduler is the leader's memory for one term.
type Scheduler struct {
	settings         Settings
	term             uint64
	sequence         uint64
	jobs             map[string]*Job
	complete         map[*Job]struct{} // of these, those of which every task is done
	dependencies     *dependency.Graph // of the same jobs and those that they name
	placementClasses map[placementKey]int
	sortedJobs       []*Job
	order            *placingOrder // of the same jobs
	currentTurns     *placingTurns // of the placing under way; nil: there is none
	queueStale       bool
	types            map[string]records.MachineType
	typeNames        []string                  // machine types, cheapest first
	spaces           map[string]*packing.Space // the bins of each type
	lastReopen       time.Time                 // when it was last looked at which machines take tasks
	now              time.Time                 // of the placing or round under way
	fleet            *fleet.Table
	quotaUsage       *quota.Account // of what the attempts in fleet take, by team
	reconciled       bool
	termStart        time.Time

	autoscaling           autoscalingState
	freedRoom             freedRoom
	lastRebalance         time.Time
	placementStale        bool             // something changed since the last placing
	manyUnreachable       bool             // more than a few machines report and hear nothing
	mostSilent            bool             // more machines are silent than heard
	manySilentAt          time.Time        // when last more than a few machines were silent, or a zone was dark
	manyUnreconciledAt    time.Time        // when last more than a few of the machines on record at the takeover had not been heard
	plannedAttempts       []*fleet.Attempt // planned, in the order of their turns, and maybe no longer so
	closedJobs            []string         // jobs whose finished tasks need no record any more
	removedMachines       []string         // machines that need no record any more
	watermarks            watermarkState
	overload              *overload.Detector         // how far the leader falls behind
	delay                 time.Duration              // by how much anything waited since the last look
	zoneHealth            *zonehealth.Monitor        // which zones are cut off
	holders               []*Job                     // jobs for whose sake machines are kept
	lastHolder            *Job                       // the one of them that is served last, for the placing under way
	onDemandShortage      *fairshare.ShortageTracker // which ordinary machines are too few for those who may use no others
	reservationCandidates []*Job                     // jobs for which room may have to be saved
	claimOwners           []*Job                     // jobs that have claims
	slo                   *slo.Tracker               // who came and who began
	lastSLOReport         time.Time                  // when that was last told
	drains                []*activeDrain             // what operators asked for, by id
	lastDrainPass         time.Time                  // when it was last looked at
	drainsActive          bool                       // any of it holds now

	// Kick lists machines that should hear orders at once, not at their next report.
	urgentMachines map[string]bool
}

// New starts a term with nothing known.
func New(set Settings, term uint64, now time.Time) *Scheduler {
	c := &Scheduler{
		settings: set, term: term, jobs: map[string]*Job{}, dependencies: dependency.New(), placementClasses: map[placementKey]int{}, types: map[string]records.MachineType{},
		fleet: fleet.NewTable(term, set.Lease, set.Forecast), termStart: now, urgentMachines: map[string]bool{}, watermarks: newWatermarkState(),
		overload: overload.New(set.HeartbeatInterval, set.HeartbeatInterval/TicksPerHeartbeat), zoneHealth: zonehealth.New(set.Lease),
		onDemandShortage: fairshare.NewShortageTracker(), slo: slo.New(), lastSLOReport: now, autoscaling: newAutoscalingState(), spaces: map[string]*packing.Space{},
		quotaUsage: quota.NewAccount(), order: newPlacingOrder(nil, nil), complete: map[*Job]struct{}{},
	}
	c.fleet.OnChange = c.updateCharge
	return c
}

// SetTypes takes in the machine types that the cloud offers.
func (s *Scheduler) SetTypes(types []records.MachineType) {
	for _, t := range types {
		s.types[t.Name] = t
	}
	s.typeNames = s.typeNames[:0]
	for n := range s.types {
		s.typeNames = append(s.typeNames, n)
	}
	sort.Slice(s.typeNames, func(i, job int) bool {
		attempt, b := s.types[s.typeNames[i]], s.types[s.typeNames[job]]
		if (attempt.GPUs > 0) != (b.GPUs > 0) {
			return b.GPUs > 0 // GPU types pack apart and come last
		}
		if attempt.Price != b.Price {
			return attempt.Price < b.Price
		}
		return attempt.Name < b.Name
	})
	for _, machine := range s.fleet.Machines {
		s.assignBin(machine)
	}
	s.placementStale = true
}

// assignBin gives a machine's bin the capacity of its type, and its place among them.
func (s *Scheduler) assignBin(machine *fleet.Machine) {
	t, ok := s.types[machine.Type]
	if !ok {
		return
	}
	machine.Bin.SetCap(packing.Resources{CPU: t.CPUs, GPU: t.GPUs, Mem: t.MemGB})
	space := s.spaces[machine.Type]
	if space == nil {
		space = &packing.Space{Ranked: true, Movable: func(item *packing.Item) bool {
			attempt, ok := item.Owner.(*fleet.Attempt)
			return ok && s.movable(s.jobOf(attempt), attempt, s.now)
		}, Suits: func(item *packing.Item, to *packing.Bin) bool {
			// Guards against moves that throw a fetch away to begin another: what was
			// only planned moves freely, what is on a machine to where its image is.
			attempt, ok := item.Owner.(*fleet.Attempt)
			if !ok || attempt.State() == fleet.Planned {
				return true
			}
			// Guards against two machines that empty into each other.
			if slices.ContainsFunc(to.Owner.(*fleet.Machine).Attempts(), isLeaving) {
				return false
			}
			job := s.jobOf(attempt)
			return job != nil && (s.fetchTime(job) == 0 || to.HasLabel(job.imageReadyLabel))
		}}
		s.spaces[machine.Type] = space
	}
	if !space.Has(machine.Bin) {
		space.Add(machine.Bin)
	}
}

// AddJob takes in an open job.
func (s *Scheduler) AddJob(record records.Job, revision uint64, now, wall time.Time) *Job {
	if job := s.jobs[record.ID]; job != nil {
		return job
	}
	words := (record.Tasks + 63) / 64
	job := &Job{
		Job: record, Revision: revision,
		request:         packing.Resources{CPU: record.CPUs, GPU: record.GPUs, Mem: record.MemGB},
		imageReadyLabel: fleet.ImageReadyLabel(record.Image),
		done:            make([]uint64, words), stored: make([]uint64, words), retryListed: make([]uint64, words),
		dirtyParts: map[int]bool{}, attempts: map[int]*fleet.Attempt{}, duplicates: map[int]int{},
		errorMachines: map[string]bool{},
	}
	age := max(wall.Sub(time.UnixMilli(record.AcceptedMS)), 0)
	job.Accepted = now.Add(-age)
	job.releasedAt, job.notStartedBefore = job.Accepted, revision
	job.start.learnedAt = now
	if len(s.placementClasses) > 4*len(s.jobs)+64 {
		// Most numbers are of jobs long over.
		clear(s.placementClasses)
		for _, o := range s.jobs {
			s.assignPlacementClass(o)
		}
	}
	s.assignPlacementClass(job)
	job.setTeam(s.settings.Teams[job.Team])
	s.jobs[record.ID] = job
	s.queueStale, s.placementStale = true, true
	s.slo.JobArrived(job.ID, job.Class, job.Team, float64(job.Tasks)*max(job.request.CPU, job.request.GPU), job.releasedAt)
	s.addDependencies(job)
	s.markUncertain(job)
	s.raiseForNewJob(job)
	for _, attempt := range s.fleet.OfJob(record.ID) {
		s.updateCharge(attempt) // until now its owner was not known
	}
	return job
}

// LoadDone takes in stored ranges of finished tasks.
func (s *Scheduler) LoadDone(id string, chunk int, ranges string) error {
	job := s.jobs[id]
	if job == nil {
		return nil
	}
	s.slo.JobBegan(id, s.termStart)
	base := chunk * s.settings.ChunkTasks
	return records.ParseRanges(ranges, func(i int) {
		if task := base + i; task < job.Tasks {
			job.stored[task/64] |= 1 << (task % 64)
			if job.Shape == records.ShapeGang {
				s.markDone(job, task) // and so its mates, which may not be stored
			} else if !has(job.done, task) {
				s.noteDone(job, task)
			}
		}
	})
}

// noteDone notes that a task is done which was not.
func (s *Scheduler) noteDone(j *Job, n int) {
	j.done[n/64] |= 1 << (n % 64)
	if j.doneCount++; j.doneCount == j.Tasks {
		s.complete[j] = struct{}{}
	}
}

// LoadMachine takes in a machine that an earlier term may have used.
func (s *Scheduler) LoadMachine(host string, record records.Machine, now time.Time) {
	m := s.fleet.GetOrCreate(host, record.Addr, record.Type, record.Zone, record.Spot)
	m.Recorded, m.Inherited = true, true
	m.Incarnation = max(m.Incarnation, record.Incarnation)
	m.SilentSince = now
	s.autoscaling.lastListed[host] = now // it was up before, so a list from later on must have it
	s.assignBin(m)
}

// CloseJob notes that a job is over, whichever way; whatever still runs of it is
// stopped.
func (s *Scheduler) CloseJob(id string) {
	s.dependencies.Close(id)
	s.applyDependencyChanges()
	job := s.jobs[id]
	if job == nil {
		return
	}
	job.closed = true
	s.slo.JobClosed(id, job.doneCount == job.Tasks, s.now)
	s.dropAllClaims(job)
	delete(s.jobs, id)
	delete(s.complete, job)
	s.closedJobs = append(s.closedJobs, id)
	s.queueStale, s.placementStale = true, true
	for _, attempt := range s.fleet.OfJob(id) {
		s.updateCharge(attempt)
		s.end(attempt)
	}
}

// LastDispatched is when a task of a job, which may be over by now, was last sent to a machine that has
// not shown it yet; zero: none is on its way.
func (s *Scheduler) LastDispatched(id string) time.Time {
	var last time.Time
	for _, a := range s.fleet.OfJob(id) {
		if a.State() == fleet.Sent && a.Since.After(last) {
			last = a.Since
		}
	}
	return last
}

// end withdraws an attempt whose job is over.
func (s *Scheduler) end(a *fleet.Attempt) {
	switch a.State() {
	case fleet.Planned:
		a.Machine.Forget(a)
	case fleet.Ended:
		a.Reap = true
	default:
		s.stop(a, stopJobClosed, 0, time.Time{})
	}
}

// stop marks an attempt to be killed, and why: the first reason stays. The kill is repeated
// until its exit shows.
func (s *Scheduler) stop(a *fleet.Attempt, reason string, grace float64, now time.Time) {
	if !a.RequestStop(reason, grace, now) {
		return
	}
	s.urgentMachines[a.Machine.Host] = true
}

func (s *Scheduler) newAttemptNumber() uint64 {
	s.sequence++
	return s.term<<24 | s.sequence
}

// NextRequestName gives a rental request a name that no other term or request has.
func (s *Scheduler) NextRequestName() (term, seq uint64) {
	s.sequence++
	return s.term, s.sequence
}

// Progress tells how a job stands, for display.
func (s *Scheduler) Progress(id string) (status string, done, running int, ok bool) {
	job := s.jobs[id]
	if job == nil {
		return "", 0, 0, false
	}
	for _, attempt := range job.attempts {
		if attempt.State() == fleet.Running || attempt.State() == fleet.Flushing {
			running++
		}
	}
	status = records.StatusPending
	if running > 0 {
		status = records.StatusRunning
	}
	return status, job.doneCount, running, true
}

func (s *Scheduler) markDone(job *Job, n int) {
	if n >= job.Tasks || has(job.done, n) || job.Shape == records.ShapeService {
		return
	}
	first, last := n, n
	if job.Shape == records.ShapeGang {
		// A gang completes together (PROTOCOL). Guards against one of which some results reached
		// the last leader, or reach us from one machine and not from another that is gone: the
		// rest would begin alone, wait for mates in vain, and the job would never be done.
		first, last = 0, job.Tasks-1
	}
	for n := first; n <= last; n++ {
		if !has(job.done, n) {
			s.noteDone(job, n)
			job.dirtyParts[s.part(n)] = true
		}
	}
}

// pending counts tasks that are neither done nor held.
func (j *Job) pending() int {
	n := len(j.retries) + j.countUncertain()
	for i := j.nextUntried; i < j.Tasks; {
		// Whole words of untouched tasks count at once.
		if i%64 == 0 && i+64 <= j.Tasks {
			n += 64 - bits.OnesCount64(j.done[i/64])
			i += 64
			continue
		}
		if !has(j.done, i) {
			n++
		}
		i++
	}
	if !j.adoptedUntried {
		return n
	}
	// Tasks beyond next that are held (adopted after a takeover).
	for t := range j.attempts {
		if (t >= j.nextUntried || j.isUncertain(t)) && !has(j.done, t) {
			n--
		}
	}
	return max(n, 0)
}

// nextTask returns the next task to start, or -1. A task with any attempt on any
// machine is passed over: it is tried again when that attempt is gone.
func (j *Job) nextTask() int {
	for len(j.retries) > 0 {
		t := j.retries[0]
		if has(j.done, t) || j.attempts[t] != nil {
			j.popRetry()
			continue
		}
		if j.duplicates[t] > 0 {
			break
		}
		return t
	}
	for j.nextUntried < j.Tasks {
		if has(j.done, j.nextUntried) || j.attempts[j.nextUntried] != nil {
			j.nextUntried++
			continue
		}
		if j.duplicates[j.nextUntried] > 0 {
			j.pushRetry(j.nextUntried)
			j.nextUntried++
			continue
		}
		return j.nextUntried
	}
	return -1
}

// hasNoWaiting says whether no task of the job waits to be started, now or when others of its attempts
// are gone.
func (j *Job) hasNoWaiting() bool { return len(j.retries) == 0 && j.nextUntried >= j.Tasks }

// retryTask puts a task back into the queue.
func (s *Scheduler) retryTask(j *Job, t int) {
	j.pushRetry(t)
	s.order.activate(j)
}

// pushRetry and pop keep the list of tasks to be tried again free of repeats: a task
// can be given back twice when a second attempt of it was about. What is in doubt
// joins the list when it no longer is.
func (j *Job) pushRetry(t int) {
	if !has(j.retryListed, t) && !j.isUncertain(t) {
		j.retryListed[t/64] |= 1 << (t % 64)
		j.retries = append(j.retries, t)
	}
}

func (j *Job) popRetry() {
	t := j.retries[0]
	j.retryListed[t/64] &^= 1 << (t % 64)
	j.retries = j.retries[1:]
}

func (j *Job) takeTask(t int) {
	if len(j.retries) > 0 && j.retries[0] == t {
		j.popRetry()
	} else if t == j.nextUntried {
		j.nextUntried++
	}
}

// releaseAttempt gives a task back to the queue once its attempt is gone.
func (s *Scheduler) releaseAttempt(attempt *fleet.Attempt) {
	job := s.jobs[attempt.Task.Job]
	s.placementStale = true
	if job == nil {
		return
	}
	if job.attempts[attempt.Task.N] == attempt {
		delete(job.attempts, attempt.Task.N)
		if attempt.Task.N < job.nextUntried && !has(job.done, attempt.Task.N) {
			s.retryTask(job, attempt.Task.N)
		}
		if job.Shape == records.ShapeGang {
			s.claimFreedPlace(job, attempt)
			if len(job.attempts) == 0 {
				if job.start.reported {
					job.gangBrokenAt = s.now
				}
				job.gangAttempt, job.gangBroken = 0, false
			}
		}
		return
	}
	if attempt.Duplicate && attempt.Task.N < job.Tasks {
		if job.duplicates[attempt.Task.N]--; job.duplicates[attempt.Task.N] <= 0 {
			delete(job.duplicates, attempt.Task.N)
			if attempt.Task.N < job.nextUntried && job.attempts[attempt.Task.N] == nil && !has(job.done, attempt.Task.N) {
				s.retryTask(job, attempt.Task.N)
			}
		}
	}
}
