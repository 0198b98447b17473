package drain

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func sameCases(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

func seconds(t *rapid.T, most int, name string) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Second
}

// Whatever a task is like: work that has begun is thrown away only where the time demands
// it, what must go goes, and what is urgent and pressed stays.
func TestDecide(t *testing.T) {
	sameCases(t)
	rapid.Check(t, func(t *rapid.T) {
		x := Task{
			Running: rapid.Bool().Draw(t, "running"), Gang: rapid.Bool().Draw(t, "gang"), Service: rapid.Bool().Draw(t, "replica"),
			Urgent: rapid.Bool().Draw(t, "urgent"), Remaining: seconds(t, 300, "remaining"), Saves: rapid.Bool().Draw(t, "saves"),
			RestartDuration: seconds(t, 20, "restart"), OtherReplicas: rapid.IntRange(0, 2).Draw(t, "others"), Place: Place(rapid.IntRange(0, 2).Draw(t, "place")),
		}
		x.Gang = x.Gang && !x.Service
		if x.Running {
			x.Ran = seconds(t, 300, "ran")
		}
		x.Waiting = x.Gang && !x.Running
		if x.Saves {
			x.SaveDuration = seconds(t, 10, "save")
		}
		if rapid.Bool().Draw(t, "due") {
			s := seconds(t, 100, "slack")
			x.Slack = &s
		}
		const margin = 5 * time.Second
		var left *time.Duration
		if rapid.Bool().Draw(t, "by a time") {
			l := seconds(t, 400, "left") - 20*time.Second
			left = &l
		}
		d := Decide(x, left, margin)
		leaves := d.Action == Move || d.Action == Restart
		over := left != nil && *left <= margin
		inTime := left == nil || time.Duration(float64(x.Remaining)*likely) <= *left && !x.Service
		switch {
		case d.Reason == "":
			t.Fatal("no reason")
		case over && !leaves:
			t.Fatalf("the time is over, and it %s", d.Action)
		case d.Lost > 0 && (d.Action != Restart || d.Lost != x.Ran):
			t.Fatalf("%s, and %v of %v are lost", d.Action, d.Lost, x.Ran)
		case d.Lost > 0 && inTime && !over:
			t.Fatalf("thrown away, though it would end in time: %+v", d)
		case d.Action == Restart && x.Saves && !over:
			t.Fatal("thrown away, though it can save")
		case d.Action == Move && !over && x.Running && !x.Saves && !x.Service:
			t.Fatal("moved, though it cannot save")
		case leaves && left == nil && x.Place != Room:
			t.Fatal("stopped without a place elsewhere, though nothing presses")
		case leaves && left == nil && x.Service && x.Running && x.OtherReplicas == 0:
			t.Fatal("the last replica is stopped")
		case leaves && inTime && !over && x.Running && !x.Service && x.Urgent && x.Slack != nil && *x.Slack == 0 && x.SaveDuration+x.RestartDuration > 0:
			t.Fatal("urgent work with no time left is moved")
		case d.Action == Blocked && x.Place != Nowhere:
			t.Fatal("blocked, though there is a place")
		}
	})
}

