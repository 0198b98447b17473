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
	// sloReportsPerBound is how many service-level reports there are within the bound on a job's start.
	sloReportsPerBound = 4
	// sloWarnShare is the share of jobs begun in time below which a report is a warning, and
	// waitWarnShare the share of the bound that a job waited beyond which it is: before a half of the
	// jobs, or the bound, is missed.
	sloWarnShare, waitWarnShare = 0.6, 0.75
)

// reportSLO reports, now and then, how many jobs began in time: one line for each class, for each team
// and for each class's largest jobs, as a warning where less than half of them may end up without.
func (s *Scheduler) reportSLO(now time.Time) {
	bound := s.settings.BeginWithin
	if now.Sub(s.lastSLOReport) < bound/sloReportsPerBound {
		return
	}
	s.lastSLOReport = now
	for _, line := range s.slo.Summarize(bound, now) {
		// Users make classes up, settings do not: without this, there would be metrics without end.
		if line.Dimension == slo.ByTeam || s.hasObjective(line.Name) {
			setSLOGauges(line)
		}
		level := slog.LevelInfo
		if line.ShareInTime() < sloWarnShare || line.Waiting != "" && float64(line.LongestWait) > waitWarnShare*float64(bound) {
			level = slog.LevelWarn
		}
		slog.Log(context.Background(), level, "service level", "by", line.Dimension, "name", line.Name,
			"arrived", line.Arrived, "begun", line.Started, "done", line.Done, "late", line.Late,
			"longest_s", line.LongestWait.Round(time.Second).Seconds(), "waiting", line.Waiting, "term", s.term)
	}
}

func setSLOGauges(line slo.Summary) {
	for what, n := range map[string]int{"came": line.Arrived, "begun": line.Started, "done": line.Done, "late": line.Late} {
		name := `drumpick_served_jobs{by="` + line.Dimension + `",name="` + sanitizeLabel(line.Name) + `",what="` + what + `"}`
		metrics.GetOrCreateGauge(name, nil).Set(float64(n))
	}
}

// hasObjective reports whether an objective applies to a class.
func (s *Scheduler) hasObjective(class string) bool {
	return slices.ContainsFunc(s.settings.Objectives, func(o config.Objective) bool { return o.Class == class })
}

// sanitizeLabel keeps names that users make up from breaking the metrics' labels.
func sanitizeLabel(name string) string {
	out := []rune(name)
	for i, r := range out {
		if r == '"' || r == '\\' || r < ' ' {
			out[i] = '_'
		}
	}
	return string(out)
}
