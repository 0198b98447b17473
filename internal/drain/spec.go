// Package drain decides which machines to cordon, drain or upgrade at which time, and what to do with
// each task on them. It does no I/O and reads no clock; the caller executes the decisions.
package drain

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kinds of drains.
const (
	KindCordon  = "cordon"  // the machines get no new tasks; running tasks continue
	KindDrain   = "drain"   // like cordon, and running tasks end or move: graceful eviction
	KindUpgrade = "upgrade" // a drain of some machines at a time, until each has the target version
)

// What happens to a drained machine once it is empty.
const (
	Keep   = "keep"   // it stays empty until the drain is stopped, its window ends or it has the target version
	Return = "return" // it is returned to the cloud; replacements are rented as needed
)

// Spec is a drain as an operator requests it. It is stored in this form and later versions must be able
// to read it, so fields are only ever added. A machine is selected if it matches all of Machines, Type,
// Zone, OlderThanS and Version that are set.
type Spec struct {
	ID              string   `json:"id"`
	Kind            string   `json:"kind"`
	Machines        []string `json:"machines,omitempty"` // by name
	Type            string   `json:"type,omitempty"`
	Zone            string   `json:"zone,omitempty"`
	OlderThanS      float64  `json:"older_than_s,omitempty"` // minimum time since the rental request
	Version         string   `json:"version,omitempty"`      // of its worker
	DeadlineMS      int64    `json:"by_ms,omitempty"`        // Unix time by which machines must be empty; 0: none
	WhenEmpty       string   `json:"then,omitempty"`
	TargetVersion   string   `json:"to_version,omitempty"` // upgrade only
	MaxOutOfService int      `json:"at_once,omitempty"`    // upgrade only: machines out of service at a time
	MinInService    int      `json:"keep_up,omitempty"`    // upgrade only: machines in service to keep per zone and per job class
	Window          *Window  `json:"window,omitempty"`     // when the drain is in force; nil: from now until stopped
	RequestedMS     int64    `json:"began_ms"`             // Unix time of the request
	Stopped         bool     `json:"stopped,omitempty"`    // by an operator

	machineSet map[string]struct{} // Machines as a set, built on first use
}

// Bounds on values from operators. Those on numbers of machines exceed any fleet and reject only
// nonsense. The number of machine names in a drain is limited by the size of its record and checked
// where the record is written.
const (
	maxTextLength     = 200
	maxIDDigits       = 40
	outOfServiceLimit = 1_000_000
	minInServiceLimit = 1_000_000
	olderThanLimitS   = 1e9
)

// ValidID reports whether an id is "d-" followed by 1 to maxIDDigits digits.
func ValidID(id string) bool {
	digits, ok := strings.CutPrefix(id, "d-")
	return ok && len(digits) > 0 && len(digits) <= maxIDDigits && strings.Trim(digits, "0123456789") == ""
}

