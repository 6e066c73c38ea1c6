package scatter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// minHedgeQuantile is the lowest latency quantile used as the hedge delay.
	minHedgeQuantile = 0.85
	// hedgeBudgetShare is the fraction of the budget's refill that hedges may
	// use while all replicas are healthy. The rest is left for retries and for
	// filling the bucket up to its burst again.
	hedgeBudgetShare = 0.6
)

// minStatusInterval is the minimum time between two status requests for a
// service.
const minStatusInterval = time.Second

// serviceState is the state of a service that all its queries share: latencies,
// budget and what is known of the replicas.
type serviceState struct {
	budget budget // shared by all shards, unless each has its own
	// lastReplyNanos is the time of the last reply, in Unix nanoseconds.
	lastReplyNanos atomic.Int64

	mu sync.Mutex
	// latencies holds one histogram per search, because the searches of a
	// service differ in execution time.
	latencies map[string]*latencyHistogram
	// tables holds the newest table and the one before it, which running
	// queries may still use.
	tables [2]*shardTable
	// statusPending is closed when the status request under way ends; nil if
	// there is none.
	statusPending     chan struct{}
	statusRequestedAt time.Time // start of the last status request
}

// shardTable holds the shards and replicas of a service under one
// configuration. A replica that is also in the next configuration keeps its state
// in the next table.
type shardTable struct {
	config *release.Service
	shards []shardState
	byID   map[wire.ReplicaID]*replicaState
}

// shardState is one shard with its replicas in the order of the configuration.
type shardState struct {
	config   *release.Shard
	replicas []*replicaState
	budget   *budget // of the service, or its own if ExtraPerShard is set
}

// tableFor returns the table for a configuration of the service and builds it
// if neither of the two latest tables belongs to it.
func (s *serviceState) tableFor(config *release.Service, o *Options) *shardTable {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tables {
		if t != nil && t.config == config {
			return t
		}
	}
	t := newTable(config, s.tables[0], o)
	t.assignBudgets(s, s.tables[0])
	s.tables[0], s.tables[1] = t, s.tables[0]
	return t
}

// assignBudgets sets the budget of each shard: the service's, or its own if the
// configuration has ExtraPerShard. A shard that is also in previous keeps its
// tokens.
func (t *shardTable) assignBudgets(s *serviceState, previous *shardTable) {
	refill, burst := t.config.ExtraLoad, float64(t.config.ExtraBurst)
	if refill <= 0 {
		refill = defaultExtraLoad
	}
	if burst <= 0 {
		burst = defaultExtraBurst
	}
	s.budget.configure(refill, burst)
	for i := range t.shards {
		shard := &t.shards[i]
		shard.budget = &s.budget
		if !t.config.ExtraPerShard {
			continue
		}
		shard.budget = previous.shardBudget(shard.config.ID)
		shard.budget.configure(refill, burst)
	}
}

// shardBudget returns the own budget of a shard, or a new one if t is nil or
// has none for it.
func (t *shardTable) shardBudget(shard uint32) *budget {
	if t != nil && t.config.ExtraPerShard {
		for i := range t.shards {
			if t.shards[i].config.ID == shard {
				return t.shards[i].budget
			}
		}
	}
	return &budget{}
}

// newTable builds the table for a configuration. Replicas that are also in
// previous keep their state; previous may be nil.
func newTable(config *release.Service, previous *shardTable, o *Options) *shardTable {
	t := &shardTable{
		config: config,
		shards: make([]shardState, len(config.Shards)),
		byID:   map[wire.ReplicaID]*replicaState{},
	}
	for i := range config.Shards {
		shard := &config.Shards[i]
		t.shards[i].config = shard
		for n, r := range shard.Replicas {
			state := &replicaState{id: r.Addr, index: uint8(min(n, maxTrackedReplicas)), slots: config.Slots}
			if r.DataCentre != o.DataCentre {
				state.roundTrip = 2 * o.oneWayDelay(r.DataCentre)
			}
			if previous != nil {
				state.inherit(previous.byID[r.Addr])
			}
			t.shards[i].replicas = append(t.shards[i].replicas, state)
			t.byID[r.Addr] = state
		}
	}
	return t
}

// inherit copies the reports and the penalty of the same replica in the previous
// table. previous is nil if that table doesn't have the replica.
func (r *replicaState) inherit(previous *replicaState) {
	if previous == nil {
		return
	}
	previous.mu.Lock()
	defer previous.mu.Unlock()
	r.held, r.heldAt = previous.held, previous.heldAt
	r.load, r.loadAt = previous.load, previous.loadAt
	r.penalty, r.penaltyAt = previous.penalty, previous.penaltyAt
}

// refreshStatus asks the owners for the status of the replicas if the last reply
// of the service is older than StatusMaxAge. It returns when the request has
// ended or ctx is done; concurrent queries wait for the same request.
func (s *serviceState) refreshStatus(ctx context.Context, t *shardTable, o *Options) {
	now := time.Now()
	if o.StatusSource == nil || now.UnixNano()-s.lastReplyNanos.Load() < int64(o.StatusMaxAge) {
		return
	}
	s.mu.Lock()
	done := s.statusPending
	if done == nil {
		if now.Sub(s.statusRequestedAt) < minStatusInterval {
			s.mu.Unlock()
			return
		}
		done = make(chan struct{})
		s.statusPending, s.statusRequestedAt = done, now
		go s.fetchStatus(context.WithoutCancel(ctx), done, t, o)
	}
	s.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// fetchStatus requests the status, records it in t and closes done.
func (s *serviceState) fetchStatus(ctx context.Context, done chan struct{}, t *shardTable, o *Options) {
	ctx, cancel := context.WithTimeout(ctx, o.StatusTimeout)
	defer cancel()
	infos, err := o.StatusSource.ReplicaStatus(ctx, t.config.Name)
	now := time.Now()
	for _, info := range infos {
		if r := t.byID[info.Replica]; r != nil {
			r.observe(now, info.Held, info.Load)
		}
	}
	if err != nil {
		o.Logger.WithError(err).WithField("service", t.config.Name).Warn("replica status is incomplete")
	}
	s.mu.Lock()
	s.statusPending = nil
	s.mu.Unlock()
	close(done)
}

// hedgeQuantile returns the latency quantile used as the hedge delay. It is high
// enough that hedges alone don't use up the budget: with a lower one, the burst
// would be spent while all replicas are healthy, and none would be left when one
// fails.
func (s *serviceState) hedgeQuantile() float64 {
	return max(minHedgeQuantile, 1-hedgeBudgetShare*s.budget.refillPerTry())
}

// latencyOf returns the latency histogram of a search, which it creates on the
// first call.
func (s *serviceState) latencyOf(search string) *latencyHistogram {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.latencies[search]
	if l == nil {
		if s.latencies == nil {
			s.latencies = map[string]*latencyHistogram{}
		}
		l = &latencyHistogram{}
		s.latencies[search] = l
	}
	return l
}

// hedgeDelay returns the time after which an unanswered sub-request is hedged:
// a quantile of the search's latency, or the option HedgeDelay until enough
// sub-requests were observed.
func (q *query) hedgeDelay(now time.Time) time.Duration {
	s, o := q.service, &q.engine.options
	d := q.latency.quantile(s.hedgeQuantile(), now)
	if d == 0 {
		return o.HedgeDelay
	}
	return max(d, o.MinHedgeDelay)
}
