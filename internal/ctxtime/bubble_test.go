package ctxtime

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// A wait that is already over returns at once, with the error of a context that has ended. In a bubble of
// synctest under the race detector, a channel timer that is already due when it is selected on crashes
// the runtime (Go 1.26), and with it every test of the process.
func TestSleepOfNoTimeUsesNoTimer(t *testing.T) {
	const bubbles, goroutines, waits = 300, 60, 8
	for range bubbles {
		synctest.Test(t, func(t *testing.T) {
			var running sync.WaitGroup
			for i := range goroutines {
				running.Go(func() {
					for range waits {
						if err := Sleep(t.Context(), -time.Duration(i)); err != nil {
							t.Errorf("got %v, want nil", err)
						}
					}
				})
			}
			running.Wait()
		})
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if err := Sleep(ended, 0); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want %v", err, context.Canceled)
	}
}
