package drain

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a machine that a drain selects.
type Candidate struct {
	Machine
	OutOfService bool          // already being drained for this upgrade
	Empty        bool          // nothing is on it
	InService    bool          // it could take tasks if no drain kept it from that
	Cost         time.Duration // work that would be thrown away, or has to be waited for, to empty it
	Proven       bool          // a task has completed on it since it has its version
	Faulty       bool          // with its version, tasks fail on it that succeed elsewhere
	VersionAge   time.Duration // since it has its version; 0: it has had no other
	Classes      []string      // of jobs that may run on it
}

// Rollout is the state of an upgrade that must outlive a leader.
type Rollout struct {
	Target     string `json:"want"`              // version that machines are to have
	Previous   string `json:"from,omitempty"`    // version that most had at the start, to go back to
	RolledBack bool   `json:"back,omitempty"`    // it is being rolled back
	Reason     string `json:"why,omitempty"`     // why it is
	Blocked    string `json:"blocked,omitempty"` // why no more machines are taken out of service now
}

// NewRollout returns the rollout of an upgrade that starts from the version that most machines have.
func NewRollout(s *Spec, all []Candidate) Rollout {
	count := map[string]int{}
	r := Rollout{Target: s.TargetVersion}
	for _, m := range all {
		if m.Version == "" || m.Version == s.TargetVersion {
			continue
		}
		count[m.Version]++
		if count[m.Version] > count[r.Previous] || count[m.Version] == count[r.Previous] && m.Version < r.Previous {
			r.Previous = m.Version
		}
	}
	return r
}

// DecideRollback decides whether an upgrade is rolled back: where tasks that succeed elsewhere fail on machines of
// the new version, and these are at least as many as those that have proven to work.
func (r *Rollout) DecideRollback(all []Candidate) {
	if r.RolledBack {
		return
	}
	failed, proven := 0, 0
	for _, m := range all {
		switch {
		case m.Version != r.Target:
		case m.Faulty:
			failed++
		case m.Proven:
			proven++
		}
	}
	if failed == 0 || failed < proven {
		return
	}
	r.RolledBack, r.Reason = true, "machines of version "+r.Target+" fail tasks that others run"
	if r.Previous != "" {
		r.Target = r.Previous
	}
}

// SelectOutOfService returns the machines that are to be out of service now: those that are already, until they have
// their version, and others by what emptying them costs, the cheapest first, as many as
// the spec allows at a time. A machine that has its version, but has not proven to work, counts
// as out of service for soak, so that a bad version is noticed on few machines.
//
// zones and classes count the machines in service by zone, and by class where jobs are open,
// without those out of service. Next changes them.
func (r *Rollout) SelectOutOfService(s *Spec, all []Candidate, zones, classes map[string]int, soak time.Duration) []string {
	r.Blocked = ""
	outOfService, waiting, allowance := r.classify(s, all, soak)
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
			if reason := tooFewLeft(s, m, zones, classes); reason != "" {
				r.Blocked = reason
				continue
			}
			zones[m.Zone]--
			for _, class := range m.Classes {
				classes[class]--
			}
		}
		outOfService = append(outOfService, m.Name)
		allowance--
	}
	return outOfService
}

// classify returns the machines that are out of service, those that wait for their version, and how many of
// the latter may be taken out of service now.
func (r *Rollout) classify(s *Spec, all []Candidate, soak time.Duration) (outOfService []string, waiting []Candidate, allowance int) {
	allowance = s.MaxOutOfService
	for _, m := range all {
		switch {
		case m.Version == r.Target:
			if m.VersionAge > 0 && m.VersionAge < soak && !m.Proven {
				allowance--
			}
		case m.OutOfService:
			outOfService = append(outOfService, m.Name)
			allowance--
		case r.RolledBack && r.Previous == "":
			// Nobody knows what to go back to: what was upgraded stays as it is.
		default:
			waiting = append(waiting, m)
		}
	}
	return outOfService, waiting, allowance
}

// compare orders machines that wait for their version: of a rollback those first on which tasks
// fail, as they are of no use meanwhile; then empty ones, then those that cost least.
func (r *Rollout) compare(a, b Candidate) int {
	if r.RolledBack && a.Faulty != b.Faulty {
		return trueFirst(a.Faulty)
	}
	if a.Empty != b.Empty {
		return trueFirst(a.Empty)
	}
	return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Name, b.Name))
}

// trueFirst compares a bool to its opposite.
func trueFirst(a bool) int {
	if a {
		return -1
	}
	return 1
}

// tooFewLeft returns which zone or class would be left with too few machines; "" if none would.
func tooFewLeft(s *Spec, m Candidate, zones, classes map[string]int) string {
	if zones[m.Zone]-1 < s.MinInService {
		return "zone " + m.Zone + " would have too few machines in service"
	}
	for _, class := range m.Classes {
		if classes[class]-1 < s.MinInService {
			return "jobs of " + class + " would have too few machines in service"
		}
	}
	return ""
}
