package dependency

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"drumpick/internal/scenario"
)

// A scenario adds jobs ("add j-2 needs=j-1 rank=3 due=100 last=150 takes=20", times in seconds), sets
// their final states ("done j-1 at=30", "cancelled j-1"), closes jobs without a known final state
// ("closed j-1") and describes jobs ("show j-1 ..."). The decisions of an event other than "show"
// describe the jobs that it changed.
func TestScenarios(t *testing.T) {
	scenario.Run(t, "*.trace", func(t *testing.T) func([]string) []string {
		g := New()
		return func(words []string) []string {
			event, ids := words[0], words[1:]
			arguments := map[string]string{}
			for _, word := range ids {
				key, value, _ := strings.Cut(word, "=")
				arguments[key] = value
			}
			switch event {
			case "add":
				g.Add(parseJob(ids[0], arguments))
			case "done":
				g.SetFinal(ids[0], Done, parseTime(arguments["at"]), 1)
			case "cancelled":
				g.SetFinal(ids[0], Cancelled, time.Time{}, 1)
			case "closed":
				g.Close(ids[0])
			case "show":
			default:
				t.Fatalf("unknown event %v", words)
			}
			changed := g.Changed()
			if event != "show" {
				ids = changed
			}
			return describe(g, ids, event == "show")
		}
	})
}

// parseTime parses a time in seconds. It returns the zero time if s is not a number.
func parseTime(s string) time.Time {
	n, err := strconv.Atoi(s)
	if err != nil {
		return time.Time{}
	}
	return time.Unix(int64(n), 0)
}

// parseJob returns the job that an "add" event adds.
func parseJob(id string, arguments map[string]string) Job {
	j := Job{ID: id, Rank: 3, Deadline: parseTime(arguments["due"]), LatestEnd: parseTime(arguments["last"])}
	if arguments["needs"] != "" {
		j.Dependencies = strings.Split(arguments["needs"], ",")
	}
	if arguments["rank"] != "" {
		j.Rank, _ = strconv.Atoi(arguments["rank"])
	}
	seconds, _ := strconv.Atoi(arguments["takes"])
	j.Estimate = time.Duration(seconds) * time.Second
	return j
}

// describe returns a line for each job of ids, one with all jobs to cancel and one with all unknown
// jobs. If showClear is true, the lines also say which jobs have dependencies that are not clear.
func describe(g *Graph, ids []string, showClear bool) []string {
	var lines []string
	for _, id := range ids {
		line := id + " may start"
		if g.Blocked(id) {
			line = id + " waits"
		}
		if at := g.ReleasedAt(id); !at.IsZero() {
			line += fmt.Sprint(", last job before it done at ", at.Unix())
		}
		precedence := g.Precedence(id)
		line += fmt.Sprint(", rank ", precedence.Rank)
		if !precedence.Deadline.IsZero() {
			line += fmt.Sprint(", due ", precedence.Deadline.Unix())
		}
		if !precedence.LatestEnd.IsZero() {
			line += fmt.Sprint(", at the latest ", precedence.LatestEnd.Unix())
		}
		if showClear && !g.DependenciesClear(id) {
			line += ", not clear"
		}
		lines = append(lines, line)
	}
	if ids := g.ToCancel(); len(ids) > 0 {
		lines = append(lines, "to be cancelled: "+strings.Join(ids, " "))
	}
	if ids := g.UnknownJobs(); len(ids) > 0 {
		lines = append(lines, "to be read: "+strings.Join(ids, " "))
	}
	return lines
}

// referenceJob is a job of the reference model.
type referenceJob struct {
	Job
	state State
}

// reference is a reference model of the graph, by job id. It stores no derived state and computes every
// result anew.
type reference map[string]*referenceJob

func (r reference) blocked(id string) bool {
	for _, dependency := range r[id].Dependencies {
		if r[dependency].state != Done {
			return true
		}
	}
	return false
}

// toCancel reports whether any direct or indirect dependency of a job is cancelled.
func (r reference) toCancel(id string) bool {
	for _, dependency := range r[id].Dependencies {
		if state := r[dependency].state; state == Cancelled || state == Open && r.toCancel(dependency) {
			return true
		}
	}
	return false
}

func (r reference) precedence(id string) Precedence {
	precedence := Precedence{Rank: r[id].Rank, Deadline: r[id].Deadline}
	for _, j := range r {
		if j.state == Open && slices.Contains(j.Dependencies, id) {
			inherited := r.precedence(j.ID)
			precedence.Rank = min(precedence.Rank, inherited.Rank)
			precedence.Deadline = earliest(precedence.Deadline, subtract(inherited.Deadline, j.Estimate))
		}
	}
	return precedence
}

