package admit

import (
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	defaultInitial    = 4    // queries in flight
	defaultFloor      = 1    // queries in flight
	defaultCeiling    = 4096 // queries in flight
	defaultIncrease   = 0.25 // queries per round trip
	defaultDecrease   = 0.8  // factor
	defaultWaitShare  = 0.25 // of the latency goal
	defaultGoal       = 200 * time.Millisecond
	defaultRetryAfter = 50 * time.Millisecond
	maxRetryAfter     = time.Second
)

// Options are the limits and dependencies of an Admission.
type Options struct {
	Initial  float64 // limit of a new service, in queries in flight
	Floor    float64 // least limit, so that a service always gets some queries
	Ceiling  float64 // greatest limit
	Decrease float64 // factor by which the limit shrinks
	// Increase is added to the limit per round trip without a long wait. It is
	// below what a decrease takes from a small limit, or the limit of a service
	// with few queries in flight stays too high.
	Increase float64
	// WaitShare is the part of the latency goal that a queue wait may take.
	WaitShare float64
	// Goal is the latency goal of feedback without one.
	Goal time.Duration
	// Scope receives the metrics; nil means none.
	Scope tally.Scope
}

// Validate fills in defaults and reports a *OptionError for a bad value.
func (o *Options) Validate() error {
	setDefault(&o.Floor, defaultFloor)
	setDefault(&o.Initial, max(defaultInitial, o.Floor))
	setDefault(&o.Ceiling, max(defaultCeiling, o.Initial))
	setDefault(&o.Increase, defaultIncrease)
	setDefault(&o.Decrease, defaultDecrease)
	setDefault(&o.WaitShare, defaultWaitShare)
	if o.Goal <= 0 {
		o.Goal = defaultGoal
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	switch {
	case o.Decrease >= 1:
		return &OptionError{Option: "Decrease", Problem: "must be below 1"}
	case o.Floor < 1:
		return &OptionError{Option: "Floor", Problem: "must be at least 1"}
	case o.Initial < o.Floor || o.Ceiling < o.Initial:
		return &OptionError{Option: "Initial", Problem: "must be between Floor and Ceiling"}
	}
	return nil
}

func setDefault(value *float64, to float64) {
	if *value <= 0 {
		*value = to
	}
}
