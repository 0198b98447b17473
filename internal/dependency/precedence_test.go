package dependency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// pipeline returns the jobs of a pipeline: stages of width jobs, each of which depends on all jobs of the
// stage before, and deliveries with deadlines of their own that depend on the last stage. estimate returns
// the estimate of a job by its stage and its index.
func pipeline(stages, width, deliveries int, estimate func(stage, i int) time.Duration) []Job {
	var jobs []Job
	var previous []string
	for stage := range stages {
		var current []string
		for i := range width {
			id := fmt.Sprintf("j-%d%04d", stage+1, i)
			current = append(current, id)
			jobs = append(jobs, Job{ID: id, Dependencies: previous, Rank: 2, Estimate: estimate(stage, i)})
		}
		previous = current
	}
	for i := range deliveries {
		due := time.Unix(int64(1_000_000-1800*i), 0)
		jobs = append(jobs, Job{ID: fmt.Sprintf("j-9%06d", i), Dependencies: previous, Deadline: due, LatestEnd: due.Add(time.Hour)})
	}
	return jobs
}

// doublingEstimate makes the deadlines along the paths of a pipeline with three jobs to a stage all
// different, so that the rule that followed each path took twice as long for each further stage.
func doublingEstimate(stage, i int) time.Duration {
	return time.Duration(i) << stage * time.Millisecond
}

// referencePrecedence computes the precedence of a job from its dependents, without any order or stored
// state but the results that are known already.
func referencePrecedence(id string, jobs map[string]Job, dependents map[string][]string, known map[string]Precedence) Precedence {
	if precedence, ok := known[id]; ok {
		return precedence
	}
	job := jobs[id]
	precedence := job.precedence()
	for _, dependent := range dependents[id] {
		inherited := referencePrecedence(dependent, jobs, dependents, known)
		precedence.Rank = min(precedence.Rank, inherited.Rank)
		precedence.Deadline = earliest(precedence.Deadline, subtract(inherited.Deadline, jobs[dependent].Estimate))
		precedence.LatestEnd = earliest(precedence.LatestEnd, subtract(inherited.LatestEnd, jobs[dependent].Estimate))
	}
	known[id] = precedence
	return precedence
}

// comparePrecedence compares the precedence of all jobs with the reference.
func comparePrecedence(t *testing.T, g *Graph, jobs map[string]Job) {
	t.Helper()
	dependents := map[string][]string{}
	for id, job := range jobs {
		for _, dependency := range job.Dependencies {
			dependents[dependency] = append(dependents[dependency], id)
		}
	}
	known := map[string]Precedence{}
	for id := range jobs {
		if got, want := g.Precedence(id), referencePrecedence(id, jobs, dependents, known); got != want {
			t.Fatalf("precedence of %s among %d jobs: got %+v, want %+v", id, len(jobs), got, want)
		}
	}
}

// Guards against a wrong order of the propagation. Pipelines with random estimates are added in any order,
// also dependents before their dependencies and part of them in a batch, and jobs are cancelled. After
// each change, the precedence of all jobs equals the reference.
func TestPrecedenceEqualsReference(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 20 {
		jobs := pipeline(2+random.IntN(6), 1+random.IntN(5), 1+random.IntN(4), func(int, int) time.Duration {
			return time.Duration(random.IntN(300)) * time.Second
		})
		random.Shuffle(len(jobs), func(i, j int) { jobs[i], jobs[j] = jobs[j], jobs[i] })
		g, open := New(), map[string]Job{}
		add := func(list []Job) {
			for _, job := range list {
				open[job.ID] = job
				g.Add(job)
			}
		}
		batched := random.IntN(len(jobs) + 1)
		g.Batch(func() { add(jobs[:batched]) })
		comparePrecedence(t, g, open)
		for _, job := range jobs[batched:] {
			add([]Job{job})
			comparePrecedence(t, g, open)
		}
		for _, job := range jobs {
			if random.IntN(3) == 0 {
				delete(open, job.ID)
				g.SetFinal(job.ID, Cancelled, time.Time{}, 1)
				comparePrecedence(t, g, open)
			}
		}
	}
}

// Guards against a leader that stands still while it computes the deadlines of a pipeline: one delivery at
// the end of three jobs to a stage, with estimates that double from stage to stage, took twice as long
// for each stage (25 stages: 33 s). Now each job is worked through a bounded number of times.
func TestPropagationIsLinear(t *testing.T) {
	for _, stages := range []int{10, 20, 40, 50} {
		jobs := pipeline(stages, 3, 1, doublingEstimate)
		g := New()
		for _, job := range jobs {
			before := g.visits
			g.Add(job)
			if visits := g.visits - before; visits > 3*len(jobs) {
				t.Fatalf("%d stages: the addition of %s works through %d jobs, want at most %d", stages, job.ID, visits, 3*len(jobs))
			}
		}
	}
}

// Guards against a new leader that stands still while it loads the jobs of a pipeline, in whatever order:
// all jobs together cost one pass.
func TestLoadIsOnePass(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	jobs := pipeline(40, 10, 12, func(int, int) time.Duration { return time.Duration(random.IntN(300)) * time.Second })
	for name, order := range map[string]func(i, j int){
		"any order":        func(i, j int) { jobs[i], jobs[j] = jobs[j], jobs[i] },
		"dependents first": nil,
	} {
		if order != nil {
			random.Shuffle(len(jobs), order)
		}
		g := New()
		g.Batch(func() {
			for _, job := range jobs {
				g.Add(job)
			}
		})
		if limit := 3 * len(jobs); g.visits > limit {
			t.Errorf("%s: the load works through %d jobs, want at most %d", name, g.visits, limit)
		}
	}
}

// BenchmarkPipeline measures the addition of one delivery at the end of a pipeline with random
// estimates, and the load of the whole pipeline.
func BenchmarkPipeline(b *testing.B) {
	for _, size := range []struct{ stages, width int }{{20, 30}, {40, 50}, {80, 100}} {
		random := rand.New(rand.NewPCG(1, 2))
		jobs := pipeline(size.stages, size.width, 12, func(int, int) time.Duration {
			return 5*time.Second + time.Duration(random.Int64N(int64(300*time.Second)))
		})
		b.Run(fmt.Sprintf("delivery/stages=%d/width=%d", size.stages, size.width), func(b *testing.B) {
			g := New()
			g.Batch(func() {
				for _, job := range jobs {
					g.Add(job)
				}
			})
			delivery := jobs[len(jobs)-1]
			for n := 0; b.Loop(); n++ {
				delivery.ID = fmt.Sprint("j-8", n)
				delivery.Deadline = delivery.Deadline.Add(-time.Hour)
				g.Add(delivery)
				g.Changed()
			}
		})
		b.Run(fmt.Sprintf("load/stages=%d/width=%d", size.stages, size.width), func(b *testing.B) {
			for b.Loop() {
				g := New()
				g.Batch(func() {
					for _, job := range jobs {
						g.Add(job)
					}
				})
			}
		})
	}
}
