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

// Whatever is put, grown and removed, each record is in just one box, no box
// exceeds the value size, what the service holds after every write is what was
// put, and names are never used again.
func TestShelf(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 8))
	n := 0
	s := NewPagedRecords("machines/", 1, func() string { n++; return fmt.Sprint("5-", n) })
	want := map[string]string{}
	store := map[string]map[string]json.RawMessage{}
	deleted := map[string]bool{}
	writes := 0
	for range 5000 {
		id := fmt.Sprint("m-", r.IntN(60))
		if r.IntN(3) == 0 {
			s.Remove(id)
			delete(want, id)
		} else {
			want[id] = fmt.Sprintf("%q", fmt.Sprint(r.Uint64()>>r.IntN(60)))
			s.Put(id, json.RawMessage(want[id]), 24)
		}
		if r.IntN(5) > 0 {
			continue
		}
		for _, b := range s.Dirty() {
			op, bytes, _ := s.TakeWrite(b)
			writes++
			if op.Delete != "" {
				delete(store, op.Delete)
				deleted[op.Delete] = true
				continue
			}
			if raw, _ := json.Marshal(op.Value); len(raw) > 1024 || bytes+2 < len(raw) {
				t.Fatalf("%s takes %d bytes, said to be %d", op.Write, len(raw), bytes)
			}
			if deleted[op.Write] {
				t.Fatalf("%s is used again", op.Write)
			}
			store[op.Write] = op.Value.(map[string]json.RawMessage)
		}
		got := map[string]string{}
		for key, m := range store {
			for id, v := range m {
				if got[id] != "" {
					t.Fatalf("%s is in two boxes, one of them %s", id, key)
				}
				got[id] = string(v)
			}
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("the service has %v, want %v", got, want)
		}
	}
	if writes < 100 || len(deleted) == 0 && len(store) < 2 {
		t.Fatalf("only %d writes of %d boxes", writes, len(store))
	}
	// A later leader reads the boxes and goes on with them.
	s2 := NewPagedRecords("machines/", 1, func() string { return "6-1" })
	held := 0
	for key, m := range store {
		held += len(m)
		raw, _ := json.Marshal(m)
		s2.Load(key, m, len(raw))
	}
	if len(s2.IDs()) != held || held == 0 || len(s2.Dirty()) != 0 {
		t.Errorf("read %d of %d records, %d boxes changed", len(s2.IDs()), held, len(s2.Dirty()))
	}
}

