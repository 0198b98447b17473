package recovery

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A panic is counted and reported to the caller, which may have to undo something.
func TestCallReportsPanic(t *testing.T) {
	before := panicsTotal.Get()
	if Call("test", func() { panic("injected") }) || panicsTotal.Get() != before+1 {
		t.Errorf("a panic counts as a return, or %d panics were counted, want 1", panicsTotal.Get()-before)
	}
	if !Call("test", func() {}) || panicsTotal.Get() != before+1 {
		t.Error("a return counts as a panic")
	}
}

// A background loop that panics runs again after the pause. Otherwise the controller would lack it
// for the rest of its life.
func TestLoopRunsAgainAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start, runs := time.Now(), 0
		Loop(t.Context(), "test", time.Second, func(context.Context) {
			if runs++; runs < 3 {
				panic("injected")
			}
		})
		if runs != 3 || time.Since(start) != 2*time.Second {
			t.Errorf("%d runs in %v, want 3 in 2s", runs, time.Since(start))
		}
	})
}
