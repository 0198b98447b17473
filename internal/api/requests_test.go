package api_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"drumpick/internal/api"
	"drumpick/internal/config"
	"drumpick/internal/peer"
	"drumpick/internal/records"
	"drumpick/internal/simulation"
)

// failingStore is a store that begins to fail with its first commit.
type failingStore struct {
	*simulation.Client
	failing bool
}

func (s *failingStore) Commit(context.Context, []records.Compare, []records.Op) (uint64, error) {
	s.failing = true
	return 0, records.ErrUnavailable
}

func (s *failingStore) Health() (time.Time, bool, time.Time) {
	lastOK, _, started := s.Client.Health()
	return lastOK, s.failing, started
}

// recordingPeers records the methods of relayed requests, and accepts each.
type recordingPeers struct {
	unreachablePeers
	methods []string
}

func (p *recordingPeers) Relay(r peer.RelayRequest, _ time.Duration) (peer.RelayReply, bool) {
	p.methods = append(p.methods, r.Method)
	return peer.RelayReply{Status: 201}, true
}

// A submission with dependencies is relayed under a method of its own also if the store begins to fail while
// the submission is handled. A peer of a version without dependencies would otherwise accept the job without
// them, and start it at once.
func TestSubmissionWithDependenciesIsRelayedAsSuch(t *testing.T) {
	for body, want := range map[string]string{
		validJob:                               peer.MethodSubmit,
		editField(validJob, `prereqs=["j-2"]`): peer.MethodSubmitWithDependencies,
	} {
		synctest.Test(t, func(t *testing.T) {
			cfg := &config.Config{Node: "n-0"}
			cfg.Deployment.Workers.HeartbeatS, cfg.Deployment.Store.RPS = 2, 100
			cfg.Deployment.Teams = []config.Team{{Name: "vision"}}
			simulated := simulation.NewStore()
			key := records.OpenKey("j-2")
			simulated.ImportEntries(map[string]records.KeyValue{key: {Key: key, Value: []byte(`{"uid":"j-2","shots":1}`), Revision: 1}})
			peers := &recordingPeers{}
			s := api.New(cfg, &failingStore{Client: simulated.Client("n-0")}, peers, fixedElection{}, func() api.Leader { return nil })
			s.SetMachineTypes([]records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Zones: []string{"a"}}})
			reply := s.HandleRequest(peer.RelayRequest{Method: peer.MethodSubmit, Body: []byte(body)})
			if reply.Status != 201 || len(peers.methods) != 1 || peers.methods[0] != want {
				t.Errorf("status %d, relayed as %q, want 201 and %q once", reply.Status, peers.methods, want)
			}
		})
	}
}
