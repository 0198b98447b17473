package scheduler

import (
	"github.com/VictoriaMetrics/metrics"

	"drumpick/internal/fleet"
)

// Why an attempt was stopped by our own choice, as metrics and the log name it.
const (
	whyOver      = "over"      // its job is, or nobody knows the job
	whyStray     = "stray"     // the task has another attempt
	whyMoved     = "moved"     // to fill or empty a bin, or a replica that leaves its machine
	whyPreempted = "preempted" // for work of higher priority
	whyGuarantee = "guarantee" // for work within a guarantee
	whyNotice    = "notice"    // the cloud takes the machine
	whyMates     = "mates"     // another task of its gang was lost or has to leave
	whyDrained   = "drained"   // for operators
)

// fate names what became of a start that did not end in a result: why we stopped it, else
// how it ended by itself. Of what is gone without a word, "lease" is a machine that was
// silent for its lease, "unsent" a run that never arrived, "lost" all else.
func fate(a *fleet.Attempt) string {
	switch {
	case a.Stopping() && a.StopReason != "":
		return a.StopReason
	case a.State() == fleet.Ended:
		return causeLabel(a.Cause)
	case a.Machine.LeaseExpired && !a.Machine.Failed:
		return "lease"
	case a.State() == fleet.Sent:
		return "unsent"
	}
	return "lost"
}

// inVain counts a start that did not end in a result. Guards against work that is thrown
// away by choices of ours that each look small: on crowded days it was a third of the
// starts of a class before it was counted.
func (c *Scheduler) inVain(a *fleet.Attempt) string {
	f := fate(a)
	if a.State() != fleet.Planned && a.StopReason != whyOver {
		metrics.GetOrCreateCounter(`drumpick_starts_in_vain_total{fate="` + f + `"}`).Inc()
	}
	return f
}
