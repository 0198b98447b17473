package drain

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fixSeed makes rapid draw the same cases in each run.
func fixSeed(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// drawSeconds draws a duration of 0 to limit seconds.
func drawSeconds(t *rapid.T, limit int, name string) time.Duration {
	return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Second
}

// Guards against work lost without need. For random tasks: work is lost only if the deadline
// requires it, a task leaves its machine when the deadline has expired, and a running urgent task
// without slack stays if it would end in time.
func TestDecideKeepsWorkUnlessTimeDemands(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		task := drawTask(t)
		const margin = 5 * time.Second
		var timeLeft *time.Duration
		if rapid.Bool().Draw(t, "has deadline") {
			l := drawSeconds(t, 400, "left") - 20*time.Second
			timeLeft = &l
		}
		d := Decide(task, timeLeft, margin)
		leaves := d.Action == Move || d.Action == Restart
		expired := timeLeft != nil && *timeLeft <= margin
		inTime := timeLeft == nil || time.Duration(float64(task.Remaining)*estimateErrorFactor) <= *timeLeft && !task.Service
		switch {
		case d.Reason == "":
			t.Fatalf("decision without a reason for %+v", task)
		case expired && !leaves:
			t.Fatalf("deadline expired but action is %q: %+v", d.Action, task)
		case d.Lost > 0 && (d.Action != Restart || d.Lost != task.Ran):
			t.Fatalf("action %q loses %v of %v", d.Action, d.Lost, task.Ran)
		case d.Lost > 0 && inTime && !expired:
			t.Fatalf("work lost although the task would end in time: %+v", d)
		case d.Action == Restart && task.CanSave && !expired:
			t.Fatalf("work lost although the task can save a checkpoint: %+v", task)
		case d.Action == Move && !expired && task.Running && !task.CanSave && !task.Service:
			t.Fatalf("moved although the task cannot save a checkpoint: %+v", task)
		case leaves && timeLeft == nil && task.Place != HasRoom:
			t.Fatalf("stopped without room elsewhere and without a deadline: %+v", task)
		case leaves && timeLeft == nil && task.Service && task.Running && task.OtherReplicas == 0:
			t.Fatalf("last replica stopped: %+v", task)
		case leaves && inTime && !expired && task.Running && !task.Service && task.Urgent && hasNoSlack(task):
			t.Fatalf("urgent task without slack moved: %+v", task)
		case d.Action == Blocked && task.Place != NotPermitted:
			t.Fatalf("blocked although another machine may run the task: %+v", task)
		}
	})
}

// drawTask draws a random task.
func drawTask(t *rapid.T) Task {
	task := Task{
		Running:         rapid.Bool().Draw(t, "running"),
		Gang:            rapid.Bool().Draw(t, "gang"),
		Service:         rapid.Bool().Draw(t, "replica"),
		Urgent:          rapid.Bool().Draw(t, "urgent"),
		Remaining:       drawSeconds(t, 300, "remaining"),
		CanSave:         rapid.Bool().Draw(t, "saves"),
		RestartDuration: drawSeconds(t, 20, "restart"),
		OtherReplicas:   rapid.IntRange(0, 2).Draw(t, "others"),
		Place:           Place(rapid.IntRange(0, 2).Draw(t, "place")),
	}
	task.Gang = task.Gang && !task.Service
	if task.Running {
		task.Ran = drawSeconds(t, 300, "ran")
	}
	task.WaitingForGang = task.Gang && !task.Running
	if task.CanSave {
		task.SaveDuration = drawSeconds(t, 10, "save")
	}
	if rapid.Bool().Draw(t, "due") {
		slack := drawSeconds(t, 100, "slack")
		task.Slack = &slack
	}
	return task
}

// hasNoSlack reports whether a task has no slack, so that moving it makes its job late.
func hasNoSlack(task Task) bool {
	return task.Slack != nil && *task.Slack == 0 && task.SaveDuration+task.RestartDuration > 0
}

