// Package lead decides which hosts read the platform's store for the others.
// Each data centre has a few seats, which its hosts take under a lease. The
// holder of the lowest taken seat leads: the other hosts of the data centre poll
// it. The leader of the first data centre reads the store, and the other leaders
// poll it, so that the reads grow neither with the hosts nor with the data
// centres. Holders with more processor time than other hosts also answer whole
// queries for them.
//
// Leadership affects cost only: two leaders in a data centre do no harm, and neither
// does a period without one while another data centre has a leader. The grants for
// rate limits (package ratelimit) are the exception: a new leader grants a part of each
// limit while the one before it may still lead.
package lead

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/arbutusgauge/arbutusgauge/internal/history"
)

// LeaseDuration is the time after the last renewal at which a seat becomes vacant.
const LeaseDuration = 8 * time.Second

// Host is an entry host.
type Host struct {
	Name       string  `json:"name"`
	DataCentre string  `json:"data_centre"`
	PeerAddr   string  `json:"peers"` // "ip:port" at which it serves other hosts; empty if it serves none
	Cores      float64 `json:"cores"` // processor share, in cores
}

// Seat is a taken seat with its holder.
type Seat struct {
	Host
	Number int `json:"number"` // from 1, within its data centre
	// Position is that of the seat's entry in the store's history; it tells
	// successive holders apart.
	history.Position
	// Hosts is the number of hosts that follow the holder. It includes the holder
	// if the holder leads.
	Hosts int `json:"hosts"`
	// LeastCores is the smallest processor share, in cores, among the holder and
	// its followers.
	LeastCores float64 `json:"least_cores"`
}

// Greatest plausible values of a seat, far above those of any fleet.
const (
	maxSeatNumber   = 1 << 16
	maxHostsPerSeat = 1 << 20
)

// Validate returns *SeatError for a seat that no host of this program writes. Such
// a seat, from the store or from a peer, must not reach the decisions.
func (s *Seat) Validate() error {
	problem := ""
	switch {
	case s.Name == "" || s.DataCentre == "":
		problem = "it names no host or no data centre"
	case s.Number < 1 || s.Number > maxSeatNumber:
		problem = "its number is out of range"
	case s.Hosts < 0 || s.Hosts > maxHostsPerSeat:
		problem = "its number of hosts is out of range"
	case !isCores(s.Cores) || !isCores(s.LeastCores):
		problem = "a processor share is out of range"
	default:
		return nil
	}
	return &SeatError{DataCentre: s.DataCentre, Number: s.Number, Problem: problem}
}

// isCores reports whether a number can be a processor share; 0 means unknown.
func isCores(cores float64) bool { return cores >= 0 && !math.IsInf(cores, 0) }

// SeatError reports a malformed seat.
type SeatError struct {
	DataCentre string
	Number     int
	Problem    string
}

// Error implements error.
func (e *SeatError) Error() string {
	return "seat " + strconv.Itoa(e.Number) + " of data centre " + e.DataCentre + " is malformed: " + e.Problem
}

// Fleet is the known state of all hosts, as their taken seats.
type Fleet struct {
	Seats []Seat `json:"seats"`
}

// Registry keeps the seats in the platform's store. A failed call may have taken
// effect.
type Registry interface {
	// Seats returns the taken seats. A stale read is cheaper, but its result may
	// be some seconds old.
	Seats(ctx context.Context, stale bool) ([]Seat, error)
	// Take takes a seat under a new lease of LeaseDuration if the entry of the seat
	// still has the given position (revision 0: no entry), and returns its new
	// position. *TakenError means that another host has taken the seat meanwhile, or
	// that the store was restored.
	Take(ctx context.Context, seat Seat, replaced history.Position) (history.Position, error)
	// Update rewrites the entry of the held seat under its lease if the entry
	// still has the position of seat. It returns the new position, or
	// *TakenError as Take does.
	Update(ctx context.Context, seat Seat) (history.Position, error)
	// Renew renews the lease; false means that the lease has ended. A lease of before
	// a restoration counts as ended, because its number may be another host's.
	Renew(ctx context.Context) (bool, error)
	// Leave ends the lease, which vacates the seat.
	Leave(ctx context.Context) error
}

// TakenError reports that another host has taken a seat. Seat is the number of
// that seat.
type TakenError struct{ Seat int }

// Error implements error.
func (*TakenError) Error() string { return "another host has taken the seat" }

// OptionError reports an unset field of Options.
type OptionError struct{ Option string }

// Error implements error.
func (e *OptionError) Error() string { return "option " + e.Option + " of lead is required" }

// Options configure an Agent.
type Options struct {
	Registry Registry
	Host     Host
	// Seeds are the addresses of hosts that may be asked for the leaders. They may be
	// lost or stale.
	Seeds []string
	// OnFleet is called with each changed fleet, one call at a time. It runs while
	// the agent is locked and must not call it.
	OnFleet func(Fleet)
	Logger  log.Interface // default: no log
}

// Validate fills in defaults and returns *OptionError for a missing option.
func (o *Options) Validate() error {
	switch {
	case o.Registry == nil:
		return &OptionError{Option: "Registry"}
	case o.Host.Name == "" || o.Host.DataCentre == "":
		return &OptionError{Option: "Host"}
	case o.OnFleet == nil:
		return &OptionError{Option: "OnFleet"}
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Handler: discard.Default}
	}
	return nil
}
