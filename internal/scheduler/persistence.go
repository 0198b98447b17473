package scheduler

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"drumpick/internal/records"
	"drumpick/internal/watermark"
)

// PendingWrite is one change for the store, with what it means once it is in.
type PendingWrite struct {
	Ops        []records.Op
	Compares   []records.Compare
	OnStored   func(stamp uint64) // at the revision at which it was stored
	OwnKey     string             // of the condition that is its own
	OnConflict func()             // that condition did not hold
	// Own is the revision of the key where only the leader writes it, 0 where it is absent,
	// and is kept up by whoever stores the write. It stands for Lost: the key is read then.
	// Guards against a write without an answer that is carried out after newer ones of the
	// same term, which the leader's key alone lets pass.
	OwnRevision *uint64
	// Late is called when a first write has had no answer.
	OnUnanswered func()
	// Refused is called when the store will never take it, as it is too large.
	OnTooLarge func()
}

// Persistence is what a term has in the store beside open jobs: machines that may hold tasks,
// finished tasks, marks, how drains stand. It says what to store next; its owner does, and
// holds the lock of the Core in every call.
type Persistence struct {
	core       *Scheduler
	hosts      *records.PagedRecords
	done       *progress
	sent       *records.PagedRecords
	mostOps    int       // changes in one commit
	valueBytes int       // of a value at the most
	flushed    time.Time // when finished tasks were last gathered
	marksAt    time.Time // when marks were last gathered
	needed     bool      // a task waits for its mark
	over       []string  // jobs whose marks are of no use any more

	marks    map[string]int // as read at the takeover
	unmarked bool           // some of them could not be read
}

// NewPersistence returns those of a term that has read nothing yet, for a store that takes
// values of a size, in KiB, and so many changes in one commit.
func NewPersistence(c *Scheduler, valueKB float64, mostOps int) *Persistence {
	shelf := func(prefix string) *records.PagedRecords {
		n := 0
		return records.NewPagedRecords(prefix, valueKB, func() string {
			n++
			return fmt.Sprintf("%d-%d", c.term, n)
		})
	}
	return &Persistence{
		core: c, hosts: shelf(records.PrefixMachines), done: newProgress(c.settings, shelf(records.PrefixDone)), sent: shelf(records.PrefixWatermarks),
		mostOps: mostOps, valueBytes: int(valueKB * 1024), marks: map[string]int{},
	}
}

// LoadDone takes in a value of finished tasks of jobs that are known.
func (r *Persistence) LoadDone(row records.KeyValue) {
	load(records.PrefixDone, r.done.shelf, row, func(id string, v json.RawMessage) error {
		job, chunk, ok := records.ParsePartID(id)
		var ranges string
		if !ok || json.Unmarshal(v, &ranges) != nil {
			return errors.New("unreadable")
		}
		if j := r.core.jobs[job]; j != nil {
			if err := r.done.load(r.core, id, j, chunk, ranges); err != nil {
				return err
			}
		}
		return r.core.LoadDone(job, chunk, ranges)
	})
}

// LoadMachine takes in a value of machines that an earlier term may have used.
func (r *Persistence) LoadMachine(row records.KeyValue, now time.Time) {
	load(records.PrefixMachines, r.hosts, row, func(host string, v json.RawMessage) error {
		var h records.Machine
		err := json.Unmarshal(v, &h)
		// Whatever is unreadable about it, the machine may hold tasks.
		r.core.LoadMachine(host, h, now)
		return err
	})
}

// LoadWatermark takes in a value of marks. One that cannot be read may stand for any task.
func (r *Persistence) LoadWatermark(row records.KeyValue) {
	readable := load(records.PrefixWatermarks, r.sent, row, func(id string, v json.RawMessage) error {
		n, err := records.ParseWatermark(v)
		if err != nil {
			r.unmarked = true
			return err
		}
		// Of two values that hold the same job one may be older.
		r.marks[id] = max(r.marks[id], n)
		return nil
	})
	r.unmarked = r.unmarked || !readable
}

// FinishLoading ends the reading. Whole says that earlier leaders kept to the marks.
func (r *Persistence) FinishLoading(whole bool) {
	for id := range r.done.shelf.IDs() {
		if job, _, _ := records.ParsePartID(id); r.core.jobs[job] == nil {
			r.done.shelf.Remove(id)
		}
	}
	if !r.core.settings.Watermarks {
		return
	}
	for id := range r.marks {
		if r.core.jobs[id] == nil {
			r.sent.Remove(id)
		}
	}
	r.core.LoadWatermarks(r.marks, whole && !r.unmarked)
}