// An upgrade of random machines, some of which are faulty with the new version, ends with all
// machines on the new version or all back on the old one. It never has more than MaxOutOfService
// machines out of service and, if none is faulty, nor fewer than MinInService in service in a zone.
func TestRolloutEnds(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		spec := &Spec{
			Kind:            KindUpgrade,
			TargetVersion:   "2",
			MaxOutOfService: rapid.IntRange(1, 4).Draw(t, "at once"),
			MinInService:    rapid.IntRange(0, 3).Draw(t, "keep up"),
		}
		failPercent := rapid.SampledFrom([]int{0, 0, 30, 100}).Draw(t, "fail percent")
		fleet := drawFleet(t)
		perZone := map[string]int{}
		for _, m := range fleet {
			perZone[m.Zone]++
		}
		for _, n := range perZone {
			if n <= spec.MinInService {
				t.Skip("no machine of a zone may be taken out of service")
			}
		}
		r := NewRollout(spec, fleet.candidates())
		const soak = 5 * time.Second
		for step := 0; ; step++ {
			if step > 2000 {
				t.Fatalf("upgrade does not end: %+v", r)
			}
			r.DecideRollback(fleet.candidates())
			if fleet.finished(r.Target, soak) {
				break
			}
			zones, classes := fleet.inService()
			outOfService := r.SelectOutOfService(spec, fleet.candidates(), zones, classes, soak)
			if len(outOfService) > spec.MaxOutOfService {
				t.Fatalf("%d machines are out of service, want at most %d", len(outOfService), spec.MaxOutOfService)
			}
			for _, m := range fleet {
				m.OutOfService = slices.Contains(outOfService, m.Name)
			}
			if failPercent == 0 { // faulty machines are out of service in addition
				fleet.checkMinInService(t, spec.MinInService)
			}
			fleet.step(t, r.Target, failPercent)
		}
		if failPercent == 0 && r.RolledBack {
			t.Fatalf("rolled back although no machine is faulty: %+v", r)
		}
		if failPercent == 100 && r.Previous != "" && !r.RolledBack && spec.MaxOutOfService < len(fleet)-2 {
			t.Fatalf("not rolled back although all upgraded machines are faulty: %+v", r)
		}
	})
}

// simulatedMachine is a machine in a simulated upgrade.
type simulatedMachine struct {
	Candidate
	steps int // number of steps out of service
}

type simulatedFleet []*simulatedMachine

// drawFleet draws machines in two zones, most of which have the old version.
func drawFleet(t *rapid.T) simulatedFleet {
	var fleet simulatedFleet
	for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
		m := &simulatedMachine{Candidate: Candidate{
			Machine:   Machine{Name: fmt.Sprintf("m-%02d", i), Zone: string("ab"[i%2]), Version: "1"},
			InService: true,
			Empty:     rapid.Bool().Draw(t, "empty"),
			Cost:      drawSeconds(t, 100, "cost"),
			Classes:   []string{"any"},
		}}
		if rapid.IntRange(0, 9).Draw(t, "already upgraded") == 0 {
			m.Version = "2"
		}
		fleet = append(fleet, m)
	}
	return fleet
}

func (f simulatedFleet) candidates() []Candidate {
	var all []Candidate
	for _, m := range f {
		all = append(all, m.Candidate)
	}
	return all
}

// finished reports whether all machines have a version, and have completed a task with it or are
// past the soak time.
func (f simulatedFleet) finished(version string, soak time.Duration) bool {
	return !slices.ContainsFunc(f, func(m *simulatedMachine) bool {
		return m.Version != version || m.VersionAge > 0 && m.VersionAge < soak && !m.HasCompletedTask
	})
}

// inService counts the machines in service by zone and class.
func (f simulatedFleet) inService() (zones, classes map[string]int) {
	zones, classes = map[string]int{}, map[string]int{}
	for _, m := range f {
		if m.InService && !m.OutOfService {
			zones[m.Zone]++
			classes["any"]++
		}
	}
	return zones, classes
}

// checkMinInService fails the test if a machine is out of service while a zone has too few in service.
func (f simulatedFleet) checkMinInService(t *rapid.T, minInService int) {
	if !slices.ContainsFunc(f, func(m *simulatedMachine) bool { return m.OutOfService && !m.Faulty }) {
		return
	}
	zones, _ := f.inService()
	for _, m := range f {
		if zones[m.Zone] < minInService {
			t.Fatalf("%d machines are in service in zone %s, want at least %d", zones[m.Zone], m.Zone, minInService)
		}
	}
}

