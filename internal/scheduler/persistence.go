package scheduler

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"drumpick/internal/finishedtasks"
	"drumpick/internal/records"
	"drumpick/internal/watermark"
)

// PendingWrite is one change for the store, with what follows from its result.
type PendingWrite struct {
	Ops      []records.Op
	Compares []records.Compare
	OnStored func(revision uint64) // called when it is stored, at a revision
	// OwnKey is the key of the compare that guards this change alone: where that does not hold, the
	// others of the commit are still to be stored.
	OwnKey     string
	OnConflict func() // called when the compare of OwnKey did not hold
	// OwnRevision is the revision of a key that only the leader writes, 0 where it is absent, and is
	// kept up to date by whoever stores the write. It is set in place of OnConflict: the key is read
	// then. Without it, a write without an answer could be carried out after newer ones of the same
	// term, which the compare of the leader's key alone would let pass.
	OwnRevision *uint64
	// OnUnanswered is called when a first write has had no answer.
	OnUnanswered func()
	// OnTooLarge is called when the store will never take the write, as it is too large.
	OnTooLarge func()
}

// Persistence is what a term has in the store beside open jobs: machines that may hold tasks,
// finished tasks, watermarks and the states of drains. It decides what to store next; its owner
// stores it, and holds the lock of the scheduler in every call.
type Persistence struct {
	scheduler       *Scheduler
	machines        *records.PagedRecords
	watermarks      *records.PagedRecords
	finished        *finishedtasks.Keeper
	maxOps          int       // changes in one commit
	valueBytes      int       // the largest value
	finishedAt      time.Time // when finished tasks were last gathered
	watermarksAt    time.Time // when watermarks were last gathered
	watermarkNeeded bool      // a task waits for its watermark
	closedJobs      []string  // jobs whose watermarks are of no use any more

	loadedWatermarks    map[string]int // as read at the failover, by job
	watermarkUnreadable bool           // some could not be read
}

// NewPersistence returns that of a term that has read nothing yet, for a store that takes values of a
// size, in KiB, and so many changes in one commit.
func NewPersistence(s *Scheduler, valueKB float64, maxOps int) *Persistence {
	pages := func(prefix string) *records.PagedRecords {
		n := 0
		return records.NewPagedRecords(prefix, valueKB, func() string {
			n++
			return fmt.Sprintf("%d-%d", s.term, n)
		})
	}
	return &Persistence{
		scheduler:        s,
		machines:         pages(records.PrefixMachines),
		watermarks:       pages(records.PrefixWatermarks),
		finished:         finishedtasks.New(s.settings.finishedTaskLayout(), pages(records.PrefixDone), finishedJobs{s}),
		maxOps:           maxOps,
		valueBytes:       int(valueKB * 1024),
		loadedWatermarks: map[string]int{},
	}
}

// LoadDone takes in a page of finished tasks of jobs that are known.
func (p *Persistence) LoadDone(row records.KeyValue) {
	load(records.PrefixDone, p.finished.Pages(), row, func(id string, v json.RawMessage) error {
		job, chunk, ok := records.ParsePartID(id)
		var ranges string
		if !ok || json.Unmarshal(v, &ranges) != nil {
			return errors.New("unreadable")
		}
		if j := p.scheduler.jobs[job]; j != nil {
			if err := p.finished.Load(id, finishedJob{j}, chunk, ranges); err != nil {
				return err
			}
		}
		return p.scheduler.LoadDone(job, chunk, ranges)
	})
}

// LoadMachine takes in a page of machines that an earlier term may have used.
func (p *Persistence) LoadMachine(row records.KeyValue, now time.Time) {
	load(records.PrefixMachines, p.machines, row, func(name string, v json.RawMessage) error {
		var machine records.Machine
		err := json.Unmarshal(v, &machine)
		// Whatever is unreadable about it, the machine may hold tasks.
		p.scheduler.LoadMachine(name, machine, now)
		return err
	})
}

