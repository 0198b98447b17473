package leader

import (
	"context"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/election"
	"drumpick/internal/fleet"
)

// newIdleLeader returns a leader without loops whose state is loaded.
func newIdleLeader() *Leader {
	cfg := &config.Config{Options: config.DefaultOptions()}
	cfg.Deployment.Workers = config.Workers{HeartbeatS: 2, LeaseS: 12, GangWaitS: 30, GangPeerLossS: 5, CancelS: 30}
	t := newTerm(cfg, nil, nil, nil, election.New(nil, "n-0", "start-1", 4*time.Second, false), 1)
	close(t.loaded)
	t.contact.record(time.Now())
	return &Leader{term: t}
}

// A panic while the lock of the state is held leaves the state inconsistent. The lock must be released,
// or every later request would wait forever, and the term must end: no worker is answered and no loop
// continues from that state.
func TestPanicUnderLockEndsTerm(t *testing.T) {
	l := newIdleLeader()
	func() {
		defer func() {
			if recover() == nil {
				t.Error("the panic does not reach the caller")
			}
		}()
		l.lock()
		defer l.unlock()
		panic("injected")
	}()
	if !l.closed.Load() {
		t.Error("the term continues")
	}
	if l.withState(func() {}) {
		t.Error("a loop may use the inconsistent state")
	}
	if result := l.HandleHeartbeat(&fleet.Heartbeat{Machine: "m-1", Incarnation: 1}); result.Outcome != fleet.HeartbeatRedirected {
		t.Errorf("a heartbeat gets outcome %v, want a redirection", result.Outcome)
	}
	if l.NotifyCancelled(context.Background(), "j-1") {
		t.Error("a cancellation is acknowledged")
	}
}

// A heartbeat that waits for the lock while its holder panics must not be answered from the
// inconsistent state: its run commands could start tasks twice.
func TestHeartbeatBehindPanicIsRedirected(t *testing.T) {
	l := newIdleLeader()
	l.state.inconsistent = true // as the holder of the lock leaves it
	if result := l.HandleHeartbeat(&fleet.Heartbeat{Machine: "m-1", Incarnation: 1}); result.Outcome != fleet.HeartbeatRedirected {
		t.Errorf("got outcome %v, want a redirection", result.Outcome)
	}
}
