package scheduler

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/config"
	"drumpick/internal/drain"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
	"drumpick/internal/scenario"
)

// The stories of testdata are told to a Core of term 5 (unless "term" says
// otherwise) with reports every 2 s, a lease of 12 s and zones a and b.
func TestTraces(t *testing.T) {
	scenario.Run(t, "*.trace", func(t *testing.T) func([]string) []string {
		s := &story{t: t, start: time.Unix(1_000_000, 0), term: 5, ticks: map[string]uint64{}, out: map[string]autoscaler.RentalRequest{}}
		s.now = s.start
		return s.event
	})
}

type story struct {
	t     *testing.T
	start time.Time
	now   time.Time
	term  uint64
	core  *Scheduler
	ticks map[string]uint64
	out   map[string]autoscaler.RentalRequest
	teams []config.Team
	aims  []config.Objective
	marks bool
	dark  bool
	owed  bool
	begin float64
	asked map[string]fleet.Probe // the machines asked last
	types []records.MachineType
}

func (s *story) open() *Scheduler {
	if s.core == nil {
		cfg := &config.Config{Options: config.DefaultOptions()}
		cfg.Deployment.Workers = config.Workers{HeartbeatS: 2, LeaseS: 12, GangWaitS: 30, GangPeerS: 5, CancelS: 30}
		cfg.Deployment.State.ValueKB = 8
		cfg.Deployment.Cloud.ListLagS = 3
		cfg.Deployment.Zones = []string{"a", "b"}
		cfg.Deployment.Teams = append(s.teams, config.Team{Name: "team"})
		cfg.Deployment.Objectives = s.aims
		cfg.Options.Watermarks, cfg.Options.ZoneHealth, cfg.Options.Guarantees = s.marks, s.dark, s.owed
		cfg.Options.Reservations, cfg.Options.BeginS = s.begin > 0, s.begin
		s.core = New(SettingsOf(cfg), s.term, s.now)
		s.core.SetTypes(append(s.types, records.MachineType{Name: "c4", CPUs: 4, MemGB: 16, Price: 0.2, SpotPrice: 0.05, StartupS: 20, CacheGB: 40, FetchGBps: 0.2, Zones: []string{"a", "b"}}))
	}
	return s.core
}

// args reads "key=value" words.
func args(words []string) map[string]string {
	m := map[string]string{}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		m[k] = v
	}
	return m
}

func (s *story) num(text string, otherwise float64) float64 {
	if text == "" {
		return otherwise
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.t.Fatalf("bad number %q", text)
	}
	return f
}

func or(text, otherwise string) string {
	if text == "" {
		return otherwise
	}
	return text
}

