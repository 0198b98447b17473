package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"drumpick/internal/drain"
)

// longestRule is a rule whose starts take long to compute.
const longestRule = "FREQ=DAILY;BYHOUR=0,1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17,18,19,20,21,22,23;BYMINUTE=0;BYSECOND=0"

func newWindowDrain(id, rule, firstStart string, durationS, leadS float64) drain.Spec {
	return drain.Spec{ID: id, Kind: drain.KindDrain, Zone: "a", Window: &drain.Window{
		Rule: rule, TimeZone: "Europe/Warsaw", FirstStart: firstStart, DurationS: durationS, LeadS: leadS,
	}}
}

// Whether a drain is in force is computed only when it may have changed, and is at any time what the drain's
// window says, also after a new spec and after the clock was set back.
func TestDrainInForceFollowsWindow(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 63))
	for _, spec := range []drain.Spec{
		newWindowDrain("d-1", longestRule, "2027-03-01T00:00", 900, 600),
		newWindowDrain("d-2", "FREQ=WEEKLY;BYDAY=MO,TH;BYHOUR=3;BYMINUTE=0;BYSECOND=0", "2027-01-01T00:00", 7200, 0),
		{ID: "d-3", Kind: drain.KindDrain, Zone: "a", DeadlineMS: 2_800_000_000_000},
	} {
		now := time.Date(2027, 3, 27, 0, 0, 0, 0, time.UTC)
		if err := spec.Check(now); err != nil {
			t.Fatal(err)
		}
		d := &activeDrain{spec: spec}
		changes, before := 0, false
		for range 3000 {
			now = now.Add(time.Duration(random.IntN(300)) * time.Second)
			if random.IntN(200) == 0 {
				now = now.Add(-30 * time.Minute)
			}
			d.updateInForce(now)
			inForce, deadline, _ := spec.InForce(now)
			if d.inForce != inForce || !d.deadline.Equal(deadline) {
				t.Fatalf("%s at %v: in force %v until %v, want %v until %v", spec.ID, now, d.inForce, d.deadline, inForce, deadline)
			}
			if inForce != before {
				changes, before = changes+1, inForce
			}
		}
		if spec.Window != nil && changes < 2 {
			t.Errorf("%s was never in force and not in force", spec.ID)
		}
	}
}

// BenchmarkDrainWindows measures a pass over 64 drains with the windows that take longest to compute.
func BenchmarkDrainWindows(b *testing.B) {
	s, now := newBusyFleet(b, 100)
	now = now.AddDate(57, 0, 0)
	for i := range maxDrains {
		s.SetDrain(newWindowDrain(fmt.Sprintf("d-%02d", i), longestRule, "2000-01-01T00:00", 900, 600), nil, 0)
	}
	s.runDrains(now)
	for b.Loop() {
		now = now.Add(5 * time.Second)
		s.runDrains(now)
	}
}