// drawJob returns a random job that depends on up to three of the others.
func drawJob(random *rand.Rand, id string, others []string) Job {
	j := Job{ID: id, Rank: random.IntN(4), Estimate: time.Duration(random.IntN(9)) * time.Second}
	if random.IntN(3) == 0 {
		j.Deadline = time.Unix(int64(1000+random.IntN(900)), 0)
	}
	for range random.IntN(4) {
		if len(others) == 0 {
			continue
		}
		if other := others[random.IntN(len(others))]; !slices.Contains(j.Dependencies, other) {
			j.Dependencies = append(j.Dependencies, other)
		}
	}
	return j
}

// For random sequences of added and closed jobs, the graph returns the same results as the reference
// model, and it holds no jobs but the open ones and their direct dependencies. A wrong incremental
// update would start a job too early or never, and a job that is not removed would leak.
func TestGraphEqualsReference(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for range 15 {
		g, all := New(), reference{}
		var ids []string
		for step := range 120 {
			if random.IntN(3) > 0 || len(ids) == 0 {
				j := drawJob(random, fmt.Sprint("j-", step), ids)
				all[j.ID] = &referenceJob{Job: j, state: Open}
				ids = append(ids, j.ID)
				g.Add(j)
				for _, id := range j.Dependencies { // as if the graph's owner read the final states
					if state := all[id].state; state == Done || state == Cancelled {
						g.SetFinal(id, state, time.Time{}, 1)
					}
				}
			} else if j := all[ids[random.IntN(len(ids))]]; j.state == Open {
				j.state = Cancelled
				if !g.Blocked(j.ID) && random.IntN(3) > 0 {
					j.state = Done
				}
				if random.IntN(2) == 0 {
					g.Close(j.ID)
				}
				g.SetFinal(j.ID, j.state, time.Time{}, 1)
			}
			compareToReference(t, g, all)
		}
	}
}

// compareToReference compares the results for all open jobs, and the size of the graph.
func compareToReference(t *testing.T, g *Graph, all reference) {
	t.Helper()
	toCancel := g.ToCancel()
	needed := map[string]bool{}
	for id, j := range all {
		if j.state != Open {
			continue
		}
		needed[id] = true
		for _, dependency := range j.Dependencies {
			needed[dependency] = true
		}
		if got, want := g.Blocked(id), all.blocked(id); got != want {
			t.Fatalf("%s is blocked: %v, want %v", id, got, want)
		}
		wantCancel := all.toCancel(id)
		if got := slices.Contains(toCancel, id); got != wantCancel {
			t.Fatalf("%s is to be cancelled: %v, want %v", id, got, wantCancel)
		}
		if got := g.DependenciesClear(id); got == wantCancel {
			t.Fatalf("dependencies of %s are clear: %v, want %v", id, got, !wantCancel)
		}
		if got, want := g.Precedence(id), all.precedence(id); got != want {
			t.Fatalf("precedence of %s: %v, want %v", id, got, want)
		}
	}
	if len(g.nodes) != len(needed) || len(g.UnknownJobs()) != 0 {
		t.Fatalf("graph holds %d jobs, want the %d that are open or needed by open ones; unknown are %v, want none", len(g.nodes), len(needed), g.UnknownJobs())
	}
}

// Adds a job with a deadline at the end of a chain of 1,000 jobs and cancels that job again: the
// largest change that one job can cause in the graph.
func BenchmarkLongChain(b *testing.B) {
	g := New()
	last := ""
	for i := range 1000 {
		j := Job{ID: fmt.Sprint("j-", i), Estimate: time.Second}
		if last != "" {
			j.Dependencies = []string{last}
		}
		g.Add(j)
		last = j.ID
	}
	for n := 0; b.Loop(); n++ {
		id := fmt.Sprint("k-", n)
		g.Add(Job{ID: id, Dependencies: []string{last}, Deadline: time.Unix(10000, 0)})
		g.Changed()
		g.SetFinal(id, Cancelled, time.Time{}, 1)
		g.Changed()
	}
}

// Adds a job together with its four dependencies and finishes all five, among 1,000 such groups.
func BenchmarkPipelines(b *testing.B) {
	g := New()
	add := func(n int) {
		var dependencies []string
		for k := range 4 {
			id := fmt.Sprint("j-", n, "-", k)
			g.Add(Job{ID: id, Estimate: time.Second})
			dependencies = append(dependencies, id)
		}
		g.Add(Job{ID: fmt.Sprint("j-", n, "-4"), Dependencies: dependencies, Deadline: time.Unix(10000, 0)})
	}
	for n := range 1000 {
		add(n)
	}
	for n := 1000; b.Loop(); n++ {
		add(n)
		for k := range 5 {
			g.SetFinal(fmt.Sprint("j-", n-1000, "-", k), Done, time.Unix(1, 0), 1)
		}
		g.Changed()
	}
}
