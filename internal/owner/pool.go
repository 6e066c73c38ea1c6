package owner

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// pool holds the connections of a replica. It is guarded by the replica's
// mutex.
type pool struct {
	openCount    int // idle, busy and reserved connections
	dialingCount int
	idle         []*pooledConn            // in the order of last use, least recently used first
	busy         []*pooledConn            // running a sub-request
	reserved     map[*pooledConn]struct{} // neither idle nor running a sub-request: probing, cancelling or replying
	lossCount    int                      // connections lost and dials failed so far

	dialFailures   int       // consecutive failed dials
	failingSince   time.Time // first of the consecutive failed dials; zero if there are none
	firstDialAt    time.Time // start of the first dial since the last one ended; zero: none, or dials failed before
	redialAfter    time.Time
	redialTimer    *time.Timer
	silenceTimer   *time.Timer
	silenceTimerAt time.Time     // when silenceTimer fires; zero while it is not set
	silenceCheck   *silenceCheck // in progress, or nil
	nextCheckAt    time.Time     // earliest start of the next silence check
	dialCtx        context.Context
	cancelDials    context.CancelFunc
}

// pooledConn is one connection to a replica, served by its own goroutine.
type pooledConn struct {
	replica      *replica
	conn         backend.Conn
	jobs         chan job           // closed to end the goroutine; only idle connections get a job
	batch        [1]wire.SubRequest // argument of Conn.Run, reused
	running      *attempt           // set by addBusy and cleared by removeBusy
	runCtx       runContext
	runStarted   time.Time // when the connection was assigned to the running sub-request
	lastUsed     time.Time
	laterAnswers int  // answers on other connections to sub-requests that were sent later
	silent       bool // being closed because it went silent
	lossesAtOpen int  // pool.lossCount when the connection was opened

	openedAt         time.Time
	reportedInFlight uint32        // running sub-requests according to the last probe
	silenceCheck     *silenceCheck // check that waits for the call in progress on this connection, or nil
	unanswered       bool          // the last probe or cancel call was sent but not answered
}

// job is the next task of a connection: it runs the attempt, sends the cancels or,
// if both are empty, makes a probe.
type job struct {
	attempt *attempt
	cancels []wire.SubRequestID
}

// lastDialFailed reports whether no connection is open and the last dial failed.
func (p *pool) lastDialFailed() bool { return p.openCount == 0 && p.dialFailures > 0 }

// unreachable reports whether sub-requests must not wait for a connection, because the last
// dial failed. A replica without warm connections is dialled again only for a sub-request,
// which may come after the pause.
func (r *replica) unreachable(now time.Time) bool {
	return r.pool.lastDialFailed() && (!r.onDemand || now.Before(r.pool.redialAfter))
}

