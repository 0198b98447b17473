package simulation

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"

	"golang.org/x/time/rate"
)

// Store is an in-memory key-value store with the protocol's semantics: compare-and-swap transactions, leases and
// watches. It injects faults of the whole store; Client injects those of one controller's connection.
type Store struct {
	// OnChange, if set, is called with every change, in order and with the store's lock held.
	OnChange func(Change)

	mu                sync.Mutex // guards all fields below
	writes            int        // number of operations in all transactions that passed the limits
	oversizedTxns     []string   // descriptions of transactions that were rejected as too large
	throttledWrites   int        // number of transactions that were rejected by the write rate limit
	revision          uint64     // of the last change
	entries           map[string]records.KeyValue
	log               []records.Event
	compactedRevision uint64 // the log may lack changes up to this revision
	leases            map[uint64]*lease
	lastLease         uint64
	changed           chan struct{} // closed and replaced at every change

	outage         bool            // requests of all clients are refused
	refusedClients map[string]bool // names of single clients whose requests are refused

	maxValueKB   float64 // 0: no limit
	maxTxnOps    int     // 0: no limit
	writeLimiter *rate.Limiter
}

// Writes returns the number of operations of all transactions that passed the limits.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// OversizedTransactions returns descriptions of the transactions that were rejected as too large.
func (s *Store) OversizedTransactions() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.oversizedTxns)
}

// ThrottledWrites returns the number of transactions that were rejected by the write rate limit.
func (s *Store) ThrottledWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.throttledWrites
}

// Change is a change of the store, as passed to OnChange.
type Change struct {
	Revision     uint64 // of the store after the change; a change of leases alone does not advance it
	Writes       []records.KeyValue
	Deletes      []string // keys
	LeaseID      uint64   // ID of the lease that was granted; 0: none
	TTL          time.Duration
	RevokedLease uint64 // ID of the lease that was revoked or has expired; 0: none
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		entries: map[string]records.KeyValue{}, leases: map[uint64]*lease{},
		refusedClients: map[string]bool{}, changed: make(chan struct{}),
	}
}

// SetOutage starts or ends an outage for all clients. No lease expires during an outage; at its end every lease is
// renewed for its full TTL.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	for id, l := range s.leases {
		if on {
			l.timer.Stop()
		} else {
			s.resetLeaseTimerLocked(id, l)
		}
	}
}

// SetRefused makes the store refuse the requests of a single client, or serve them again if on is false.
func (s *Store) SetRefused(client string, on bool) {
	s.mu.Lock()
	s.refusedClients[client] = on
	s.mu.Unlock()
}

// refuses reports whether the store currently refuses a client.
func (s *Store) refuses(client string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusesLocked(client)
}

func (s *Store) refusesLocked(client string) bool { return s.outage || s.refusedClients[client] }

// SetLimits sets the maximum size of a value, number of operations in a transaction, and number of operations per
// second. For the first two, 0 means no limit. Entries already stored are kept.
func (s *Store) SetLimits(valueKB float64, txnOps int, writeRPS float64) {
	s.mu.Lock()
	s.maxValueKB, s.maxTxnOps = valueKB, txnOps
	s.writeLimiter = rate.NewLimiter(rate.Limit(writeRPS), int(writeRPS))
	s.mu.Unlock()
}

// ImportEntries adds the entries of an earlier run, except those attached to a lease.
func (s *Store) ImportEntries(entries map[string]records.KeyValue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, kv := range entries {
		if kv.LeaseID == 0 {
			s.entries[key] = kv
		}
		s.revision = max(s.revision, kv.Revision)
	}
}

// Restore restores the persisted state of this store after a restart. All leases are renewed for their full TTL.
func (s *Store) Restore(entries []records.KeyValue, revision, lastLease uint64, ttls map[uint64]time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, kv := range entries {
		s.entries[kv.Key] = kv
	}
	s.revision, s.lastLease, s.compactedRevision = revision, lastLease, revision
	for id, ttl := range ttls {
		l := &lease{ttl: ttl}
		s.leases[id] = l
		s.resetLeaseTimerLocked(id, l)
	}
}

// Revision returns the revision of the last change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// get returns the entry of a key and the store's revision.
func (s *Store) get(key string) (kv records.KeyValue, revision uint64, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kv, found = s.entries[key]
	return kv, s.revision, found
}

// Value returns a key's value as text, or "" if the key is absent.
func (s *Store) Value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.entries[key].Value)
}

// List returns a consistent snapshot of the entries under a prefix, sorted by key.
func (s *Store) List(prefix string) []records.KeyValue {
	entries, _, _ := s.page(prefix, "", math.MaxInt, math.MaxInt)
	return entries
}

// Keys returns the sorted keys under a prefix.
func (s *Store) Keys(prefix string) []string {
	var keys []string
	for _, kv := range s.List(prefix) {
		keys = append(keys, kv.Key)
	}
	return keys
}

