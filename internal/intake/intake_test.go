package intake_test

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/fleet"
	"drumpick/internal/intake"
	"drumpick/internal/ledger"
	"drumpick/internal/peer"
	"drumpick/internal/standin"
	"drumpick/internal/trace"

	"github.com/gofiber/fiber/v2"
)

const job = `{"uid":"j-1","jobclass":"train","owner":"vision","shape":"batch","urgency":"urgent","shots":4,
 "vcpus":1.0,"gpus":0.0,"mem_gb":2.0,"build":"img","size_gb":1.0,"rigs":null,"site":null,"one_zone":false,
 "apart":false,"loaners":true,"guess_s":10.0,"snapshot_s":0.0,"flush_s":0.0,"due_s":null}`

// A story sends requests: "submit", with changes to a good job such as
// "-uid" (left out) or "shots=0"; "raw BODY"; "GET /path"; "POST /path"; and
// changes what the service knows: "types", "outage on", "team vision 4".
func TestTraces(t *testing.T) {
	trace.Run(t, "*.trace", func(t *testing.T) func([]string) []string {
		state := standin.NewState()
		cfg := &config.Config{Node: "n-0"}
		cfg.Facts.Workers.ReportS = 2
		cfg.Facts.State.RPS = 100
		cfg.Facts.Teams = []config.Team{{Name: "vision", CPUsMax: 8}}
		s := intake.New(cfg, state.Client("n-0"), alone{}, func() string { return "n-1" }, func() intake.Local { return nil })
		types := []ledger.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Zones: []string{"a"}}}
		app := fiber.New(fiber.Config{BodyLimit: 64 << 10})
		s.Mount(app)
		send := func(method, path, body string) []string {
			req := httptest.NewRequest(method, path, strings.NewReader(body))
			resp, err := app.Test(req, -1)
			if err != nil {
				t.Fatal(err)
			}
			raw, _ := io.ReadAll(resp.Body)
			line := resp.Status + " " + string(raw)
			if ra := resp.Header.Get("Retry-After"); ra != "" {
				line += " (retry after " + ra + " s)"
			}
			return []string{line}
		}
		return func(w []string) []string {
			switch w[0] {
			case "types":
				s.SetTypes(types)
				return nil
			case "team":
				cfg.Facts.Teams = nil
				return nil
			case "small":
				cfg.Facts.State.ValueKB = 0.375
				return nil
			case "outage":
				state.Outage(w[1] == "on")
				return nil
			case "submit":
				body := job
				for _, change := range w[1:] {
					body = edit(body, strings.Replace(change, "IMG", strings.Repeat("img", 40), 1))
				}
				return send("POST", "/work", body)
			case "raw":
				return send("POST", "/work", strings.Join(w[1:], " "))
			case "checkin":
				return send("POST", "/checkin", `{"host":"m-1","stint":1,"tick":1}`)
			}
			return send(w[0], w[1], "")
		}
	})
}

// counted is a store that counts what it is asked.
type counted struct {
	*standin.Client
	gets, commits int
}

func (c *counted) Get(ctx context.Context, key string) (*ledger.Row, error) {
	c.gets++
	return c.Client.Get(ctx, key)
}

func (c *counted) Commit(ctx context.Context, when []ledger.Cond, ops []ledger.Op) (uint64, error) {
	c.commits++
	return c.Client.Commit(ctx, when, ops)
}

// A flood takes its share of the store and no more: thousands of polls for jobs that
// there are none of are told at once to come back, a job submitted again and again
// is committed once, and a submission in the midst is accepted.
func TestFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := &config.Config{Node: "n-0"}
		cfg.Facts.Workers.ReportS = 2
		cfg.Facts.State.RPS = 100
		cfg.Facts.Nodes = 2
		cfg.Facts.Teams = []config.Team{{Name: "vision"}}
		store := &counted{Client: standin.NewState().Client("n-0")}
		s := intake.New(cfg, store, alone{}, func() string { return "" }, func() intake.Local { return nil })
		s.SetTypes([]ledger.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Zones: []string{"a"}}})
		status := map[int]int{}
		for i := range 3000 {
			status[s.Answer(peer.Relay{Method: "poll", ID: "j-" + strconv.Itoa(1000+i)}).Status]++
		}
		if status[404] == 0 || status[503] == 0 || status[404]+status[503] != 3000 || store.gets > 400 {
			t.Errorf("3000 polls: answers %v, %d reads", status, store.gets)
		}
		if got := s.Answer(peer.Relay{Method: "submit", Body: []byte(job)}).Status; got != 201 {
			t.Errorf("a submission among them: %d", got)
		}
		time.Sleep(time.Minute)
		for range 50 {
			if got := s.Answer(peer.Relay{Method: "submit", Body: []byte(job)}).Status; got != 200 {
				t.Errorf("submitted again: %d", got)
			}
		}
		for range 50 {
			if got := s.Answer(peer.Relay{Method: "withdraw", ID: "j-1"}).Status; got != 200 {
				t.Errorf("withdrawn again: %d", got)
			}
		}
		if store.commits != 2 {
			t.Errorf("%d commits for one job and its cancellation", store.commits)
		}
	})
}

