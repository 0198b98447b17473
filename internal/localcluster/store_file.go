package localcluster

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"drumpick/internal/records"
	"drumpick/internal/simulation"

	"go.etcd.io/bbolt"
)

// storeFile persists a store's changes. They are written in order, as many at once as have come meanwhile. Whoever
// tells of one waits until it is written (waitDurable).
type storeFile struct {
	db     *bbolt.DB
	wakeup chan struct{} // holds an element while changes are pending
	quit   chan struct{} // closed by close
	done   chan struct{} // closed when run has returned

	mu               sync.Mutex // guards what follows
	pending          []simulation.Change
	enqueuedRevision uint64        // of the last change that was taken in
	durableRevision  uint64        // up to which all is in the file
	durableChanged   chan struct{} // closed, and replaced, when something was written
	writeErr         error         // of a write; later writes go on
	closed           bool          // what comes now is lost, as with a process that has ended
}

// Buckets of the file, and the keys of bucketMeta.
var (
	bucketEntries = []byte("rows")
	bucketLeases  = []byte("grants") // time to live by lease
	bucketMeta    = []byte("meta")

	keyRevision  = []byte("epoch")
	keyLastLease = []byte("hold")
)

// openTimeout bounds how long the file's lock is waited for.
const openTimeout = time.Second

// openStoreFile opens the file, puts what it holds into the store, and persists the store's changes from now on.
func openStoreFile(path string, s *simulation.Store) (*storeFile, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout})
	if err != nil {
		return nil, fmt.Errorf("state service: %s: %w (is another region running on it?)", path, err)
	}
	var kept storeContent
	if err := db.Update(kept.read); err != nil {
		db.Close()
		return nil, fmt.Errorf("state service: %s: %w", path, err)
	}
	f := &storeFile{
		db: db, enqueuedRevision: kept.revision, durableRevision: kept.revision,
		wakeup: make(chan struct{}, 1), durableChanged: make(chan struct{}),
		quit: make(chan struct{}), done: make(chan struct{}),
	}
	s.Restore(kept.entries, kept.revision, kept.lastLease, kept.ttls)
	s.OnChange = f.enqueue
	go f.run()
	return f, nil
}

// storeContent is what a file holds.
type storeContent struct {
	entries   []records.KeyValue
	revision  uint64
	lastLease uint64
	ttls      map[uint64]time.Duration // by lease
}

// read reads all that a file holds, and makes its buckets if it is new.
func (c *storeContent) read(tx *bbolt.Tx) error {
	for _, name := range [][]byte{bucketEntries, bucketLeases, bucketMeta} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	meta := tx.Bucket(bucketMeta)
	c.revision, c.lastLease = decodeNumber(meta.Get(keyRevision)), decodeNumber(meta.Get(keyLastLease))
	c.ttls = map[uint64]time.Duration{}
	err := tx.Bucket(bucketLeases).ForEach(func(id, ttl []byte) error {
		c.ttls[decodeNumber(id)] = time.Duration(decodeNumber(ttl))
		return nil
	})
	if err != nil {
		return err
	}
	return tx.Bucket(bucketEntries).ForEach(func(key, raw []byte) error {
		var kv records.KeyValue
		if err := json.Unmarshal(raw, &kv); err != nil {
			return fmt.Errorf("record %s: %w", key, err)
		}
		c.entries = append(c.entries, kv)
		return nil
	})
}

const numberBytes = 8

// decodeNumber decodes a number, 0 where there is none.
func decodeNumber(raw []byte) uint64 {
	if len(raw) != numberBytes {
		return 0
	}
	return binary.BigEndian.Uint64(raw)
}

func encodeNumber(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// enqueue takes a change in. It is called in the order of the changes, and does not wait.
func (f *storeFile) enqueue(c simulation.Change) {
	f.mu.Lock()
	if !f.closed {
		f.pending = append(f.pending, c)
		f.enqueuedRevision = c.Revision
	}
	f.mu.Unlock()
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// waitDurable waits until all up to a revision is written, or cannot be.
func (f *storeFile) waitDurable(revision uint64) {
	for {
		f.mu.Lock()
		lost := f.closed && revision > f.enqueuedRevision
		finished, progress := f.durableRevision >= revision || f.writeErr != nil || lost, f.durableChanged
		f.mu.Unlock()
		if finished {
			return
		}
		<-progress
	}
}

// run writes the pending changes until close.
func (f *storeFile) run() {
	defer close(f.done)
	for {
		select {
		case <-f.wakeup:
		case <-f.quit:
			return
		}
		f.mu.Lock()
		batch := f.pending
		f.pending = nil
		f.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		err := f.db.Update(func(tx *bbolt.Tx) error { return writeBatch(tx, batch) })
		f.mu.Lock()
		if f.durableRevision = batch[len(batch)-1].Revision; err != nil {
			f.writeErr = err
		}
		close(f.durableChanged)
		f.durableChanged = make(chan struct{})
		f.mu.Unlock()
	}
}

// writeBatch writes changes, in their order.
func writeBatch(tx *bbolt.Tx, batch []simulation.Change) error {
	for _, c := range batch {
		if err := writeChange(tx, c); err != nil {
			return err
		}
	}
	last := batch[len(batch)-1].Revision
	return tx.Bucket(bucketMeta).Put(keyRevision, encodeNumber(last))
}

func writeChange(tx *bbolt.Tx, c simulation.Change) error {
	entries, leases, meta := tx.Bucket(bucketEntries), tx.Bucket(bucketLeases), tx.Bucket(bucketMeta)
	for _, kv := range c.Writes {
		raw, err := json.Marshal(kv)
		if err != nil {
			return err
		}
		if err := entries.Put([]byte(kv.Key), raw); err != nil {
			return err
		}
	}
	for _, key := range c.Deletes {
		if err := entries.Delete([]byte(key)); err != nil {
			return err
		}
	}
	if c.LeaseID != 0 {
		if err := leases.Put(encodeNumber(c.LeaseID), encodeNumber(uint64(c.TTL))); err != nil {
			return err
		}
		if err := meta.Put(keyLastLease, encodeNumber(c.LeaseID)); err != nil {
			return err
		}
	}
	if c.RevokedLease != 0 {
		return leases.Delete(encodeNumber(c.RevokedLease))
	}
	return nil
}

// close writes what is pending and closes the file.
func (f *storeFile) close() error {
	f.mu.Lock()
	f.closed = true
	last := f.enqueuedRevision
	f.mu.Unlock()
	f.waitDurable(last)
	close(f.quit)
	<-f.done
	if err := f.db.Close(); err != nil {
		return err
	}
	return f.writeErr
}
