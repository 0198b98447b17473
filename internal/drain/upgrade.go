package drain

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a machine that a drain means.
type Candidate struct {
	Machine
	OutOfService bool          // already being emptied for this drain
	Empty        bool          // nothing is on it
	Up           bool          // in service: it could take tasks if no drain kept it from that
	Cost         time.Duration // work that would be thrown away, or has to be waited for, to empty it
	Proven       bool          // a task has completed on it since it has its version
	Failed       bool          // with its version it fails what others run
	VersionAge   time.Duration // since it has its version; 0: it has had it all along
	Classes      []string      // of jobs that may run on it
}

// Rollout is the state of an upgrade that must outlive a leader.
type Rollout struct {
	Target     string `json:"want"`           // version that machines are to have
	From       string `json:"from,omitempty"` // version that most had at the start, to go back to
	RolledBack bool   `json:"back,omitempty"` // it is being rolled back
	Reason     string `json:"why,omitempty"`
	Blocked    string `json:"blocked,omitempty"` // why no more machines are taken now
}

// NewRollout tells how an upgrade starts: from the version that most machines have.
func NewRollout(s *Spec, all []Candidate) Rollout {
	count := map[string]int{}
	r := Rollout{Target: s.TargetVersion}
	for _, m := range all {
		if m.Version == "" || m.Version == s.TargetVersion {
			continue
		}
		if count[m.Version]++; count[m.Version] > count[r.From] || count[m.Version] == count[r.From] && m.Version < r.From {
			r.From = m.Version
		}
	}
	return r
}

// Judge decides whether an upgrade is rolled back: where machines of the new version fail
// tasks that others run, and no more of them than those have shown that it works.
func (r *Rollout) Judge(all []Candidate) {
	if r.RolledBack {
		return
	}
	failed, proven := 0, 0
	for _, m := range all {
		switch {
		case m.Version != r.Target:
		case m.Failed:
			failed++
		case m.Proven:
			proven++
		}
	}
	if failed == 0 || failed < proven {
		return
	}
	r.RolledBack, r.Reason = true, "machines of version "+r.Target+" fail tasks that others run"
	if r.From != "" {
		r.Target = r.From
	}
}

// Next says which machines are to be in hand now: those that are already, until they have
// their version, and others by what emptying them costs, the cheapest first, as many as
// the spec lets out of service. settled counts, for soak long, a machine that has its
// version but has not shown that it works, as still in hand: so a bad version is seen on
// few machines. up counts the machines in service by zone, and by class where jobs are
// open, those in hand left out.
func (r *Rollout) Next(s *Spec, all []Candidate, zones, classes map[string]int, soak time.Duration) []string {
	r.Blocked = ""
	var hand []string
	room := s.AtOnce
	var open []Candidate
	for _, m := range all {
		switch {
		case m.Version == r.Target:
			if m.VersionAge > 0 && m.VersionAge < soak && !m.Proven {
				room--
			}
		case m.OutOfService:
			hand = append(hand, m.Name)
			room--
		case r.RolledBack && r.From == "":
			// Nobody knows what to go back to: what was upgraded stays as it is.
		default:
			open = append(open, m)
		}
	}
	if r.RolledBack && r.From == "" {
		r.Blocked = "rolled back: no earlier version is known"
		return hand
	}
	slices.SortStableFunc(open, func(a, b Candidate) int {
		if r.RolledBack && a.Failed != b.Failed { // what fails is of no use meanwhile
			if a.Failed {
				return -1
			}
			return 1
		}
		if a.Empty != b.Empty {
			if a.Empty {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range open {
		if room <= 0 {
			break
		}
		if m.Up && !m.Failed {
			if why := short(s, m, zones, classes); why != "" {
				r.Blocked = why
				continue
			}
			zones[m.Zone]--
			for _, c := range m.Classes {
				classes[c]--
			}
		}
		hand = append(hand, m.Name)
		room--
	}
	return hand
}

// short says what would be left with too few machines.
func short(s *Spec, m Candidate, zones, classes map[string]int) string {
	if zones[m.Zone]-1 < s.MinInService {
		return "zone " + m.Zone + " would have too few machines in service"
	}
	for _, c := range m.Classes {
		if classes[c]-1 < s.MinInService {
			return "jobs of " + c + " would have too few machines in service"
		}
	}
	return ""
}
