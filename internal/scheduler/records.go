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

// Write is one change for the store, with what it means once it is in.
type Write struct {
	Ops   []records.Op
	When  []records.Cond
	Apply func(stamp uint64) // at the revision at which it was stored
	Key   string             // of the condition that is its own
	Lost  func()             // that condition did not hold
	// Own is the revision of the key where only the leader writes it, 0 where it is absent,
	// and is kept up by whoever stores the write. It stands for Lost: the key is read then.
	// Guards against a write without an answer that is carried out after newer ones of the
	// same term, which the leader's key alone lets pass.
	Own *uint64
	// Late is called when a first write has had no answer.
	Late func()
	// Refused is called when the store will never take it, as it is too large.
	Refused func()
}

// Records is what a term has in the store beside open jobs: machines that may hold tasks,
// finished tasks, marks, how drains stand. It says what to store next; its owner does, and
// holds the lock of the Core in every call.
type Records struct {
	core       *Core
	hosts      *records.Shelf
	done       *progress
	sent       *records.Shelf
	mostOps    int       // changes in one commit
	valueBytes int       // of a value at the most
	flushed    time.Time // when finished tasks were last gathered
	marksAt    time.Time // when marks were last gathered
	needed     bool      // a task waits for its mark
	over       []string  // jobs whose marks are of no use any more

	marks    map[string]int // as read at the takeover
	unmarked bool           // some of them could not be read
}

// NewRecords returns those of a term that has read nothing yet, for a store that takes
// values of a size, in KiB, and so many changes in one commit.
func NewRecords(c *Core, valueKB float64, mostOps int) *Records {
	shelf := func(prefix string) *records.Shelf {
		n := 0
		return records.NewShelf(prefix, valueKB, func() string {
			n++
			return fmt.Sprintf("%d-%d", c.term, n)
		})
	}
	return &Records{
		core: c, hosts: shelf(records.PrefixHosts), done: newProgress(c.set, shelf(records.PrefixDone)), sent: shelf(records.PrefixSent),
		mostOps: mostOps, valueBytes: int(valueKB * 1024), marks: map[string]int{},
	}
}

