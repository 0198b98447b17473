package loadtest

import (
	"sync"
	"time"

	"github.com/shirou/gopsutil/v4/process"
)

// Roles of the processes, as named in results.
const (
	roleLeader   = "leader"
	roleFollower = "follower"
	roleStore    = "state service"
	roleHollow   = "hollow workers"
	roleReal     = "real worker"
)

// Usage is the CPU and memory usage of the processes of a role.
type Usage struct {
	Processes int     `json:"processes"`
	Cores     float64 `json:"cores"`     // mean per process
	PeakCores float64 `json:"peak"`      // maximum of one process over a sample interval
	MemoryMB  float64 `json:"memory_mb"` // maximum resident memory of one process
}

// meter samples the CPU time and memory of processes. A controller is accounted to the role that it has at the time
// of the sample.
type meter struct {
	mu    sync.Mutex
	last  map[int]reading // by process ID
	roles map[string]*roleUsage
}

// reading is a sample of a process's CPU time.
type reading struct {
	at  time.Time
	cpu float64 // seconds since the process started
}

// roleUsage aggregates the samples of a role.
type roleUsage struct {
	cpu, seconds float64 // CPU time and sampled time, summed over the processes
	peak, memory float64 // maximum of one process, in cores and MB
	pids         map[int]bool
}

func newMeter() *meter { return &meter{last: map[int]reading{}, roles: map[string]*roleUsage{}} }

// sample samples a process and accounts it to a role. A process that can't be read has ended and is skipped.
func (m *meter) sample(role string, pid int) {
	if pid <= 0 {
		return
	}
	p, err := process.NewProcess(int32(pid))
	if err != nil {
		return
	}
	times, err := p.Times()
	if err != nil {
		return
	}
	memory, err := p.MemoryInfo()
	if err != nil {
		return
	}
	now := reading{time.Now(), times.User + times.System}
	m.mu.Lock()
	defer m.mu.Unlock()
	total := m.roles[role]
	if total == nil {
		total = &roleUsage{pids: map[int]bool{}}
		m.roles[role] = total
	}
	total.pids[pid] = true
	total.memory = max(total.memory, float64(memory.RSS)/(1<<20))
	if before, known := m.last[pid]; known {
		cpu, span := now.cpu-before.cpu, now.at.Sub(before.at).Seconds()
		total.cpu, total.seconds = total.cpu+cpu, total.seconds+span
		total.peak = max(total.peak, cpu/span)
	}
	m.last[pid] = now
}

// usage returns the usage of each role.
func (m *meter) usage() map[string]Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := map[string]Usage{}
	for role, total := range m.roles {
		u := Usage{Processes: len(total.pids), PeakCores: total.peak, MemoryMB: total.memory}
		if total.seconds > 0 {
			u.Cores = total.cpu / total.seconds
		}
		all[role] = u
	}
	return all
}
