// Package autoscaler decides which machines to rent from the cloud and which to return. It defines the
// requests to the cloud and the entries of the cloud's machine list; package cloud transports them.
package autoscaler

import (
	"errors"
	"time"
)

// Errors of the cloud, by how the caller has to react.
var (
	ErrNoCapacity     = errors.New("cloud: no capacity")
	ErrUnavailable    = errors.New("cloud: temporarily unavailable") // HTTP 429, or 503 in an outage: the request was not executed
	ErrUnknownOutcome = errors.New("cloud: no response")             // the request may have been executed, or may be executed later
	ErrUnexpected     = errors.New("cloud: unexpected response")
)

// MinCharge is the minimum time for which a machine is charged (PROTOCOL, price).
const MinCharge = 60 * time.Second

// Limits of one request, set by the protocol.
const (
	MaxRentCount   = 50  // machines that one request rents
	MaxReturnNames = 100 // machines that one request returns
)

// RentalRequest requests machines. It is idempotent: its name is unique, so it can be retried.
type RentalRequest struct {
	Name  string `json:"booking"`
	Type  string `json:"rig"`
	Zone  string `json:"site"`
	Spot  bool   `json:"loaners"`
	Count int    `json:"count"`
}

// Offer returns the requested offer.
func (r RentalRequest) Offer() Offer { return Offer{r.Type, r.Zone, r.Spot} }

// CloudMachine is an entry of the cloud's machine list.
type CloudMachine struct {
	Machine string  `json:"uid"`
	Addr    string  `json:"addr"`
	Type    string  `json:"rig"`
	Zone    string  `json:"site"`
	Spot    bool    `json:"loaners"`
	Status  string  `json:"status"`
	AgeS    float64 `json:"age_s"` // seconds since it was requested
}

// StatusFailed is the status of a machine that failed, so that its tasks are lost.
const StatusFailed = "failed"
