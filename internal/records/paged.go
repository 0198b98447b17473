package records

import (
	"encoding/json"
	"maps"
)

// PagedRecords spreads many small records over few values of the state service. The
// service counts changes, not bytes: a record of its own for each machine of a
// large deployment would take the write rate of half a minute.
type PagedRecords struct {
	prefix string
	limit  float64       // bytes that a value is filled to
	most   float64       // bytes of a value that can still be written
	name   func() string // gives a name that no other value ever had
	boxes  []*Page
	where  map[string]*Page // the box where a record is written
}

// Page is one value: records by id.
type Page struct {
	Key string
	// Stamp is the revision at which the service has it, 0 where it has not: the condition
	// of its next write or delete.
	Revision uint64
	entries  map[string]json.RawMessage
	room     map[string]int // bytes kept for each record
	size     int
	changed  bool
	frozen   bool // too large to be written again: it is only read, and deleted in the end
	late     bool // its first write may be carried out at any time
}

// fillShare is how far a value is filled: the rest is for what escapes take.
const fillShare = 15.0 / 16

func fill(valueKB float64) float64 { return valueKB * 1024 * fillShare }

// NewPagedRecords returns an empty shelf for keys under a prefix, for values of a size.
func NewPagedRecords(prefix string, valueKB float64, name func() string) *PagedRecords {
	return &PagedRecords{prefix: prefix, limit: fill(valueKB), most: valueKB * 1024, name: name, where: map[string]*Page{}}
}

// overhead is what an entry takes beside its id and value: quotes, colon, comma.
const overhead = 4

// Put sets a record, for which most bytes are kept if there is room. It returns
// false, and changes nothing, when the record has outgrown the box that it is in.
func (s *PagedRecords) Put(id string, v json.RawMessage, most int) bool {
	least := len(v) + len(id) + overhead
	need := max(most, len(v)) + len(id) + overhead
	b := s.where[id]
	if b == nil {
		need = max(min(need, int(s.limit)), least)
		for _, x := range s.boxes {
			if !x.frozen && float64(x.size+need) <= s.limit && (b == nil || x.changed && !b.changed) {
				b = x
			}
		}
		if b == nil {
			b = &Page{Key: s.prefix + s.name(), entries: map[string]json.RawMessage{}, room: map[string]int{}}
			s.boxes = append(s.boxes, b)
		}
		s.where[id] = b
	} else {
		free := int(s.limit) - b.size + b.room[id]
		switch {
		case least <= b.room[id]:
			need = b.room[id]
		case least > free && len(b.entries) > 1:
			return false
		default:
			need = max(min(need, free), least)
		}
	}
	b.size += need - b.room[id]
	b.room[id] = need
	b.entries[id], b.changed = v, true
	return true
}

// Remove takes a record out, wherever it is.
func (s *PagedRecords) Remove(id string) {
	delete(s.where, id)
	for _, b := range s.boxes {
		b.remove(id)
	}
}

// DropReadOnly takes a record that is written elsewhere out of the boxes that are not
// written any more.
func (s *PagedRecords) DropReadOnly(id string) {
	for _, b := range s.boxes {
		if b.frozen && s.where[id] != b {
			b.remove(id)
		}
	}
}

func (b *Page) remove(id string) {
	if _, ok := b.entries[id]; !ok {
		return
	}
	delete(b.entries, id)
	b.size -= b.room[id]
	delete(b.room, id)
	b.changed = true
}

// Load takes in a box as the service has it, of the given size. A record that is in
// two boxes stays in both: which is newer cannot be told. One in a box that is too
// large is in no box where it could be written.
func (s *PagedRecords) Load(key string, entries map[string]json.RawMessage, bytes int) *Page {
	b := &Page{
		Key: key, entries: maps.Clone(entries), room: map[string]int{},
		frozen: float64(bytes) > s.most, changed: len(entries) == 0,
	}
	s.boxes = append(s.boxes, b)
	for id, v := range entries {
		b.room[id] = len(v) + len(id) + overhead
		b.size += b.room[id]
		if !b.frozen && s.where[id] == nil {
			s.where[id] = b
		}
	}
	return b
}

// NoteUnanswered notes that the first write of a box had no answer: it may be carried out yet. Guards
// against a value that comes back after it was deleted: the condition of a first write, that
// there is none, holds again then. Such a box is emptied instead, for the next leader to
// delete, to whom nothing of this one's comes late.
func (b *Page) NoteUnanswered() { b.late = true }

// Has says whether a record of that id has its place in a box that can be written.
func (s *PagedRecords) Has(id string) bool { return s.where[id] != nil }

// IDs lists the records, of all boxes.
func (s *PagedRecords) IDs() map[string]bool {
	ids := map[string]bool{}
	for _, b := range s.boxes {
		for id := range b.entries {
			ids[id] = true
		}
	}
	return ids
}

// ReadOnly lists the records of the first box that can only be deleted.
func (s *PagedRecords) ReadOnly() map[string]json.RawMessage {
	for _, b := range s.boxes {
		if b.frozen && len(b.entries) > 0 {
			return maps.Clone(b.entries)
		}
	}
	return nil
}

// NoteTooLarge notes that the service took a box for too large. It is not written again,
// and the next ones are half as large. It tells which records need another place;
// none where the box has but one, for which there is no smaller one.
func (s *PagedRecords) NoteTooLarge(b *Page) []string {
	if len(b.entries) < 2 {
		return nil
	}
	s.limit = min(s.limit, float64(b.size)) / 2
	s.most = min(s.most, s.limit/fillShare)
	b.frozen, b.changed = true, false
	var ids []string
	for id := range b.entries {
		if s.where[id] == b {
			delete(s.where, id)
			ids = append(ids, id)
		}
	}
	return ids
}

// Dirty lists the boxes that differ from what was last taken to be written.
func (s *PagedRecords) Dirty() []*Page {
	var bs []*Page
	for _, b := range s.boxes {
		if b.changed && (!b.frozen || len(b.entries) == 0) {
			bs = append(bs, b)
		}
	}
	return bs
}

// TakeWrite returns the change that stores a box as it is now, its size in bytes, and
// the ids it holds. A box without records is mostly deleted and takes no more.
func (s *PagedRecords) TakeWrite(b *Page) (op Op, bytes int, ids []string) {
	b.changed = false
	if len(b.entries) == 0 && !b.late {
		for i, x := range s.boxes {
			if x == b {
				s.boxes = append(s.boxes[:i], s.boxes[i+1:]...)
				break
			}
		}
		return Op{Delete: b.Key}, 0, nil
	}
	for id, v := range b.entries {
		bytes += len(id) + len(v) + overhead
		ids = append(ids, id)
	}
	return Op{Write: b.Key, Value: maps.Clone(b.entries)}, bytes, ids
}
