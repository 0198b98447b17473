package ledger

import (
	"encoding/json"
	"maps"
)

// Shelf spreads many small records over few values of the state service. The
// service counts changes, not bytes: a record of its own for each machine of a
// large deployment would take the write rate of half a minute.
type Shelf struct {
	prefix string
	limit  int           // bytes in one value
	name   func() string // gives a name that no other value ever had
	boxes  []*Box
	where  map[string]*Box
}

// Box is one value: records by id.
type Box struct {
	Key     string
	entries map[string]json.RawMessage
	most    map[string]int // bytes kept free for each record
	size    int
	changed bool
}

// NewShelf returns an empty shelf for keys under a prefix, for values of at most
// three quarters of what the service takes.
func NewShelf(prefix string, valueKB float64, name func() string) *Shelf {
	return &Shelf{prefix: prefix, limit: int(valueKB * 1024 * 3 / 4), name: name, where: map[string]*Box{}}
}

// overhead is what an entry takes beside its id and value: quotes, colon, comma.
const overhead = 4

// Put sets a record. It stays in one box for good, so most says how large it can grow.
func (s *Shelf) Put(id string, v json.RawMessage, most int) {
	b := s.where[id]
	if b == nil {
		need := max(most, len(v)) + len(id) + overhead
		for _, x := range s.boxes {
			if x.size+need <= s.limit && (b == nil || x.changed && !b.changed) {
				b = x
			}
		}
		if b == nil {
			b = &Box{Key: s.prefix + s.name(), entries: map[string]json.RawMessage{}, most: map[string]int{}}
			s.boxes = append(s.boxes, b)
		}
		b.most[id] = need
		b.size += need
		s.where[id] = b
	}
	b.entries[id], b.changed = v, true
}

// Remove takes a record out.
func (s *Shelf) Remove(id string) {
	b := s.where[id]
	if b == nil {
		return
	}
	delete(s.where, id)
	delete(b.entries, id)
	b.size -= b.most[id]
	delete(b.most, id)
	b.changed = true
}

// Load takes in a box as the service has it. A record that is in two boxes stays
// in the first; the other is rewritten without it.
func (s *Shelf) Load(key string, entries map[string]json.RawMessage) {
	b := &Box{Key: key, entries: map[string]json.RawMessage{}, most: map[string]int{}}
	s.boxes = append(s.boxes, b)
	for id, v := range entries {
		if s.where[id] != nil {
			b.changed = true
			continue
		}
		s.where[id], b.entries[id] = b, v
		b.most[id] = len(v) + len(id) + overhead
		b.size += b.most[id]
	}
	b.changed = b.changed || len(entries) == 0
}

// Has says whether there is a record of that id.
func (s *Shelf) Has(id string) bool { return s.where[id] != nil }

// IDs lists the records.
func (s *Shelf) IDs() map[string]*Box { return s.where }

// Changed lists the boxes that differ from what was last taken to be written.
func (s *Shelf) Changed() []*Box {
	var bs []*Box
	for _, b := range s.boxes {
		if b.changed {
			bs = append(bs, b)
		}
	}
	return bs
}

// Take returns the change that stores a box as it is now, its size in bytes, and
// the ids it holds. A box without records is deleted and takes no more.
func (s *Shelf) Take(b *Box) (op Op, bytes int, ids []string) {
	b.changed = false
	if len(b.entries) == 0 {
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
