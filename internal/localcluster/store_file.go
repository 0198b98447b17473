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

// storeFile keeps the state service's records in a file. Changes are written in order, as many
// at once as have come meanwhile; whoever tells of one waits until it is written.
type storeFile struct {
	db *bbolt.DB

	mu       sync.Mutex
	pending  []simulation.Change
	revision uint64 // of the last change taken in
	written  uint64 // up to which all is in the file
	err      error
	wakeup   chan struct{} // holds one token while something is pending
	progress chan struct{} // closed, and replaced, when something was written
	quit     chan struct{}
	done     chan struct{}
	closed   bool // what comes now is lost, as with a process that has ended
}

var bucketEntries, bucketLeases, bucketMeta = []byte("rows"), []byte("grants"), []byte("meta")

// openStoreFile opens the file and puts what it holds into the service.
func openStoreFile(path string, s *simulation.Store) (*storeFile, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("state service: %s: %w (is another region running on it?)", path, err)
	}
	d := &storeFile{db: db, wakeup: make(chan struct{}, 1), progress: make(chan struct{}), quit: make(chan struct{}), done: make(chan struct{})}
	var rows []records.KeyValue
	var hold uint64
	lives := map[uint64]time.Duration{}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{bucketEntries, bucketLeases, bucketMeta} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		meta := tx.Bucket(bucketMeta)
		d.revision, hold = decodeNumber(meta.Get([]byte("epoch"))), decodeNumber(meta.Get([]byte("hold")))
		if err := tx.Bucket(bucketLeases).ForEach(func(k, v []byte) error {
			lives[decodeNumber(k)] = time.Duration(decodeNumber(v))
			return nil
		}); err != nil {
			return err
		}
		return tx.Bucket(bucketEntries).ForEach(func(k, v []byte) error {
			var r records.KeyValue
			if err := json.Unmarshal(v, &r); err != nil {
				return fmt.Errorf("record %s: %w", k, err)
			}
			rows = append(rows, r)
			return nil
		})
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("state service: %s: %w", path, err)
	}
	d.written = d.revision
	s.Restore(rows, d.revision, hold, lives)
	s.OnChange = d.enqueue
	go d.run()
	return d, nil
}

func decodeNumber(raw []byte) uint64 {
	if len(raw) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(raw)
}

func encodeNumber(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// enqueue takes a change in; it is called in order, and does not wait.
func (f *storeFile) enqueue(c simulation.Change) {
	f.mu.Lock()
	if !f.closed {
		f.pending = append(f.pending, c)
		f.revision = c.Revision
	}
	f.mu.Unlock()
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// waitDurable waits until all up to a revision is written.
func (f *storeFile) waitDurable(epoch uint64) {
	for {
		f.mu.Lock()
		there, news := f.written >= epoch || f.err != nil || f.closed && epoch > f.revision, f.progress
		f.mu.Unlock()
		if there {
			return
		}
		<-news
	}
}

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
		err := f.db.Update(func(tx *bbolt.Tx) error { return write(tx, batch) })
		f.mu.Lock()
		if f.written = batch[len(batch)-1].Revision; err != nil {
			f.err = err
		}
		close(f.progress)
		f.progress = make(chan struct{})
		f.mu.Unlock()
	}
}

func write(tx *bbolt.Tx, batch []simulation.Change) error {
	rows, grants, meta := tx.Bucket(bucketEntries), tx.Bucket(bucketLeases), tx.Bucket(bucketMeta)
	for _, c := range batch {
		for _, r := range c.Writes {
			raw, err := json.Marshal(r)
			if err != nil {
				return err
			}
			if err := rows.Put([]byte(r.Key), raw); err != nil {
				return err
			}
		}
		for _, k := range c.Deletes {
			if err := rows.Delete([]byte(k)); err != nil {
				return err
			}
		}
		if c.LeaseID != 0 {
			if err := grants.Put(encodeNumber(c.LeaseID), encodeNumber(uint64(c.TTL))); err != nil {
				return err
			}
			if err := meta.Put([]byte("hold"), encodeNumber(c.LeaseID)); err != nil {
				return err
			}
		}
		if c.RevokedLease != 0 {
			if err := grants.Delete(encodeNumber(c.RevokedLease)); err != nil {
				return err
			}
		}
	}
	return meta.Put([]byte("epoch"), encodeNumber(batch[len(batch)-1].Revision))
}

// close writes what is pending and closes the file.
func (f *storeFile) close() error {
	f.mu.Lock()
	f.closed = true
	last := f.revision
	f.mu.Unlock()
	f.waitDurable(last)
	close(f.quit)
	<-f.done
	if err := f.db.Close(); err != nil {
		return err
	}
	return f.err
}
