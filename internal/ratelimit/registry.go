// Package ratelimit keeps the rate limits that backend servers in need name in their
// responses. A limit holds for the requests of all hosts together, for as long as
// the server names it.
package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Options configure a Registry.
type Options struct {
	// Clock returns a monotonic time that goes on while the host is suspended.
	Clock  func() time.Duration
	Scope  tally.Scope   // default: no metrics
	Logger log.Interface // default: no log
}

// OptionError reports an unset field of Options.
type OptionError struct{ Option string }

// Error implements error.
func (e *OptionError) Error() string { return "option " + e.Option + " of ratelimit is required" }

// Registry knows the limits of the replicas. It is safe for concurrent use.
type Registry struct {
	options Options
	// limitedCount is the number of replicas with a limit, for a check without mu.
	limitedCount atomic.Int32

	mu       sync.Mutex
	replicas map[wire.ReplicaID]*replicaLimit
}

// replicaLimit is what this host knows of the limit of one replica.
type replicaLimit struct {
	limit wire.RateLimit
	since time.Duration // when this limit became known to this host
	// observedAt is when the newest response that named the limit, or none, came.
	observedAt time.Duration
	sent       int // requests of this host since the limit became known
}

// New returns a registry without limits. A missing option gives *OptionError.
func New(options Options) (*Registry, error) {
	if options.Clock == nil {
		return nil, &OptionError{Option: "Clock"}
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	if options.Logger == nil {
		options.Logger = &log.Logger{Handler: discard.Default}
	}
	return &Registry{options: options, replicas: map[wire.ReplicaID]*replicaLimit{}}, nil
}

// Observe records what a response says of the limit of a replica; took is the time
// since its request was sent. A response to a request that was sent before the limit
// was named may be older than the one that named it, so it does not end the limit.
func (r *Registry) Observe(replica wire.ReplicaID, limit wire.RateLimit, took time.Duration) {
	if limit.State == wire.RateLimitUnstated || limit.State == wire.RateUnlimited && r.limitedCount.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	known := r.replicas[replica]
	if known == nil {
		if limit.State == wire.RateUnlimited {
			return
		}
		known = &replicaLimit{}
		r.replicas[replica] = known
	}
	if limit.State == wire.RateUnlimited && now-took < known.observedAt {
		return
	}
	r.apply(replica, known, limit, now, "response")
}

// apply makes limit the known limit of a replica, as observed at a time. source is
// for the log only. The caller holds mu.
func (r *Registry) apply(replica wire.ReplicaID, known *replicaLimit, limit wire.RateLimit, observedAt time.Duration, source string) {
	known.observedAt = observedAt
	if known.limit == limit {
		return
	}
	now := r.options.Clock()
	fields := log.Fields{"replica": string(replica), "source": source}
	switch {
	case limit.State == wire.RateLimited:
		if known.limit.State != wire.RateLimited {
			r.limitedCount.Add(1)
		}
		fields["per_second"] = limit.PerSecond
		r.options.Logger.WithFields(fields).Info("rate limit of a replica")
	default:
		r.limitedCount.Add(-1)
		fields["sent"], fields["after"] = known.sent, now-known.since
		r.options.Logger.WithFields(fields).Info("rate limit of a replica ended")
	}
	r.options.Scope.Gauge("limited_replicas").Update(float64(r.limitedCount.Load()))
	known.limit, known.since, known.sent = limit, now, 0
}

// RecordSent counts a request that is sent to a replica.
func (r *Registry) RecordSent(replica wire.ReplicaID) {
	if r.limitedCount.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.replicas[replica]; known != nil && known.limit.State == wire.RateLimited {
		known.sent++
		r.options.Scope.Counter("sent_to_limited").Inc(1)
	}
}
