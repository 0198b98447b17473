package fairshare

import (
	"testing"

	"drumpick/internal/config"
	"drumpick/internal/packing"

	"pgregory.net/rapid"
)

// What is owed never adds up to more than was guaranteed, in any kind that is named; what
// holds its room takes of no other kind; and a job once left out of a guarantee does not
// come in by another that is taken after it.
func TestOwedWithinGuarantee(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		team := config.Team{Name: "t", GuaranteedCPUs: float64(rapid.IntRange(0, 40).Draw(t, "cpus")), GuaranteedGPUs: float64(rapid.IntRange(0, 8).Draw(t, "gpus"))}
		named := rapid.Bool().Draw(t, "named")
		a := NewAccount(map[string]config.Team{"t": team}, named)
		var sum packing.Resources
		left := true
		for range rapid.IntRange(1, 12).Draw(t, "jobs") {
			n := rapid.IntRange(0, 9).Draw(t, "tasks")
			one := packing.Resources{CPU: float64(rapid.IntRange(0, 6).Draw(t, "cpu")), GPU: float64(rapid.IntRange(0, 2).Draw(t, "gpu"))}
			owed, holds := a.Charge("t", n, one)
			if holds && !owed || owed && !HasGuarantee(team) || !named && owed != holds {
				t.Fatalf("owed %v, holds %v", owed, holds)
			}
			if owed && !left && n > 0 {
				t.Fatal("it came in after one that was left out")
			}
			sum = sum.Add(packing.Resources{CPU: float64(n) * one.CPU, GPU: float64(n) * one.GPU})
			over := sum.CPU > team.GuaranteedCPUs && (team.GuaranteedCPUs > 0 || !named) || sum.GPU > team.GuaranteedGPUs && (team.GuaranteedGPUs > 0 || !named)
			if owed == over && HasGuarantee(team) {
				t.Fatalf("owed %v with %v of %v", owed, sum, team)
			}
			if holds && named && (one.CPU > 0 && team.GuaranteedCPUs == 0 || one.GPU > 0 && team.GuaranteedGPUs == 0) {
				t.Fatal("it holds what is not guaranteed")
			}
			left = owed
		}
	})
}
