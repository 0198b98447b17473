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
	// sloReportsPerBound is the number of service-level reports per bound on a job's start.
	sloReportsPerBound = 4
	// A line is logged as a warning if the share of jobs started in time is below sloWarnShare, or
	// if the longest wait of a job that has not started exceeds waitWarnShare of the bound. So the
	// warning comes before half of the jobs start late, or a wait exceeds the bound.
	sloWarnShare, waitWarnShare = 0.6, 0.75
)

// reportSLO logs how many jobs started within the bound (Settings.BeginWithin), sloReportsPerBound
// times per bound: one line for each class, each team and the largest jobs of each class. The lines
// of teams and of classes with an objective also update metrics.
func (s *Scheduler) reportSLO(now time.Time) {
	bound := s.settings.BeginWithin
	if now.Sub(s.lastSLOReport) < bound/sloReportsPerBound {
		return
	}
	s.lastSLOReport = now
	for _, line := range s.slo.Summarize(bound, now) {
		// Users choose class names freely, so metrics for all classes would be unbounded in number.
		if line.Dimension == slo.ByTeam || s.hasObjective(line.Name) {
			setSLOGauges(line)
		}
		level := slog.LevelInfo
		if line.ShareInTime() < sloWarnShare || line.LongestWaitingJob != "" && float64(line.LongestWait) > waitWarnShare*float64(bound) {
			level = slog.LevelWarn
		}
		slog.Log(context.Background(), level, "service level", "by", line.Dimension, "name", line.Name,
			"arrived", line.Arrived, "begun", line.Started, "done", line.Done, "late", line.Late,
			"longest_s", line.LongestWait.Round(time.Second).Seconds(), "waiting", line.LongestWaitingJob, "term", s.term)
	}
}

func setSLOGauges(line slo.Summary) {
	for what, n := range map[string]int{"came": line.Arrived, "begun": line.Started, "done": line.Done, "late": line.Late} {
		name := `drumpick_served_jobs{by="` + line.Dimension + `",name="` + sanitizeLabel(line.Name) + `",what="` + what + `"}`
		metrics.GetOrCreateGauge(name, nil).Set(float64(n))
	}
}

// hasObjective reports whether any configured objective applies to a class.
func (s *Scheduler) hasObjective(class string) bool {
	return slices.ContainsFunc(s.settings.Objectives, func(o config.Objective) bool { return o.Class == class })
}

// sanitizeLabel replaces the characters of a user-chosen name that would break a metric label.
func sanitizeLabel(name string) string {
	out := []rune(name)
	for i, r := range out {
		if r == '"' || r == '\\' || r < ' ' {
			out[i] = '_'
		}
	}
	return string(out)
}
