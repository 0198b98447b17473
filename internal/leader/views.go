package leader

import (
	"time"

	"drumpick/internal/scheduler"
)

// Machines returns up to limit machines without their tasks, sorted by name, from the first name
// after since; more reports whether others follow.
func (l *Leader) Machines(since string, limit int) (list []scheduler.MachineView, more bool) {
	l.lock()
	defer l.unlock()
	return l.state.scheduler.ListMachines(since, limit, time.Now())
}

// Machine returns a machine by name, with its tasks; ok is false if it is unknown.
func (l *Leader) Machine(name string) (view scheduler.MachineView, ok bool) {
	l.lock()
	defer l.unlock()
	return l.state.scheduler.DescribeMachine(name, time.Now())
}

// Progress returns the status of a job and the number of its done and running tasks; ok is false if
// the job is unknown.
func (l *Leader) Progress(id string) (status string, done, running int, ok bool) {
	l.lock()
	defer l.unlock()
	return l.state.scheduler.Progress(id)
}

// DependenciesClear reports whether no dependency of an open job, direct or indirect, is cancelled
// or in an unknown state, and returns the age of that knowledge.
func (l *Leader) DependenciesClear(id string) (age time.Duration, ok bool) {
	// The time of the contact is read before the scheduler's state: events applied between the two
	// reads make age too high, but never too low.
	contact := l.contact.last()
	l.lock()
	defer l.unlock()
	return time.Since(contact), l.state.scheduler.DependenciesClear(id)
}
