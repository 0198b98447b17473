package fairshare

import (
	"testing"

	"drumpick/internal/config"
	"drumpick/internal/packing"

	"pgregory.net/rapid"
)

// The entitled jobs of a team never exceed its guarantee in any named resource. A job that may
// preempt requests no other resource. After a job that exceeds the guarantee, no later job of the
// team is entitled.
func TestEntitledWithinGuarantee(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		team := config.Team{
			Name:           "t",
			GuaranteedCPUs: float64(rapid.IntRange(0, 40).Draw(t, "cpus")),
			GuaranteedGPUs: float64(rapid.IntRange(0, 8).Draw(t, "gpus")),
		}
		onlyNamed := rapid.Bool().Draw(t, "named")
		account := NewAccount(map[string]config.Team{"t": team}, onlyNamed)
		var sum packing.Resources
		previousEntitled := true
		for range rapid.IntRange(1, 12).Draw(t, "jobs") {
			n := rapid.IntRange(0, 9).Draw(t, "tasks")
			size := packing.Resources{CPU: float64(rapid.IntRange(0, 6).Draw(t, "cpu")), GPU: float64(rapid.IntRange(0, 2).Draw(t, "gpu"))}
			entitled, mayPreempt := account.Charge("t", n, size)
			if mayPreempt && !entitled || entitled && !HasGuarantee(team) || !onlyNamed && entitled != mayPreempt {
				t.Fatalf("entitled %v, may preempt %v", entitled, mayPreempt)
			}
			if entitled && !previousEntitled && n > 0 {
				t.Fatal("a job is entitled after one that was left out")
			}
			sum = sum.Add(packing.Resources{CPU: float64(n) * size.CPU, GPU: float64(n) * size.GPU})
			cpusExceeded := sum.CPU > team.GuaranteedCPUs && (team.GuaranteedCPUs > 0 || !onlyNamed)
			gpusExceeded := sum.GPU > team.GuaranteedGPUs && (team.GuaranteedGPUs > 0 || !onlyNamed)
			if exceeded := cpusExceeded || gpusExceeded; entitled == exceeded && HasGuarantee(team) {
				t.Fatalf("entitled %v with %v of %v", entitled, sum, team)
			}
			takesOther := size.CPU > 0 && team.GuaranteedCPUs == 0 || size.GPU > 0 && team.GuaranteedGPUs == 0
			if mayPreempt && onlyNamed && takesOther {
				t.Fatalf("%v may preempt for what is not guaranteed by %v", size, team)
			}
			previousEntitled = entitled
		}
	})
}
