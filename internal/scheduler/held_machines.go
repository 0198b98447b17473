package scheduler

import (
	"cmp"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/records"
)

// heldMachineShare bounds how many of the machines may be emptying for larger tasks, one at least:
// each stands half empty for as long as its last small task runs.
const heldMachineShare = 1.0 / 8

// holdMachines sets machines aside for tasks that are larger than others which wait: from
// these a kept machine takes only what has its turn before. Guards against large
// tasks that never start because small ones of later turns fill every gap before a
// machine is empty. Those that will have room soonest are kept.
func (s *Scheduler) holdMachines(now time.Time) {
	heldBefore := map[*fleet.Machine]bool{}
	for _, machine := range s.fleet.Sorted() {
		if machine.ReservedFor != nil {
			heldBefore[machine] = true
			machine.ReservedFor = nil
			machine.Bin.SetLabel(heldLabel, false)
		}
	}
	s.holders = s.holders[:0]
	if !s.reconciled {
		return
	}
	var waiting []*Job
	smallest := 1.0
	for _, job := range s.queue(now) {
		if job.Shape != records.ShapeGang && s.startable(job, now) && job.nextTask() >= 0 {
			waiting = append(waiting, job)
			smallest = min(smallest, s.smallestShare(job))
		}
	}
	left := max(int(float64(s.countAccepting())*heldMachineShare), 1)
	type soon struct {
		machine *fleet.Machine
		seconds float64
	}
	var list []soon
	listed := 0 // whose machines the list has, by the number of jobs alike
	for _, job := range waiting {
		if left == 0 {
			return
		}
		if job.placementClass == 0 || s.smallestShare(job) <= smallest+1e-9 || job.limited {
			continue
		}
		if listed != job.placementClass {
			listed, list = job.placementClass, list[:0]
			for _, machine := range s.fleet.Sorted() {
				if !machine.Bin.Open() || machine.ReservedFor != nil || !job.permits(machine.Type, machine.Zone, machine.Spot) || !machine.Bin.Cap.Fits(job.request) {
					continue
				}
				seconds := s.secondsUntilRoom(job, machine, now)
				if heldBefore[machine] {
					seconds /= 2 // what has begun to empty goes on
				}
				list = append(list, soon{machine, seconds})
			}
			slices.SortStableFunc(list, func(a, b soon) int { return cmp.Compare(a.seconds, b.seconds) })
		}
		n := min(job.pending(), left, len(list))
		for _, candidate := range list[:n] {
			candidate.machine.ReservedFor = job
			candidate.machine.Bin.SetLabel(heldLabel, true)
		}
		if n > 0 {
			s.holders = append(s.holders, job)
		}
		list = list[n:]
		left -= n
	}
}

// secondsUntilRoom guesses, in seconds, when a machine will have room for a task of the job
// if it is given nothing else.
func (s *Scheduler) secondsUntilRoom(job *Job, machine *fleet.Machine, now time.Time) float64 {
	free := machine.Bin.Cap.Sub(machine.Bin.Used())
	ends := s.endings(machine, now)
	for _, e := range ends {
		if free.Fits(job.request) {
			return e.seconds
		}
		free = free.Add(e.room)
	}
	if len(ends) == 0 {
		return 0
	}
	return ends[len(ends)-1].seconds
}

// ending is room that a task gives back when it ends, by its estimate in so many seconds.
type ending struct {
	seconds float64
	room    packing.Resources
}

// endings lists, the soonest first, when what is on a machine ends.
func (s *Scheduler) endings(machine *fleet.Machine, now time.Time) []ending {
	ends := make([]ending, 0, 16) // a machine holds few
	for _, attempt := range machine.Attempts() {
		if attempt.Item == nil {
			continue
		}
		seconds := 0.0
		if aj := s.jobOf(attempt); aj != nil {
			seconds = s.remainingSeconds(aj, attempt, now)
		}
		ends = append(ends, ending{seconds, attempt.Item.Req})
	}
	slices.SortFunc(ends, func(a, b ending) int { return cmp.Compare(a.seconds, b.seconds) })
	return ends
}

// heldLabel is the mark of bins whose machines are kept.
const heldLabel = "kept"

// lastHoldingJob is the one served last of the jobs for whose sake machines are kept, nil if
// there is none or one of them is over. Whoever is served after it finds every kept machine
// spared, which need not be asked of each: on 1,300 machines that was most of what the
// placing cost.
func (s *Scheduler) lastHoldingJob() *Job {
	var last *Job
	for _, holder := range s.holders {
		if holder.closed {
			return nil
		}
		if last == nil || servedBefore(last, holder) {
			last = holder
		}
	}
	return last
}

// isHeldForEarlier says whether a machine is kept for a job whose turn is before another's.
func isHeldForEarlier(m *fleet.Machine, j *Job) bool {
	holder, ok := m.ReservedFor.(*Job)
	return ok && holder != j && !holder.closed && servedBefore(holder, j)
}
