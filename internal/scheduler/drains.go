package scheduler

import (
	"slices"
	"strings"
	"time"

	"drumpick/internal/drain"
	"drumpick/internal/fleet"
)

// activeDrain is a drain on record with its state. The machines that it has cordoned refer to it by
// their field Cordon; a new leader selects the machines again.
type activeDrain struct {
	spec         drain.Spec
	state        drain.State
	stored       drain.State     // the state in the store, if hasStored
	hasStored    bool            // the store has a state of the drain
	revision     uint64          // of the stored state; 0: none
	writtenAt    time.Time       // when the state was last submitted to the store
	inForce      bool            // as of the last pass
	deadline     time.Time       // when its machines must be empty, as of the last pass; zero: none
	checkedAt    time.Time       // when inForce and deadline were computed; zero: not for this spec
	changesAt    time.Time       // when either of them changes; zero: never
	everCordoned map[string]bool // machines that it has cordoned, including removed ones
}

// maxCheckAge is how long at most the result of drain.Spec.InForce is used.
const maxCheckAge = time.Hour

// updateInForce updates inForce and deadline. It computes them again only when they may have changed: the
// start of a window is sought in all periods of its rule, which takes milliseconds for some rules.
func (d *activeDrain) updateInForce(now time.Time) {
	age := now.Sub(d.checkedAt)
	if !d.checkedAt.IsZero() && age >= 0 && age < maxCheckAge && (d.changesAt.IsZero() || now.Before(d.changesAt)) {
		return
	}
	d.inForce, d.deadline, d.changesAt = d.spec.InForce(now)
	d.checkedAt = now
}

// evictsTasks reports whether the drain evicts tasks from its machines.
func (d *activeDrain) evictsTasks() bool { return d.spec.Kind != drain.KindCordon }

// upgradeInProgress reports whether the drain is an upgrade that is in force and not complete.
func (d *activeDrain) upgradeInProgress() bool {
	return d.inForce && d.spec.Kind == drain.KindUpgrade && d.state.Rollout != nil && !d.state.Closed()
}

// isReplacement reports whether a machine was rented after an upgrade with WhenEmpty Return was
// requested. Such a machine has the version that the cloud provides. If that is not the target
// version, replacing machines would never end.
func (d *activeDrain) isReplacement(m *fleet.Machine) bool {
	return d.spec.WhenEmpty == drain.Return && !m.RequestedAt.IsZero() && m.RequestedAt.After(time.UnixMilli(d.spec.RequestedMS))
}

// timeLeft returns the time until the machines of the drain must be empty; nil: no deadline.
func (d *activeDrain) timeLeft(now time.Time) *time.Duration { return timeUntil(d.deadline, now) }

func timeUntil(deadline, now time.Time) *time.Duration {
	if deadline.IsZero() {
		return nil
	}
	left := deadline.Sub(now)
	return &left
}

// takesPrecedence reports whether the drain gets a machine that an older drain selects as well;
// other is nil if none does. The earlier deadline wins over a later one or none, then a drain that
// evicts tasks, then the older drain.
func (d *activeDrain) takesPrecedence(other *activeDrain) bool {
	if other == nil {
		return true
	}
	if d.deadline.IsZero() != other.deadline.IsZero() {
		return !d.deadline.IsZero()
	}
	if !d.deadline.IsZero() && !d.deadline.Equal(other.deadline) {
		return d.deadline.Before(other.deadline)
	}
	return !other.evictsTasks() && d.evictsTasks()
}

// drainSet holds the drains on record.
type drainSet struct {
	list       []*activeDrain // sorted by id
	lastPass   time.Time      // time of the last call of runDrains
	anyInForce bool           // at least one is in force and not complete
}