// step simulates one second: machines that have been out of service for three steps get the
// version, and upgraded machines with version "2" become faulty with a probability of failPercent.
func (f simulatedFleet) step(t *rapid.T, version string, failPercent int) {
	for _, m := range f {
		switch {
		case m.OutOfService:
			m.steps++
			if m.steps > 2 { // the machine has been emptied and upgraded
				m.Version, m.steps, m.OutOfService, m.Empty = version, 0, false, false
				m.HasCompletedTask, m.Faulty, m.VersionAge, m.InService = false, false, time.Millisecond, true
			}
		case m.VersionAge > 0:
			m.VersionAge += time.Second
			if m.Version == "2" && rapid.IntRange(1, 100).Draw(t, "fails") <= failPercent {
				m.Faulty, m.InService = true, false
			} else if m.VersionAge > 2*time.Second && !m.Faulty {
				m.HasCompletedTask = true
			}
		}
	}
}

// Windows start at the same local time across daylight saving changes.
func TestWindowsFollowLocalTime(t *testing.T) {
	for name, test := range map[string]struct {
		window Window
		at     string // in UTC
		want   string // the next starts, in UTC, and whether the window is in force at the time
	}{
		"Sundays at 02:00": {
			Window{Rule: "FREQ=WEEKLY;BYDAY=SU;BYHOUR=2;BYMINUTE=0;BYSECOND=0", TimeZone: "Europe/Warsaw", DurationS: 7200},
			"2026-03-16T00:00", "03-22T01:00 03-29T01:00 04-05T00:00",
		},
		"skipped hour in spring": {
			Window{Rule: "FREQ=DAILY;BYHOUR=2;BYMINUTE=30;BYSECOND=0", TimeZone: "Europe/Warsaw", DurationS: 3600},
			"2026-03-27T12:00", "03-28T01:30 03-29T01:30 03-30T00:30",
		},
		"repeated hour in autumn": {
			Window{Rule: "FREQ=DAILY;BYHOUR=2;BYMINUTE=30;BYSECOND=0", TimeZone: "Europe/Warsaw", DurationS: 3600},
			"2026-10-24T12:00", "10-25T00:30 10-26T01:30 10-27T01:30",
		},
		"zone without daylight saving": {
			Window{Rule: "FREQ=MONTHLY;BYDAY=1MO;BYHOUR=4;BYMINUTE=0;BYSECOND=0", TimeZone: "Atlantic/Reykjavik", DurationS: 7200},
			"2026-03-05T00:00", "04-06T04:00 05-04T04:00 06-01T04:00",
		},
		"during a window": {
			Window{Rule: "FREQ=DAILY;BYHOUR=2;BYMINUTE=0;BYSECOND=0", TimeZone: "UTC", DurationS: 3600},
			"2026-06-01T02:59", "in force, 06-02T02:00 06-03T02:00 06-04T02:00",
		},
		"at the end of a window": {
			Window{Rule: "FREQ=DAILY;BYHOUR=2;BYMINUTE=0;BYSECOND=0", TimeZone: "UTC", DurationS: 3600},
			"2026-06-01T03:00", "06-02T02:00 06-03T02:00 06-04T02:00",
		},
		"lead time before a window": {
			Window{Rule: "FREQ=DAILY;BYHOUR=2;BYMINUTE=0;BYSECOND=0", TimeZone: "UTC", DurationS: 3600, LeadS: 1800},
			"2026-06-01T01:30", "in force, empty by 06-01T02:00, 06-01T02:00 06-02T02:00 06-03T02:00",
		},
		"every other week": {
			Window{Rule: "FREQ=WEEKLY;INTERVAL=2;BYDAY=TU;BYHOUR=22;BYMINUTE=0;BYSECOND=0", TimeZone: "UTC", DurationS: 3600, FirstStart: "2026-06-02T22:00"},
			"2026-06-03T00:00", "06-16T22:00 06-30T22:00 07-14T22:00",
		},
		"window across the spring change": {
			Window{Rule: "FREQ=DAILY;BYHOUR=1;BYMINUTE=0;BYSECOND=0", TimeZone: "Europe/Warsaw", DurationS: 4 * 3600},
			"2026-03-29T03:59", "in force, 03-29T23:00 03-30T23:00 03-31T23:00",
		},
		"limited count": {
			Window{Rule: "FREQ=DAILY;COUNT=2", TimeZone: "UTC", DurationS: 3600, FirstStart: "2026-06-01T10:00"},
			"2026-06-01T12:00", "06-02T10:00",
		},
	} {
		at, err := time.Parse(localTimeLayout, test.at)
		if err != nil {
			t.Fatal(err)
		}
		if err := test.window.Check(at); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		var got []string
		for _, next := range test.window.NextStarts(at, 3) {
			got = append(got, next.UTC().Format("01-02T15:04"))
		}
		text := strings.Join(got, " ")
		spec := Spec{Kind: KindDrain, Window: &test.window}
		if inForce, emptyBy, _ := spec.InForce(at); inForce && !emptyBy.IsZero() {
			text = "in force, empty by " + emptyBy.UTC().Format("01-02T15:04") + ", " + text
		} else if inForce {
			text = "in force, " + text
		}
		if text != test.want {
			t.Errorf("%s:\n got %s\nwant %s", name, text, test.want)
		}
	}
}

