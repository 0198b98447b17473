package scheduler

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/config"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
	"drumpick/internal/scenario"
)

// Replays the scenarios in testdata on a Scheduler of term 5 (unless "term" sets another one) with a
// heartbeat interval of 2 s, a lease of 12 s, and the zones a and b.
func TestScenarios(t *testing.T) {
	scenario.Run(t, "*.trace", func(t *testing.T) func([]string) []string {
		return newReplay(t).runEvent
	})
}

// replay replays the events of one scenario.
type replay struct {
	t         *testing.T
	start     time.Time
	now       time.Time
	term      uint64
	scheduler *Scheduler // created at the first event that is not a setting

	sequences map[string]uint64                   // last sequence number of each machine
	requests  map[string]autoscaler.RentalRequest // scale-out requests by name
	probes    map[string]fleet.Probe              // probes of the last probe event, by machine

	// Settings.
	teams      []config.Team
	objectives []config.Objective
	types      []records.MachineType
	watermarks bool
	zoneHealth bool
	guarantees bool
	beginS     float64
}

func newReplay(t *testing.T) *replay {
	start := time.Unix(1_000_000, 0)
	return &replay{
		t: t, start: start, now: start, term: 5,
		sequences: map[string]uint64{}, requests: map[string]autoscaler.RentalRequest{},
	}
}

// ensureScheduler returns the scheduler, and creates it at the first event that is not a setting.
func (r *replay) ensureScheduler() *Scheduler {
	if r.scheduler != nil {
		return r.scheduler
	}
	cfg := &config.Config{Options: config.DefaultOptions()}
	cfg.Deployment.Workers = config.Workers{HeartbeatS: 2, LeaseS: 12, GangWaitS: 30, GangPeerLossS: 5, CancelS: 30}
	cfg.Deployment.Store.ValueKB = 8
	cfg.Deployment.Cloud.ListLagS = 3
	cfg.Deployment.Zones = []string{"a", "b"}
	cfg.Deployment.Teams = append(r.teams, config.Team{Name: "team"})
	cfg.Deployment.Objectives = r.objectives
	cfg.Options.Watermarks, cfg.Options.ZoneHealth, cfg.Options.Guarantees = r.watermarks, r.zoneHealth, r.guarantees
	cfg.Options.Reservations, cfg.Options.BeginWithinS = r.beginS > 0, r.beginS
	r.scheduler = New(SettingsOf(cfg), r.term, r.now)
	r.scheduler.SetMachineTypes(append(r.types, records.MachineType{
		Name: "c4", CPUs: 4, MemGB: 16, Price: 0.2, SpotPrice: 0.05, StartupS: 20, CacheGB: 40, FetchGBps: 0.2, Zones: []string{"a", "b"},
	}))
	return r.scheduler
}

// runEvent replays one line, "at SECONDS EVENT ...", with seconds since the start of the scenario, and
// returns lines that describe the scheduler's decisions.
func (r *replay) runEvent(words []string) []string {
	r.t.Helper()
	if words[0] != "at" || len(words) < 3 {
		r.t.Fatalf("bad event %v", words)
	}
	r.now = r.start.Add(time.Duration(r.parseNumber(words[1], 0) * float64(time.Second)))
	name := words[2]
	in := eventInput{words: words[3:], args: keyValues(words[3:])}
	if set := settingEvents[name]; set != nil {
		set(r, in)
		return nil
	}
	handle := schedulerEvents[name]
	if handle == nil {
		r.t.Fatalf("unknown event %q", name)
	}
	return handle(r, r.ensureScheduler(), in)
}

// eventInput holds the words after an event's name. args contains each word split at its "=".
type eventInput struct {
	words []string
	args  map[string]string
}

func keyValues(words []string) map[string]string {
	m := map[string]string{}
	for _, w := range words {
		key, value, _ := strings.Cut(w, "=")
		m[key] = value
	}
	return m
}

func (r *replay) parseNumber(text string, fallback float64) float64 {
	r.t.Helper()
	if text == "" {
		return fallback
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		r.t.Fatalf("bad number %q", text)
	}
	return f
}

func textOrDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

func linesOrDefault(lines []string, fallback string) []string {
	if len(lines) == 0 {
		return []string{fallback}
	}
	return lines
}

// settingEvents are the events that configure the scheduler. They must precede all others.
var settingEvents = map[string]func(*replay, eventInput){
	"term":        func(r *replay, in eventInput) { r.term = uint64(r.parseNumber(in.words[0], 0)) },
	"watermarks":  func(r *replay, _ eventInput) { r.watermarks = true },
	"zone-health": func(r *replay, _ eventInput) { r.zoneHealth = true },
	"guarantees":  func(r *replay, _ eventInput) { r.guarantees = true },
	"begin":       func(r *replay, in eventInput) { r.beginS = r.parseNumber(in.words[0], 0) },
	"type": func(r *replay, in eventInput) {
		r.types = append(r.types, records.MachineType{
			Name: in.words[0], CPUs: r.parseNumber(in.args["cpus"], 4), GPUs: r.parseNumber(in.args["gpus"], 0), MemGB: 16,
			Price: r.parseNumber(in.args["price"], 1), SpotPrice: r.parseNumber(in.args["spot_price"], 0),
			StartupS: r.parseNumber(in.args["startup"], 20), CacheGB: 40, FetchGBps: r.parseNumber(in.args["rate"], 0.2), Zones: []string{"a", "b"},
		})
	},
	"team": func(r *replay, in eventInput) {
		r.teams = append(r.teams, config.Team{
			Name: in.words[0], GuaranteedCPUs: r.parseNumber(in.args["cpus"], 0), LimitCPUs: r.parseNumber(in.args["limit"], 0),
		})
	},
	"objective": func(r *replay, in eventInput) {
		r.objectives = append(r.objectives, config.Objective{Kind: in.words[0], Class: in.words[1], WithinS: r.parseNumber(in.words[2], 0)})
	},
}
