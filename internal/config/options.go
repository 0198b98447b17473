package config

import (
	"fmt"

	"gopkg.in/ini.v1"
)

// Options are the operators' own settings (INI). All are ratios or factors,
// so that one file suits deployments of any size.
type Options struct {
	RoundIntervals          float64 // length of a round, in worker report intervals
	AlphaUp                 float64 // FUSD factor while use rises, -1 to 0
	AlphaDown               float64 // FUSD factor while use falls, 0 to 1
	Window                  int     // reports in FUSD's window
	Percentile              float64 // percentile of the window taken as observed use
	LeaderLeaseIntervals    float64 // life of the leader's grant, in worker report intervals
	IdleStartups            float64 // an empty machine is kept this many startup times
	CapacityBackoffStartups float64 // pause after "no capacity", in startup times
	Operators               bool    // operators are served beside users
	Watermarks              bool    // the store says how far jobs were sent, for takeovers
	LeaseExpiryProofs       bool    // a takeover knows that leases have ended by who may have renewed them
	HeartbeatRelay          bool    // controllers pass workers' reports on to the leader
	LoadShedding            bool    // a leader that falls behind leaves starts out
	Guarantees              bool    // work within a guarantee that can begin in time goes first, and finds room
	Reservations            bool    // room is saved for what needs much of it at once
	BeginS                  float64 // s within which any job is to begin, if there is room for it at all
	ZoneHealth              bool    // machines of a zone that is cut off are waited for
}

// DefaultOptions are used for whatever the INI file does not set.
func DefaultOptions() Options {
	return Options{
		RoundIntervals: 2, AlphaUp: -0.2, AlphaDown: 0.7, Window: 8, Percentile: 90,
		LeaderLeaseIntervals: 2, IdleStartups: 1, CapacityBackoffStartups: 0.5, BeginS: 240,
	}
}

// LoadOptions reads the operators' INI file over the defaults.
func LoadOptions(path string) (Options, error) {
	o := DefaultOptions()
	f, err := ini.Load(path)
	if err != nil {
		return o, fmt.Errorf("options: %w", err)
	}
	known := map[string]bool{}
	for _, e := range []struct {
		section, key string
		v            *float64
		min, max     float64
	}{
		{"rounds", "round_reports", &o.RoundIntervals, 1, 1000},
		{"forecast", "alpha_up", &o.AlphaUp, -1, 0},
		{"forecast", "alpha_down", &o.AlphaDown, 0, 0.999},
		{"forecast", "percentile", &o.Percentile, 1, 100},
		{"leader", "grant_reports", &o.LeaderLeaseIntervals, 1, 20},
		{"rental", "idle_startups", &o.IdleStartups, 0, 100},
		{"largest", "begin_s", &o.BeginS, 1, 86400},
		{"rental", "refused_startups", &o.CapacityBackoffStartups, 0.05, 100},
	} {
		known[e.section+"."+e.key] = true
		if !f.Section(e.section).HasKey(e.key) {
			continue
		}
		v, err := f.Section(e.section).Key(e.key).Float64()
		if err != nil || !(v >= e.min && v <= e.max) {
			return o, fmt.Errorf("options %s: [%s] %s must be a number from %v to %v", path, e.section, e.key, e.min, e.max)
		}
		*e.v = v
	}
	known["forecast.window"] = true
	if k := f.Section("forecast"); k.HasKey("window") {
		v, err := k.Key("window").Int()
		if err != nil || v < 1 || v > 1000 {
			return o, fmt.Errorf("options %s: [forecast] window must be a whole number from 1 to 1000", path)
		}
		o.Window = v
	}
	for _, e := range []struct {
		section, key string
		v            *bool
	}{
		{"operator", "enabled", &o.Operators},
		{"takeover", "marks", &o.Watermarks},
		{"takeover", "lapses", &o.LeaseExpiryProofs},
		{"relay", "enabled", &o.HeartbeatRelay},
		{"overload", "shed", &o.LoadShedding},
		{"zones", "dark", &o.ZoneHealth},
		{"guarantees", "enabled", &o.Guarantees},
		{"largest", "enabled", &o.Reservations},
	} {
		known[e.section+"."+e.key] = true
		if !f.Section(e.section).HasKey(e.key) {
			continue
		}
		v, err := f.Section(e.section).Key(e.key).Bool()
		if err != nil {
			return o, fmt.Errorf("options %s: [%s] %s must be true or false", path, e.section, e.key)
		}
		*e.v = v
	}
	for _, s := range f.Sections() {
		for _, k := range s.Keys() {
			if !known[s.Name()+"."+k.Name()] {
				return o, fmt.Errorf("options %s: [%s] %s is not known", path, s.Name(), k.Name())
			}
		}
	}
	return o, nil
}
