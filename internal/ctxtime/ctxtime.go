// Package ctxtime provides waits that end early if a context ends.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d and returns nil. If ctx ends first, it returns the error of ctx at once. For a d of
// 0 or less it returns the error of ctx without waiting, nil if ctx has not ended.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
