package scheduler

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"drumpick/internal/finishedtasks"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"
	"drumpick/internal/watermark"
)

// PendingWrite is a set of operations that are stored together, with callbacks for the result. The
// callbacks are called with the leader's lock on the scheduler held.
type PendingWrite struct {
	Ops      []records.Op
	Compares []records.Compare
	OnStored func(revision uint64) // called with the store's revision after the write
	// GuardKey is the key of the compare that guards only this write: if the compare fails, the other
	// writes of the commit still have to be stored.
	GuardKey   string
	OnConflict func() // called when the compare of GuardKey failed
	// GuardRevision is the revision of GuardKey if only the leader writes that key, 0 if the key is
	// absent. It is set instead of Compares and OnConflict: package leader compares with it,
	// updates it after each write, and reads the key on a conflict. Without this compare, an
	// unanswered write could be applied after newer writes of the same term; the compare of the
	// leader's key does not prevent that.
	GuardRevision *uint64
	// OnUnanswered is called when the store did not answer a write that creates GuardKey: the write
	// may still be applied. nil: ignored.
	OnUnanswered func()
	// OnTooLarge is called when the store rejects the write as too large; it will not be retried. nil:
	// the write is abandoned.
	OnTooLarge func()
}

// Persistence decides which records of a term to store next; package leader stores them. The
// records are closed jobs, machines that may hold tasks, finished tasks, watermarks, attestations and
// drain states. The caller of any method except HalveCommitSize must hold the leader's lock on the
// scheduler.
type Persistence struct {
	scheduler           *Scheduler
	machines            *records.PagedRecords
	watermarks          *records.PagedRecords
	finished            *finishedtasks.Tracker
	maxOps              int       // maximum number of operations in one commit
	maxValueBytes       int       // maximum size of a value in the store
	lastFinishedUpdate  time.Time // when the pages of finished tasks were last updated
	lastWatermarkUpdate time.Time // when the pages of watermarks were last updated
	watermarkNeeded     bool      // a task waits for a stored watermark
	closedJobs          []string  // closed jobs whose watermarks can be removed

	loadedWatermarks    map[string]int // by job id, as read at the failover
	watermarkUnreadable bool           // a watermark or a page of them could not be decoded
}

// NewPersistence returns the persistence of a new term, without loaded records. The store accepts
// values of up to valueKB KiB and commits of up to maxOps operations.
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

// LoadDonePage loads a page of finished tasks. All open jobs must have been added before (AddJob).
func (p *Persistence) LoadDonePage(record records.KeyValue) {
	loadPage(records.PrefixFinishedTasks, p.finished.Pages(), record, func(id string, v jsoncodec.RawMessage) error {
		job, chunk, ok := records.ParsePartID(id)
		var ranges string
		if !ok || jsoncodec.Unmarshal(v, &ranges) != nil {
			return errors.New("bad id, or value is not a JSON string")
		}
		if j := p.scheduler.jobs[job]; j != nil {
			if err := p.finished.Load(id, openJob{j}, chunk, ranges); err != nil {
				return err
			}
		}
		return p.scheduler.LoadDone(job, chunk, ranges)
	})
}

// LoadMachinePage loads a page of machines that an earlier term may have used.
func (p *Persistence) LoadMachinePage(record records.KeyValue, now time.Time) {
	loadPage(records.PrefixMachines, p.machines, record, func(name string, v jsoncodec.RawMessage) error {
		var machine records.Machine
		err := jsoncodec.Unmarshal(v, &machine)
		// The machine may hold tasks even if its record is unreadable.
		p.scheduler.LoadMachine(name, machine, now)
		return err
	})
}

// LoadWatermarkPage loads a page of watermarks. An unreadable watermark may cover any task, so the
// loaded watermarks are then incomplete.
func (p *Persistence) LoadWatermarkPage(record records.KeyValue) {
	readable := loadPage(records.PrefixWatermarks, p.watermarks, record, func(id string, v jsoncodec.RawMessage) error {
		n, err := records.ParseWatermark(v)
		if err != nil {
			p.watermarkUnreadable = true
			return err
		}
		// If two pages contain the same job, one may be older.
		p.loadedWatermarks[id] = max(p.loadedWatermarks[id], n)
		return nil
	})
	p.watermarkUnreadable = p.watermarkUnreadable || !readable
}

