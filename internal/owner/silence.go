package owner

import (
	"time"

	"github.com/apex/log"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
)

// silenceCheckProbeTimeouts bounds a silence check, in multiples of
// Timings.ProbeTimeout: one for the probes of the old connections and one for a
// connection opened to replace a silent one.
const silenceCheckProbeTimeouts = 2

// silenceCheck probes the old connections of a replica and compares them with a
// fresh one, to tell a server that lost its connections from one that is slow. A
// connection is silent when it is open but nothing sent on it is answered.
type silenceCheck struct {
	startedAt    time.Time
	suspects     []suspectRun // runs that were unanswered for silenceTimeout when the check began
	lastOpenedAt time.Time    // when the newest connection of the suspects was opened

	pendingCount  int // old connections whose probe or other call has not ended
	answeredCount int // old connections whose call was answered
	silentCount   int // old connections whose call was sent but not answered

	freshAnswered bool      // a connection opened after lastOpenedAt answered a status call
	freshInFlight int       // running sub-requests according to that status call
	settleAt      time.Time // until then a reply sent before that status call may arrive
}

// suspectRun is a run on a connection that was not answered within silenceTimeout.
// The start time tells it from later runs on the same connection.
type suspectRun struct {
	conn    *pooledConn
	started time.Time
}

// countLaterAnswer counts an answer on c for all connections whose running
// sub-requests were sent earlier, and closes those that then count as silent.
func (r *replica) countLaterAnswer(c *pooledConn, now time.Time, fx *effects) {
	for _, other := range r.pool.busy {
		if other.runStarted.Before(c.runStarted) {
			other.laterAnswers++
		}
	}
	r.detectSilentConns(now, fx)
}

// silenceTimeout returns the time without an answer to a running sub-request after
// which its connection may be silent.
func (r *replica) silenceTimeout() time.Duration {
	timings := &r.owner.options.Timings
	return max(timings.MinSilence, time.Duration(timings.SilenceP95Factor)*r.latency.p95)
}

// detectSilentConns looks for busy connections that passed silenceTimeout without
// an answer. It closes those for which enough sub-requests sent later were
// answered, starts or continues a silence check for the others, and sets a timer
// for connections that may pass silenceTimeout later.
func (r *replica) detectSilentConns(now time.Time, fx *effects) {
	if r.closed || r.removed {
		return
	}
	timeout := r.silenceTimeout()
	var next time.Time
	var suspects []suspectRun
	for _, c := range r.pool.busy {
		due := c.runStarted.Add(timeout)
		switch {
		case c.silent || c.mustFinish():
		case due.After(now):
			next = earliestNonZero(next, due)
		case c.laterAnswers >= r.owner.options.Timings.SilentAnswers:
			r.closeSilentConn(c, now, fx)
		default:
			suspects = append(suspects, suspectRun{conn: c, started: c.runStarted})
		}
	}
	if at := r.advanceSilenceCheck(suspects, timeout, now, fx); !at.IsZero() {
		next = earliestNonZero(next, at)
	}
	if !next.IsZero() {
		r.armSilenceTimer(next, now)
	}
}

// mustFinish reports whether a running sub-request is waited for and can't be
// sent again, or must not be ended for silence at all. A server that is only slow
// may still answer it, so that its connection stays open until its deadline.
func (c *pooledConn) mustFinish() bool {
	a := c.running
	if a == nil || a.state.Load() == stateReplied {
		return false
	}
	return !a.sub.Repeatable || c.replica.owner.options.KeepSilentRuns
}

