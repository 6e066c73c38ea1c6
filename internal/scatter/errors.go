package scatter

import (
	"errors"
	"fmt"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// OptionError reports an unusable option.
type OptionError struct{ Option, Problem string }

// Error implements error.
func (e *OptionError) Error() string { return "scatter: option " + e.Option + " " + e.Problem }

// NotRunError reports that provably no part of the query was executed.
type NotRunError struct {
	// Reason is the most frequent reason of the refusals.
	Reason wire.Reason
	// Detail explains a query that can't be planned; it may be empty.
	Detail   string
	Coverage Coverage
	Work     Work
	Seen     Seen
}

// Error implements error.
func (e *NotRunError) Error() string {
	if e.Detail != "" {
		return "query was not run: " + e.Detail
	}
	return "query was not run: " + string(e.Reason)
}

// UnknownError reports that no reply was accepted and that parts of the query
// may have been executed.
type UnknownError struct {
	Reason   wire.Reason
	Coverage Coverage
	Work     Work
	Seen     Seen
}

// Error implements error.
func (e *UnknownError) Error() string {
	return "query may have run, without a usable reply: " + string(e.Reason)
}

// BelowCoverageError reports that the query ran and covered less than the
// least coverage.
type BelowCoverageError struct {
	Least    float64
	Snapshot uint64
	Coverage Coverage
	Work     Work
	Seen     Seen
}

// Error implements error.
func (e *BelowCoverageError) Error() string {
	return fmt.Sprintf(belowCoverageForm, e.Coverage.Fraction(), e.Least)
}

const belowCoverageForm = "coverage is %.4f, below the least coverage %.4f"

// SeenOf returns the load signals of either result of Run.
func SeenOf(answer *Answer, err error) Seen {
	if answer != nil {
		return answer.Seen
	}
	if e, ok := errors.AsType[*NotRunError](err); ok {
		return e.Seen
	}
	if e, ok := errors.AsType[*UnknownError](err); ok {
		return e.Seen
	}
	if e, ok := errors.AsType[*BelowCoverageError](err); ok {
		return e.Seen
	}
	return Seen{}
}

// CoverageOf returns the coverage of either result of Run; ok is false when
// the query wasn't planned.
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
