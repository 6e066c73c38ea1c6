package main

import "strconv"

// LineError reports a line of the points file that is not a point in JSON.
type LineError struct {
	Number int // from 1
	Err    error
}

// Error implements error.
func (e *LineError) Error() string {
	return "line " + strconv.Itoa(e.Number) + " is not a point: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// StatError reports a text that does not have the form of /proc/PID/stat.
type StatError struct{ Text string }

// Error implements error.
func (e *StatError) Error() string {
	return "cannot parse process statistics of /proc/PID/stat: " + strconv.Quote(e.Text)
}

// FailedError reports a measurement that could not be made, for example because
// a request was not answered.
type FailedError struct {
	Measure string
	Detail  string
}

// Error implements error.
func (e *FailedError) Error() string { return "measurement " + e.Measure + " failed: " + e.Detail }
