package owner

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/balance"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// replica is the owner's state of one replica. The fields below mu are guarded by
// it. Under mu no I/O is done and no reply is delivered.
type replica struct {
	owner            *Owner
	id               wire.ReplicaID
	dataCentre       *dataCentre
	lastRefreshNanos atomic.Int64 // Unix time in ns of the last refresh

	mu        sync.Mutex
	service   string
	shard     uint32
	slots     int
	connLimit int
	onDemand  bool // no warm connections are kept
	group     *shardGroup
	removed   bool // not in the configuration in use
	closed    bool

	owned      bool
	ownedSince time.Time

	queue          deadlineQueue
	inFlight       int
	expiryTimer    *time.Timer // fires when the earliest queue entry expires
	expiryAt       time.Time   // zero while the timer is not set
	lastUsed       time.Time   // last sub-request queued, or end of the ownership
	pool           pool
	health         health
	latency        latencyStats
	view           balance.View        // what the replica states of its load
	pendingCancels []wire.SubRequestID // running sub-requests for which a cancel call is still to be sent
	probeTimer     *time.Timer
	// lostRuns are runs whose connection the server closed; checksEnding is set while a
	// dial shows whether the server ended.
	lostRuns     []lostRun
	checksEnding bool
}

// configure applies the configuration to a new or a known replica.
func (r *replica) configure(service *release.Service, shard uint32, group *shardGroup, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service = service.Name
	r.shard = shard
	r.slots = max(1, int(service.Slots))
	r.connLimit = int(service.MaxConnections)
	r.onDemand = service.ConnectOnDemand || service.LocalWarmConnectionsOnly && r.dataCentre.name != r.owner.options.DataCentre
	r.removed = false
	r.group = group
	if r.view.States() {
		group.statesLoad.Store(true)
	}
	if r.health.ejectedUntil.After(now) {
		group.ejectedUntil[r.id] = r.health.ejectedUntil
	}
	if r.health.draining() {
		group.draining[r.id] = true
	}
}

// remove takes the replica out of use when it leaves the configuration. It
// refuses the queued sub-requests and lets the running ones finish.
func (r *replica) remove(fx *effects) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removed = true
	r.owned = false
	r.refuseAllQueued(wire.ReasonUnknownReplica, fx)
	r.closeIdleConns()
	r.stopTimers()
}

func (r *replica) stopTimers() {
	for _, timer := range []*time.Timer{r.expiryTimer, r.probeTimer, r.pool.redialTimer, r.pool.silenceTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
	r.expiryTimer, r.probeTimer, r.pool.redialTimer, r.pool.silenceTimer = nil, nil, nil, nil
	r.expiryAt, r.pool.silenceTimerAt, r.pool.silenceCheck = time.Time{}, time.Time{}, nil
}

// removable reports whether the replica is removed and has no connection left.
func (r *replica) removable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.removed && r.pool.openCount == 0 && r.pool.dialingCount == 0
}

// close refuses the queued sub-requests and closes all connections. Running
// sub-requests end as Unknown.
func (r *replica) close(fx *effects) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.refuseAllQueued(wire.ReasonDraining, fx)
	r.stopTimers()
	r.closeIdleConns()
	for _, c := range r.pool.busy {
		fx.close(c.conn)
	}
	for c := range r.pool.reserved {
		fx.close(c.conn)
	}
	if r.pool.cancelDials != nil {
		r.pool.cancelDials()
	}
}

// slotLimit returns how many sub-requests may run at once now. A host that isn't
// the owner gets 1. For Timings.OwnerChangeOverlap after an owner change it is at
// most half of the slots, because the previous owner may still use the others. A
// slow start limits it further.
func (r *replica) slotLimit(now time.Time) int {
	if !r.owned {
		return 1
	}
	n := r.slots
	if now.Sub(r.ownedSince) < r.owner.options.Timings.OwnerChangeOverlap {
		n = max(1, n/2)
	}
	if r.health.slowStartSlots > 0 {
		n = min(n, r.health.slowStartSlots)
	}
	return n
}

// load returns the load report that replies carry.
func (r *replica) load(now time.Time) wire.Load {
	limit := r.slotLimit(now)
	return wire.Load{
		InFlight:    uint32(r.inFlight),
		Queued:      uint32(len(r.queue)),
		Slots:       uint32(limit),
		QueueWait:   r.expectedWait(limit),
		ServiceTime: r.latency.mean,
		State:       r.state(now),
	}
}

func (r *replica) state(now time.Time) wire.ReplicaState {
	switch {
	case r.removed || r.closed || r.health.draining() || r.unreachable(now):
		return wire.ReplicaDraining
	case r.health.ejectedUntil.After(now):
		return wire.ReplicaEjected
	case r.health.cold || r.health.slowStartSlots > 0:
		return wire.ReplicaCold
	default:
		return wire.ReplicaReady
	}
}

