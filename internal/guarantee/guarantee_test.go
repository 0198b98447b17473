package guarantee

import (
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/packing"

	"pgregory.net/rapid"
)

// What is owed never adds up to more than was guaranteed, in any kind that is named; what
// holds its room takes of no other kind; and a job once left out of a guarantee does not
// come in by another that is taken after it.
func TestOwedWithinGuarantee(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		team := config.Team{Name: "t", CPUs: float64(rapid.IntRange(0, 40).Draw(t, "cpus")), GPUs: float64(rapid.IntRange(0, 8).Draw(t, "gpus"))}
		named := rapid.Bool().Draw(t, "named")
		a := NewAccount(map[string]config.Team{"t": team}, named)
		var sum packing.Vec
		left := true
		for range rapid.IntRange(1, 12).Draw(t, "jobs") {
			n := rapid.IntRange(0, 9).Draw(t, "tasks")
			one := packing.Vec{CPU: float64(rapid.IntRange(0, 6).Draw(t, "cpu")), GPU: float64(rapid.IntRange(0, 2).Draw(t, "gpu"))}
			owed, holds := a.Take("t", n, one)
			if holds && !owed || owed && !Any(team) || !named && owed != holds {
				t.Fatalf("owed %v, holds %v", owed, holds)
			}
			if owed && !left && n > 0 {
				t.Fatal("it came in after one that was left out")
			}
			sum = sum.Add(packing.Vec{CPU: float64(n) * one.CPU, GPU: float64(n) * one.GPU})
			over := sum.CPU > team.CPUs && (team.CPUs > 0 || !named) || sum.GPU > team.GPUs && (team.GPUs > 0 || !named)
			if owed == over && Any(team) {
				t.Fatalf("owed %v with %v of %v", owed, sum, team)
			}
			if holds && named && (one.CPU > 0 && team.CPUs == 0 || one.GPU > 0 && team.GPUs == 0) {
				t.Fatal("it holds what is not guaranteed")
			}
			left = owed
		}
	})
}

// The case at hand: CPUs are guaranteed and no GPUs. Tasks with GPUs count their CPUs and
// have their turn, hold nothing, and do not put what comes after them outside.
func TestGuaranteeOfOneKind(t *testing.T) {
	teams := map[string]config.Team{"t": {Name: "t", CPUs: 100}}
	tags, gang := packing.Vec{CPU: 6, GPU: 1}, packing.Vec{CPU: 15}
	for _, c := range []struct {
		named                    bool
		tags, tagsHold, gangOwed bool
	}{{false, false, false, false}, {true, true, false, true}} {
		a := NewAccount(teams, c.named)
		owed, holds := a.Take("t", 5, tags)
		then, thenHolds := a.Take("t", 4, gang)
		if owed != c.tags || holds != c.tagsHold || then != c.gangOwed || thenHolds != c.gangOwed {
			t.Errorf("named %v: tags %v %v, gang %v %v", c.named, owed, holds, then, thenHolds)
		}
	}
}

func TestInTime(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		within, age, fetch time.Duration
		want               bool
	}{{0, 0, 0, false}, {10 * s, 0, 8 * s, true}, {10 * s, 0, 9 * s, false}, {10 * s, 8 * s, 0, true}, {10 * s, 9 * s, 0, false}} {
		if got := InTime(c.within, c.age, 3*s/2, c.fetch); got != c.want {
			t.Errorf("within %v after %v with a fetch of %v: %v", c.within, c.age, c.fetch, got)
		}
	}
}

// What was lacked is remembered for a time, by type.
func TestScarce(t *testing.T) {
	s, now := NewScarce(), time.Unix(1000, 0)
	if s.Lately("g", time.Minute, now) {
		t.Error("lacking before anything was")
	}
	s.Lacked("g", now)
	if !s.Lately("g", time.Minute, now.Add(59*time.Second)) || s.Lately("g", time.Minute, now.Add(time.Minute)) || s.Lately("c", time.Minute, now) {
		t.Error("not remembered for just a minute, of this type")
	}
}