// Records of before there were shared values are read as what they are.
func TestEntries(t *testing.T) {
	for _, x := range []struct{ prefix, key, value, want string }{
		{PrefixMachines, "machines/m-000231", `{"addr":"a:1","rig":"c4","site":"a","loaners":true,"stint":2}`, `[m-000231]`},
		{PrefixMachines, "machines/5-1", `{"m-1":{"rig":"c4"},"m-2":{"rig":"c4"}}`, `[m-1 m-2]`},
		{PrefixDone, "done/j-1/2", `"0-4,7"`, `[j-1/2]`},
		{PrefixDone, "done/5-1", `{"j-1/0":"0-4","j-2/0":"1"}`, `[j-1/0 j-2/0]`},
		{PrefixDone, "done/5-2", `[1]`, ``},
		{PrefixDone, "done/5-3", ``, ``},
	} {
		m, err := Entries(x.prefix, KeyValue{Key: x.key, Value: json.RawMessage(x.value)})
		var ids []string
		for id := range m {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		if got := fmt.Sprint(ids); err == nil && got != x.want || (err != nil) != (x.want == "") {
			t.Errorf("%s: %s, %v, want %s", x.key, got, err, x.want)
		}
	}
}

// A value that became too large to be written again is emptied in steps: what it holds is
// put into others first. Between any two changes every record is in the store, for this
// version and for an earlier one, which of two records of one id keeps the first.
func TestFrozen(t *testing.T) {
	for _, kb := range []float64{1, 2} {
		big := map[string]json.RawMessage{}
		for i := range 110 {
			big[fmt.Sprintf("m-%06d", i)] = json.RawMessage(fmt.Sprintf(`{"addr":"10.1.0.%d:9000","rig":"c4","site":"a","loaners":true,"stint":%d}`, i, i))
		}
		raw, _ := json.Marshal(big)
		store := map[string]map[string]json.RawMessage{"machines/3-1": big, "machines/3-2": {"m-900000": big["m-000001"]}}
		n := 0
		s := NewPagedRecords("machines/", kb, func() string { n++; return fmt.Sprintf("9-%d", n) })
		s.Load("machines/3-1", big, len(raw))
		s.Load("machines/3-2", store["machines/3-2"], 100)
		s.Remove("m-000007") // given back meanwhile
		if len(s.ReadOnly()) != 109 || s.Has("m-000001") || !s.Has("m-900000") || len(s.Dirty()) != 0 {
			t.Fatalf("%d records are to be moved, %d boxes to be written", len(s.ReadOnly()), len(s.Dirty()))
		}
		steps := 0
		for ; ; steps++ {
			for id, v := range s.ReadOnly() {
				if !s.Has(id) && !s.Put(id, v, len(v)) {
					t.Fatalf("%s has no place", id)
				}
			}
			boxes := s.Dirty()
			if len(boxes) == 0 {
				break
			}
			op, _, ids := s.TakeWrite(boxes[0])
			if op.Delete != "" {
				delete(store, op.Delete)
			} else if m := op.Value.(map[string]json.RawMessage); EncodedSize(m) > int(kb*1024) {
				t.Fatalf("%s takes %d bytes", op.Write, EncodedSize(m))
			} else {
				store[op.Write] = m
			}
			for _, id := range ids {
				s.DropReadOnly(id)
			}
			first := map[string]string{}
			for _, key := range slices.Sorted(maps.Keys(store)) {
				for id, v := range store[key] {
					if first[id] == "" {
						first[id] = string(v)
					}
				}
			}
			for id, v := range big {
				if id != "m-000007" && first[id] != string(v) {
					t.Fatalf("step %d: %s is %q", steps, id, first[id])
				}
			}
		}
		if store["machines/3-1"] != nil || steps < 6 || s.IDs()["m-000007"] || len(s.IDs()) != 110 {
			t.Errorf("%g KiB: after %d steps %d records in %d values", kb, steps, len(s.IDs()), len(store))
		}
	}
}

// A value that the service refuses as too large is divided; one record alone cannot be.
func TestRefused(t *testing.T) {
	n := 0
	s := NewPagedRecords("done/", 4, func() string { n++; return fmt.Sprint("1-", n) })
	for i := range 40 {
		s.Put(fmt.Sprint("j-", i), json.RawMessage(fmt.Sprintf("%q", strings.Repeat("x", 60))), 60)
	}
	for limit := 1000; ; {
		boxes := s.Dirty()
		if len(boxes) == 0 {
			break
		}
		op, bytes, _ := s.TakeWrite(boxes[0])
		if bytes <= limit {
			continue
		}
		m := op.Value.(map[string]json.RawMessage)
		ids := s.NoteTooLarge(boxes[0])
		if len(ids) != len(m) {
			t.Fatalf("%d of %d records need another place", len(ids), len(m))
		}
		for _, id := range ids {
			s.Put(id, m[id], len(m[id]))
		}
	}
	if len(s.IDs()) != 40 || n > 20 {
		t.Errorf("%d records in %d values", len(s.IDs()), n)
	}
	one := NewPagedRecords("done/", 4, func() string { return "2-1" })
	one.Put("j-1", json.RawMessage(`"x"`), 1)
	if ids := one.NoteTooLarge(one.Dirty()[0]); ids != nil {
		t.Errorf("one record alone is to go elsewhere: %v", ids)
	}
}