const (
	// maxPageBytes is the maximum size of a list page; further entries come on further pages.
	maxPageBytes = 512 << 10
	// entryOverheadBytes is the size of an entry on a page without its key and value.
	entryOverheadBytes = 64
)

// page returns the entries under a prefix with keys greater than since: at most limit entries and maxBytes bytes, but
// at least one entry if there is one. It also returns whether there are more entries, and the store's revision.
func (s *Store) page(prefix, since string, limit, maxBytes int) (entries []records.KeyValue, more bool, revision uint64) {
	s.mu.Lock()
	revision = s.revision
	for key, kv := range s.entries {
		if strings.HasPrefix(key, prefix) && key > since {
			entries = append(entries, kv)
		}
	}
	s.mu.Unlock()
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	size := 0
	for i, kv := range entries {
		size += len(kv.Value) + len(kv.Key) + entryOverheadBytes
		if i >= limit || i > 0 && size > maxBytes {
			return entries[:i], true, revision
		}
	}
	return entries, false, revision
}

// commit applies a transaction and returns its revision, or the error of validateTxnLocked, of compareLocked or of
// encoding a value. The order
// of the checks is that of the protocol: the size and write rate limits come before the compares, so a transaction with
// a failed compare uses up write rate.
func (s *Store) commit(compares []records.Compare, ops []records.Op) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.validateTxnLocked(compares, ops); err != nil {
		return 0, err
	}
	s.writes += len(ops)
	if err := s.compareLocked(compares); err != nil {
		return 0, err
	}
	s.revision++
	change, err := s.applyLocked(ops)
	if err != nil {
		return 0, err
	}
	s.recordChangeLocked(change)
	s.wakeWatchersLocked()
	return s.revision, nil
}

// maxComparesPerOp times the limit of operations is the maximum number of compares of a transaction.
const maxComparesPerOp = 4

// validateTxnLocked checks a transaction before its compares. It returns records.ErrLeaseExpired if a lease does not
// exist, ErrInvalid if the transaction is too large, and ErrThrottled if it exceeds the write rate.
func (s *Store) validateTxnLocked(compares []records.Compare, ops []records.Op) error {
	for _, op := range ops {
		if op.LeaseID != 0 && s.leases[op.LeaseID] == nil {
			return records.ErrLeaseExpired
		}
	}
	if s.maxTxnOps > 0 && (len(ops) > s.maxTxnOps || len(compares) > maxComparesPerOp*s.maxTxnOps) {
		s.oversizedTxns = append(s.oversizedTxns, fmt.Sprint(len(ops), " changes"))
		return fmt.Errorf("%w: too many changes", records.ErrInvalid)
	}
	for _, op := range ops {
		if n := records.EncodedSize(op.Value); op.Write != "" && s.maxValueKB > 0 && float64(n) > s.maxValueKB*1024 {
			s.oversizedTxns = append(s.oversizedTxns, fmt.Sprint(op.Write, " of ", n, " bytes"))
			return fmt.Errorf("%w: too large a value", records.ErrInvalid)
		}
	}
	if s.writeLimiter != nil && !s.writeLimiter.AllowN(time.Now(), len(ops)) {
		s.throttledWrites++
		return records.ErrThrottled
	}
	return nil
}

// compareLocked evaluates a transaction's compares. If any fail, it returns a records.ConflictError with their keys.
func (s *Store) compareLocked(compares []records.Compare) error {
	var failed []string
	for _, c := range compares {
		if s.entries[c.Key].Revision != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return &records.ConflictError{Failed: failed, Revision: s.revision}
	}
	return nil
}

// applyLocked applies a transaction's operations at the current revision.
func (s *Store) applyLocked(ops []records.Op) (Change, error) {
	var change Change
	for _, op := range ops {
		if op.Delete != "" {
			delete(s.entries, op.Delete)
			s.log = append(s.log, records.Event{Delete: op.Delete, Revision: s.revision})
			change.Deletes = append(change.Deletes, op.Delete)
			continue
		}
		raw, err := jsoncodec.Marshal(op.Value)
		if err != nil {
			return Change{}, err
		}
		kv := records.KeyValue{Key: op.Write, Value: raw, Revision: s.revision, LeaseID: op.LeaseID}
		s.entries[op.Write] = kv
		s.log = append(s.log, records.Event{Write: op.Write, Value: raw, Revision: s.revision})
		change.Writes = append(change.Writes, kv)
	}
	return change, nil
}

// recordChangeLocked passes a change to OnChange with the store's revision, and compacts the log.
func (s *Store) recordChangeLocked(c Change) {
	if s.OnChange != nil {
		c.Revision = s.revision
		s.OnChange(c)
	}
	if n := len(s.log); n > 2*maxWatchEvents {
		s.log = append([]records.Event(nil), s.log[n-maxWatchEvents:]...)
		s.compactedRevision = s.log[0].Revision
	}
}
