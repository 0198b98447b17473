// Package ctxtime waits for a time in ways that end with a context.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d. It returns early with the context's error when ctx ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
