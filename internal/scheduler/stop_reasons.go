package scheduler

import (
	"github.com/VictoriaMetrics/metrics"

	"drumpick/internal/fleet"
)

// Why an attempt was stopped by our own choice, as metrics and the log name it.
const (
	stopJobClosed        = "over"      // its job is, or nobody knows the job
	stopDuplicate        = "stray"     // the task has another attempt
	stopMoved            = "moved"     // to fill or empty a bin, or a replica that leaves its machine
	stopPreempted        = "preempted" // for work of higher priority
	stopForGuarantee     = "guarantee" // for work within a guarantee
	stopPreemptionNotice = "notice"    // the cloud takes the machine
	stopGangMember       = "mates"     // another task of its gang was lost or has to leave
	stopDrained          = "drained"   // for operators
)

// outcomeName names what became of a start that did not end in a result: why we stopped it, else
// how it ended by itself. Of what is gone without a word, "lease" is a machine that was
// silent for its lease, "unsent" a run that never arrived, "lost" all else.
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

// countWastedStart counts a start that did not end in a result. Guards against work that is thrown
// away by choices of ours that each look small: on crowded days it was a third of the
// starts of a class before it was counted.
func (s *Scheduler) countWastedStart(a *fleet.Attempt) string {
	outcome := outcomeName(a)
	if a.State() != fleet.Planned && a.StopReason != stopJobClosed {
		metrics.GetOrCreateCounter(`drumpick_starts_in_vain_total{fate="` + outcome + `"}`).Inc()
	}
	return outcome
}
