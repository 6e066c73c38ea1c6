package scatter

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Engine executes queries. It is safe for concurrent use.
type Engine struct {
	options     Options
	metrics     metrics
	lastSeq     atomic.Uint64 // last sequence number assigned to an attempt
	lastQueryID atomic.Uint64

	mu       sync.RWMutex
	services map[string]*serviceState

	randomMu sync.Mutex
	random   *rand.Rand
}

type metrics struct {
	queries, firstTries, hedges, retries, restarts              tally.Counter
	cancelled, cancelledBeforeRun, dropped, late, budgetRefused tally.Counter
}

// New returns an engine with the given options. The error is a *OptionError.
func New(options Options) (*Engine, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	counter := options.Scope.Counter
	return &Engine{
		options:  options,
		services: map[string]*serviceState{},
		random:   rand.New(options.Random),
		metrics: metrics{
			queries:            counter("queries"),
			firstTries:         counter("first_tries"),
			hedges:             counter("hedges"),
			retries:            counter("retries"),
			restarts:           counter("restarts"),
			cancelled:          counter("cancelled"),
			cancelledBeforeRun: counter("cancelled_before_run"),
			dropped:            counter("replies_dropped"),
			late:               counter("replies_late"),
			budgetRefused:      counter("budget_refused"),
		},
	}, nil
}

// Retain drops the state of all services that config doesn't have. Running
// queries of a dropped service finish undisturbed.
func (e *Engine) Retain(config *release.Config) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name := range e.services {
		if config.Services[name] == nil {
			delete(e.services, name)
		}
	}
}

// service returns the state of a service, which it creates on the first call.
func (e *Engine) service(name string) *serviceState {
	e.mu.RLock()
	s := e.services[name]
	e.mu.RUnlock()
	if s != nil {
		return s
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s = e.services[name]; s == nil {
		s = &serviceState{}
		e.services[name] = s
	}
	return s
}

// newSeed returns a seed for the random generator of one query.
func (e *Engine) newSeed() (uint64, uint64) {
	e.randomMu.Lock()
	defer e.randomMu.Unlock()
	return e.random.Uint64(), e.random.Uint64()
}

// Run executes a query until its wait rule is met, its deadline passes or ctx
// is done. The error is a *NotRunError, *UnknownError or *BelowCoverageError; only
// after a *NotRunError is it certain that no sub-request was executed.
func (e *Engine) Run(ctx context.Context, request Query) (*Answer, error) {
	q, err := e.newQuery(request)
	if err != nil {
		return nil, err
	}
	e.metrics.queries.Inc(1)
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	q.service.refreshStatus(ctx, q.table, &e.options)
	q.start()
	q.loop(ctx)
	return q.finish()
}

// badRequest returns the *NotRunError of a query that can't be planned.
func badRequest(detail string) error {
	return &NotRunError{Reason: wire.ReasonBadRequest, Detail: detail}
}
