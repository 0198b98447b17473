package scheduler

import (
	"time"

	"drumpick/internal/fleet"
)

// What the driver of a term (package lead) asks and tells beside events and decisions.

// TickShare is the part of a report interval, one in so many, between two ticks.
const TickShare = 8

// Sizes tells how many open jobs and machines are known.
func (c *Core) Sizes() (jobs, machines int) { return len(c.jobs), len(c.fleet.Sorted()) }

// Settled says whether every machine that an earlier term may have used has been heard, or
// is gone.
func (c *Core) Settled() bool { return c.settled }

// Unheard is a machine that has to show the term, by its address and the session of its
// worker that is known.
type Unheard struct {
	Addr    string
	Session uint64
}

// Unheard lists those that have not.
func (c *Core) Unheard() []Unheard {
	var list []Unheard
	for _, m := range c.fleet.Sorted() {
		if m.Unheard() && m.Addr != "" {
			list = append(list, Unheard{m.Addr, max(m.Session, 1)})
		}
	}
	return list
}

// Replan places tasks if anything has changed since that was last done.
func (c *Core) Replan(now time.Time) {
	if c.dirty {
		c.place(now)
	}
}

// CloseMissing closes the jobs that a list of all open ones lacks, read at a revision.
func (c *Core) CloseMissing(listed func(id string) bool, epoch uint64) {
	for id, j := range c.jobs {
		// A job newer than the list is not in it.
		if !listed(id) && j.Stamp <= epoch {
			c.CloseJob(id)
		}
	}
}

// Waited notes by how much anything waited before it was got to.
func (c *Core) Waited(d time.Duration) { c.late = max(c.late, d) }

// SetLoose says whether tasks beyond marks may be sent now.
func (c *Core) SetLoose(on bool) { c.marks.loose = on }

// MarksStored says whether every task that may have been sent is below a mark in the store.
func (c *Core) MarksStored() bool {
	stored := c.marks.whole
	for _, j := range c.jobs {
		stored = stored && j.mark.Stored >= j.mark.Want
	}
	return stored
}

// Latest says whether a report, by its session and number, is the last that we know of a
// machine.
func (c *Core) Latest(m *fleet.Machine, session, tick uint64) bool {
	return c.fleet.Machines[m.Host] == m && m.Session == session && m.Tick == tick
}

// Call is orders that a machine is to hear at once, not at its next report.
type Call struct {
	Addr string
	Body fleet.Direct
}

// Calls takes what is to be sent so.
func (c *Core) Calls() []Call {
	var calls, deaf []Call
	for host := range c.kick {
		m := c.fleet.Machines[host]
		delete(c.kick, host)
		if m == nil || m.Addr == "" || !m.Up {
			continue
		}
		if orders := m.Orders(); len(orders) > 0 {
			call := Call{m.Addr, fleet.Direct{Baton: c.term, Session: m.Session, Orders: orders}}
			if m.Deaf() {
				deaf = append(deaf, call)
			} else {
				calls = append(calls, call)
			}
		}
	}
	// Guards against calls that hang and keep others waiting.
	return append(calls, deaf...)
}
