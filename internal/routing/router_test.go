package routing

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"drumpick/internal/scenario"

	"pgregory.net/rapid"
)

// A story tells a router of leader n-0 (reports every 5 s, leases of 24 s) which reports
// come through whom ("report m-1 via n-1", or "reports 40 via n-1" for m-0 to m-39) and who
// else has passed something on ("heard n-1"), each "in" a zone where that matters.
func TestTraces(t *testing.T) {
	scenario.Run(t, "*.trace", func(t *testing.T) func([]string) []string {
		start := time.Unix(1_000_000, 0)
		r := New("n-0", 5*time.Second, 24*time.Second)
		return func(w []string) []string {
			s, err := strconv.ParseFloat(w[1], 64)
			if w[0] != "at" || err != nil {
				t.Fatalf("bad event %v", w)
			}
			now := start.Add(time.Duration(s * float64(time.Second)))
			told := func(to string) string {
				if to == "" {
					return "answered"
				}
				return "sent to " + to
			}
			switch w[2] {
			case "heard":
				r.NotePeer(w[3], in(w[4:]), now)
				return nil
			case "report":
				return []string{told(r.Route(w[3], in(w[6:]), w[5], now))}
			case "reports":
				n, _ := strconv.Atoi(w[3])
				got := map[string]int{}
				for i := range n {
					got[told(r.Route(fmt.Sprint("m-", i), in(w[6:]), w[5], now))]++
				}
				return counts(got)
			case "loads":
				return counts(loads(r))
			}
			t.Fatalf("unknown event %q", w[2])
			return nil
		}
	})
}

// in reads "in ZONE".
func in(w []string) string {
	if len(w) == 2 && w[0] == "in" {
		return w[1]
	}
	return ""
}

func counts(n map[string]int) []string {
	var out []string
	for k, v := range n {
		out = append(out, fmt.Sprint(v, " ", k))
	}
	slices.Sort(out)
	return out
}

// Whatever comes and goes: a worker is never sent to where it is, to the leader, or to a
// controller that has not been heard for long; once nothing changes any more, all workers
// are answered where they are, no controller holds far more than its share, and none has
// room for a worker of its zone that is elsewhere.
func TestRoutesSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const every, lease = 5 * time.Second, 24 * time.Second
		r, now := New("n-0", every, lease), time.Unix(1_000_000, 0)
		nodes := rapid.IntRange(1, 4).Draw(t, "others")
		workers := rapid.IntRange(1, 60).Draw(t, "workers")
		at := make([]string, workers)
		zone := rapid.SampledFrom([]string{"", "a", "b"})
		from, of := make([]string, workers), make([]string, nodes+1)
		for i := range at {
			at[i] = fmt.Sprint("n-", rapid.IntRange(0, nodes).Draw(t, "at"))
			from[i] = zone.Draw(t, "zone")
		}
		for n := range of {
			of[n] = zone.Draw(t, "zone of a controller")
		}
		up := make([]bool, nodes+1)
		heard := make([]time.Time, nodes+1)
		turn := func(trouble bool) (moves int) {
			now = now.Add(every)
			for n := 1; n <= nodes; n++ {
				if trouble {
					up[n] = rapid.IntRange(0, 3).Draw(t, "up") > 0
				}
				if up[n] {
					r.NotePeer(fmt.Sprint("n-", n), of[n], now)
					heard[n] = now
				}
			}
			for i := range at {
				via, _ := strconv.Atoi(strings.TrimPrefix(at[i], "n-"))
				if via > 0 && !up[via] {
					at[i], via = "n-0", 0 // it tries until it finds the leader
				}
				to := r.Route(fmt.Sprint("m-", i), from[i], at[i], now)
				if to == "" {
					continue
				}
				n, _ := strconv.Atoi(strings.TrimPrefix(to, "n-"))
				if to == at[i] || n == 0 || now.Sub(heard[n]) > fresh*every {
					t.Fatalf("worker %d at %s is sent to %s, heard %v ago", i, at[i], to, now.Sub(heard[n]))
				}
				moves++
				at[i] = to
			}
			return moves
		}
		for range rapid.IntRange(0, 8).Draw(t, "troubles") {
			turn(true)
		}
		for n := range up {
			up[n] = true
		}
		for range 60 {
			turn(false)
		}
		if n := turn(false); n > 0 {
			t.Fatalf("%d workers are still sent about", n)
		}
		for name, n := range loads(r) {
			if share := float64(workers) / float64(nodes); float64(n) > share*uneven*mostOwn+2 {
				t.Fatalf("%s holds %d of %d workers, of %d", name, n, workers, nodes)
			}
		}
		for i, z := range from {
			load, own := 0, 0
			for n := 1; n <= nodes; n++ {
				if of[n] == z {
					load, own = load+loads(r)[fmt.Sprint("n-", n)], own+1
				}
			}
			via, _ := strconv.Atoi(strings.TrimPrefix(at[i], "n-"))
			if z != "" && own > 0 && of[via] != z && (load+1)*nodes <= mostOwn*own*workers {
				t.Fatalf("worker %d of zone %s is at %s of zone %q, while its own hold %d of %d", i, z, at[i], of[via], load, workers)
			}
		}
	})
}

// loads tells how many workers report through each other controller.
func loads(r *Router) map[string]int {
	n := map[string]int{}
	for name, x := range r.nodes {
		n[name] = x.load
	}
	return n
}