// LoadWatermark takes in a page of watermarks. One that cannot be read may stand for any task.
func (p *Persistence) LoadWatermark(row records.KeyValue) {
	readable := load(records.PrefixWatermarks, p.watermarks, row, func(id string, v json.RawMessage) error {
		n, err := records.ParseWatermark(v)
		if err != nil {
			p.watermarkUnreadable = true
			return err
		}
		// Of two pages that hold the same job one may be older.
		p.loadedWatermarks[id] = max(p.loadedWatermarks[id], n)
		return nil
	})
	p.watermarkUnreadable = p.watermarkUnreadable || !readable
}

// FinishLoading ends the reading. complete reports whether earlier leaders dispatched nothing beyond
// the watermarks.
func (p *Persistence) FinishLoading(complete bool) {
	for id := range p.finished.Pages().IDs() {
		if job, _, _ := records.ParsePartID(id); p.scheduler.jobs[job] == nil {
			p.finished.Pages().Remove(id)
		}
	}
	if !p.scheduler.settings.Watermarks {
		return
	}
	for id := range p.loadedWatermarks {
		if p.scheduler.jobs[id] == nil {
			p.watermarks.Remove(id)
		}
	}
	p.scheduler.LoadWatermarks(p.loadedWatermarks, complete && !p.watermarkUnreadable)
}

// load takes in a page, and reports whether it is readable as a whole.
func load(prefix string, pages *records.PagedRecords, row records.KeyValue, each func(id string, v json.RawMessage) error) bool {
	entries, err := records.Entries(prefix, row)
	if err != nil {
		slog.Error("unreadable record", "key", row.Key, "err", err)
		return false
	}
	pages.Load(row.Key, entries, len(row.Value)).Revision = row.Revision
	for id, v := range entries {
		if err := each(id, v); err != nil {
			slog.Error("unreadable record", "key", row.Key, "id", id, "err", err)
		}
	}
	return true
}

// RequestWatermark notes that a task waits for its watermark.
func (p *Persistence) RequestWatermark() { p.watermarkNeeded = true }

// HalveCommits makes commits half as large: the store took one for too large.
func (p *Persistence) HalveCommits() { p.maxOps = max(p.maxOps/2, 2) }

const (
	// maxCommitBytes keeps a commit well below the service's 64 KiB.
	maxCommitBytes = 40 << 10
	// bytesPerOp is what a change takes beside the entries of a page.
	bytesPerOp = 300
)

// writeBatch is the writes of one commit as they are gathered.
type writeBatch struct {
	writes     []PendingWrite
	ops, bytes int
	maxOps     int
}

// fits reports whether so many more changes fit, and counts them if they do. What is gathered first
// fits always.
func (b *writeBatch) fits(ops, bytes int) bool {
	if len(b.writes) > 0 && (b.ops+ops > b.maxOps || b.bytes+bytes > maxCommitBytes) {
		return false
	}
	b.ops, b.bytes = b.ops+ops, b.bytes+bytes
	return true
}

func (b *writeBatch) add(w PendingWrite) { b.writes = append(b.writes, w) }

// NextWrites gathers what is to be stored next, no more than goes into one commit: jobs to be closed
// first, then watermarks and machines about to be used, then finished tasks and drains. What does not
// fit waits for the next commit, and what became more urgent meanwhile goes before it. attestation
// makes the record that watermarks are complete, if it is time for one.
func (p *Persistence) NextWrites(now time.Time, attestation func(now time.Time) *watermark.StoredAttestation) []PendingWrite {
	b := &writeBatch{maxOps: p.maxOps}
	// Each gathers one kind of record, and reports whether all of it fits.
	kinds := []func() bool{
		func() bool { return p.takeCancelledDependents(b) },
		func() bool { return p.takeCompleteJobs(b, now) },
		func() bool { return p.takeAttestation(b, attestation(now)) },
		func() bool { return p.takeWatermarks(b, now) },
		func() bool { p.gatherMachines(); return p.takeMachines(b) },
		func() bool { p.gatherFinished(now); return p.takeFinished(b) },
		func() bool { return p.takeDrains(b, now) },
	}
	for _, take := range kinds {
		if !take() {
			return b.writes
		}
	}
	if len(b.writes) == 0 {
		p.emptyReadOnlyPages()
		p.takeMachines(b)
	}
	return b.writes
}

