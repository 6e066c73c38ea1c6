package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/catalog"
	"github.com/arbutusgauge/arbutusgauge/internal/routing"
	"github.com/arbutusgauge/arbutusgauge/internal/scatter"
)

// answerReserve is the part of a caller's time that is kept for the answer's
// way back.
const answerReserve = 10 * time.Millisecond

const (
	// startWait bounds the wait of a request for the first view of this host.
	startWait = 60 * time.Millisecond
	startPoll = 10 * time.Millisecond
)

// latencyBuckets bound the histogram of the time to a final answer.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 75 * time.Millisecond,
	100 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// Gateway answers requests. It is safe for concurrent use.
type Gateway struct {
	options Options
}

// New returns a gateway, or *OptionError.
func New(options Options) (*Gateway, error) {
	switch {
	case options.Engine == nil:
		return nil, &OptionError{Option: "Engine"}
	case options.View == nil:
		return nil, &OptionError{Option: "View"}
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	return &Gateway{options: options}, nil
}

// Result is what became of a request, for logs and metrics. Its fields are set
// as far as the request came.
type Result struct {
	Route    *routing.Route
	Version  uint64 // of the routing table that decided
	Service  string // that was queried
	Coverage float64
	Missing  []scatter.Missing // why parts are left out
	Work     scatter.Work
	Peer     string // that answered in place of this host; "": none
}

// Do answers a request. Its errors are those of this package and of scatter.
func (g *Gateway) Do(ctx context.Context, request *Request) (*Answer, Result, error) {
	var result Result
	view := g.firstView(ctx)
	if view == nil {
		return nil, result, &NotReadyError{}
	}
	result.Version = view.Table.Version
	route := view.Table.Match(request.Host, request.Path)
	if route == nil {
		return nil, result, &NoRouteError{Host: request.Host, Path: request.Path}
	}
	result.Route = route
	answer, err := g.run(ctx, view, request, &result)
	g.count(route, request, err)
	return answer, result, err
}

func (g *Gateway) run(ctx context.Context, view *catalog.View, request *Request, result *Result) (*Answer, error) {
	route := result.Route
	used := time.Since(request.Arrived)
	left := route.Timeout - used
	if request.Left > 0 {
		left = min(left, request.Left-used)
	}
	left -= answerReserve
	if left <= 0 {
		return nil, &NoTimeError{}
	}
	result.Service = serviceOf(route)
	payload := request.Payload(route.Merged())
	if route.Merged() && g.options.Forwarder != nil {
		answer, taken, err := g.forward(ctx, request, result, Forwarded{
			ID: request.ID, Host: request.Host, Path: request.Path, Version: view.Table.Version,
			Left: left, Used: used, Payload: payload,
		})
		if taken || err != nil {
			return answer, err
		}
		left -= time.Since(request.Arrived) - used
		used = time.Since(request.Arrived)
	}
	return g.runHere(ctx, view, scatter.Query{Deadline: left, Used: used, Payload: payload}, result)
}

// forward hands a merged query to another host; taken reports that one has
// taken it on, so that it must not run here as well.
func (g *Gateway) forward(ctx context.Context, request *Request, result *Result, query Forwarded) (answer *Answer, taken bool, err error) {
	outcome, err := g.options.Forwarder.Forward(ctx, &query)
	var notTaken *NotTakenError
	switch {
	case errors.As(err, &notTaken):
		return nil, false, nil
	case err != nil:
		return nil, false, err
	}
	result.Peer = outcome.Peer
	result.Coverage, result.Missing, result.Work = outcome.Coverage, outcome.Missing, outcome.Work
	if outcome.Version > query.Version {
		result.Version = outcome.Version
		if g.options.Behind != nil {
			g.options.Behind(outcome.Peer)
		}
	}
	if outcome.Failure != "" {
		return nil, true, &PeerFailedError{Peer: outcome.Peer, Failure: outcome.Failure, Reason: outcome.Reason}
	}
	return &Answer{Merged: true, Proofs: outcome.Proofs, Missing: outcome.Shards, Records: outcome.Records}, true, nil
}

// runHere runs a query on this host.
func (g *Gateway) runHere(ctx context.Context, view *catalog.View, query scatter.Query, result *Result) (*Answer, error) {
	route := result.Route
	query.Config, query.Service, query.Search, query.Repeatable = view.Config, result.Service, route.Name, route.Repeatable
	found, err := g.options.Engine.Run(ctx, query)
	if err != nil {
		result.Work, result.Coverage = workOf(err)
		return nil, err
	}
	result.Work, result.Coverage, result.Missing = found.Work, found.Coverage.Fraction(), found.Coverage.Missing
	return answerOf(route, found), nil
}

// Version returns that of the routing table in force, 0 while none is known.
func (g *Gateway) Version() uint64 {
	view := g.options.View()
	if view == nil {
		return 0
	}
	return view.Table.Version
}

// Serve answers a merged query for another host.
func (g *Gateway) Serve(ctx context.Context, query *Forwarded) *Outcome {
	view := g.options.View()
	if view == nil {
		return &Outcome{Failure: FailedNotRun, Reason: (&NotReadyError{}).Error()}
	}
	route := view.Table.Match(query.Host, query.Path)
	if route == nil || !route.Merged() {
		return &Outcome{Failure: FailedNotRun, Version: view.Table.Version, Reason: (&NoRouteError{Host: query.Host, Path: query.Path}).Error()}
	}
	result := Result{Route: route, Version: view.Table.Version, Service: serviceOf(route)}
	answer, err := g.runHere(ctx, view, scatter.Query{Deadline: query.Left, Used: query.Used, Payload: query.Payload}, &result)
	outcome := &Outcome{Version: result.Version, Coverage: result.Coverage, Missing: result.Missing, Work: result.Work}
	if err != nil {
		outcome.Failure, outcome.Reason = failureOf(err), err.Error()
		return outcome
	}
	outcome.Proofs, outcome.Shards, outcome.Records = answer.Proofs, answer.Missing, answer.Records
	return outcome
}

// failureOf tells another host what an error of a query proves.
func failureOf(err error) Failure {
	var (
		notRun *scatter.NotRunError
		below  *scatter.BelowCoverageError
	)
	switch {
	case errors.As(err, &notRun):
		return FailedNotRun
	case errors.As(err, &below):
		return FailedCoverage
	default:
		return FailedUnknown
	}
}

// firstView returns the present view. A host that has just started waits for
// its first one for a short time, because it usually arrives within that.
func (g *Gateway) firstView(ctx context.Context) *catalog.View {
	for waited := time.Duration(0); ; waited += startPoll {
		view := g.options.View()
		if view != nil || waited >= startWait || ctx.Err() != nil {
			return view
		}
		time.Sleep(startPoll)
	}
}

func serviceOf(route *routing.Route) string {
	if route.Merged() {
		return catalog.ServiceName(route.Shards)
	}
	return route.Choose()
}

func answerOf(route *routing.Route, found *scatter.Answer) *Answer {
	if !route.Merged() {
		return &Answer{Single: found.Rows[0].Value}
	}
	answer := &Answer{Merged: true, Missing: len(route.Shards) - len(found.Rows)}
	parts := make([][]byte, 0, len(found.Rows))
	for i := range found.Rows {
		answer.Proofs = append(answer.Proofs, found.Rows[i].Key)
		parts = append(parts, found.Rows[i].Value)
	}
	answer.Records = greatest(parts, route.Greatest)
	return answer
}

// workOf returns what a failed query did.
func workOf(err error) (scatter.Work, float64) {
	var (
		notRun  *scatter.NotRunError
		unknown *scatter.UnknownError
		below   *scatter.BelowCoverageError
	)
	switch {
	case errors.As(err, &notRun):
		return notRun.Work, notRun.Coverage.Fraction()
	case errors.As(err, &unknown):
		return unknown.Work, unknown.Coverage.Fraction()
	case errors.As(err, &below):
		return below.Work, below.Coverage.Fraction()
	default:
		return scatter.Work{}, 0
	}
}

func (g *Gateway) count(route *routing.Route, request *Request, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	scope := g.options.Scope.Tagged(map[string]string{"route": route.Name, "result": result})
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_latency", latencyBuckets).RecordDuration(time.Since(request.Arrived))
}
