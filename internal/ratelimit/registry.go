// Package ratelimit keeps the rate limits that overloaded backend servers advertise in
// their responses. A limit holds for the requests of all hosts together, for as long as
// the server advertises it.
//
// One host grants the requests of a limited replica: the leader of the replica's
// data centre. The other hosts ask it for permits when they have requests for the
// replica, and each permit is for one request within a short time, so that the hosts
// together keep the limit however the requests are spread over them. While the
// grantor can't be reached, each host keeps an equal share of a part of the limit.
// Hosts tell the leaders what they observe and learn the rest from the leader that
// they follow, also after a restart.
//
// A replica that is cold, of a service with a warm-up rate, is limited in the same way until
// its warm-up ends; the lower one of both limits binds. Its bound holds for each second, so
// its permits end sooner, and there are none without the grantor: an equal share of each of
// 79 to 300 hosts could be used by all of them in the same second.
package ratelimit

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// retention is how long the end of a limit is remembered, so that older news of
	// the limit from a peer does not bring it back.
	retention = time.Minute
	// minRate is the rate, in requests a second of all hosts, that is used although
	// the limit is lower: only a response shows that the limit has ended.
	minRate = 0.25
	// lostShare is the part of a limit that the hosts share while its grantor can't be
	// reached. It is below 1 because some hosts may reach the grantor meanwhile, which
	// grants the whole limit to them.
	lostShare = 1.0 / 3
)

// Registry knows the limits of the replicas and holds this host's permits. It is safe
// for concurrent use.
type Registry struct {
	options Options
	grantor *grantor
	metrics metrics
	// limitedCount is the number of replicas with a limit, for a check without mu.
	limitedCount atomic.Int32
	hosts        atomic.Int32 // number of hosts that share the limits
	// coldCount is the number of cold replicas, and knowsWarmUps is set if warmUps has any, for
	// checks without mu.
	coldCount    atomic.Int32
	knowsWarmUps atomic.Bool

	mu       sync.Mutex
	revision uint64
	replicas map[wire.ReplicaID]*replicaLimit
	askers   map[string]*asker // by data centre of the replicas
	// warmUps has all replicas of services with a warm-up rate.
	warmUps map[wire.ReplicaID]*warmUp
}

// replicaLimit is what this host knows of the limit of one replica.
type replicaLimit struct {
	limit wire.RateLimit
	since time.Duration // when this limit became known to this host
	// observedAt is when the newest response that advertised the limit, or none, reached a
	// host.
	observedAt time.Duration
	revision   uint64 // of the registry at the last change of the limit
	own        bool   // the last change was observed by this host
	sent       int    // requests of this host since the limit became known
	// warmUpRate is the rate of the replica while it is cold, else 0.
	warmUpRate float64

	permits permits
	wanted  int // permits to ask for in the next question to the grantor
	// deniedUntil is when the grantor expects to have another permit.
	deniedUntil time.Duration
	// shareNextAt is when the share of this host allows its next request, while the
	// grantor can't be reached.
	shareNextAt time.Duration
}

// newReplicaLimit returns the state of a replica that has advertised no limit.
func newReplicaLimit() *replicaLimit {
	return &replicaLimit{limit: wire.RateLimit{State: wire.RateUnlimited}}
}

// stated reports whether the replica advertises a limit.
func (l *replicaLimit) stated() bool { return l.limit.State == wire.RateLimited }

// rate returns the requests a second of all hosts that the limit allows.
func (l *replicaLimit) rate() float64 {
	switch {
	case l.warmUpRate == 0:
		return max(minRate, l.limit.PerSecond)
	case l.stated():
		return min(l.warmUpRate, max(minRate, l.limit.PerSecond))
	default:
		return l.warmUpRate
	}
}

// validity returns how long a host may use a permit for the replica.
func (l *replicaLimit) validity() time.Duration {
	if l.warmUpRate > 0 {
		return warmUpValidity
	}
	return permitValidity(l.rate())
}

// burstTime returns the time in which the limit allows the permits that a grantor saves up.
func (l *replicaLimit) burstTime() time.Duration {
	if l.warmUpRate > 0 {
		return warmUpBurstTime
	}
	return burstTime
}

// New returns a registry without limits. A missing option gives *OptionError.
func New(options Options) (*Registry, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	r := &Registry{
		options:  options,
		grantor:  newGrantor(),
		metrics:  newMetrics(options.Scope),
		replicas: map[wire.ReplicaID]*replicaLimit{},
		askers:   map[string]*asker{},
	}
	r.hosts.Store(defaultHosts)
	return r, nil
}

// SetHosts sets the number of hosts that share the limits. A number below 1 is
// ignored.
func (r *Registry) SetHosts(hosts int) {
	if hosts > 0 {
		r.hosts.Store(int32(hosts))
	}
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
	switch {
	case limit.State == wire.RateLimited:
	case known == nil, now-took < known.observedAt:
		return
	}
	if r.set(replica, limit, now, sourceResponse) {
		r.tellLeaders()
	}
}

