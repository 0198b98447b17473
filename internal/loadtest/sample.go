package loadtest

import (
	"sync"
	"time"

	"github.com/shirou/gopsutil/v4/process"
)

// Roles of processes, in results.
const (
	roleLeader   = "leader"
	roleFollower = "follower"
	roleStore    = "state service"
	roleHollow   = "hollow workers"
	roleReal     = "real worker"
)

// Usage is what the processes of a role used.
type Usage struct {
	Processes int     `json:"processes"`
	Cores     float64 `json:"cores"`     // mean of one process, in cores
	PeakCores float64 `json:"peak"`      // of one process, over a sample
	MemoryMB  float64 `json:"memory_mb"` // the most that one process held
}

// meter samples the processor time and memory of processes. A controller counts for the role that it has when it is
// sampled.
type meter struct {
	mu    sync.Mutex
	last  map[int]reading
	roles map[string]*roleUsage
}

// reading is a sample of a process.
type reading struct {
	at  time.Time
	cpu float64 // seconds of a core so far
}

// roleUsage adds up the samples of a role.
type roleUsage struct {
	cpu, seconds float64
	peak, memory float64
	pids         map[int]bool
}

func newMeter() *meter { return &meter{last: map[int]reading{}, roles: map[string]*roleUsage{}} }

// sample samples a process that has a role now. A process that can't be read has ended, and is left out.
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
	a := m.roles[role]
	if a == nil {
		a = &roleUsage{pids: map[int]bool{}}
		m.roles[role] = a
	}
	a.pids[pid] = true
	a.memory = max(a.memory, float64(memory.RSS)/(1<<20))
	if before, known := m.last[pid]; known {
		cpu, span := now.cpu-before.cpu, now.at.Sub(before.at).Seconds()
		a.cpu, a.seconds = a.cpu+cpu, a.seconds+span
		a.peak = max(a.peak, cpu/span)
	}
	m.last[pid] = now
}

// usage returns what each role used.
func (m *meter) usage() map[string]Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := map[string]Usage{}
	for role, a := range m.roles {
		u := Usage{Processes: len(a.pids), PeakCores: a.peak, MemoryMB: a.memory}
		if a.seconds > 0 {
			u.Cores = a.cpu / a.seconds
		}
		all[role] = u
	}
	return all
}
