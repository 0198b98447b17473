package leader

import (
	"time"

	"drumpick/internal/scheduler"
)

// Machines lists up to limit machines by name, behind since, without their tasks; more reports
// whether others follow.
func (l *Leader) Machines(since string, limit int) (list []scheduler.MachineView, more bool) {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	return l.state.scheduler.ListMachines(since, limit, time.Now())
}

// Machine describes one machine with all that is on it; ok is false when it is not known.
func (l *Leader) Machine(name string) (view scheduler.MachineView, ok bool) {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	return l.state.scheduler.DescribeMachine(name, time.Now())
}

// Progress returns the status of a job, and how many of its tasks are done and running; ok is
// false when the job is not known.
func (l *Leader) Progress(id string) (status string, done, running int, ok bool) {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	return l.state.scheduler.Progress(id)
}

// DependenciesClear reports whether no job that this one depends on is known to be cancelled, and
// how old that knowledge is.
func (l *Leader) DependenciesClear(id string) (age time.Duration, ok bool) {
	// In this order: what the watch brings in between makes the answer older, not wrong.
	contact := l.contact.last()
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	return time.Since(contact), l.state.scheduler.DependenciesClear(id)
}
