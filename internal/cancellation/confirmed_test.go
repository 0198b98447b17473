package cancellation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// numberedIDs returns n job ids.
func numberedIDs(n int) []string {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("j-", i))
	}
	return ids
}

// An invalid list is rejected with an error that names the field, and covers no cancellation.
// Otherwise a faulty answer of a controller could extend lease renewals past an unknown
// cancellation.
func TestInvalidListCoversNothing(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	bound := NewRenewalBound(cancelTime, leaseTime)
	bound.RecordContact(now.Add(-time.Second))
	for name, x := range map[string]struct {
		list    ConfirmedList
		wantErr string // "" for a valid list
	}{
		"one job":            {ConfirmedList{SpanMS: 5000, IDs: []string{"j-1"}}, ""},
		"too short a span":   {ConfirmedList{SpanMS: 900}, ""},
		"negative span":      {ConfirmedList{SpanMS: -1}, "told.reach_ms: -1"},
		"span beyond bounds": {ConfirmedList{SpanMS: 1 << 60}, "told.reach_ms"},
		"malformed id":       {ConfirmedList{SpanMS: 5000, IDs: []string{"j-1", "no job"}}, `told.ids: "no job"`},
		"too many ids":       {ConfirmedList{SpanMS: 5000, IDs: numberedIDs(maxListedIDs + 1)}, "told.ids: 1025"},
		"too many bytes": {
			ConfirmedList{SpanMS: 5000, IDs: slices.Repeat([]string{"j-" + strings.Repeat("1", 100)}, 300)}, "told.ids: 300",
		},
	} {
		t.Run(name, func(t *testing.T) {
			err := x.list.Check()
			if (err == nil) != (x.wantErr == "") || err != nil && !strings.Contains(err.Error(), x.wantErr) {
				t.Errorf("%d ids, %d ms: got %v, want %q", len(x.list.IDs), x.list.SpanMS, err, x.wantErr)
			}
			ids, ok := bound.Covers([]PeerAnswer{{Confirmed: &x.list}}, now)
			if want := x.wantErr == "" && x.list.SpanMS >= 1001; ok != want || !ok && ids != nil {
				t.Errorf("span of %d ms: got covered %v with %d ids, want %v", x.list.SpanMS, ok, len(ids), want)
			}
		})
	}
}

// A log with more entries than it keeps, or than a list may hold, returns a list with the shorter
// span for which it is complete.
func TestTruncatedListHasShorterSpan(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const confirmed, interval = maxLogEntries + 10, time.Second / 100
	log := NewLog(now.Add(-time.Hour))
	for n, id := range numberedIDs(confirmed) {
		log.Add(id, now.Add(time.Duration(n-confirmed)*interval))
	}
	list := log.ConfirmedWithin(time.Hour, now)
	if err := list.Check(); err != nil || len(list.IDs) != maxListedIDs || list.SpanMS > 10_249 || list.SpanMS < 10_240 {
		t.Errorf("got %d ids, complete for %d ms, %v, want %d for 10,240 to 10,249 ms", len(list.IDs), list.SpanMS, err, maxListedIDs)
	}
	if list := log.ConfirmedWithin(time.Second, now); len(list.IDs) > 101 || list.SpanMS != 1000 {
		t.Errorf("got %d ids, complete for %d ms, want at most 101 for 1000 ms", len(list.IDs), list.SpanMS)
	}
}
