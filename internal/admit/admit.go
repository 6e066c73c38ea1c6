package admit

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// waitWeight is the weight of a new queue wait in the moving average. Of 30
// shards one often has a long queue for a moment; only lasting ones count.
const waitWeight = 0.2

// fastWaitShare is the longest allowed wait ÷ the wait that ends the fast
// growth of a new service.
const fastWaitShare = 4

// latencyWeight is the weight of a new latency in the moving average.
const latencyWeight = 0.1

// Admission limits queries in flight. It is safe for concurrent use.
type Admission struct {
	options  Options
	admitted tally.Counter
	refused  tally.Counter
	shrunk   tally.Counter

	mu       sync.Mutex
	services map[string]*service
}

type service struct {
	mu       sync.Mutex
	limit    float64 // queries
	inFlight int
	latency  time.Duration // moving average of admitted queries
	wait     time.Duration // moving average of the queue waits
	steady   bool          // no longer grows fast
	shrunkAt time.Time     // zero until the first decrease
}

// New returns an admission control, or a *OptionError.
func New(options Options) (*Admission, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	return &Admission{
		options:  options,
		admitted: options.Scope.Counter("admitted"),
		refused:  options.Scope.Counter("refused"),
		shrunk:   options.Scope.Counter("limit_decreased"),
		services: map[string]*service{},
	}, nil
}

// Acquire admits a query or returns a *OverloadedError. It never blocks. The
// release of an admitted query must be called.
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

// Retain drops the state of the services for which has returns false, such as
// those that a new configuration withdraws.
func (a *Admission) Retain(has func(service string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.services {
		if !has(name) {
			delete(a.services, name)
		}
	}
}

// Limit returns the limit of a service and its queries in flight.
func (a *Admission) Limit(name string) (limit float64, inFlight int) {
	s := a.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit, s.inFlight
}

func (a *Admission) service(name string) *service {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[name]
	if s == nil {
		s = &service{limit: a.options.Initial}
		a.services[name] = s
	}
	return s
}

func (a *Admission) release(s *service, f Feedback) {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := float64(s.inFlight) >= s.limit/2
	s.inFlight--
	if f.Latency <= 0 && !f.Refused {
		return
	}
	s.learn(f.Latency)
	goal := f.Goal
	if goal <= 0 {
		goal = a.options.Goal
	}
	s.wait += time.Duration(waitWeight * float64(f.Wait-s.wait))
	most := time.Duration(a.options.WaitShare * float64(goal))
	switch {
	case s.wait > most || f.Refused:
		a.shrink(s)
	case busy && f.Wait <= most && time.Since(s.shrunkAt) > s.latency:
		// Each query adds its share, so that the growth is additive per round
		// trip. Those that were admitted before a decrease don't count.
		s.limit = min(s.limit+a.step(s, most), a.options.Ceiling)
	}
}

// step is the share of one good query in the growth. A new service grows by
// one per query, so that its limit doubles per round trip, until its first
// decrease or until queues form: the queries that are admitted until a long
// wait is seen would fill them.
func (a *Admission) step(s *service, most time.Duration) float64 {
	s.steady = s.steady || !s.shrunkAt.IsZero() || s.wait > most/fastWaitShare
	if !s.steady {
		return 1
	}
	return a.options.Increase / s.limit
}

// shrink lowers the limit at most once per round trip, because the queries in
// flight were admitted under the old limit and report the same overload.
func (a *Admission) shrink(s *service) {
	now := time.Now()
	if now.Sub(s.shrunkAt) < s.latency {
		return
	}
	s.shrunkAt = now
	s.limit = max(s.limit*a.options.Decrease, a.options.Floor)
	a.shrunk.Inc(1)
}

func (s *service) learn(latency time.Duration) {
	if latency <= 0 {
		return
	}
	if s.latency == 0 {
		s.latency = latency
		return
	}
	s.latency += time.Duration(latencyWeight * float64(latency-s.latency))
}

// retryAfter is the mean latency: about the time in which the queries in
// flight end.
func (s *service) retryAfter() time.Duration {
	if s.latency == 0 {
		return defaultRetryAfter
	}
	return min(max(s.latency, time.Millisecond), maxRetryAfter)
}
