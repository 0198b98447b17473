package scheduler

import (
	"slices"
	"strings"
	"time"

	"drumpick/internal/drain"
	"drumpick/internal/fleet"
)

// activeDrain is a drain that operators asked for, with its state. Which machines it has cordoned is on
// the machines themselves; a new leader works it out again.
type activeDrain struct {
	spec         drain.Spec
	state        drain.State
	stored       drain.State // as the store has it
	hasStored    bool        // the store has a state
	revision     uint64      // of the stored state; 0: there is none
	writtenAt    time.Time   // when the state was last given to the store
	inForce      bool
	deadline     time.Time       // by when its machines are to be empty; zero: there is none
	everCordoned map[string]bool // machines that it has cordoned, those that are gone included
}

// evictsTasks reports whether the drain empties its machines.
func (d *activeDrain) evictsTasks() bool { return d.spec.Kind != drain.KindCordon }

// upgradeInProgress reports whether the drain is an upgrade under way.
func (d *activeDrain) upgradeInProgress() bool {
	return d.inForce && d.spec.Kind == drain.KindUpgrade && d.state.Rollout != nil && !d.state.Closed()
}

// isReplacement reports whether a machine was rented in place of one that an upgrade returned. It has
// the version that the cloud gives; replacing it again, for as long as that is not the target, would
// never end.
func (d *activeDrain) isReplacement(m *fleet.Machine) bool {
	return d.spec.WhenEmpty == drain.Return && !m.RequestedAt.IsZero() && m.RequestedAt.After(time.UnixMilli(d.spec.RequestedMS))
}

// timeLeft is how long the machines of the drain may take to be empty; nil: there is no deadline.
func (d *activeDrain) timeLeft(now time.Time) *time.Duration { return timeUntil(d.deadline, now) }

func timeUntil(deadline, now time.Time) *time.Duration {
	if deadline.IsZero() {
		return nil
	}
	left := deadline.Sub(now)
	return &left
}

// takesPrecedence reports whether the drain goes before another one that wants the same machine: one
// with a deadline goes first, then one that empties, then the older one.
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

// drainSet is the drains that operators asked for.
type drainSet struct {
	list       []*activeDrain // by id
	lastPass   time.Time      // when they were last brought into force
	anyInForce bool           // one is in force, and not done
}

// set adds or changes a drain; state is nil where there is none on record yet.
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
	s.list[i].spec = spec
	s.requestPass()
}

// remove removes a drain and returns it; nil: there is none of that id.
func (s *drainSet) remove(id string) *activeDrain {
	i := slices.IndexFunc(s.list, func(d *activeDrain) bool { return d.spec.ID == id })
	if i < 0 {
		return nil
	}
	d := s.list[i]
	s.list = slices.Delete(s.list, i, i+1)
	return d
}

// requestPass has the drains brought into force at the next tick.
func (s *drainSet) requestPass() { s.lastPass = time.Time{} }

// passDue reports whether the drains are to be brought into force now.
func (s *drainSet) passDue(interval time.Duration, now time.Time) bool {
	return len(s.list) > 0 && now.Sub(s.lastPass) >= interval
}

// SetDrain takes in a drain as it is on record; state is nil where there is none of it yet.
func (s *Scheduler) SetDrain(spec drain.Spec, state *drain.State, revision uint64) {
	s.drains.set(spec, state, revision)
}

// RemoveDrain forgets a drain whose record is gone.
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

// toDrainMachine is what a drain sees of a machine.
func toDrainMachine(m *fleet.Machine, now time.Time) drain.Machine {
	v := drain.Machine{Name: m.Name, Type: m.Type, Zone: m.Zone, Version: m.Version}
	if !m.RequestedAt.IsZero() && !now.IsZero() {
		v.Age = now.Sub(m.RequestedAt)
	}
	return v
}

// scaleOutBlocked reports whether no machine of a type is to be rented in a zone, as it would be drained.
func (s *Scheduler) scaleOutBlocked(machineType, zone string) bool {
	return slices.ContainsFunc(s.drains.list, func(d *activeDrain) bool {
		return d.inForce && d.spec.BlocksScaleOut(machineType, zone)
	})
}

// isEmptying reports whether a machine is being emptied for an operator.
func (s *Scheduler) isEmptying(m *fleet.Machine) bool {
	d, ok := m.Cordon.(*activeDrain)
	return ok && d.evictsTasks()
}

// maxKeptSilenceLeases is for how many leases a machine that is kept for an operator may be silent.
const maxKeptSilenceLeases = 50

// keptForOperator reports whether a machine is empty and kept for an operator, who may well have
// switched it off: then its silence is no reason to return it, for a long time.
func (s *Scheduler) keptForOperator(m *fleet.Machine, now time.Time) bool {
	d, ok := m.Cordon.(*activeDrain)
	return ok && d.evictsTasks() && d.spec.WhenEmpty == drain.Keep && m.Reconciled && !m.Failed && m.Empty() &&
		now.Sub(m.LastStatusAt) < maxKeptSilenceLeases*s.settings.Lease
}

// returnsWhenEmpty reports whether an empty cordoned machine is to be returned.
func (s *Scheduler) returnsWhenEmpty(m *fleet.Machine) bool {
	d, ok := m.Cordon.(*activeDrain)
	return ok && d.evictsTasks() && d.spec.WhenEmpty == drain.Return
}