// expectedWait returns the expected time in the queue of one more attempt.
func (r *replica) expectedWait(limit int) time.Duration {
	return time.Duration(len(r.queue)) * r.latency.mean / time.Duration(limit)
}

func (r *replica) info(now time.Time) ReplicaInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	return ReplicaInfo{
		Replica: r.id, Service: r.service, Shard: r.shard, Held: r.health.held,
		Load: r.load(now), Connections: r.pool.openCount, Owned: r.owned,
	}
}

// accept queues an attempt or refuses it.
func (r *replica) accept(a *attempt, now time.Time, fx *effects) {
	if now.UnixNano()-r.lastRefreshNanos.Load() > int64(r.owner.options.Timings.MinRefreshInterval) {
		r.refresh(now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if reason := r.refusalReason(a, now); reason != wire.ReasonNone {
		a.transition(stateQueued, stateReplied)
		fx.refuse(a, reason, r.load(now), r.health.held)
		return
	}
	if !r.owner.options.RateLimiter.Take(r.id) {
		a.transition(stateQueued, stateReplied)
		fx.refuse(a, wire.ReasonRateLimited, r.load(now), r.health.held)
		return
	}
	r.lastUsed = now
	r.queue.push(a)
	r.dispatch(now, fx)
}

// refusalReason returns why an attempt can't be queued, or wire.ReasonNone if it
// can.
func (r *replica) refusalReason(a *attempt, now time.Time) wire.Reason {
	limit := r.slotLimit(now)
	switch {
	case r.removed:
		return wire.ReasonUnknownReplica
	case r.closed || r.owner.stopping.Load():
		return wire.ReasonDraining
	case !a.deadline.After(now):
		return wire.ReasonDeadlineExpired
	case r.dataCentre.evacuated.Load():
		return wire.ReasonEvacuated
	case r.health.draining():
		return wire.ReasonDraining
	case r.owner.BackoffOf(r.id) > 0:
		return wire.ReasonBackoff
	case r.health.ejectedUntil.After(now):
		return wire.ReasonEjected
	case r.unreachable(now) && (r.owned || now.Before(r.pool.redialAfter)):
		return wire.ReasonConnRefused
	case len(r.queue) >= limit*r.owner.options.Timings.QueuePerSlot, r.mustNotQueue(limit):
		return wire.ReasonQueueFull
	case r.expectedWait(limit) > a.deadline.Sub(now):
		return wire.ReasonDeadlineTooShort
	default:
		return wire.ReasonNone
	}
}

// mustNotQueue reports whether a sub-request would wait for a slot of a cold replica. Those that
// waited would be sent together with later ones, above the rate of their permits.
func (r *replica) mustNotQueue(limit int) bool {
	return r.inFlight+len(r.queue) >= limit && r.owner.options.RateLimiter.Cold(r.id)
}

// dispatch assigns queued attempts to idle connections while slots are free, opens
// missing connections, sends pending cancels and sets the timers.
func (r *replica) dispatch(now time.Time, fx *effects) {
	limit := r.slotLimit(now)
	for len(r.queue) > 0 && r.inFlight < limit && len(r.pool.idle) > 0 {
		a := r.queue.pop()
		if !a.deadline.After(now) {
			r.refuse(a, wire.ReasonDeadlineExpired, now, fx)
			continue
		}
		a.state.Store(stateAssigned)
		r.inFlight++
		r.dataCentre.recordSent(now)
		r.owner.metrics.countSent(r.dataCentre.name == r.owner.options.DataCentre)
		c := r.pool.takeMostRecentlyUsed()
		r.pool.addBusy(c, a, now)
		c.jobs <- job{attempt: a}
	}
	if len(r.queue) > 0 && r.inFlight < limit {
		r.openMissingConns(now)
	}
	if len(r.pool.busy) > 0 && r.pool.silenceTimerAt.IsZero() {
		r.armSilenceTimer(now.Add(r.silenceTimeout()), now)
	}
	r.dispatchCancels(now)
	r.armExpiryTimer(now)
}

// refuse replies NotRun to an attempt that was removed from the queue.
func (r *replica) refuse(a *attempt, reason wire.Reason, now time.Time, fx *effects) {
	if a.transition(stateQueued, stateReplied) {
		fx.refuse(a, reason, r.load(now), r.health.held)
	}
}

// refuseAllQueued refuses every queued attempt.
func (r *replica) refuseAllQueued(reason wire.Reason, fx *effects) {
	now := time.Now()
	for len(r.queue) > 0 {
		r.refuse(r.queue.pop(), reason, now, fx)
	}
}

// armExpiryTimer sets the timer that refuses expired queue entries. A timer that
// fires too early is left as it is; it is set again when it fires.
func (r *replica) armExpiryTimer(now time.Time) {
	if len(r.queue) == 0 || r.closed {
		return
	}
	at := r.queue.earliestDeadline()
	if !r.expiryAt.IsZero() && !r.expiryAt.After(at) {
		return
	}
	r.expiryAt = at
	if r.expiryTimer == nil {
		r.expiryTimer = time.AfterFunc(at.Sub(now), r.onExpiryTimer)
		return
	}
	r.expiryTimer.Reset(at.Sub(now))
}

func (r *replica) onExpiryTimer() {
	var fx effects
	now := time.Now()
	r.mu.Lock()
	r.expiryAt = time.Time{}
	for len(r.queue) > 0 && !r.queue.earliestDeadline().After(now) {
		r.refuse(r.queue.pop(), wire.ReasonDeadlineExpired, now, &fx)
	}
	r.armExpiryTimer(now)
	r.mu.Unlock()
	fx.apply(r.owner)
}

// cancel replies to an attempt, so that it is finished for the caller of Send. If
// it runs, its slot stays taken until the run ends.
func (r *replica) cancel(a *attempt, fx *effects) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case a.queueIndex != notQueued:
		r.queue.remove(a.queueIndex)
		r.refuse(a, wire.ReasonCancelled, now, fx)
	case a.transition(stateAssigned, stateReplied):
		fx.replyCancelled(a, wire.NotRun, r.load(now), r.health.held)
	case a.transition(stateSent, stateReplied):
		fx.replyCancelled(a, wire.Unknown, r.load(now), r.health.held)
		if grace := r.owner.options.Timings.CancelAfter; grace > 0 {
			r.shortenRun(a, now.Add(grace), now)
			return
		}
		if len(r.pendingCancels) < maxPendingCancels {
			r.pendingCancels = append(r.pendingCancels, a.sub.ID)
		}
		r.dispatchCancels(now)
	}
}