// leading takes every report that makes sense.
type leading struct{ reports, tasks int }

func (l *leading) Progress(string) (string, int, int, bool) { return "", 0, 0, false }
func (l *leading) Clear(string) (time.Duration, bool)       { return 0, false }
func (l *leading) Late(time.Duration)                       {}
func (l *leading) Unreachable(*fleet.Report) bool           { return true }
func (l *leading) Report(r *fleet.Report) (int, fleet.Response) {
	l.reports++
	l.tasks += len(r.Tasks)
	return 200, fleet.Response{Baton: 1, Orders: []fleet.Order{}}
}

// Garbled reports are refused before the leader sees them; a very long one is taken,
// whichever way it comes.
func TestReports(t *testing.T) {
	cfg := &config.Config{Node: "n-0"}
	cfg.Facts.State.RPS = 100
	l := &leading{}
	s := intake.New(cfg, standin.NewState().Client("n-0"), alone{}, func() string { return "n-0" }, func() intake.Local { return l })
	var tasks []string
	for i := range 900 {
		tasks = append(tasks, `{"shot":"j-000412/`+strconv.Itoa(i)+`","try":83886081,"status":"running"}`)
	}
	long := `{"host":"m-1","stint":1,"tick":1,"baton":1,"shots":[` + strings.Join(tasks, ",") + `]}`
	if len(long) < 50<<10 {
		t.Fatalf("the long report takes only %d bytes", len(long))
	}
	for _, x := range []struct {
		body string
		want int
	}{
		{"", 400}, {"nonsense", 400}, {"[]", 400}, {`{"host":"m-1"`, 400}, {`{"host":"","stint":1}`, 400}, {`{"host":"m-1"}`, 400},
		{`{"host":"m-1","stint":-1}`, 400}, {`{"host":"m-1","stint":1,"shots":{}}`, 400}, {long[:40<<10], 400},
		{`{"host":"m-1","stint":1,"tick":1,"shots":null,"later":[1]}`, 200}, {long, 200},
	} {
		name := x.body[:min(len(x.body), 40)]
		if out := s.Checkin([]byte(x.body)); out.Status != x.want {
			t.Errorf("%q: %d, want %d", name, out.Status, x.want)
		}
		if out := s.Forwarded(peer.Checkin{Body: []byte(x.body)}); out.Status != x.want {
			t.Errorf("%q through a peer: %d, want %d", name, out.Status, x.want)
		}
	}
	if l.reports != 4 || l.tasks != 1800 {
		t.Errorf("the leader saw %d reports with %d tasks", l.reports, l.tasks)
	}
}

// alone is a controller whose peers do not answer.
type alone struct{}

func (alone) Status(context.Context) ([]peer.Status, bool) { return nil, false }
func (alone) Progress(string, string) (peer.Progress, error) {
	return peer.Progress{}, errors.New("no answer")
}
func (alone) Checkins(string, peer.Bundle, time.Duration) (peer.Bundled, error) {
	return peer.Bundled{}, errors.New("no peers")
}

func (alone) Checkin(string, []byte) (peer.Relayed, error) {
	return peer.Relayed{}, errors.New("no answer")
}
func (alone) Relay(peer.Relay, time.Duration) (peer.Relayed, bool) { return peer.Relayed{}, false }

// edit changes one field of a job given as text.
func edit(body, change string) string {
	name, value, set := strings.Cut(strings.TrimPrefix(change, "-"), "=")
	i := strings.Index(body, `"`+name+`":`)
	if i < 0 {
		return strings.Replace(body, "{", `{"`+name+`":`+value+`,`, 1)
	}
	start := i + len(name) + 3
	end := start + strings.IndexAny(body[start:], ",}")
	if set {
		return body[:start] + value + body[end:]
	}
	if body[end] == '}' {
		return strings.TrimSuffix(body[:i], ",") + body[end:]
	}
	return body[:i] + body[end+1:]
}
