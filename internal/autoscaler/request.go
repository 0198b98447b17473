// Package autoscaler decides which machines to rent from the cloud and which to return, and has the
// requests to the cloud and what it tells of its machines; package cloud sends them.
package autoscaler

import (
	"errors"
	"time"
)

// Errors of the cloud, by what follows from them.
var (
	ErrNoCapacity     = errors.New("cloud: no capacity")
	ErrUnavailable    = errors.New("cloud: refused for now") // 429, or 503 in an outage: not executed
	ErrUnknownOutcome = errors.New("cloud did not answer")   // may have been, or may yet be, executed
	ErrUnexpected     = errors.New("cloud: unexpected answer")
)

// MinCharge is what a machine costs at least (PROTOCOL, price).
const MinCharge = 60 * time.Second

// The protocol's bounds of one request.
const (
	MaxRentCount   = 50  // machines that one request rents
	MaxReturnNames = 100 // machines that one request returns
)

// RentalRequest asks for machines. Its name is never used again, so that it can be repeated.
type RentalRequest struct {
	Name  string `json:"booking"`
	Type  string `json:"rig"`
	Zone  string `json:"site"`
	Spot  bool   `json:"loaners"`
	Count int    `json:"count"`
}

// Offer is what the request asks for.
func (r RentalRequest) Offer() Offer { return Offer{r.Type, r.Zone, r.Spot} }

// CloudMachine is a machine in the cloud's list.
type CloudMachine struct {
	Machine string  `json:"uid"`
	Addr    string  `json:"addr"`
	Type    string  `json:"rig"`
	Zone    string  `json:"site"`
	Spot    bool    `json:"loaners"`
	Status  string  `json:"status"`
	AgeS    float64 `json:"age_s"`
}

// StatusFailed is the status of a machine that stopped on its own.
const StatusFailed = "failed"
