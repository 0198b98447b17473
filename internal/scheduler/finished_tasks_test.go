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

// pageStore holds the stored pages of finished tasks: by page key, the records of the page by id. A
// term can fail between any two writes; the next term reads the pages that it left.
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

// doneTasks returns the finished tasks of all records, by job. Like every version, it reads the
// union of the records.
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

// previousVersionTerm reproduces how the previous version stores finished tasks: of two records with
// the same id it keeps the first and rewrites the other page without it, and it writes each chunk
// whole, under the chunk's id, to any page with room.
type previousVersionTerm struct {
	store          pageStore
	term, lastPage int
	maxBytes       int
	chunkTasks     int
	keyByID        map[string]string       // page key by record id
	bytesByKey     map[string]int          // bytes counted for each page
	done           map[string]map[int]bool // finished tasks by job
}

func (s pageStore) startPreviousVersion(t *testing.T, term, chunkTasks, limit int) *previousVersionTerm {
	p := &previousVersionTerm{store: s, term: term, maxBytes: limit, chunkTasks: chunkTasks, keyByID: map[string]string{}, bytesByKey: map[string]int{}, done: s.doneTasks(t, chunkTasks)}
	for _, key := range s.keys() {
		kept := map[string]json.RawMessage{}
		for id, v := range s[key] {
			if p.keyByID[id] == "" {
				p.keyByID[id], kept[id] = key, v
				p.bytesByKey[key] += len(id) + len(v) + 4
			}
		}
		if len(kept) < len(s[key]) {
			s[key] = kept
		}
	}
	return p
}

func (p *previousVersionTerm) finishTask(job string, n, tasks int) {
	if p.done[job] == nil {
		p.done[job] = map[int]bool{}
	}
	p.done[job][n] = true
	chunk := n / p.chunkTasks
	size := min(p.chunkTasks, tasks-chunk*p.chunkTasks)
	raw, _ := json.Marshal(records.FormatRanges(func(i int) bool { return p.done[job][chunk*p.chunkTasks+i] }, size))
	id := records.PartID(job, chunk, 0)
	key := p.keyByID[id]
	if key == "" {
		need := records.ChunkBytes(size, p.chunkTasks) + len(id) + 4
		for _, k := range p.store.keys() {
			if p.bytesByKey[k]+need <= p.maxBytes {
				key = k
			}
		}
		if key == "" {
			p.lastPage++
			key = fmt.Sprintf("done/%d-%d", p.term, p.lastPage)
			p.store[key] = map[string]json.RawMessage{}
		}
		p.keyByID[id] = key
		p.bytesByKey[key] += need
	}
	p.store[key] = maps.Clone(p.store[key])
	p.store[key][id] = raw
}

func settingsWithValueKB(valueKB, nextKB float64) Settings {
	cfg := &config.Config{Options: config.DefaultOptions()}
	cfg.Deployment.Workers = config.Workers{HeartbeatS: 2, LeaseS: 12, GangWaitS: 30, GangPeerLossS: 5, CancelS: 30}
	cfg.Deployment.Store.ValueKB = valueKB
	if nextKB > 0 {
		cfg.Deployment.Store.Next.ValueKB = &nextKB
	}
	return SettingsOf(cfg)
}

