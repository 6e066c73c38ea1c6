package owner

import "strconv"

// OptionsError reports an option outside its allowed range.
type OptionsError struct{ Option, Allowed string }

// Error implements error.
func (e *OptionsError) Error() string {
	return "option " + e.Option + " of the owner must be " + e.Allowed
}

// StopError reports sub-requests that were cut off because the time to stop
// ran out.
type StopError struct{ Unfinished int64 }

// Error implements error.
func (e *StopError) Error() string {
	return "stopped with " + strconv.FormatInt(e.Unfinished, 10) + " sub-requests unfinished"
}

// MismatchError reports a connection that returned replies to other
// sub-requests than the ones it was given.
type MismatchError struct{ Replies int }

// Error implements error.
func (e *MismatchError) Error() string {
	return strconv.Itoa(e.Replies) + " replies do not answer the batch"
}