// load takes in a value of a shelf, and says whether it is readable as a whole.
func load(prefix string, s *records.PagedRecords, row records.KeyValue, each func(id string, v json.RawMessage) error) bool {
	entries, err := records.Entries(prefix, row)
	if err != nil {
		slog.Error("unreadable record", "key", row.Key, "err", err)
		return false
	}
	s.Load(row.Key, entries, len(row.Value)).Revision = row.Revision
	for id, v := range entries {
		if err := each(id, v); err != nil {
			slog.Error("unreadable record", "key", row.Key, "id", id, "err", err)
		}
	}
	return true
}

// RequestWatermark says that a task waits for its mark.
func (r *Persistence) RequestWatermark() { r.needed = true }

// HalveCommits makes commits half as large: the store took one for too large.
func (r *Persistence) HalveCommits() { r.mostOps = max(r.mostOps/2, 2) }

// NextWrites gathers what is to be stored next, no more than goes into one commit:
// jobs that are complete first, then machines about to be used, then finished
// tasks and machines that are gone. What does not fit waits for the next commit,
// and what became more urgent meanwhile goes before it. due makes the
// record that marks are whole, if it is time for one.
func (r *Persistence) NextWrites(now time.Time, due func(now time.Time) *watermark.StoredAttestation) []PendingWrite {
	c := r.core
	var ws []PendingWrite
	ops, bytes := 0, 0
	fits := func(o, b int) bool {
		if len(ws) > 0 && (ops+o > r.mostOps || bytes+b > maxCommitBytes) {
			return false
		}
		ops, bytes = ops+o, bytes+b
		return true
	}
	const perOp = 300 // what a change takes beside a shelf's entries
	// Jobs behind a cancelled one go first: their users wait for it, and it is little.
	for _, id := range c.dependencies.ToCancel() {
		j := c.jobs[id]
		if j == nil || j.closing {
			continue
		}
		if !fits(2, 2*perOp) {
			return ws
		}
		slog.Info("job cancelled with one before it", "job", id, "term", c.term)
		ws = append(ws, c.closeJobWrite(j, records.ClosedJob{Status: records.StatusCancelled}))
	}
	for j := range c.complete {
		if j.closing {
			continue
		}
		if !fits(2, 2*perOp) {
			return ws
		}
		ws = append(ws, c.closeJobWrite(j, records.ClosedJob{Status: records.StatusDone, AtMS: now.UnixMilli()}))
	}
	if wholeRecord := due(now); wholeRecord != nil {
		if !fits(1, records.EncodedSize(wholeRecord)) {
			return ws
		}
		ws = append(ws, PendingWrite{Ops: []records.Op{{Write: records.KeyWatermarksComplete, Value: wholeRecord}}, OnStored: func(uint64) {}})
	}
	if !r.takeMarks(&ws, fits, now) {
		return ws
	}
	for _, m := range c.fleet.Sorted() {
		if !m.Up || m.Recorded || m.Recording || m.Returning || m.LeaseExpired || !m.Reconciled && m.Empty() {
			continue
		}
		m.Recording = true
		h := records.Machine{Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Incarnation: m.Incarnation}
		raw, err := json.Marshal(h)
		if err != nil {
			slog.Error("unwritable record", "machine", m.Name, "err", err)
			continue
		}
		r.hosts.Put(m.Name, raw, len(raw))
	}
	for _, host := range c.removedMachines {
		if c.fleet.Machines[host] == nil {
			r.hosts.Remove(host)
		}
	}
	c.removedMachines = c.removedMachines[:0]
	if !r.takeHosts(&ws, fits) {
		return ws
	}
	r.done.close(c.closedJobs)
	r.over = append(r.over, c.closedJobs...)
	c.closedJobs = c.closedJobs[:0]
	if now.Sub(r.flushed) >= r.core.settings.HeartbeatInterval {
		r.done.gather(c)
		r.dropMarks()
		r.flushed = now
	}
	if !r.takeShelf(r.done.shelf, &ws, fits, func(ids []string, _ map[string]json.RawMessage) (func(uint64), func([]string)) {
		return r.done.stored(c, ids), func(ids []string) { r.done.again(c, ids) }
	}) {
		return ws
	}
	if !r.takeDrains(&ws, fits, now) || len(ws) > 0 {
		return ws
	}
	// Nothing else is to be stored: empty a value that is too large for the limits to
	// come, first into others that are not. Either version reads a machine in both.
	for host, raw := range r.hosts.ReadOnly() {
		if !r.hosts.Has(host) {
			r.hosts.Put(host, raw, len(raw))
		}
	}
	r.takeHosts(&ws, fits)
	return ws
}

