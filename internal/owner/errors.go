package owner

import "strconv"

// OptionsError reports an option that is missing or outside its allowed range.
// Option is the name of the Go field.
type OptionsError struct{ Option, Allowed string }

// Error implements error.
func (e *OptionsError) Error() string {
	return "option " + e.Option + " of the owner must be " + e.Allowed
}

// StopError reports the number of sub-requests that were still unfinished when
// the context of Stop ended. Those that ran have the outcome Unknown.
type StopError struct{ Unfinished int64 }

// Error implements error.
func (e *StopError) Error() string {
	return "stopped with " + strconv.FormatInt(e.Unfinished, 10) + " sub-requests unfinished"
}

// MismatchError reports that a connection returned replies that do not belong to
// the sub-requests it was given. Replies is their number. The connection is then
// closed and the sub-requests end as Unknown.
type MismatchError struct{ Replies int }

// Error implements error.
func (e *MismatchError) Error() string {
	return strconv.Itoa(e.Replies) + " replies do not match the sub-requests sent on the connection"
}
