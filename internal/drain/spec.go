// Package drain decides which machines are emptied when, and what becomes of each task on
// them. It is pure: no clock and no I/O; whoever asks passes in the time, and carries out
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
	Cordon  = "cordon"  // no new tasks; what runs goes on
	Empty   = "drain"   // no new tasks, and what runs ends or moves
	Upgrade = "upgrade" // the same, some machines at a time, until each has another version
)

// What becomes of an empty machine.
const (
	Keep   = "keep"   // it stays rented, and empty, until the drain is stopped or it has its version
	Return = "return" // it is given back; others are rented where they are needed
)

// Spec is what operators ask for. It is stored as it is, and later versions must read it;
// fields are only added.
type Spec struct {
	ID            string   `json:"id"`
	Kind          string   `json:"kind"`
	Machines      []string `json:"machines,omitempty"` // by name; of what is said of machines all must hold
	Type          string   `json:"type,omitempty"`
	Zone          string   `json:"zone,omitempty"`
	OlderS        float64  `json:"older_than_s,omitempty"` // rented at least so many seconds ago
	Version       string   `json:"version,omitempty"`      // of its worker
	ByMS          int64    `json:"by_ms,omitempty"`        // time of day by which it must be empty
	WhenEmpty     string   `json:"then,omitempty"`
	TargetVersion string   `json:"to_version,omitempty"` // of an upgrade
	AtOnce        int      `json:"at_once,omitempty"`    // machines of an upgrade that are out of service at a time
	MinInService  int      `json:"keep_up,omitempty"`    // machines that stay in service in each zone, and for each class
	Window        *Window  `json:"window,omitempty"`     // when it holds; nil: from now on until it is stopped
	BeganMS       int64    `json:"began_ms"`             // time of day when it was asked for
	Stopped       bool     `json:"stopped,omitempty"`    // withdrawn

	named map[string]struct{} // Machines as a set, made when it is first asked for
}

// Bounds of what operators may ask for. Those of machines only keep out figures that no fleet
// has. How many machines a drain may name depends on how many names its record holds, and is
// checked where the record is written.
const (
	mostText   = 200
	mostAtOnce = 1_000_000
	mostKeepUp = 1_000_000
)

// ValidID says whether an id has the form "d-" and digits.
func ValidID(id string) bool {
	rest, ok := strings.CutPrefix(id, "d-")
	return ok && len(rest) > 0 && len(rest) <= 40 && strings.Trim(rest, "0123456789") == ""
}

// Check completes a spec with its defaults and says what is wrong with it, by field.
func (s *Spec) Check(now time.Time) error {
	if s.Kind == "" {
		s.Kind = Empty
	}
	if s.WhenEmpty == "" {
		s.WhenEmpty = Keep
	}
	if s.Kind == Upgrade && s.AtOnce == 0 {
		return errors.New("at_once: an upgrade takes at least one machine at a time, 0 would never end")
	}
	switch {
	case !ValidID(s.ID):
		return errors.New(`id: not "d-" and digits`)
	case !slices.Contains([]string{Cordon, Empty, Upgrade}, s.Kind):
		return fmt.Errorf("kind: %q is none of %s, %s, %s", s.Kind, Cordon, Empty, Upgrade)
	case s.WhenEmpty != Keep && s.WhenEmpty != Return:
		return fmt.Errorf("then: %q is neither %s nor %s", s.WhenEmpty, Keep, Return)
	case s.Stopped:
		return errors.New("stopped: a drain begins as one that holds")
	case len(s.Machines) == 0 && s.Type == "" && s.Zone == "" && s.OlderS == 0 && s.Version == "" && s.Kind != Upgrade:
		return errors.New("machines: nothing is said of which machines: names, type, zone, older_than_s or version")
	case !(s.OlderS >= 0 && s.OlderS < 1e9):
		return errors.New("older_than_s: out of range")
	case s.ByMS != 0 && time.UnixMilli(s.ByMS).Before(now):
		return errors.New("by_ms: is over")
	case s.ByMS != 0 && s.Kind != Empty:
		return fmt.Errorf("by_ms: only for kind %s", Empty)
	case s.Kind != Upgrade && (s.TargetVersion != "" || s.AtOnce != 0):
		return fmt.Errorf("to_version, at_once: only for kind %s", Upgrade)
	case s.Kind == Upgrade && s.TargetVersion == "":
		return errors.New("to_version: missing")
	case s.AtOnce < 0 || s.AtOnce > mostAtOnce:
		return fmt.Errorf("at_once: not within 1 to %d", mostAtOnce)
	case s.MinInService < 0 || s.MinInService > mostKeepUp:
		return errors.New("keep_up: out of range")
	case s.Window != nil && s.ByMS != 0:
		return errors.New("by_ms: a window says by itself when machines are empty (lead_s)")
	}
	for _, text := range append(slices.Clone(s.Machines), s.Type, s.Zone, s.Version, s.TargetVersion) {
		if len(text) > mostText {
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

// Machine is what a drain looks at of a machine.
type Machine struct {
	Name, Type, Zone string
	Version          string        // of its worker; "" where it does not say
	Age              time.Duration // since its rental; 0 where that is not known
}

// names says whether a drain's list of machines has a name. Guards against thousands of names
// that are each compared with those of thousands of machines at every look.
func (s *Spec) names(machine string) bool {
	if s.named == nil {
		s.named = make(map[string]struct{}, len(s.Machines))
		for _, name := range s.Machines {
			s.named[name] = struct{}{}
		}
	}
	_, found := s.named[machine]
	return found
}

// Selects says whether a drain means a machine, upgraded or not. It is not for concurrent use.
func (s *Spec) Selects(m Machine) bool {
	return (len(s.Machines) == 0 || s.names(m.Name)) &&
		(s.Type == "" || s.Type == m.Type) && (s.Zone == "" || s.Zone == m.Zone) &&
		(s.OlderS == 0 || m.Age.Seconds() >= s.OlderS) &&
		(s.Version == "" || s.Version == m.Version || s.Kind == Upgrade && m.Version == s.TargetVersion)
}

// BarsScaleOut says whether machines of a type in a zone, yet to be rented, would be drained as
// well: then none is rented there.
func (s *Spec) BarsScaleOut(typ, zone string) bool {
	return s.Kind != Upgrade && len(s.Machines) == 0 && s.OlderS == 0 && s.Version == "" && s.Selects(Machine{Type: typ, Zone: zone})
}

// InForce tells whether a drain is in force at a time of day, by when its machines must be
// empty, zero for no such time, and when this changes next, zero for never.
func (s *Spec) InForce(at time.Time) (holds bool, by, next time.Time) {
	if s.Stopped {
		return false, by, next
	}
	if s.Window == nil {
		if s.ByMS != 0 {
			by = time.UnixMilli(s.ByMS)
		}
		return true, by, next
	}
	return s.Window.holds(at)
}