// Guards against losing finished tasks at a failover between versions: terms of this and of the
// previous version alternate at random, and each can fail between any two writes. Stored tasks must
// stay stored, this version must write no page above the limit, and it must empty larger pages.
func TestFinishedTasksSurviveFailoversBetweenVersions(t *testing.T) {
	// The number of pages of the previous version that a seed empties depends on the order of writes,
	// which is not deterministic. More seeds run if the first ones emptied too few pages to test it.
	const minSeeds, maxSeeds, minEmptied = 12, 48, 12
	emptied := 0
	for seed := uint64(0); seed < minSeeds || emptied < minEmptied && seed < maxSeeds; seed++ {
		r := rand.New(rand.NewPCG(11, seed))
		valueKB := []float64{4, 8, 16}[r.IntN(3)]
		settings := settingsWithValueKB(valueKB, []float64{1, 2}[r.IntN(2)])
		nextKB := 1.0
		if records.PartTasks(settings.ChunkTasks, 2) == settings.PartTasks {
			nextKB = 2
		}
		tasks := map[string]int{"j-1": 9000, "j-2": 700, "j-3": 40, "j-4": 5000}
		jobs := slices.Sorted(maps.Keys(tasks))
		store := pageStore{}
		written := map[string]bool{} // keys of pages written by this version
		for term := range 14 {
			before := store.doneTasks(t, settings.ChunkTasks)
			checkNoneLost := func() {
				t.Helper()
				now := store.doneTasks(t, settings.ChunkTasks)
				for job, m := range before {
					for n := range m {
						if !now[job][n] {
							t.Fatalf("seed %d, term %d: task %d of %s is lost", seed, term, n, job)
						}
					}
				}
				before = now
			}
			finishRandomTasks := func(finish func(job string, n int)) {
				for range 1 + r.IntN(150) {
					job := jobs[r.IntN(len(jobs))]
					finish(job, min(r.IntN(tasks[job]), r.IntN(tasks[job])))
				}
			}
			if r.IntN(3) == 0 {
				previous := store.startPreviousVersion(t, term, settings.ChunkTasks, int(valueKB*768))
				checkNoneLost()
				finishRandomTasks(func(job string, n int) { previous.finishTask(job, n, tasks[job]) })
				checkNoneLost()
				continue
			}
			now := time.Unix(1000, 0)
			scheduler := New(settings, uint64(term), now)
			for _, id := range jobs {
				scheduler.AddJob(records.Job{ID: id, Tasks: tasks[id], Shape: records.ShapeArray}, 1, now, now)
			}
			n := 0
			tracker := finishedtasks.New(settings.finishedTaskLayout(), records.NewPagedRecords("done/", nextKB, func() string { n++; return fmt.Sprintf("%d-%d", term, n) }), openJobs{scheduler})
			for _, key := range store.keys() {
				tracker.Pages().Load(key, store[key], store.pageBytes(key))
				for id, v := range store[key] {
					job, chunk, _ := records.ParsePartID(id)
					var text string
					_ = json.Unmarshal(v, &text)
					if err := tracker.Load(id, openJob{scheduler.jobs[job]}, chunk, text); err != nil {
						t.Fatal(err)
					}
					if err := scheduler.LoadDone(job, chunk, text); err != nil {
						t.Fatal(err)
					}
				}
			}
		rounds:
			for range 6 {
				finishRandomTasks(func(job string, n int) { scheduler.recordResult(scheduler.jobs[job], n) })
				tracker.WriteDirtyParts()
				for len(tracker.Pages().DirtyPages()) > 0 {
					page := tracker.Pages().DirtyPages()[0]
					op, _, ids := tracker.Pages().PrepareWrite(page)
					if op.Write != "" {
						written[op.Write] = true
						if size := records.EncodedSize(op.Value); float64(size) > nextKB*1024 {
							t.Fatalf("seed %d: %s takes %d bytes", seed, op.Write, size)
						}
					} else if !written[op.Delete] {
						emptied++
					}
					if r.IntN(60) == 0 {
						break rounds // the term fails before the write
					}
					store.apply(op)
					checkNoneLost()
					if r.IntN(60) == 0 {
						break rounds // the term fails before the answer
					}
					tracker.OnStored(ids)(0)
				}
				for _, j := range scheduler.jobs {
					for i := range j.Tasks {
						if j.done.has(i) != j.stored.has(i) {
							t.Fatalf("seed %d: task %d of %s: done %v, stored %v", seed, i, j.ID, j.done.has(i), j.stored.has(i))
						}
					}
				}
			}
		}
		for _, key := range store.keys() {
			if n := store.pageBytes(key); float64(n) > valueKB*1024 {
				t.Errorf("seed %d: %s takes %d bytes", seed, key, n)
			}
		}
	}
	if emptied < minEmptied {
		t.Errorf("%d pages of the previous version were emptied, want at least %d", emptied, minEmptied)
	}
}

// Without lower upcoming limits of the store, this version must write the same records as the previous
// one.
func TestFinishedTasksWithoutLowerLimitsAreWrittenInWholeChunks(t *testing.T) {
	settings := settingsWithValueKB(8, 0)
	if n := settings.finishedTaskLayout().PartsPerChunk(); n != 1 {
		t.Fatalf("%d parts in a chunk, want 1", n)
	}
	now := time.Unix(1000, 0)
	scheduler := New(settings, 3, now)
	scheduler.AddJob(records.Job{ID: "j-1", Tasks: 5000, Shape: records.ShapeArray}, 1, now, now)
	tracker := finishedtasks.New(settings.finishedTaskLayout(), records.NewPagedRecords("done/", 8, func() string { return "3-1" }), openJobs{scheduler})
	for _, n := range []int{0, 1, 2, 7, 2048, 4999} {
		scheduler.recordResult(scheduler.jobs["j-1"], n)
	}
	tracker.WriteDirtyParts()
	op, _, _ := tracker.Pages().PrepareWrite(tracker.Pages().DirtyPages()[0])
	raw, _ := json.Marshal(op.Value)
	if want := `{"j-1/0":"0-2,7","j-1/1":"0","j-1/2":"903"}`; string(raw) != want || op.Write != "done/3-1" {
		t.Errorf("%s %s, want %s", op.Write, raw, want)
	}
}
