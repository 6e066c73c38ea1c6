package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// probeJitter is the greatest relative deviation of a probe interval from
// Timings.ProbeEvery; 0.1 is 10 %.
const probeJitter = 0.1

// maxDrainDoublings bounds the time for which a draining reply overrides the
// status call: 30 s doubled 4 times is 8 min.
const maxDrainDoublings = 4

// health is the observed condition of a replica. It is guarded by the replica's
// mutex.
type health struct {
	held wire.SnapshotRange
	cold bool
	// reportsInFlight is set once the server has reported a non-zero number of
	// running sub-requests. Until then a 0 may be an absent field.
	reportsInFlight bool

	leaving          bool // the host list names the server as leaving
	drainingByStatus bool // the last status call reported draining
	drainingByReply  bool // a reply reported draining; overrides the status call until drainHoldUntil
	drainHoldUntil   time.Time
	drainReplyCount  int // draining replies since the last answer
	lossesAtDrain    int // pool.lossCount at the draining reply

	consecutiveFailures  int
	consecutiveEjections int // without a completed slow start between them
	ejectedUntil         time.Time

	slowStartSlots   int // slots allowed during slow start; 0 means no slow start
	slowStartAnswers int // answers since the last slot was added
}

func (h *health) draining() bool { return h.leaving || h.drainingByStatus || h.drainingByReply }

// shardGroup is the state shared by the replicas of one shard that this owner
// can use. Lock order: the mutex of a replica before this one.
type shardGroup struct {
	mu           sync.Mutex
	replicaCount int
	statesLoad   atomic.Bool // a replica has stated its load; not guarded by mu
	ejectedUntil map[wire.ReplicaID]time.Time
	draining     map[wire.ReplicaID]bool
}

// eject records an ejection until the given time. It returns false, and records
// nothing, if more than half of the replicas would be ejected or no usable one
// would be left.
func (g *shardGroup) eject(id wire.ReplicaID, now, until time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	ejected, unusable := 1, 1
	for other, end := range g.ejectedUntil {
		if other != id && end.After(now) {
			ejected++
			unusable++
		}
	}
	for other := range g.draining {
		if other != id && !g.ejectedUntil[other].After(now) {
			unusable++
		}
	}
	if ejected*2 > g.replicaCount || unusable >= g.replicaCount {
		return false
	}
	g.ejectedUntil[id] = until
	return true
}

func (g *shardGroup) setDraining(id wire.ReplicaID, draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if draining {
		g.draining[id] = true
	} else {
		delete(g.draining, id)
	}
}

// beginSlowStart reduces the replica to one slot. Every Timings.AnswersPerSlot
// answers add one.
func (r *replica) beginSlowStart() { r.health.slowStartSlots, r.health.slowStartAnswers = 1, 0 }

// recordOutcome updates health and latency from the outcome of a sub-request.
// countFailure says whether a failure counts against the replica.
func (r *replica) recordOutcome(c *pooledConn, reply *wire.Reply, err error, countFailure bool, now time.Time, fx *effects) {
	if err == nil {
		r.recordReachable(now, fx)
		r.applyReply(c, reply, now, fx)
	}
	took := now.Sub(c.runStarted)
	r.owner.options.RateLimiter.Observe(r.id, reply.RateLimit, took)
	if reply.Outcome == wire.Unknown && took > r.latency.recentMean {
		r.latency.addRecent(took, now)
	}
	switch {
	case reply.Outcome == wire.Answered:
		r.recordAnswer(took, now)
	case reply.Outcome != wire.Unknown || !countFailure || c.silent:
	case err != nil || reply.Reason == wire.ReasonServerError:
		// A server that reports that it stopped at the deadline is healthy, so
		// an Unknown reply with another reason is no failure.
		r.recordFailure(now, fx)
	}
}

// applyReply updates the replica from the state that a reply of the server
// carries, and counts the answer for the detection of silent connections.
func (r *replica) applyReply(c *pooledConn, reply *wire.Reply, now time.Time, fx *effects) {
	if reply.Held.Newest != 0 {
		r.health.held = reply.Held
	}
	r.noteNotices(reply.Leaving, reply.Backoff, fx)
	r.reportLoad(reply.StatedLoad, true, now)
	r.health.reportsInFlight = r.health.reportsInFlight || reply.Load.InFlight > 0
	r.setCold(reply.Load.State == wire.ReplicaCold)
	if reply.Outcome == wire.NotRun && reply.Reason == wire.ReasonDraining || reply.Load.State == wire.ReplicaDraining {
		r.recordDrainingReply(now, fx)
	}
	r.countLaterAnswer(c, now, fx)
}