// An upgrade of random machines, some of which a bad version fails on, ends: with all on the
// new version or all back on the old one. Never are more machines out of service than it may
// take, nor fewer in service than are to stay.
func TestRollEnds(t *testing.T) {
	sameCases(t)
	rapid.Check(t, func(t *rapid.T) {
		s := &Spec{Kind: Upgrade, TargetVersion: "2", AtOnce: rapid.IntRange(1, 4).Draw(t, "at once"), MinInService: rapid.IntRange(0, 3).Draw(t, "keep up")}
		share := rapid.SampledFrom([]int{0, 0, 30, 100}).Draw(t, "fails, percent")
		type machine struct {
			Candidate
			in int // steps in hand
		}
		var all []*machine
		for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
			m := &machine{Candidate: Candidate{Machine: Machine{Name: fmt.Sprintf("m-%02d", i), Zone: string("ab"[i%2]), Version: "1"}, Up: true}}
			m.Empty, m.Cost = rapid.Bool().Draw(t, "empty"), seconds(t, 100, "cost")
			if rapid.IntRange(0, 9).Draw(t, "has it") == 0 {
				m.Version = "2"
			}
			m.Classes = []string{"any"}
			all = append(all, m)
		}
		perZone := map[string]int{}
		for _, m := range all {
			perZone[m.Zone]++
		}
		for _, n := range perZone {
			if n <= s.MinInService {
				t.Skip("it may take none of a zone")
			}
		}
		view := func() []Candidate {
			var cs []Candidate
			for _, m := range all {
				cs = append(cs, m.Candidate)
			}
			return cs
		}
		r := NewRollout(s, view())
		const soak = 5 * time.Second
		for step := 0; ; step++ {
			if step > 2000 {
				t.Fatalf("it does not end: %+v", r)
			}
			r.Judge(view())
			zones, classes, out := map[string]int{}, map[string]int{}, 0
			left := 0
			for _, m := range all {
				if m.Up && !m.OutOfService {
					zones[m.Zone]++
					classes["any"]++
				}
				if m.Version != r.Target || m.VersionAge > 0 && m.VersionAge < soak && !m.Proven {
					left++
				}
			}
			if left == 0 {
				break
			}
			hand := map[string]bool{}
			for _, name := range r.Next(s, view(), zones, classes, soak) {
				hand[name] = true
			}
			up := map[string]int{}
			for _, m := range all {
				m.OutOfService = hand[m.Name]
				if m.OutOfService && !m.Failed {
					out++
				}
				if !m.OutOfService && m.Up {
					up[m.Zone]++
				}
			}
			if len(hand) > s.AtOnce {
				t.Fatalf("%d machines in hand, %d at once", len(hand), s.AtOnce)
			}
			for z := range perZone {
				if share == 0 && out > 0 && up[z] < s.MinInService { // machines that fail are gone besides
					t.Fatalf("%d machines stay in service in zone %s, %d are to", up[z], z, s.MinInService)
				}
			}
			for _, m := range all {
				switch {
				case m.OutOfService:
					if m.in++; m.in > 2 { // emptied, and given its version
						m.Version, m.in, m.OutOfService, m.Empty = r.Target, 0, false, false
						m.Proven, m.Failed, m.VersionAge, m.Up = false, false, time.Millisecond, true
					}
				case m.VersionAge > 0:
					m.VersionAge += time.Second
					if m.Version == "2" && rapid.IntRange(1, 100).Draw(t, "fails") <= share {
						m.Failed, m.Up = true, false
					} else if m.VersionAge > 2*time.Second && !m.Failed {
						m.Proven = true
					}
				}
			}
		}
		if share == 0 && r.RolledBack || share == 100 && r.From != "" && !r.RolledBack && s.AtOnce < len(all)-2 {
			t.Fatalf("of the new version %d%% fail: %+v", share, r)
		}
	})
}

