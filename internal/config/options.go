package config

import (
	"fmt"

	"gopkg.in/ini.v1"
)

// Options are the settings of operators (INI). All but BeginWithinS are factors, counts, percentages or
// switches, so that one file suits deployments of any size.
type Options struct {
	// RoundIntervals is the length of a scheduling round, in heartbeat intervals.
	RoundIntervals float64
	// ForecastAlphaUp is the smoothing factor of the FUSD forecast (package forecast) while a
	// machine's utilization rises, -1 to 0.
	ForecastAlphaUp float64
	// ForecastAlphaDown is the smoothing factor of the FUSD forecast while a machine's utilization
	// falls, 0 to 0.999.
	ForecastAlphaDown float64
	// ForecastWindow is the number of heartbeats in the window of the FUSD forecast.
	ForecastWindow int
	// ForecastPercentile is the percentile of the window that counts as the observed utilization, 1
	// to 100.
	ForecastPercentile float64
	// LeaderLeaseIntervals is the duration of the leader's lease, in heartbeat intervals.
	LeaderLeaseIntervals float64
	// IdleStartups is how long an idle machine is kept, in startup times of the machine's type.
	IdleStartups float64
	// CapacityBackoffStartups is the backoff after the cloud had no capacity for a machine type, in
	// startup times of the type.
	CapacityBackoffStartups float64
	// OperatorAPI serves the operators' API in addition to the users' API.
	OperatorAPI bool
	// Watermarks stores, for each job, a task index that no dispatched task has reached. A new leader
	// dispatches the tasks from there on without waiting for heartbeats of all machines.
	Watermarks bool
	// LeaseExpiryProofs lets a new leader conclude that the leases of silent machines have expired: it
	// asks the controllers that may have renewed these leases. It requires Watermarks.
	LeaseExpiryProofs bool
	// HeartbeatRelay lets followers relay workers' heartbeats to the leader in batches.
	HeartbeatRelay bool
	// LoadShedding lets an overloaded leader skip task starts and scale-out.
	LoadShedding bool
	// Guarantees prioritizes tasks within a team's guarantee that can still start in time, and preempts
	// other tasks for them.
	Guarantees bool
	// Reservations reserves capacity for gangs and other jobs that need much capacity at once.
	Reservations bool
	// BeginWithinS is the time in seconds within which any job should start, if there is capacity for
	// it.
	BeginWithinS float64
	// ZoneHealth lets the scheduler wait for the machines of an unreachable zone instead of returning
	// them to the cloud as lost.
	ZoneHealth bool
}

// DefaultOptions returns the options that apply if the INI file does not set them.
func DefaultOptions() Options {
	return Options{
		RoundIntervals: 2, ForecastAlphaUp: -0.2, ForecastAlphaDown: 0.7, ForecastWindow: 8, ForecastPercentile: 90,
		LeaderLeaseIntervals: 2, IdleStartups: 1, CapacityBackoffStartups: 0.5, BeginWithinS: 240,
	}
}

// optionKey identifies a key in the INI file by its section and name.
type optionKey struct{ section, name string }

// invalid returns an Error for a key of the INI file.
func (k optionKey) invalid(format string, args ...any) error {
	return invalid(k.section+"."+k.name, "[%s] %s %s", k.section, k.name, fmt.Sprintf(format, args...))
}

// numberOption is a numeric option with its key, the field that it sets, and its range, inclusive.
type numberOption struct {
	optionKey
	value    *float64
	min, max float64
}

// switchOption is an option that is on or off, with its key and the field that it sets.
type switchOption struct {
	optionKey
	value *bool
}

// windowKey is the key of the only integer option, and maxWindow its upper bound.
var windowKey = optionKey{"forecast", "window"}

const maxWindow = 1000

// numbers lists the numeric options except the window.
func (o *Options) numbers() []numberOption {
	return []numberOption{
		{optionKey{"rounds", "round_reports"}, &o.RoundIntervals, 1, 1000},
		{optionKey{"forecast", "alpha_up"}, &o.ForecastAlphaUp, -1, 0},
		{optionKey{"forecast", "alpha_down"}, &o.ForecastAlphaDown, 0, 0.999},
		{optionKey{"forecast", "percentile"}, &o.ForecastPercentile, 1, 100},
		{optionKey{"leader", "grant_reports"}, &o.LeaderLeaseIntervals, 1, 20},
		{optionKey{"rental", "idle_startups"}, &o.IdleStartups, 0, 100},
		{optionKey{"largest", "begin_s"}, &o.BeginWithinS, 1, 86400},
		{optionKey{"rental", "refused_startups"}, &o.CapacityBackoffStartups, 0.05, 100},
	}
}

// switches lists the options that are on or off.
func (o *Options) switches() []switchOption {
	return []switchOption{
		{optionKey{"operator", "enabled"}, &o.OperatorAPI},
		{optionKey{"takeover", "marks"}, &o.Watermarks},
		{optionKey{"takeover", "lapses"}, &o.LeaseExpiryProofs},
		{optionKey{"relay", "enabled"}, &o.HeartbeatRelay},
		{optionKey{"overload", "shed"}, &o.LoadShedding},
		{optionKey{"zones", "dark"}, &o.ZoneHealth},
		{optionKey{"guarantees", "enabled"}, &o.Guarantees},
		{optionKey{"largest", "enabled"}, &o.Reservations},
	}
}

// LoadOptions reads the operators' INI file. Options that the file does not set keep their defaults; an
// unknown key is an error.
func LoadOptions(path string) (Options, error) {
	o := DefaultOptions()
	file, err := ini.Load(path)
	if err != nil {
		return o, fmt.Errorf("options: %w", err)
	}
	for _, read := range []func(*ini.File) error{o.readNumbers, o.readWindow, o.readSwitches, o.rejectUnknown} {
		if err := read(file); err != nil {
			return o, fmt.Errorf("options %s: %w", path, err)
		}
	}
	return o, nil
}

func (o *Options) readNumbers(file *ini.File) error {
	for _, option := range o.numbers() {
		section := file.Section(option.section)
		if !section.HasKey(option.name) {
			continue
		}
		v, err := section.Key(option.name).Float64()
		if err != nil || !(v >= option.min && v <= option.max) { // the negation rejects NaN
			return option.invalid("must be a number from %v to %v", option.min, option.max)
		}
		*option.value = v
	}
	return nil
}

func (o *Options) readWindow(file *ini.File) error {
	section := file.Section(windowKey.section)
	if !section.HasKey(windowKey.name) {
		return nil
	}
	v, err := section.Key(windowKey.name).Int()
	if err != nil || v < 1 || v > maxWindow {
		return windowKey.invalid("must be a whole number from 1 to %d", maxWindow)
	}
	o.ForecastWindow = v
	return nil
}

func (o *Options) readSwitches(file *ini.File) error {
	for _, option := range o.switches() {
		section := file.Section(option.section)
		if !section.HasKey(option.name) {
			continue
		}
		v, err := section.Key(option.name).Bool()
		if err != nil {
			return option.invalid("must be true or false")
		}
		*option.value = v
	}
	return nil
}

// rejectUnknown returns an error for the first key of the file that is not an option.
func (o *Options) rejectUnknown(file *ini.File) error {
	known := map[optionKey]bool{windowKey: true}
	for _, option := range o.numbers() {
		known[option.optionKey] = true
	}
	for _, option := range o.switches() {
		known[option.optionKey] = true
	}
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if k := (optionKey{section.Name(), key.Name()}); !known[k] {
				return k.invalid("is not known")
			}
		}
	}
	return nil
}
