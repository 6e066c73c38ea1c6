package httpconn

import "strconv"

// TooLargeError reports a response, with its headers, that is longer than the
// limit.
type TooLargeError struct{ Limit int64 } // bytes

// Error implements error.
func (e *TooLargeError) Error() string {
	return "response is longer than " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// ClosedError reports a call on a connection that either side has closed, or on
// which unexpected bytes arrived between calls.
type ClosedError struct{ Cause string }

// Error implements error.
func (e *ClosedError) Error() string { return "connection is unusable: " + e.Cause }
