package reservation

import (
	"testing"
	"time"
)

// ChooseZone chooses the zone whose last needed place is free first, after the places reserved for
// others. Ties are broken by zone name, independent of the order of the zones.
func TestChooseZone(t *testing.T) {
	for _, test := range []struct {
		name   string
		zones  []Zone
		n      int
		want   string
		afterS float64
	}{
		{"no zones", nil, 1, "", 0},
		{"too few places", []Zone{{"a", []float64{0, 1}, 0}}, 3, "", 0},
		{"soonest last place", []Zone{{"a", []float64{9, 0}, 0}, {"b", []float64{4, 5}, 0}}, 2, "b", 5},
		{"places reserved for others", []Zone{{"a", []float64{1, 2, 30}, 1}, {"b", []float64{8, 9}, 0}}, 2, "b", 9},
		{"equal zones", []Zone{{"b", []float64{3}, 0}, {"a", []float64{3}, 0}}, 1, "a", 3},
	} {
		zone, afterS := ChooseZone(test.zones, test.n)
		if zone != test.want || afterS != test.afterS {
			t.Errorf("%s: got %q after %v s, want %q after %v s", test.name, zone, afterS, test.want, test.afterS)
		}
	}
}

// A reservation is due before its job is urgent, and the earlier the longer its places take to become
// free. It is not due at EarliestWait if they are free at once.
func TestDueBeforeUrgent(t *testing.T) {
	const bound = 100 * time.Second
	for _, test := range []struct {
		waited, need time.Duration
		due, urgent  bool
	}{
		{EarliestWait(bound), 0, false, false},
		{74 * time.Second, 0, false, false},
		{75 * time.Second, 0, true, false},
		{44 * time.Second, 10 * time.Second, false, false},
		{45 * time.Second, 10 * time.Second, true, false},
		{89 * time.Second, 10 * time.Second, true, false},
		{90 * time.Second, 10 * time.Second, true, true},
	} {
		if got := Due(test.waited, test.need, bound); got != test.due {
			t.Errorf("after %v, needing %v: due %v, want %v", test.waited, test.need, got, test.due)
		}
		if got := Urgent(test.waited, test.need, bound); got != test.urgent {
			t.Errorf("after %v, needing %v: urgent %v, want %v", test.waited, test.need, got, test.urgent)
		}
	}
}
