package scheduler

import "github.com/VictoriaMetrics/metrics"

var (
	heartbeatsTotal     = metrics.NewCounter("drumpick_reports_total")
	runsTotal           = metrics.NewCounter("drumpick_runs_total")
	movesTotal          = metrics.NewCounter("drumpick_moves_total")
	preemptedTotal      = metrics.NewCounter("drumpick_preempted_total")
	attemptsLostTotal   = metrics.NewCounter("drumpick_attempts_lost_total")
	startSeconds        = metrics.NewHistogram("drumpick_task_wait_seconds")
	lagSeconds          = metrics.NewGauge("drumpick_late_seconds", nil)
	unreachableMachines = metrics.NewGauge("drumpick_machines_deaf", nil)
	drainedTotal        = metrics.NewCounter("drumpick_drained_total")
)
