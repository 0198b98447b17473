package scheduler

import (
	"drumpick/internal/fleet"

	"github.com/VictoriaMetrics/metrics"
)

// Why the scheduler stopped an attempt, as metrics and the log name it.
const (
	stopJobClosed        = "over"      // its job is closed, or not known
	stopDuplicate        = "stray"     // the task has another attempt
	stopMoved            = "moved"     // to fill or empty a bin, or a replica that leaves its machine
	stopPreempted        = "preempted" // for work of higher priority
	stopForGuarantee     = "guarantee" // for work within a guarantee
	stopPreemptionNotice = "notice"    // the cloud takes the machine back
	stopGangMember       = "mates"     // another task of its gang was lost or has to leave
	stopDrained          = "drained"   // for an operator's drain
)

// outcomeName names what became of a start that did not end in a result: why the scheduler stopped it,
// else how it ended by itself. Of attempts that are gone without an exit, "lease" is for a machine
// that was silent for its lease, "unsent" for a run command that never arrived, "lost" for all others.
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

// countWastedStart counts a start that did not end in a result, and returns its outcome. Without this
// count, work that is thrown away by decisions that each look small goes unnoticed: on crowded days it
// was a third of the starts of a class.
func (s *Scheduler) countWastedStart(a *fleet.Attempt) string {
	outcome := outcomeName(a)
	if a.State() != fleet.Planned && a.StopReason != stopJobClosed {
		metrics.GetOrCreateCounter(`drumpick_starts_in_vain_total{fate="` + outcome + `"}`).Inc()
	}
	return outcome
}