// Windows come when the operators' clocks say, whatever the season; kept as a table.
func TestWindows(t *testing.T) {
	for name, x := range map[string]struct {
		w    Window
		at   string // in UTC
		want string // the next starts, in UTC, and whether it holds at the time
	}{
		"Sundays at two, winter": {Window{Rule: "FREQ=WEEKLY;BYDAY=SU;BYHOUR=2;BYMINUTE=0;BYSECOND=0", Zone: "Europe/Warsaw", ForS: 7200},
			"2026-03-16T00:00", "03-22T01:00 03-29T01:00 04-05T00:00"},
		"the hour that there is not": {Window{Rule: "FREQ=DAILY;BYHOUR=2;BYMINUTE=30;BYSECOND=0", Zone: "Europe/Warsaw", ForS: 3600},
			"2026-03-27T12:00", "03-28T01:30 03-29T01:30 03-30T00:30"},
		"the hour that there is twice": {Window{Rule: "FREQ=DAILY;BYHOUR=2;BYMINUTE=30;BYSECOND=0", Zone: "Europe/Warsaw", ForS: 3600},
			"2026-10-24T12:00", "10-25T00:30 10-26T01:30 10-27T01:30"},
		"where clocks stay": {Window{Rule: "FREQ=MONTHLY;BYDAY=1MO;BYHOUR=4;BYMINUTE=0;BYSECOND=0", Zone: "Atlantic/Reykjavik", ForS: 7200},
			"2026-03-05T00:00", "04-06T04:00 05-04T04:00 06-01T04:00"},
		"within one":         {Window{Rule: "FREQ=DAILY;BYHOUR=2;BYMINUTE=0;BYSECOND=0", Zone: "UTC", ForS: 3600}, "2026-06-01T02:59", "holds, 06-02T02:00 06-03T02:00 06-04T02:00"},
		"after it":           {Window{Rule: "FREQ=DAILY;BYHOUR=2;BYMINUTE=0;BYSECOND=0", Zone: "UTC", ForS: 3600}, "2026-06-01T03:00", "06-02T02:00 06-03T02:00 06-04T02:00"},
		"ahead of it":        {Window{Rule: "FREQ=DAILY;BYHOUR=2;BYMINUTE=0;BYSECOND=0", Zone: "UTC", ForS: 3600, LeadS: 1800}, "2026-06-01T01:30", "holds until empty at 06-01T02:00, 06-01T02:00 06-02T02:00 06-03T02:00"},
		"every other week":   {Window{Rule: "FREQ=WEEKLY;INTERVAL=2;BYDAY=TU;BYHOUR=22;BYMINUTE=0;BYSECOND=0", Zone: "UTC", ForS: 3600, Starts: "2026-06-02T22:00"}, "2026-06-03T00:00", "06-16T22:00 06-30T22:00 07-14T22:00"},
		"across the change":  {Window{Rule: "FREQ=DAILY;BYHOUR=1;BYMINUTE=0;BYSECOND=0", Zone: "Europe/Warsaw", ForS: 4 * 3600}, "2026-03-29T03:59", "holds, 03-29T23:00 03-30T23:00 03-31T23:00"},
		"twice, and no more": {Window{Rule: "FREQ=DAILY;COUNT=2", Zone: "UTC", ForS: 3600, Starts: "2026-06-01T10:00"}, "2026-06-01T12:00", "06-02T10:00"},
	} {
		at, err := time.Parse(localTime, x.at)
		if err != nil {
			t.Fatal(err)
		}
		if err := x.w.Check(at); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		var got []string
		for _, next := range x.w.Next(at, 3) {
			got = append(got, next.UTC().Format("01-02T15:04"))
		}
		text := strings.Join(got, " ")
		s := Spec{Kind: Empty, Window: &x.w}
		if holds, by, _ := s.InForce(at); holds && !by.IsZero() {
			text = "holds until empty at " + by.UTC().Format("01-02T15:04") + ", " + text
		} else if holds {
			text = "holds, " + text
		}
		if text != x.want {
			t.Errorf("%s:\n got %s\nwant %s", name, text, x.want)
		}
	}
}

// At any moment a window holds just if it does by its own list of starts, and what it says
// of its next change is true.
func TestHolds(t *testing.T) {
	sameCases(t)
	rapid.Check(t, func(t *rapid.T) {
		w := Window{
			Rule: rapid.SampledFrom([]string{"FREQ=DAILY", "FREQ=WEEKLY;BYDAY=MO,TH", "FREQ=MONTHLY;BYMONTHDAY=1,15", "FREQ=WEEKLY;INTERVAL=3;BYDAY=SU"}).Draw(t, "rule") +
				fmt.Sprintf(";BYHOUR=%d;BYMINUTE=%d;BYSECOND=0", rapid.IntRange(0, 23).Draw(t, "hour"), rapid.IntRange(0, 59).Draw(t, "minute")),
			Zone: rapid.SampledFrom([]string{"Europe/Warsaw", "Atlantic/Reykjavik", "America/New_York", "Australia/Lord_Howe"}).Draw(t, "zone"),
			ForS: float64(rapid.IntRange(1, 600).Draw(t, "minutes") * 60), LeadS: float64(rapid.IntRange(0, 600).Draw(t, "lead") * 60),
		}
		at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(rapid.IntRange(0, 600*24*60).Draw(t, "at")) * time.Minute)
		if err := w.Check(at); err != nil {
			t.Skip(err.Error())
		}
		want := false
		for _, start := range w.Next(at.Add(-48*time.Hour), 10) {
			want = want || !at.Before(start.Add(-w.lead())) && at.Before(start.Add(w.length()))
		}
		holds, by, next := w.holds(at)
		if holds != want {
			t.Fatalf("%+v at %v: holds %v", w, at, holds)
		}
		if !next.After(at) {
			t.Fatalf("at %v the next change is at %v", at, next)
		}
		if after, _, _ := w.holds(next); after == holds && w.LeadS == 0 && w.Next(next.Add(-time.Second), 1)[0] != next {
			t.Fatalf("%+v: at %v nothing changes", w, next)
		}
		if holds && w.LeadS > 0 && (by.Before(at.Add(-w.length())) || by.After(at.Add(w.lead()))) {
			t.Fatalf("empty by %v, asked at %v", by, at)
		}
	})
}

