// Package owner manages the replicas that this host owns. For each replica it
// limits the sub-requests in flight to the slots, queues the others by deadline,
// keeps a pool of connections and tracks health and latency.
package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Owner sends sub-requests to replicas: those of its own data centre or, with
// Options.AllDataCentres, of all. It is safe for concurrent use.
type Owner struct {
	options Options
	metrics *metrics
	index   *attemptIndex
	table   atomic.Pointer[replicaTable]

	dataCentres dataCentreRegistry

	noticesMu sync.Mutex
	notices   notices
	// backoffCount is the number of servers in notices that want no requests, for a check
	// without noticesMu.
	backoffCount atomic.Int32

	configMu      sync.Mutex
	closed        bool
	knownReplicas map[wire.ReplicaID]*replica // includes removed replicas that still have connections

	outstanding    atomic.Int64 // attempts without a reply or with a slot
	stopping       atomic.Bool
	attemptsDone   chan struct{}  // signalled when outstanding falls to 0 while stopping
	connGoroutines sync.WaitGroup // goroutines that dial or serve a connection
}

var _ wire.Sender = (*Owner)(nil)

// replicaTable is the immutable set of usable replicas of one configuration.
type replicaTable struct {
	replicas map[wire.ReplicaID]*replica
	services map[string][]*replica // by service name
}

// New returns an owner without replicas. It returns *OptionsError if an option is
// missing or out of range. The owner starts no goroutine before SetConfig. The
// end of Run or Stop closes its connections and ends its goroutines.
func New(options Options) (*Owner, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	options = options.withDefaults()
	o := &Owner{
		options:       options,
		metrics:       newMetrics(options.Scope),
		index:         newAttemptIndex(),
		knownReplicas: map[wire.ReplicaID]*replica{},
		notices:       newNotices(),
		dataCentres:   dataCentreRegistry{byName: map[string]*dataCentre{}},
		attemptsDone:  make(chan struct{}, 1),
	}
	o.table.Store(&replicaTable{})
	return o, nil
}

// Send implements wire.Sender. It never calls done on the caller's goroutine.
func (o *Owner) Send(subs []wire.SubRequest, done func([]wire.Reply)) {
	if len(subs) == 0 {
		return
	}
	now := time.Now()
	c := &sendCall{done: done, attempts: make([]attempt, len(subs))}
	o.outstanding.Add(int64(len(subs)))
	table := o.table.Load()
	var fx effects
	for i := range subs {
		a := &c.attempts[i]
		a.sub = subs[i]
		a.call = c
		a.queueIndex = notQueued
		a.deadline = now.Add(a.sub.TimeLeft)
		a.replica = table.replicas[a.sub.Replica]
		switch {
		case a.replica == nil:
			fx.refuseUnindexed(a, wire.ReasonUnknownReplica)
		case !o.index.add(a):
			fx.refuseUnindexed(a, wire.ReasonBadRequest)
		default:
			a.replica.accept(a, now, &fx)
		}
	}
	fx.applyAsync(o)
}

// Cancel implements wire.Sender. A queued sub-request ends as NotRun. A
// running one ends as Unknown at once; its slot stays taken until the server
// answers or the connection is closed.
func (o *Owner) Cancel(ids []wire.SubRequestID) {
	var fx effects
	for _, id := range ids {
		if a := o.index.find(id); a != nil {
			a.replica.cancel(a, &fx)
		}
	}
	fx.applyAsync(o)
}

// ReplicaStatus returns the observed state of the replicas of a service, in no
// particular order. An empty service name selects the replicas of all services.
func (o *Owner) ReplicaStatus(service string) []ReplicaInfo {
	table := o.table.Load()
	now := time.Now()
	var out []ReplicaInfo
	if service != "" {
		for _, r := range table.services[service] {
			out = append(out, r.info(now))
		}
		return out
	}
	for _, r := range table.replicas {
		out = append(out, r.info(now))
	}
	return out
}

// EstimateWait returns the expected time until the replica answers one more
// sub-request, and whether it is usable: it is in the configuration, neither it is
// draining nor its data centre out of use, its rate limit allows a sub-request and,
// as far as is known, it can be reached from this host. An ejected replica counts as
// usable. The time is 0 if the replica isn't usable.
func (o *Owner) EstimateWait(id wire.ReplicaID) (wait time.Duration, usable bool) {
	r := o.table.Load().replicas[id]
	if r == nil {
		return 0, false
	}
	return r.estimateWait(time.Now())
}

