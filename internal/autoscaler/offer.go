package autoscaler

import (
	"fmt"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/records"
)

// Offer is a kind of machine that the cloud rents out: a machine type in a zone, spot or on demand.
type Offer struct {
	Type, Zone string
	Spot       bool
}

// before reports whether an offer precedes another in a plan. Spot machines come first,
// because on-demand machines are rented only for the work that spot machines leave.
func (o Offer) before(other Offer) bool {
	if o.Spot != other.Spot {
		return o.Spot
	}
	return fmt.Sprint(o) < fmt.Sprint(other)
}

// Catalog lists the machine types that the cloud offers.
type Catalog struct {
	Types map[string]records.MachineType
	Names []string // the order in which types are tried, cheapest first
}

// Capacity returns the resources of a machine of a type. An unknown type has no CPUs, GPUs and memory.
func (c Catalog) Capacity(name string) packing.Resources {
	t := c.Types[name]
	return fleet.Capacity(&t)
}

// StartupTime returns how long a machine of a type takes to start; 0 for an unknown type.
func (c Catalog) StartupTime(name string) time.Duration {
	return time.Duration(c.Types[name].StartupS * float64(time.Second))
}
