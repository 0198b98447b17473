package scheduler

import (
	"time"

	"drumpick/internal/config"
	"drumpick/internal/forecast"
	"drumpick/internal/records"
)

// Settings are what a Scheduler is configured with. All durations derive from the platform's
// configuration.
type Settings struct {
	HeartbeatInterval       time.Duration
	Lease                   time.Duration // of a worker, clock drift and the way of an answer included
	RebalanceInterval       time.Duration // between two rebalancing rounds
	GangPeerTimeout         time.Duration
	ListLag                 time.Duration // by how much the cloud's list of machines may lag behind
	ChunkTasks              int           // tasks of a chunk of finished tasks
	PartTasks               int           // tasks of what one record holds of a chunk
	IdleStartups            float64
	CapacityBackoffStartups float64
	Zones                   []string
	Objectives              []config.Objective
	Teams                   map[string]config.Team
	Forecast                forecast.Params

	Watermarks   bool // no task is sent that the store has no watermark for
	LoadShedding bool // starts are left out while the leader falls behind
	Guarantees   bool // jobs within a guarantee that can begin in time go first and may preempt
	ZoneHealth   bool // the leader waits for the machines of a zone with a suspected outage

	GuaranteeWithin  time.Duration // within which a guaranteed job is to begin; 0: no objective says
	BeginWithin      time.Duration // within which any job should begin, for the service-level report
	ReservationBound time.Duration // within which any job is to begin, the largest too; 0: no reservations
}

// SettingsOf derives the settings from the configuration.
func SettingsOf(c *config.Config) Settings {
	workers := c.Deployment.Workers
	interval, lease := config.Seconds(workers.HeartbeatS), config.Seconds(workers.LeaseS)
	chunkTasks := records.ChunkTasks(c.Deployment.State.ValueKB)
	s := Settings{
		HeartbeatInterval: interval,
		// A worker's lease expires by its own clock, so clock drift is added, and a
		// margin for the time between writing an answer and its arrival.
		Lease:                   lease + config.Drift(lease) + interval/4,
		RebalanceInterval:       time.Duration(float64(interval) * c.Options.RoundIntervals),
		GangPeerTimeout:         config.Seconds(workers.GangPeerS),
		ListLag:                 config.Seconds(c.Deployment.Cloud.ListLagS),
		ChunkTasks:              chunkTasks,
		PartTasks:               records.PartTasks(chunkTasks, c.Deployment.State.Lowest().ValueKB),
		IdleStartups:            c.Options.IdleStartups,
		CapacityBackoffStartups: c.Options.CapacityBackoffStartups,
		Zones:                   c.Deployment.Zones,
		Objectives:              c.Deployment.Objectives,
		Teams:                   map[string]config.Team{},
		Forecast: forecast.Params{
			Up: c.Options.AlphaUp, Down: c.Options.AlphaDown,
			Window: c.Options.Window, Percentile: c.Options.Percentile,
		},
		Watermarks:   c.Options.Watermarks,
		LoadShedding: c.Options.LoadShedding,
		Guarantees:   c.Options.Guarantees,
		ZoneHealth:   c.Options.ZoneHealth,
		BeginWithin:  config.Seconds(c.Options.BeginS),
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

// shortestGuarantee returns the shortest time of the objectives within which a guaranteed job is to
// begin, 0 if none states one.
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
