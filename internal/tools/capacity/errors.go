package main

import "strconv"

// PointParseError reports a line of the points file that is not a point in JSON.
type PointParseError struct {
	LineNumber int // from 1
	Err        error
}

// Error implements error.
func (e *PointParseError) Error() string {
	return "line " + strconv.Itoa(e.LineNumber) + " is not a point: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *PointParseError) Unwrap() error { return e.Err }

// StatError reports a text that does not have the form of /proc/PID/stat.
type StatError struct{ Text string }

// Error implements error.
func (e *StatError) Error() string {
	return "cannot parse process statistics of /proc/PID/stat: " + strconv.Quote(e.Text)
}

// MeasurementError reports a measurement that could not be made, for example because
// a request was not answered.
type MeasurementError struct {
	Measure string
	Detail  string
}

// Error implements error.
func (e *MeasurementError) Error() string { return "measurement " + e.Measure + " failed: " + e.Detail }
