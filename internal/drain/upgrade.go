package drain

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a machine that an upgrade selects.
type Candidate struct {
	Machine
	OutOfService     bool          // already drained for this upgrade
	Empty            bool          // has no tasks
	InService        bool          // accepts tasks and is not cordoned
	Cost             time.Duration // work to lose or to wait for until the machine is empty
	HasCompletedTask bool          // a task has completed on it with its current version
	Faulty           bool          // with its current version, it fails tasks that succeed elsewhere
	VersionAge       time.Duration // time since it changed to its version; 0: no change seen
	Classes          []string      // job classes that may run on it
}

// Rollout is the state of an upgrade that must survive a failover.
type Rollout struct {
	Target     string `json:"want"`              // version that machines are to get
	Previous   string `json:"from,omitempty"`    // most common version at the start, restored by a rollback
	RolledBack bool   `json:"back,omitempty"`    // a rollback has been decided
	Reason     string `json:"why,omitempty"`     // for the rollback
	Blocked    string `json:"blocked,omitempty"` // why no more machines are taken out of service now
}

// NewRollout returns the rollout of an upgrade. Its Previous is the most common version of the
// candidates other than the target, "" if none is known.
func NewRollout(s *Spec, candidates []Candidate) Rollout {
	machinesByVersion := map[string]int{}
	r := Rollout{Target: s.TargetVersion}
	for _, m := range candidates {
		if m.Version == "" || m.Version == s.TargetVersion {
			continue
		}
		machinesByVersion[m.Version]++
		if machinesByVersion[m.Version] > machinesByVersion[r.Previous] || machinesByVersion[m.Version] == machinesByVersion[r.Previous] && m.Version < r.Previous {
			r.Previous = m.Version
		}
	}
	return r
}

// DecideRollback starts a rollback if machines with the target version are faulty, and at least as
// many are faulty as have completed a task with it. The target becomes Previous, if that is known.
func (r *Rollout) DecideRollback(candidates []Candidate) {
	if r.RolledBack {
		return
	}
	faulty, proven := 0, 0
	for _, m := range candidates {
		switch {
		case m.Version != r.Target:
		case m.Faulty:
			faulty++
		case m.HasCompletedTask:
			proven++
		}
	}
	if faulty == 0 || faulty < proven {
		return
	}
	r.RolledBack, r.Reason = true, "machines of version "+r.Target+" fail tasks that others run"
	if r.Previous != "" {
		r.Target = r.Previous
	}
}

// SelectOutOfService returns the machines to have out of service now: those that already are out of
// service, until they have the target version, and further ones, in the order of compare, up to the
// spec's MaxOutOfService. It skips a machine in service that is not faulty if fewer than
// MinInService would remain in its zone or for one of its classes, and gives the reason in
// r.Blocked. A machine that has the target version but has completed no task with it counts as out
// of service for the soak time, so that a bad version reaches only a few machines.
//
// The maps count the machines in service by zone and by class of open jobs. SelectOutOfService updates
// them.
func (r *Rollout) SelectOutOfService(s *Spec, candidates []Candidate, inServiceByZone, inServiceByClass map[string]int, soakTime time.Duration) []string {
	r.Blocked = ""
	outOfService, waiting, allowance := r.classify(s, candidates, soakTime)
	if r.RolledBack && r.Previous == "" {
		r.Blocked = "rolled back: no earlier version is known"
		return outOfService
	}
	slices.SortStableFunc(waiting, r.compare)
	for _, m := range waiting {
		if allowance <= 0 {
			break
		}
		if m.InService && !m.Faulty {
			if reason := tooFewLeft(s, m, inServiceByZone, inServiceByClass); reason != "" {
				r.Blocked = reason
				continue
			}
			inServiceByZone[m.Zone]--
			for _, class := range m.Classes {
				inServiceByClass[class]--
			}
		}
		outOfService = append(outOfService, m.Name)
		allowance--
	}
	return outOfService
}

// classify returns the machines that are out of service, those that wait for the target version, and
// how many of the latter may be taken out of service now.
func (r *Rollout) classify(s *Spec, candidates []Candidate, soakTime time.Duration) (outOfService []string, waiting []Candidate, allowance int) {
	allowance = s.MaxOutOfService
	for _, m := range candidates {
		switch {
		case m.Version == r.Target:
			if m.VersionAge > 0 && m.VersionAge < soakTime && !m.HasCompletedTask {
				allowance--
			}
		case m.OutOfService:
			outOfService = append(outOfService, m.Name)
			allowance--
		case r.RolledBack && r.Previous == "":
			// The target is still the faulty version, as no earlier one is known: m is not upgraded.
		default:
			waiting = append(waiting, m)
		}
	}
	return outOfService, waiting, allowance
}

// compare orders machines that wait for the target version: in a rollback faulty ones first, because
// they run no tasks meanwhile; then empty ones; then by cost.
func (r *Rollout) compare(a, b Candidate) int {
	if r.RolledBack && a.Faulty != b.Faulty {
		return trueFirst(a.Faulty)
	}
	if a.Empty != b.Empty {
		return trueFirst(a.Empty)
	}
	return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Name, b.Name))
}

// trueFirst returns the order of a relative to !a, with true before false: -1 if a is true, else 1.
func trueFirst(a bool) int {
	if a {
		return -1
	}
	return 1
}

// tooFewLeft returns a text that names the zone or class that would have too few machines in service
// without m; "" if none would.
func tooFewLeft(s *Spec, m Candidate, inServiceByZone, inServiceByClass map[string]int) string {
	if inServiceByZone[m.Zone]-1 < s.MinInService {
		return "zone " + m.Zone + " would have too few machines in service"
	}
	for _, class := range m.Classes {
		if inServiceByClass[class]-1 < s.MinInService {
			return "jobs of " + class + " would have too few machines in service"
		}
	}
	return ""
}