// Check sets the defaults of a spec and returns an error that names the first invalid field by its JSON
// key.
func (s *Spec) Check(now time.Time) error {
	if s.Kind == "" {
		s.Kind = KindDrain
	}
	if s.WhenEmpty == "" {
		s.WhenEmpty = Keep
	}
	if s.Kind == KindUpgrade && s.MaxOutOfService == 0 {
		return errors.New("at_once: an upgrade takes at least one machine at a time, 0 would never end")
	}
	switch {
	case !ValidID(s.ID):
		return errors.New(`id: not "d-" and digits`)
	case !slices.Contains([]string{KindCordon, KindDrain, KindUpgrade}, s.Kind):
		return fmt.Errorf("kind: %q is none of %s, %s, %s", s.Kind, KindCordon, KindDrain, KindUpgrade)
	case s.WhenEmpty != Keep && s.WhenEmpty != Return:
		return fmt.Errorf("then: %q is neither %s nor %s", s.WhenEmpty, Keep, Return)
	case s.Stopped:
		return errors.New("stopped: a drain begins as one that holds")
	case len(s.Machines) == 0 && s.Type == "" && s.Zone == "" && s.OlderThanS == 0 && s.Version == "" && s.Kind != KindUpgrade:
		return errors.New("machines: nothing is said of which machines: names, type, zone, older_than_s or version")
	case !(s.OlderThanS >= 0 && s.OlderThanS < olderThanLimitS):
		return errors.New("older_than_s: out of range")
	case s.DeadlineMS != 0 && time.UnixMilli(s.DeadlineMS).Before(now):
		return errors.New("by_ms: is over")
	case s.DeadlineMS != 0 && s.Kind != KindDrain:
		return fmt.Errorf("by_ms: only for kind %s", KindDrain)
	case s.Kind != KindUpgrade && (s.TargetVersion != "" || s.MaxOutOfService != 0):
		return fmt.Errorf("to_version, at_once: only for kind %s", KindUpgrade)
	case s.Kind == KindUpgrade && s.TargetVersion == "":
		return errors.New("to_version: missing")
	case s.MaxOutOfService < 0 || s.MaxOutOfService > outOfServiceLimit:
		return fmt.Errorf("at_once: not within 1 to %d", outOfServiceLimit)
	case s.MinInService < 0 || s.MinInService > minInServiceLimit:
		return errors.New("keep_up: out of range")
	case s.Window != nil && s.DeadlineMS != 0:
		return errors.New("by_ms: a window says by itself when machines are empty (lead_s)")
	}
	for _, text := range append(slices.Clone(s.Machines), s.Type, s.Zone, s.Version, s.TargetVersion) {
		if len(text) > maxTextLength {
			return fmt.Errorf("machines, type, zone, version, to_version: %.20q... is too long", text)
		}
	}
	if slices.Contains(s.Machines, "") {
		return errors.New("machines: an empty name")
	}
	if s.Window != nil {
		return s.Window.Check(now)
	}
	return nil
}

// Machine holds the properties by which a drain selects machines.
type Machine struct {
	Name    string
	Type    string
	Zone    string
	Version string        // of its worker; "": not reported
	Age     time.Duration // since the rental request; 0: unknown
}

// listsMachine reports whether Machines contains a name. It uses a set, because otherwise each pass
// would compare thousands of names with thousands of machines.
func (s *Spec) listsMachine(machine string) bool {
	if s.machineSet == nil {
		s.machineSet = make(map[string]struct{}, len(s.Machines))
		for _, name := range s.Machines {
			s.machineSet[name] = struct{}{}
		}
	}
	_, found := s.machineSet[machine]
	return found
}

// Selects reports whether a drain applies to a machine. An upgrade also selects machines that already
// have its target version. Selects is not safe for concurrent use.
func (s *Spec) Selects(m Machine) bool {
	return (len(s.Machines) == 0 || s.listsMachine(m.Name)) &&
		(s.Type == "" || s.Type == m.Type) && (s.Zone == "" || s.Zone == m.Zone) &&
		(s.OlderThanS == 0 || m.Age.Seconds() >= s.OlderThanS) &&
		(s.Version == "" || s.Version == m.Version || s.Kind == KindUpgrade && m.Version == s.TargetVersion)
}

// BlocksScaleOut reports whether the drain would also drain new machines of a type in a zone. While
// it is in force, no such machines are rented.
func (s *Spec) BlocksScaleOut(typ, zone string) bool {
	return s.Kind != KindUpgrade && len(s.Machines) == 0 && s.OlderThanS == 0 && s.Version == "" &&
		s.Selects(Machine{Type: typ, Zone: zone})
}

// InForce reports whether the drain is in force at a time. emptyBy is the time by which its machines
// must be empty; zero: no deadline. next is when either result changes next; zero: never.
func (s *Spec) InForce(at time.Time) (inForce bool, emptyBy, next time.Time) {
	if s.Stopped {
		return false, emptyBy, next
	}
	if s.Window == nil {
		if s.DeadlineMS != 0 {
			emptyBy = time.UnixMilli(s.DeadlineMS)
		}
		return true, emptyBy, next
	}
	return s.Window.inForce(at)
}
