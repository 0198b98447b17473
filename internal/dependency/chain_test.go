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
				j := Job{ID: w[1], Rank: 3, Due: at(a["due"]), Last: at(a["last"])}
				if a["needs"] != "" {
					j.Needs = strings.Split(a["needs"], ",")
				}
				if a["rank"] != "" {
					j.Rank, _ = strconv.Atoi(a["rank"])
				}
				n, _ := strconv.Atoi(a["takes"])
				j.Takes = time.Duration(n) * time.Second
				g.Add(j)
			case "done":
				g.End(w[1], Done, at(a["at"]), 1)
			case "cancelled":
				g.End(w[1], Cancelled, time.Time{}, 1)
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
				if g.Waits(id) {
					line = id + " waits"
				}
				if at := g.Released(id); !at.IsZero() {
					line += fmt.Sprint(", last job before it done at ", at.Unix())
				}
				terms := g.Terms(id)
				line += fmt.Sprint(", rank ", terms.Rank)
				if !terms.Due.IsZero() {
					line += fmt.Sprint(", due ", terms.Due.Unix())
				}
				if !terms.Last.IsZero() {
					line += fmt.Sprint(", at the latest ", terms.Last.Unix())
				}
				if w[0] == "show" && !g.Clear(id) {
					line += ", not clear"
				}
				out = append(out, line)
			}
			if d := g.Doomed(); len(d) > 0 {
				out = append(out, "to be cancelled: "+strings.Join(d, " "))
			}
			if u := g.Unread(); len(u) > 0 {
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
				j := &job{Job: Job{ID: fmt.Sprint("j-", step), Rank: r.IntN(4), Takes: time.Duration(r.IntN(9)) * time.Second}, state: Open}
				if r.IntN(3) == 0 {
					j.Due = time.Unix(int64(1000+r.IntN(900)), 0)
				}
				for range r.IntN(4) {
					if len(ids) > 0 {
						if id := ids[r.IntN(len(ids))]; !strings.Contains(strings.Join(j.Needs, " ")+" ", id+" ") {
							j.Needs = append(j.Needs, id)
						}
					}
				}
				all[j.ID] = j
				ids = append(ids, j.ID)
				g.Add(j.Job)
				for _, id := range j.Needs { // what is over is read
					if s := all[id].state; s == Done || s == Cancelled {
						g.End(id, s, time.Time{}, 1)
					}
				}
			} else if j := all[ids[r.IntN(len(ids))]]; j.state == Open {
				j.state = Cancelled
				if !g.Waits(j.ID) && r.IntN(3) > 0 {
					j.state = Done
				}
				if r.IntN(2) == 0 {
					g.Close(j.ID)
				}
				g.End(j.ID, j.state, time.Time{}, 1)
			}
			var doomed func(id string) bool
			doomed = func(id string) bool {
				for _, p := range all[id].Needs {
					if all[p].state == Cancelled || all[p].state == Open && doomed(p) {
						return true
					}
				}
				return false
			}
			var terms func(id string) Terms
			terms = func(id string) Terms {
				t := Terms{Rank: all[id].Rank, Due: all[id].Due}
				for _, b := range all {
					if b.state == Open && strings.Contains(strings.Join(b.Needs, " ")+" ", id+" ") {
						x := terms(b.ID)
						t.Rank = min(t.Rank, x.Rank)
						t.Due = earliest(t.Due, before(x.Due, b.Takes))
					}
				}
				return t
			}
			said := map[string]bool{}
			for _, id := range g.Doomed() {
				said[id] = true
			}
			named := map[string]bool{}
			for id, j := range all {
				if j.state != Open {
					continue
				}
				named[id] = true
				waits := false
				for _, p := range j.Needs {
					waits = waits || all[p].state != Done
					named[p] = true
				}
				if g.Waits(id) != waits || said[id] != doomed(id) || g.Clear(id) == doomed(id) {
					t.Fatalf("%s: waits %v, doomed %v, clear %v; plainly %v, %v", id, g.Waits(id), said[id], g.Clear(id), waits, doomed(id))
				}
				if got, want := g.Terms(id), terms(id); got != want {
					t.Fatalf("%s: %v, plainly %v", id, got, want)
				}
			}
			if len(g.nodes) != len(named) || len(g.Unread()) != 0 {
				t.Fatalf("%d jobs held, %d are open or named; to be read %v", len(g.nodes), len(named), g.Unread())
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
		j := Job{ID: fmt.Sprint("j-", i), Takes: time.Second}
		if last != "" {
			j.Needs = []string{last}
		}
		g.Add(j)
		last = j.ID
	}
	for n := 0; b.Loop(); n++ {
		id := fmt.Sprint("k-", n)
		g.Add(Job{ID: id, Needs: []string{last}, Due: time.Unix(10000, 0)})
		g.Changed()
		g.End(id, Cancelled, time.Time{}, 1)
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
			g.Add(Job{ID: id, Takes: time.Second})
			needs = append(needs, id)
		}
		g.Add(Job{ID: fmt.Sprint("j-", n, "-4"), Needs: needs, Due: time.Unix(10000, 0)})
	}
	for n := range 1000 {
		add(n)
	}
	for n := 1000; b.Loop(); n++ {
		add(n)
		for k := range 5 {
			g.End(fmt.Sprint("j-", n-1000, "-", k), Done, time.Unix(1, 0), 1)
		}
		g.Changed()
	}
}
