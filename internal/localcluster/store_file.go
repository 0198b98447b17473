package localcluster

import (
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"
	"drumpick/internal/simulation"

	"go.etcd.io/bbolt"
)

// storeFile persists a store's changes in a file, in order, and writes all pending changes in one transaction. Before a
// caller reports a change to a client, it must wait with waitDurable until the change is durable.
type storeFile struct {
	db     *bbolt.DB
	wakeup chan struct{} // holds an element while changes are pending
	quit   chan struct{} // closed by close
	done   chan struct{} // closed when run returns

	mu               sync.Mutex // guards the fields below
	pending          []simulation.Change
	enqueuedRevision uint64        // of the last change enqueued
	durableRevision  uint64        // all changes up to this revision have been written, or their write has failed
	durableChanged   chan struct{} // closed and replaced after each write
	writeErr         error         // of the last failed write; later writes continue
	closed           bool          // changes are dropped from now on, as after the end of a store's process
}

// Buckets of the file, and the keys in bucketMeta.
var (
	bucketEntries = []byte("rows")   // key -> records.KeyValue as JSON
	bucketLeases  = []byte("grants") // lease ID -> time to live in nanoseconds
	bucketMeta    = []byte("meta")

	keyRevision  = []byte("epoch") // revision of the last change
	keyLastLease = []byte("hold")  // ID of the last granted lease
)

// openTimeout is the maximum time that openStoreFile waits for the lock of the file.
const openTimeout = time.Second

// openStoreFile opens the file, restores its content into the store, and persists the store's changes from then on.
func openStoreFile(path string, s *simulation.Store) (*storeFile, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout})
	if err != nil {
		return nil, fmt.Errorf("open store file %s: %w (is another local cluster using it?)", path, err)
	}
	var content storeContent
	if err := db.Update(content.read); err != nil {
		db.Close()
		return nil, fmt.Errorf("read store file %s: %w", path, err)
	}
	f := &storeFile{
		db: db, enqueuedRevision: content.revision, durableRevision: content.revision,
		wakeup: make(chan struct{}, 1), durableChanged: make(chan struct{}),
		quit: make(chan struct{}), done: make(chan struct{}),
	}
	s.Restore(content.entries, content.revision, content.lastLease, content.ttls)
	s.OnChange = f.enqueue
	go f.run()
	return f, nil
}

// storeContent is the content of a store file.
type storeContent struct {
	entries   []records.KeyValue
	revision  uint64
	lastLease uint64
	ttls      map[uint64]time.Duration // by lease ID
}

// read reads the content of a file, and creates its buckets if it is new.
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
		if err := jsoncodec.Unmarshal(raw, &kv); err != nil {
			return fmt.Errorf("decode record %s: %w", key, err)
		}
		c.entries = append(c.entries, kv)
		return nil
	})
}

const numberBytes = 8 // length of a stored number

// decodeNumber decodes a stored number. It returns 0 if the number is missing or malformed.
func decodeNumber(raw []byte) uint64 {
	if len(raw) != numberBytes {
		return 0
	}
	return binary.BigEndian.Uint64(raw)
}

func encodeNumber(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// enqueue queues a change for writing, without waiting for the write. The caller must pass changes in their order.
// After close, enqueue drops them.
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

// waitDurable waits until all changes up to a revision are written. It also returns if any write has failed, or if
// the changes were dropped because the file is closed.
func (f *storeFile) waitDurable(revision uint64) {
	for {
		f.mu.Lock()
		dropped := f.closed && revision > f.enqueuedRevision
		finished, progress := f.durableRevision >= revision || f.writeErr != nil || dropped, f.durableChanged
		f.mu.Unlock()
		if finished {
			return
		}
		<-progress
	}
}

// run writes pending changes until close is called.
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

// writeBatch writes changes in order, and the revision of the last one.
func writeBatch(tx *bbolt.Tx, batch []simulation.Change) error {
	for _, c := range batch {
		if err := writeChange(tx, c); err != nil {
			return err
		}
	}
	last := batch[len(batch)-1].Revision
	return tx.Bucket(bucketMeta).Put(keyRevision, encodeNumber(last))
}

// writeChange writes a change's entries, deletions and lease.
func writeChange(tx *bbolt.Tx, c simulation.Change) error {
	entries, leases, meta := tx.Bucket(bucketEntries), tx.Bucket(bucketLeases), tx.Bucket(bucketMeta)
	for _, kv := range c.Writes {
		raw, err := jsoncodec.Marshal(kv)
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

// close writes the pending changes and closes the file. It returns the error of the last failed write, if any; after
// such an error, it may drop pending changes.
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
