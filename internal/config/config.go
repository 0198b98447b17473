// Package config reads the settings that the platform hands over (TOML) and the options that
// operators set (INI). It refuses what would make a controller misbehave, with an error of one line
// that names the key.
//
// The names of fields are the terms of the code; the names of keys, which were there first, stand in
// the tags alone. Fields that end in S are in seconds, in MS in milliseconds, in KB in KiB and in MB in
// MiB; RPS is requests per second.
package config

import "time"

// Config is the platform's settings file, with the operators' options.
type Config struct {
	Node       string     `toml:"node_name"` // name of this controller, unique in the deployment
	Zone       string     `toml:"zone"`      // zone that this controller runs in
	UserAddr   string     `toml:"bind"`      // host:port on which users, workers and health checks are served
	PeerAddr   string     `toml:"back"`      // host:port on which other controllers and metrics are served
	Peers      []Peer     `toml:"seeds"`     // the other controllers
	External   External   `toml:"external"`  // addresses of other services
	Deployment Deployment `toml:"facts"`     // figures of the deployment, the same for all controllers
	Options    Options    `toml:"-"`         // read from a file of its own
}

// Peer is another controller.
type Peer struct {
	Node string `toml:"node_name"` // its name
	Zone string `toml:"zone"`      // zone that it runs in
	Addr string `toml:"peer_addr"` // host:port of its PeerAddr
}

// External holds the addresses of other services, each as host:port.
type External struct {
	Cloud string `toml:"cloud"` // the cloud's API
	Store string `toml:"state"` // the key-value store
}

// Deployment holds the figures of a deployment.
type Deployment struct {
	Nodes           int         `toml:"nodes"`         // number of controllers; if not set, one more than Peers
	Zones           []string    `toml:"zones"`         // zones in which gangs that need a single zone may be placed
	MaxClockErrorMS float64     `toml:"time_bound_ms"` // by how much the time of day of a machine may be off
	Teams           []Team      `toml:"teams"`         // teams that may submit jobs
	Objectives      []Objective `toml:"objectives"`    // service-level objectives of classes of jobs
	Workers         Workers     `toml:"workers"`       // intervals and time-outs that workers keep
	Store           StoreLimits `toml:"state"`         // limits of the key-value store
	Cloud           CloudLimits `toml:"cloud"`         // limits of the cloud's API
	Resources       Resources   `toml:"resources"`     // what a controller may use of its machine
}

// Team has a guaranteed share of the machines and a limit. Amounts are of all its running tasks
// together; 0 means no guarantee, or no limit.
type Team struct {
	Name           string  `toml:"name"`     // as jobs name it
	GuaranteedCPUs float64 `toml:"cpus"`     // CPUs that it gets if it asks for them
	LimitCPUs      float64 `toml:"cpus_max"` // CPUs that it gets at most
	GuaranteedGPUs float64 `toml:"gpus"`     // GPUs that it gets if it asks for them
	LimitGPUs      float64 `toml:"gpus_max"` // GPUs that it gets at most
}

// Kinds of objectives that bear on the order of work; the settings may hold others.
const (
	KindWait     = "wait"     // tasks start within WithinS
	KindDeadline = "deadline" // jobs end within Times their deadline
	// KindGuarantee is for work within a team's guarantee, of whatever class: it starts within WithinS.
	KindGuarantee = "guarantee"
)

// Objective is a service-level objective of a class of jobs.
type Objective struct {
	Kind           string  `toml:"kind"`     // what is measured, such as KindWait
	Class          string  `toml:"class"`    // class of the jobs that it holds for
	WithinS        float64 `toml:"within_s"` // time that is allowed, in seconds
	Share          float64 `toml:"share"`    // share of the cases that have to meet it, 0 to 1
	DeadlineFactor float64 `toml:"times"`    // factor on a job's deadline
}

// Workers holds the intervals and time-outs that workers keep, in seconds.
type Workers struct {
	HeartbeatS    float64 `toml:"report_s"`    // interval between the heartbeats of a worker
	LeaseS        float64 `toml:"lease_s"`     // a worker's lease: without an answer for so long it ends its tasks
	GangWaitS     float64 `toml:"gang_wait_s"` // how long a task waits for the rest of its gang to start
	GangPeerLossS float64 `toml:"gang_peer_s"` // within which the tasks of a gang notice that one is gone
	CancelS       float64 `toml:"cancel_s"`    // within which all tasks of a cancelled job must be gone
}

// StoreLimits holds the limits of the key-value store.
type StoreLimits struct {
	RPS      float64        `toml:"rps"`       // requests per second of all controllers
	WriteRPS float64        `toml:"write_rps"` // puts and deletes per second of all controllers
	ValueKB  float64        `toml:"value_kb"`  // size of a value, in KiB
	TxnOps   int            `toml:"txn_ops"`   // puts and deletes in a transaction
	Next     UpcomingLimits `toml:"next"`      // limits that will hold later
}

// UpcomingLimits holds the limits that the key-value store will have from some moment on, without
// notice; nil where a limit stays. The units are those of State.
type UpcomingLimits struct {
	RPS      *float64 `toml:"rps"`       // requests per second
	WriteRPS *float64 `toml:"write_rps"` // puts and deletes per second
	ValueKB  *float64 `toml:"value_kb"`  // size of a value, in KiB
	TxnOps   *int     `toml:"txn_ops"`   // puts and deletes in a transaction
}

// Lowest returns the lower of the present and the upcoming limits: what keeps to them is accepted
// before and after the store changes over.
func (s StoreLimits) Lowest() StoreLimits {
	lowest := StoreLimits{RPS: s.RPS, WriteRPS: s.WriteRPS, ValueKB: s.ValueKB, TxnOps: s.TxnOps}
	for _, limit := range []struct{ lowest, next *float64 }{
		{&lowest.RPS, s.Next.RPS},
		{&lowest.WriteRPS, s.Next.WriteRPS},
		{&lowest.ValueKB, s.Next.ValueKB},
	} {
		if limit.next != nil {
			*limit.lowest = min(*limit.lowest, *limit.next)
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
	ListLagS float64 `toml:"list_lag_s"` // by how much its list of machines lags behind, in seconds
}

// Resources is what one controller may use of its machine.
type Resources struct {
	Cores   float64 `toml:"cores"`    // processors
	RAMMB   float64 `toml:"ram_mb"`   // memory, in MiB
	FDLimit int     `toml:"fd_limit"` // open file descriptors
}

// Seconds converts a figure of the settings to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// maxDriftDivisor is one in so many by which the monotonic clocks of two machines may differ.
const maxDriftDivisor = 1000

// MaxDrift returns by how much the monotonic clocks of two machines may differ over d.
func MaxDrift(d time.Duration) time.Duration { return d / maxDriftDivisor }

// HeartbeatInterval returns the interval between a worker's heartbeats.
func (c *Config) HeartbeatInterval() time.Duration { return Seconds(c.Deployment.Workers.HeartbeatS) }
