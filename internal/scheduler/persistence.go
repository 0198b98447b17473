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
	// GuardKey is the key of the compare that guards this change alone: where that does not hold, the
	// others of the commit are still to be stored.
	GuardKey   string
	OnConflict func() // called when the compare of GuardKey did not hold
	// GuardRevision is the revision of a key that only the leader writes, 0 where it is absent, and is
	// kept up to date by whoever stores the write. It is set in place of OnConflict: the key is read
	// then. Without it, a write without an answer could be carried out after newer ones of the same
	// term, which the compare of the leader's key alone would let pass.
	GuardRevision *uint64
	// OnUnanswered is called when a first write has had no answer.
	OnUnanswered func()
	// OnTooLarge is called when the store will never take the write, as it is too large.
	OnTooLarge func()
}

// Persistence is what a term has in the store beside open jobs: machines that may hold tasks,
// finished tasks, watermarks and the states of drains. It decides what to store next; its owner
// stores it, and holds the lock of the scheduler in every call.
type Persistence struct {
	scheduler           *Scheduler
	machines            *records.PagedRecords
	watermarks          *records.PagedRecords
	finished            *finishedtasks.Tracker
	maxOps              int       // changes in one commit
	maxValueBytes       int       // the largest value
	lastFinishedUpdate  time.Time // when finished tasks were last gathered
	lastWatermarkUpdate time.Time // when watermarks were last gathered
	watermarkNeeded     bool      // a task waits for its watermark
	closedJobs          []string  // jobs whose watermarks are of no use any more

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
		finished:         finishedtasks.New(s.settings.finishedTaskLayout(), pages(records.PrefixFinishedTasks), openJobs{s}),
		maxOps:           maxOps,
		maxValueBytes:    int(valueKB * 1024),
		loadedWatermarks: map[string]int{},
	}
}

// LoadDonePage takes in a page of finished tasks of jobs that are known.
func (p *Persistence) LoadDonePage(row records.KeyValue) {
	loadPage(records.PrefixFinishedTasks, p.finished.Pages(), row, func(id string, v json.RawMessage) error {
		job, chunk, ok := records.ParsePartID(id)
		var ranges string
		if !ok || json.Unmarshal(v, &ranges) != nil {
			return errors.New("unreadable")
		}
		if j := p.scheduler.jobs[job]; j != nil {
			if err := p.finished.Load(id, openJob{j}, chunk, ranges); err != nil {
				return err
			}
		}
		return p.scheduler.LoadDone(job, chunk, ranges)
	})
}

// LoadMachinePage takes in a page of machines that an earlier term may have used.
func (p *Persistence) LoadMachinePage(row records.KeyValue, now time.Time) {
	loadPage(records.PrefixMachines, p.machines, row, func(name string, v json.RawMessage) error {
		var machine records.Machine
		err := json.Unmarshal(v, &machine)
		// Whatever is unreadable about it, the machine may hold tasks.
		p.scheduler.LoadMachine(name, machine, now)
		return err
	})
}

