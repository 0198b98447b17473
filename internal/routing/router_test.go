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

const (
	testInterval = 5 * time.Second
	testLease    = 24 * time.Second
	leaderNode   = "n-0"
)

// testStart is the time 0 of a scenario.
var testStart = time.Unix(1_000_000, 0)

// A scenario tells the router of leader n-0 about heartbeats ("heartbeat m-1 via n-1", or "heartbeats
// 40 via n-1" for m-0 to m-39) and about other controllers that have relayed a batch ("peer n-1"),
// each with an optional zone ("in a"). "loads" lists the number of workers assigned to each other
// controller. Each event starts with its time in seconds ("at 5").
func TestScenarios(t *testing.T) {
	scenario.Run(t, "*.trace", func(t *testing.T) func([]string) []string {
		r := New(leaderNode, testInterval, testLease)
		return func(words []string) []string {
			seconds, err := strconv.ParseFloat(words[1], 64)
			if words[0] != "at" || err != nil {
				t.Fatalf("bad event %v", words)
			}
			now := testStart.Add(time.Duration(seconds * float64(time.Second)))
			decisions, known := runEvent(r, words[2:], now)
			if !known {
				t.Fatalf("unknown event %q", words[2])
			}
			return decisions
		}
	})
}

// runEvent runs an event of a scenario and returns the router's decisions. known is false for an
// unknown event.
func runEvent(r *Router, words []string, now time.Time) (decisions []string, known bool) {
	switch words[0] {
	case "peer":
		r.RecordPeer(words[1], zoneOf(words[2:]), now)
		return nil, true
	case "heartbeat":
		return []string{formatDecision(r.Route(words[1], zoneOf(words[4:]), words[3], now))}, true
	case "heartbeats":
		machines, _ := strconv.Atoi(words[1])
		counts := map[string]int{}
		for i := range machines {
			counts[formatDecision(r.Route(fmt.Sprint("m-", i), zoneOf(words[4:]), words[3], now))]++
		}
		return formatCounts(counts), true
	case "loads":
		return formatCounts(workersByController(r)), true
	}
	return nil, false
}

// formatDecision describes the result of Router.Route.
func formatDecision(target string) string {
	if target == "" {
		return "answered"
	}
	return "sent to " + target
}

// zoneOf returns the zone in the words "in ZONE", "" for other words.
func zoneOf(words []string) string {
	if len(words) == 2 && words[0] == "in" {
		return words[1]
	}
	return ""
}

func formatCounts(counts map[string]int) []string {
	var out []string
	for name, n := range counts {
		out = append(out, fmt.Sprint(n, " ", name))
	}
	slices.Sort(out)
	return out
}

// workersByController returns the number of workers assigned to each other controller.
func workersByController(r *Router) map[string]int {
	workers := map[string]int{}
	for node, c := range r.controllers {
		workers[node] = c.workers
	}
	return workers
}

// clusterModel is a model of controllers that start and stop, and of workers that use the
// controllers assigned to them. Controller 0 is the leader.
type clusterModel struct {
	t               *rapid.T
	router          *Router
	now             time.Time
	controllerZones []string    // by controller
	up              []bool      // by controller
	lastContact     []time.Time // by controller
	workerZones     []string    // by worker
	assigned        []int       // by worker, the index of its controller
}

func node(controller int) string { return fmt.Sprint("n-", controller) }

func newClusterModel(t *rapid.T) *clusterModel {
	others := rapid.IntRange(1, 4).Draw(t, "other controllers")
	workers := rapid.IntRange(1, 60).Draw(t, "workers")
	m := &clusterModel{
		t:           t,
		router:      New(leaderNode, testInterval, testLease),
		now:         testStart,
		up:          make([]bool, others+1),
		lastContact: make([]time.Time, others+1),
	}
	zone := rapid.SampledFrom([]string{"", "a", "b"})
	for range workers {
		m.assigned = append(m.assigned, rapid.IntRange(0, others).Draw(t, "controller"))
		m.workerZones = append(m.workerZones, zone.Draw(t, "zone"))
	}
	for range others + 1 {
		m.controllerZones = append(m.controllerZones, zone.Draw(t, "zone of a controller"))
	}
	return m
}

