// Package lead decides which hosts follow the platform's store for the others.
// Each data centre has a few seats, which its hosts take under a lease. The
// holder of the first taken seat leads: it follows the store, and the other
// hosts follow it, so that the calls to the store grow with the data centres and
// not with the hosts. Holders that are larger than other hosts also answer
// whole queries for them.
//
// Two hosts that lead at the same time do no harm, and neither does a time
// without a leader while another data centre has one: what a seat decides is
// cost, never what is true.
package lead

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// LeaseLife is how long a seat lasts that its holder no longer renews.
const LeaseLife = 8 * time.Second

// Host is an entry host.
type Host struct {
	Name       string  `json:"name"`
	DataCentre string  `json:"data_centre"`
	Peers      string  `json:"peers"` // "ip:port" for the other hosts; empty if not served
	Cores      float64 `json:"cores"` // processor share
}

// Seat is a seat that is taken.
type Seat struct {
	Host
	Number int `json:"number"` // from 1, in its data centre
	// Revision is that of the entry in the store; it tells two holders apart.
	Revision uint64 `json:"revision"`
	// Hosts is the number of hosts that follow the holder, with itself unless it
	// follows another one.
	Hosts int `json:"hosts"`
	// LeastCores is the processor share of the smallest of these hosts.
	LeastCores float64 `json:"least_cores"`
}

// Fleet is what is known of all hosts together.
type Fleet struct {
	Seats []Seat `json:"seats"`
}

// Registry keeps the seats in the platform's store. A call that fails may have
// taken effect.
type Registry interface {
	// Seats returns the taken seats. A stale read is cheaper and may be some
	// seconds old.
	Seats(ctx context.Context, stale bool) ([]Seat, error)
	// Take takes a seat under a new lease of LeaseLife if the entry of the seat
	// still has the given revision, 0 for none, and returns the new one.
	// *TakenError means that another host was faster.
	Take(ctx context.Context, seat Seat, revision uint64) (uint64, error)
	// Update writes the entry of the held seat anew, under its lease; the rest is
	// as for Take.
	Update(ctx context.Context, seat Seat) (uint64, error)
	// Renew renews the lease; false means that it has ended.
	Renew(ctx context.Context) (bool, error)
	// Leave ends the lease and gives the seat up.
	Leave(ctx context.Context) error
}

// TakenError reports a seat that another host took.
type TakenError struct{ Seat int }

// Error implements error.
func (*TakenError) Error() string { return "another host has taken the seat" }

// OptionError reports a missing option.
type OptionError struct{ Option string }

// Error implements error.
func (e *OptionError) Error() string { return "option " + e.Option + " of lead is required" }

// Options configure an Agent.
type Options struct {
	Registry Registry
	Host     Host
	// OnFleet is told when the fleet has changed.
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
