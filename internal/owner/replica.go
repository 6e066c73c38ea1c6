package owner

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// replica is the owner's state of one replica. Fields are guarded by mu; no
// I/O and no reply happens under it.
type replica struct {
	owner      *Owner
	id         wire.ReplicaID
	dataCentre *dataCentre
	refreshed  atomic.Int64 // time of the last look at ownership, Unix nanoseconds

	mu        sync.Mutex
	service   string
	shard     uint32
	slots     int
	connLimit int
	far       bool // no warm connection is kept
	group     *shardGroup
	vanished  bool
	closed    bool

	owned      bool
	ownedSince time.Time

	queue      deadlineQueue
	inFlight   int
	expiry     *time.Timer // fires when the earliest queue entry expires
	expiryAt   time.Time   // zero while the timer is not set
	lastUse    time.Time
	pool       pool
	health     health
	latency    latency
	cancels    []wire.SubID // running ones that the server must still be told of
	probeTimer *time.Timer
}

// configure applies the configuration to a new or a known replica.
func (r *replica) configure(service *release.Service, shard uint32, group *shardGroup, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service = service.Name
	r.shard = shard
	r.slots = max(1, int(service.Slots))
	r.connLimit = int(service.Connections)
	r.far = service.OnDemand || service.NearConnections && r.dataCentre.name != r.owner.options.DataCentre
	r.vanished = false
	r.group = group
	if r.health.ejectedUntil.After(now) {
		group.ejected[r.id] = r.health.ejectedUntil
	}
	if r.health.draining() {
		group.draining[r.id] = true
	}
}

// vanish refuses the queue and lets running sub-requests finish.
func (r *replica) vanish(fx *effects) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vanished = true
	r.owned = false
	r.flush(wire.ReasonUnknownReplica, fx)
	r.trim()
	r.stopTimers()
}

func (r *replica) stopTimers() {
	for _, timer := range []*time.Timer{r.expiry, r.probeTimer, r.pool.redial, r.pool.silentTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
	r.expiry, r.probeTimer, r.pool.redial, r.pool.silentTimer = nil, nil, nil, nil
	r.expiryAt, r.pool.silentAt, r.pool.check = time.Time{}, time.Time{}, nil
}

// unused reports whether a vanished replica has no connection left.
func (r *replica) unused() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.vanished && r.pool.open == 0 && r.pool.dialing == 0
}

// close ends everything; sub-requests that still run end as Unknown.
func (r *replica) close(fx *effects) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.flush(wire.ReasonDraining, fx)
	r.stopTimers()
	r.trim()
	for _, c := range r.pool.busy {
		fx.close(c.conn)
	}
	for c := range r.pool.other {
		fx.close(c.conn)
	}
	if r.pool.cancelDials != nil {
		r.pool.cancelDials()
	}
}

// limit returns the number of slots in use now.
func (r *replica) limit(now time.Time) int {
	if !r.owned {
		return 1
	}
	n := r.slots
	if now.Sub(r.ownedSince) < r.owner.options.Timings.Overlap {
		n = max(1, n/2)
	}
	if r.health.slowSlots > 0 {
		n = min(n, r.health.slowSlots)
	}
	return n
}

// load returns what replies state about the replica.
func (r *replica) load(now time.Time) wire.Load {
	limit := r.limit(now)
	return wire.Load{
		InFlight: uint32(r.inFlight),
		Queued:   uint32(len(r.queue)),
		Slots:    uint32(limit),
		Wait:     r.expectedWait(limit),
		Service:  r.latency.mean,
		State:    r.state(now),
	}
}

func (r *replica) state(now time.Time) wire.ReplicaState {
	switch {
	case r.vanished || r.closed || r.health.draining() || r.pool.refusing():
		return wire.ReplicaDraining
	case r.health.ejectedUntil.After(now):
		return wire.ReplicaEjected
	case r.health.cold || r.health.slowSlots > 0:
		return wire.ReplicaCold
	default:
		return wire.ReplicaReady
	}
}