// takeHosts gathers the machine records that have changed, and says whether all fit.
func (r *Persistence) takeHosts(ws *[]PendingWrite, fits func(ops, bytes int) bool) bool {
	return r.takeShelf(r.hosts, ws, fits, func(ids []string, entries map[string]json.RawMessage) (func(uint64), func([]string)) {
		stored := func(uint64) {
			for _, id := range ids {
				r.hosts.DropReadOnly(id)
				if m := r.core.fleet.Machines[id]; m != nil {
					m.Recorded, m.Recording = true, false
				}
			}
		}
		return stored, func(ids []string) {
			for _, id := range ids {
				if r.core.fleet.Machines[id] != nil {
					r.hosts.Put(id, entries[id], len(entries[id]))
				}
			}
		}
	})
}

// takeShelf gathers the values of a shelf that have changed, and says whether all fit.
// taken is told the records of each, and returns what is to be done once they are stored,
// and with those that need another place when the value was refused as too large.
func (r *Persistence) takeShelf(s *records.PagedRecords, ws *[]PendingWrite, fits func(ops, bytes int) bool,
	taken func(ids []string, entries map[string]json.RawMessage) (stored func(uint64), refused func(ids []string))) bool {
	for _, b := range s.Dirty() {
		if !fits(1, r.valueBytes) {
			return false
		}
		op, _, ids := s.TakeWrite(b)
		entries, _ := op.Value.(map[string]json.RawMessage)
		stored, refused := taken(ids, entries)
		*ws = append(*ws, PendingWrite{Ops: []records.Op{op}, OwnKey: b.Key, OwnRevision: &b.Revision, OnUnanswered: b.NoteUnanswered, OnStored: stored, OnTooLarge: func() { refused(s.NoteTooLarge(b)) }})
	}
	return true
}

// maxCommitBytes keeps a commit well below the service's 64 KiB.
const maxCommitBytes = 40 << 10

// takeMarks gathers the marks that have changed, and says whether all fit.
func (r *Persistence) takeMarks(ws *[]PendingWrite, fits func(ops, bytes int) bool, now time.Time) bool {
	c := r.core
	// Marks are raised ahead of need, so they wait for each other, unless a task waits.
	if !r.needed && now.Sub(r.marksAt) < r.core.settings.HeartbeatInterval/4 {
		return true
	}
	r.needed, r.marksAt = false, now
	for j := range c.watermarks.raised {
		delete(c.watermarks.raised, j)
		if !j.closed {
			v := records.FormatWatermark(j.watermark.Requested)
			r.sent.Put(j.ID, v, len(v))
		}
	}
	return r.takeShelf(r.sent, ws, fits, func(ids []string, entries map[string]json.RawMessage) (func(uint64), func([]string)) {
		stored := func(uint64) {
			for _, id := range ids {
				r.sent.DropReadOnly(id)
				if n, err := records.ParseWatermark(entries[id]); err == nil && c.jobs[id] != nil {
					c.jobs[id].watermark.NoteStored(n)
				}
			}
		}
		return stored, func(ids []string) {
			// Guards against a mark that rose while this value was on its way: what is
			// stored next is what is asked for then, not what was asked for before.
			for _, id := range ids {
				if j := c.jobs[id]; j != nil {
					c.watermarks.raised[j] = struct{}{}
				}
			}
			r.needed = true
		}
	})
}

// dropMarks takes away the marks of jobs that are over.
func (r *Persistence) dropMarks() {
	for _, id := range r.over {
		r.sent.Remove(id)
	}
	r.over = r.over[:0]
}

// HasUnstoredJobs says whether a job is complete but not yet stored as done.
func (s *Scheduler) HasUnstoredJobs() bool {
	for j := range s.complete {
		if !j.closing {
			return true
		}
	}
	return false
}
