package records

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"strings"
)

// PagedRecords spreads many small records over few values of the store, the pages. The
// store's rate limit counts changes, not bytes: a key of its own for each machine of a
// large deployment would take the write rate of half a minute.
//
// It is not safe for concurrent use.
type PagedRecords struct {
	prefix    string
	fillBytes float64       // how far a page is filled
	maxBytes  float64       // the largest page that can still be written
	newName   func() string // returns a name that no other page ever had
	pages     []*Page
	writable  map[string]*Page // by record id, the page where the record is written
}

// Page is one value of the store: records by id.
type Page struct {
	Key string
	// Revision is the one at which the store has the page, 0 where it has not: the compare
	// of its next write or delete.
	Revision uint64

	entries           map[string]json.RawMessage
	reserved          map[string]int // bytes kept for each record
	reservedBytes     int            // their sum
	dirty             bool           // differs from what was last taken to be written
	readOnly          bool           // too large to be written again: it is only read, and deleted in the end
	firstWritePending bool           // its first write may be executed at any time
}

const (
	// fillFactor is how far a page is filled: the rest is for what escapes take.
	fillFactor = 15.0 / 16
	// entryOverhead is what an entry takes beside its id and value: quotes, colon, comma.
	entryOverhead = 4
)

// pageFillBytes returns how many bytes of a value of the given size are filled.
func pageFillBytes(valueKB float64) float64 { return valueKB * 1024 * fillFactor }

// NewPagedRecords returns paged records without any, for keys under a prefix and values of a
// size. newName has to return a name that no other page under the prefix ever had.
func NewPagedRecords(prefix string, valueKB float64, newName func() string) *PagedRecords {
	return &PagedRecords{
		prefix:    prefix,
		fillBytes: pageFillBytes(valueKB),
		maxBytes:  valueKB * 1024,
		newName:   newName,
		writable:  map[string]*Page{},
	}
}

// Put sets a record, for which up to reserve bytes are kept if there is room. It returns
// false, and changes nothing, when the record has outgrown the page that it is in.
func (p *PagedRecords) Put(id string, value json.RawMessage, reserve int) bool {
	least := len(value) + len(id) + entryOverhead
	need := max(reserve, len(value)) + len(id) + entryOverhead
	page := p.writable[id]
	if page == nil {
		need = max(min(need, int(p.fillBytes)), least)
		page = p.pageWithRoom(need)
		p.writable[id] = page
	} else {
		free := int(p.fillBytes) - page.reservedBytes + page.reserved[id]
		switch {
		case least <= page.reserved[id]:
			need = page.reserved[id]
		case least > free && len(page.entries) > 1:
			return false
		default:
			need = max(min(need, free), least)
		}
	}
	page.reservedBytes += need - page.reserved[id]
	page.reserved[id] = need
	page.entries[id] = value
	page.dirty = true
	return true
}

// pageWithRoom returns a page with room for so many bytes, a new one if there is none. One
// that is to be written in any case is preferred: it costs no further change.
func (p *PagedRecords) pageWithRoom(need int) *Page {
	var found *Page
	for _, page := range p.pages {
		if page.readOnly || float64(page.reservedBytes+need) > p.fillBytes {
			continue
		}
		if found == nil || page.dirty && !found.dirty {
			found = page
		}
	}
	if found == nil {
		found = &Page{
			Key:      p.prefix + p.newName(),
			entries:  map[string]json.RawMessage{},
			reserved: map[string]int{},
		}
		p.pages = append(p.pages, found)
	}
	return found
}

// Remove takes a record out of every page.
func (p *PagedRecords) Remove(id string) {
	delete(p.writable, id)
	for _, page := range p.pages {
		page.remove(id)
	}
}

// RemoveReadOnlyCopies takes a record that is written elsewhere out of the pages that are not
// written any more.
func (p *PagedRecords) RemoveReadOnlyCopies(id string) {
	for _, page := range p.pages {
		if page.readOnly && p.writable[id] != page {
			page.remove(id)
		}
	}
}

func (page *Page) remove(id string) {
	if _, ok := page.entries[id]; !ok {
		return
	}
	delete(page.entries, id)
	page.reservedBytes -= page.reserved[id]
	delete(page.reserved, id)
	page.dirty = true
}

