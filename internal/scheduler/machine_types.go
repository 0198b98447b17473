package scheduler

import (
	"slices"
	"sort"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/records"
)

// SetMachineTypes adds or updates machine types that the cloud offers, and the bins of their machines.
func (s *Scheduler) SetMachineTypes(types []records.MachineType) {
	for _, t := range types {
		s.machineTypes[t.Name] = t
	}
	s.typesByPrice = s.typesByPrice[:0]
	for name := range s.machineTypes {
		s.typesByPrice = append(s.typesByPrice, name)
	}
	sort.Slice(s.typesByPrice, func(i, j int) bool {
		a, b := s.machineTypes[s.typesByPrice[i]], s.machineTypes[s.typesByPrice[j]]
		if (a.GPUs > 0) != (b.GPUs > 0) {
			return b.GPUs > 0 // GPU machines are packed separately and come last
		}
		if a.Price != b.Price {
			return a.Price < b.Price
		}
		return a.Name < b.Name
	})
	for _, machine := range s.fleet.Machines {
		s.assignBin(machine)
	}
	s.placementStale = true
}

// assignBin sets the capacity of a machine's bin by the machine's type and adds the bin to the type's
// space. It does nothing if the type is unknown.
func (s *Scheduler) assignBin(machine *fleet.Machine) {
	t, ok := s.machineTypes[machine.Type]
	if !ok {
		return
	}
	machine.Bin.SetCapacity(fleet.Capacity(&t))
	space := s.spaces[machine.Type]
	if space == nil {
		space = &packing.Space{Ranked: true, Movable: s.itemMovable, Worthwhile: s.suitableMoveTarget}
		s.spaces[machine.Type] = space
	}
	if !space.Has(machine.Bin) {
		space.Add(machine.Bin)
	}
}

// itemMovable reports whether packing may move an item to another bin.
func (s *Scheduler) itemMovable(item *packing.Item) bool {
	attempt, ok := item.Owner.(*fleet.Attempt)
	return ok && s.movable(s.jobOf(attempt), attempt, s.passTime)
}

// suitableMoveTarget reports whether packing may move an item to a bin. The items of planned attempts
// may move to any bin.
func (s *Scheduler) suitableMoveTarget(item *packing.Item, to *packing.Bin) bool {
	attempt, ok := item.Owner.(*fleet.Attempt)
	if !ok || attempt.State() == fleet.Planned {
		return true
	}
	// Without this check, two machines could move their tasks to each other.
	if slices.ContainsFunc(to.Owner.(*fleet.Machine).Attempts(), isStoppingOnMachine) {
		return false
	}
	// A dispatched task moves only to a machine that has its image: a move must not discard one image
	// fetch to start another.
	job := s.jobOf(attempt)
	return job != nil && (s.fetchTime(job) == 0 || to.HasLabel(job.imageReadyLabel))
}
