package scheduler

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/records"
	"drumpick/internal/reservation"
)

// saveRoom makes what has fallen free the own of gangs that have waited for long, in the order
// in which they must begin, in one zone for each. It goes before all placing: section 3.4's insert takes
// items one by one, and a gang that needs twelve bins at once finds eleven at the most beside
// a queue of smaller ones that never ends.
func (c *Scheduler) saveRoom(now time.Time) {
	if c.set.ReservationBound <= 0 || !c.settled {
		return
	}
	var due []*Job
	c.queue(now)
	for _, j := range c.savers {
		if c.saves(j, now) {
			due = append(due, j)
		}
	}
	missed := func(j *Job) bool {
		w := now.Sub(j.waitsSince())
		return w > c.set.ReservationBound && w < 2*c.set.ReservationBound
	}
	slices.SortStableFunc(due, func(a, b *Job) int {
		if missed(a) != missed(b) {
			return first(!missed(a))
		}
		return a.waitsSince().Compare(b.waitsSince())
	})
	ahead := map[string]int{}
	for _, j := range due {
		if j.Shape != records.ShapeGang {
			c.saveOne(j, now)
			continue
		}
		if j.saving == "" {
			if now.Before(j.saveAfter) {
				continue // it was a look at every task
			}
			j.saveAfter = now.Add(c.set.HeartbeatInterval / 4)
			zone, in := c.saveWhere(j, ahead, now)
			if zone == "" || !reservation.Due(now.Sub(j.waitsSince()), time.Duration(in*float64(time.Second)), c.set.ReservationBound) {
				continue
			}
			j.saving = zone
			slog.Debug("saves room", "job", j.ID, "tasks", j.Tasks, "zone", j.saving, "waited_s", now.Sub(j.waitsSince()).Seconds(), "in_s", in, "term", c.term)
		}
		zone := j.saving
		ahead[zone] += c.save(j, ahead[zone] > 0, now)
	}
}

// chooseSavers lists, in the order of the queue, the jobs for which room may have to be saved until
// the order is worked out anew: gangs, which may begin anew, and arrays of which nothing has begun.
func (c *Scheduler) chooseSavers() {
	c.savers = c.savers[:0]
	for _, j := range c.sorted {
		if j.Shape == records.ShapeGang || j.Shape == records.ShapeArray && j.nDone == 0 && !j.began.told {
			c.savers = append(c.savers, j)
		} else {
			j.saving = ""
		}
	}
}

// waitsSince is from when a job's wait for its begin counts.
func (j *Job) waitsSince() time.Time {
	if j.broke.After(j.base) {
		return j.broke
	}
	return j.base
}

// saves says whether room is to be saved for a job by now: for a gang all its places, for an
// array the first.
func (c *Scheduler) saves(j *Job, now time.Time) bool {
	waited := now.Sub(j.waitsSince())
	is := waited >= reservation.EarliestWait(c.set.ReservationBound) && len(j.held)+len(j.strays) == 0 && c.startable(j, now) && j.peek() >= 0
	switch {
	case !is:
	case j.Shape == records.ShapeGang:
		is = j.gangTry == 0 && c.wanted(j) >= j.pending()
	default:
		is = j.Shape == records.ShapeArray && j.nDone == 0 && !j.began.told && reservation.Due(waited, 0, c.set.ReservationBound) && c.wanted(j) > 0
	}
	if !is {
		j.saving = ""
	}
	return is
}

// saveWhere chooses the zone where a job's places fall free soonest.
func (c *Scheduler) saveWhere(j *Job, ahead map[string]int, now time.Time) (zone string, in float64) {
	byZone := map[string][]float64{}
	for _, m := range c.fleet.Sorted() {
		if !c.mayHold(j, m, now) {
			continue
		}
		zone := m.Zone
		if !j.OneZone {
			zone = reservation.AllZones
		}
		byZone[zone] = append(byZone[zone], c.placesIn(j, m, now)...)
	}
	var zones []reservation.Zone
	for name, in := range byZone {
		zones = append(zones, reservation.Zone{Name: name, FreeAfterS: in, Committed: ahead[name]})
	}
	return reservation.ChooseZone(zones, j.pending())
}

// placesIn guesses when a machine has room for one, two and more tasks of a job, in seconds,
// if it is given nothing else.
func (c *Scheduler) placesIn(j *Job, m *fleet.Machine, now time.Time) []float64 {
	var ins []float64
	free := m.Bin.Cap.Sub(m.Bin.Used()).Sub(m.Bin.Reserved())
	for _, e := range append([]ending{{}}, c.endings(m, now)...) {
		for free = free.Add(e.req); free.Fits(j.req); free = free.Sub(j.req) {
			ins = append(ins, e.in)
		}
	}
	return ins
}

// save makes places in the chosen zone the job's own, as many as it has tasks: what is free,
// and for the rest, once it is urgent and nobody is ahead, what falls free soonest. It says how
// many are not free yet. What has begun to empty goes on, unless another place is free first.
// Guards against machines of which small tasks always take the part that is free: none of them
// is ever free as a whole.
func (c *Scheduler) save(j *Job, ahead bool, now time.Time) (lacks int) {
	was := map[*fleet.Machine]bool{}
	for _, cl := range j.claims {
		was[cl.m] = true
	}
	c.lift(j)
	n := j.pending()
	type place struct {
		m  *fleet.Machine
		in float64
	}
	var list []place
	for _, m := range c.fleet.Sorted() {
		if j.saving != reservation.AllZones && m.Zone != j.saving || !c.mayHold(j, m, now) {
			continue
		}
		for _, in := range c.placesIn(j, m, now) {
			if in > 0 && was[m] {
				in /= 2
			}
			list = append(list, place{m, in})
		}
	}
	slices.SortStableFunc(list, func(a, b place) int { return cmp.Compare(a.in, b.in) })
	if len(list) < n || n == 0 {
		// Guards against a gang that waits for a zone whose machines are gone.
		j.saving = ""
		return 0
	}
	list = list[:n]
	need := time.Duration(list[n-1].in * float64(time.Second))
	urgent := !ahead && reservation.Urgent(now.Sub(j.waitsSince()), need, c.set.ReservationBound)
	for _, p := range list {
		if p.in > 0 {
			lacks++
		}
		if p.in <= 0 || urgent {
			c.own(j, p.m, now)
		}
	}
	return lacks
}

// saveOne makes the place that is free soonest the own of an array of which no task has begun.
func (c *Scheduler) saveOne(j *Job, now time.Time) {
	j.saving = reservation.AllZones
	if len(j.claims) > 0 {
		return
	}
	var best *fleet.Machine
	soonest := 0.0
	for _, m := range c.fleet.Sorted() {
		if !c.mayHold(j, m, now) || m.Bin.Reserved() != (packing.Resources{}) {
			continue
		}
		if in := c.roomIn(j, m, now); best == nil || in < soonest {
			best, soonest = m, in
		}
	}
	if best != nil {
		c.own(j, best, now)
	}
}
