package scatter

import (
	"errors"
	"fmt"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// OptionError reports a missing or invalid option.
type OptionError struct{ Option, Problem string }

// Error implements error.
func (e *OptionError) Error() string { return "scatter: option " + e.Option + " " + e.Problem }

// NotRunError reports that certainly no sub-request of the query was executed.
type NotRunError struct {
	// Reason is the most frequent reason for which sub-requests were refused, or
	// why none was sent.
	Reason wire.Reason
	// Detail says why the query can't be planned; it may be empty.
	Detail string
	// RetryAfter is the time after which the query may be run; 0: it is not known.
	RetryAfter  time.Duration
	Coverage    Coverage
	Work        Work
	LoadSignals LoadSignals
}

// Error implements error.
func (e *NotRunError) Error() string {
	if e.Detail != "" {
		return "query was not run: " + e.Detail
	}
	return "query was not run: " + string(e.Reason)
}

// UnknownError reports that no usable reply was received and that sub-requests
// may have been executed.
type UnknownError struct {
	// Reason is the most frequent reason for which sub-requests failed. If no
	// reply reported a failure, it is the most frequent reason for which shards
	// were left out.
	Reason      wire.Reason
	Coverage    Coverage
	Work        Work
	LoadSignals LoadSignals
}

// Error implements error.
func (e *UnknownError) Error() string {
	return "query may have run, but no usable reply was received: " + string(e.Reason)
}

// BelowCoverageError reports that the query ran and its accepted replies cover
// less than the least coverage.
type BelowCoverageError struct {
	// LeastCoverage is the least coverage of the query, a fraction from 0 to 1.
	LeastCoverage float64
	Snapshot      uint64
	Coverage      Coverage
	Work          Work
	LoadSignals   LoadSignals
}

// Error implements error.
func (e *BelowCoverageError) Error() string {
	return fmt.Sprintf(belowCoverageFormat, e.Coverage.Fraction(), e.LeastCoverage)
}

const belowCoverageFormat = "coverage is %.4f, below the least coverage %.4f"

// LoadSignalsOf returns the load signals of a result of Run, answer or error.
func LoadSignalsOf(answer *Answer, err error) LoadSignals {
	if answer != nil {
		return answer.LoadSignals
	}
	if e, ok := errors.AsType[*NotRunError](err); ok {
		return e.LoadSignals
	}
	if e, ok := errors.AsType[*UnknownError](err); ok {
		return e.LoadSignals
	}
	if e, ok := errors.AsType[*BelowCoverageError](err); ok {
		return e.LoadSignals
	}
	return LoadSignals{}
}

// CoverageOf returns the coverage of a result of Run, answer or error; ok is
// false if the query could not be planned.
func CoverageOf(answer *Answer, err error) (coverage Coverage, ok bool) {
	if answer != nil {
		return answer.Coverage, true
	}
	if e, ok := errors.AsType[*NotRunError](err); ok {
		return e.Coverage, e.Coverage.Requested > 0
	}
	if e, ok := errors.AsType[*UnknownError](err); ok {
		return e.Coverage, true
	}
	if e, ok := errors.AsType[*BelowCoverageError](err); ok {
		return e.Coverage, true
	}
	return Coverage{}, false
}
