package leader

import (
	"log/slog"
	"time"

	"drumpick/internal/recovery"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// longHoldDivisor is the divisor of the heartbeat interval that gives the time for which the lock of
	// the state may be held. All heartbeats wait for the lock: workers that get no answer lose their leases.
	longHoldDivisor = 4
	// holdWindow is the time over which the longest hold of the lock is reported.
	holdWindow = 5 * time.Minute
)

// lockHoldSeconds is how long the lock of the state was held; quantile 1 is the longest hold.
var lockHoldSeconds = metrics.NewSummaryExt("drumpick_lock_hold_seconds", holdWindow, []float64{0.5, 0.99, 1})

// acquire acquires the lock of the state. Each acquire needs one release, also after a panic: see lock.
func (t *term) acquire() {
	t.state.mu.Lock()
	t.state.lockedAt = time.Now()
}

// release releases the lock of the state, and records how long it was held.
func (t *term) release() {
	held := time.Since(t.state.lockedAt)
	t.state.mu.Unlock()
	lockHoldSeconds.Update(held.Seconds())
	if limit := t.settings.HeartbeatInterval / longHoldDivisor; held > limit {
		slog.Warn("lock held long", "held", held, "limit", limit, "term", t.number)
	}
}

// lock acquires the lock of the state. The caller must defer unlock.
func (t *term) lock() { t.acquire() }

// unlock releases the lock of the state. It must be deferred: if the caller panics, the state may be
// inconsistent, so unlock ends the term before it releases the lock, and the panic continues.
func (t *term) unlock() {
	defer t.release()
	if cause := recover(); cause != nil {
		t.state.inconsistent = true
		t.resignAfterPanic()
		panic(cause)
	}
}

// withState calls f with the lock of the state held, and reports whether it did: it does not once a
// panic has left the state inconsistent.
func (t *term) withState(f func()) (called bool) {
	t.lock()
	defer t.unlock()
	if t.state.inconsistent {
		return false
	}
	f()
	return true
}

// guard calls f, and reports a panic of f and ends the term. name names f in the report.
func (t *term) guard(name string, f func()) {
	if !recovery.Call(name, f) {
		t.resignAfterPanic()
	}
}

// resignAfterPanic ends the term. The next term, of this or another controller, loads its state from the
// store again. Without it, a leader would continue with a state that a panic has left inconsistent, or
// without one of its loops.
func (t *term) resignAfterPanic() {
	t.closed.Store(true)
	t.election.Resign()
}
