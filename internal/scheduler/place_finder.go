package scheduler

import (
	"maps"
	"time"

	"drumpick/internal/drain"
	"drumpick/internal/fleet"
	"drumpick/internal/packing"
)

// placeFinder finds where tasks could be placed at one point in time, without placing them. Once a job
// finds no room, the other jobs of its placement class are not tried. Jobs without a class always are.
type placeFinder struct {
	scheduler    *Scheduler
	now          time.Time
	noRoom       map[int]bool                // placement classes without room
	allowed      map[*Job]bool               // cached results of allowedAnywhere
	excluded     func(typ, zone string) bool // excluded in addition to active drains; nil: nothing
	alsoDraining func(m *fleet.Machine) bool // machines to treat as draining; nil: none
	zoneCounts   map[*Job]map[string]int     // cached results of zonesWithout, before it subtracts a task
}

// zonesWithout counts the tasks of a job with a zone constraint by zone, without one task in zone. It returns
// nil for other jobs. The counts of a job are made once; the caller reports new claims by addClaim.
func (p *placeFinder) zonesWithout(j *Job, zone string) map[string]int {
	if _, known := p.zoneCounts[j]; !known {
		p.zoneCounts[j] = p.scheduler.constrainedZoneCounts(j)
	}
	zones := maps.Clone(p.zoneCounts[j])
	if zones != nil {
		zones[zone]--
	}
	return zones
}

// addClaim counts a claim that a job has made on a machine.
func (p *placeFinder) addClaim(j *Job, m *fleet.Machine) {
	if zones := p.zoneCounts[j]; zones != nil {
		zones[m.Zone]++
	}
}

// allowedAnywhere reports whether any machine outside of drains, existing or to be rented, could
// run one more task of the job, whether or not it has room now. zones counts the job's other tasks
// by zone; nil if the job has no zone constraint.
func (p *placeFinder) allowedAnywhere(j *Job, zones map[string]int) bool {
	ok, known := p.allowed[j]
	if known && zones == nil {
		return ok
	}
	ok = false
	s := p.scheduler
	zoneOK := func(zone string) bool { return zones == nil || j.zoneAllowed(zone, zones) }
	for _, m := range s.fleet.Sorted() {
		if !m.Returning && !m.LeaseExpired && m.Cordon == nil && (p.alsoDraining == nil || !p.alsoDraining(m)) && j.permits(m.Type, m.Zone, m.Spot) && m.Bin.Capacity.Fits(j.request) && zoneOK(m.Zone) {
			ok = true
			break
		}
	}
	for name, t := range s.machineTypes {
		for _, z := range t.Zones {
			spot := t.SpotPrice > 0 && j.permits(name, z, true)
			ok = ok || zoneOK(z) && (spot || j.permits(name, z, false)) && s.capacity(name).Fits(j.request) && !s.scaleOutBlocked(name, z) && (p.excluded == nil || !p.excluded(name, z))
		}
	}
	if zones == nil {
		p.allowed[j] = ok
	}
	return ok
}

// findPlace reports whether one more task of a job may be placed anywhere, and returns a machine that
// has room for the task now, nil if there is none. zones is as for allowedAnywhere.
func (p *placeFinder) findPlace(j *Job, zones map[string]int) (drain.Place, *fleet.Machine) {
	if !p.allowedAnywhere(j, zones) {
		return drain.NotPermitted, nil
	}
	if m := p.findRoom(j, zones); m != nil {
		return drain.HasRoom, m
	}
	return drain.NoRoom, nil
}

// findRoom returns a machine outside of drains, and not held for an earlier job, with room for one more
// task of a job, nil if there is none. Room that packing would make by moves counts.
func (p *placeFinder) findRoom(j *Job, zones map[string]int) *fleet.Machine {
	if j.placementClass > 0 && p.noRoom[j.placementClass] {
		return nil
	}
	item := j.newItem()
	allowed := func(b *packing.Bin) bool {
		m := b.Owner.(*fleet.Machine)
		return m.Cordon == nil && (p.alsoDraining == nil || !p.alsoDraining(m)) && j.permits(m.Type, m.Zone, m.Spot) &&
			(zones == nil || j.zoneAllowed(m.Zone, zones)) && !isHeldForEarlierJob(m, j)
	}
	for _, name := range p.scheduler.typesByPrice {
		if s := p.scheduler.spaces[name]; s != nil {
			if b, moves, _ := s.Insert(item, allowed); b != nil {
				undoMoves(moves)
				b.Remove(item)
				return b.Owner.(*fleet.Machine)
			}
		}
	}
	p.noRoom[j.placementClass] = j.placementClass > 0
	return nil
}

// findGangRoom returns the machines that have room for n tasks of a gang, one entry per task; fewer
// than n if there is not room for all. The gang's other tasks stay where they are; staying counts
// them by zone.
func (p *placeFinder) findGangRoom(j *Job, n int, staying map[string]int) []*fleet.Machine {
	zones := []string{""}
	if j.OneZone && len(staying) == 0 {
		zones = p.scheduler.settings.Zones
	}
	var found []*fleet.Machine
	for _, zone := range zones {
		found = found[:0]
		zoneCounts := map[string]int{}
		maps.Copy(zoneCounts, staying)
		if zone != "" {
			zoneCounts = map[string]int{zone: 1}
		}
		for len(found) < n {
			m := p.findRoom(j, zoneCounts)
			if m == nil {
				break
			}
			m.Bin.Reserve(j.request)
			found = append(found, m)
			zoneCounts[m.Zone]++
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