func (r *replica) expectedWait(limit int) time.Duration {
	return time.Duration(len(r.queue)) * r.latency.mean / time.Duration(limit)
}

func (r *replica) info(now time.Time) ReplicaInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	return ReplicaInfo{
		Replica: r.id, Service: r.service, Shard: r.shard, Held: r.health.held,
		Load: r.load(now), Connections: r.pool.open, Owned: r.owned,
	}
}

// accept queues an attempt or refuses it.
func (r *replica) accept(a *attempt, now time.Time, fx *effects) {
	if now.UnixNano()-r.refreshed.Load() > int64(r.owner.options.Timings.RefreshEvery) {
		r.refresh(now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if reason := r.refusal(a, now); reason != wire.ReasonNone {
		a.claim(stateQueued, stateReplied)
		fx.refuse(a, reason, r.load(now), r.health.held)
		return
	}
	r.lastUse = now
	r.queue.push(a)
	r.dispatch(now, fx)
}

// refusal says why an attempt is not queued; empty means that it is.
func (r *replica) refusal(a *attempt, now time.Time) wire.Reason {
	limit := r.limit(now)
	switch {
	case r.vanished:
		return wire.ReasonUnknownReplica
	case r.closed || r.owner.stopping.Load():
		return wire.ReasonDraining
	case !a.deadline.After(now):
		return wire.ReasonExpired
	case r.health.draining():
		return wire.ReasonDraining
	case r.health.ejectedUntil.After(now):
		return wire.ReasonEjected
	case r.pool.refusing() && (r.owned || now.Before(r.pool.redialAfter)):
		return wire.ReasonConnRefused
	case len(r.queue) >= limit*r.owner.options.Timings.QueuePerSlot:
		return wire.ReasonQueueFull
	case r.expectedWait(limit) > a.deadline.Sub(now):
		return wire.ReasonDeadlineShort
	default:
		return wire.ReasonNone
	}
}

// dispatch gives queued attempts to idle connections while slots are free.
func (r *replica) dispatch(now time.Time, fx *effects) {
	limit := r.limit(now)
	for len(r.queue) > 0 && r.inFlight < limit && len(r.pool.idle) > 0 {
		a := r.queue.pop()
		if !a.deadline.After(now) {
			r.refuse(a, wire.ReasonExpired, now, fx)
			continue
		}
		a.state.Store(stateAssigned)
		r.inFlight++
		r.dataCentre.sent(now)
		c := r.pool.takeNewest()
		r.pool.occupy(c, a, now)
		c.jobs <- job{attempt: a}
	}
	if len(r.queue) > 0 && r.inFlight < limit {
		r.fill(now)
	}
	if len(r.pool.busy) > 0 && r.pool.silentAt.IsZero() {
		r.armSilent(now.Add(r.silentAfter()), now)
	}
	r.tellCancels(now)
	r.armExpiry(now)
}

// refuse ends an attempt that has left the queue.
func (r *replica) refuse(a *attempt, reason wire.Reason, now time.Time, fx *effects) {
	if a.claim(stateQueued, stateReplied) {
		fx.refuse(a, reason, r.load(now), r.health.held)
	}
}

// flush refuses the whole queue.
func (r *replica) flush(reason wire.Reason, fx *effects) {
	now := time.Now()
	for len(r.queue) > 0 {
		r.refuse(r.queue.pop(), reason, now, fx)
	}
}

// armExpiry sets the timer that ends expired queue entries. A timer that fires
// early because its entry is gone sets itself again.
func (r *replica) armExpiry(now time.Time) {
	if len(r.queue) == 0 || r.closed {
		return
	}
	at := r.queue.earliest()
	if !r.expiryAt.IsZero() && !r.expiryAt.After(at) {
		return
	}
	r.expiryAt = at
	if r.expiry == nil {
		r.expiry = time.AfterFunc(at.Sub(now), r.expire)
		return
	}
	r.expiry.Reset(at.Sub(now))
}

func (r *replica) expire() {
	var fx effects
	now := time.Now()
	r.mu.Lock()
	r.expiryAt = time.Time{}
	for len(r.queue) > 0 && !r.queue.earliest().After(now) {
		r.refuse(r.queue.pop(), wire.ReasonExpired, now, &fx)
	}
	r.armExpiry(now)
	r.mu.Unlock()
	fx.apply(r.owner)
}

// cancel ends an attempt as far as its caller is concerned.
func (r *replica) cancel(a *attempt, fx *effects) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case a.place != notQueued:
		r.queue.remove(a.place)
		r.refuse(a, wire.ReasonCancelled, now, fx)
	case a.claim(stateAssigned, stateReplied):
		fx.free(a, wire.NotRun, r.load(now), r.health.held)
	case a.claim(stateSent, stateReplied):
		fx.free(a, wire.Unknown, r.load(now), r.health.held)
		if grace := r.owner.options.Timings.CancelAfter; grace > 0 {
			r.cutShort(a, now.Add(grace), now)
			return
		}
		if len(r.cancels) < maxPendingCancels {
			r.cancels = append(r.cancels, a.sub.ID)
		}
		r.tellCancels(now)
	}
}