// Load takes in a page as the store has it, of the given size in bytes. A record that is in
// two pages stays in both: which is newer cannot be told. A record of a page that is too
// large to be written again is in no page where it could be written.
func (p *PagedRecords) Load(key string, entries map[string]json.RawMessage, bytes int) *Page {
	page := &Page{
		Key:      key,
		entries:  maps.Clone(entries),
		reserved: map[string]int{},
		readOnly: float64(bytes) > p.maxBytes,
		dirty:    len(entries) == 0,
	}
	p.pages = append(p.pages, page)
	for id, value := range entries {
		page.reserved[id] = len(value) + len(id) + entryOverhead
		page.reservedBytes += page.reserved[id]
		if !page.readOnly && p.writable[id] == nil {
			p.writable[id] = page
		}
	}
	return page
}

// MarkFirstWritePending notes that the first write of a page had no answer: it may be executed yet.
// A late execution could bring the page back after it was deleted, since the compare of a
// first write, that the key is absent, holds again then. Such a page is therefore emptied
// instead, for the next leader to delete, which none of this one's writes reaches late.
func (page *Page) MarkFirstWritePending() { page.firstWritePending = true }

// HasWritable reports whether a record of that id has its place in a page that can be written.
func (p *PagedRecords) HasWritable(id string) bool { return p.writable[id] != nil }

// IDs lists the records of all pages.
func (p *PagedRecords) IDs() map[string]bool {
	ids := map[string]bool{}
	for _, page := range p.pages {
		for id := range page.entries {
			ids[id] = true
		}
	}
	return ids
}

// ReadOnlyEntries lists the records of the first page that can only be deleted.
func (p *PagedRecords) ReadOnlyEntries() map[string]json.RawMessage {
	for _, page := range p.pages {
		if page.readOnly && len(page.entries) > 0 {
			return maps.Clone(page.entries)
		}
	}
	return nil
}

// MarkTooLarge notes that the store refused a page as too large. It is not written again,
// and the next ones are half as large. It returns the ids of the records that need another
// place; none where the page has but one, for which there is no smaller page.
func (p *PagedRecords) MarkTooLarge(page *Page) []string {
	if len(page.entries) < 2 {
		return nil
	}
	p.fillBytes = min(p.fillBytes, float64(page.reservedBytes)) / 2
	p.maxBytes = min(p.maxBytes, p.fillBytes/fillFactor)
	page.readOnly = true
	page.dirty = false
	var ids []string
	for id := range page.entries {
		if p.writable[id] == page {
			delete(p.writable, id)
			ids = append(ids, id)
		}
	}
	return ids
}

// DirtyPages lists the pages that differ from what was last taken to be written.
func (p *PagedRecords) DirtyPages() []*Page {
	var dirty []*Page
	for _, page := range p.pages {
		if page.dirty && (!page.readOnly || len(page.entries) == 0) {
			dirty = append(dirty, page)
		}
	}
	return dirty
}

// PrepareWrite returns the change that stores a page as it is now, its size in bytes, and
// the ids of its records. A page without records is deleted, unless its first write is
// still pending (MarkFirstWritePending), and no longer used.
func (p *PagedRecords) PrepareWrite(page *Page) (op Op, bytes int, ids []string) {
	page.dirty = false
	if len(page.entries) == 0 && !page.firstWritePending {
		p.removePage(page)
		return Op{Delete: page.Key}, 0, nil
	}
	for id, value := range page.entries {
		bytes += len(id) + len(value) + entryOverhead
		ids = append(ids, id)
	}
	return Op{Write: page.Key, Value: maps.Clone(page.entries)}, bytes, ids
}

func (p *PagedRecords) removePage(page *Page) {
	for i, other := range p.pages {
		if other == page {
			p.pages = append(p.pages[:i], p.pages[i+1:]...)
			return
		}
	}
}

// DecodeEntries reads the records of a page. Before there were pages, each record had a key of its
// own: the last part of it is then the id.
func DecodeEntries(prefix string, row KeyValue) (map[string]json.RawMessage, error) {
	var entries map[string]json.RawMessage
	if err := json.Unmarshal(row.Value, &entries); err == nil {
		if _, isMachine := entries[machineTypeField]; !isMachine {
			return entries, nil
		}
	} else if len(row.Value) == 0 || row.Value[0] != '"' {
		return nil, fmt.Errorf("record %s: %w", row.Key, err)
	}
	return map[string]json.RawMessage{strings.TrimPrefix(row.Key, prefix): row.Value}, nil
}

// machineTypeField is the field of Machine by which a single machine's record differs from a
// page of them: no machine's id looks like it.
const machineTypeField = "rig"

// EncodedSize returns how many bytes a value takes.
func EncodedSize(value any) int {
	raw, err := json.Marshal(value)
	if err != nil {
		return math.MaxInt
	}
	return len(raw)
}
