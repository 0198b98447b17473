// Package rental has the requests for machines and what the cloud tells of them; package
// cloud asks it.
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

// MaxRentCount and MostNames are the protocol's bounds of one request.
const (
	MaxRentCount   = 50
	MaxReturnNames = 100
)

// RentalRequest asks for machines. Its booking name is never used again.
type RentalRequest struct {
	Name  string `json:"booking"`
	Type  string `json:"rig"`
	Zone  string `json:"site"`
	Spot  bool   `json:"loaners"`
	Count int    `json:"count"`
}

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
