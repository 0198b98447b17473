package scheduler

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/drain"
	"drumpick/internal/fleet"
	"drumpick/internal/records"

	"pgregory.net/rapid"
)

// Guards against a heartbeat that makes the leader panic, and then every leader that the worker sends it
// to. Workers report arbitrary states of known and unknown tasks, with numbers far beyond those of a job,
// the same task more than once, and any incarnation, sequence and term. Meanwhile jobs of every shape are
// added and cancelled, drains are previewed and machines vanish.
func TestArbitraryHeartbeatsDoNotPanic(t *testing.T) {
	useFixedSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		options := config.DefaultOptions()
		options.Watermarks, options.Guarantees, options.Reservations, options.ZoneHealth = true, true, true, true
		f := newFakeFleet(t, options, []config.Team{{Name: "team"}}, 1)
		s := f.scheduler
		for range 60 {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				s.AddJob(arbitraryJob(t, f.now), 10, f.now, f.now)
			case 1:
				s.CloseJob(arbitraryJobID(t))
			case 2:
				s.RemoveMachine(arbitraryMachine(t), f.now)
			case 3:
				s.ExpireLeases(f.now)
				s.Tick(f.now, rapid.Bool().Draw(t, "may start"))
				s.TakeUrgentCommands()
				s.PlanRentals(f.now)
				s.MachinesToReturn(f.now)
			case 4:
				_, _ = s.PreviewDrain(&drain.Spec{ID: "d-1", Kind: drain.KindDrain, Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")}, rapid.Bool().Draw(t, "force"), f.now)
			default:
				exchangeArbitraryHeartbeat(t, s, f.now)
			}
		}
	})
}

// exchangeArbitraryHeartbeat processes a valid heartbeat as the leader does.
func exchangeArbitraryHeartbeat(t *rapid.T, s *Scheduler, now time.Time) {
	heartbeat := arbitraryHeartbeat(t)
	if heartbeat.Validate() != nil {
		return
	}
	s.Recency(heartbeat, now)
	s.NeedsRelay(heartbeat.Machine, now)
	machine, stale := s.Reconcile(heartbeat, rapid.Bool().Draw(t, "is heartbeat"), now)
	if stale || machine == nil {
		s.RenewOvertaken(machine, heartbeat, now)
		return
	}
	s.ObserveUsage(machine)
	machine.Recorded = true
	machine.Unverified = machine.Unverified && rapid.Bool().Draw(t, "unverified")
	s.PlanMachine(machine, now)
	s.Respond(machine, rapid.Bool().Draw(t, "can run"), now)
	s.RecordAnswer(machine, "", now)
	s.DescribeMachine(machine.Name, now)
	for _, j := range s.jobs {
		s.Progress(j.ID)
		j.stored = slices.Clone(j.done)
	}
}

func arbitraryHeartbeat(t *rapid.T) *fleet.Heartbeat {
	hb := &fleet.Heartbeat{
		Machine: arbitraryMachine(t), Addr: "a", Type: rapid.SampledFrom([]string{"c4", "other"}).Draw(t, "type"),
		Zone: rapid.SampledFrom([]string{"a", "b", "other"}).Draw(t, "zone"), Spot: rapid.Bool().Draw(t, "spot"),
		Incarnation: rapid.SampledFrom([]uint64{1, 2, math.MaxUint64}).Draw(t, "incarnation"), Sequence: rapid.Uint64Range(0, 200).Draw(t, "sequence"),
		FencingToken: rapid.SampledFrom([]uint64{0, 4, 5}).Draw(t, "token"), Version: fleet.OptionalText(rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "version")),
	}
	if rapid.IntRange(0, 5).Draw(t, "notice") == 0 {
		seconds := rapid.SampledFrom([]float64{0, -1, 30, 1e300, math.MaxFloat64}).Draw(t, "notice seconds")
		hb.PreemptionNoticeS = &seconds
	}
	for range rapid.IntRange(0, 6).Draw(t, "tasks") {
		hb.Tasks = append(hb.Tasks, fleet.TaskStatus{
			Task:            fmt.Sprintf("%s/%d", arbitraryJobID(t), rapid.SampledFrom([]int{0, 1, 2, 3, 63, 64, 100_000, math.MaxInt}).Draw(t, "task")),
			Attempt:         rapid.SampledFrom([]uint64{0, 1, 5<<attemptSequenceBits | 1, 5<<attemptSequenceBits | 2, math.MaxUint64}).Draw(t, "attempt"),
			Status:          rapid.SampledFrom([]string{"pulling", "waiting", "running", "flushing", "ended"}).Draw(t, "status"),
			Cause:           rapid.SampledFrom([]string{"", "done", "stopped", "mates_gone", "alone", "error", "full", "busy", "no_such", "odd"}).Draw(t, "cause"),
			CheckpointSaved: rapid.Bool().Draw(t, "saved"),
		})
	}
	return hb
}

func arbitraryMachine(t *rapid.T) string {
	return rapid.SampledFrom([]string{"m-00", "m-01", "m-02"}).Draw(t, "machine")
}

func arbitraryJobID(t *rapid.T) string {
	return rapid.SampledFrom([]string{"j-1", "j-2", "j-3", "j-4", "j-5"}).Draw(t, "job")
}

// arbitraryJob returns a job that the API accepts. Its resources include the smallest and 0.
func arbitraryJob(t *rapid.T, now time.Time) records.Job {
	j := records.Job{
		ID: arbitraryJobID(t), Team: "team", Class: "any", AcceptedMS: now.UnixMilli(), Image: "img",
		Shape:    rapid.SampledFrom([]string{records.ShapeArray, records.ShapeGang, records.ShapeService}).Draw(t, "shape"),
		Priority: rapid.SampledFrom(allPriorities).Draw(t, "priority"),
		Tasks:    rapid.SampledFrom([]int{1, 2, 3, 64, 65, 100_000}).Draw(t, "tasks of the job"),
		CPUs:     rapid.SampledFrom([]float64{0, 5e-324, 0.0001, 1, 4}).Draw(t, "cpus"),
		MemGB:    rapid.SampledFrom([]float64{0, 5e-324, 1, 16}).Draw(t, "mem"),
		ImageGB:  rapid.SampledFrom([]float64{0, 1, 1e9}).Draw(t, "image"),
		OneZone:  rapid.Bool().Draw(t, "one zone"), SpreadZones: rapid.Bool().Draw(t, "apart"), Spot: rapid.Bool().Draw(t, "spot job"),
		EstimateS:   rapid.SampledFrom([]float64{0, 1, 1e9}).Draw(t, "estimate"),
		CheckpointS: rapid.SampledFrom([]float64{0, 1e-9, 1e9}).Draw(t, "checkpoint"),
		SaveS:       rapid.SampledFrom([]float64{0, 1e9}).Draw(t, "save"),
	}
	if rapid.Bool().Draw(t, "has deadline") {
		deadline := rapid.SampledFrom([]float64{0, 1, 1e9}).Draw(t, "deadline")
		j.DeadlineS = &deadline
	}
	return j
}