// earliestNonZero returns the earlier of a and b, or b if a is zero.
func earliestNonZero(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// closeSilentConn closes a busy connection that went silent. Its sub-request ends
// as Unknown with wire.ReasonConnSilent.
func (r *replica) closeSilentConn(c *pooledConn, now time.Time, fx *effects) {
	c.silent = true
	r.owner.metrics.connsSilent.Inc(1)
	fx.log("connection silent", logFields(r, "unanswered", now.Sub(c.runStarted)))
	fx.close(c.conn)
}

// advanceSilenceCheck begins a check of the suspects or continues the check in
// progress. It returns when to call detectSilentConns again; the zero time means
// that no call is needed.
func (r *replica) advanceSilenceCheck(suspects []suspectRun, timeout time.Duration, now time.Time, fx *effects) time.Time {
	timings := &r.owner.options.Timings
	if check := r.pool.silenceCheck; check != nil {
		r.concludeSilenceCheck(now, fx)
		if r.pool.silenceCheck == nil {
			return now
		}
		end := check.startedAt.Add(silenceCheckProbeTimeouts * timings.ProbeTimeout)
		if check.settleAt.After(now) {
			end = earliestNonZero(end, check.settleAt)
		}
		return end
	}
	backoff := r.owner.BackoffOf(r.id)
	switch {
	case len(suspects) > 0 && backoff > 0:
		return now.Add(backoff) // the probes of a check would reach the replica
	case len(suspects) == 0 || !r.owned || r.health.draining():
		// A host that isn't the owner, or a draining replica, has at most one
		// connection, so that none is left to compare.
		return time.Time{}
	case r.pool.nextCheckAt.After(now):
		return r.pool.nextCheckAt
	}
	// The pause keeps a slow replica from being checked continuously.
	r.pool.nextCheckAt = now.Add(max(timeout, timings.ProbeTimeout))
	r.beginSilenceCheck(suspects, now)
	return now.Add(silenceCheckProbeTimeouts * timings.ProbeTimeout)
}

// beginSilenceCheck probes the idle connections and opens a fresh one if
// ownerConnLimit allows. Otherwise the connection that replaces a silent idle one
// serves as the fresh one.
func (r *replica) beginSilenceCheck(suspects []suspectRun, now time.Time) {
	check := &silenceCheck{startedAt: now, suspects: suspects}
	for _, s := range suspects {
		if s.conn.openedAt.After(check.lastOpenedAt) {
			check.lastOpenedAt = s.conn.openedAt
		}
	}
	r.pool.silenceCheck = check
	r.owner.metrics.silenceChecks.Inc(1)
	for c := range r.pool.reserved {
		c.silenceCheck = check
		check.pendingCount++
	}
	for len(r.pool.idle) > 0 {
		c := r.pool.takeLeastRecentlyUsed()
		c.silenceCheck = check
		check.pendingCount++
		r.pool.reserve(c, now)
		c.jobs <- job{}
	}
	r.openMissingConns(now)
}

// recordCallResult updates the silence check when a call on a connection that it
// waits for has ended.
func (r *replica) recordCallResult(c *pooledConn, ok bool, now time.Time, fx *effects) {
	check, unanswered := c.silenceCheck, c.unanswered
	c.silenceCheck, c.unanswered = nil, false
	if check == nil || check != r.pool.silenceCheck {
		return
	}
	check.pendingCount--
	switch {
	case ok && c.openedAt.After(check.lastOpenedAt):
		// It may have been opened after the suspects went silent, so its answer
		// says nothing about them. It counts as the fresh connection instead.
		check.setFreshStatus(c.reportedInFlight, check.startedAt, now)
	case ok:
		check.answeredCount++
	case unanswered:
		check.silentCount++
	}
	r.detectSilentConns(now, fx)
}

// recordNewConn updates the silence check with a connection whose dial started at
// dialStarted. A dial that took longer than Timings.ProbeTimeout proves nothing
// about the old connections.
func (r *replica) recordNewConn(status backend.Status, dialStarted, now time.Time, fx *effects) {
	check, took := r.pool.silenceCheck, now.Sub(dialStarted)
	if check == nil || dialStarted.Before(check.startedAt) || took > r.owner.options.Timings.ProbeTimeout {
		return
	}
	check.setFreshStatus(status.InFlight, dialStarted, now)
	r.detectSilentConns(now, fx)
}

// setFreshStatus records the number of running sub-requests that the first status
// call on a fresh connection reported. callStarted is at or before its start.
func (k *silenceCheck) setFreshStatus(inFlight uint32, callStarted, now time.Time) {
	if k.freshAnswered {
		return
	}
	k.freshAnswered = true
	k.freshInFlight = int(inFlight)
	// A reply sent just before the status call may still be in transit.
	k.settleAt = now.Add(now.Sub(callStarted))
}

// concludeSilenceCheck ends the check when its result is known or its time is
// over. If it is positive, the connections of the unanswered suspects are closed.
func (r *replica) concludeSilenceCheck(now time.Time, fx *effects) {
	check := r.pool.silenceCheck
	unanswered := check.unansweredSuspects()
	switch {
	case len(unanswered) == 0:
	case check.freshAnswered && (check.silentCount > 0 || r.serverLostRuns(check, len(unanswered), now)):
		r.owner.metrics.silenceChecksPositive.Inc(1)
		fx.log("silence check positive", log.Fields{
			"replica": string(r.id), "busy": len(unanswered), "idle": check.silentCount, "in_flight": check.freshInFlight,
		})
		for _, s := range unanswered {
			r.closeSilentConn(s.conn, now, fx)
		}
	case check.pendingCount == 0 && check.answeredCount > 0 && check.silentCount == 0:
	case now.Sub(check.startedAt) >= silenceCheckProbeTimeouts*r.owner.options.Timings.ProbeTimeout:
	default:
		return
	}
	r.pool.silenceCheck = nil
}

// serverLostRuns reports whether the server runs fewer sub-requests than wait for
// an answer. It returns false while a call on an old connection is pending, after
// one was answered, before settleAt, and for a server that doesn't report the
// number.
func (r *replica) serverLostRuns(check *silenceCheck, unanswered int, now time.Time) bool {
	return check.pendingCount == 0 && check.answeredCount == 0 && !now.Before(check.settleAt) &&
		r.health.reportsInFlight && check.freshInFlight < unanswered
}

// unansweredSuspects returns the suspects that still run.
func (k *silenceCheck) unansweredSuspects() []suspectRun {
	var out []suspectRun
	for _, s := range k.suspects {
		for _, c := range s.conn.replica.pool.busy {
			if c == s.conn && c.runStarted.Equal(s.started) && !c.silent && !c.mustFinish() {
				out = append(out, s)
			}
		}
	}
	return out
}

// armSilenceTimer sets the timer to the given time unless it fires earlier.
func (r *replica) armSilenceTimer(at, now time.Time) {
	if r.closed || r.removed || !r.pool.silenceTimerAt.IsZero() && !at.Before(r.pool.silenceTimerAt) {
		return
	}
	r.pool.silenceTimerAt = at
	if r.pool.silenceTimer == nil {
		r.pool.silenceTimer = time.AfterFunc(at.Sub(now), r.onSilenceTimer)
		return
	}
	r.pool.silenceTimer.Reset(at.Sub(now))
}

func (r *replica) onSilenceTimer() {
	var fx effects
	r.mu.Lock()
	r.pool.silenceTimerAt = time.Time{}
	r.detectSilentConns(time.Now(), &fx)
	r.mu.Unlock()
	fx.apply(r.owner)
}