// LoadWatermarkPage takes in a page of watermarks. One that cannot be read may stand for any task.
func (p *Persistence) LoadWatermarkPage(row records.KeyValue) {
	readable := loadPage(records.PrefixWatermarks, p.watermarks, row, func(id string, v json.RawMessage) error {
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

// loadPage takes in a page, and reports whether it is readable as a whole.
func loadPage(prefix string, pages *records.PagedRecords, row records.KeyValue, each func(id string, v json.RawMessage) error) bool {
	entries, err := records.DecodeEntries(prefix, row)
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

// HalveCommitSize makes commits half as large: the store took one for too large.
func (p *Persistence) HalveCommitSize() { p.maxOps = max(p.maxOps/2, 2) }

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

// tryReserve reports whether so many more changes fit, and counts them if they do. What is gathered first
// fits always.
func (b *writeBatch) tryReserve(ops, bytes int) bool {
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
		func() bool { return p.appendCancelledDependents(b) },
		func() bool { return p.appendCompleteJobs(b, now) },
		func() bool { return p.appendAttestation(b, attestation(now)) },
		func() bool { return p.appendWatermarkPages(b, now) },
		func() bool { p.updateMachinePages(); return p.appendMachinePages(b) },
		func() bool { p.updateFinishedPages(now); return p.appendFinishedPages(b) },
		func() bool { return p.addDrainWrites(b, now) },
	}
	for _, take := range kinds {
		if !take() {
			return b.writes
		}
	}
	if len(b.writes) == 0 {
		p.emptyReadOnlyPages()
		p.appendMachinePages(b)
	}
	return b.writes
}

// appendCancelledDependents closes the jobs behind a cancelled one. They go first: their users wait for
// it, and it is little.
func (p *Persistence) appendCancelledDependents(b *writeBatch) bool {
	s := p.scheduler
	for _, id := range s.dependencies.ToCancel() {
		j := s.jobs[id]
		if j == nil || j.closing {
			continue
		}
		if !b.tryReserve(2, 2*bytesPerOp) {
			return false
		}
		slog.Info("job cancelled", "job", id, "reason", "a dependency is cancelled", "term", s.term)
		b.add(s.closeJobWrite(j, records.ClosedJob{Status: records.StatusCancelled}))
	}
	return true
}

// appendCompleteJobs closes the jobs of which every task is done.
func (p *Persistence) appendCompleteJobs(b *writeBatch, now time.Time) bool {
	for j := range p.scheduler.completeJobs {
		if j.closing {
			continue
		}
		if !b.tryReserve(2, 2*bytesPerOp) {
			return false
		}
		b.add(p.scheduler.closeJobWrite(j, records.ClosedJob{Status: records.StatusDone, AtMS: now.UnixMilli()}))
	}
	return true
}

// appendAttestation stores that watermarks are complete; nil: it is not time for that.
func (p *Persistence) appendAttestation(b *writeBatch, attestation *watermark.StoredAttestation) bool {
	if attestation == nil {
		return true
	}
	if !b.tryReserve(1, records.EncodedSize(attestation)) {
		return false
	}
	b.add(PendingWrite{
		Ops:      []records.Op{{Write: records.KeyWatermarksComplete, Value: attestation}},
		OnStored: func(uint64) {},
	})
	return true
}

// updateMachinePages puts the machines about to be used on record, and takes those that are gone off it.
func (p *Persistence) updateMachinePages() {
	s := p.scheduler
	for _, m := range s.fleet.Sorted() {
		if !m.HasStatus || m.Recorded || m.Recording || m.Returning || m.LeaseExpired || !m.Reconciled && m.Empty() {
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

// appendMachinePages stores the pages of machines that have changed.
func (p *Persistence) appendMachinePages(b *writeBatch) bool {
	return p.appendPages(p.machines, b, func(ids []string, entries map[string]json.RawMessage) pageCallbacks {
		return pageCallbacks{
			onStored: func(uint64) { p.machinesStored(ids) },
			onMoved: func(ids []string) {
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
		p.machines.RemoveReadOnlyCopies(name)
		if m := p.scheduler.fleet.Machines[name]; m != nil {
			m.Recorded, m.Recording = true, false
		}
	}
}

// emptyReadOnlyPages moves the machines of pages that are too large for the limits to come into
// others that are not. Both versions read a machine that is in two pages.
func (p *Persistence) emptyReadOnlyPages() {
	for name, raw := range p.machines.ReadOnlyEntries() {
		if !p.machines.HasWritable(name) {
			p.machines.Put(name, raw, len(raw))
		}
	}
}

// updateFinishedPages puts finished tasks on record, once in a heartbeat interval, and takes the records of
// closed jobs off it.
func (p *Persistence) updateFinishedPages(now time.Time) {
	s := p.scheduler
	p.finished.RemoveJobs(s.closedJobs)
	p.closedJobs = append(p.closedJobs, s.closedJobs...)
	s.closedJobs = s.closedJobs[:0]
	if now.Sub(p.lastFinishedUpdate) >= s.settings.HeartbeatInterval {
		p.finished.WriteDirtyParts()
		p.dropWatermarks()
		p.lastFinishedUpdate = now
	}
}

// appendFinishedPages stores the pages of finished tasks that have changed.
func (p *Persistence) appendFinishedPages(b *writeBatch) bool {
	return p.appendPages(p.finished.Pages(), b, func(ids []string, _ map[string]json.RawMessage) pageCallbacks {
		return pageCallbacks{
			onStored: p.finished.OnStored(ids),
			onMoved:  p.finished.Rewrite,
		}
	})
}

// pageCallbacks is what follows from the write of a page.
type pageCallbacks struct {
	onStored func(revision uint64)
	onMoved  func(ids []string) // for the records that need another page, as the store refused this one as too large
}

// appendPages stores the pages that have changed, and reports whether all fit. written is called with
// the records of each page that is.
func (p *Persistence) appendPages(pages *records.PagedRecords, b *writeBatch, written func(ids []string, entries map[string]json.RawMessage) pageCallbacks) bool {
	for _, page := range pages.DirtyPages() {
		if !b.tryReserve(1, p.maxValueBytes) {
			return false
		}
		op, _, ids := pages.PrepareWrite(page)
		entries, _ := op.Value.(map[string]json.RawMessage)
		result := written(ids, entries)
		b.add(PendingWrite{
			Ops:           []records.Op{op},
			GuardKey:      page.Key,
			GuardRevision: &page.Revision,
			OnUnanswered:  page.MarkFirstWritePending,
			OnStored:      result.onStored,
			OnTooLarge:    func() { result.onMoved(pages.MarkTooLarge(page)) },
		})
	}
	return true
}

// appendWatermarkPages stores the pages of watermarks that have changed. Watermarks are raised ahead of
// need, so they wait for each other, unless a task waits.
func (p *Persistence) appendWatermarkPages(b *writeBatch, now time.Time) bool {
	s := p.scheduler
	if !p.watermarkNeeded && now.Sub(p.lastWatermarkUpdate) < s.settings.HeartbeatInterval/4 {
		return true
	}
	p.watermarkNeeded, p.lastWatermarkUpdate = false, now
	for j := range s.watermarks.raised {
		delete(s.watermarks.raised, j)
		if !j.closed {
			v := records.FormatWatermark(j.watermark.Requested)
			p.watermarks.Put(j.ID, v, len(v))
		}
	}
	return p.appendPages(p.watermarks, b, func(ids []string, entries map[string]json.RawMessage) pageCallbacks {
		return pageCallbacks{
			onStored: func(uint64) { p.watermarksStored(ids, entries) },
			onMoved:  p.requestWatermarksAgain,
		}
	})
}

func (p *Persistence) watermarksStored(ids []string, entries map[string]json.RawMessage) {
	for _, id := range ids {
		p.watermarks.RemoveReadOnlyCopies(id)
		j := p.scheduler.jobs[id]
		if n, err := records.ParseWatermark(entries[id]); err == nil && j != nil {
			j.watermark.RecordStored(n)
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
	for j := range s.completeJobs {
		if !j.closing {
			return true
		}
	}
	return false
}
