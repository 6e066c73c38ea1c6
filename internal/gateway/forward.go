package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/catalog"
	"github.com/arbutusgauge/arbutusgauge/internal/scatter"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// deduct updates the times of a query whose request arrived at a time.
func (q *ForwardedQuery) deduct(arrived time.Time) {
	elapsed := time.Since(arrived)
	q.TimeLeft -= elapsed - q.Elapsed
	q.Elapsed = elapsed
}

// forward forwards a query to another host. accepted reports that a host has
// accepted it, so that it must not run here as well.
func (g *Gateway) forward(ctx context.Context, forwarder Forwarder, result *Result, query ForwardedQuery) (answer *Answer, accepted bool, err error) {
	outcome, err := forwarder.Forward(ctx, &query)
	var notForwarded *NotForwardedError
	switch {
	case errors.As(err, &notForwarded):
		return nil, false, nil
	case err != nil:
		return nil, false, err
	}
	result.Peer = outcome.Peer
	result.Coverage, result.Missing, result.Work = outcome.Coverage, outcome.Missing, outcome.Work
	if outcome.Version > query.Version {
		result.Version = outcome.Version
		if g.options.OnNewerTable != nil {
			g.options.OnNewerTable(outcome.Peer)
		}
	}
	if len(outcome.Leaving) > 0 && g.options.OnLeaving != nil {
		g.options.OnLeaving(outcome.Leaving)
	}
	if outcome.Failure != "" {
		return nil, true, &PeerFailedError{Peer: outcome.Peer, Failure: outcome.Failure, Reason: outcome.Reason, RetryAfter: outcome.RetryAfter}
	}
	if query.Single {
		return &Answer{Single: outcome.Single}, true, nil
	}
	return &Answer{Merged: true, Proofs: outcome.Proofs, MissingShards: outcome.MissingShards, Records: outcome.Records}, true, nil
}

// isUnreachable reports whether an error shows that a query did not run because this host
// reaches too few replicas.
func isUnreachable(err error) bool {
	var notRun *scatter.NotRunError
	return errors.As(err, &notRun) && (notRun.Reason == wire.ReasonNoReplica || notRun.Reason == wire.ReasonConnRefused)
}

// forEngine returns the query as the engine of a host runs it.
func (q *ForwardedQuery) forEngine() scatter.Query {
	return scatter.Query{Deadline: q.TimeLeft, Elapsed: q.Elapsed, Payload: q.Payload, Key: q.Key, MaxAttempts: q.MaxAttempts}
}

// runOrFailOver runs a query on this host and, if it does not reach the replicas, at another
// one. A query whose replicas become silent while it runs, and that may run again, goes on
// here: the first answer counts.
func (g *Gateway) runOrFailOver(ctx context.Context, view *catalog.View, arrived time.Time, query ForwardedQuery, result *Result) (*Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	localCtx, cancelLocal := context.WithCancel(ctx)
	defer cancelLocal()
	var second *secondRun
	local := query.forEngine()
	local.OnSilent = func(attemptsLeft int) {
		query.deduct(arrived)
		query.MaxAttempts = attemptsLeft
		second = g.startSecondRun(ctx, query, *result, cancelLocal)
	}
	answer, err := g.runLocally(localCtx, view, local, result)
	switch {
	case err == nil:
		return answer, nil
	case second != nil:
		return second.resultOr(err, result)
	case !isUnreachable(err):
		return nil, err
	}
	query.deduct(arrived)
	return g.failOver(ctx, result, query, err)
}

// failOver forwards a query that this host could not run for the given reason. If no other
// host takes it, the reason is returned.
func (g *Gateway) failOver(ctx context.Context, result *Result, query ForwardedQuery, reason error) (*Answer, error) {
	if query.TimeLeft <= 0 {
		return nil, reason
	}
	answer, accepted, err := g.forward(ctx, g.options.Failover, result, query)
	if !accepted && err == nil {
		return nil, reason
	}
	return answer, err
}

// secondRun is the run of a query at another host while it still runs here.
type secondRun struct {
	done   chan struct{} // closed at its end
	answer *Answer       // nil if it failed
	err    error         // nil also if no host took the query
	result Result
}

// resultOr waits for the end of the run and returns its answer, or else the error of the first
// run. If that one is proved not to have run but this one is not, it returns the error of this one.
func (s *secondRun) resultOr(firstErr error, result *Result) (*Answer, error) {
	<-s.done
	switch {
	case s.answer != nil:
		*result = s.result
		return s.answer, nil
	case s.err != nil && hasNotRun(firstErr) && !hasNotRun(s.err):
		*result = s.result
		return nil, s.err
	}
	return nil, firstErr
}

// startSecondRun forwards a query that still runs here. An answer calls onAnswer.
func (g *Gateway) startSecondRun(ctx context.Context, query ForwardedQuery, result Result, onAnswer func()) *secondRun {
	run := &secondRun{done: make(chan struct{}), result: result}
	go func() {
		defer close(run.done)
		run.answer, _, run.err = g.forward(ctx, g.options.Failover, &run.result, query)
		if run.answer != nil {
			onAnswer()
		}
	}()
	return run
}

// Serve runs a query for another host. A failure is part of the outcome.
func (g *Gateway) Serve(ctx context.Context, query *ForwardedQuery) *ForwardOutcome {
	view := g.options.View()
	if view == nil {
		return &ForwardOutcome{Failure: FailedNotRun, Reason: (&NotReadyError{}).Error()}
	}
	route := view.Table.Match(query.Host, query.Path)
	if route == nil || route.Merged() == query.Single {
		return &ForwardOutcome{Failure: FailedNotRun, Version: view.Table.Version, Reason: (&NoRouteError{Host: query.Host, Path: query.Path}).Error()}
	}
	result := Result{Route: route, Version: view.Table.Version, Service: serviceName(route)}
	answer, err := g.runLocally(ctx, view, query.forEngine(), &result)
	outcome := &ForwardOutcome{Version: result.Version, Coverage: result.Coverage, Missing: result.Missing, Work: result.Work}
	if err != nil {
		outcome.Failure, outcome.Reason, outcome.Unreachable = failureOf(err), err.Error(), isUnreachable(err)
		var notRun *scatter.NotRunError
		if errors.As(err, &notRun) {
			outcome.RetryAfter = notRun.RetryAfter
		}
		return outcome
	}
	outcome.Proofs, outcome.MissingShards, outcome.Records, outcome.Single = answer.Proofs, answer.MissingShards, answer.Records, answer.Single
	outcome.Leaving = answer.Leaving
	return outcome
}
