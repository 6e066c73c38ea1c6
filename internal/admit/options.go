package admit

import (
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	defaultInitialLimit   = 4    // queries in flight
	defaultMinLimit       = 1    // queries in flight
	defaultMaxLimit       = 4096 // queries in flight
	defaultIncrease       = 0.25 // queries per round trip
	defaultDecreaseFactor = 0.8  // factor of the limit
	defaultWaitShare      = 0.25 // fraction of the latency goal
	defaultLatencyGoal    = 200 * time.Millisecond
	defaultRetryAfter     = 50 * time.Millisecond
	maxRetryAfter         = time.Second
)

// Options are the limits and dependencies of an Admission.
type Options struct {
	InitialLimit   float64 // limit of a new service, in queries in flight; default 4, or MinLimit if that is greater
	MinLimit       float64 // least limit, at least 1 so that no service is blocked; default 1
	MaxLimit       float64 // greatest limit; default 4096, or InitialLimit if that is greater
	DecreaseFactor float64 // factor by which a decrease multiplies the limit, below 1; default 0.8
	// Increase is added to the limit per round trip without a long wait; default
	// 0.25. It must be less than a decrease takes from a small limit, because
	// otherwise the limit of a service with few queries in flight stays too high.
	Increase float64
	// WaitShare is the fraction of the latency goal that the queue wait may take up
	// before the limit is decreased; default 0.25.
	WaitShare float64
	// DefaultLatencyGoal is the latency goal used for a Feedback without one;
	// default 200 ms.
	DefaultLatencyGoal time.Duration
	// Scope receives the metrics; nil discards them.
	Scope tally.Scope
}

// Validate replaces options that are not set by defaults. It returns a *OptionError
// for an invalid value.
func (o *Options) Validate() error {
	setDefault(&o.MinLimit, defaultMinLimit)
	setDefault(&o.InitialLimit, max(defaultInitialLimit, o.MinLimit))
	setDefault(&o.MaxLimit, max(defaultMaxLimit, o.InitialLimit))
	setDefault(&o.Increase, defaultIncrease)
	setDefault(&o.DecreaseFactor, defaultDecreaseFactor)
	setDefault(&o.WaitShare, defaultWaitShare)
	if o.DefaultLatencyGoal <= 0 {
		o.DefaultLatencyGoal = defaultLatencyGoal
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	switch {
	case o.DecreaseFactor >= 1:
		return &OptionError{Option: "DecreaseFactor", Problem: "must be below 1"}
	case o.MinLimit < 1:
		return &OptionError{Option: "MinLimit", Problem: "must be at least 1"}
	case o.InitialLimit < o.MinLimit || o.MaxLimit < o.InitialLimit:
		return &OptionError{Option: "InitialLimit", Problem: "must be between MinLimit and MaxLimit"}
	}
	return nil
}

func setDefault(value *float64, defaultValue float64) {
	if *value <= 0 {
		*value = defaultValue
	}
}
