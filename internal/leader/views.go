package leader

import (
	"time"

	"drumpick/internal/scheduler"
)

// Machines returns up to limit machines, without their tasks, by name after since; more reports
// whether others follow.
func (l *Leader) Machines(since string, limit int) (list []scheduler.MachineView, more bool) {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	return l.state.scheduler.ListMachines(since, limit, time.Now())
}

// Machine returns one machine with its tasks; ok is false if it is unknown.
func (l *Leader) Machine(name string) (view scheduler.MachineView, ok bool) {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	return l.state.scheduler.DescribeMachine(name, time.Now())
}

// Progress returns the status of a job and the number of its done and running tasks; ok is false if
// the job is unknown.
func (l *Leader) Progress(id string) (status string, done, running int, ok bool) {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	return l.state.scheduler.Progress(id)
}

// DependenciesClear reports whether no dependency of a job is known to be cancelled, and the age of
// that knowledge.
func (l *Leader) DependenciesClear(id string) (age time.Duration, ok bool) {
	// The contact is read first: events between the two reads make age too high, but ok not wrong.
	contact := l.contact.last()
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	return time.Since(contact), l.state.scheduler.DependenciesClear(id)
}
