package front

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/admit"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/scatter"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// ScatterEngine implements Engine with an engine of the scatter package.
type ScatterEngine struct{ Engine *scatter.Engine }

// Run implements Engine.
func (e ScatterEngine) Run(ctx context.Context, s Search) (*Answer, error) {
	left := time.Until(s.Deadline)
	if left <= 0 {
		// A deadline of 0 would make scatter use the one in the search's
		// definition.
		return nil, errors.WithStack(&SearchError{
			Code: CodeRefused, Outcome: wire.NotRun, Message: "deadline passed before the search began",
		})
	}
	a, err := e.Engine.Run(ctx, scatter.Query{
		Config: s.Config, Service: s.Service.Name, Search: s.Search.Name, Ledgers: s.Ledgers,
		Deadline: left, LeastCoverage: s.LeastCoverage, Repeatable: s.Repeatable, Payload: s.Payload,
	})
	if err != nil {
		return nil, convertScatterError(err)
	}
	out := &Answer{
		ConfigVersion: a.ConfigVersion, Snapshot: a.Snapshot, Rows: a.Rows,
		Coverage: convertCoverage(a.Coverage), SlowestShard: a.Timing.SlowestShard,
		Work: Work{
			FirstTries: a.Work.FirstTries, Hedges: a.Work.Hedges, Retries: a.Work.Retries,
			Cancelled: a.Work.Cancelled, Dropped: a.Work.Dropped,
		},
		LoadSignals: LoadSignals(a.LoadSignals),
	}
	out.Warnings = missingWarnings(out.Coverage.Missing)
	return out, nil
}

// convertScatterError returns an error of the scatter package as a *SearchError.
// The outcome is unknown unless the error is a *scatter.NotRunError.
func convertScatterError(err error) error {
	out := &SearchError{Outcome: wire.Unknown, Message: err.Error(), LoadSignals: LoadSignals(scatter.LoadSignalsOf(nil, err))}
	if coverage, ok := scatter.CoverageOf(nil, err); ok {
		c := convertCoverage(coverage)
		out.Coverage = &c
	}
	var notRun *scatter.NotRunError
	var below *scatter.BelowCoverageError
	switch {
	case errors.As(err, &notRun):
		out.Code, out.Outcome, out.Coverage = CodeRefused, wire.NotRun, nil
		if notRun.Reason == wire.ReasonBadRequest {
			out.Code = CodeBadRequest
		}
	case errors.As(err, &below):
		out.Code = CodeBelowCoverage
	default:
		out.Code = CodeUnknownOutcome
	}
	return errors.WithStack(out)
}

// convertCoverage returns a coverage of scatter in the form that callers get.
func convertCoverage(c scatter.Coverage) Coverage {
	out := Coverage{Fraction: c.Fraction(), Requested: c.Requested, Covered: c.Covered}
	for _, i := range c.Included {
		out.Included = append(out.Included, Included(i))
	}
	for _, m := range c.Missing {
		out.Missing = append(out.Missing, MissingRange(m))
	}
	return out
}

// AdaptiveAdmission implements Admission with the admit package.
type AdaptiveAdmission struct{ Admission *admit.Admission }

// Admit implements Admission.
func (a AdaptiveAdmission) Admit(service *release.Service, search *release.Search) (func(Feedback), error) {
	done, err := a.Admission.Acquire(service.Name)
	var overloaded *admit.OverloadedError
	if errors.As(err, &overloaded) {
		return nil, errors.WithStack(&OverloadedError{Service: service.Name, RetryAfter: overloaded.RetryAfter})
	}
	if err != nil {
		return nil, errors.Wrap(err, "admission")
	}
	return func(f Feedback) {
		done(admit.Feedback{
			MaxQueueWait: f.LoadSignals.MaxQueueWait, Refused: f.LoadSignals.Refused, Latency: f.Latency, LatencyGoal: search.LatencyGoal.D(),
		})
	}, nil
}