// LoadDone takes in a value of finished tasks of jobs that are known.
func (r *Records) LoadDone(row records.Row) {
	load(records.PrefixDone, r.done.shelf, row, func(id string, v json.RawMessage) error {
		job, chunk, ok := records.ParseChunkID(id)
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

// LoadHost takes in a value of machines that an earlier term may have used.
func (r *Records) LoadHost(row records.Row, now time.Time) {
	load(records.PrefixHosts, r.hosts, row, func(host string, v json.RawMessage) error {
		var h records.Host
		err := json.Unmarshal(v, &h)
		// Whatever is unreadable about it, the machine may hold tasks.
		r.core.LoadHost(host, h, now)
		return err
	})
}

// LoadMark takes in a value of marks. One that cannot be read may stand for any task.
func (r *Records) LoadMark(row records.Row) {
	readable := load(records.PrefixSent, r.sent, row, func(id string, v json.RawMessage) error {
		n, err := records.ParseMark(v)
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

// Loaded ends the reading. Whole says that earlier leaders kept to the marks.
func (r *Records) Loaded(whole bool) {
	for id := range r.done.shelf.IDs() {
		if job, _, _ := records.ParseChunkID(id); r.core.jobs[job] == nil {
			r.done.shelf.Remove(id)
		}
	}
	if !r.core.set.Marks {
		return
	}
	for id := range r.marks {
		if r.core.jobs[id] == nil {
			r.sent.Remove(id)
		}
	}
	r.core.LoadMarks(r.marks, whole && !r.unmarked)
}

// load takes in a value of a shelf, and says whether it is readable as a whole.
func load(prefix string, s *records.Shelf, row records.Row, each func(id string, v json.RawMessage) error) bool {
	entries, err := records.Entries(prefix, row)
	if err != nil {
		slog.Error("unreadable record", "key", row.Key, "err", err)
		return false
	}
	s.Load(row.Key, entries, len(row.Value)).Stamp = row.Stamp
	for id, v := range entries {
		if err := each(id, v); err != nil {
			slog.Error("unreadable record", "key", row.Key, "id", id, "err", err)
		}
	}
	return true
}

// Need says that a task waits for its mark.
func (r *Records) Need() { r.needed = true }

// Less makes commits half as large: the store took one for too large.
func (r *Records) Less() { r.mostOps = max(r.mostOps/2, 2) }

// Writes gathers what is to be stored next, no more than goes into one commit:
// jobs that are complete first, then machines about to be used, then finished
// tasks and machines that are gone. What does not fit waits for the next commit,
// and what became more urgent meanwhile goes before it. due makes the
// record that marks are whole, if it is time for one.
func (r *Records) Writes(now time.Time, due func(now time.Time) *watermark.Record) []Write {
	c := r.core
	var ws []Write
	ops, bytes := 0, 0
	fits := func(o, b int) bool {
		if len(ws) > 0 && (ops+o > r.mostOps || bytes+b > mostBytes) {
			return false
		}
		ops, bytes = ops+o, bytes+b
		return true
	}
	const perOp = 300 // what a change takes beside a shelf's entries
	// Jobs behind a cancelled one go first: their users wait for it, and it is little.
	for _, id := range c.chain.Doomed() {
		j := c.jobs[id]
		if j == nil || j.finishing {
			continue
		}
		if !fits(2, 2*perOp) {
			return ws
		}
		slog.Info("job cancelled with one before it", "job", id, "term", c.term)
		ws = append(ws, c.finish(j, records.Over{Status: records.StatusCancelled}))
	}
	for j := range c.complete {
		if j.finishing {
			continue
		}
		if !fits(2, 2*perOp) {
			return ws
		}
		ws = append(ws, c.finish(j, records.Over{Status: records.StatusDone, AtMS: now.UnixMilli()}))
	}
	if wholeRecord := due(now); wholeRecord != nil {
		if !fits(1, records.Size(wholeRecord)) {
			return ws
		}
		ws = append(ws, Write{Ops: []records.Op{{Write: records.KeyWhole, Value: wholeRecord}}, Apply: func(uint64) {}})
	}
	if !r.takeMarks(&ws, fits, now) {
		return ws
	}
	for _, m := range c.fleet.Sorted() {
		if !m.Up || m.Recorded || m.Recording || m.Returning || m.Lost || !m.Settled && m.Empty() {
			continue
		}
		m.Recording = true
		h := records.Host{Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Session: m.Session}
		raw, err := json.Marshal(h)
		if err != nil {
			slog.Error("unwritable record", "machine", m.Host, "err", err)
			continue
		}
		r.hosts.Put(m.Host, raw, len(raw))
	}
	for _, host := range c.dropped {
		if c.fleet.Machines[host] == nil {
			r.hosts.Remove(host)
		}
	}
	c.dropped = c.dropped[:0]
	if !r.takeHosts(&ws, fits) {
		return ws
	}
	r.done.close(c.closed)
	r.over = append(r.over, c.closed...)
	c.closed = c.closed[:0]
	if now.Sub(r.flushed) >= r.core.set.Report {
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
	for host, raw := range r.hosts.Frozen() {
		if !r.hosts.Has(host) {
			r.hosts.Put(host, raw, len(raw))
		}
	}
	r.takeHosts(&ws, fits)
	return ws
}

// takeHosts gathers the machine records that have changed, and says whether all fit.
func (r *Records) takeHosts(ws *[]Write, fits func(ops, bytes int) bool) bool {
	return r.takeShelf(r.hosts, ws, fits, func(ids []string, entries map[string]json.RawMessage) (func(uint64), func([]string)) {
		stored := func(uint64) {
			for _, id := range ids {
				r.hosts.Thaw(id)
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
func (r *Records) takeShelf(s *records.Shelf, ws *[]Write, fits func(ops, bytes int) bool,
	taken func(ids []string, entries map[string]json.RawMessage) (stored func(uint64), refused func(ids []string))) bool {
	for _, b := range s.Changed() {
		if !fits(1, r.valueBytes) {
			return false
		}
		op, _, ids := s.Take(b)
		entries, _ := op.Value.(map[string]json.RawMessage)
		stored, refused := taken(ids, entries)
		*ws = append(*ws, Write{Ops: []records.Op{op}, Key: b.Key, Own: &b.Stamp, Late: b.Late, Apply: stored, Refused: func() { refused(s.Refused(b)) }})
	}
	return true
}

// mostBytes keeps a commit well below the service's 64 KiB.
const mostBytes = 40 << 10

// takeMarks gathers the marks that have changed, and says whether all fit.
func (r *Records) takeMarks(ws *[]Write, fits func(ops, bytes int) bool, now time.Time) bool {
	c := r.core
	// Marks are raised ahead of need, so they wait for each other, unless a task waits.
	if !r.needed && now.Sub(r.marksAt) < r.core.set.Report/4 {
		return true
	}
	r.needed, r.marksAt = false, now
	for j := range c.marks.raised {
		delete(c.marks.raised, j)
		if !j.over {
			v := records.Mark(j.mark.Want)
			r.sent.Put(j.ID, v, len(v))
		}
	}
	return r.takeShelf(r.sent, ws, fits, func(ids []string, entries map[string]json.RawMessage) (func(uint64), func([]string)) {
		stored := func(uint64) {
			for _, id := range ids {
				r.sent.Thaw(id)
				if n, err := records.ParseMark(entries[id]); err == nil && c.jobs[id] != nil {
					c.jobs[id].mark.Keep(n)
				}
			}
		}
		return stored, func(ids []string) {
			// Guards against a mark that rose while this value was on its way: what is
			// stored next is what is asked for then, not what was asked for before.
			for _, id := range ids {
				if j := c.jobs[id]; j != nil {
					c.marks.raised[j] = struct{}{}
				}
			}
			r.needed = true
		}
	})
}

// dropMarks takes away the marks of jobs that are over.
func (r *Records) dropMarks() {
	for _, id := range r.over {
		r.sent.Remove(id)
	}
	r.over = r.over[:0]
}

// Unstored says whether a job is complete but not yet stored as done.
func (c *Core) Unstored() bool {
	for j := range c.complete {
		if !j.finishing {
			return true
		}
	}
	return false
}