// FinishLoading is called when all pages are loaded. It removes the finished tasks of jobs that are
// not open. If watermarks are enabled, it also removes the watermarks of such jobs, and passes all
// loaded ones to the scheduler. complete means that earlier leaders dispatched no task beyond these.
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

// loadPage adds a stored page to pages and calls loadEntry with every entry of the page. It reports
// whether the page could be decoded; errors of loadEntry are only logged.
func loadPage(prefix string, pages *records.PagedRecords, record records.KeyValue, loadEntry func(id string, v jsoncodec.RawMessage) error) bool {
	entries, err := records.DecodeEntries(prefix, record)
	if err != nil {
		slog.Error("unreadable record", "key", record.Key, "err", err)
		return false
	}
	pages.Load(record.Key, entries, len(record.Value)).Revision = record.Revision
	for id, v := range entries {
		if err := loadEntry(id, v); err != nil {
			slog.Error("unreadable record", "key", record.Key, "id", id, "err", err)
		}
	}
	return true
}

// RequestWatermark makes the next commit store raised watermarks without delay, because a task waits
// for one.
func (p *Persistence) RequestWatermark() { p.watermarkNeeded = true }

// HalveCommitSize halves the maximum number of operations in a commit, to no less than 2, after the
// store has rejected a commit as too large. Only the goroutine that calls NextWrites may call it.
func (p *Persistence) HalveCommitSize() { p.maxOps = max(p.maxOps/2, 2) }

const (
	// maxCommitBytes keeps a commit well below the store's limit of 64 KiB.
	maxCommitBytes = 40 << 10
	// bytesPerOp is the assumed size of an operation that writes no page.
	bytesPerOp = 300
)

// writeBatch collects the writes of one commit.
type writeBatch struct {
	writes     []PendingWrite
	ops, bytes int
	maxOps     int
}

// tryReserve reserves room in the batch for the given numbers of operations and bytes, and reports
// whether they fit. They always fit into an empty batch.
func (b *writeBatch) tryReserve(ops, bytes int) bool {
	if len(b.writes) > 0 && (b.ops+ops > b.maxOps || b.bytes+bytes > maxCommitBytes) {
		return false
	}
	b.ops, b.bytes = b.ops+ops, b.bytes+bytes
	return true
}

func (b *writeBatch) add(w PendingWrite) { b.writes = append(b.writes, w) }

// NextWrites returns the writes of the next commit, nil if there is nothing to store: first the
// jobs to be closed, then the attestation, watermarks and machines that are used, then finished tasks
// and drains, and if there are none of these, copies of machines from read-only pages.
// Writes that do not fit wait for the next commit, which is built in the same order. attestation
// returns the record that the watermarks are complete, or nil if none is due.
func (p *Persistence) NextWrites(now time.Time, attestation func(now time.Time) *watermark.StoredAttestation) []PendingWrite {
	b := &writeBatch{maxOps: p.maxOps}
	// Each step appends the writes of one kind of record, and reports whether all of them fit.
	steps := []func() bool{
		func() bool { return p.appendCancelledDependents(b) },
		func() bool { return p.appendCompleteJobs(b, now) },
		func() bool { return p.appendAttestation(b, attestation(now)) },
		func() bool { return p.appendWatermarkPages(b, now) },
		func() bool { p.updateMachinePages(); return p.appendMachinePages(b) },
		func() bool { p.updateFinishedPages(now); return p.appendFinishedPages(b) },
		func() bool { return p.appendDrainWrites(b, now) },
	}
	for _, step := range steps {
		if !step() {
			return b.writes
		}
	}
	if len(b.writes) == 0 {
		p.emptyReadOnlyPages()
		p.appendMachinePages(b)
	}
	return b.writes
}

// appendCancelledDependents appends the writes that close the jobs which depend on a cancelled job.
// These writes precede all others because they are small and users wait for them.
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

// appendCompleteJobs appends the writes that close the jobs whose tasks are all done.
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

// appendAttestation appends the write of an attestation that watermarks are complete; nil: none is
// due.
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

