package front

import (
	"fmt"
	"strconv"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Code is the value of "error" in an error body.
type Code string

// Codes of error bodies.
const (
	CodeBadRequest       Code = "bad_request"
	CodeTicketRequired   Code = "ticket_required"
	CodeTicketInvalid    Code = "ticket_invalid"
	CodeTicketExpired    Code = "ticket_expired"
	CodeUnknownService   Code = "unknown_service"
	CodeUnknownSearch    Code = "unknown_search"
	CodeNotFound         Code = "not_found"
	CodeTicketRunning    Code = "ticket_running"
	CodeTicketUsed       Code = "ticket_used"
	CodeOverloaded       Code = "overloaded"
	CodeNoConfiguration  Code = "no_configuration"
	CodeStopping         Code = "stopping"
	CodeRefused          Code = "refused"
	CodeBelowCoverage    Code = "below_coverage"
	CodeUnknownOutcome   Code = "unknown_outcome"
	CodeInternal         Code = "internal_error"
	CodeBadNote          Code = "bad_note"
	CodeConflict         Code = "conflict"
	CodeStoreUnavailable Code = "store_unavailable"
)

// SearchError reports a search that ended without an answer.
type SearchError struct {
	Code        Code
	Outcome     wire.Outcome
	Message     string
	RetryAfter  time.Duration // least wait before another try; 0: not stated
	Coverage    *Coverage     // nil when the search did not run
	LoadSignals LoadSignals   // load that the replies reported
}

// Error implements error.
func (e *SearchError) Error() string {
	return string(e.Code) + " (" + e.Outcome.String() + "): " + e.Message
}

// OverloadedError reports that admission refused a search before it ran. The
// caller may try again after RetryAfter.
type OverloadedError struct {
	Service    string
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadedError) Error() string {
	return fmt.Sprintf("service %q is overloaded; retry after %s", e.Service, e.RetryAfter)
}

// NotSentError is returned by a Forwarder when no byte of the request was
// sent, so that this call didn't run it.
type NotSentError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return "ticketed request was not sent to host " + e.Addr + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// BadNoteError reports a release note that is not valid, with its faults.
type BadNoteError struct{ Problems []jwcc.Problem }

// Error implements error.
func (e *BadNoteError) Error() string {
	if len(e.Problems) == 0 {
		return "release note is not valid"
	}
	return fmt.Sprintf("release note is not valid: %d problems, the first: %s", len(e.Problems), e.Problems[0])
}

// ConflictError reports that a release note was not applied because another
// one, WinningNote, had changed the configuration to Version.
type ConflictError struct {
	WinningNote string
	Version     uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("release note %q changed the configuration to version %d first", e.WinningNote, e.Version)
}

// StoreError reports a failed call to the configuration store. OutcomeUnknown is
// set when the write may have taken effect.
type StoreError struct {
	OutcomeUnknown bool
	Err            error
}

// Error implements error.
func (e *StoreError) Error() string { return "configuration store is unavailable: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Err }

// BodyError reports a request body, or a query parameter of an operator's
// call, that is not valid.
type BodyError struct{ Message string }

// Error implements error.
func (e *BodyError) Error() string { return e.Message }

// OptionError reports an option that is missing or out of range.
type OptionError struct{ Option, Allowed string }

// Error implements error.
func (e *OptionError) Error() string {
	return "front option " + e.Option + " is not valid; allowed is " + e.Allowed
}

// CutOffError reports the number of requests that were still open when the
// time allowed for a stop ended.
type CutOffError struct{ Requests int64 }

// Error implements error.
func (e *CutOffError) Error() string {
	return "stop cut off " + strconv.FormatInt(e.Requests, 10) + " open requests"
}
