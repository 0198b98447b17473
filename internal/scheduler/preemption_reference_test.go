package scheduler

import (
	"maps"
	"reflect"
	"slices"
	"testing"

	"drumpick/internal/config"
	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/quota"
	"drumpick/internal/records"

	"pgregory.net/rapid"
)

// referenceCandidate is a candidate of the reference search.
type referenceCandidate struct {
	machine              *fleet.Machine
	free                 packing.Resources
	victims, nextVictims []*fleet.Attempt
	loss                 float64
	feasible             bool
}

// referenceVictims is the reference for chooseVictims: it examines all attempts of the machine for each
// victim.
func (s *preemptionSearch) referenceVictims(job *Job, c *referenceCandidate, excess map[string]quota.Amount) {
	c.nextVictims, c.loss, c.feasible = nil, 0, true
	free, excessAfter := c.free, maps.Clone(excess)
	for !free.Fits(job.request) {
		var cheapest *fleet.Attempt
		least := 0.0
		for _, attempt := range c.machine.Attempts() {
			victimJob := s.scheduler.jobOf(attempt)
			if !isPreemptible(victimJob, attempt) || !s.mayPreempt(job, attempt, excessAfter) ||
				slices.Contains(c.victims, attempt) || slices.Contains(c.nextVictims, attempt) {
				continue
			}
			if loss, ok := s.scheduler.lostWork(victimJob, attempt, s.now); ok && (cheapest == nil || loss < least) {
				cheapest, least = attempt, loss
			}
		}
		if cheapest == nil {
			c.nextVictims, c.loss, c.feasible = nil, 0, false
			return
		}
		victimJob := s.scheduler.jobOf(cheapest)
		excessAfter[victimJob.Team] = excessAfter[victimJob.Team].Sub(victimJob.taskQuota())
		c.nextVictims = append(c.nextVictims, cheapest)
		free = free.Add(cheapest.Item.Request)
		c.loss += least
	}
}

// referencePlaces is the reference for choosePlaces: it examines all candidates for each place.
func (s *preemptionSearch) referencePlaces(job *Job, n int, list []*referenceCandidate, zones map[string]int,
	excess map[string]quota.Amount) (chosen []preemptionChoice, missing int) {
	for n > 0 {
		var best *referenceCandidate
		for _, c := range list {
			if c.feasible && (best == nil || c.loss < best.loss) && (zones == nil || job.zoneAllowed(c.machine.Zone, zones)) {
				best = c
			}
		}
		if best == nil {
			break
		}
		previousLoss := best.loss
		if s.referenceVictims(job, best, excess); !best.feasible || best.loss > previousLoss {
			continue
		}
		choice := preemptionChoice{machine: best.machine, victims: best.nextVictims}
		for _, attempt := range best.nextVictims {
			best.free = best.free.Add(attempt.Item.Request)
			victimJob := s.scheduler.jobOf(attempt)
			excess[victimJob.Team] = excess[victimJob.Team].Sub(victimJob.taskQuota())
		}
		best.victims = append(best.victims, best.nextVictims...)
		for n > 0 && best.free.Fits(job.request) && (zones == nil || job.zoneAllowed(best.machine.Zone, zones)) {
			best.free = best.free.Sub(job.request)
			choice.tasks++
			n--
			if zones != nil {
				zones[best.machine.Zone]++
			}
		}
		chosen = append(chosen, choice)
		s.referenceVictims(job, best, excess)
	}
	return chosen, n
}

// compareSearches compares the choices for a job with those of the reference, in the scheduler's current
// state, and returns the number of victims.
func compareSearches(t *rapid.T, f *fakeFleet, job *Job, n int) (victims int) {
	search := newPreemptionSearch(f.scheduler, f.now)
	search.loadExcess()
	var reference []*referenceCandidate
	for _, candidate := range search.listCandidates(job, "") {
		c := &referenceCandidate{machine: candidate.machine, free: expectedRoom(candidate.machine)}
		search.referenceVictims(job, c, search.excess)
		if job.Shape != records.ShapeGang && c.machine.Bin.Fits(job.request) {
			c.feasible = false
		}
		reference = append(reference, c)
	}
	zones := f.scheduler.constrainedZoneCounts(job)
	excess, wantExcess := maps.Clone(search.excess), maps.Clone(search.excess)
	got, missing := search.choosePlaces(job, n, search.listCandidates(job, ""), maps.Clone(zones), excess)
	want, wantMissing := search.referencePlaces(job, n, reference, zones, wantExcess)
	if missing != wantMissing || !reflect.DeepEqual(got, want) || !reflect.DeepEqual(excess, wantExcess) {
		t.Fatalf("for %d tasks of %s: %d choices %+v, %d missing, excess %v\nwant %d choices %+v, %d missing, excess %v",
			n, job.ID, len(got), got, missing, excess, len(want), want, wantMissing, wantExcess)
	}
	for _, choice := range got {
		victims += len(choice.victims)
	}
	return victims
}

// The victims and places that preemption chooses are those of a search that examines every pair of a
// machine's attempts and every machine for each place.
func TestPreemptionChoosesAsExhaustiveSearch(t *testing.T) {
	useFixedSeed(t)
	victims := 0
	rapid.Check(t, func(t *rapid.T) {
		machinesPerZone := rapid.IntRange(2, 4).Draw(t, "machines by zone")
		options := config.DefaultOptions()
		options.Guarantees = true
		f := newFakeFleet(t, options, drawTeams(t, machinesPerZone), machinesPerZone)
		for i := range 60 {
			if i%10 == 0 {
				job := f.drawJob(t, i, machinesPerZone)
				job.CPUs, job.AcceptedMS = rapid.SampledFrom([]float64{0.25, 0.5, 1, 2, 4}).Draw(t, "size"), f.now.UnixMilli()
				f.jobs[job.ID] = job
				f.scheduler.AddJob(job, 10, f.now, f.now)
			}
			f.step(i)
			for _, job := range f.scheduler.queue(f.now) {
				victims += compareSearches(t, f, job, rapid.IntRange(1, 12).Draw(t, "places"))
			}
		}
	})
	if victims < 5_000 {
		t.Errorf("only %d victims were compared", victims)
	}
}