// cutShort brings the end of a running attempt forward. Its connection is
// closed then, which tells the server to stop.
func (r *replica) cutShort(a *attempt, end, now time.Time) {
	for _, c := range r.pool.busy {
		if c.running == a {
			c.ctx.shorten(end, now)
			return
		}
	}
}

// maxPendingCancels bounds the ids kept for the next cancel call. A cancel is
// only a hint to the server, so the excess is dropped.
const maxPendingCancels = 256

// tellCancels sends the pending cancels on an idle connection.
func (r *replica) tellCancels(now time.Time) {
	if len(r.cancels) == 0 || len(r.pool.idle) == 0 {
		return
	}
	c := r.pool.takeNewest()
	r.pool.divert(c, now)
	ids := r.cancels
	r.cancels = nil
	c.jobs <- job{cancels: ids}
}

// refresh looks at the ownership of the replica and at the host list.
func (r *replica) refresh(now time.Time) {
	r.refreshed.Store(now.UnixNano())
	r.mu.Lock()
	service, shard, skip := r.service, r.shard, r.vanished || r.closed
	r.mu.Unlock()
	if skip {
		return
	}
	owned := r.owner.options.Ownership.Owns(service, shard, r.id)
	leaving := r.owner.options.LeavingServer(r.id)
	var fx effects
	r.mu.Lock()
	if !r.vanished && !r.closed {
		r.setOwned(owned, now)
		r.setLeaving(leaving, &fx)
		r.fill(now)
		if !r.owned && r.inFlight == 0 && now.Sub(r.lastUse) > r.owner.options.Timings.IdleClose {
			r.trim()
			r.forget(&fx)
		} else {
			r.trimTo(r.target())
			r.trimUnused(now)
		}
	}
	r.mu.Unlock()
	fx.applyAsync(r.owner)
}

// forget drops the hints about a replica that this host no longer uses, because
// nothing would correct them.
func (r *replica) forget(fx *effects) {
	r.pool.failures = 0
	r.health.cold, r.health.slowSlots = false, 0
	if r.health.drainStatus || r.health.drainReply {
		r.health.drainStatus, r.health.drainReply = false, false
		r.undrained(fx)
	}
}

func (r *replica) setOwned(owned bool, now time.Time) {
	if owned && !r.owned {
		r.ownedSince = now
		r.armProbe()
	}
	if !owned && r.owned {
		// Other hosts may send here until their views agree.
		r.lastUse = now
	}
	r.owned = owned
}
