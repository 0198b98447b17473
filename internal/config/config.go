// Package config reads the settings that the platform provides (TOML) and the options that operators
// set (INI). It rejects values that would make a controller misbehave, with a one-line error that names
// the key.
//
// The fields are named by the terms of the code; the keys of the files are older and appear only in the
// tags, in options.go and in error texts. Fields that end in S are in seconds, those in MS in
// milliseconds, those in KB in KiB and those in MB in MiB; RPS is requests per second.
package config

import "time"

// Config is the content of the platform's settings file, together with the operators' options.
type Config struct {
	Node       string     `toml:"node_name"` // name of this controller, unique in the deployment
	Zone       string     `toml:"zone"`      // zone that this controller runs in
	UserAddr   string     `toml:"bind"`      // host:port on which users, workers and health checks are served
	PeerAddr   string     `toml:"back"`      // host:port on which other controllers and metrics are served
	Peers      []Peer     `toml:"seeds"`     // the other controllers
	External   External   `toml:"external"`  // addresses of other services
	Deployment Deployment `toml:"facts"`     // parameters of the deployment, equal at all controllers
	Options    Options    `toml:"-"`         // read from a separate file
}

// Peer is another controller.
type Peer struct {
	Node string `toml:"node_name"` // name of the controller
	Zone string `toml:"zone"`      // zone that the controller runs in
	Addr string `toml:"peer_addr"` // host:port on which the controller serves other controllers
}

// External holds the addresses of other services, each as host:port.
type External struct {
	Cloud string `toml:"cloud"` // the cloud's API
	Store string `toml:"state"` // the key-value store
}

// Deployment holds the parameters of a deployment.
type Deployment struct {
	Nodes           int         `toml:"nodes"`         // number of controllers; if not set, the number of Peers plus one
	Zones           []string    `toml:"zones"`         // zones in which gangs that need a single zone may be placed, and that drains may name
	MaxClockErrorMS float64     `toml:"time_bound_ms"` // maximum error of a machine's wall clock
	Teams           []Team      `toml:"teams"`         // teams that may submit jobs
	Objectives      []Objective `toml:"objectives"`    // service-level objectives of classes of jobs
	Workers         Workers     `toml:"workers"`       // intervals and timeouts of workers
	Store           StoreLimits `toml:"state"`         // limits of the key-value store
	Cloud           CloudLimits `toml:"cloud"`         // limits of the cloud's API
	Resources       Resources   `toml:"resources"`     // resources that a controller may use on its machine
}

// Team is a team with its guarantees and limits. Each amount applies to all running tasks of the team
// together; 0 means no guarantee or no limit.
type Team struct {
	Name           string  `toml:"name"`     // name by which jobs refer to the team
	GuaranteedCPUs float64 `toml:"cpus"`     // CPUs that the team gets if its jobs need them
	LimitCPUs      float64 `toml:"cpus_max"` // maximum number of CPUs
	GuaranteedGPUs float64 `toml:"gpus"`     // GPUs that the team gets if its jobs need them
	LimitGPUs      float64 `toml:"gpus_max"` // maximum number of GPUs
}

// Kinds of objectives that affect the scheduling order; the settings may contain other kinds.
const (
	KindWait     = "wait"     // tasks start within WithinS
	KindDeadline = "deadline" // jobs end within DeadlineFactor times their deadline
	// KindGuarantee is for tasks of any class that are within their team's guarantee: they start
	// within WithinS.
	KindGuarantee = "guarantee"
)

// Objective is a service-level objective of a class of jobs.
type Objective struct {
	Kind           string  `toml:"kind"`     // what is measured, such as KindWait
	Class          string  `toml:"class"`    // class of the jobs that the objective applies to
	WithinS        float64 `toml:"within_s"` // allowed time; for KindWait and KindGuarantee, until the start
	Share          float64 `toml:"share"`    // share of the tasks or jobs that must meet the objective, 0 to 1
	DeadlineFactor float64 `toml:"times"`    // for KindDeadline: multiple of a job's deadline
}

// Workers holds the intervals and timeouts of workers.
type Workers struct {
	HeartbeatS    float64 `toml:"report_s"`    // interval between the heartbeats of a worker
	LeaseS        float64 `toml:"lease_s"`     // duration of a worker's lease; a worker that gets no response for this long ends its tasks
	GangWaitS     float64 `toml:"gang_wait_s"` // how long a task waits for the rest of its gang to start
	GangPeerLossS float64 `toml:"gang_peer_s"` // time in which the tasks of a gang detect that one of them is lost
	CancelS       float64 `toml:"cancel_s"`    // time in which all tasks of a cancelled job must end
}

// StoreLimits holds the limits of the key-value store.
type StoreLimits struct {
	RPS      float64        `toml:"rps"`       // requests per second of all controllers
	WriteRPS float64        `toml:"write_rps"` // puts and deletes per second of all controllers
	ValueKB  float64        `toml:"value_kb"`  // size of a value, in KiB
	TxnOps   int            `toml:"txn_ops"`   // puts and deletes in a transaction
	Next     UpcomingLimits `toml:"next"`      // upcoming limits
}

// UpcomingLimits holds the limits that the key-value store will apply from an unknown later time on,
// without further notice. A limit that does not change is nil. The units are those of StoreLimits.
type UpcomingLimits struct {
	RPS      *float64 `toml:"rps"`       // requests per second
	WriteRPS *float64 `toml:"write_rps"` // puts and deletes per second
	ValueKB  *float64 `toml:"value_kb"`  // size of a value, in KiB
	TxnOps   *int     `toml:"txn_ops"`   // puts and deletes in a transaction
}

// Lowest returns the lower of each current and upcoming limit, without Next. The store accepts requests
// within these limits before and after the change.
func (s StoreLimits) Lowest() StoreLimits {
	lowest := StoreLimits{RPS: s.RPS, WriteRPS: s.WriteRPS, ValueKB: s.ValueKB, TxnOps: s.TxnOps}
	for _, limit := range []struct{ lowest, upcoming *float64 }{
		{&lowest.RPS, s.Next.RPS},
		{&lowest.WriteRPS, s.Next.WriteRPS},
		{&lowest.ValueKB, s.Next.ValueKB},
	} {
		if limit.upcoming != nil {
			*limit.lowest = min(*limit.lowest, *limit.upcoming)
		}
	}
	if n := s.Next.TxnOps; n != nil {
		lowest.TxnOps = min(lowest.TxnOps, *n)
	}
	return lowest
}

// CloudLimits holds the limits of the cloud's API.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`        // requests per second of all controllers
	ListLagS float64 `toml:"list_lag_s"` // maximum lag of the cloud's list of machines behind the actual machines
}

// Resources holds the resources that a controller may use on its machine.
type Resources struct {
	Cores   float64 `toml:"cores"`    // CPU cores
	RAMMB   float64 `toml:"ram_mb"`   // memory, in MiB
	FDLimit int     `toml:"fd_limit"` // open file descriptors
}

// Seconds converts a number of seconds in the settings to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// maxDriftDivisor is the inverse of the maximum relative drift between the monotonic clocks of two
// machines.
const maxDriftDivisor = 1000

// MaxDrift returns the maximum drift between the monotonic clocks of two machines over d.
func MaxDrift(d time.Duration) time.Duration { return d / maxDriftDivisor }

// HeartbeatInterval returns the interval between a worker's heartbeats.
func (c *Config) HeartbeatInterval() time.Duration { return Seconds(c.Deployment.Workers.HeartbeatS) }
