// Package drain decides which machines are cordoned, drained or upgraded when, and what becomes of each
// task on them. It is pure: no clock and no I/O; the caller passes in the time, and carries out
// what is decided.
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
	KindCordon  = "cordon"  // the machines get no new tasks; what runs goes on
	KindDrain   = "drain"   // no new tasks, and what runs ends or moves: graceful eviction
	KindUpgrade = "upgrade" // the same, some machines at a time, until each has another version
)

// What becomes of an empty machine.
const (
	Keep   = "keep"   // it stays, empty, until the drain is stopped or it has its version
	Return = "return" // it is returned to the cloud; others are requested where they are needed
)

// Spec is the drain that an operator asks for. It is stored as it is, and later versions must read it:
// fields are only added. Of Machines, Type, Zone, OlderThanS and Version all that are given must match.
type Spec struct {
	ID              string   `json:"id"`
	Kind            string   `json:"kind"`
	Machines        []string `json:"machines,omitempty"` // by name
	Type            string   `json:"type,omitempty"`
	Zone            string   `json:"zone,omitempty"`
	OlderThanS      float64  `json:"older_than_s,omitempty"` // requested from the cloud at least so many seconds ago
	Version         string   `json:"version,omitempty"`      // of its worker
	DeadlineMS      int64    `json:"by_ms,omitempty"`        // time of day by which it must be empty
	WhenEmpty       string   `json:"then,omitempty"`
	TargetVersion   string   `json:"to_version,omitempty"` // of an upgrade
	MaxOutOfService int      `json:"at_once,omitempty"`    // machines of an upgrade that are out of service at a time
	MinInService    int      `json:"keep_up,omitempty"`    // machines that stay in service in each zone, and for each class
	Window          *Window  `json:"window,omitempty"`     // when it holds; nil: from now on until it is stopped
	RequestedMS     int64    `json:"began_ms"`             // time of day when it was asked for
	Stopped         bool     `json:"stopped,omitempty"`    // withdrawn

	machineSet map[string]struct{} // Machines as a set, made when it is first needed
}

// Bounds of what operators may ask for. Those of numbers of machines only refuse what no fleet
// has. How many machines a drain may name depends on how many names its record holds, and is
// checked where the record is written.
const (
	maxTextLength     = 200
	maxIDDigits       = 40
	outOfServiceLimit = 1_000_000
	minInServiceLimit = 1_000_000
	olderThanLimitS   = 1e9
)

// ValidID reports whether an id has the form "d-" and digits.
func ValidID(id string) bool {
	digits, ok := strings.CutPrefix(id, "d-")
	return ok && len(digits) > 0 && len(digits) <= maxIDDigits && strings.Trim(digits, "0123456789") == ""
}

// Check sets the defaults of a spec and returns an error that names the first field which is not valid.
// The errors name fields as operators do, by their JSON keys.
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

// Machine is what a drain selects machines by.
type Machine struct {
	Name    string
	Type    string
	Zone    string
	Version string        // of its worker; "" where it does not say
	Age     time.Duration // since it was requested from the cloud; 0 where that is not known
}

// listsMachine reports whether a drain's list of machines has a name. It makes a set of the list, as
// thousands of names would otherwise be compared with those of thousands of machines each time.
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

// Selects reports whether a drain applies to a machine, upgraded or not. It is not for concurrent use.
func (s *Spec) Selects(m Machine) bool {
	return (len(s.Machines) == 0 || s.listsMachine(m.Name)) &&
		(s.Type == "" || s.Type == m.Type) && (s.Zone == "" || s.Zone == m.Zone) &&
		(s.OlderThanS == 0 || m.Age.Seconds() >= s.OlderThanS) &&
		(s.Version == "" || s.Version == m.Version || s.Kind == KindUpgrade && m.Version == s.TargetVersion)
}

// BlocksScaleOut reports whether machines of a type in a zone, yet to be requested, would be drained as
// well: then none is requested there.
func (s *Spec) BlocksScaleOut(typ, zone string) bool {
	return s.Kind != KindUpgrade && len(s.Machines) == 0 && s.OlderThanS == 0 && s.Version == "" &&
		s.Selects(Machine{Type: typ, Zone: zone})
}

// InForce reports whether a drain is in force at a time. emptyBy is when its machines must be
// empty, zero for no such time, and next when any of this changes next, zero for never.
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