// recordAnswer resets the failure count and advances the slow start.
func (r *replica) recordAnswer(took time.Duration, now time.Time) {
	r.latency.add(took, now)
	r.view.Answer(took, now)
	h := &r.health
	h.consecutiveFailures = 0
	h.drainReplyCount = 0
	if h.slowStartSlots == 0 {
		return
	}
	if h.slowStartAnswers++; h.slowStartAnswers < r.owner.options.Timings.AnswersPerSlot {
		return
	}
	h.slowStartAnswers = 0
	if h.slowStartSlots++; h.slowStartSlots >= r.slots {
		h.slowStartSlots = 0
		h.consecutiveEjections = 0
	}
}

// recordFailure counts a failure and ejects the replica after
// Timings.EjectAfter consecutive ones.
func (r *replica) recordFailure(now time.Time, fx *effects) {
	h := &r.health
	timings := &r.owner.options.Timings
	h.consecutiveFailures++
	if h.consecutiveFailures < timings.EjectAfter || h.ejectedUntil.After(now) {
		return
	}
	pause := min(timings.MaxEjection, timings.FirstEjection<<min(h.consecutiveEjections, 16))
	until := now.Add(pause)
	if !r.group.eject(r.id, now, until) {
		return
	}
	h.consecutiveEjections++
	h.ejectedUntil = until
	r.beginSlowStart()
	r.owner.metrics.ejections.Inc(1)
	fx.log("replica ejected", logFields(r, "failures", h.consecutiveFailures, "pause", pause))
	r.refuseAllQueued(wire.ReasonEjected, fx)
}

func (r *replica) setCold(cold bool) {
	if cold && !r.health.cold {
		r.beginSlowStart()
	}
	r.health.cold = cold
}

// recordDrainingReply records that a reply reported the server as draining. The
// status call may be outdated or wrong, so it is overridden until drainHoldUntil.
func (r *replica) recordDrainingReply(now time.Time, fx *effects) {
	h := &r.health
	if h.drainingByReply {
		return
	}
	h.drainingByReply = true
	h.drainHoldUntil = now.Add(r.owner.options.Timings.DrainHold << min(h.drainReplyCount, maxDrainDoublings))
	h.drainReplyCount++
	h.lossesAtDrain = r.pool.lossCount
	r.beginDraining("reply", fx)
}

func (r *replica) setLeaving(leaving bool, fx *effects) {
	if leaving == r.health.leaving {
		return
	}
	r.health.leaving = leaving
	if leaving {
		r.beginDraining("host list", fx)
	} else {
		r.endDraining(fx)
	}
}

// applyStatus updates the replica from the result of a status call. It is only a
// hint: a draining reply overrides it, see health.drainingByReply.
func (r *replica) applyStatus(c *pooledConn, status backend.Status, now time.Time, fx *effects) {
	h := &r.health
	if status.Held.Newest != 0 {
		h.held = status.Held
	}
	r.noteNotices(status.Leaving, status.Backoff, fx)
	r.reportLoad(status.StatedLoad, false, now)
	h.reportsInFlight = h.reportsInFlight || status.InFlight > 0
	r.setCold(status.Cold)
	if status.WarmupLeft > 0 {
		r.owner.options.RateLimiter.ObserveWarmUp(r.id, status.WarmupLeft)
	}
	if status.Draining {
		if !h.drainingByStatus {
			h.drainingByStatus = true
			r.beginDraining("status", fx)
		}
		return
	}
	if !h.draining() {
		return
	}
	h.drainingByStatus = false
	// A connection opened after others were lost leads to a restarted server,
	// which no longer drains.
	if h.drainingByReply && (!now.Before(h.drainHoldUntil) || c.lossesAtOpen > h.lossesAtDrain) {
		h.drainingByReply = false
	}
	r.endDraining(fx)
}

