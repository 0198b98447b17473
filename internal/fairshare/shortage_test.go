package fairshare

import (
	"testing"
	"time"
)

// A shortage counts for the span after it was recorded, for its machine type only.
func TestShortageWithin(t *testing.T) {
	recordedAt := time.Unix(1_000_000, 0)
	tracker := NewShortageTracker()
	tracker.RecordShortage("g8", recordedAt)
	for _, test := range []struct {
		machineType string
		after       time.Duration
		want        bool
	}{
		{"g8", 0, true},
		{"g8", 59 * time.Second, true},
		{"g8", time.Minute, false},
		{"c4", 0, false},
	} {
		if got := tracker.ShortageWithin(test.machineType, time.Minute, recordedAt.Add(test.after)); got != test.want {
			t.Errorf("shortage of %s %v later: %v, want %v", test.machineType, test.after, got, test.want)
		}
	}
}

// A job can start in time while its wait, a heartbeat interval and the image fetch add up to less
// than the target; without a target, no job can.
func TestCanStartInTime(t *testing.T) {
	const target, heartbeatInterval, fetch = 60 * time.Second, 5 * time.Second, 15 * time.Second
	if !CanStartInTime(target, 39*time.Second, heartbeatInterval, fetch) {
		t.Error("cannot start in time after 39s, want that it can")
	}
	if CanStartInTime(target, 40*time.Second, heartbeatInterval, fetch) {
		t.Error("can start in time after 40s, want that it cannot")
	}
	if CanStartInTime(0, 0, 0, 0) {
		t.Error("can start in time without a target, want that it cannot")
	}
}
