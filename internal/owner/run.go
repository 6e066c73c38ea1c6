package owner

import (
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/readlimit"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// maxUnsentRetries bounds the requeues of one attempt after connections that
// failed before a byte was written.
const maxUnsentRetries = 3

// run sends one attempt to the replica and replies to it. It returns false if the
// connection must be closed.
func (c *pooledConn) run(a *attempt) bool {
	r := c.replica
	now := time.Now()
	timeLeft := a.deadline.Sub(now)
	if timeLeft <= 0 || !a.transition(stateAssigned, stateSent) {
		r.finishSkippedRun(c, a)
		return true
	}
	c.batch[0] = a.sub
	c.batch[0].TimeLeft = timeLeft
	c.runCtx.begin(a.deadline.Add(r.owner.options.Timings.DeadlineGrace), now)
	if r.owner.options.Timings.CancelAfter > 0 && a.state.Load() == stateReplied {
		// The attempt was cancelled before begin set the deadline that shortenRun
		// would have moved.
		c.runCtx.shorten(now.Add(r.owner.options.Timings.CancelAfter), now)
	}
	replies, err := c.conn.Run(&c.runCtx, c.batch[:])
	timedOut := c.runCtx.end()
	c.batch[0] = wire.SubRequest{}
	if err == nil && (len(replies) != 1 || replies[0].ID != a.sub.ID) {
		err = &backend.LostError{Replica: r.id, Err: &MismatchError{Replies: len(replies)}}
	}
	if err != nil {
		replies = []wire.Reply{failedReply(a, err, timedOut)}
	}
	r.finishRun(c, a, replies, err, timedOut)
	return err == nil && !timedOut
}

// failedReply returns the reply for an error of Conn.Run. Only
// *backend.NotSentError proves that the sub-request did not run.
func failedReply(a *attempt, err error, timedOut bool) wire.Reply {
	if notSent(err) {
		return newLocalReply(a, wire.NotRun, wire.ReasonConnLost)
	}
	switch {
	case timedOut:
		return newLocalReply(a, wire.Unknown, wire.ReasonTimeout)
	case readlimit.Exceeded(err):
		return newLocalReply(a, wire.Unknown, wire.ReasonTooLarge)
	}
	return newLocalReply(a, wire.Unknown, wire.ReasonConnLost)
}

func notSent(err error) bool {
	var unsent *backend.NotSentError
	return errors.As(err, &unsent)
}

// finishSkippedRun frees the slot of an attempt that was cancelled or expired
// before it was passed to the connection.
func (r *replica) finishSkippedRun(c *pooledConn, a *attempt) {
	var fx effects
	now := time.Now()
	r.mu.Lock()
	r.inFlight--
	r.pool.removeBusy(c)
	r.pool.reserve(c, now)
	if a.transition(stateAssigned, stateReplied) {
		fx.refuse(a, wire.ReasonDeadlineExpired, r.load(now), r.health.held)
	} else {
		r.owner.index.remove(a.sub.ID)
		defer r.owner.endAttempts(1)
	}
	r.dispatch(now, &fx)
	r.mu.Unlock()
	fx.apply(r.owner)
}

// finishRun frees the slot, records the outcome and replies. The slot goes to the
// next attempt before the reply is delivered, so that the done callback delays no
// other sub-request.
func (r *replica) finishRun(c *pooledConn, a *attempt, replies []wire.Reply, err error, timedOut bool) {
	var fx effects
	reply := &replies[0]
	now := time.Now()
	r.mu.Lock()
	r.inFlight--
	r.pool.removeBusy(c)
	r.pool.reserve(c, now)
	if r.requeue(a, err, now) {
		r.dispatch(now, &fx)
		r.mu.Unlock()
		fx.apply(r.owner)
		return
	}
	if closedByServer(err) && !timedOut && !c.silent {
		r.noteLostRun(a, c.runStarted, now)
	}
	mustReply := a.transition(stateSent, stateReplied)
	if c.silent && reply.Outcome == wire.Unknown {
		reply.Reason = wire.ReasonConnSilent
	}
	// A cancelled run that timed out counts as a failure too, because the server
	// had Timings.CancelAfter to end it.
	r.recordOutcome(c, reply, err, mustReply || timedOut && err != nil, now, &fx)
	r.dispatch(now, &fx)
	reply.Load, reply.Held = r.load(now), r.health.held
	r.mu.Unlock()
	r.owner.index.remove(a.sub.ID)
	if reply.Outcome == wire.Answered {
		r.owner.options.Suspects.Answered(a.sub.Key)
	}
	fx.apply(r.owner)
	if mustReply {
		r.owner.metrics.count(reply.Outcome, reply.Reason)
		a.call.done(replies)
	}
	r.owner.endAttempts(1)
}

// requeue puts an attempt back into the queue if err proves that no byte of it was
// written. It did not run, so a non-repeatable one may be sent again too. It
// returns false if the attempt ends with err.
func (r *replica) requeue(a *attempt, err error, now time.Time) bool {
	if err == nil || !notSent(err) {
		return false
	}
	if a.unsentRetries >= maxUnsentRetries || !a.deadline.After(now) || r.removed || r.closed || r.health.draining() ||
		r.dataCentre.evacuated.Load() || r.owner.BackoffOf(r.id) > 0 {
		return false
	}
	if !a.transition(stateSent, stateQueued) {
		return false
	}
	a.unsentRetries++
	r.owner.metrics.unsentRetries.Inc(1)
	r.queue.push(a)
	return true
}
