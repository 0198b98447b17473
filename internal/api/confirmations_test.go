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

// cancellationPeers are peers whose NotifyCancelled returns the given results and counts its calls.
type cancellationPeers struct {
	unreachablePeers
	acknowledged bool
	err          error
	calls        int
}

func (p *cancellationPeers) NotifyCancelled(string, string) (bool, error) {
	p.calls++
	return p.acknowledged, p.err
}

// unsupportedError returns the error of a NotifyCancelled call to a version that does not support it.
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

// No response to a cancellation, a poll or a repeated submission reports a job as cancelled before the
// leader has acknowledged the cancellation or the leader's lease has expired. Otherwise a leader that
// does not know of the cancellation could start tasks after the report. Once confirmed, a cancellation
// stays confirmed.
func TestCancellationIsReportedOnceLeaderKnows(t *testing.T) {
	unsupported := unsupportedError(t)
	for name, x := range map[string]struct {
		election       fixedElection
		peers          cancellationPeers
		confirmedAfter time.Duration // from the submission to the confirmation
		notifications  int           // calls of NotifyCancelled
	}{
		"leader acknowledges":              {fixedElection{node: "n-1"}, cancellationPeers{acknowledged: true}, 0, 1},
		"no leader known":                  {fixedElection{node: ""}, cancellationPeers{}, 0, 0},
		"leader not read yet":              {fixedElection{unread: true}, cancellationPeers{}, 5 * time.Second, 0},
		"leader does not support the call": {fixedElection{node: "n-1"}, cancellationPeers{err: unsupported}, 0, 1},
		"leader does not acknowledge":      {fixedElection{node: "n-1"}, cancellationPeers{}, 5 * time.Second, 15},
		"leader unreachable":               {fixedElection{node: "n-1"}, cancellationPeers{err: errors.New("no answer")}, 5 * time.Second, 15},
		"elected but not leading yet":      {fixedElection{node: "n-0"}, cancellationPeers{}, 5 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := &config.Config{Node: "n-0"}
				cfg.Options.LeaderLeaseIntervals = 2
				cfg.Deployment.Workers.HeartbeatS = 2 // a lease of 4 s
				cfg.Deployment.Store.RPS = 100
				cfg.Deployment.Teams = []config.Team{{Name: "vision"}}
				peers := x.peers
				s := api.New(cfg, simulation.NewStore().Client("n-0"), &peers, x.election, func() api.Leader { return nil })
				s.SetMachineTypes([]records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Zones: []string{"a"}}})
				requests := []peer.RelayRequest{
					{Method: peer.MethodCancel, ID: "j-1"},
					{Method: peer.MethodPoll, ID: "j-1"},
					{Method: peer.MethodSubmit, Body: []byte(validJob)},
				}
				if reply := s.HandleRequest(requests[2]); reply.Status != 201 {
					t.Fatalf("submission: status %d, want 201", reply.Status)
				}
				start := time.Now()
				for time.Since(start) < 10*time.Second {
					for _, r := range requests {
						want := 200
						if time.Since(start) < x.confirmedAfter-500*time.Millisecond {
							want = 503
						}
						if reply := s.HandleRequest(r); reply.Status != want {
							t.Errorf("%s after %v: %d %s, want %d", r.Method, time.Since(start), reply.Status, reply.Body, want)
						}
					}
					time.Sleep(time.Second - time.Since(start)%time.Second)
				}
				if peers.calls != x.notifications {
					t.Errorf("the leader was notified %d times, want %d", peers.calls, x.notifications)
				}
			})
		})
	}
}

// While no node leads, a cancellation is confirmed only after the time that an answer takes to its worker: a
// leader that has just ended may have sent one that starts a task of the job. If a node leads by then, it is
// notified.
func TestCancellationAwaitsLastAnswersOfEndedLeader(t *testing.T) {
	for name, x := range map[string]struct {
		electedAfter time.Duration // 0: no node is elected
		want         int           // calls of NotifyCancelled
	}{"no election": {0, 0}, "an election meanwhile": {50 * time.Millisecond, 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := &config.Config{Node: "n-0"}
				cfg.Options.LeaderLeaseIntervals = 2
				cfg.Deployment.Workers.HeartbeatS = 2
				cfg.Deployment.Store.RPS = 100
				cfg.Deployment.Teams = []config.Team{{Name: "vision"}}
				peers := cancellationPeers{acknowledged: true}
				elected := &laterElection{after: time.Now().Add(x.electedAfter), enabled: x.electedAfter > 0}
				s := api.New(cfg, simulation.NewStore().Client("n-0"), &peers, elected, func() api.Leader { return nil })
				s.SetMachineTypes([]records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Zones: []string{"a"}}})
				if reply := s.HandleRequest(peer.RelayRequest{Method: peer.MethodSubmit, Body: []byte(validJob)}); reply.Status != 201 {
					t.Fatalf("submission: status %d, want 201", reply.Status)
				}
				start := time.Now()
				reply := s.HandleRequest(peer.RelayRequest{Method: peer.MethodCancel, ID: "j-1"})
				if took := time.Since(start); reply.Status != 200 || took < config.AnswerDelivery(2*time.Second) {
					t.Errorf("cancellation: status %d after %v, want 200 after %v", reply.Status, took, config.AnswerDelivery(2*time.Second))
				}
				if peers.calls != x.want {
					t.Errorf("the leader was notified %d times, want %d", peers.calls, x.want)
				}
			})
		})
	}
}

// laterElection is an election that node n-1 wins at a time, if enabled.
type laterElection struct {
	after   time.Time
	enabled bool
}

func (e *laterElection) Leader() string {
	if e.enabled && !time.Now().Before(e.after) {
		return "n-1"
	}
	return ""
}

func (e *laterElection) KnowsLeader() bool { return true }