// At random times, a window is in force exactly if a start from NextStarts, with the lead time
// before and the duration after it, covers the time; and the reported next change is a change.
func TestInForceAgreesWithStarts(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		rules := []string{"FREQ=DAILY", "FREQ=WEEKLY;BYDAY=MO,TH", "FREQ=MONTHLY;BYMONTHDAY=1,15", "FREQ=WEEKLY;INTERVAL=3;BYDAY=SU"}
		timeOfDay := ";BYHOUR=%d;BYMINUTE=%d;BYSECOND=0"
		zones := []string{"Europe/Warsaw", "Atlantic/Reykjavik", "America/New_York", "Australia/Lord_Howe"}
		w := Window{
			Rule: rapid.SampledFrom(rules).Draw(t, "rule") +
				fmt.Sprintf(timeOfDay, rapid.IntRange(0, 23).Draw(t, "hour"), rapid.IntRange(0, 59).Draw(t, "minute")),
			TimeZone:  rapid.SampledFrom(zones).Draw(t, "zone"),
			DurationS: float64(rapid.IntRange(1, 600).Draw(t, "minutes") * 60),
			LeadS:     float64(rapid.IntRange(0, 600).Draw(t, "lead") * 60),
		}
		at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(rapid.IntRange(0, 600*24*60).Draw(t, "at")) * time.Minute)
		if err := w.Check(at); err != nil {
			t.Skip(err.Error())
		}
		want := false
		for _, start := range w.NextStarts(at.Add(-48*time.Hour), 10) {
			want = want || !at.Before(start.Add(-w.lead())) && at.Before(start.Add(w.length()))
		}
		inForce, emptyBy, next := w.inForce(at)
		if inForce != want {
			t.Fatalf("%+v at %v: in force is %v, want %v", w, at, inForce, want)
		}
		if !next.After(at) {
			t.Fatalf("at %v: next change is %v, want a later time", at, next)
		}
		if after, _, _ := w.inForce(next); after == inForce && w.LeadS == 0 && w.NextStarts(next.Add(-time.Second), 1)[0] != next {
			t.Fatalf("%+v: no change at the reported time %v", w, next)
		}
		if inForce && w.LeadS > 0 && (emptyBy.Before(at.Add(-w.length())) || emptyBy.After(at.Add(w.lead()))) {
			t.Fatalf("deadline is %v at %v, want a time from %v to %v", emptyBy, at, at.Add(-w.length()), at.Add(w.lead()))
		}
	})
}

