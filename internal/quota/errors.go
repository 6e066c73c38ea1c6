package quota

import (
	"strconv"
	"time"
)

// ExceededError reports a request beyond the quota of its account. The request must not
// run.
type ExceededError struct {
	Account string
	// RetryAfter is the time until the quota is expected to have room for the request.
	RetryAfter time.Duration
	// WithoutGrantor is whether the grantor did not decide: it did not answer in time, or
	// this host has none and refused by its equal share.
	WithoutGrantor bool
}

// Error implements error.
func (e *ExceededError) Error() string {
	text := "quota of account " + e.Account + " is exceeded"
	if e.WithoutGrantor {
		text += " as far as this host knows, because no grantor answered"
	}
	return text + ", retry after " + e.RetryAfter.String()
}

// LateAnswerError reports an answer that came so late that the grantor may count the host no
// more, because the host was suspended meanwhile.
type LateAnswerError struct{ Grantor string }

// Error implements error.
func (e *LateAnswerError) Error() string { return "grantor " + e.Grantor + " answered too late" }

// StaleReportError reports a report that a newer one of the same host has overtaken.
type StaleReportError struct {
	Host            string
	Sequence, Known uint64
}

// Error implements error.
func (e *StaleReportError) Error() string {
	return "quota report " + strconv.FormatUint(e.Sequence, 10) + " of host " + e.Host + " is older than " + strconv.FormatUint(e.Known, 10)
}

// FullError reports that a grantor keeps the most hosts, lists of leaders or accounts
// that it may.
type FullError struct{ What string }

// Error implements error.
func (e *FullError) Error() string { return "quota grantor has no room for more " + e.What }

// MessageError reports a malformed message of a peer. Err is the error of the JSON
// decoder, nil if the message is JSON.
type MessageError struct {
	Problem string
	Err     error
}

// Error implements error.
func (e *MessageError) Error() string {
	text := "malformed quota message: " + e.Problem
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Err }

// OptionError reports an unset field of Options.
type OptionError struct{ Option string }

// Error implements error.
func (e *OptionError) Error() string { return "option " + e.Option + " of quota is required" }
