package scheduler

import (
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// maxHeldMachineShare is the largest share of the accepting machines that may be held; one machine
// may always be. The share is small because a held machine is underused until its last small task
// ends.
const maxHeldMachineShare = 1.0 / 8

// heldLabel is the label of bins whose machines are held.
const heldLabel = "kept"

// holdMachines holds the machines that will have room soonest for waiting tasks that are larger
// than others that wait. A held machine takes only tasks of the job that it is held for and of jobs
// served before that job. Otherwise small tasks of jobs that are served later would fill every gap,
// and large tasks would starve. Before reconciliation no machine is held, and none ever for gangs
// and for jobs of teams with a limit.
func (s *Scheduler) holdMachines(now time.Time) {
	heldBefore := s.releaseHeldMachines()
	if !s.reconciled {
		return
	}
	waiting, smallest := s.holdCandidates(now)
	remaining := max(int(float64(s.countAcceptingMachines())*maxHeldMachineShare), 1)
	var list []machineWait
	listClass := 0 // placement class that list is for
	for _, job := range waiting {
		if remaining == 0 {
			return
		}
		if job.placementClass == 0 || s.smallestShare(job) <= smallest+1e-9 || job.teamLimited {
			continue
		}
		if listClass != job.placementClass {
			listClass, list = job.placementClass, s.machinesToHold(job, heldBefore, list[:0], now)
		}
		n := min(job.pending(), remaining, len(list))
		for _, candidate := range list[:n] {
			candidate.machine.ReservedFor = job
			candidate.machine.Bin.SetLabel(heldLabel, true)
		}
		if n > 0 {
			s.machineHolders = append(s.machineHolders, job)
		}
		list = list[n:]
		remaining -= n
	}
}

// releaseHeldMachines releases all held machines and returns them.
func (s *Scheduler) releaseHeldMachines() map[*fleet.Machine]bool {
	held := map[*fleet.Machine]bool{}
	for _, machine := range s.fleet.Sorted() {
		if machine.ReservedFor != nil {
			held[machine] = true
			machine.ReservedFor = nil
			machine.Bin.SetLabel(heldLabel, false)
		}
	}
	s.machineHolders = s.machineHolders[:0]
	return held
}

// holdCandidates returns the waiting jobs other than gangs, in the order in which they are served, and
// the smallest share of a machine that a task of any of them takes.
func (s *Scheduler) holdCandidates(now time.Time) (waiting []*Job, smallest float64) {
	smallest = 1.0
	for _, job := range s.queue(now) {
		if job.Shape != records.ShapeGang && s.startable(job, now) && job.nextTask() >= 0 {
			waiting = append(waiting, job)
			smallest = min(smallest, s.smallestShare(job))
		}
	}
	return waiting, smallest
}

// machinesToHold appends the machines that may be held for a job to list, and returns list sorted
// by the time until each machine has room for a task of the job.
func (s *Scheduler) machinesToHold(job *Job, heldBefore map[*fleet.Machine]bool, list []machineWait, now time.Time) []machineWait {
	for _, machine := range s.fleet.Sorted() {
		if !machine.Bin.Open() || machine.ReservedFor != nil || !job.permits(machine.Type, machine.Zone, machine.Spot) ||
			!machine.Bin.Capacity.Fits(job.request) {
			continue
		}
		seconds := s.secondsUntilRoom(job, machine, now)
		if heldBefore[machine] {
			seconds /= 2 // prefer machines that are already being emptied
		}
		list = append(list, machineWait{machine, seconds})
	}
	sortBySeconds(list)
	return list
}

// lastHoldingJob returns the job that is served last among those for which machines are held, nil if
// there is none or any of them is closed. Jobs served after it may use no held machine, so placement
// excludes held machines by label. Checking each machine was most of the cost of placement on 1,300
// machines.
func (s *Scheduler) lastHoldingJob() *Job {
	var last *Job
	for _, holder := range s.machineHolders {
		if holder.closed {
			return nil
		}
		if last == nil || servedBefore(last, holder) {
			last = holder
		}
	}
	return last
}

// isHeldForEarlierJob reports whether a machine is held for a job that is served before job j.
func isHeldForEarlierJob(m *fleet.Machine, j *Job) bool {
	holder, ok := m.ReservedFor.(*Job)
	return ok && holder != j && !holder.closed && servedBefore(holder, j)
}
