package simulation

import (
	"slices"
	"sort"
	"time"
)

// TaskRun is an attempt of a task that has ended.
type TaskRun struct {
	Task    string    `json:"task"`
	Machine string    `json:"machine"`
	Zone    string    `json:"zone"`
	Started time.Time `json:"from"`
	Running time.Time `json:"running,omitzero"` // when the attempt began to run; zero: it never ran
	Ended   time.Time `json:"to"`
	Cause   string    `json:"cause"` // as reported by workers, or causeLost
}

// causeLost is the cause of an attempt that ended with its machine or its lease; no worker reports it.
const causeLost = "lost"

// RentalCost is the cost of one machine at its nominal price per hour.
type RentalCost struct {
	Machine string    `json:"machine"`
	Type    string    `json:"type"`
	Zone    string    `json:"zone"`
	Spot    bool      `json:"spot"`
	From    time.Time `json:"from"`
	To      time.Time `json:"to"` // zero while the machine is still rented
	Cost    float64   `json:"cost"`
}

// History returns the attempts that have ended, in the order in which they were recorded, and the cost of each machine
// so far, sorted by machine name.
func (env *Environment) History() ([]TaskRun, []RentalCost) {
	env.mu.Lock()
	defer env.mu.Unlock()
	costs := slices.Clone(env.costs)
	for _, m := range env.machines {
		if !m.terminated {
			costs = append(costs, m.cost(time.Time{}))
		}
	}
	sort.Slice(costs, func(i, j int) bool { return costs[i].Machine < costs[j].Machine })
	return slices.Clone(env.runs), costs
}

// Starts returns the number of attempts that were started, without those that workers rejected.
func (env *Environment) Starts() int {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.starts
}

// Running returns the number of running tasks.
func (env *Environment) Running() int {
	env.mu.Lock()
	defer env.mu.Unlock()
	n := 0
	for _, m := range env.machines {
		for _, a := range m.tasks {
			if a.status == statusRunning && !m.terminated {
				n++
			}
		}
	}
	return n
}

// LeaseExpiries returns the number of workers' leases that have expired.
func (env *Environment) LeaseExpiries() int {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.leaseExpiries
}

// MaxCancelLatency returns the longest time after a confirmed cancellation at which CheckCancelled found a task of the
// job on a machine. It omits times above CancelLimit, which are violations.
func (env *Environment) MaxCancelLatency() time.Duration {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.maxCancelLatency
}

// LostWork returns the run time of tasks that was lost so far and must be repeated.
func (env *Environment) LostWork() time.Duration {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.lostWork
}
