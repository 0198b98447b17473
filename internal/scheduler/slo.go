package scheduler

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/slo"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// sloReportsPerBound is how often, in the bound on a job's begin, it is looked at who is served.
	sloReportsPerBound = 4
	// sloWarnShare is the share served in time below which, and the share of the bound waited
	// beyond which, that is a warning: before a half, and the bound, are missed.
	sloWarnShare, waitWarn = 0.6, 0.75
)

// reportSLO tells, now and then, who is served: one line for each class, team and class's
// largest, and a warning where less than half of them may end up without.
func (s *Scheduler) reportSLO(now time.Time) {
	if now.Sub(s.lastSLOReport) < s.settings.BeginWithin/sloReportsPerBound {
		return
	}
	s.lastSLOReport = now
	for _, line := range s.slo.Summarize(s.settings.BeginWithin, now) {
		for what, n := range map[string]int{"came": line.Arrived, "begun": line.Begun, "done": line.Done, "late": line.Late} {
			// Guards against metrics without end: users make classes up, settings do not.
			if line.Dimension != slo.ByTeam && !s.hasObjective(line.Name) {
				break
			}
			metrics.GetOrCreateGauge(`drumpick_served_jobs{by="`+line.Dimension+`",name="`+label(line.Name)+`",what="`+what+`"}`, nil).Set(float64(n))
		}
		level := slog.LevelInfo
		if line.ShareInTime() < sloWarnShare || line.Waiting != "" && float64(line.LongestWait) > waitWarn*float64(s.settings.BeginWithin) {
			level = slog.LevelWarn
		}
		slog.Log(context.Background(), level, "served", "by", line.Dimension, "name", line.Name, "came", line.Arrived, "begun", line.Begun, "done", line.Done, "late", line.Late,
			"longest_s", line.LongestWait.Round(time.Second).Seconds(), "waiting", line.Waiting, "term", s.term)
	}
}

// hasObjective says whether an objective speaks of a class.
func (s *Scheduler) hasObjective(class string) bool {
	return slices.ContainsFunc(s.settings.Objectives, func(o config.Objective) bool { return o.Class == class })
}

// label keeps what users make up from breaking the metrics' names.
func label(name string) string {
	out := []rune(name)
	for i, r := range out {
		if r == '"' || r == '\\' || r < ' ' {
			out[i] = '_'
		}
	}
	return string(out)
}
