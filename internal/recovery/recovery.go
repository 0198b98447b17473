// Package recovery keeps a panic in one request, loop or term from ending the process.
package recovery

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"drumpick/internal/ctxtime"

	"github.com/VictoriaMetrics/metrics"
)

var panicsTotal = metrics.NewCounter("drumpick_panics_total")

// Report logs and counts a recovered panic with its stack. where names the part of the program. The
// deferred function that recovered the panic must call it, so that the stack includes the cause.
func Report(where string, cause any) {
	panicsTotal.Inc()
	slog.Error("panic recovered", "where", where, "err", fmt.Sprint(cause), "stack", string(debug.Stack()))
}

// Call calls f and reports whether f returned. If f panics, Call reports the panic and returns false.
func Call(where string, f func()) (returned bool) {
	defer func() {
		if cause := recover(); cause != nil {
			Report(where, cause)
		}
	}()
	f()
	return true
}

// Loop calls f, and calls it again after a pause whenever it panics, until it returns or ctx ends.
func Loop(ctx context.Context, where string, pause time.Duration, f func(context.Context)) {
	for !Call(where, func() { f(ctx) }) {
		if ctxtime.Sleep(ctx, pause) != nil {
			return
		}
	}
}
