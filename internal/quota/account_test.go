package quota

import (
	"testing"

	"pgregory.net/rapid"
)

// After any sequence of changes, the account equals the sum over all charges; without charges it is
// empty.
func TestAccountEqualsSumOfCharges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account, charges := NewAccount(), make([]Charge, 8)
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			i := rapid.IntRange(0, len(charges)-1).Draw(t, "attempt")
			next := drawCharge(t)
			account.Replace(charges[i], next)
			charges[i] = next
			for _, team := range []string{"a", "b"} {
				check(t, "in use", account.InUse(team), sum(charges, team, true, Present, Stopping))
				check(t, "committed", account.Committed(team), sum(charges, team, true, Planned, Present, Stopping))
				check(t, "not stopping", account.NotStopping(team), sum(charges, team, false, Present))
			}
		}
		for _, charge := range charges {
			account.Replace(charge, Charge{})
		}
		if !account.Empty() || account.Committed("a") != (Amount{}) {
			t.Fatalf("without charges it holds %v, want nothing", account.Committed("a"))
		}
	})
}

func drawCharge(t *rapid.T) Charge {
	return Charge{
		Phase:  Phase(rapid.IntRange(int(None), numPhases-1).Draw(t, "phase")),
		Shared: rapid.Bool().Draw(t, "shared"),
		Team:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"),
		Size:   Amount{CPUs: float64(rapid.IntRange(0, 4).Draw(t, "cpus")) / 4, GPUs: float64(rapid.IntRange(0, 2).Draw(t, "gpus"))},
	}
}

// sum returns the sum of a team's charges in some phases, with or without the shared charges. All
// sizes are multiples of 1/4, so that the sums are exact in any order.
func sum(charges []Charge, team string, withShared bool, phases ...Phase) Amount {
	var total Amount
	for _, charge := range charges {
		for _, phase := range phases {
			if charge.Phase == phase && (charge.Shared && withShared || !charge.Shared && charge.Team == team) {
				total = total.Add(charge.Size)
			}
		}
	}
	return total
}

func check(t *rapid.T, what string, got, want Amount) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}