// beginDraining refuses the queued sub-requests. source is what reported the
// draining: "reply", "status" or "host list".
func (r *replica) beginDraining(source string, fx *effects) {
	r.group.setDraining(r.id, true)
	fx.log("replica draining", logFields(r, "source", source))
	r.refuseAllQueued(wire.ReasonDraining, fx)
}

// endDraining puts the replica back into use with a slow start, unless another
// source still reports it as draining.
func (r *replica) endDraining(fx *effects) {
	if r.health.draining() {
		return
	}
	r.group.setDraining(r.id, false)
	r.beginSlowStart()
	fx.log("replica takes work again", logFields(r))
}

// logFields returns the log fields of a replica with further key-value pairs.
func logFields(r *replica, pairs ...any) log.Fields {
	f := log.Fields{"replica": string(r.id), "service": r.service, "shard": r.shard}
	for i := 0; i+1 < len(pairs); i += 2 {
		f[pairs[i].(string)] = pairs[i+1]
	}
	return f
}

// armProbeTimer schedules the next probe unless one is scheduled. A closed
// or removed replica is not probed, and none is with Options.SkipRoutineStatusCalls.
func (r *replica) armProbeTimer() {
	if r.probeTimer == nil && !r.closed && !r.removed && !r.owner.options.SkipRoutineStatusCalls {
		r.probeTimer = time.AfterFunc(r.nextProbeDelay(), r.onProbeTimer)
	}
}

func (r *replica) nextProbeDelay() time.Duration {
	spread := 1 + probeJitter*(2*rand.Float64()-1)
	return time.Duration(float64(r.owner.options.Timings.ProbeEvery) * spread)
}

// onProbeTimer probes the least recently used idle connection. If all are busy,
// it probes none, because outcomes of sub-requests say more than a probe.
func (r *replica) onProbeTimer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probeTimer = nil
	if !r.owned && r.pool.openCount == 0 {
		return
	}
	r.probeIdleConn()
	r.armProbeTimer()
}

// probeIdleConn makes a status call on an idle connection, if there is one. A replica that
// wants no requests gets no status calls either.
func (r *replica) probeIdleConn() {
	if len(r.pool.idle) > 0 && r.owner.BackoffOf(r.id) == 0 {
		c := r.pool.takeLeastRecentlyUsed()
		r.pool.reserve(c, time.Now())
		c.jobs <- job{}
	}
}

// dialReachability opens a connection to a replica whose last dial has failed, or has not,
// and reports whether it did.
func (r *replica) dialReachability(failed bool, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mustNotProbe(now) || (r.pool.dialFailures > 0) != failed || r.pool.dialingCount > 0 || r.pool.openCount >= r.maxOpenConns() {
		return false
	}
	r.startDial()
	return true
}

// mustNotProbe reports whether the replica must get no status calls and dials now that only
// check whether it can be reached.
func (r *replica) mustNotProbe(now time.Time) bool {
	return r.removed || r.closed || now.Before(r.pool.redialAfter) || r.health.leaving || r.owner.BackoffOf(r.id) > 0
}

// probeReachability makes a status call on an idle connection, or opens one. It reports
// whether it did either.
func (r *replica) probeReachability(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.mustNotProbe(now):
		return false
	case len(r.pool.idle) > 0:
		r.probeIdleConn()
	case r.pool.dialingCount > 0 || r.pool.openCount >= r.maxOpenConns():
		return false
	default:
		r.startDial()
	}
	return true
}

// probe makes a status call. It returns false if the connection must be closed.
func (c *pooledConn) probe() bool {
	r := c.replica
	ctx, cancel := context.WithTimeout(context.Background(), r.owner.options.Timings.ProbeTimeout)
	defer cancel()
	r.owner.metrics.probes.Inc(1)
	status, err := c.conn.Status(ctx)
	c.unanswered = err != nil && !notSent(err)
	if err != nil {
		r.owner.metrics.probesFailed.Inc(1)
		// The other idle connections may have failed with this one.
		r.mu.Lock()
		r.probeIdleConn()
		r.mu.Unlock()
		return false
	}
	var fx effects
	r.mu.Lock()
	now := time.Now()
	c.reportedInFlight = status.InFlight
	r.recordReachable(now, &fx)
	r.applyStatus(c, status, now, &fx)
	r.mu.Unlock()
	fx.apply(r.owner)
	return true
}