// event takes one line: "at SECONDS WHAT ...", times from the story's start.
func (s *story) event(w []string) []string {
	if w[0] != "at" || len(w) < 3 {
		s.t.Fatalf("bad event %v", w)
	}
	s.now = s.start.Add(time.Duration(s.num(w[1], 0) * float64(time.Second)))
	what, rest := w[2], w[3:]
	a := args(rest)
	switch what {
	case "term":
		s.term = uint64(s.num(rest[0], 0))
		return nil
	case "marks":
		s.marks = true
		return nil
	case "dark-zones":
		s.dark = true
		return nil
	case "guarantees":
		s.owed = true
		return nil
	case "begin":
		s.begin = s.num(rest[0], 0)
		return nil
	case "type":
		s.types = append(s.types, records.MachineType{Name: rest[0], CPUs: s.num(a["cpus"], 4), GPUs: s.num(a["gpus"], 0), MemGB: 16, Price: s.num(a["price"], 1), SpotPrice: s.num(a["cheap"], 0),
			StartupS: s.num(a["startup"], 20), CacheGB: 40, FetchGBps: s.num(a["rate"], 0.2), Zones: []string{"a", "b"}})
		return nil
	case "team":
		s.teams = append(s.teams, config.Team{Name: rest[0], GuaranteedCPUs: s.num(a["cpus"], 0), LimitCPUs: s.num(a["max"], 0)})
		return nil
	case "objective":
		s.aims = append(s.aims, config.Objective{Kind: rest[0], Class: rest[1], WithinS: s.num(rest[2], 0)})
		return nil
	}
	c := s.open()
	switch what {
	case "job":
		j := records.Job{
			ID: rest[0], Team: or(a["team"], "team"), Shape: or(a["shape"], "batch"), Priority: or(a["prio"], "standard"),
			Tasks: int(s.num(a["tasks"], 1)), CPUs: s.num(a["cpus"], 1), GPUs: s.num(a["gpus"], 0), MemGB: s.num(a["mem"], 1),
			Class: a["class"], Image: or(a["image"], "img"), ImageGB: s.num(a["gb"], 0), EstimateS: s.num(a["guess"], 60), CheckpointS: s.num(a["saves"], 0), SaveS: s.num(a["flush"], 0),
			OneZone: a["one_zone"] != "", SpreadZones: a["apart"] != "", Spot: a["spot"] != "no", AcceptedMS: s.now.UnixMilli(),
		}
		if z := a["zone"]; z != "" {
			j.Zone = &z
		}
		if a["needs"] != "" {
			j.Dependencies = strings.Split(a["needs"], ",")
		}
		if a["due"] != "" {
			due := s.num(a["due"], 0)
			j.DeadlineS = &due
		}
		if ty := a["types"]; ty != "" {
			j.Types = strings.Split(ty, ",")
		}
		c.AddJob(j, uint64(s.num(a["stamp"], 10)), s.now, s.now)
		return nil
	case "done-on-record":
		if err := c.LoadDone(rest[0], 0, rest[1]); err != nil {
			return []string{"error: " + err.Error()}
		}
		return nil
	case "machine-on-record":
		c.LoadMachine(rest[0], records.Machine{Addr: rest[0] + ":1", Type: "c4", Zone: or(a["zone"], "a"), Spot: a["spot"] != ""}, s.now)
		return nil
	case "marks-on-record":
		stored := map[string]int{}
		for id, n := range args(rest[1:]) {
			stored[id] = int(s.num(n, 0))
		}
		c.LoadWatermarks(stored, rest[0] == "whole")
		return nil
	case "marks-stored", "marks-to-store":
		var out []string
		for j := range c.watermarks.raised {
			out = append(out, fmt.Sprintf("%s: none sent from %d on", j.ID, j.watermark.Requested))
			if what == "marks-stored" {
				j.watermark.NoteStored(j.watermark.Requested)
				delete(c.watermarks.raised, j)
			}
		}
		sort.Strings(out)
		return or2(out, "no marks to store")
	case "loose":
		c.watermarks.relaxed = true
		return nil
	case "lapse":
		return []string{fmt.Sprintf("unheard machines: %d, settled: %v", c.ExpireEarlierLeases(s.now), c.reconciled)}
	case "settle":
		c.CheckReconciled(s.now)
		return []string{fmt.Sprintf("settled: %v", c.reconciled)}
	case "recorded":
		for _, h := range rest {
			c.fleet.Machines[h].Recorded = true
		}
		return nil
	case "stored":
		j := c.jobs[rest[0]]
		copy(j.stored, j.done)
		return nil
	case "cancelled":
		c.NoteClosed(rest[0], records.ClosedJob{Status: records.StatusCancelled}, uint64(s.num(a["stamp"], 20)))
		return s.kicked()
	case "over":
		c.NoteClosed(rest[0], records.ClosedJob{Status: records.StatusDone, AtMS: s.now.UnixMilli()}, uint64(s.num(a["stamp"], 20)))
		return s.kicked()
	case "over-without-time":
		c.NoteClosed(rest[0], records.ClosedJob{Status: records.StatusDone}, uint64(s.num(a["stamp"], 20)))
		return nil
	case "on-its-way":
		if at := c.LastDispatched(rest[0]); !at.IsZero() {
			return []string{fmt.Sprintf("sent at %g and not shown yet", at.Sub(s.start).Seconds())}
		}
		return []string{"nothing on its way"}
	case "gone":
		c.CloseJob(rest[0])
		return s.kicked()
	case "worth":
		var out []string
		for _, j := range c.queue(s.now) {
			line := fmt.Sprintf("%s rank %d, counts from %g", j.ID, j.rank, j.releasedAt.Sub(s.start).Seconds())
			for _, t := range j.targets {
				line += fmt.Sprintf(", due at %g", j.releasedAt.Sub(s.start).Seconds()+t)
			}
			out = append(out, line)
		}
		return or2(out, "nothing to start")
	case "doomed":
		return or2(c.dependencies.ToCancel(), "none to cancel")
	case "questions":
		s.asked = map[string]fleet.Probe{}
		var out []string
		for _, q := range c.Probes(s.now) {
			s.asked[q.Machine] = q
			out = append(out, fmt.Sprintf("ask %s what it has", q.Machine))
		}
		return or2(out, "ask nobody")
	case "report", "late-report", "body", "answer":
		return s.body(what, rest, a)
	case "tick":
		c.Tick(s.now, a["run"] != "no")
		return s.kicked()
	case "jobs":
		var out []string
		for id := range c.jobs {
			st, d, r, _ := c.Progress(id)
			out = append(out, fmt.Sprintf("%s %s, %d done, %d running, %d to start", id, st, d, r, c.jobs[id].pending()))
		}
		sort.Strings(out)
		return out
	case "wants":
		var out []string
		for _, r := range c.PlanRentals(s.now) {
			s.out[r.Name] = r
			out = append(out, fmt.Sprintf("rent %s: %d %s in %s spot=%v", r.Name, r.Count, r.Type, r.Zone, r.Spot))
		}
		return or2(out, "rent nothing")
	case "rented":
		c.MachinesRented(s.out[rest[0]], rest[1:], s.now)
		return nil
	case "refused":
		c.RentalRefused(s.out[rest[0]], true, s.now)
		return nil
	case "listed":
		var list []autoscaler.CloudMachine
		for _, h := range rest {
			name, status, _ := strings.Cut(h, "=")
			list = append(list, autoscaler.CloudMachine{Machine: name, Addr: name + ":1", Type: "c4", Zone: "a", Status: status, AgeS: 30})
		}
		c.ReconcileCloudList(list, s.now, s.now)
		return nil
	case "returns":
		hosts := c.MachinesToReturn(s.now)
		if len(hosts) == 0 {
			return []string{"give back nothing"}
		}
		return []string{"give back " + strings.Join(hosts, " ")}
	case "drain":
		spec := drain.Spec{ID: rest[0], Kind: a["kind"], Zone: a["zone"], To: a["to"], Then: a["then"], AtOnce: int(s.num(a["at_once"], 0)), KeepUp: int(s.num(a["keep"], 0)), BeganMS: s.now.UnixMilli()}
		if a["machines"] != "" {
			spec.Machines = strings.Split(a["machines"], ",")
		}
		if a["in"] != "" {
			spec.ByMS = s.now.Add(time.Duration(s.num(a["in"], 0) * float64(time.Second))).UnixMilli()
		}
		if err := spec.Check(s.now); err != nil {
			return []string{"refused: " + err.Error()}
		}
		p, err := c.PreviewDrain(&spec, a["force"] != "", s.now)
		if err != nil {
			return []string{"refused: " + err.Error()}
		}
		var out []string
		for _, m := range p.Machines {
			for _, t := range m.Tasks {
				out = append(out, fmt.Sprintf("%s: %s %s, %s", m.Machine, t.Task, t.Action, t.Why))
			}
		}
		if a["plan"] == "" {
			c.SetDrain(spec, nil, 0)
		}
		return or2(out, "nothing runs there")
	case "stop-drain":
		for _, d := range c.drains {
			if d.spec.ID == rest[0] {
				spec := d.spec
				spec.Stopped = true
				c.SetDrain(spec, nil, 0)
			}
		}
		return nil
	case "drains":
		var out []string
		for _, d := range c.drains {
			st := d.state
			line := fmt.Sprintf("%s %s, %d left, seen: %d finished, %d moved, %d lost, %d vanished", d.spec.ID, st.Phase, st.Left, st.Seen.Finish, st.Seen.Move, st.Seen.Lose, st.Seen.Vanished)
			if len(st.OutOfService) > 0 {
				line += ", in hand " + strings.Join(st.OutOfService, " ")
			}
			if st.Rollout != nil && st.Rollout.Back {
				line += ", back to " + st.Rollout.Want
			}
			if st.Blocked != "" {
				line += ", waits: " + st.Blocked
			}
			out = append(out, line)
		}
		return out
	case "forwarded":
		if c.NeedsRelay(rest[0], s.now) {
			return []string{"answered through the peer"}
		}
		return []string{"sent here"}
	case "returned":
		c.MachinesReturned(rest, s.now)
		return nil
	}
	s.t.Fatalf("unknown event %q", what)
	return nil
}

