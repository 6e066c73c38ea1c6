package admit

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// queueWaitWeight is the weight of a new queue wait in the moving average. It is
// small because one of 30 shards often has a long queue for a moment, and only
// lasting queues should lower the limit.
const queueWaitWeight = 0.2

// fastGrowthWaitDivisor is the longest allowed queue wait divided by the average
// wait that ends the fast growth of a new service's limit.
const fastGrowthWaitDivisor = 4

// latencyWeight is the weight of a new query latency in the moving average.
const latencyWeight = 0.1

// Admission limits the queries in flight of each service. It is safe for
// concurrent use.
type Admission struct {
	options        Options
	admitted       tally.Counter
	refused        tally.Counter
	limitDecreased tally.Counter

	mu       sync.Mutex
	services map[string]*serviceState
}

// serviceState is the limit of one service and the averages by which it is
// adjusted.
type serviceState struct {
	mu              sync.Mutex
	limit           float64 // queries in flight
	inFlight        int
	avgLatency      time.Duration // moving average of the query latencies
	avgWait         time.Duration // moving average of the queue waits
	fastGrowthEnded bool          // the limit grows additively from now on
	decreasedAt     time.Time     // zero until the first decrease
}

// New returns an Admission with the given options. The error is a *OptionError.
func New(options Options) (*Admission, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	return &Admission{
		options:        options,
		admitted:       options.Scope.Counter("admitted"),
		refused:        options.Scope.Counter("refused"),
		limitDecreased: options.Scope.Counter("limit_decreased"),
		services:       map[string]*serviceState{},
	}, nil
}

// Acquire admits a query of the named service or returns a *OverloadedError. It
// never waits until a query in flight ends. The returned Release must be called when
// the admitted query has ended.
func (a *Admission) Acquire(name string) (Release, error) {
	s := a.service(name)
	s.mu.Lock()
	if float64(s.inFlight+1) > s.limit {
		err := &OverloadedError{Service: name, RetryAfter: s.retryAfter()}
		s.mu.Unlock()
		a.refused.Inc(1)
		return nil, err
	}
	s.inFlight++
	s.mu.Unlock()
	a.admitted.Inc(1)
	var once sync.Once
	return func(f Feedback) {
		once.Do(func() { a.release(s, f) })
	}, nil
}

// Retain drops the state of all services for which keep returns false, such as
// those that a new configuration withdraws.
func (a *Admission) Retain(keep func(service string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.services {
		if !keep(name) {
			delete(a.services, name)
		}
	}
}

// Limit returns the limit of a service, in queries in flight, and the number of
// its queries that are in flight.
func (a *Admission) Limit(name string) (limit float64, inFlight int) {
	s := a.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit, s.inFlight
}

// service returns the state of a service, which it creates on the first call.
func (a *Admission) service(name string) *serviceState {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[name]
	if s == nil {
		s = &serviceState{limit: a.options.InitialLimit}
		a.services[name] = s
	}
	return s
}

// release ends a query and adjusts the limit by its feedback. A query that neither
// ran nor was refused because of load leaves the limit unchanged.
func (a *Admission) release(s *serviceState, f Feedback) {
	s.mu.Lock()
	defer s.mu.Unlock()
	halfOfLimitUsed := float64(s.inFlight) >= s.limit/2
	s.inFlight--
	if f.Latency <= 0 && !f.Refused {
		return
	}
	s.recordLatency(f.Latency)
	goal := f.LatencyGoal
	if goal <= 0 {
		goal = a.options.DefaultLatencyGoal
	}
	s.avgWait += time.Duration(queueWaitWeight * float64(f.MaxQueueWait-s.avgWait))
	maxWait := time.Duration(a.options.WaitShare * float64(goal))
	switch {
	case s.avgWait > maxWait || f.Refused:
		a.decreaseLimit(s)
	case halfOfLimitUsed && f.MaxQueueWait <= maxWait && time.Since(s.decreasedAt) > s.avgLatency:
		// Each query adds a fraction of the growth per round trip. Queries that
		// were admitted before the last decrease add nothing.
		s.limit = min(s.limit+a.increment(s, maxWait), a.options.MaxLimit)
	}
}

// increment returns by how much one query without a long wait raises the limit.
// At first it is one, so that the limit of a new service doubles per round trip.
// This ends at the first decrease or as soon as queues form, because the queries
// that are still admitted before a long wait is reported would make them longer.
func (a *Admission) increment(s *serviceState, maxWait time.Duration) float64 {
	s.fastGrowthEnded = s.fastGrowthEnded || !s.decreasedAt.IsZero() || s.avgWait > maxWait/fastGrowthWaitDivisor
	if !s.fastGrowthEnded {
		return 1
	}
	return a.options.Increase / s.limit
}

// decreaseLimit lowers the limit at most once per round trip, because all queries
// that were in flight at a decrease report the same overload.
func (a *Admission) decreaseLimit(s *serviceState) {
	now := time.Now()
	if now.Sub(s.decreasedAt) < s.avgLatency {
		return
	}
	s.decreasedAt = now
	s.limit = max(s.limit*a.options.DecreaseFactor, a.options.MinLimit)
	a.limitDecreased.Inc(1)
}

// recordLatency updates the moving average of the latency. Zero is ignored.
func (s *serviceState) recordLatency(latency time.Duration) {
	if latency <= 0 {
		return
	}
	if s.avgLatency == 0 {
		s.avgLatency = latency
		return
	}
	s.avgLatency += time.Duration(latencyWeight * float64(latency-s.avgLatency))
}

// retryAfter returns the average latency within bounds, because about that long
// after a refusal the queries in flight have ended.
func (s *serviceState) retryAfter() time.Duration {
	if s.avgLatency == 0 {
		return defaultRetryAfter
	}
	return min(max(s.avgLatency, time.Millisecond), maxRetryAfter)
}
