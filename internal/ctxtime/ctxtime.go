// Package ctxtime provides waits that end early if a context ends.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d and returns nil. If ctx ends first, it returns the error of ctx at once.
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
