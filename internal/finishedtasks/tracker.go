// Package finishedtasks tracks the finished tasks of open jobs and encodes them as records. It has no
// clock and no I/O: the caller stores the pages and serializes the calls.
package finishedtasks

import (
	"iter"
	"math/bits"
	"slices"

	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"
)

// growthBytes is the space that a record gets for growth, in addition to twice its size. That usually
// suffices because the tasks of a job usually finish in order and thus form few ranges.
const growthBytes = 48

// Job is an open job.
type Job interface {
	JobID() string
	TaskCount() int
	// IsDone reports whether a task is finished.
	IsDone(task int) bool
	// MarkStored records that the result of a finished task is stored.
	MarkStored(task int)
	// DirtyParts is the set of parts whose records must be written; the tracker updates it.
	DirtyParts() map[int]bool
}

// Jobs provides the open jobs.
type Jobs interface {
	// OpenJob returns an open job by id, and whether it exists.
	OpenJob(id string) (Job, bool)
	// OpenJobs iterates over all open jobs.
	OpenJobs() iter.Seq[Job]
}

// Tracker tracks the finished tasks of open jobs and writes them to records. A record holds one part
// of a chunk. A part is so small that its worst pattern also fits into a value under an upcoming lower
// limit of the store. Each part has a record id of its own, and readers of every version merge the
// records of a chunk. A record under the chunk's own id, as earlier versions write it, covers the
// whole chunk and is never overwritten with a part.
type Tracker struct {
	layout   Layout
	pages    *records.PagedRecords
	openJobs Jobs
	jobs     map[string]*jobRecords // by job id
	parts    map[string]jobPart     // by record id
}

// jobPart identifies a part of a job.
type jobPart struct {
	job  string
	part int
}

// jobRecords is the state of the records of a job.
type jobRecords struct {
	ids        map[int]string  // record id by part
	usedIDs    map[string]bool // all record ids ever used
	written    map[int]bool    // parts whose record was written in this term, and is therefore complete
	stored     map[int]bool    // parts whose complete record has been stored
	superseded []supersededRecord
}

// supersededRecord is a record that is removed once all parts of which it holds tasks are stored in
// other records.
type supersededRecord struct {
	id                  string
	firstPart, lastPart int // inclusive; -1: it holds no tasks of the job, and is removed with the job
}

// New returns a tracker without records, which writes to pages.
func New(layout Layout, pages *records.PagedRecords, openJobs Jobs) *Tracker {
	return &Tracker{layout: layout, pages: pages, openJobs: openJobs, jobs: map[string]*jobRecords{}, parts: map[string]jobPart{}}
}

// Pages returns the pages of the records.
func (t *Tracker) Pages() *records.PagedRecords { return t.pages }

// recordsOf returns the state of a job's records, which it creates if there is none.
func (t *Tracker) recordsOf(job string) *jobRecords {
	r := t.jobs[job]
	if r == nil {
		r = &jobRecords{ids: map[int]string{}, usedIDs: map[string]bool{}, written: map[int]bool{}, stored: map[int]bool{}}
		t.jobs[job] = r
	}
	return r
}

// idFitsPart reports whether a record id with the given number of leading zeros is valid for a part.
// If chunks have several parts, the id without zeros is reserved for records of earlier versions.
func (t *Tracker) idFitsPart(zeros, part int) bool {
	perChunk := t.layout.PartsPerChunk()
	return perChunk == 1 || zeros > 0 && (zeros-1)%perChunk == part%perChunk
}

// Load adds a stored record of an open job: ranges of finished tasks of a chunk. A writable record
// that holds tasks of a single part becomes the record of that part if the part has none yet and the
// id is valid for it; any other record is superseded. The parts of a read-only record become dirty.
// Load does not change the job's sets of tasks. An error means that the ranges are invalid.
func (t *Tracker) Load(id string, job Job, chunk int, ranges string) error {
	r := t.recordsOf(job.JobID())
	r.usedIDs[id] = true
	first, last := -1, -1
	err := records.ParseRanges(ranges, func(i int) {
		task := chunk*t.layout.ChunkTasks + i
		if task >= job.TaskCount() {
			return
		}
		part := t.layout.Part(task)
		if first < 0 {
			first = part
		}
		last = max(last, part)
	})
	if err != nil {
		return err
	}
	if first >= 0 && first == last && r.ids[first] == "" && t.pages.HasWritable(id) && t.idFitsPart(records.LeadingZeros(id), first) {
		r.ids[first], t.parts[id] = id, jobPart{job.JobID(), first}
		return nil
	}
	r.superseded = append(r.superseded, supersededRecord{id, first, last})
	if !t.pages.HasWritable(id) && first >= 0 {
		for part := first; part <= last; part++ {
			job.DirtyParts()[part] = true // so that the record's read-only page can be deleted
		}
	}
	return nil
}

// WriteDirtyParts writes the records of all dirty parts to the pages.
func (t *Tracker) WriteDirtyParts() {
	for job := range t.openJobs.OpenJobs() {
		dirty := job.DirtyParts()
		for part := range dirty {
			delete(dirty, part)
			t.writePart(job, part)
		}
	}
}

