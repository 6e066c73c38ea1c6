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
	defaultDecrease   = 0.8  // factor of the limit
	defaultWaitShare  = 0.25 // fraction of the latency goal
	defaultGoal       = 200 * time.Millisecond
	defaultRetryAfter = 50 * time.Millisecond
	maxRetryAfter     = time.Second
)

// Options are the limits and dependencies of an Admission.
type Options struct {
	Initial  float64 // limit of a new service, in queries in flight; default 4, or Floor if that is greater
	Floor    float64 // least limit, at least 1 so that no service is blocked; default 1
	Ceiling  float64 // greatest limit; default 4096, or Initial if that is greater
	Decrease float64 // factor of a decrease, below 1; default 0.8
	// Increase is added to the limit per round trip without a long wait; default
	// 0.25. It must be less than a decrease takes from a small limit, because
	// otherwise the limit of a service with few queries in flight stays too high.
	Increase float64
	// WaitShare is the fraction of the latency goal that the queue wait may take up
	// before the limit is decreased; default 0.25.
	WaitShare float64
	// Goal is the latency goal used for a Feedback without one; default 200 ms.
	Goal time.Duration
	// Scope receives the metrics; nil discards them.
	Scope tally.Scope
}

// Validate replaces options that are not set by defaults. It returns a *OptionError
// for an invalid value.
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

func setDefault(value *float64, defaultValue float64) {
	if *value <= 0 {
		*value = defaultValue
	}
}