func or2(out []string, otherwise string) []string {
	if len(out) == 0 {
		return []string{otherwise}
	}
	return out
}

// body tells a report (or an answer to a direct command) of a machine:
// "report m-1 stint=1 j-1/0:TRY=running ...". Ticks rise by themselves unless given.
func (s *story) body(what string, rest []string, a map[string]string) []string {
	host := rest[0]
	r := &fleet.Heartbeat{
		Machine: host, Addr: host + ":1", Type: or(a["type"], "c4"), Zone: or(a["zone"], "a"), Spot: a["spot"] != "",
		Version: a["version"], Incarnation: uint64(s.num(a["stint"], 1)), FencingToken: uint64(s.num(a["baton"], float64(s.term))),
	}
	if n := a["notice"]; n != "" {
		f := s.num(n, 0)
		r.PreemptionNoticeS = &f
	}
	if a["tick"] != "" {
		r.Sequence = uint64(s.num(a["tick"], 0))
	} else {
		s.ticks[host]++
		r.Sequence = s.ticks[host]
	}
	for _, w := range rest[1:] {
		k, v, _ := strings.Cut(w, "=")
		shot, try, ok := strings.Cut(k, ":")
		if !ok {
			continue
		}
		tr := fleet.TaskStatus{Task: shot, Attempt: s.try(try)}
		tr.Status, tr.Cause, _ = strings.Cut(v, ":")
		tr.Cause, tr.Saved = strings.CutSuffix(tr.Cause, "+saved")
		r.Tasks = append(r.Tasks, tr)
	}
	r.Via = a["via"]
	// A machine is rented before it is heard, unless the story says that nobody knows of it.
	if _, gone := s.core.autoscaling.returnedAt[host]; !gone && a["stranger"] == "" && what == "report" {
		s.core.fleet.GetOrCreate(host, "", r.Type, r.Zone, r.Spot)
	}
	if what == "answer" {
		s.core.ApplyProbe(s.asked[host], r, s.now)
		return s.kicked()
	}
	m, stale := s.core.Reconcile(r, what != "body", s.now)
	if stale {
		if resp, ok := s.core.RenewOvertaken(m, r, s.now); ok && what != "body" {
			return append([]string{"overtaken by an answer: its lease is renewed, nothing is concluded"}, s.orders(resp.Commands)...)
		}
		return []string{"older than what is known: not answered with 200"}
	}
	if what == "body" {
		return s.kicked()
	}
	run := a["run"] != "no"
	if run {
		s.core.PlanMachine(m, s.now)
	}
	resp := s.core.Respond(m, run, s.now)
	s.core.NoteAnswered(m, r.Via, s.now)
	return s.orders(resp.Commands)
}

// try reads "5.2": the second attempt number of term 5.
func (s *story) try(text string) uint64 {
	term, n, _ := strings.Cut(text, ".")
	return uint64(s.num(term, 0))<<24 | uint64(s.num(n, 0))
}

func (s *story) orders(orders []fleet.Command) []string {
	out := []string{}
	for _, o := range orders {
		line := fmt.Sprintf("%s %s:%d.%d", o.Verb, o.Task, o.Attempt>>24, o.Attempt&(1<<24-1))
		if o.GraceS != nil {
			line += fmt.Sprintf(" with %gs to save", *o.GraceS)
		}
		out = append(out, line)
	}
	return or2(out, "no orders")
}

func (s *story) kicked() []string {
	var out, hosts []string
	for h := range s.core.urgentMachines {
		hosts = append(hosts, h)
	}
	sort.Strings(hosts)
	for _, h := range hosts {
		if m := s.core.fleet.Machines[h]; m != nil {
			for _, o := range s.orders(m.PendingCommands()) {
				out = append(out, "at once to "+h+": "+o)
			}
		}
		delete(s.core.urgentMachines, h)
	}
	return out
}
