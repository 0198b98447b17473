package election_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"drumpick/internal/election"
	"drumpick/internal/records"
	"drumpick/internal/scenario"
	"drumpick/internal/simulation"
)

// A scenario starts and kills processes of nodes ("start n-0 s1", "kill n-0"), makes the store fail
// ("outage on", "refuse n-0 on", "lose n-0 3": the next commit is applied 3 s late and gets no
// answer), lets time pass ("wait 5"), makes a leader resign ("resign n-0"), applies a campaign late
// ("late n-0 s1"), or makes a deposed leader write ("write TERM"). Leases last 4 s.
func TestTraces(t *testing.T) {
	scenario.Run(t, "*.trace", func(t *testing.T) func([]string) []string {
		// Each line replays the scenario so far within one synctest bubble.
		lines := make(chan []string)
		answers := make(chan []string)
		go replayLines(t, lines, answers)
		t.Cleanup(func() {
			close(lines)
			<-answers
		})
		return func(line []string) []string {
			lines <- line
			return <-answers
		}
	})
}

type process struct {
	election *election.Election
	client   *simulation.Client
	cancel   context.CancelFunc
	stopped  chan struct{}
}

// replayLines answers each line of one scenario.
func replayLines(t *testing.T, lines <-chan []string, answers chan<- []string) {
	defer close(answers)
	var events [][]string
	for line := range lines {
		events = append(events, line)
		var out []string
		// Replays from the start for every line: a bubble cannot wait for anything outside of it,
		// and simulated time makes the replay cheap.
		synctest.Test(t, func(t *testing.T) { out = replay(t, events) })
		answers <- out
	}
}

// replay runs the events of a scenario and returns the state after the last one.
func replay(t *testing.T, events [][]string) (last []string) {
	store := simulation.NewStore()
	nodes := map[string]*process{}
	kill := func(name string) {
		if p := nodes[name]; p != nil {
			p.client.Kill()
			p.cancel()
			<-p.stopped
			delete(nodes, name)
		}
	}
	for _, words := range events {
		last = nil
		switch words[0] {
		case "start":
			ctx, cancel := context.WithCancel(context.Background())
			p := &process{client: store.Client(words[1]), cancel: cancel, stopped: make(chan struct{})}
			p.election = election.New(p.client, words[1], words[2], 4*time.Second, false)
			nodes[words[1]] = p
			go func() {
				defer close(p.stopped)
				p.election.Run(ctx, func(ctx context.Context, _ uint64) { <-ctx.Done() })
			}()
			time.Sleep(100 * time.Millisecond)
		case "kill":
			kill(words[1])
		case "outage":
			store.SetOutage(words[1] == "on")
		case "refuse":
			store.SetRefused(words[1], words[2] == "on")
		case "lose":
			s, _ := strconv.Atoi(words[2])
			nodes[words[1]].client.LoseResponses(1, time.Duration(s)*time.Second)
		case "late":
			// Applies an abandoned campaign, on a lease of its own.
			c := store.Client("late")
			leaseID, err := c.GrantLease(context.Background(), 4*time.Second)
			if err == nil {
				_, err = c.Commit(context.Background(), []records.Compare{{Key: records.KeyLeader}},
					[]records.Op{{Write: records.KeyLeader, Value: records.Leader{Node: words[1], Incarnation: words[2]}, LeaseID: leaseID}})
			}
			if err != nil {
				t.Error(err)
			}
		case "resign":
			nodes[words[1]].election.Resign()
		case "wait":
			s, _ := strconv.ParseFloat(words[1], 64)
			time.Sleep(time.Duration(s * float64(time.Second)))
		case "write":
			term, _ := strconv.ParseUint(words[1], 10, 64)
			_, err := store.Client("late").Commit(context.Background(),
				[]records.Compare{{Key: records.KeyLeader, Revision: term}}, []records.Op{{Write: "x", Value: 1}})
			var conflict *records.ConflictError
			last = []string{fmt.Sprintf("refused: %v", errors.As(err, &conflict))}
		default:
			t.Errorf("unknown event %v", words)
		}
		if last == nil {
			for _, n := range []string{"n-0", "n-1", "n-2"} {
				p := nodes[n]
				if p == nil {
					continue
				}
				term, until := p.election.Term()
				line := n + " follows " + p.election.Leader()
				if term != 0 {
					line = fmt.Sprintf("%s leads, term %d, sure: %v", n, term, time.Now().Before(until))
				}
				last = append(last, line)
			}
		}
	}
	for _, n := range []string{"n-0", "n-1", "n-2"} {
		kill(n)
	}
	return last
}
