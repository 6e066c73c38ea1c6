package httpconn

import "strconv"

// InterimResponsesError reports a server that sent more interim responses (1xx)
// than are skipped.
type InterimResponsesError struct{ Limit int }

// Error implements error.
func (e *InterimResponsesError) Error() string {
	return "more than " + strconv.Itoa(e.Limit) + " interim responses"
}

// StatusError reports a response whose status is no HTTP status.
type StatusError struct{ Code int }

// Error implements error.
func (e *StatusError) Error() string {
	return "response with the invalid status " + strconv.Itoa(e.Code)
}

// ClosedError reports a call on a connection that either side has closed, or on
// which unexpected bytes arrived between calls.
type ClosedError struct{ Cause string }

// Error implements error.
func (e *ClosedError) Error() string { return "connection is unusable: " + e.Cause }