// set adds a drain, with its stored state or nil, or updates the spec of a known drain.
func (s *drainSet) set(spec drain.Spec, state *drain.State, revision uint64) {
	i, found := slices.BinarySearchFunc(s.list, spec.ID, func(d *activeDrain, id string) int { return strings.Compare(d.spec.ID, id) })
	if !found {
		d := &activeDrain{everCordoned: map[string]bool{}}
		if state != nil {
			d.state, d.stored, d.hasStored, d.revision = *state, *state, true, revision
			for _, name := range state.OutOfService {
				d.everCordoned[name] = true
			}
		}
		s.list = slices.Insert(s.list, i, d)
	}
	s.list[i].spec, s.list[i].checkedAt = spec, time.Time{}
	s.requestPass()
}

// remove removes a drain and returns it; nil if there is none with that id.
func (s *drainSet) remove(id string) *activeDrain {
	i := slices.IndexFunc(s.list, func(d *activeDrain) bool { return d.spec.ID == id })
	if i < 0 {
		return nil
	}
	d := s.list[i]
	s.list = slices.Delete(s.list, i, i+1)
	return d
}

// requestPass makes the next tick run the drains.
func (s *drainSet) requestPass() { s.lastPass = time.Time{} }

// passDue reports whether runDrains is due; interval is the time between two passes.
func (s *drainSet) passDue(interval time.Duration, now time.Time) bool {
	return len(s.list) > 0 && now.Sub(s.lastPass) >= interval
}

// SetDrain adds a drain, with its stored state or nil, or updates the spec of a known drain.
func (s *Scheduler) SetDrain(spec drain.Spec, state *drain.State, revision uint64) {
	s.drains.set(spec, state, revision)
}

// RemoveDrain removes a drain whose record has been deleted, and uncordons its machines.
func (s *Scheduler) RemoveDrain(id string) {
	d := s.drains.remove(id)
	if d == nil {
		return
	}
	for _, m := range s.fleet.Sorted() {
		if m.Cordon == d {
			s.uncordon(m, time.Time{})
		}
	}
}

// toDrainMachine returns the properties of a machine by which drains select. If now is zero, the
// age is left out.
func toDrainMachine(m *fleet.Machine, now time.Time) drain.Machine {
	v := drain.Machine{Name: m.Name, Type: m.Type, Zone: m.Zone, Version: m.Version}
	if !m.RequestedAt.IsZero() && !now.IsZero() {
		v.Age = now.Sub(m.RequestedAt)
	}
	return v
}

// scaleOutBlocked reports whether a drain in force would drain new machines of a type in a zone.
func (s *Scheduler) scaleOutBlocked(machineType, zone string) bool {
	return slices.ContainsFunc(s.drains.list, func(d *activeDrain) bool {
		return d.inForce && d.spec.BlocksScaleOut(machineType, zone)
	})
}

// isBeingDrained reports whether a drain evicts tasks from a machine.
func (s *Scheduler) isBeingDrained(m *fleet.Machine) bool {
	d, ok := m.Cordon.(*activeDrain)
	return ok && d.evictsTasks()
}

// maxKeptSilenceLeases is the number of leases for which a machine kept for an operator may be silent.
const maxKeptSilenceLeases = 50

// keptForOperator reports whether a machine is empty and kept for an operator, who may have
// switched it off, so that its silence is no reason to return it. The result is false once the machine
// has been silent for maxKeptSilenceLeases.
func (s *Scheduler) keptForOperator(m *fleet.Machine, now time.Time) bool {
	d, ok := m.Cordon.(*activeDrain)
	return ok && d.evictsTasks() && d.spec.WhenEmpty == drain.Keep && m.Reconciled && !m.Failed && m.Empty() &&
		now.Sub(m.LastStatusAt) < maxKeptSilenceLeases*s.settings.Lease
}

// returnsWhenEmpty reports whether a cordoned machine is returned once it is empty.
func (s *Scheduler) returnsWhenEmpty(m *fleet.Machine) bool {
	d, ok := m.Cordon.(*activeDrain)
	return ok && d.evictsTasks() && d.spec.WhenEmpty == drain.Return
}
