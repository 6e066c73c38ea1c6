package operator

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

// UsageError reports a command line that is not allowed.
type UsageError struct{ Message string }

// Error implements error.
func (e *UsageError) Error() string { return e.Message }

// FileError reports a local file that could not be read or written.
type FileError struct {
	File string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return "file " + e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// NotSentError reports a call to a host of which no byte was sent, so that it
// did not run.
type NotSentError struct {
	Host string
	Err  error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return "host " + e.Host + " could not be reached: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// AnswerLostError reports a call to which no complete and readable answer was
// received, so that it may have run.
type AnswerLostError struct {
	Host     string
	ReadOnly bool // the call only reads
	Err      error
}

// Error implements error.
func (e *AnswerLostError) Error() string {
	if e.ReadOnly {
		return "host " + e.Host + " gave no complete answer: " + e.Err.Error()
	}
	return "the answer of host " + e.Host + " was lost, so the call may have run: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *AnswerLostError) Unwrap() error { return e.Err }

// AnswerError reports a call that a host answered with an error.
type AnswerError struct {
	Host     string
	ReadOnly bool // the call only reads
	Status   int  // HTTP status code
	Reply    errorReply
}

// Error implements error.
func (e *AnswerError) Error() string {
	text := fmt.Sprintf("host %s answered %d %s", e.Host, e.Status, e.Reply.Error)
	if e.Reply.Message != "" {
		text += ": " + e.Reply.Message
	}
	if e.Reply.Outcome != "" {
		text += " (outcome " + e.Reply.Outcome + ")"
	}
	if e.Reply.RetryAfter != "" {
		text += ", retry after " + e.Reply.RetryAfter
	}
	return text
}

// ConflictError reports a note that was not applied, because another note with
// the same base version took effect first.
type ConflictError struct {
	Note, WinningNote string
	Version           uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("note %q was not applied: note %q took effect first as version %d; "+
		"compare with \"gaugectl services\", then set base to %d", e.Note, e.WinningNote, e.Version, e.Version)
}

// HostsError reports a call that failed on every host.
type HostsError struct{ Failures []error }

// Error implements error.
func (e *HostsError) Error() string {
	lines := make([]string, len(e.Failures))
	for i, failure := range e.Failures {
		lines[i] = failure.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the failures, one for each host.
func (e *HostsError) Unwrap() []error { return e.Failures }

// NotInForceError reports that a version was not in force on every serving host
// within the time limit.
type NotInForceError struct {
	Version uint64
	Waited  time.Duration
	// Behind are the hosts that did not show the version, each as
	// "name (version N)"; empty if no member view was received.
	Behind []string
}

// Error implements error.
func (e *NotInForceError) Error() string {
	if len(e.Behind) == 0 {
		return fmt.Sprintf("version %d is not known to be in force after %s: no host list was received", e.Version, e.Waited)
	}
	return fmt.Sprintf("version %d is not in force after %s on: %s", e.Version, e.Waited, strings.Join(e.Behind, ", "))
}

// NoTicketError reports that no ticket was received, so that the search was not
// sent. It doesn't unwrap to its cause: a lost answer to the call for a ticket
// leaves no doubt that the search was not run.
type NoTicketError struct{ Err error }

// Error implements error.
func (e *NoTicketError) Error() string {
	return "the search was not run, because no ticket was received: " + e.Err.Error()
}

// UnknownSearchOutcomeError reports a search with a ticket that may have run.
type UnknownSearchOutcomeError struct {
	Ticket string
	Err    error
}

// Error implements error.
func (e *UnknownSearchOutcomeError) Error() string {
	return fmt.Sprintf("%s\nthe search was not sent again; \"--ticket %s\" asks for its outcome within 1 min and can't run it twice",
		e.Err.Error(), e.Ticket)
}

// Unwrap returns the cause.
func (e *UnknownSearchOutcomeError) Unwrap() error { return e.Err }

// UnknownNoteOutcomeError reports a release note that may have taken effect.
type UnknownNoteOutcomeError struct {
	Note string
	Err  error
}

// Error implements error.
func (e *UnknownNoteOutcomeError) Error() string {
	return fmt.Sprintf("%s\nnote %q may have taken effect; applying the same file again is safe and shows whether it did", e.Err.Error(), e.Note)
}

// Unwrap returns the cause.
func (e *UnknownNoteOutcomeError) Unwrap() error { return e.Err }

// exitCode returns the exit code for an error, ExitInternal for an unknown one.
func exitCode(err error) ExitCode {
	var (
		usage      *UsageError
		file       *FileError
		problems   *jwcc.Error
		base       *release.BaseVersionError
		conflict   *ConflictError
		notInForce *NotInForceError
		hosts      *HostsError
		answer     *AnswerError
		lost       *AnswerLostError
		unsent     *NotSentError
		noTicket   *NoTicketError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage), errors.As(err, &file), errors.As(err, &problems):
		return ExitBadInput
	case errors.As(err, &base), errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &notInForce):
		return ExitNotInForce
	case errors.As(err, &hosts):
		return worstExitCode(hosts.Failures)
	case errors.As(err, &answer):
		return answer.exitCode()
	case errors.As(err, &lost) && !lost.ReadOnly:
		return ExitUnknownOutcome
	case lost != nil:
		return ExitUnavailable
	case errors.As(err, &unsent), errors.As(err, &noTicket):
		return ExitUnavailable
	}
	return ExitInternal
}

// worstExitCode returns ExitUnknownOutcome if any of the calls may have run,
// because a refusal by one host says nothing about the call to another; otherwise
// ExitUnavailable.
func worstExitCode(failures []error) ExitCode {
	for _, failure := range failures {
		if exitCode(failure) == ExitUnknownOutcome {
			return ExitUnknownOutcome
		}
	}
	return ExitUnavailable
}

// exitCode returns the exit code for the error answer, by its code, its outcome
// and its HTTP status.
func (e *AnswerError) exitCode() ExitCode {
	switch {
	case e.Reply.Error == "below_coverage":
		return ExitBelowCoverage
	case e.Reply.Outcome == "not_run" && e.Status < http.StatusInternalServerError && e.Status != http.StatusTooManyRequests:
		return ExitBadInput
	case e.Reply.Outcome == "not_run", e.Reply.Outcome == "not_applied":
		return ExitUnavailable
	case e.Status == http.StatusBadRequest, e.Status == http.StatusNotFound:
		return ExitBadInput
	case e.ReadOnly:
		return ExitUnavailable
	}
	return ExitUnknownOutcome
}
