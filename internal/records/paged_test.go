package records

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// storedPages is the content of a store: pages by key.
type storedPages map[string]map[string]json.RawMessage

// apply executes an operation as the store would.
func (s storedPages) apply(op Op) {
	if op.Delete != "" {
		delete(s, op.Delete)
		return
	}
	s[op.Write] = op.Value.(map[string]json.RawMessage)
}

// uniqueNames returns a function that returns a new name on each call.
func uniqueNames(prefix string) func() string {
	n := 0
	return func() string {
		n++
		return fmt.Sprint(prefix, "-", n)
	}
}

// After any sequence of puts and removals, each record is in exactly one page, no page exceeds the
// value size, the store holds what was put, and no page name is reused.
func TestPagedRecordsKeepEachRecordOnce(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 8))
	paged := NewPagedRecords("machines/", 1, uniqueNames("5"))
	want := map[string]string{}
	store := storedPages{}
	deleted := map[string]bool{}
	writes := 0
	for range 5000 {
		id := fmt.Sprint("m-", r.IntN(60))
		if r.IntN(3) == 0 {
			paged.Remove(id)
			delete(want, id)
		} else {
			want[id] = fmt.Sprintf("%q", fmt.Sprint(r.Uint64()>>r.IntN(60)))
			paged.Put(id, json.RawMessage(want[id]), 24)
		}
		if r.IntN(5) > 0 {
			continue
		}
		for _, page := range paged.DirtyPages() {
			op, bytes, _ := paged.PrepareWrite(page)
			writes++
			if op.Delete != "" {
				deleted[op.Delete] = true
			} else {
				checkWrite(t, op, bytes, deleted)
			}
			store.apply(op)
		}
		checkStoredOnce(t, store, want)
	}
	if writes < 100 || len(deleted) == 0 && len(store) < 2 {
		t.Fatalf("only %d writes of %d pages: too little was tested", writes, len(store))
	}
	checkReload(t, store)
}

// checkWrite checks the size and the name of a written page.
func checkWrite(t *testing.T, op Op, bytes int, deleted map[string]bool) {
	t.Helper()
	if raw, _ := json.Marshal(op.Value); len(raw) > 1024 || bytes+2 < len(raw) {
		t.Fatalf("%s takes %d bytes, want at most 1024 and the size from PrepareWrite: %d", op.Write, len(raw), bytes)
	}
	if deleted[op.Write] {
		t.Fatalf("page name %s is reused", op.Write)
	}
}

// checkStoredOnce checks that the store holds exactly the wanted records, each in one page.
func checkStoredOnce(t *testing.T, store storedPages, want map[string]string) {
	t.Helper()
	got := map[string]string{}
	for key, entries := range store {
		for id, value := range entries {
			if got[id] != "" {
				t.Fatalf("%s is in two pages, one of them %s", id, key)
			}
			got[id] = string(value)
		}
	}
	if !maps.Equal(got, want) {
		t.Fatalf("the store has %v, want %v", got, want)
	}
}

// checkReload checks that a later leader can load the pages, and that none is dirty then.
func checkReload(t *testing.T, store storedPages) {
	t.Helper()
	paged := NewPagedRecords("machines/", 1, func() string { return "6-1" })
	loaded := 0
	for key, entries := range store {
		loaded += len(entries)
		raw, _ := json.Marshal(entries)
		paged.Load(key, entries, len(raw))
	}
	if len(paged.IDs()) != loaded || loaded == 0 || len(paged.DirtyPages()) != 0 {
		t.Errorf("read %d of %d records, %d pages are dirty, want none", len(paged.IDs()), loaded, len(paged.DirtyPages()))
	}
}

// Single records of versions without pages are decoded as well as pages.
func TestDecodeEntriesReadsEveryVersion(t *testing.T) {
	for _, x := range []struct{ prefix, key, value, want string }{
		{PrefixMachines, "machines/m-000231", `{"addr":"a:1","rig":"c4","site":"a","loaners":true,"stint":2}`, `[m-000231]`},
		{PrefixMachines, "machines/5-1", `{"m-1":{"rig":"c4"},"m-2":{"rig":"c4"}}`, `[m-1 m-2]`},
		{PrefixFinishedTasks, "done/j-1/2", `"0-4,7"`, `[j-1/2]`},
		{PrefixFinishedTasks, "done/5-1", `{"j-1/0":"0-4","j-2/0":"1"}`, `[j-1/0 j-2/0]`},
		{PrefixFinishedTasks, "done/5-2", `[1]`, ``},
		{PrefixFinishedTasks, "done/5-3", ``, ``},
	} {
		entries, err := DecodeEntries(x.prefix, KeyValue{Key: x.key, Value: json.RawMessage(x.value)})
		ids := slices.Sorted(maps.Keys(entries))
		if got := fmt.Sprint(ids); err == nil && got != x.want || (err != nil) != (x.want == "") {
			t.Errorf("%s: got %s, %v, want %s", x.key, got, err, x.want)
		}
	}
}