// Obstacle returns why the replica is not usable in the sense of EstimateWait, apart
// from its rate limit, which says nothing of this host.
func (o *Owner) Obstacle(id wire.ReplicaID) Obstacle {
	r := o.table.Load().replicas[id]
	if r == nil {
		return ObstacleUnknown
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.obstacle()
}

// DataCentreOf returns the data centre of a replica in the configuration, or "".
func (o *Owner) DataCentreOf(id wire.ReplicaID) string {
	if r := o.table.Load().replicas[id]; r != nil {
		return r.dataCentre.name
	}
	return ""
}

// SetConfig makes cfg the configuration in use. Replicas that are no longer in it
// finish running sub-requests and refuse queued and new ones. After Stop or the
// end of Run it does nothing.
func (o *Owner) SetConfig(cfg *release.Config) {
	o.configMu.Lock()
	defer o.configMu.Unlock()
	if o.closed {
		return
	}
	next := &replicaTable{replicas: map[wire.ReplicaID]*replica{}, services: map[string][]*replica{}}
	var fx effects
	now := time.Now()
	for _, service := range cfg.Services {
		for i := range service.Shards {
			o.addShard(next, service, &service.Shards[i], now)
		}
	}
	previous := o.table.Swap(next)
	for id, r := range previous.replicas {
		if next.replicas[id] == nil {
			r.remove(&fx)
		}
	}
	o.dropRemovedReplicas()
	fx.applyAsync(o)
	for _, r := range next.replicas {
		r.refresh(time.Now())
	}
}

// addShard adds the usable replicas of a shard to next. The caller holds configMu.
func (o *Owner) addShard(next *replicaTable, service *release.Service, shard *release.Shard, now time.Time) {
	group := &shardGroup{ejectedUntil: map[wire.ReplicaID]time.Time{}, draining: map[wire.ReplicaID]bool{}}
	for _, configured := range shard.Replicas {
		reachable := o.options.AllDataCentres || configured.DataCentre == o.options.DataCentre
		if !reachable || next.replicas[configured.Addr] != nil {
			continue
		}
		group.replicaCount++
		r := o.knownReplicas[configured.Addr]
		if r == nil {
			r = &replica{owner: o, id: configured.Addr, dataCentre: o.dataCentres.getOrCreate(configured.DataCentre)}
			o.knownReplicas[configured.Addr] = r
		}
		r.configure(service, shard.ID, group, now)
		next.replicas[configured.Addr] = r
		next.services[service.Name] = append(next.services[service.Name], r)
	}
}

// dropRemovedReplicas drops the removed replicas without connections. The caller
// holds configMu.
func (o *Owner) dropRemovedReplicas() {
	if len(o.knownReplicas) == len(o.table.Load().replicas) {
		return
	}
	for id, r := range o.knownReplicas {
		if r.removable() {
			delete(o.knownReplicas, id)
		}
	}
}

// Run refreshes all replicas and detects silent data centres periodically until
// ctx ends, and then closes every connection. It always returns nil.
func (o *Owner) Run(ctx context.Context) error {
	refreshTicker := time.NewTicker(o.options.Timings.RefreshPeriod)
	defer refreshTicker.Stop()
	silenceTicker := time.NewTicker(dataCentreCheckPeriod)
	defer silenceTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			o.close()
			return nil
		case <-refreshTicker.C:
			o.Refresh()
			o.reportEvacuated(time.Now())
		case <-silenceTicker.C:
			o.detectSilentDataCentres(time.Now())
		}
	}
}

// Refresh updates the ownership, the draining state and the connections of all
// replicas, as Run does every Timings.RefreshPeriod. A host may call it when its
// view of the members changes.
func (o *Owner) Refresh() {
	now := time.Now()
	for _, r := range o.table.Load().replicas {
		r.refresh(now)
	}
	o.observeSpread(now)
	o.configMu.Lock()
	o.dropRemovedReplicas()
	o.configMu.Unlock()
	o.updateLongBackoffs()
}

// Stop refuses new sub-requests, waits until the accepted ones are finished and
// closes every connection. If ctx ends first, it returns *StopError with the
// number of unfinished sub-requests.
func (o *Owner) Stop(ctx context.Context) error {
	o.stopping.Store(true)
	defer o.close()
	for o.outstanding.Load() > 0 {
		select {
		case <-o.attemptsDone:
		case <-ctx.Done():
			if left := o.outstanding.Load(); left > 0 {
				return &StopError{Unfinished: left}
			}
		}
	}
	return nil
}

// endAttempts subtracts n finished attempts from outstanding and wakes Stop when
// none is left.
func (o *Owner) endAttempts(n int) {
	if o.outstanding.Add(int64(-n)) == 0 && o.stopping.Load() {
		select {
		case o.attemptsDone <- struct{}{}:
		default:
		}
	}
}

// close closes every connection and waits for the goroutines that serve them.
func (o *Owner) close() {
	o.stopping.Store(true)
	var fx effects
	o.configMu.Lock()
	if !o.closed {
		o.closed = true
		for _, r := range o.knownReplicas {
			r.close(&fx)
		}
	}
	o.configMu.Unlock()
	fx.apply(o)
	o.connGoroutines.Wait()
}
