package scheduler

import (
	"encoding/json"
	"slices"

	"drumpick/internal/records"
)

// progress keeps the finished tasks of open jobs on record. A record holds a part of
// a chunk, so small that the worst pattern fits into the smallest value to come. Parts
// have ids of their own, which readers of every version add up: a record under a
// chunk's own id, as earlier versions write it, holds all of the chunk, and is never
// written over with less.
type progress struct {
	shelf *records.PagedRecords
	set   Settings
	jobs  map[string]*kept
	parts map[string]part // by record
}

type part struct {
	job string
	n   int
}

// kept is what is on record of a job.
type kept struct {
	ids   map[int]string  // the record of each part, as far as there is one
	taken map[string]bool // all ids that there ever were
	put   map[int]bool    // parts whose record holds all that this term knows
	fresh map[int]bool    // parts of which such a record has been stored
	old   []older
}

// older is a record that is of no use once all its parts have others.
type older struct {
	id          string
	first, last int
}

// perChunk is how many parts a chunk has.
func (s *Settings) perChunk() int { return (s.ChunkTasks + s.PartTasks - 1) / s.PartTasks }

// part tells to which part a task belongs.
func (s *Scheduler) part(n int) int {
	return n/s.settings.ChunkTasks*s.settings.perChunk() + n%s.settings.ChunkTasks/s.settings.PartTasks
}

// span gives the chunk of a part, and where in it the part begins and ends.
func (s *Settings) span(part, tasks int) (chunk, from, to int) {
	chunk = part / s.perChunk()
	from = part % s.perChunk() * s.PartTasks
	return chunk, from, min(from+s.PartTasks, s.ChunkTasks, tasks-chunk*s.ChunkTasks)
}

func newProgress(set Settings, shelf *records.PagedRecords) *progress {
	return &progress{shelf: shelf, set: set, jobs: map[string]*kept{}, parts: map[string]part{}}
}

func (p *progress) of(job string) *kept {
	k := p.jobs[job]
	if k == nil {
		k = &kept{ids: map[int]string{}, taken: map[string]bool{}, put: map[int]bool{}, fresh: map[int]bool{}}
		p.jobs[job] = k
	}
	return k
}

// suits says whether a record with so many zeros before its chunk's number can hold a
// part. Where a chunk has several, the chunk's own id stays with earlier versions.
func (p *progress) suits(zeros, part int) bool {
	per := p.set.perChunk()
	return per == 1 || zeros > 0 && (zeros-1)%per == part%per
}

// load takes in a record of an open job. One that can be written again and holds
// nothing but one part goes on as that part's.
func (p *progress) load(c *Scheduler, id string, j *Job, chunk int, ranges string) error {
	k := p.of(j.ID)
	k.taken[id] = true
	first, last := -1, -1
	if err := records.ParseRanges(ranges, func(i int) {
		if n := chunk*p.set.ChunkTasks + i; n < j.Tasks {
			if first < 0 {
				first = c.part(n)
			}
			last = max(last, c.part(n))
		}
	}); err != nil {
		return err
	}
	if first >= 0 && first == last && k.ids[first] == "" && p.shelf.Has(id) && p.suits(records.LeadingZeros(id), first) {
		k.ids[first], p.parts[id] = id, part{j.ID, first}
		return nil
	}
	k.old = append(k.old, older{id, first, last})
	if !p.shelf.Has(id) && first >= 0 {
		for n := first; n <= last; n++ {
			j.dirtyParts[n] = true // so that the value it is in can be deleted
		}
	}
	return nil
}

// gather puts what has been finished since on the shelf.
func (p *progress) gather(c *Scheduler) {
	for _, j := range c.jobs {
		for n := range j.dirtyParts {
			delete(j.dirtyParts, n)
			chunk, from, to := p.set.span(n, j.Tasks)
			raw, err := json.Marshal(records.FormatRanges(func(i int) bool {
				return i >= from && has(j.done, chunk*p.set.ChunkTasks+i)
			}, to))
			if err == nil {
				p.put(j.ID, n, raw, min(records.ChunkBytes(to-from, p.set.ChunkTasks), 2*len(raw)+growth))
			}
		}
	}
}

// growth is what a record of finished tasks is given to grow by, in bytes, beside as
// much again as it has: a queue of tasks is mostly finished from one end.
const growth = 48

// put writes a part's record, under another id where it has outgrown its value. The
// old one goes when the new one is stored. Guards against an earlier version that
// takes over in between: of two records of one id it keeps the first it finds.
func (p *progress) put(job string, n int, raw json.RawMessage, most int) {
	k := p.of(job)
	for {
		id := k.ids[n]
		if id == "" {
			chunk, _, _ := p.set.span(n, 1<<30)
			per := p.set.perChunk()
			zeros := 0
			if per > 1 {
				zeros = 1 + n%per
			}
			for id = records.PartID(job, chunk, zeros); k.taken[id]; id = records.PartID(job, chunk, zeros) {
				zeros += per
			}
			k.ids[n], k.taken[id], p.parts[id] = id, true, part{job, n}
		}
		if p.shelf.Put(id, raw, most) {
			k.put[n] = true
			return
		}
		k.old = append(k.old, older{id, n, n})
		delete(k.ids, n)
		delete(k.fresh, n)
	}
}

// stored returns what marks the finished tasks of some records, as they are now, as
// stored.
func (p *progress) stored(c *Scheduler, ids []string) func(uint64) {
	type was struct {
		j    *Job
		n    int
		done []uint64
	}
	var all []was
	for _, id := range ids {
		x, ok := p.parts[id]
		if j := c.jobs[x.job]; ok && j != nil && !j.dirtyParts[x.n] && p.of(x.job).ids[x.n] == id {
			all = append(all, was{j, x.n, slices.Clone(j.done)})
		}
	}
	return func(uint64) {
		for _, w := range all {
			chunk, from, to := p.set.span(w.n, w.j.Tasks)
			for i := chunk*p.set.ChunkTasks + from; i < chunk*p.set.ChunkTasks+to; i++ {
				if has(w.done, i) {
					w.j.stored[i/64] |= 1 << (i % 64)
				}
			}
			// Guards against a record that was only written along with another in the
			// same value: it may hold less than an older one of its part.
			if k := p.of(w.j.ID); k.put[w.n] {
				k.fresh[w.n] = true
				p.tidy(w.j.ID)
			}
		}
	}
}

// tidy takes away records that are of no use any more.
func (p *progress) tidy(job string) {
	k := p.of(job)
	k.old = slices.DeleteFunc(k.old, func(o older) bool {
		for n := o.first; n <= o.last; n++ {
			if !k.fresh[n] {
				return false
			}
		}
		p.shelf.Remove(o.id)
		delete(p.parts, o.id)
		return true
	})
}

// again writes records once more that need another place.
func (p *progress) again(c *Scheduler, ids []string) {
	for _, id := range ids {
		x := p.parts[id]
		if j := c.jobs[x.job]; j != nil {
			j.dirtyParts[x.n] = true
		}
	}
	p.gather(c)
}

// close takes away all records of jobs that are over.
func (p *progress) close(jobs []string) {
	for _, job := range jobs {
		if k := p.jobs[job]; k != nil {
			for id := range k.taken {
				p.shelf.Remove(id)
				delete(p.parts, id)
			}
			delete(p.jobs, job)
		}
	}
}
