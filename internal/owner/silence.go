package owner

import (
	"time"

	"github.com/apex/log"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
)

// silenceCheckLimit bounds a check, in probe timeouts: one for the probes of
// the old connections and one for a connection opened in place of a silent one.
const silenceCheckLimit = 2

// silenceCheck compares a fresh connection of a replica with the old ones, to
// tell a server that lost its connections from one that is slow.
type silenceCheck struct {
	begun    time.Time
	suspects []suspect // connections with an overdue sub-request
	youngest time.Time // the last of their connections was opened

	old      int // old connections whose call is awaited
	answered int // old connections that answered
	silent   int // old connections that didn't

	fresh    bool // a connection opened after youngest answered a status call
	inFlight int  // that the fresh connection's status stated
	settleAt time.Time
}

// suspect is one run on a connection.
type suspect struct {
	conn    *pooled
	started time.Time
}

// suspectSilent counts an answer on c against the connections whose
// sub-requests were sent earlier, and closes those that count as silent.
func (r *replica) suspectSilent(c *pooled, now time.Time, fx *effects) {
	for _, other := range r.pool.busy {
		if other.started.Before(c.started) {
			other.later++
		}
	}
	r.closeSilent(now, fx)
}

func (r *replica) silentAfter() time.Duration {
	timings := &r.owner.options.Timings
	return max(timings.SilentAfter, time.Duration(timings.SilentFactor)*r.latency.p95)
}

