package admit

import "time"

// OptionError reports an option with an invalid value.
type OptionError struct{ Option, Problem string }

// Error implements error.
func (e *OptionError) Error() string { return "admit: option " + e.Option + " " + e.Problem }

// OverloadedError reports that a query was refused because its service has as many
// queries in flight as its limit allows. Nothing of the query ran.
type OverloadedError struct {
	Service string
	// RetryAfter is the time after which a retry is likely to be admitted.
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadedError) Error() string {
	return "service " + e.Service + " is overloaded, retry after " + e.RetryAfter.String()
}
