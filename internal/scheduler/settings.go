package scheduler

import (
	"time"

	"drumpick/internal/config"
	"drumpick/internal/forecast"
	"drumpick/internal/records"
)

// Settings configure a Scheduler. SettingsOf derives them from the platform's configuration.
type Settings struct {
	HeartbeatInterval       time.Duration
	Lease                   time.Duration // after which a worker's lease has expired, including clock drift and the delivery time of an answer
	RebalanceInterval       time.Duration // between rebalancing rounds
	GangPeerTimeout         time.Duration // within which a gang's tasks detect a lost peer
	ListLag                 time.Duration // how far the cloud's list of machines may lag behind
	ChunkTasks              int           // tasks per chunk of finished tasks
	PartTasks               int           // tasks per part of a chunk; a record holds one part
	IdleStartups            float64       // how long an empty machine is kept, in startup times of its type
	CapacityBackoffStartups float64       // pause after the cloud had no capacity for an offer, in startup times of its type
	Zones                   []string
	Objectives              []config.Objective
	Teams                   map[string]config.Team
	Forecast                forecast.Params

	Watermarks   bool // a task is sent only below a stored watermark
	LoadShedding bool // starts are delayed while the leader falls behind
	Guarantees   bool // of the jobs within a guarantee, those that can start in time go first, and late ones do not preempt for it
	ZoneHealth   bool // zone outages are detected, and machines of such a zone are waited for before they are replaced

	GuaranteeWithin  time.Duration // within which a guaranteed job must start; 0: no objective states it
	BeginWithin      time.Duration // within which any job should start; the bound of the SLO report
	ReservationBound time.Duration // within which any job must start, even the largest; 0: no reservations
}

// SettingsOf derives the settings of a Scheduler from the platform's configuration.
func SettingsOf(c *config.Config) Settings {
	workers := c.Deployment.Workers
	interval, lease := config.Seconds(workers.HeartbeatS), config.Seconds(workers.LeaseS)
	chunkTasks := records.ChunkTasks(c.Deployment.Store.ValueKB)
	s := Settings{
		HeartbeatInterval: interval,
		// A worker's lease expires by its own clock, so clock drift is added, and a margin for the
		// delivery time of an answer.
		Lease:                   lease + config.MaxDrift(lease) + interval/4,
		RebalanceInterval:       time.Duration(float64(interval) * c.Options.RoundIntervals),
		GangPeerTimeout:         config.Seconds(workers.GangPeerLossS),
		ListLag:                 config.Seconds(c.Deployment.Cloud.ListLagS),
		ChunkTasks:              chunkTasks,
		PartTasks:               records.PartTasks(chunkTasks, c.Deployment.Store.Lowest().ValueKB),
		IdleStartups:            c.Options.IdleStartups,
		CapacityBackoffStartups: c.Options.CapacityBackoffStartups,
		Zones:                   c.Deployment.Zones,
		Objectives:              c.Deployment.Objectives,
		Teams:                   map[string]config.Team{},
		Forecast: forecast.Params{
			Up: c.Options.ForecastAlphaUp, Down: c.Options.ForecastAlphaDown,
			Window: c.Options.ForecastWindow, Percentile: c.Options.ForecastPercentile,
		},
		Watermarks:   c.Options.Watermarks,
		LoadShedding: c.Options.LoadShedding,
		Guarantees:   c.Options.Guarantees,
		ZoneHealth:   c.Options.ZoneHealth,
		BeginWithin:  config.Seconds(c.Options.BeginWithinS),
	}
	if c.Options.Reservations {
		s.ReservationBound = s.BeginWithin
	}
	s.GuaranteeWithin = shortestGuarantee(c.Deployment.Objectives)
	for _, team := range c.Deployment.Teams {
		s.Teams[team.Name] = team
	}
	return s
}

// shortestGuarantee returns the shortest time within which the objectives require a guaranteed job to
// start, or 0 if none states one.
func shortestGuarantee(objectives []config.Objective) time.Duration {
	var shortest time.Duration
	for _, o := range objectives {
		within := config.Seconds(o.WithinS)
		if o.Kind == config.KindGuarantee && within > 0 && (shortest == 0 || within < shortest) {
			shortest = within
		}
	}
	return shortest
}
