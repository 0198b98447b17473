// Package finishedtasks keeps the finished tasks of open jobs on record. It is plain data without
// clock or I/O: its owner stores the pages, and serializes the calls.
package finishedtasks

import (
	"encoding/json"
	"iter"
	"slices"

	"drumpick/internal/records"
)

// growthBytes is what a record is given to grow by, beside as much again as it has: the tasks of a job
// are mostly finished from one end.
const growthBytes = 48

// Job is an open job.
type Job interface {
	JobID() string
	TaskCount() int
	// DoneTasks is the bit set of finished tasks.
	DoneTasks() []uint64
	// StoredTasks is the bit set of finished tasks that the store has; the keeper adds to it.
	StoredTasks() []uint64
	// DirtyParts is the set of parts whose records are to be written; the keeper adds to it and takes
	// from it.
	DirtyParts() map[int]bool
}

// Jobs are the open jobs.
type Jobs interface {
	// OpenJob returns an open job, and whether there is one of that id.
	OpenJob(id string) (Job, bool)
	// OpenJobs returns all.
	OpenJobs() iter.Seq[Job]
}

// Tracker keeps the finished tasks of open jobs on record. A record holds a part of a chunk, so small
// that the worst pattern fits into the smallest value to come. Parts have ids of their own, which
// readers of every version add up: a record under a chunk's own id, as earlier versions write it,
// holds all of the chunk, and is never overwritten with less.
type Tracker struct {
	layout Layout
	pages  *records.PagedRecords
	open   Jobs
	jobs   map[string]*jobRecords // by job
	parts  map[string]jobPart     // by record
}

// jobPart is a part of a job.
type jobPart struct {
	job  string
	part int
}

// jobRecords is what is on record of a job.
type jobRecords struct {
	ids        map[int]string  // the record of each part that has one
	usedIDs    map[string]bool // all ids that there ever were
	written    map[int]bool    // parts whose record holds all that this term knows
	stored     map[int]bool    // parts of which such a record has been stored
	superseded []supersededRecord
}

// supersededRecord is a record that is of no use once all its parts have others.
type supersededRecord struct {
	id                  string
	firstPart, lastPart int
}

// New returns a keeper that has loaded nothing yet, of records on pages.
func New(layout Layout, pages *records.PagedRecords, open Jobs) *Tracker {
	return &Tracker{layout: layout, pages: pages, open: open, jobs: map[string]*jobRecords{}, parts: map[string]jobPart{}}
}

// Pages are the pages of the records.
func (k *Tracker) Pages() *records.PagedRecords { return k.pages }

func (k *Tracker) recordsOf(job string) *jobRecords {
	r := k.jobs[job]
	if r == nil {
		r = &jobRecords{ids: map[int]string{}, usedIDs: map[string]bool{}, written: map[int]bool{}, stored: map[int]bool{}}
		k.jobs[job] = r
	}
	return r
}

// idFitsPart reports whether a record with so many zeros before its chunk's number can hold a part. Where a
// chunk has several, the chunk's own id is left to earlier versions.
func (k *Tracker) idFitsPart(zeros, part int) bool {
	perChunk := k.layout.PartsPerChunk()
	return perChunk == 1 || zeros > 0 && (zeros-1)%perChunk == part%perChunk
}

// Load takes in a record of an open job: ranges of finished tasks of a chunk. A record that can be
// written again and holds nothing but one part goes on as that part's.
func (k *Tracker) Load(id string, job Job, chunk int, ranges string) error {
	r := k.recordsOf(job.JobID())
	r.usedIDs[id] = true
	first, last := -1, -1
	err := records.ParseRanges(ranges, func(i int) {
		task := chunk*k.layout.ChunkTasks + i
		if task >= job.TaskCount() {
			return
		}
		part := k.layout.Part(task)
		if first < 0 {
			first = part
		}
		last = max(last, part)
	})
	if err != nil {
		return err
	}
	if first >= 0 && first == last && r.ids[first] == "" && k.pages.HasWritable(id) && k.idFitsPart(records.LeadingZeros(id), first) {
		r.ids[first], k.parts[id] = id, jobPart{job.JobID(), first}
		return nil
	}
	r.superseded = append(r.superseded, supersededRecord{id, first, last})
	if !k.pages.HasWritable(id) && first >= 0 {
		for part := first; part <= last; part++ {
			job.DirtyParts()[part] = true // so that the page it is on can be deleted
		}
	}
	return nil
}

// WriteDirtyParts writes the records of all parts that have changed to the pages.
func (k *Tracker) WriteDirtyParts() {
	for job := range k.open.OpenJobs() {
		dirty := job.DirtyParts()
		for part := range dirty {
			delete(dirty, part)
			k.writePart(job, part)
		}
	}
}