// takeCancelledDependents closes the jobs behind a cancelled one. They go first: their users wait for
// it, and it is little.
func (p *Persistence) takeCancelledDependents(b *writeBatch) bool {
	s := p.scheduler
	for _, id := range s.dependencies.ToCancel() {
		j := s.jobs[id]
		if j == nil || j.closing {
			continue
		}
		if !b.fits(2, 2*bytesPerOp) {
			return false
		}
		slog.Info("job cancelled", "job", id, "reason", "a dependency is cancelled", "term", s.term)
		b.add(s.closeJobWrite(j, records.ClosedJob{Status: records.StatusCancelled}))
	}
	return true
}

// takeCompleteJobs closes the jobs of which every task is done.
func (p *Persistence) takeCompleteJobs(b *writeBatch, now time.Time) bool {
	for j := range p.scheduler.complete {
		if j.closing {
			continue
		}
		if !b.fits(2, 2*bytesPerOp) {
			return false
		}
		b.add(p.scheduler.closeJobWrite(j, records.ClosedJob{Status: records.StatusDone, AtMS: now.UnixMilli()}))
	}
	return true
}

// takeAttestation stores that watermarks are complete; nil: it is not time for that.
func (p *Persistence) takeAttestation(b *writeBatch, attestation *watermark.StoredAttestation) bool {
	if attestation == nil {
		return true
	}
	if !b.fits(1, records.EncodedSize(attestation)) {
		return false
	}
	b.add(PendingWrite{
		Ops:      []records.Op{{Write: records.KeyWatermarksComplete, Value: attestation}},
		OnStored: func(uint64) {},
	})
	return true
}

// gatherMachines puts the machines about to be used on record, and takes those that are gone off it.
func (p *Persistence) gatherMachines() {
	s := p.scheduler
	for _, m := range s.fleet.Sorted() {
		if !m.Up || m.Recorded || m.Recording || m.Returning || m.LeaseExpired || !m.Reconciled && m.Empty() {
			continue
		}
		m.Recording = true
		raw, err := json.Marshal(records.Machine{Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Incarnation: m.Incarnation})
		if err != nil {
			slog.Error("unwritable record", "machine", m.Name, "err", err)
			continue
		}
		p.machines.Put(m.Name, raw, len(raw))
	}
	for _, name := range s.removedMachines {
		if s.fleet.Machines[name] == nil {
			p.machines.Remove(name)
		}
	}
	s.removedMachines = s.removedMachines[:0]
}

// takeMachines stores the pages of machines that have changed.
func (p *Persistence) takeMachines(b *writeBatch) bool {
	return p.takePages(p.machines, b, func(ids []string, entries map[string]json.RawMessage) pageResult {
		return pageResult{
			stored: func(uint64) { p.machinesStored(ids) },
			moved: func(ids []string) {
				for _, id := range ids {
					if p.scheduler.fleet.Machines[id] != nil {
						p.machines.Put(id, entries[id], len(entries[id]))
					}
				}
			},
		}
	})
}

func (p *Persistence) machinesStored(names []string) {
	for _, name := range names {
		p.machines.DropReadOnly(name)
		if m := p.scheduler.fleet.Machines[name]; m != nil {
			m.Recorded, m.Recording = true, false
		}
	}
}

// emptyReadOnlyPages moves the machines of pages that are too large for the limits to come into
// others that are not. Both versions read a machine that is in two pages.
func (p *Persistence) emptyReadOnlyPages() {
	for name, raw := range p.machines.ReadOnly() {
		if !p.machines.Has(name) {
			p.machines.Put(name, raw, len(raw))
		}
	}
}