// What makes no sense is refused with the field's name.
func TestCheck(t *testing.T) {
	now := time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)
	rule := "FREQ=DAILY;BYHOUR=2;BYMINUTE=0;BYSECOND=0"
	for name, x := range map[string]struct {
		s    Spec
		want string
	}{
		"a zone":                {Spec{ID: "d-1", Zone: "north"}, ""},
		"an upgrade of all":     {Spec{ID: "d-1", Kind: Upgrade, TargetVersion: "2", AtOnce: 1}, ""},
		"a window":              {Spec{ID: "d-1", Zone: "north", Window: &Window{Rule: rule, Zone: "Europe/Warsaw", ForS: 3600}}, ""},
		"no id":                 {Spec{Zone: "north"}, "id:"},
		"another id":            {Spec{ID: "d-../x", Zone: "north"}, "id:"},
		"nothing said":          {Spec{ID: "d-1"}, "machines: nothing"},
		"none at a time":        {Spec{ID: "d-1", Kind: Upgrade, TargetVersion: "2"}, "at_once:"},
		"too many at a time":    {Spec{ID: "d-1", Kind: Upgrade, TargetVersion: "2", AtOnce: 1_000_001}, "at_once:"},
		"to nothing":            {Spec{ID: "d-1", Kind: Upgrade, AtOnce: 1}, "to_version:"},
		"a version to drain":    {Spec{ID: "d-1", Zone: "a", TargetVersion: "2"}, "to_version"},
		"kind":                  {Spec{ID: "d-1", Kind: "burn", Zone: "a"}, "kind:"},
		"then":                  {Spec{ID: "d-1", Zone: "a", WhenEmpty: "sell"}, "then:"},
		"over already":          {Spec{ID: "d-1", Zone: "a", ByMS: now.UnixMilli() - 1}, "by_ms:"},
		"cordon by a time":      {Spec{ID: "d-1", Kind: Cordon, Zone: "a", ByMS: now.UnixMilli() + 1}, "by_ms:"},
		"an empty name":         {Spec{ID: "d-1", Machines: []string{""}}, "empty name"},
		"a long name":           {Spec{ID: "d-1", Zone: strings.Repeat("x", 201)}, "too long"},
		"the whole fleet":       {Spec{ID: "d-1", Kind: Upgrade, TargetVersion: "2", AtOnce: 4000}, ""},
		"names of a fleet":      {Spec{ID: "d-1", Machines: slices.Repeat([]string{"m-000101"}, 4000)}, ""},
		"stays up":              {Spec{ID: "d-1", Kind: Upgrade, TargetVersion: "2", AtOnce: 1, MinInService: -1}, "keep_up:"},
		"negative age":          {Spec{ID: "d-1", OlderS: -1}, "older_than_s:"},
		"never":                 {Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: rule + ";UNTIL=20200101T000000Z", Zone: "UTC", ForS: 3600}}, "window.rule: no window comes"},
		"never, by the month":   {Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: "FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30", Zone: "UTC", ForS: 3600}}, "window.rule: no window comes"},
		"no rule":               {Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: "now and then", Zone: "UTC", ForS: 3600}}, "window.rule:"},
		"no time zone":          {Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: rule, Zone: "Mars/Olympus", ForS: 3600}}, "window.zone:"},
		"the machine's zone":    {Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: rule, Zone: "Local", ForS: 3600}}, "window.zone:"},
		"a moment":              {Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: rule, Zone: "UTC", ForS: 1}}, "window.for_s:"},
		"without an end":        {Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: rule, Zone: "UTC", ForS: 90000}}, "window.for_s: the next"},
		"every minute":          {Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: "FREQ=MINUTELY", Zone: "UTC", ForS: 60}}, "window.rule: more often"},
		"starts":                {Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: rule, Zone: "UTC", ForS: 60, Starts: "soon"}}, "window.starts:"},
		"a window and a time":   {Spec{ID: "d-1", Zone: "a", ByMS: now.UnixMilli() + 1, Window: &Window{Rule: rule, Zone: "UTC", ForS: 60}}, "by_ms:"},
		"withdrawn beforehand":  {Spec{ID: "d-1", Zone: "a", Stopped: true}, "stopped:"},
		"not a number of hours": {Spec{ID: "d-1", Zone: "a", Window: &Window{Rule: rule, Zone: "UTC", ForS: 60, LeadS: -1}}, "window.lead_s:"},
	} {
		err := x.s.Check(now)
		if x.want == "" && err != nil || x.want != "" && (err == nil || !strings.Contains(err.Error(), x.want)) {
			t.Errorf("%s: %v, want %q", name, err, x.want)
		}
	}
}