// takeMostRecentlyUsed removes and returns the idle connection that was used last.
func (p *pool) takeMostRecentlyUsed() *pooledConn {
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

// takeLeastRecentlyUsed removes and returns the idle connection that has been
// unused the longest.
func (p *pool) takeLeastRecentlyUsed() *pooledConn {
	c := p.idle[0]
	p.idle = slices.Delete(p.idle, 0, 1)
	return c
}

// takeLastOpened removes and returns the idle connection that was opened last.
func (p *pool) takeLastOpened() *pooledConn {
	last := 0
	for i, c := range p.idle {
		if !c.openedAt.Before(p.idle[last].openedAt) {
			last = i
		}
	}
	c := p.idle[last]
	p.idle = slices.Delete(p.idle, last, last+1)
	return c
}

// addBusy assigns an attempt to a connection taken from idle.
func (p *pool) addBusy(c *pooledConn, a *attempt, now time.Time) {
	c.running = a
	c.runStarted, c.lastUsed = now, now
	c.laterAnswers = 0
	p.busy = append(p.busy, c)
}

// reserve marks a connection as neither idle nor busy until returnConn.
func (p *pool) reserve(c *pooledConn, now time.Time) {
	c.lastUsed = now
	p.reserved[c] = struct{}{}
}

func (p *pool) removeBusy(c *pooledConn) {
	c.running = nil
	if index := slices.Index(p.busy, c); index >= 0 {
		last := len(p.busy) - 1
		p.busy[index] = p.busy[last]
		p.busy[last] = nil
		p.busy = p.busy[:last]
	}
}

// maxOpenConns returns the greatest number of connections that may be open now.
func (r *replica) maxOpenConns() int {
	switch {
	case r.removed || r.closed || r.dataCentre.evacuated.Load():
		return 0
	case !r.owned || r.health.draining():
		return 1
	case r.pool.silenceCheck != nil:
		return min(r.slots+2, r.ownerConnLimit())
	default:
		return min(r.slots+1, r.ownerConnLimit())
	}
}

// wantedConns returns the number of connections that should be open now. With
// Options.WarmConnections these are the warm ones or, if that is more, one for
// each sub-request that runs or waits.
func (r *replica) wantedConns() int {
	if r.owner.options.WarmConnections == 0 || !r.owned {
		return r.maxOpenConns()
	}
	return min(r.maxOpenConns(), max(r.warmConns(), len(r.pool.busy)+len(r.queue)))
}

// warmConns returns the number of connections to keep open without work.
func (r *replica) warmConns() int {
	if r.onDemand {
		return 0
	}
	return r.owner.options.WarmConnections
}

// ownerConnLimit returns the greatest number of connections that one owner may
// hold: half of the replica's limit, so that an old and a new owner together
// don't exceed it.
func (r *replica) ownerConnLimit() int { return max(1, r.connLimit/2) }

// openMissingConns dials until wantedConns are open. A host that isn't the owner
// dials only when there is work. After a failed dial it waits for redialAfter.
func (r *replica) openMissingConns(now time.Time) {
	wanted := r.wantedConns()
	if !r.owned && len(r.queue) == 0 {
		return
	}
	if r.pool.openCount+r.pool.dialingCount >= wanted {
		return
	}
	if wait := r.pool.redialAfter.Sub(now); wait > 0 {
		r.armRedialTimer(wait)
		return
	}
	for r.pool.openCount+r.pool.dialingCount < wanted {
		r.startDial()
	}
}

// startDial opens one more connection.
func (r *replica) startDial() {
	if r.pool.dialCtx == nil {
		r.pool.dialCtx, r.pool.cancelDials = context.WithCancel(context.Background())
		r.pool.reserved = map[*pooledConn]struct{}{}
	}
	if now := time.Now(); r.pool.dialingCount == 0 && r.pool.dialFailures == 0 {
		r.pool.firstDialAt = now
		r.dataCentre.recordSent(now)
	}
	r.pool.dialingCount++
	dialCtx := r.pool.dialCtx
	r.owner.connGoroutines.Go(func() { r.connect(dialCtx) })
}

// hasOverdueDial reports whether a dial takes much longer than usual. Dials to a replica
// that failed before do not count: it may be lost.
func (r *replica) hasOverdueDial(now time.Time) bool {
	return !r.pool.firstDialAt.IsZero() && now.Sub(r.pool.firstDialAt) > overdueDialTime
}

func (r *replica) armRedialTimer(wait time.Duration) {
	if r.pool.redialTimer == nil {
		r.pool.redialTimer = time.AfterFunc(wait, func() {
			r.mu.Lock()
			r.pool.redialTimer = nil
			r.openMissingConns(time.Now())
			r.mu.Unlock()
		})
	}
}

func (r *replica) closeIdleConns() { r.closeIdleConnsDownTo(0) }

// closeUnusedConns closes the connections beyond the warm ones that were not used
// for Timings.IdleTimeout. Unused connections count against the replica's limit,
// even after this host has lost power.
func (r *replica) closeUnusedConns(now time.Time) {
	if r.owner.options.WarmConnections == 0 || !r.owned {
		return
	}
	for r.pool.openCount > r.warmConns() && len(r.pool.idle) > 0 {
		if now.Sub(r.pool.idle[0].lastUsed) < r.owner.options.Timings.IdleTimeout {
			return
		}
		c := r.pool.takeLeastRecentlyUsed()
		r.pool.openCount--
		close(c.jobs)
	}
}

// closeIdleConnsDownTo closes idle connections, the last opened first, until at
// most limit connections are open. The oldest are kept because only they show in
// a silence check whether the connections of that age have gone silent.
func (r *replica) closeIdleConnsDownTo(limit int) {
	for r.pool.openCount > limit && len(r.pool.idle) > 0 {
		c := r.pool.takeLastOpened()
		r.pool.openCount--
		close(c.jobs)
	}
}

// connect opens one connection and serves it until it is closed. A first status
// call, unless Options.SkipRoutineStatusCalls is set, takes the delay of a new
// connection before a sub-request uses it.
func (r *replica) connect(dialCtx context.Context) {
	dialStarted := time.Now()
	ctx, cancel := context.WithTimeout(dialCtx, r.owner.options.Timings.DialTimeout)
	conn, err := r.owner.options.Dialer.Dial(ctx, r.id)
	var status backend.Status
	if err == nil && !r.owner.options.SkipRoutineStatusCalls {
		if status, err = conn.Status(ctx); err != nil {
			_ = conn.Close()
		}
	}
	cancel()
	if err != nil {
		r.handleDialFailure(err, dialStarted)
		return
	}
	r.owner.metrics.connsOpened.Inc(1)
	c := &pooledConn{replica: r, conn: conn, jobs: make(chan job, 1)}
	if r.addConn(c, status, dialStarted) {
		c.serve()
	}
	_ = conn.Close()
	r.owner.metrics.connsClosed.Inc(1)
}

func (r *replica) handleDialFailure(err error, dialStarted time.Time) {
	var fx effects
	now := time.Now()
	timings := &r.owner.options.Timings
	r.owner.metrics.connsRefused.Inc(1)
	r.mu.Lock()
	r.pool.dialingCount--
	r.pool.firstDialAt = time.Time{}
	if r.closed || r.removed {
		r.mu.Unlock()
		return
	}
	r.pool.lossCount++
	if !r.pool.redialAfter.After(now) {
		// Concurrent dials that failed count as one failure.
		if r.pool.dialFailures++; r.pool.dialFailures == 1 {
			r.pool.failingSince = now
		}
		pause := min(timings.MaxRedialPause, timings.FirstRedialPause<<min(r.pool.dialFailures-1, 16))
		r.pool.redialAfter = now.Add(pause)
	}
	if r.pool.lastDialFailed() {
		if r.pool.dialFailures == 1 {
			fx.log("replica unreachable", logFields(r, "cause", err.Error(), "refused", errors.Is(err, syscall.ECONNREFUSED)))
		}
		r.refuseAllQueued(wire.ReasonConnRefused, &fx)
	}
	ended := r.concludeEnding(err, dialStarted, now)
	r.openMissingConns(now)
	r.mu.Unlock()
	if len(ended) > 0 {
		r.owner.options.Suspects.ServerEnded(r.id, ended)
	}
	fx.apply(r.owner)
}

// addConn adds a connection to the pool. It returns false if the connection is
// surplus and must be closed.
func (r *replica) addConn(c *pooledConn, status backend.Status, dialStarted time.Time) bool {
	var fx effects
	defer func() { fx.apply(r.owner) }()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool.dialingCount--
	r.pool.firstDialAt = time.Time{}
	r.concludeEnding(nil, dialStarted, now)
	if r.pool.openCount >= r.maxOpenConns() {
		return false
	}
	if r.pool.lastDialFailed() {
		r.beginSlowStart()
	}
	r.pool.dialFailures, r.pool.failingSince = 0, time.Time{}
	r.pool.redialAfter = time.Time{}
	r.recordReachable(now, &fx)
	c.lossesAtOpen = r.pool.lossCount
	r.applyStatus(c, status, now, &fx)
	r.pool.openCount++
	r.pool.idle = append(r.pool.idle, c)
	c.openedAt, c.lastUsed = now, now
	r.armProbeTimer()
	r.recordNewConn(status, dialStarted, now, &fx)
	r.dispatch(now, &fx)
	return true
}

// serve carries out jobs until the connection fails or jobs is closed.
func (c *pooledConn) serve() {
	for j := range c.jobs {
		ok := false
		switch {
		case j.attempt != nil:
			ok = c.run(j.attempt)
		case j.cancels != nil:
			ok = c.sendCancels(j.cancels)
		default:
			ok = c.probe()
		}
		if !c.replica.returnConn(c, ok) {
			return
		}
	}
}

// returnConn puts a connection back into the pool after a job. It returns false if
// the connection failed or is silent and must be closed. For a surplus connection
// it closes jobs, which ends serve.
func (r *replica) returnConn(c *pooledConn, ok bool) bool {
	var fx effects
	defer func() { fx.apply(r.owner) }()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pool.reserved, c)
	r.recordCallResult(c, ok, now, &fx)
	if !ok || c.silent {
		r.pool.openCount--
		r.pool.lossCount++
		r.openMissingConns(now)
		return false
	}
	c.lastUsed = now
	r.pool.idle = append(r.pool.idle, c)
	r.closeIdleConnsDownTo(r.maxOpenConns())
	r.dispatch(now, &fx)
	return true
}

// sendCancels makes one cancel call for the ids. It returns false if the
// connection must be closed.
func (c *pooledConn) sendCancels(ids []wire.SubRequestID) bool {
	ctx, cancel := context.WithTimeout(context.Background(), c.replica.owner.options.Timings.ProbeTimeout)
	defer cancel()
	c.replica.owner.metrics.cancelsSent.Inc(int64(len(ids)))
	err := c.conn.Cancel(ctx, ids)
	c.unanswered = err != nil && !notSent(err)
	return err == nil
}
