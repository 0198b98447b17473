package dependency

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"drumpick/internal/scenario"
)

// A story adds jobs ("add j-2 needs=j-1 rank=3 due=100 last=150 takes=20"), ends them
// ("done j-1 at=30", "cancelled j-1", "closed j-1") and asks ("show j-1 ...").
// Every event is followed by what it changed.
func TestTraces(t *testing.T) {
	scenario.Run(t, "*.trace", func(t *testing.T) func([]string) []string {
		g := New()
		at := func(s string) time.Time {
			n, err := strconv.Atoi(s)
			if err != nil {
				return time.Time{}
			}
			return time.Unix(int64(n), 0)
		}
		return func(w []string) []string {
			a := map[string]string{}
			for _, x := range w[1:] {
				k, v, _ := strings.Cut(x, "=")
				a[k] = v
			}
			switch w[0] {
			case "add":
				j := Job{ID: w[1], Rank: 3, Deadline: at(a["due"]), LatestEnd: at(a["last"])}
				if a["needs"] != "" {
					j.Dependencies = strings.Split(a["needs"], ",")
				}
				if a["rank"] != "" {
					j.Rank, _ = strconv.Atoi(a["rank"])
				}
				n, _ := strconv.Atoi(a["takes"])
				j.Estimate = time.Duration(n) * time.Second
				g.Add(j)
			case "done":
				g.SetFinal(w[1], Done, at(a["at"]), 1)
			case "cancelled":
				g.SetFinal(w[1], Cancelled, time.Time{}, 1)
			case "closed":
				g.Close(w[1])
			case "show":
			default:
				t.Fatalf("unknown event %v", w)
			}
			var out []string
			show := g.Changed()
			if w[0] == "show" {
				show = w[1:]
			}
			for _, id := range show {
				line := id + " may start"
				if g.Blocked(id) {
					line = id + " waits"
				}
				if at := g.ReleasedAt(id); !at.IsZero() {
					line += fmt.Sprint(", last job before it done at ", at.Unix())
				}
				terms := g.Urgency(id)
				line += fmt.Sprint(", rank ", terms.Rank)
				if !terms.Deadline.IsZero() {
					line += fmt.Sprint(", due ", terms.Deadline.Unix())
				}
				if !terms.LatestEnd.IsZero() {
					line += fmt.Sprint(", at the latest ", terms.LatestEnd.Unix())
				}
				if w[0] == "show" && !g.Unobstructed(id) {
					line += ", not clear"
				}
				out = append(out, line)
			}
			if d := g.ToCancel(); len(d) > 0 {
				out = append(out, "to be cancelled: "+strings.Join(d, " "))
			}
			if u := g.UnknownJobs(); len(u) > 0 {
				out = append(out, "to be read: "+strings.Join(u, " "))
			}
			return out
		}
	})
}

// Whatever comes in whatever order, the graph says what a plain look at all jobs says,
// and it forgets what nobody names.
func TestAgainstPlain(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	for range 15 {
		g := New()
		type job struct {
			Job
			state State
		}
		all := map[string]*job{}
		var ids []string
		for step := range 120 {
			if r.IntN(3) > 0 || len(ids) == 0 {
				j := &job{Job: Job{ID: fmt.Sprint("j-", step), Rank: r.IntN(4), Estimate: time.Duration(r.IntN(9)) * time.Second}, state: Open}
				if r.IntN(3) == 0 {
					j.Deadline = time.Unix(int64(1000+r.IntN(900)), 0)
				}
				for range r.IntN(4) {
					if len(ids) > 0 {
						if id := ids[r.IntN(len(ids))]; !strings.Contains(strings.Join(j.Dependencies, " ")+" ", id+" ") {
							j.Dependencies = append(j.Dependencies, id)
						}
					}
				}
				all[j.ID] = j
				ids = append(ids, j.ID)
				g.Add(j.Job)
				for _, id := range j.Dependencies { // what is over is read
					if s := all[id].state; s == Done || s == Cancelled {
						g.SetFinal(id, s, time.Time{}, 1)
					}
				}
			} else if j := all[ids[r.IntN(len(ids))]]; j.state == Open {
				j.state = Cancelled
				if !g.Blocked(j.ID) && r.IntN(3) > 0 {
					j.state = Done
				}
				if r.IntN(2) == 0 {
					g.Close(j.ID)
				}
				g.SetFinal(j.ID, j.state, time.Time{}, 1)
			}
			var doomed func(id string) bool
			doomed = func(id string) bool {
				for _, p := range all[id].Dependencies {
					if all[p].state == Cancelled || all[p].state == Open && doomed(p) {
						return true
					}
				}
				return false
			}
			var terms func(id string) Urgency
			terms = func(id string) Urgency {
				t := Urgency{Rank: all[id].Rank, Deadline: all[id].Deadline}
				for _, b := range all {
					if b.state == Open && strings.Contains(strings.Join(b.Dependencies, " ")+" ", id+" ") {
						x := terms(b.ID)
						t.Rank = min(t.Rank, x.Rank)
						t.Deadline = earliest(t.Deadline, before(x.Deadline, b.Estimate))
					}
				}
				return t
			}
			said := map[string]bool{}
			for _, id := range g.ToCancel() {
				said[id] = true
			}
			named := map[string]bool{}
			for id, j := range all {
				if j.state != Open {
					continue
				}
				named[id] = true
				waits := false
				for _, p := range j.Dependencies {
					waits = waits || all[p].state != Done
					named[p] = true
				}
				if g.Blocked(id) != waits || said[id] != doomed(id) || g.Unobstructed(id) == doomed(id) {
					t.Fatalf("%s: waits %v, doomed %v, clear %v; plainly %v, %v", id, g.Blocked(id), said[id], g.Unobstructed(id), waits, doomed(id))
				}
				if got, want := g.Urgency(id), terms(id); got != want {
					t.Fatalf("%s: %v, plainly %v", id, got, want)
				}
			}
			if len(g.nodes) != len(named) || len(g.UnknownJobs()) != 0 {
				t.Fatalf("%d jobs held, %d are open or named; to be read %v", len(g.nodes), len(named), g.UnknownJobs())
			}
		}
	}
}

// A job with an earlier deadline comes behind a chain of a thousand, and goes again: the
// most that one job changes.
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

// A job of five behind four others comes and is done, among a thousand such.
func BenchmarkPipelines(b *testing.B) {
	g := New()
	add := func(n int) {
		var needs []string
		for k := range 4 {
			id := fmt.Sprint("j-", n, "-", k)
			g.Add(Job{ID: id, Estimate: time.Second})
			needs = append(needs, id)
		}
		g.Add(Job{ID: fmt.Sprint("j-", n, "-4"), Dependencies: needs, Deadline: time.Unix(10000, 0)})
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
