package api_test

import (
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"drumpick/internal/api"
	"drumpick/internal/config"
	"drumpick/internal/peer"
	"drumpick/internal/records"
	"drumpick/internal/simulation"

	"github.com/gofiber/fiber/v2"
)

// cancellationPeers answers HandleCancellation as set, and counts the calls.
type cancellationPeers struct {
	unreachablePeers
	acknowledged bool
	err          error
	calls        int
}

func (a *cancellationPeers) NotifyCancelled(string, string) (bool, error) {
	a.calls++
	return a.acknowledged, a.err
}

// unsupportedError returns the error of HandleCancellation to a version that does not support it.
func unsupportedError(t *testing.T) error {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	peer.Mount(app, peer.Handlers{})
	go func() { _ = app.Listener(ln) }()
	defer func() { _ = app.Shutdown() }()
	_, err = peer.NewPeers([]config.Peer{{Node: "n-1", Addr: ln.Addr().String()}}, 5*time.Second).NotifyCancelled("n-1", "j-1")
	return err
}

// No user is told that a job is cancelled before the leader knows: neither by the answer to the
// cancellation, nor by a poll or a repeated submission. This lasts no longer than the leader's lease, and
// what was confirmed stays confirmed.
func TestCancellationIsReportedOnceLeaderKnows(t *testing.T) {
	old := unsupportedError(t)
	for name, x := range map[string]struct {
		leader string
		peers  cancellationPeers
		at     time.Duration // when it is confirmed, after the submission
		asks   int
	}{
		"the leader hears it":            {"n-1", cancellationPeers{acknowledged: true}, 0, 1},
		"nobody leads":                   {"", cancellationPeers{}, 0, 0},
		"an earlier version leads":       {"n-1", cancellationPeers{err: old}, 0, 1},
		"the leader has given up":        {"n-1", cancellationPeers{}, 5 * time.Second, 15},
		"the leader is away":             {"n-1", cancellationPeers{err: errors.New("no answer")}, 5 * time.Second, 15},
		"this one is not the leader yet": {"n-0", cancellationPeers{}, 5 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := &config.Config{Node: "n-0"}
				cfg.Options.LeaderLeaseIntervals = 2
				cfg.Deployment.Workers.HeartbeatS = 2 // a lease of 4 s
				cfg.Deployment.Store.RPS = 100
				cfg.Deployment.Teams = []config.Team{{Name: "vision"}}
				peers := x.peers
				s := api.New(cfg, simulation.NewStore().Client("n-0"), &peers, func() string { return x.leader }, func() api.Leader { return nil })
				s.SetMachineTypes([]records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Zones: []string{"a"}}})
				requests := []peer.RelayRequest{
					{Method: peer.MethodCancel, ID: "j-1"},
					{Method: peer.MethodPoll, ID: "j-1"},
					{Method: peer.MethodSubmit, Body: []byte(validJob)},
				}
				if out := s.HandleRequest(requests[2]); out.Status != 201 {
					t.Fatalf("submission: %d", out.Status)
				}
				began := time.Now()
				for time.Since(began) < 10*time.Second {
					for _, r := range requests {
						want := 200
						if time.Since(began) < x.at-500*time.Millisecond {
							want = 503
						}
						if out := s.HandleRequest(r); out.Status != want {
							t.Errorf("%s after %v: %d %s, want %d", r.Method, time.Since(began), out.Status, out.Body, want)
						}
					}
					time.Sleep(time.Second - time.Since(began)%time.Second)
				}
				if peers.calls != x.asks {
					t.Errorf("the leader was notified %d times, want %d", peers.calls, x.asks)
				}
			})
		})
	}
}