func (k *Tracker) writePart(job Job, part int) {
	chunk, from, to := k.layout.span(part, job.TaskCount())
	done := job.DoneTasks()
	raw, err := json.Marshal(records.FormatRanges(func(i int) bool {
		return i >= from && isSet(done, chunk*k.layout.ChunkTasks+i)
	}, to))
	if err == nil {
		k.putRecord(job.JobID(), part, raw, min(records.ChunkBytes(to-from, k.layout.ChunkTasks), 2*len(raw)+growthBytes))
	}
}

// putRecord writes a part's record, under another id where it has outgrown its page. The old one goes when
// the new one is stored. Without this, an earlier version that takes over in between would lose
// tasks: of two records of one id it keeps the first it finds.
func (k *Tracker) putRecord(job string, part int, raw json.RawMessage, maxBytes int) {
	r := k.recordsOf(job)
	for {
		id := r.ids[part]
		if id == "" {
			id = k.newID(job, part)
			r.ids[part], r.usedIDs[id], k.parts[id] = id, true, jobPart{job, part}
		}
		if k.pages.Put(id, raw, maxBytes) {
			r.written[part] = true
			return
		}
		r.superseded = append(r.superseded, supersededRecord{id, part, part})
		delete(r.ids, part)
		delete(r.stored, part)
	}
}

// newID is an id for a part's record that was never used. Ids of one chunk differ in the zeros before
// its number, by which it is known which part a record is of.
func (k *Tracker) newID(job string, part int) string {
	chunk, perChunk := k.layout.chunk(part), k.layout.PartsPerChunk()
	zeros := 0
	if perChunk > 1 {
		zeros = 1 + part%perChunk
	}
	used := k.recordsOf(job).usedIDs
	id := records.PartID(job, chunk, zeros)
	for used[id] {
		zeros += perChunk
		id = records.PartID(job, chunk, zeros)
	}
	return id
}

// pendingPart is a part whose record is on its way to the store, with what was finished then.
type pendingPart struct {
	job  Job
	part int
	done []uint64
}

// OnStored returns what marks the finished tasks of some records, as they are now, as stored. It is to
// be called once the records are.
func (k *Tracker) OnStored(ids []string) func(revision uint64) {
	var parts []pendingPart
	for _, id := range ids {
		p, known := k.parts[id]
		job, open := k.open.OpenJob(p.job)
		if known && open && !job.DirtyParts()[p.part] && k.recordsOf(p.job).ids[p.part] == id {
			parts = append(parts, pendingPart{job, p.part, slices.Clone(job.DoneTasks())})
		}
	}
	return func(uint64) {
		for _, p := range parts {
			k.markStored(p)
		}
	}
}

func (k *Tracker) markStored(p pendingPart) {
	chunk, from, to := k.layout.span(p.part, p.job.TaskCount())
	stored := p.job.StoredTasks()
	base := chunk * k.layout.ChunkTasks
	for task := base + from; task < base+to; task++ {
		if isSet(p.done, task) {
			stored[task/64] |= 1 << (task % 64)
		}
	}
	// Without this check, a record that was only written along with another on its page would count:
	// it may hold less than an older one of its part.
	if r := k.recordsOf(p.job.JobID()); r.written[p.part] {
		r.stored[p.part] = true
		k.removeSuperseded(r)
	}
}

// removeSuperseded removes the records of a job that are of no use any more.
func (k *Tracker) removeSuperseded(r *jobRecords) {
	r.superseded = slices.DeleteFunc(r.superseded, func(old supersededRecord) bool {
		for part := old.firstPart; part <= old.lastPart; part++ {
			if !r.stored[part] {
				return false
			}
		}
		k.pages.Remove(old.id)
		delete(k.parts, old.id)
		return true
	})
}

// Rewrite writes records once more, which need another page.
func (k *Tracker) Rewrite(ids []string) {
	for _, id := range ids {
		p := k.parts[id]
		if job, open := k.open.OpenJob(p.job); open {
			job.DirtyParts()[p.part] = true
		}
	}
	k.WriteDirtyParts()
}

// RemoveJobs removes all records of jobs that are closed.
func (k *Tracker) RemoveJobs(jobs []string) {
	for _, job := range jobs {
		r := k.jobs[job]
		if r == nil {
			continue
		}
		for id := range r.usedIDs {
			k.pages.Remove(id)
			delete(k.parts, id)
		}
		delete(k.jobs, job)
	}
}

// isSet reports whether a bit set has a member.
func isSet(set []uint64, i int) bool { return set[i/64]>>(i%64)&1 == 1 }