// Sources of a limit, for the log.
const (
	sourceResponse = "response"
	sourcePeer     = "peer"
)

// set makes limit the known limit of a replica, as observed at a time, and reports
// whether it changed. The caller holds mu.
func (r *Registry) set(replica wire.ReplicaID, limit wire.RateLimit, observedAt time.Duration, source string) (changed bool) {
	known := r.replicas[replica]
	if known == nil {
		known = &replicaLimit{}
		r.replicas[replica] = known
	}
	known.observedAt = observedAt
	if known.limit == limit {
		return false
	}
	now := r.options.Clock()
	fields := log.Fields{"replica": string(replica), "source": source, "age": now - observedAt}
	if limit.State == wire.RateLimited {
		if !known.stated() {
			r.limitedCount.Add(1)
		}
		fields["per_second"] = limit.PerSecond
		r.options.Logger.WithFields(fields).Info("rate limit of a replica")
	} else {
		if known.stated() {
			r.limitedCount.Add(-1)
		}
		fields["sent"], fields["after"] = known.sent, now-known.since
		r.options.Logger.WithFields(fields).Info("rate limit of a replica ended")
	}
	r.metrics.limitedReplicas.Update(float64(r.limitedCount.Load()))
	r.revision++
	known.limit, known.since, known.sent = limit, now, 0
	known.revision, known.own = r.revision, source == sourceResponse
	known.shareNextAt = now + r.shareGap(known, rand.Float64())
	return true
}

// shareGap returns the time in which the share of this host allows the given number
// of requests to a replica.
func (r *Registry) shareGap(known *replicaLimit, requests float64) time.Duration {
	return time.Duration(requests * float64(r.hosts.Load()) / (lostShare * known.rate()) * float64(time.Second))
}

// Limited reports whether a replica advertises a limit or is cold.
func (r *Registry) Limited(replica wire.ReplicaID) bool {
	if !r.hasLimits() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limitedLocked(replica) != nil
}

// hasLimits reports whether any replica may be limited, without mu.
func (r *Registry) hasLimits() bool { return r.limitedCount.Load() > 0 || r.coldCount.Load() > 0 }

// limitedLocked returns what is known of a replica that advertises a rate limit or is
// cold, nil if neither is so. The caller holds mu.
func (r *Registry) limitedLocked(replica wire.ReplicaID) *replicaLimit {
	known, cold := r.replicas[replica], r.coldLocked(replica)
	switch {
	case cold != nil:
		if known == nil {
			known = newReplicaLimit()
			r.replicas[replica] = known
		}
		if known.warmUpRate == 0 {
			known.permits = permits{} // they last too long for a cold replica
		}
		known.warmUpRate = cold.perSecond
		return known
	case known == nil:
		return nil
	}
	known.warmUpRate = 0
	if !known.stated() {
		return nil
	}
	return known
}

// Allows reports whether a request may be sent to a replica now.
func (r *Registry) Allows(replica wire.ReplicaID) bool {
	if !r.hasLimits() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.limitedLocked(replica)
	return known == nil || r.hasPermit(replica, known)
}

// Take uses a permit for a request to a replica. It returns false if the request must
// not be sent now.
func (r *Registry) Take(replica wire.ReplicaID) bool {
	if !r.hasLimits() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.limitedLocked(replica)
	if known == nil {
		return true
	}
	if !r.hasPermit(replica, known) {
		r.metrics.denied.Inc(1)
		return false
	}
	now := r.options.Clock()
	if !known.permits.take(now) {
		known.shareNextAt = now + r.shareGap(known, 1)
	}
	known.sent++
	r.metrics.sent.Inc(1)
	return true
}

// hasPermit reports whether this host holds a permit for a limited replica or, while
// the grantor can't be reached, its share allows a request. The caller holds mu.
func (r *Registry) hasPermit(replica wire.ReplicaID, known *replicaLimit) bool {
	now := r.options.Clock()
	if known.permits.held(now) > 0 {
		return true
	}
	return known.warmUpRate == 0 && now >= known.shareNextAt && r.askerOf(replica).isLost(now)
}

// forget drops what is no longer needed: ends of limits after retention, and limits of
// replicas that are no longer known. The caller holds mu.
func (r *Registry) forget() {
	now := r.options.Clock()
	for replica, known := range r.replicas {
		if now-known.observedAt < retention || r.coldLocked(replica) != nil || known.stated() && r.options.DataCentreOf(replica) != "" {
			continue
		}
		if known.stated() {
			r.limitedCount.Add(-1)
		}
		delete(r.replicas, replica)
		r.grantor.forget(replica)
	}
}