// shortenRun moves the deadline of a running attempt forward to end. Its
// connection is closed at that time, which makes the server stop.
func (r *replica) shortenRun(a *attempt, end, now time.Time) {
	for _, c := range r.pool.busy {
		if c.running == a {
			c.runCtx.shorten(end, now)
			return
		}
	}
}

// maxPendingCancels bounds the number of ids kept for the next cancel call.
// Cancels are only hints to the server, so those beyond it are dropped.
const maxPendingCancels = 256

// dispatchCancels sends the pending cancels on an idle connection, if there is one.
func (r *replica) dispatchCancels(now time.Time) {
	if len(r.pendingCancels) == 0 || len(r.pool.idle) == 0 {
		return
	}
	c := r.pool.takeMostRecentlyUsed()
	r.pool.reserve(c, now)
	ids := r.pendingCancels
	r.pendingCancels = nil
	c.jobs <- job{cancels: ids}
}

// refresh updates the replica from the ownership and the host list, and opens
// missing and closes unused connections.
func (r *replica) refresh(now time.Time) {
	r.lastRefreshNanos.Store(now.UnixNano())
	r.mu.Lock()
	service, shard, skip := r.service, r.shard, r.removed || r.closed
	r.mu.Unlock()
	if skip {
		return
	}
	owned := r.owner.options.Ownership.Owns(service, shard, r.id)
	leaving := r.owner.hasLeft(r.id) || r.owner.options.LeavingServer(r.id)
	var fx effects
	r.mu.Lock()
	if !r.removed && !r.closed {
		r.setOwned(owned, now)
		r.setLeaving(leaving, &fx)
		r.openMissingConns(now)
		if !r.owned && r.inFlight == 0 && now.Sub(r.lastUsed) > r.owner.options.Timings.IdleTimeout {
			r.closeIdleConns()
			r.resetHints(&fx)
		} else {
			r.closeIdleConnsDownTo(r.maxOpenConns())
			r.closeUnusedConns(now)
		}
	}
	r.mu.Unlock()
	fx.applyAsync(r.owner)
}

// resetHints drops the observed state of a replica that this host no longer uses,
// because no status call or reply would correct it.
func (r *replica) resetHints(fx *effects) {
	r.pool.dialFailures, r.pool.failingSince = 0, time.Time{}
	r.health.cold, r.health.slowStartSlots = false, 0
	if r.health.drainingByStatus || r.health.drainingByReply {
		r.health.drainingByStatus, r.health.drainingByReply = false, false
		r.endDraining(fx)
	}
}

func (r *replica) setOwned(owned bool, now time.Time) {
	if owned && !r.owned {
		r.ownedSince = now
		r.armProbeTimer()
	}
	if !owned && r.owned {
		// Other hosts may still send sub-requests to this one until their views
		// of the members agree.
		r.lastUsed = now
	}
	r.owned = owned
}