// gatherFinished puts finished tasks on record, once in a heartbeat interval, and takes the records of
// closed jobs off it.
func (p *Persistence) gatherFinished(now time.Time) {
	s := p.scheduler
	p.finished.Close(s.closedJobs)
	p.closedJobs = append(p.closedJobs, s.closedJobs...)
	s.closedJobs = s.closedJobs[:0]
	if now.Sub(p.finishedAt) >= s.settings.HeartbeatInterval {
		p.finished.Gather()
		p.dropWatermarks()
		p.finishedAt = now
	}
}

// takeFinished stores the pages of finished tasks that have changed.
func (p *Persistence) takeFinished(b *writeBatch) bool {
	return p.takePages(p.finished.Pages(), b, func(ids []string, _ map[string]json.RawMessage) pageResult {
		return pageResult{
			stored: p.finished.Stored(ids),
			moved:  p.finished.Rewrite,
		}
	})
}

// pageResult is what follows from the write of a page.
type pageResult struct {
	stored func(revision uint64)
	moved  func(ids []string) // for the records that need another page, as the store refused this one as too large
}

// takePages stores the pages that have changed, and reports whether all fit. written is called with
// the records of each page that is.
func (p *Persistence) takePages(pages *records.PagedRecords, b *writeBatch, written func(ids []string, entries map[string]json.RawMessage) pageResult) bool {
	for _, page := range pages.Dirty() {
		if !b.fits(1, p.valueBytes) {
			return false
		}
		op, _, ids := pages.TakeWrite(page)
		entries, _ := op.Value.(map[string]json.RawMessage)
		result := written(ids, entries)
		b.add(PendingWrite{
			Ops:          []records.Op{op},
			OwnKey:       page.Key,
			OwnRevision:  &page.Revision,
			OnUnanswered: page.NoteUnanswered,
			OnStored:     result.stored,
			OnTooLarge:   func() { result.moved(pages.NoteTooLarge(page)) },
		})
	}
	return true
}

// takeWatermarks stores the pages of watermarks that have changed. Watermarks are raised ahead of
// need, so they wait for each other, unless a task waits.
func (p *Persistence) takeWatermarks(b *writeBatch, now time.Time) bool {
	s := p.scheduler
	if !p.watermarkNeeded && now.Sub(p.watermarksAt) < s.settings.HeartbeatInterval/4 {
		return true
	}
	p.watermarkNeeded, p.watermarksAt = false, now
	for j := range s.watermarks.raised {
		delete(s.watermarks.raised, j)
		if !j.closed {
			v := records.FormatWatermark(j.watermark.Requested)
			p.watermarks.Put(j.ID, v, len(v))
		}
	}
	return p.takePages(p.watermarks, b, func(ids []string, entries map[string]json.RawMessage) pageResult {
		return pageResult{
			stored: func(uint64) { p.watermarksStored(ids, entries) },
			moved:  p.requestWatermarksAgain,
		}
	})
}

func (p *Persistence) watermarksStored(ids []string, entries map[string]json.RawMessage) {
	for _, id := range ids {
		p.watermarks.DropReadOnly(id)
		j := p.scheduler.jobs[id]
		if n, err := records.ParseWatermark(entries[id]); err == nil && j != nil {
			j.watermark.NoteStored(n)
		}
	}
}

// requestWatermarksAgain has the watermarks of jobs stored as they are requested by then. Without
// this, one that rose while its page was on its way would be stored as it was before.
func (p *Persistence) requestWatermarksAgain(ids []string) {
	for _, id := range ids {
		if j := p.scheduler.jobs[id]; j != nil {
			p.scheduler.watermarks.raised[j] = struct{}{}
		}
	}
	p.watermarkNeeded = true
}

// dropWatermarks removes the watermarks of closed jobs.
func (p *Persistence) dropWatermarks() {
	for _, id := range p.closedJobs {
		p.watermarks.Remove(id)
	}
	p.closedJobs = p.closedJobs[:0]
}

// HasUnstoredJobs reports whether a job is complete but not yet stored as done.
func (s *Scheduler) HasUnstoredJobs() bool {
	for j := range s.complete {
		if !j.closing {
			return true
		}
	}
	return false
}
