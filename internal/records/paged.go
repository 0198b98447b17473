package records

import (
	"fmt"
	"maps"
	"math"
	"strings"

	"drumpick/internal/jsoncodec"
)

// PagedRecords packs many small records into a few values of the store, the pages. The store's rate
// limit counts changes, not bytes: with one key per machine, writing the machines of a large
// deployment would use up the allowed changes of half a minute.
//
// It is not safe for concurrent use.
type PagedRecords struct {
	prefix    string
	fillBytes float64       // target size of a page
	maxBytes  float64       // maximum size of a page that can be written
	newName   func() string // returns a name that no page has ever had
	pages     []*Page
	writable  map[string]*Page // by record id, the page that the record is written to
}

// Page is one value of the store: records by id.
type Page struct {
	Key string
	// Revision is the page's revision in the store, 0 if it is not stored. The next write or delete
	// compares against it.
	Revision uint64

	entries           map[string]jsoncodec.RawMessage
	reserved          map[string]int // bytes reserved for each record
	reservedBytes     int            // sum of reserved
	dirty             bool           // differs from the last write that was prepared
	readOnly          bool           // too large to be written again: it can only be read and deleted
	firstWritePending bool           // see MarkFirstWritePending
}

const (
	// fillFactor is the target size of a page, as a share of the value size; the rest is for escape
	// sequences in the JSON encoding.
	fillFactor = 15.0 / 16
	// entryOverhead is the number of bytes of an entry besides its id and value: two quotes, a
	// colon and a comma.
	entryOverhead = 4
)

// pageFillBytes returns the target size of a page in bytes, for a value size of valueKB KiB.
func pageFillBytes(valueKB float64) float64 { return valueKB * 1024 * fillFactor }

// NewPagedRecords returns an empty set of records, for keys under a prefix and values of up to
// valueKB KiB. newName must return a name that no page under the prefix has ever had.
func NewPagedRecords(prefix string, valueKB float64, newName func() string) *PagedRecords {
	return &PagedRecords{
		prefix:    prefix,
		fillBytes: pageFillBytes(valueKB),
		maxBytes:  valueKB * 1024,
		newName:   newName,
		writable:  map[string]*Page{},
	}
}

// Put sets a record and reserves up to reserve bytes for its value, as far as its page has space.
// It returns false and changes nothing if the record has outgrown a page that it shares with others.
func (p *PagedRecords) Put(id string, value jsoncodec.RawMessage, reserve int) bool {
	minBytes := len(value) + len(id) + entryOverhead
	reserveBytes := max(reserve, len(value)) + len(id) + entryOverhead
	page := p.writable[id]
	if page == nil {
		reserveBytes = max(min(reserveBytes, int(p.fillBytes)), minBytes)
		page = p.pageWithRoom(reserveBytes)
		p.writable[id] = page
	} else {
		free := int(p.fillBytes) - page.reservedBytes + page.reserved[id]
		switch {
		case minBytes <= page.reserved[id]:
			reserveBytes = page.reserved[id]
		case minBytes > free && len(page.entries) > 1:
			return false
		default:
			reserveBytes = max(min(reserveBytes, free), minBytes)
		}
	}
	page.reservedBytes += reserveBytes - page.reserved[id]
	page.reserved[id] = reserveBytes
	page.entries[id] = value
	page.dirty = true
	return true
}

// pageWithRoom returns a writable page with the given free bytes, or a new page if there is none.
// It prefers a page that is already dirty, which costs no additional write.
func (p *PagedRecords) pageWithRoom(bytes int) *Page {
	var found *Page
	for _, page := range p.pages {
		if page.readOnly || float64(page.reservedBytes+bytes) > p.fillBytes {
			continue
		}
		if found == nil || page.dirty && !found.dirty {
			found = page
		}
	}
	if found == nil {
		found = &Page{
			Key:      p.prefix + p.newName(),
			entries:  map[string]jsoncodec.RawMessage{},
			reserved: map[string]int{},
		}
		p.pages = append(p.pages, found)
	}
	return found
}

// Remove removes a record from all pages.
func (p *PagedRecords) Remove(id string) {
	delete(p.writable, id)
	for _, page := range p.pages {
		page.remove(id)
	}
}

// RemoveReadOnlyCopies removes a record from the read-only pages, except from the page that the
// record is written to.
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

// Load adds a page read from the store, of the given size in bytes. A record that is in two pages
// stays in both because it is unknown which copy is newer. A page that is too large to be written
// again becomes read-only, and its records have no writable page.
func (p *PagedRecords) Load(key string, entries map[string]jsoncodec.RawMessage, bytes int) *Page {
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

// MarkFirstWritePending records that the first write of a page got no response and may still be
// executed. A late execution could restore the page after its deletion, because the compare of a
// first write, that the key is absent, then holds again. Such a page is therefore emptied instead
// of deleted. The next leader deletes it: no late write of this leader executes in the next term.
func (page *Page) MarkFirstWritePending() { page.firstWritePending = true }

// HasWritable reports whether the record is in a page that can be written.
func (p *PagedRecords) HasWritable(id string) bool { return p.writable[id] != nil }

// IDs returns the ids of the records in all pages.
func (p *PagedRecords) IDs() map[string]bool {
	ids := map[string]bool{}
	for _, page := range p.pages {
		for id := range page.entries {
			ids[id] = true
		}
	}
	return ids
}

// ReadOnlyEntries returns the records of the first read-only page that still has any.
func (p *PagedRecords) ReadOnlyEntries() map[string]jsoncodec.RawMessage {
	for _, page := range p.pages {
		if page.readOnly && len(page.entries) > 0 {
			return maps.Clone(page.entries)
		}
	}
	return nil
}

// MarkTooLarge records that the store rejected a page as too large. The page becomes read-only, and
// new pages are half as large. It returns the ids of the records that the caller must put into
// another page. A page with a single record cannot be split: it stays as it is, and no ids are
// returned.
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

// DirtyPages returns the pages that differ from their last prepared write and can be written or
// deleted.
func (p *PagedRecords) DirtyPages() []*Page {
	var dirty []*Page
	for _, page := range p.pages {
		if page.dirty && (!page.readOnly || len(page.entries) == 0) {
			dirty = append(dirty, page)
		}
	}
	return dirty
}

// PrepareWrite returns the operation that stores the current content of a page, the size of the
// content in bytes and the ids of its records. An empty page is deleted and discarded, unless its
// first write may still be executed (MarkFirstWritePending).
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

// DecodeEntries decodes the records of a page, by id. Versions without pages stored each record
// under its own key: prefix and id.
func DecodeEntries(prefix string, record KeyValue) (map[string]jsoncodec.RawMessage, error) {
	var entries map[string]jsoncodec.RawMessage
	if err := jsoncodec.Unmarshal(record.Value, &entries); err == nil {
		if _, isMachine := entries[machineTypeField]; !isMachine {
			return entries, nil
		}
	} else if len(record.Value) == 0 || record.Value[0] != '"' {
		return nil, fmt.Errorf("record %s: %w", record.Key, err)
	}
	return map[string]jsoncodec.RawMessage{strings.TrimPrefix(record.Key, prefix): record.Value}, nil
}

// machineTypeField is the field of Machine that distinguishes the record of a single machine from a
// page of machines. It is not a valid machine id.
const machineTypeField = "rig"

// EncodedSize returns the size of a value's JSON encoding in bytes; math.MaxInt if it cannot be
// encoded.
func EncodedSize(value any) int {
	raw, err := jsoncodec.Marshal(value)
	if err != nil {
		return math.MaxInt
	}
	return len(raw)
}
