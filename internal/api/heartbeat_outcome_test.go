package api_test

import (
	"fmt"
	"testing"

	"drumpick/internal/api"
	"drumpick/internal/config"
	"drumpick/internal/fleet"
	"drumpick/internal/peer"
	"drumpick/internal/simulation"
)

// Each outcome of a heartbeat at the leader maps to its status code in the protocol. With another code,
// a worker would keep its lease, retry or change the controller at the wrong time.
func TestHeartbeatOutcomeStatus(t *testing.T) {
	for outcome, want := range map[fleet.HeartbeatOutcome]int{
		fleet.HeartbeatAccepted:    200,
		fleet.HeartbeatRedirected:  421,
		fleet.HeartbeatUnavailable: 503,
	} {
		leader := &goldenLeader{outcome: outcome}
		server := api.New(&config.Config{Node: "n-0"}, simulation.NewStore().Client("n-0"), unreachablePeers{},
			fixedElection{node: "n-0"}, func() api.Leader { return leader })
		if got := server.HandleHeartbeat([]byte(`{"host":"m-1","stint":1}`)); got.Status != want {
			t.Errorf("outcome %d: got status %d, want %d", outcome, got.Status, want)
		}
	}
}

// slowLeader answers each heartbeat with the start of a task of the job named like its machine. The
// heartbeat of machine "slow" waits until release is closed.
type slowLeader struct {
	acceptingLeader
	release   chan struct{}
	cancelled string // run commands of this job are withdrawn
}

func (l *slowLeader) HandleHeartbeat(heartbeat *fleet.Heartbeat) fleet.HeartbeatResult {
	if heartbeat.Machine == "slow" {
		<-l.release
	}
	run := fleet.Command{Verb: fleet.VerbRun, Task: heartbeat.Machine + "/0", Attempt: 1}
	return fleet.HeartbeatResult{Outcome: fleet.HeartbeatAccepted, Response: fleet.HeartbeatResponse{FencingToken: 1, Commands: []fleet.Command{run}}}
}

func (l *slowLeader) RecheckRuns(responses []*fleet.HeartbeatResponse) {
	for _, response := range responses {
		if response.Commands[0].Task == l.cancelled+"/0" {
			response.Commands = response.Commands[:0]
		}
	}
}

// The answers of a batch are checked again once its slowest heartbeat is handled. Otherwise a task started
// after its job's cancellation had been confirmed, by an answer that had waited for another machine's.
func TestRunsAreCheckedAfterBatchHasWaited(t *testing.T) {
	leader := &slowLeader{release: make(chan struct{})}
	server := api.New(&config.Config{Node: "n-0"}, simulation.NewStore().Client("n-0"), unreachablePeers{},
		fixedElection{node: "n-0"}, func() api.Leader { return leader })
	var batch peer.HeartbeatBatch
	batch.From = "n-1"
	for _, machine := range []string{"j-1", "slow", "j-2"} {
		batch.Heartbeats = append(batch.Heartbeats, fmt.Appendf(nil, `{"host":%q,"stint":1}`, machine))
	}
	replies := make(chan peer.HeartbeatBatchReply)
	go func() { replies <- server.HandleHeartbeatBatch(batch) }()
	leader.cancelled = "j-1"
	close(leader.release)
	for i, reply := range (<-replies).Replies {
		want := `{"baton":1,"orders":[{"verb":"run","shot":"` + []string{"", "slow", "j-2"}[i] + `/0","try":1}]}`
		if i == 0 {
			want = `{"baton":1,"orders":[]}`
		}
		if string(reply.Body) != want {
			t.Errorf("heartbeat %d is answered with %s, want %s", i, reply.Body, want)
		}
	}
}