// others returns the number of controllers other than the leader.
func (m *clusterModel) others() int { return len(m.up) - 1 }

// runInterval simulates one heartbeat interval and returns the number of workers that were moved.
func (m *clusterModel) runInterval() (moved int) {
	m.now = m.now.Add(testInterval)
	for c := 1; c <= m.others(); c++ {
		if m.up[c] {
			m.router.RecordPeer(node(c), m.controllerZones[c], m.now)
			m.lastContact[c] = m.now
		}
	}
	for i := range m.assigned {
		if m.heartbeat(i) {
			moved++
		}
	}
	return moved
}

// heartbeat sends a worker's heartbeat and reports whether the worker was moved.
func (m *clusterModel) heartbeat(worker int) bool {
	via := m.assigned[worker]
	if via > 0 && !m.up[via] {
		via = 0 // the worker tries other controllers until it reaches the leader
	}
	m.assigned[worker] = via
	target := m.router.Route(fmt.Sprint("m-", worker), m.workerZones[worker], node(via), m.now)
	if target == "" {
		return false
	}
	c, err := strconv.Atoi(strings.TrimPrefix(target, "n-"))
	if err != nil || c == via || c == 0 || m.now.Sub(m.lastContact[c]) > freshIntervals*testInterval {
		m.t.Fatalf("worker %d at %s is sent to %s, last contact %v ago", worker, node(via), target, m.now.Sub(m.lastContact[c]))
	}
	m.assigned[worker] = c
	return true
}

// checkBalanced checks that no controller holds far more than its share of workers.
func (m *clusterModel) checkBalanced() {
	share := float64(len(m.assigned)) / float64(m.others())
	for name, workers := range workersByController(m.router) {
		if limit := share*overloadFactor*maxZoneFactor + 2; float64(workers) > limit {
			m.t.Fatalf("%s holds %d of %d workers among %d controllers, want at most %v", name, workers, len(m.assigned), m.others(), limit)
		}
	}
}

// checkZones checks that no worker uses a controller outside the worker's zone while the controllers in
// that zone may hold more workers.
func (m *clusterModel) checkZones() {
	workersOf := workersByController(m.router)
	for i, zone := range m.workerZones {
		inZone, inZoneWorkers := 0, 0
		for c := 1; c <= m.others(); c++ {
			if m.controllerZones[c] == zone {
				inZone++
				inZoneWorkers += workersOf[node(c)]
			}
		}
		roomInZone := (inZoneWorkers+1)*m.others() <= maxZoneFactor*inZone*len(m.assigned)
		elsewhere := m.controllerZones[m.assigned[i]] != zone
		if zone != "" && inZone > 0 && elsewhere && roomInZone {
			m.t.Fatalf("worker %d of zone %s is at %s, while the controllers of its zone hold %d of %d",
				i, zone, node(m.assigned[i]), inZoneWorkers, len(m.assigned))
		}
	}
}

// For random controller failures, a worker is never sent to the controller that it uses, to the leader,
// or to a controller without recent contact. Once all controllers are up, the router stops moving
// workers, no controller holds far more than its share, and no worker uses a controller outside its
// zone while the controllers in its zone may hold more. Otherwise workers would move in circles or
// overload one controller.
func TestRoutesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newClusterModel(t)
		for range rapid.IntRange(0, 8).Draw(t, "faults") {
			for c := 1; c <= m.others(); c++ {
				m.up[c] = rapid.IntRange(0, 3).Draw(t, "up") > 0
			}
			m.runInterval()
		}
		for c := range m.up {
			m.up[c] = true
		}
		for range 60 {
			m.runInterval()
		}
		if moved := m.runInterval(); moved > 0 {
			t.Fatalf("%d workers are still moved, want 0", moved)
		}
		m.checkBalanced()
		m.checkZones()
	})
}
