package leader

import (
	"time"

	"drumpick/internal/scheduler"
)

// Machines lists up to limit machines by name, behind since, without their tasks; more
// says that there are others behind them.
func (l *Leader) Machines(since string, limit int) (list []scheduler.MachineView, more bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.ListMachines(since, limit, time.Now())
}

// Machine tells of one machine with all that is on it.
func (l *Leader) Machine(name string) (scheduler.MachineView, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.DescribeMachine(name, time.Now())
}

// Progress tells how a job stands, for display.
func (l *Leader) Progress(id string) (string, int, int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Progress(id)
}
