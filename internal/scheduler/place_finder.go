package scheduler

import (
	"maps"
	"time"

	"drumpick/internal/drain"
	"drumpick/internal/fleet"
	"drumpick/internal/packing"
)

// placeFinder finds out where tasks could go, at one time. Jobs of the same placement class share the
// answer that there is no room.
type placeFinder struct {
	scheduler    *Scheduler
	now          time.Time
	noRoom       map[int]bool                // placement classes without room
	allowed      map[*Job]bool               // what allowedAnywhere returned, by job
	excluded     func(typ, zone string) bool // beside what is drained already; nil: nothing
	alsoDraining func(m *fleet.Machine) bool // machines that are to be drained as well; nil: none
}

// allowedAnywhere reports whether one more task of the job may run anywhere that is not drained: on a
// machine that is there or one that could be rented. zones counts its other tasks by zone where these
// decide about it; nil elsewhere.
func (p *placeFinder) allowedAnywhere(j *Job, zones map[string]int) bool {
	ok, known := p.allowed[j]
	if known && zones == nil {
		return ok
	}
	ok = false
	c := p.scheduler
	in := func(zone string) bool { return zones == nil || j.zoneAllowed(zone, zones) }
	for _, m := range c.fleet.Sorted() {
		if !m.Returning && !m.LeaseExpired && m.Cordon == nil && (p.alsoDraining == nil || !p.alsoDraining(m)) && j.permits(m.Type, m.Zone, m.Spot) && m.Bin.Capacity.Fits(j.request) && in(m.Zone) {
			ok = true
			break
		}
	}
	for name, t := range c.machineTypes {
		for _, z := range t.Zones {
			spot := t.SpotPrice > 0 && j.permits(name, z, true)
			ok = ok || in(z) && (spot || j.permits(name, z, false)) && c.capacity(name).Fits(j.request) && !c.scaleOutBlocked(name, z) && (p.excluded == nil || !p.excluded(name, z))
		}
	}
	if zones == nil {
		p.allowed[j] = ok
	}
	return ok
}

// findPlace returns whether one more task of a job can go anywhere, and the machine where it can go now;
// nil: there is none.
func (p *placeFinder) findPlace(j *Job, zones map[string]int) (drain.Place, *fleet.Machine) {
	if !p.allowedAnywhere(j, zones) {
		return drain.NotPermitted, nil
	}
	if m := p.findRoom(j, zones); m != nil {
		return drain.HasRoom, m
	}
	return drain.NoRoom, nil
}

// findRoom finds a machine with room for one more task of a job, nil if there is none.
func (p *placeFinder) findRoom(j *Job, zones map[string]int) *fleet.Machine {
	if j.placementClass > 0 && p.noRoom[j.placementClass] {
		return nil
	}
	it := &packing.Item{ID: j.ID, Request: j.request, PreferLabels: j.preferredLabels}
	ok := func(b *packing.Bin) bool {
		m := b.Owner.(*fleet.Machine)
		return m.Cordon == nil && (p.alsoDraining == nil || !p.alsoDraining(m)) && j.permits(m.Type, m.Zone, m.Spot) &&
			(zones == nil || j.zoneAllowed(m.Zone, zones)) && !isHeldForEarlierJob(m, j)
	}
	for _, name := range p.scheduler.typesByPrice {
		if s := p.scheduler.spaces[name]; s != nil {
			if b, moves, _ := s.Insert(it, ok); b != nil {
				undoMoves(moves)
				b.Remove(it)
				return b.Owner.(*fleet.Machine)
			}
		}
	}
	p.noRoom[j.placementClass] = j.placementClass > 0
	return nil
}

// findGangRoom finds places for some tasks of a gang, whose other tasks stay where they are. Where it
// returns fewer, there is not room for all of them.
func (p *placeFinder) findGangRoom(j *Job, n int, staying map[string]int) []*fleet.Machine {
	zones := []string{""}
	if j.OneZone && len(staying) == 0 {
		zones = p.scheduler.settings.Zones
	}
	var found []*fleet.Machine
	for _, zone := range zones {
		found = found[:0]
		count := map[string]int{}
		maps.Copy(count, staying)
		if zone != "" {
			count = map[string]int{zone: 1}
		}
		for len(found) < n {
			m := p.findRoom(j, count)
			if m == nil {
				break
			}
			m.Bin.Reserve(j.request)
			found = append(found, m)
			count[m.Zone]++
		}
		for _, m := range found {
			m.Bin.Reserve(packing.Resources{}.Sub(j.request))
		}
		if len(found) == n {
			break
		}
	}
	return found
}
