package api_test

import (
	"testing"

	"drumpick/internal/api"
	"drumpick/internal/config"
	"drumpick/internal/fleet"
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
