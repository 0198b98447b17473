package zonehealth

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const lease = 24 * time.Second

// For random counts of silent machines: suspicion of an outage begins only while the other zones are
// responsive, and ends when the zone is responsive again or after maxOutageLeases. A zone whose
// machines are all silent while the others are responsive is suspected at once.
func TestOutageSuspectedOnlyWhileOthersAreHeard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := New(lease), time.Unix(1_000_000, 0)
		zones := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "zones")]
		since := map[string]time.Time{}
		for range rapid.IntRange(1, 40).Draw(t, "observations") {
			now = now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second)
			counts := drawCounts(t, zones)
			suspected, recovered := m.Observe(counts, now)
			for _, zone := range zones {
				c, others := counts[zone], countOthers(counts, zone)
				othersHeard := c.Machines >= minMachines && others.Machines >= minMachines && 4*others.Silent <= others.Machines
				switch newly := slices.Contains(suspected, zone); {
				case newly && (len(zones) == 1 || !othersHeard || c.Silent < c.Machines):
					t.Fatalf("outage of %s suspected with counts %+v", zone, counts)
				case newly:
					since[zone] = now
				case othersHeard && c.Silent == c.Machines && !m.Suspected(zone) && !slices.Contains(recovered, zone):
					t.Fatalf("outage of %s not suspected with counts %+v", zone, counts)
				}
				if m.Suspected(zone) && c.Machines > 0 && 2*c.Silent <= c.Machines {
					t.Fatalf("outage of %s still suspected though half of its machines are responsive: %+v", zone, counts)
				}
				if m.Suspected(zone) && now.Sub(since[zone]) > maxOutageLeases*lease {
					t.Fatalf("outage of %s still suspected after %v", zone, now.Sub(since[zone]))
				}
			}
		}
	})
}

// drawCounts draws counts of machines; a zone for which 0 is drawn has no entry.
func drawCounts(t *rapid.T, zones []string) map[string]Count {
	counts := map[string]Count{}
	for _, zone := range zones {
		n := rapid.SampledFrom([]int{0, 2, 10, 400}).Draw(t, "machines")
		if n > 0 {
			counts[zone] = Count{n, rapid.SampledFrom([]int{0, n / 8, n / 2, n}).Draw(t, "silent")}
		}
	}
	return counts
}

// countOthers returns the sum of the counts of all zones but one.
func countOthers(counts map[string]Count, excluded string) Count {
	sum := Count{}
	for zone, c := range counts {
		if zone != excluded {
			sum.Machines += c.Machines
			sum.Silent += c.Silent
		}
	}
	return sum
}

// A silent machine in a zone with a suspected outage is waited for as long as a replacement would
// take to start, and longer if no replacement is possible. A machine in a zone without an outage,
// or in a zone that recovered more than half a lease ago, is not waited for.
func TestKeepWaiting(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	m := New(lease)
	observe := func(c, d Count) {
		m.Observe(map[string]Count{"a": {100, 0}, "b": {50, 50}, "c": c, "d": d, "e": {200, 0}, "f": {200, 0}}, now)
	}
	observe(Count{50, 50}, Count{50, 50})
	observe(Count{50, 20}, Count{50, 50})
	now = now.Add(lease / 2)
	observe(Count{50, 0}, Count{50, 20})
	now = now.Add(time.Second)
	got := []string{}
	for _, zone := range []string{"a", "b", "c", "d"} {
		for _, silent := range []time.Duration{30, 44, 45, 100} {
			for _, elsewhere := range []bool{true, false} {
				if m.KeepWaiting(zone, silent*time.Second, 20*time.Second, elsewhere, now) {
					got = append(got, fmt.Sprint(zone, " ", int(silent), " ", elsewhere))
				}
			}
		}
	}
	want := []string{
		"b 30 true", "b 30 false", "b 44 true", "b 44 false", "b 45 false", "b 100 false",
		"d 30 true", "d 30 false", "d 44 true", "d 44 false", "d 45 true", "d 45 false", "d 100 true", "d 100 false",
	}
	if !slices.Equal(got, want) {
		t.Errorf("machines waited for (zone, seconds silent, replaceable): %q, want %q", got, want)
	}
}
