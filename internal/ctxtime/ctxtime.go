// Package ctxtime provides waits that end early if a context ends.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d. If ctx ends first, it returns early with the error of ctx.
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
