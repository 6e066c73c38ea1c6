package admit

import "time"

// OptionError reports an unusable option.
type OptionError struct{ Option, Problem string }

// Error implements error.
func (e *OptionError) Error() string { return "admit: option " + e.Option + " " + e.Problem }

// OverloadedError reports that a query was refused before any of it ran.
type OverloadedError struct {
	Service string
	// RetryAfter is the time after which a slot is likely to be free.
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadedError) Error() string {
	return "service " + e.Service + " is overloaded, retry after " + e.RetryAfter.String()
}
