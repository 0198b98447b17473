package zonehealth

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever is silent: a zone is dark only while others are heard, or until it is heard
// again; it is so at once where all is clear, and not for longer than mostLeases.
func TestDarkOnlyBesideLight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lease = 24 * time.Second
		w, now := New(lease), time.Unix(1_000_000, 0)
		names := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "zones")]
		since := map[string]time.Time{}
		for range rapid.IntRange(1, 40).Draw(t, "looks") {
			now = now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second)
			counts := map[string]Count{}
			for _, z := range names {
				n := rapid.SampledFrom([]int{0, 2, 10, 400}).Draw(t, "machines")
				if n > 0 {
					counts[z] = Count{n, rapid.SampledFrom([]int{0, n / 8, n / 2, n}).Draw(t, "silent")}
				}
			}
			dark, light := w.Observe(counts, now)
			for _, z := range names {
				others, quiet := 0, 0
				for o, c := range counts {
					if o != z {
						others, quiet = others+c.Machines, quiet+c.Silent
					}
				}
				c := counts[z]
				quietElsewhere := c.Machines >= fewest && others >= fewest && 4*quiet <= others
				switch fell := slices.Contains(dark, z); {
				case fell && (len(names) == 1 || !quietElsewhere || c.Silent < c.Machines):
					t.Fatalf("%s is dark with %+v", z, counts)
				case fell:
					since[z] = now
				case quietElsewhere && c.Silent == c.Machines && !w.Suspected(z) && !slices.Contains(light, z):
					t.Fatalf("%s is not dark with %+v", z, counts)
				}
				if w.Suspected(z) && c.Machines > 0 && 2*c.Silent <= c.Machines {
					t.Fatalf("%s is dark though half of it is heard: %+v", z, counts)
				}
				if w.Suspected(z) && now.Sub(since[z]) > mostLeases*lease {
					t.Fatalf("%s has been dark for %v", z, now.Sub(since[z]))
				}
			}
		}
	})
}

// A machine of a dark zone is waited for as long as another one would take to come up,
// and longer where there is none; one of a zone that is not dark, or was until
// half a lease ago, is not.
func TestWaits(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	w := New(24 * time.Second)
	w.Observe(map[string]Count{"a": {100, 0}, "b": {50, 50}, "c": {50, 50}, "d": {50, 50}, "e": {200, 0}, "f": {200, 0}}, now)
	w.Observe(map[string]Count{"a": {100, 0}, "b": {50, 50}, "c": {50, 20}, "d": {50, 50}, "e": {200, 0}, "f": {200, 0}}, now)
	now = now.Add(12 * time.Second)
	w.Observe(map[string]Count{"a": {100, 0}, "b": {50, 50}, "c": {50, 0}, "d": {50, 20}, "e": {200, 0}, "f": {200, 0}}, now)
	now = now.Add(time.Second)
	got := []string{}
	for _, zone := range []string{"a", "b", "c", "d"} {
		for _, silent := range []time.Duration{30, 44, 45, 100} {
			for _, elsewhere := range []bool{true, false} {
				if w.KeepWaiting(zone, silent*time.Second, 20*time.Second, elsewhere, now) {
					got = append(got, fmt.Sprint(zone, " ", int(silent), " ", elsewhere))
				}
			}
		}
	}
	want := []string{"b 30 true", "b 30 false", "b 44 true", "b 44 false", "b 45 false", "b 100 false",
		"d 30 true", "d 30 false", "d 44 true", "d 44 false", "d 45 true", "d 45 false", "d 100 true", "d 100 false"}
	if !slices.Equal(got, want) {
		t.Errorf("waited for (zone, seconds silent, room elsewhere): %q, want %q", got, want)
	}
}