func (t *Tracker) writePart(job Job, part int) {
	chunk, from, to := t.layout.span(part, job.TaskCount())
	raw, err := jsoncodec.Marshal(records.FormatRanges(func(i int) bool {
		return i >= from && job.IsDone(chunk*t.layout.ChunkTasks+i)
	}, to))
	if err == nil {
		t.putRecord(job.JobID(), part, raw, min(records.ChunkBytes(to-from, t.layout.ChunkTasks), 2*len(raw)+growthBytes))
	}
}

// putRecord writes the record of a part. A record that has outgrown its page gets a new id, and the
// old record is removed once the new one is stored. If both had the same id, a controller of an
// earlier version that takes over in between could lose tasks: it keeps only the first of two records
// with the same id.
func (t *Tracker) putRecord(job string, part int, raw jsoncodec.RawMessage, maxBytes int) {
	r := t.recordsOf(job)
	for {
		id := r.ids[part]
		if id == "" {
			id = t.newID(job, part)
			r.ids[part], r.usedIDs[id], t.parts[id] = id, true, jobPart{job, part}
		}
		if t.pages.Put(id, raw, maxBytes) {
			r.written[part] = true
			return
		}
		r.superseded = append(r.superseded, supersededRecord{id, part, part})
		delete(r.ids, part)
		delete(r.stored, part)
	}
}

// newID returns an unused id for the record of a part. If chunks have several parts, the number of
// leading zeros of the chunk number identifies the part within the chunk.
func (t *Tracker) newID(job string, part int) string {
	chunk, perChunk := t.layout.chunk(part), t.layout.PartsPerChunk()
	zeros := 0
	if perChunk > 1 {
		zeros = 1 + part%perChunk
	}
	used := t.recordsOf(job).usedIDs
	id := records.PartID(job, chunk, zeros)
	for used[id] {
		zeros += perChunk
		id = records.PartID(job, chunk, zeros)
	}
	return id
}

// pendingPart is a part whose record is being stored, with the finished tasks that it holds.
type pendingPart struct {
	job  Job
	part int
	done []uint64 // bit set, counted from the first task of the part
}

// OnStored returns a callback that marks the tasks of the given records as stored that are finished
// now, except in dirty parts and in records that were replaced. The caller must call the callback
// once the records are stored.
func (t *Tracker) OnStored(ids []string) func(revision uint64) {
	var parts []pendingPart
	for _, id := range ids {
		p, known := t.parts[id]
		job, open := t.openJobs.OpenJob(p.job)
		if known && open && !job.DirtyParts()[p.part] && t.recordsOf(p.job).ids[p.part] == id {
			parts = append(parts, pendingPart{job, p.part, t.doneTasks(job, p.part)})
		}
	}
	return func(uint64) {
		for _, p := range parts {
			t.markStored(p)
		}
	}
}

// taskSpan returns the half-open range [first, end) of the tasks of a part of a job.
func (t *Tracker) taskSpan(job Job, part int) (first, end int) {
	chunk, from, to := t.layout.span(part, job.TaskCount())
	base := chunk * t.layout.ChunkTasks
	return base + from, base + to
}

// doneTasks returns the finished tasks of a part of a job as a bit set, counted from the part's first task.
func (t *Tracker) doneTasks(job Job, part int) []uint64 {
	first, end := t.taskSpan(job, part)
	done := make([]uint64, (max(end-first, 0)+63)/64)
	for task := first; task < end; task++ {
		if job.IsDone(task) {
			i := task - first
			done[i/64] |= 1 << (i % 64)
		}
	}
	return done
}

// markStored adds the finished tasks of a part to the stored tasks of its job, and removes records
// that are superseded by then.
func (t *Tracker) markStored(p pendingPart) {
	first, _ := t.taskSpan(p.job, p.part)
	for word, set := range p.done {
		for ; set != 0; set &= set - 1 {
			p.job.MarkStored(first + 64*word + bits.TrailingZeros64(set))
		}
	}
	// A loaded record that is stored only because another record of its page changed does not count:
	// it may hold fewer tasks than an older record of its part.
	if r := t.recordsOf(p.job.JobID()); r.written[p.part] {
		r.stored[p.part] = true
		t.removeSuperseded(r)
	}
}

// removeSuperseded removes the superseded records of a job whose parts are all stored.
func (t *Tracker) removeSuperseded(r *jobRecords) {
	r.superseded = slices.DeleteFunc(r.superseded, func(old supersededRecord) bool {
		for part := old.firstPart; part <= old.lastPart; part++ {
			if !r.stored[part] {
				return false
			}
		}
		t.pages.Remove(old.id)
		delete(t.parts, old.id)
		return true
	})
}

// Rewrite writes the parts of the given records, and all dirty parts, because the records need
// another page.
func (t *Tracker) Rewrite(ids []string) {
	for _, id := range ids {
		p := t.parts[id]
		if job, open := t.openJobs.OpenJob(p.job); open {
			job.DirtyParts()[p.part] = true
		}
	}
	t.WriteDirtyParts()
}

// RemoveJobs removes all records of closed jobs.
func (t *Tracker) RemoveJobs(jobs []string) {
	for _, job := range jobs {
		r := t.jobs[job]
		if r == nil {
			continue
		}
		for id := range r.usedIDs {
			t.pages.Remove(id)
			delete(t.parts, id)
		}
		delete(t.jobs, job)
	}
}
