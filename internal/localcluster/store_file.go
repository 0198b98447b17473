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

// disk keeps the state service's records in a file. Changes are written in order, as many
// at once as have come meanwhile; whoever tells of one waits until it is written.
type disk struct {
	db *bbolt.DB

	mu      sync.Mutex
	pending []simulation.Change
	epoch   uint64 // of the last change taken in
	written uint64 // up to which all is in the file
	failed  error
	more    chan struct{} // holds one token while something is pending
	news    chan struct{} // closed, and replaced, when something was written
	quit    chan struct{}
	done    chan struct{}
	closed  bool // what comes now is lost, as with a process that has ended
}

var bucketRows, bucketGrants, bucketMeta = []byte("rows"), []byte("grants"), []byte("meta")

// openDisk opens the file and puts what it holds into the service.
func openDisk(path string, s *simulation.Store) (*disk, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("state service: %s: %w (is another region running on it?)", path, err)
	}
	d := &disk{db: db, more: make(chan struct{}, 1), news: make(chan struct{}), quit: make(chan struct{}), done: make(chan struct{})}
	var rows []records.KeyValue
	var hold uint64
	lives := map[uint64]time.Duration{}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{bucketRows, bucketGrants, bucketMeta} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		meta := tx.Bucket(bucketMeta)
		d.epoch, hold = number(meta.Get([]byte("epoch"))), number(meta.Get([]byte("hold")))
		if err := tx.Bucket(bucketGrants).ForEach(func(k, v []byte) error {
			lives[number(k)] = time.Duration(number(v))
			return nil
		}); err != nil {
			return err
		}
		return tx.Bucket(bucketRows).ForEach(func(k, v []byte) error {
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
	d.written = d.epoch
	s.Restore(rows, d.epoch, hold, lives)
	s.OnChange = d.keep
	go d.run()
	return d, nil
}

func number(raw []byte) uint64 {
	if len(raw) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(raw)
}

func bytesOf(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// keep takes a change in; it is called in order, and does not wait.
func (d *disk) keep(c simulation.Change) {
	d.mu.Lock()
	if !d.closed {
		d.pending = append(d.pending, c)
		d.epoch = c.Revision
	}
	d.mu.Unlock()
	select {
	case d.more <- struct{}{}:
	default:
	}
}

// durable waits until all up to a revision is written.
func (d *disk) durable(epoch uint64) {
	for {
		d.mu.Lock()
		there, news := d.written >= epoch || d.failed != nil || d.closed && epoch > d.epoch, d.news
		d.mu.Unlock()
		if there {
			return
		}
		<-news
	}
}

func (d *disk) run() {
	defer close(d.done)
	for {
		select {
		case <-d.more:
		case <-d.quit:
			return
		}
		d.mu.Lock()
		batch := d.pending
		d.pending = nil
		d.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		err := d.db.Update(func(tx *bbolt.Tx) error { return write(tx, batch) })
		d.mu.Lock()
		if d.written = batch[len(batch)-1].Revision; err != nil {
			d.failed = err
		}
		close(d.news)
		d.news = make(chan struct{})
		d.mu.Unlock()
	}
}

func write(tx *bbolt.Tx, batch []simulation.Change) error {
	rows, grants, meta := tx.Bucket(bucketRows), tx.Bucket(bucketGrants), tx.Bucket(bucketMeta)
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
			if err := grants.Put(bytesOf(c.LeaseID), bytesOf(uint64(c.TTL))); err != nil {
				return err
			}
			if err := meta.Put([]byte("hold"), bytesOf(c.LeaseID)); err != nil {
				return err
			}
		}
		if c.RevokedLease != 0 {
			if err := grants.Delete(bytesOf(c.RevokedLease)); err != nil {
				return err
			}
		}
	}
	return meta.Put([]byte("epoch"), bytesOf(batch[len(batch)-1].Revision))
}

// close writes what is pending and closes the file.
func (d *disk) close() error {
	d.mu.Lock()
	d.closed = true
	last := d.epoch
	d.mu.Unlock()
	d.durable(last)
	close(d.quit)
	<-d.done
	if err := d.db.Close(); err != nil {
		return err
	}
	return d.failed
}
