package scheduler

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/finishedtasks"
	"drumpick/internal/records"
)

// pageStore is the pages that a term may have left at any moment.
type pageStore map[string]map[string]json.RawMessage

func (s pageStore) keys() []string { return slices.Sorted(maps.Keys(s)) }

func (s pageStore) pageBytes(key string) int { return records.EncodedSize(s[key]) }

func (s pageStore) apply(op records.Op) {
	if op.Delete != "" {
		delete(s, op.Delete)
		return
	}
	s[op.Write] = op.Value.(map[string]json.RawMessage)
}

// doneTasks adds up what all records say, as every version does.
func (s pageStore) doneTasks(t *testing.T, chunkTasks int) map[string]map[int]bool {
	done := map[string]map[int]bool{}
	for _, m := range s {
		for id, v := range m {
			job, chunk, ok := records.ParsePartID(id)
			var text string
			if err := json.Unmarshal(v, &text); err != nil || !ok {
				t.Fatalf("record %s is unreadable: %s", id, v)
			}
			if done[job] == nil {
				done[job] = map[int]bool{}
			}
			if err := records.ParseRanges(text, func(i int) { done[job][chunk*chunkTasks+i] = true }); err != nil {
				t.Fatalf("record %s: %v", id, err)
			}
		}
	}
	return done
}

// previousVersionTerm is a term of the version in production, as far as finished tasks go: of two
// records of one id it keeps the first and rewrites the other value without it; a chunk
// is written whole, under its own id, into any value with room.
type previousVersionTerm struct {
	store          pageStore
	term, lastPage int
	maxBytes       int
	chunkTasks     int
	keyByID        map[string]string // key by id
	bytesByKey     map[string]int
	done           map[string]map[int]bool
}

func (s pageStore) startPreviousVersion(t *testing.T, term, chunkTasks, limit int) *previousVersionTerm {
	e := &previousVersionTerm{store: s, term: term, maxBytes: limit, chunkTasks: chunkTasks, keyByID: map[string]string{}, bytesByKey: map[string]int{}, done: s.doneTasks(t, chunkTasks)}
	for _, key := range s.keys() {
		kept := map[string]json.RawMessage{}
		for id, v := range s[key] {
			if e.keyByID[id] == "" {
				e.keyByID[id], kept[id] = key, v
				e.bytesByKey[key] += len(id) + len(v) + 4
			}
		}
		if len(kept) < len(s[key]) {
			s[key] = kept
		}
	}
	return e
}

func (e *previousVersionTerm) finishTask(job string, n, tasks int) {
	if e.done[job] == nil {
		e.done[job] = map[int]bool{}
	}
	e.done[job][n] = true
	c := n / e.chunkTasks
	size := min(e.chunkTasks, tasks-c*e.chunkTasks)
	raw, _ := json.Marshal(records.FormatRanges(func(i int) bool { return e.done[job][c*e.chunkTasks+i] }, size))
	id := records.PartID(job, c, 0)
	key := e.keyByID[id]
	if key == "" {
		need := records.ChunkBytes(size, e.chunkTasks) + len(id) + 4
		for _, k := range e.store.keys() {
			if e.bytesByKey[k]+need <= e.maxBytes {
				key = k
			}
		}
		if key == "" {
			e.lastPage++
			key = fmt.Sprintf("done/%d-%d", e.term, e.lastPage)
			e.store[key] = map[string]json.RawMessage{}
		}
		e.keyByID[id] = key
		e.bytesByKey[key] += need
	}
	e.store[key] = maps.Clone(e.store[key])
	e.store[key][id] = raw
}

func settingsWithValueKB(valueKB, nextKB float64) Settings {
	cfg := &config.Config{Options: config.DefaultOptions()}
	cfg.Deployment.Workers = config.Workers{HeartbeatS: 2, LeaseS: 12, GangWaitS: 30, GangPeerS: 5, CancelS: 30}
	cfg.Deployment.State.ValueKB = valueKB
	if nextKB > 0 {
		cfg.Deployment.State.Next.ValueKB = &nextKB
	}
	return SettingsOf(cfg)
}

