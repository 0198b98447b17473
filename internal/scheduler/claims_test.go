package scheduler

import (
	"fmt"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/records"

	"pgregory.net/rapid"
)

// Guards against preempted tasks that take the freed room again before the preemptor uses it,
// because no claim holds it. With random teams, gangs and arrays, the number of preempted tasks is
// bounded by the room that the preemptors' tasks can use. A job that tasks were preempted for
// starts, each task moves at most once, every job ends, and no claim is left.
func TestPreemptedRoomIsClaimed(t *testing.T) {
	useFixedSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		machinesPerZone := rapid.IntRange(2, 5).Draw(t, "machines by zone")
		f := newFakeFleet(t, config.DefaultOptions(), drawTeams(t, machinesPerZone), machinesPerZone)
		var arrivals []records.Job
		tasks := 0
		claimable := 0 // room that the tasks of preemptors can use, in tasks of the smallest size
		for i := range rapid.IntRange(2, 7).Draw(t, "jobs") {
			job := f.drawJob(t, i, machinesPerZone)
			claimable += job.Tasks * int(job.CPUs)
			tasks += job.Tasks
			arrivals = append(arrivals, job)
		}
		workerFailsAt := rapid.IntRange(0, 200).Draw(t, "a worker dies at step")
		preemptedBefore, movesBefore := preemptedTotal.Get(), movesTotal.Get()
		for i := 0; i < 4000 && (i < 400 || len(f.scheduler.jobs) > 0); i++ {
			if i%20 == 0 && len(arrivals) > 0 {
				arrivals[0].AcceptedMS = f.now.UnixMilli()
				f.scheduler.AddJob(arrivals[0], 10, f.now, f.now)
				arrivals = arrivals[1:]
			}
			if i == workerFailsAt && workerFailsAt > 0 {
				claimable += f.restartWorker(f.machines[0])
			}
			f.step(i)
		}
		for id := range f.scheduler.jobs {
			status, done, running, _ := f.scheduler.Progress(id)
			t.Errorf("%s is %s, with %d done and %d running, want it ended", id, status, done, running)
		}
		if got := int(preemptedTotal.Get() - preemptedBefore); got > claimable {
			t.Errorf("%d tasks were preempted, want at most the %d that the preemptors' tasks can take", got, claimable)
		}
		if got := int(movesTotal.Get() - movesBefore); got > tasks {
			t.Errorf("%d moves, want at most one for each of %d tasks", got, tasks)
		}
		for _, machine := range f.machines {
			name := machine.heartbeat.Machine
			reserved := f.scheduler.fleet.Machines[name].Bin.Reserved()
			if len(f.scheduler.jobs) == 0 && reserved.CPU > 0 {
				t.Errorf("on %s %+v is claimed, want nothing once all jobs have ended", name, reserved)
			}
		}
	})
}

// drawTeams draws teams with guarantees (0 for some); some of the teams also have limits.
func drawTeams(t *rapid.T, machinesPerZone int) []config.Team {
	var teams []config.Team
	for i := range rapid.IntRange(1, 3).Draw(t, "teams") {
		guaranteed := fakeMachineCPUs * rapid.IntRange(0, machinesPerZone).Draw(t, "guarantee")
		team := config.Team{Name: fmt.Sprint("team-", i), GuaranteedCPUs: float64(guaranteed)}
		if rapid.Bool().Draw(t, "limited") {
			team.LimitCPUs = max(team.GuaranteedCPUs, float64(fakeMachineCPUs*machinesPerZone))
		}
		teams = append(teams, team)
	}
	return teams
}

// drawJob draws an array or a gang, and the run time of its tasks.
func (f *fakeFleet) drawJob(t *rapid.T, i, machinesPerZone int) records.Job {
	job := records.Job{
		ID:        fmt.Sprint("j-", i),
		Team:      rapid.SampledFrom(f.teams).Draw(t, "team").Name,
		Shape:     records.ShapeArray,
		Priority:  rapid.SampledFrom(allPriorities).Draw(t, "priority"),
		CPUs:      rapid.SampledFrom([]float64{1, 1, 2}).Draw(t, "cpus"),
		Tasks:     rapid.IntRange(1, 10*machinesPerZone).Draw(t, "tasks"),
		EstimateS: float64(rapid.IntRange(5, 60).Draw(t, "estimate")),
		MemGB:     1,
		Image:     "img",
	}
	if rapid.Bool().Draw(t, "gang") {
		job.Shape = records.ShapeGang
		job.Tasks = rapid.IntRange(2, machinesPerZone).Draw(t, "members")
		job.CPUs = rapid.SampledFrom([]float64{2, 4}).Draw(t, "gang cpus")
		job.OneZone = rapid.Bool().Draw(t, "one zone")
	}
	if rapid.Bool().Draw(t, "saves") {
		job.CheckpointS, job.SaveS = 10, float64(rapid.IntRange(0, 4).Draw(t, "flush"))
	}
	runS := job.EstimateS * rapid.Float64Range(0.5, 1.5).Draw(t, "of the estimate")
	f.jobs[job.ID], f.runTimes[job.ID] = job, time.Duration(runS*float64(time.Second))
	return job
}

// restartWorker restarts a machine's worker, so that its attempts are lost. It returns the room
// that the jobs of these attempts may claim again, in tasks of the smallest size.
func (f *fakeFleet) restartWorker(machine *fakeMachine) (claimable int) {
	machine.heartbeat.Incarnation, machine.heartbeat.Sequence = machine.heartbeat.Incarnation+1, 0
	f.workerFailedAt = f.now
	for _, attempt := range machine.attempts {
		claimable += f.jobs[attempt.job].Tasks * int(f.jobs[attempt.job].CPUs)
	}
	machine.attempts = nil
	return claimable
}