// A page that is too large to be written again is emptied in steps: its records are first written to
// other pages. After each step every record is in the store, also as an earlier version reads it,
// which keeps the first of two records with the same id.
func TestOversizedPageIsEmptiedWithoutLoss(t *testing.T) {
	for _, valueKB := range []float64{1, 2} {
		t.Run(fmt.Sprintf("%g KiB", valueKB), func(t *testing.T) { emptyOversizedPage(t, valueKB) })
	}
}

func emptyOversizedPage(t *testing.T, valueKB float64) {
	t.Helper()
	const oversized, other, removed = "machines/3-1", "machines/3-2", "m-000007"
	big := map[string]json.RawMessage{}
	for i := range 110 {
		big[fmt.Sprintf("m-%06d", i)] = fmt.Appendf(nil, `{"addr":"10.1.0.%d:9000","rig":"c4","site":"a","loaners":true,"stint":%d}`, i, i)
	}
	raw, _ := json.Marshal(big)
	store := storedPages{oversized: big, other: {"m-900000": big["m-000001"]}}
	paged := NewPagedRecords("machines/", valueKB, uniqueNames("9"))
	paged.Load(oversized, big, len(raw))
	paged.Load(other, store[other], 100)
	paged.Remove(removed) // the machine was returned meanwhile
	if len(paged.ReadOnlyEntries()) != 109 || paged.HasWritable("m-000001") || !paged.HasWritable("m-900000") || len(paged.DirtyPages()) != 0 {
		t.Fatalf("%d records are to be moved, want 109; %d pages to be written, want none", len(paged.ReadOnlyEntries()), len(paged.DirtyPages()))
	}
	steps := 0
	for ; ; steps++ {
		for id, value := range paged.ReadOnlyEntries() {
			if !paged.HasWritable(id) && !paged.Put(id, value, len(value)) {
				t.Fatalf("%s has outgrown its page", id)
			}
		}
		dirty := paged.DirtyPages()
		if len(dirty) == 0 {
			break
		}
		op, _, ids := paged.PrepareWrite(dirty[0])
		if op.Delete == "" && EncodedSize(op.Value) > int(valueKB*1024) {
			t.Fatalf("%s takes %d bytes, want at most %g KiB", op.Write, EncodedSize(op.Value), valueKB)
		}
		store.apply(op)
		for _, id := range ids {
			paged.RemoveReadOnlyCopies(id)
		}
		first := store.firstRecords()
		for id, value := range big {
			if id != removed && first[id] != string(value) {
				t.Fatalf("step %d: %s is %q, want %q", steps, id, first[id], value)
			}
		}
	}
	if store[oversized] != nil || steps < 6 || paged.IDs()[removed] || len(paged.IDs()) != 110 {
		t.Errorf("after %d steps %d records in %d values, want 110 in at least 6 steps", steps, len(paged.IDs()), len(store))
	}
}

// firstRecords returns the records as read by a version that keeps the first of each id.
func (s storedPages) firstRecords() map[string]string {
	first := map[string]string{}
	for _, key := range slices.Sorted(maps.Keys(s)) {
		for id, value := range s[key] {
			if first[id] == "" {
				first[id] = string(value)
			}
		}
	}
	return first
}

// A page that the store rejects as too large is split, and no record is lost. Otherwise a lowered
// limit of the store would block the leader's writes.
func TestPageRejectedAsTooLargeIsSplit(t *testing.T) {
	const acceptedBytes = 1000 // less than the value size of the pages
	pageCount := 0
	paged := NewPagedRecords("done/", 4, func() string {
		pageCount++
		return fmt.Sprint("1-", pageCount)
	})
	for i := range 40 {
		paged.Put(fmt.Sprint("j-", i), fmt.Appendf(nil, "%q", strings.Repeat("x", 60)), 60)
	}
	for dirty := paged.DirtyPages(); len(dirty) > 0; dirty = paged.DirtyPages() {
		op, bytes, _ := paged.PrepareWrite(dirty[0])
		if bytes <= acceptedBytes {
			continue
		}
		entries := op.Value.(map[string]json.RawMessage)
		ids := paged.MarkTooLarge(dirty[0])
		if len(ids) != len(entries) {
			t.Fatalf("%d records need another page, want %d", len(ids), len(entries))
		}
		for _, id := range ids {
			paged.Put(id, entries[id], len(entries[id]))
		}
	}
	if len(paged.IDs()) != 40 || pageCount > 20 {
		t.Errorf("%d records in %d pages, want 40 in at most 20", len(paged.IDs()), pageCount)
	}
}

// A page with a single record that the store rejects as too large is not split again. Otherwise its
// record would move from page to page forever.
func TestRejectedPageOfOneRecordStays(t *testing.T) {
	paged := NewPagedRecords("done/", 4, func() string { return "2-1" })
	paged.Put("j-1", json.RawMessage(`"x"`), 1)
	if ids := paged.MarkTooLarge(paged.DirtyPages()[0]); ids != nil {
		t.Errorf("records that need another page: %v, want none", ids)
	}
}
