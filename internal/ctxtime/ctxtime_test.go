package ctxtime

import (
	"context"
	"errors"
	"testing"
	"time"
)

func TestSleepWaits(t *testing.T) {
	const d = 20 * time.Millisecond
	start := time.Now()
	if err := Sleep(t.Context(), d); err != nil || time.Since(start) < d {
		t.Errorf("got %v after %v, want nil after %v", err, time.Since(start), d)
	}
}

func TestSleepEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := Sleep(ctx, time.Hour); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want %v", err, context.Canceled)
	}
}
