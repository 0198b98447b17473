package scheduler

import (
	"drumpick/internal/fleet"

	"github.com/VictoriaMetrics/metrics"
)

// Reasons for which the scheduler stops an attempt, as named in metrics and logs.
const (
	stopJobClosed        = "over"      // the job is closed or unknown
	stopDuplicate        = "stray"     // the task has another attempt
	stopMoved            = "moved"     // moved to fill or empty a bin, or a service replica that leaves its machine
	stopPreempted        = "preempted" // for a job of higher priority
	stopForGuarantee     = "guarantee" // for a job within its guarantee
	stopPreemptionNotice = "notice"    // the cloud preempts the machine
	stopGangMember       = "mates"     // another task of the gang was lost, ended without a result or is being stopped
	stopDrained          = "drained"   // an operator drains the machine
)

// outcomeName returns the metric label for the outcome of an attempt without a result: the reason
// for which the scheduler stopped it, or else the reported cause of its end. Without a reported
// end, the outcome is "lease" if the machine's lease expired and the cloud did not report it failed,
// else "unsent" if the worker never reported the attempt, and "lost" otherwise.
func outcomeName(attempt *fleet.Attempt) string {
	switch {
	case attempt.Stopping() && attempt.StopReason != "":
		return attempt.StopReason
	case attempt.State() == fleet.Ended:
		return causeLabel(attempt.Cause)
	case attempt.Machine.LeaseExpired && !attempt.Machine.Failed:
		return "lease"
	case attempt.State() == fleet.Sent:
		return "unsent"
	}
	return "lost"
}

// countWastedStart counts an attempt that ended without a result, unless it was only planned or was
// stopped because its job is closed, and returns its outcome. The metric shows work that is lost by
// many individually small decisions: under high load, it was a third of the starts of a class.
func (s *Scheduler) countWastedStart(a *fleet.Attempt) string {
	outcome := outcomeName(a)
	if a.State() != fleet.Planned && a.StopReason != stopJobClosed {
		metrics.GetOrCreateCounter(`drumpick_starts_in_vain_total{fate="` + outcome + `"}`).Inc()
	}
	return outcome
}
