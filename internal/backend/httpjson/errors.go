package httpjson

import "strconv"

// OptionsError reports an option outside its allowed range.
type OptionsError struct{ Option, Allowed string }

// Error implements error.
func (e *OptionsError) Error() string {
	return "option " + e.Option + " of the backend adapter must be " + e.Allowed
}

// StatusError reports an unexpected HTTP status, which does not tell whether the
// call was executed.
type StatusError struct{ Code int }

// Error implements error.
func (e *StatusError) Error() string { return "unexpected HTTP status " + strconv.Itoa(e.Code) }