// Check rejects an invalid spec with an error that names the field.
func TestCheckNamesInvalidField(t *testing.T) {
	now := time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)
	rule := "FREQ=DAILY;BYHOUR=2;BYMINUTE=0;BYSECOND=0"
	var numbers []string
	for i := range 60 {
		numbers = append(numbers, strconv.Itoa(i))
	}
	minutes := strings.Join(numbers, ",")
	everySecond := "FREQ=YEARLY;BYDAY=MO,TU,WE,TH,FR,SA,SU;BYHOUR=2;BYMINUTE=" + minutes + ";BYSECOND=" + minutes
	for name, test := range map[string]struct {
		spec Spec
		want string
	}{
		"a zone":            {Spec{ID: "d-1", Zone: "north"}, ""},
		"an upgrade of all": {Spec{ID: "d-1", Kind: KindUpgrade, TargetVersion: "2", MaxOutOfService: 1}, ""},
		"a window": {
			Spec{ID: "d-1", Zone: "north", Window: &Window{Rule: rule, TimeZone: "Europe/Warsaw", DurationS: 3600}},
			"",
		},
		"no id":                       {Spec{Zone: "north"}, "id:"},
		"another id":                  {Spec{ID: "d-../x", Zone: "north"}, "id:"},
		"no selection":                {Spec{ID: "d-1"}, "machines: nothing"},
		"none out of service":         {Spec{ID: "d-1", Kind: KindUpgrade, TargetVersion: "2"}, "at_once:"},
		"too many out of service":     {Spec{ID: "d-1", Kind: KindUpgrade, TargetVersion: "2", MaxOutOfService: 1_000_001}, "at_once:"},
		"no target version":           {Spec{ID: "d-1", Kind: KindUpgrade, MaxOutOfService: 1}, "to_version:"},
		"target version of a drain":   {Spec{ID: "d-1", Zone: "a", TargetVersion: "2"}, "to_version"},
		"unknown kind":                {Spec{ID: "d-1", Kind: "burn", Zone: "a"}, "kind:"},
		"unknown choice when empty":   {Spec{ID: "d-1", Zone: "a", WhenEmpty: "sell"}, "then:"},
		"deadline in the past":        {Spec{ID: "d-1", Zone: "a", DeadlineMS: now.UnixMilli() - 1}, "by_ms:"},
		"cordon with a deadline":      {Spec{ID: "d-1", Kind: KindCordon, Zone: "a", DeadlineMS: now.UnixMilli() + 1}, "by_ms:"},
		"an empty name":               {Spec{ID: "d-1", Machines: []string{""}}, "empty name"},
		"a long name":                 {Spec{ID: "d-1", Zone: strings.Repeat("x", 201)}, "too long"},
		"the whole fleet":             {Spec{ID: "d-1", Kind: KindUpgrade, TargetVersion: "2", MaxOutOfService: 4000}, ""},
		"names of a fleet":            {Spec{ID: "d-1", Machines: slices.Repeat([]string{"m-000101"}, 4000)}, ""},
		"negative minimum in service": {Spec{ID: "d-1", Kind: KindUpgrade, TargetVersion: "2", MaxOutOfService: 1, MinInService: -1}, "keep_up:"},
		"negative age":                {Spec{ID: "d-1", OlderThanS: -1}, "older_than_s:"},
		"ended rule": {
			Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: rule + ";UNTIL=20200101T000000Z", TimeZone: "UTC", DurationS: 3600}},
			"window.rule: no window comes",
		},
		"impossible date": {
			Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: "FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30", TimeZone: "UTC", DurationS: 3600}},
			"window.rule: no window comes",
		},
		"no rule": {
			Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: "now and then", TimeZone: "UTC", DurationS: 3600}},
			"window.rule:",
		},
		"no time zone": {
			Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: rule, TimeZone: "Mars/Olympus", DurationS: 3600}},
			"window.zone:",
		},
		"local time zone": {
			Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: rule, TimeZone: "Local", DurationS: 3600}},
			"window.zone:",
		},
		"window too short": {Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: rule, TimeZone: "UTC", DurationS: 1}}, "window.for_s:"},
		"overlapping windows": {
			Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: rule, TimeZone: "UTC", DurationS: 90000}},
			"window.for_s: the next",
		},
		"every minute": {
			Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: "FREQ=MINUTELY", TimeZone: "UTC", DurationS: 60}},
			"window.rule: more often",
		},
		"an hour that never comes": {
			Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: "FREQ=HOURLY;INTERVAL=24;BYHOUR=3;BYMINUTE=0;BYSECOND=0", TimeZone: "UTC", DurationS: 60}},
			"window.rule: more often",
		},
		"every second of a day": {
			Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: everySecond, TimeZone: "UTC", DurationS: 60}},
			"window.rule: more than 24 starts a day",
		},
		"an interval of ages": {
			Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: rule + ";INTERVAL=1000000", TimeZone: "UTC", DurationS: 60}},
			"window.rule: an interval",
		},
		"first start ages ago": {
			Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: rule, TimeZone: "UTC", DurationS: 60, FirstStart: "0002-01-01T00:00"}},
			"window.starts: begins",
		},
		"invalid first start": {
			Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: rule, TimeZone: "UTC", DurationS: 60, FirstStart: "soon"}},
			"window.starts:",
		},
		"window and deadline": {
			Spec{ID: "d-1", Zone: "a", DeadlineMS: now.UnixMilli() + 1, Window: &Window{Rule: rule, TimeZone: "UTC", DurationS: 60}},
			"by_ms:",
		},
		"stopped at the start": {Spec{ID: "d-1", Zone: "a", Stopped: true}, "stopped:"},
		"negative lead time": {
			Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: rule, TimeZone: "UTC", DurationS: 60, LeadS: -1}},
			"window.lead_s:",
		},
	} {
		err := test.spec.Check(now)
		if test.want == "" && err != nil || test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)) {
			t.Errorf("%s: got error %v, want %q", name, err, test.want)
		}
	}
}
