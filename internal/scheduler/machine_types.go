package scheduler

import (
	"slices"
	"sort"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/records"
)

// SetTypes sets the machine types that the cloud offers.
func (s *Scheduler) SetTypes(types []records.MachineType) {
	for _, t := range types {
		s.types[t.Name] = t
	}
	s.typeNames = s.typeNames[:0]
	for name := range s.types {
		s.typeNames = append(s.typeNames, name)
	}
	sort.Slice(s.typeNames, func(i, j int) bool {
		a, b := s.types[s.typeNames[i]], s.types[s.typeNames[j]]
		if (a.GPUs > 0) != (b.GPUs > 0) {
			return b.GPUs > 0 // GPU types are packed separately and come last
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

// assignBin gives a machine's bin the capacity of its type, and adds it to the type's space.
func (s *Scheduler) assignBin(machine *fleet.Machine) {
	t, ok := s.types[machine.Type]
	if !ok {
		return
	}
	machine.Bin.SetCap(packing.Resources{CPU: t.CPUs, GPU: t.GPUs, Mem: t.MemGB})
	space := s.spaces[machine.Type]
	if space == nil {
		space = &packing.Space{Ranked: true, Movable: s.itemMovable, Worthwhile: s.moveSuits}
		s.spaces[machine.Type] = space
	}
	if !space.Has(machine.Bin) {
		space.Add(machine.Bin)
	}
}

// itemMovable reports whether the packing may move an item to another bin.
func (s *Scheduler) itemMovable(item *packing.Item) bool {
	attempt, ok := item.Owner.(*fleet.Attempt)
	return ok && s.movable(s.jobOf(attempt), attempt, s.now)
}

// moveSuits reports whether a bin is a good target for an item that moves. What was only planned
// moves freely.
func (s *Scheduler) moveSuits(item *packing.Item, to *packing.Bin) bool {
	attempt, ok := item.Owner.(*fleet.Attempt)
	if !ok || attempt.State() == fleet.Planned {
		return true
	}
	// Without this, two machines could empty into each other.
	if slices.ContainsFunc(to.Owner.(*fleet.Machine).Attempts(), isLeaving) {
		return false
	}
	// What is on a machine moves only to where its image is: a move must not throw one fetch away to
	// begin another.
	job := s.jobOf(attempt)
	return job != nil && (s.fetchTime(job) == 0 || to.HasLabel(job.imageReadyLabel))
}