// updateMachinePages adds the machines that hold or may be given tasks to the machine pages, and
// removes the machines that are gone.
func (p *Persistence) updateMachinePages() {
	s := p.scheduler
	for _, m := range s.fleet.Sorted() {
		if !m.HasStatus || m.Recorded || m.Recording || m.Returning || m.LeaseExpired || !m.Reconciled && m.Empty() {
			continue
		}
		m.Recording = true
		raw, err := jsoncodec.Marshal(records.Machine{Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Incarnation: m.Incarnation})
		if err != nil {
			slog.Error("machine record cannot be encoded", "machine", m.Name, "err", err)
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

// appendMachinePages appends the writes of changed machine pages to a batch, and reports whether all
// fit.
func (p *Persistence) appendMachinePages(b *writeBatch) bool {
	return p.appendPages(p.machines, b, func(ids []string, entries map[string]jsoncodec.RawMessage) pageCallbacks {
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

// emptyReadOnlyPages copies the machines of a page that exceeds the store's present or upcoming
// limits to writable pages. Until the copies are stored, the machines are in two pages, which all
// versions can read.
func (p *Persistence) emptyReadOnlyPages() {
	for name, raw := range p.machines.ReadOnlyEntries() {
		if !p.machines.HasWritable(name) {
			p.machines.Put(name, raw, len(raw))
		}
	}
}

// updateFinishedPages removes the finished tasks of closed jobs from the pages. Once per heartbeat
// interval, it also adds newly finished tasks and removes the watermarks of closed jobs.
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

// appendFinishedPages appends the writes of changed pages of finished tasks to a batch, and reports
// whether all fit.
func (p *Persistence) appendFinishedPages(b *writeBatch) bool {
	return p.appendPages(p.finished.Pages(), b, func(ids []string, _ map[string]jsoncodec.RawMessage) pageCallbacks {
		return pageCallbacks{
			onStored: p.finished.OnStored(ids),
			onMoved:  p.finished.Rewrite,
		}
	})
}

// pageCallbacks are the callbacks for the write of a page.
type pageCallbacks struct {
	onStored func(revision uint64)
	onMoved  func(ids []string) // called if the store rejects the page as too large, with the ids to put into other pages
}

// appendPages appends the writes of changed pages to a batch, and reports whether all fit. callbacks
// returns the callbacks for the write of a page with the given ids and entries.
func (p *Persistence) appendPages(pages *records.PagedRecords, b *writeBatch, callbacks func(ids []string, entries map[string]jsoncodec.RawMessage) pageCallbacks) bool {
	for _, page := range pages.DirtyPages() {
		if !b.tryReserve(1, p.maxValueBytes) {
			return false
		}
		op, _, ids := pages.PrepareWrite(page)
		entries, _ := op.Value.(map[string]jsoncodec.RawMessage)
		handlers := callbacks(ids, entries)
		b.add(PendingWrite{
			Ops:           []records.Op{op},
			GuardKey:      page.Key,
			GuardRevision: &page.Revision,
			OnUnanswered:  page.MarkFirstWritePending,
			OnStored:      handlers.onStored,
			OnTooLarge:    func() { handlers.onMoved(pages.MarkTooLarge(page)) },
		})
	}
	return true
}

// appendWatermarkPages appends the writes of changed watermark pages to a batch, and reports whether
// all fit. Watermarks are raised ahead of need, so they are stored together, once per quarter of a
// heartbeat interval, unless a task waits for one.
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
	return p.appendPages(p.watermarks, b, func(ids []string, entries map[string]jsoncodec.RawMessage) pageCallbacks {
		return pageCallbacks{
			onStored: func(uint64) { p.watermarksStored(ids, entries) },
			onMoved:  p.requestWatermarksAgain,
		}
	})
}

func (p *Persistence) watermarksStored(ids []string, entries map[string]jsoncodec.RawMessage) {
	for _, id := range ids {
		p.watermarks.RemoveReadOnlyCopies(id)
		j := p.scheduler.jobs[id]
		if n, err := records.ParseWatermark(entries[id]); err == nil && j != nil {
			j.watermark.RecordStored(n)
		}
	}
}

// requestWatermarksAgain marks the watermarks of the jobs with the given ids to be stored at once,
// with the latest requested values. Otherwise a watermark that was raised while its page was being
// written would be stored with its old value.
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

// HasUnstoredJobs reports whether any job is complete and its closed record is not yet being stored.
func (s *Scheduler) HasUnstoredJobs() bool {
	for j := range s.completeJobs {
		if !j.closing {
			return true
		}
	}
	return false
}