// closeSilent closes the connections that are overdue while later answers
// arrived, has the other overdue ones checked, and sets a timer for the rest.
func (r *replica) closeSilent(now time.Time, fx *effects) {
	if r.closed || r.vanished {
		return
	}
	limit := r.silentAfter()
	var next time.Time
	var overdue []suspect
	for _, c := range r.pool.busy {
		due := c.started.Add(limit)
		switch {
		case c.silent:
		case due.After(now):
			next = earlier(next, due)
		case c.later >= r.owner.options.Timings.SilentAnswers:
			r.giveUp(c, now, fx)
		default:
			overdue = append(overdue, suspect{conn: c, started: c.started})
		}
	}
	if at := r.advanceCheck(overdue, limit, now, fx); !at.IsZero() {
		next = earlier(next, at)
	}
	if !next.IsZero() {
		r.armSilent(next, now)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// giveUp closes a busy connection that went silent. Its sub-request ends as
// Unknown.
func (r *replica) giveUp(c *pooled, now time.Time, fx *effects) {
	c.silent = true
	r.owner.metrics.silent.Inc(1)
	fx.log("connection silent", fields(r, "unanswered", now.Sub(c.started)))
	fx.close(c.conn)
}

// advanceCheck begins a check of the overdue connections or goes on with the
// present one. It returns when to look again; zero means never.
func (r *replica) advanceCheck(overdue []suspect, limit time.Duration, now time.Time, fx *effects) time.Time {
	timings := &r.owner.options.Timings
	if check := r.pool.check; check != nil {
		r.concludeCheck(now, fx)
		if r.pool.check == nil {
			return now
		}
		end := check.begun.Add(silenceCheckLimit * timings.ProbeTimeout)
		if check.settleAt.After(now) {
			end = earlier(end, check.settleAt)
		}
		return end
	}
	switch {
	case len(overdue) == 0 || !r.owned || r.health.draining():
		// A host that isn't the owner may hold only one connection.
		return time.Time{}
	case r.pool.checkAfter.After(now):
		return r.pool.checkAfter
	}
	// The pause keeps a slow replica from being checked without end.
	r.pool.checkAfter = now.Add(max(limit, timings.ProbeTimeout))
	r.beginCheck(overdue, now)
	return now.Add(silenceCheckLimit * timings.ProbeTimeout)
}

// beginCheck probes the idle connections and opens a fresh one if the share of
// the connection limit allows. Otherwise the replacement of a silent idle
// connection is the fresh one.
func (r *replica) beginCheck(overdue []suspect, now time.Time) {
	check := &silenceCheck{begun: now, suspects: overdue}
	for _, s := range overdue {
		if s.conn.openedAt.After(check.youngest) {
			check.youngest = s.conn.openedAt
		}
	}
	r.pool.check = check
	r.owner.metrics.checks.Inc(1)
	for c := range r.pool.other {
		c.check = check
		check.old++
	}
	for len(r.pool.idle) > 0 {
		c := r.pool.takeOldest()
		c.check = check
		check.old++
		r.pool.divert(c, now)
		c.jobs <- job{}
	}
	r.fill(now)
}

// checkOld takes in the end of a call on an old connection.
func (r *replica) checkOld(c *pooled, ok bool, now time.Time, fx *effects) {
	check, unanswered := c.check, c.unanswered
	c.check, c.unanswered = nil, false
	if check == nil || check != r.pool.check {
		return
	}
	check.old--
	switch {
	case ok && c.openedAt.After(check.youngest):
		// It may have been opened after the others went silent, so that its
		// answer says nothing about them.
		check.setFresh(c.inFlight, check.begun, now)
	case ok:
		check.answered++
	case unanswered:
		check.silent++
	}
	r.closeSilent(now, fx)
}

// checkFresh takes in a connection opened since begun. One that is as slow as
// the probe timeout proves nothing about the old ones.
func (r *replica) checkFresh(status backend.Status, begun, now time.Time, fx *effects) {
	check, took := r.pool.check, now.Sub(begun)
	if check == nil || begun.Before(check.begun) || took > r.owner.options.Timings.ProbeTimeout {
		return
	}
	check.setFresh(status.InFlight, begun, now)
	r.closeSilent(now, fx)
}

// setFresh notes the number of running sub-requests that a status call stated
// on a fresh connection.
func (k *silenceCheck) setFresh(inFlight uint32, begun, now time.Time) {
	if k.fresh {
		return
	}
	k.fresh = true
	k.inFlight = int(inFlight)
	// A reply sent just before the status call may still be on its way.
	k.settleAt = now.Add(now.Sub(begun))
}

// concludeCheck ends the check when its result is known or its time is over.
func (r *replica) concludeCheck(now time.Time, fx *effects) {
	check := r.pool.check
	waiting := check.waiting()
	switch {
	case len(waiting) == 0:
	case check.fresh && (check.silent > 0 || r.lostCount(check, len(waiting), now)):
		r.owner.metrics.checkHit.Inc(1)
		fx.log("silence check positive", log.Fields{
			"replica": string(r.id), "busy": len(waiting), "idle": check.silent, "in_flight": check.inFlight,
		})
		for _, s := range waiting {
			r.giveUp(s.conn, now, fx)
		}
	case check.old == 0 && check.answered > 0 && check.silent == 0:
	case now.Sub(check.begun) >= silenceCheckLimit*r.owner.options.Timings.ProbeTimeout:
	default:
		return
	}
	r.pool.check = nil
}

// lostCount reports whether the server runs fewer sub-requests than wait for
// an answer while no old connection can tell more.
func (r *replica) lostCount(check *silenceCheck, waiting int, now time.Time) bool {
	return check.old == 0 && check.answered == 0 && !now.Before(check.settleAt) &&
		r.health.statesInFlight && check.inFlight < waiting
}

// waiting returns the suspects that still have no answer.
func (k *silenceCheck) waiting() []suspect {
	var out []suspect
	for _, s := range k.suspects {
		for _, c := range s.conn.replica.pool.busy {
			if c == s.conn && c.started.Equal(s.started) && !c.silent {
				out = append(out, s)
			}
		}
	}
	return out
}

// armSilent sets the timer unless it fires early enough.
func (r *replica) armSilent(at, now time.Time) {
	if r.closed || r.vanished || !r.pool.silentAt.IsZero() && !at.Before(r.pool.silentAt) {
		return
	}
	r.pool.silentAt = at
	if r.pool.silentTimer == nil {
		r.pool.silentTimer = time.AfterFunc(at.Sub(now), r.silentDue)
		return
	}
	r.pool.silentTimer.Reset(at.Sub(now))
}

func (r *replica) silentDue() {
	var fx effects
	r.mu.Lock()
	r.pool.silentAt = time.Time{}
	r.closeSilent(time.Now(), &fx)
	r.mu.Unlock()
	fx.apply(r.owner)
}