// Terms of this version and of the one in production follow each other in any order, each killed
// between any two changes of the store. Whatever was on record stays there, no page that this version
// writes is too large, and large ones are emptied.
func TestFinishedTasksSurviveFailoversBetweenVersions(t *testing.T) {
	// How many pages of the earlier version a seed empties before its terms are killed depends on the
	// order in which changes are gathered, which is not fixed. So further seeds are played, where the
	// first ones have emptied too few to show that the emptying is tested.
	const minSeeds, maxSeeds, minEmptied = 12, 48, 12
	emptied := 0
	for seed := uint64(0); seed < minSeeds || emptied < minEmptied && seed < maxSeeds; seed++ {
		r := rand.New(rand.NewPCG(11, seed))
		valueKB := []float64{4, 8, 16}[r.IntN(3)]
		set := settingsWithValueKB(valueKB, []float64{1, 2}[r.IntN(2)])
		nextKB := 1.0
		if records.PartTasks(set.ChunkTasks, 2) == set.PartTasks {
			nextKB = 2
		}
		tasks := map[string]int{"j-1": 9000, "j-2": 700, "j-3": 40, "j-4": 5000}
		jobs := slices.Sorted(maps.Keys(tasks))
		s := pageStore{}
		written := map[string]bool{} // by this version
		for term := range 14 {
			before := s.doneTasks(t, set.ChunkTasks)
			lost := func() {
				t.Helper()
				now := s.doneTasks(t, set.ChunkTasks)
				for job, m := range before {
					for n := range m {
						if !now[job][n] {
							t.Fatalf("seed %d, term %d: task %d of %s is lost", seed, term, n, job)
						}
					}
				}
				before = now
			}
			ended := func(do func(job string, n int)) {
				for range 1 + r.IntN(150) {
					job := jobs[r.IntN(len(jobs))]
					do(job, min(r.IntN(tasks[job]), r.IntN(tasks[job])))
				}
			}
			if r.IntN(3) == 0 {
				e := s.startPreviousVersion(t, term, set.ChunkTasks, int(valueKB*768))
				lost()
				ended(func(job string, n int) { e.finishTask(job, n, tasks[job]) })
				lost()
				continue
			}
			now := time.Unix(1000, 0)
			c := New(set, uint64(term), now)
			for _, id := range jobs {
				c.AddJob(records.Job{ID: id, Tasks: tasks[id], Shape: records.ShapeArray}, 1, now, now)
			}
			n := 0
			p := finishedtasks.New(set.finishedTaskLayout(), records.NewPagedRecords("done/", nextKB, func() string { n++; return fmt.Sprintf("%d-%d", term, n) }), openJobs{c})
			for _, key := range s.keys() {
				p.Pages().Load(key, s[key], s.pageBytes(key))
				for id, v := range s[key] {
					job, chunk, _ := records.ParsePartID(id)
					var text string
					_ = json.Unmarshal(v, &text)
					if err := p.Load(id, openJob{c.jobs[job]}, chunk, text); err != nil {
						t.Fatal(err)
					}
					if err := c.LoadDone(job, chunk, text); err != nil {
						t.Fatal(err)
					}
				}
			}
		rounds:
			for range 6 {
				ended(func(job string, n int) { c.recordResult(c.jobs[job], n) })
				p.WriteDirtyParts()
				for len(p.Pages().DirtyPages()) > 0 {
					b := p.Pages().DirtyPages()[0]
					op, _, ids := p.Pages().PrepareWrite(b)
					if op.Write != "" {
						written[op.Write] = true
						if size := records.EncodedSize(op.Value); float64(size) > nextKB*1024 {
							t.Fatalf("seed %d: %s takes %d bytes", seed, op.Write, size)
						}
					} else if !written[op.Delete] {
						emptied++
					}
					if r.IntN(60) == 0 {
						break rounds // killed before the change
					}
					s.apply(op)
					lost()
					if r.IntN(60) == 0 {
						break rounds // killed before its answer
					}
					p.OnStored(ids)(0)
				}
				for _, j := range c.jobs {
					for i := range j.Tasks {
						if hasBit(j.done, i) != hasBit(j.stored, i) {
							t.Fatalf("seed %d: task %d of %s: done %v, stored %v", seed, i, j.ID, hasBit(j.done, i), hasBit(j.stored, i))
						}
					}
				}
			}
		}
		for _, key := range s.keys() {
			if n := s.pageBytes(key); float64(n) > valueKB*1024 {
				t.Errorf("seed %d: %s takes %d bytes", seed, key, n)
			}
		}
	}
	if emptied < minEmptied {
		t.Errorf("only %d values of the earlier version were emptied, want %d", emptied, minEmptied)
	}
}

// Without lower limits to come, records are what the version in production writes.
func TestFinishedTasksWithoutLowerLimitsAreWrittenInWholeChunks(t *testing.T) {
	set := settingsWithValueKB(8, 0)
	if n := set.finishedTaskLayout().PartsPerChunk(); n != 1 {
		t.Fatalf("%d parts in a chunk, want 1", n)
	}
	now := time.Unix(1000, 0)
	c := New(set, 3, now)
	c.AddJob(records.Job{ID: "j-1", Tasks: 5000, Shape: records.ShapeArray}, 1, now, now)
	p := finishedtasks.New(set.finishedTaskLayout(), records.NewPagedRecords("done/", 8, func() string { return "3-1" }), openJobs{c})
	for _, n := range []int{0, 1, 2, 7, 2048, 4999} {
		c.recordResult(c.jobs["j-1"], n)
	}
	p.WriteDirtyParts()
	op, _, _ := p.Pages().PrepareWrite(p.Pages().DirtyPages()[0])
	raw, _ := json.Marshal(op.Value)
	if want := `{"j-1/0":"0-2,7","j-1/1":"0","j-1/2":"903"}`; string(raw) != want || op.Write != "done/3-1" {
		t.Errorf("%s %s, want %s", op.Write, raw, want)
	}
}
