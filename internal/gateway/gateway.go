package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/account"
	"github.com/arbutusgauge/arbutusgauge/internal/catalog"
	"github.com/arbutusgauge/arbutusgauge/internal/quarantine"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/routing"
	"github.com/arbutusgauge/arbutusgauge/internal/scatter"
)

// answerReserve is the part of a request's time that is reserved for the
// transmission of the answer.
const answerReserve = 10 * time.Millisecond

const (
	// firstViewTimeout limits how long a request waits for the first view after
	// the start of this host, firstViewPollInterval how often it checks for it.
	firstViewTimeout      = 60 * time.Millisecond
	firstViewPollInterval = 10 * time.Millisecond
)

// latencyBuckets are the buckets of the request_latency histogram.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 75 * time.Millisecond,
	100 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// Gateway answers requests. It is safe for concurrent use.
type Gateway struct {
	options Options
}

// New returns a gateway. A missing Engine or View gives *OptionError.
func New(options Options) (*Gateway, error) {
	switch {
	case options.Engine == nil:
		return nil, &OptionError{Option: "Engine"}
	case options.View == nil:
		return nil, &OptionError{Option: "View"}
	}
	if options.Quarantine == nil {
		options.Quarantine = noQuarantine{}
	}
	if options.Quotas == nil {
		options.Quotas = noQuotas{}
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	return &Gateway{options: options}, nil
}

// Result describes the processing of a request, for logs and metrics. If the
// request failed, the fields of later steps are not set.
type Result struct {
	Route    *routing.Route
	Version  uint64            // of the routing table that was used
	Account  string            // name of the client account, "" for an anonymous caller
	Service  string            // the queried service
	Coverage float64           // covered fraction, 0 to 1
	Missing  []scatter.Missing // the parts left out, with reasons
	Work     scatter.Work
	Peer     string // address of the host that ran the query; "": this host
}

// Do answers a request. Its errors are those of this package, of scatter and of
// ctx. The Result is valid with an error too.
func (g *Gateway) Do(ctx context.Context, request *Request) (*Answer, Result, error) {
	var result Result
	view := g.waitForView(ctx)
	if view == nil {
		return nil, result, &NotReadyError{}
	}
	result.Version = view.Table.Version
	route := view.Table.Match(request.Host, request.Path)
	if route == nil {
		return nil, result, &NoRouteError{Host: request.Host, Path: request.Path}
	}
	result.Route = route
	answer, err := g.answerForAccount(ctx, view, request, &result)
	g.recordMetrics(route, request, err)
	return answer, result, err
}

// answerForAccount answers a request whose route is known if its client account may make
// it.
func (g *Gateway) answerForAccount(ctx context.Context, view *catalog.View, request *Request, result *Result) (*Answer, error) {
	from, ok := view.Table.Identify(result.Route, request.Credential)
	if !ok {
		return nil, &UnauthenticatedError{Route: result.Route.Name}
	}
	result.Account = from.Name()
	if from.Account == nil {
		return g.answer(ctx, view, request, from, result)
	}
	refund, err := g.options.Quotas.Admit(ctx, from.Account)
	if err != nil {
		return nil, err
	}
	answer, err := g.answer(ctx, view, request, from, result)
	if hasNotRun(err) {
		refund()
	}
	return answer, err
}

// answer runs the query of a request whose route and sender are known: at a larger host if
// one accepts it, else on this host, else at one that reaches the replicas.
func (g *Gateway) answer(ctx context.Context, view *catalog.View, request *Request, from account.Identity, result *Result) (*Answer, error) {
	route := result.Route
	elapsed := time.Since(request.Arrived)
	timeLeft := route.Timeout - elapsed
	if request.TimeLeft > 0 {
		timeLeft = min(timeLeft, request.TimeLeft-elapsed)
	}
	timeLeft -= answerReserve
	if timeLeft <= 0 {
		return nil, &NoTimeLeftError{}
	}
	result.Service = serviceName(route)
	if err := g.options.Quarantine.Check(request.Key); err != nil {
		return nil, err
	}
	query := ForwardedQuery{
		ID: request.ID, Host: request.Host, Path: request.Path, Version: view.Table.Version, Single: !route.Merged(), Service: result.Service,
		TimeLeft: timeLeft, Elapsed: elapsed, Payload: request.Payload(route.Merged(), from), Key: request.Key,
	}
	if route.Merged() && g.options.Forwarder != nil {
		answer, accepted, err := g.forward(ctx, g.options.Forwarder, result, query)
		if accepted || err != nil {
			return answer, err
		}
		query.deduct(request.Arrived)
		if query.TimeLeft <= 0 {
			return nil, &NoTimeLeftError{}
		}
	}
	if g.options.Failover == nil {
		return g.runLocally(ctx, view, query.forEngine(), result)
	}
	return g.runOrFailOver(ctx, view, request.Arrived, query, result)
}

// runLocally runs a query on this host and completes result.
func (g *Gateway) runLocally(ctx context.Context, view *catalog.View, query scatter.Query, result *Result) (*Answer, error) {
	route := result.Route
	query.Config, query.Service, query.Search, query.Repeatable = view.Config, result.Service, route.Name, route.Repeatable
	began := time.Now()
	admission, err := g.options.Quarantine.Admit(ctx, query.Key, query.Deadline)
	if err != nil {
		return nil, err
	}
	ran := true // unless the engine proves that it did not run
	defer func() { admission.Done(ran) }()
	query.ServersEnded = admission.ServersEnded
	deductWait(&query, time.Since(began))
	if admission.Timeout > 0 {
		query.Deadline = min(query.Deadline, admission.Timeout)
	}
	g.preparePermits(ctx, view.Config.Services[result.Service], &query)
	engineAnswer, err := g.options.Engine.Run(ctx, query)
	ran = !hasNotRun(err)
	if err != nil {
		result.Work, result.Coverage = workOf(err)
		return nil, err
	}
	result.Work, result.Coverage, result.Missing = engineAnswer.Work, engineAnswer.Coverage.Fraction(), engineAnswer.Coverage.Missing
	return newAnswer(route, engineAnswer), nil
}

// preparePermits gets permits for a query of a service and takes the time that this needs
// from the query.
func (g *Gateway) preparePermits(ctx context.Context, service *release.Service, query *scatter.Query) {
	if g.options.Permits == nil {
		return
	}
	began := time.Now()
	g.options.Permits.Prepare(ctx, service)
	deductWait(query, time.Since(began))
}

// deductWait deducts from the deadline of a query the time that it has waited for a
// permission.
func deductWait(query *scatter.Query, waited time.Duration) {
	query.Elapsed += waited
	// A deadline of 0 would mean that of the search.
	query.Deadline = max(query.Deadline-waited, time.Nanosecond)
}

// Version returns the version of the current routing table, 0 while none is known.
func (g *Gateway) Version() uint64 {
	view := g.options.View()
	if view == nil {
		return 0
	}
	return view.Table.Version
}

// hasNotRun reports whether an error shows that no replica has run any part of a
// request.
func hasNotRun(err error) bool {
	var (
		noTime *NoTimeLeftError
		peer   *PeerFailedError
	)
	switch {
	case err == nil:
		return false
	case errors.As(err, &noTime):
		return true
	case errors.As(err, &peer):
		return peer.Failure == FailedNotRun
	}
	return failureOf(err) == FailedNotRun
}

// failureOf returns the Failure for an error of a query.
func failureOf(err error) Failure {
	var (
		notRun  *scatter.NotRunError
		refused *quarantine.RefusedError
		below   *scatter.BelowCoverageError
	)
	switch {
	case errors.As(err, &notRun), errors.As(err, &refused):
		return FailedNotRun
	case errors.As(err, &below):
		return FailedCoverage
	default:
		return FailedUnknown
	}
}

// waitForView returns the current view. On a host that has just started it waits
// up to firstViewTimeout for the first view, which usually arrives within that
// time; nil means that there was none.
func (g *Gateway) waitForView(ctx context.Context) *catalog.View {
	for waited := time.Duration(0); ; waited += firstViewPollInterval {
		view := g.options.View()
		if view != nil || waited >= firstViewTimeout || ctx.Err() != nil {
			return view
		}
		time.Sleep(firstViewPollInterval)
	}
}

// serviceName returns the service to query for a route: the one that has the
// route's shards, or one of its targets by weight.
func serviceName(route *routing.Route) string {
	if route.Merged() {
		return catalog.ServiceName(route.Shards)
	}
	return route.ChooseService()
}

// newAnswer converts the answer of the engine.
func newAnswer(route *routing.Route, engineAnswer *scatter.Answer) *Answer {
	if !route.Merged() {
		return &Answer{Single: engineAnswer.Rows[0].Value, Leaving: engineAnswer.Leaving}
	}
	answer := &Answer{Merged: true, MissingShards: len(route.Shards) - len(engineAnswer.Rows), Leaving: engineAnswer.Leaving}
	parts := make([][]byte, 0, len(engineAnswer.Rows))
	for i := range engineAnswer.Rows {
		answer.Proofs = append(answer.Proofs, engineAnswer.Rows[i].Key)
		parts = append(parts, engineAnswer.Rows[i].Value)
	}
	answer.Records = greatestRecords(parts, route.TopK)
	return answer
}

// workOf returns the work and the covered fraction of a failed query.
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

// recordMetrics counts a request and records its latency.
func (g *Gateway) recordMetrics(route *routing.Route, request *Request, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	scope := g.options.Scope.Tagged(map[string]string{"route": route.Name, "result": result})
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_latency", latencyBuckets).RecordDuration(time.Since(request.Arrived))
}
