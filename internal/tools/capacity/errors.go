package main

import "strconv"

// LineError reports a line that is not a point in JSON.
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

// StatError reports a process statistics file in an unknown form.
type StatError struct{ Text string }

// Error implements error.
func (e *StatError) Error() string { return "unreadable process statistics: " + strconv.Quote(e.Text) }

// FailedError reports a measured request that was not answered.
type FailedError struct {
	Measure string
	Detail  string
}

// Error implements error.
func (e *FailedError) Error() string { return "measurement " + e.Measure + " failed: " + e.Detail }
