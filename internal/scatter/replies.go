package scatter

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// receive is the callback for Sender.Send. It may be called concurrently, and
// before Send returns.
func (q *query) receive(replies []wire.Reply) {
	if len(replies) == 0 {
		return
	}
	q.inbox.Lock()
	closed := q.inbox.closed
	if !closed {
		q.inbox.replies = append(q.inbox.replies, replies...)
	}
	q.inbox.Unlock()
	if closed {
		q.receiveLate(replies)
		return
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// receiveLate drops replies that arrive after the end of the query, but records
// the state of the replicas that they report.
func (q *query) receiveLate(replies []wire.Reply) {
	now := time.Now()
	q.engine.metrics.late.Inc(int64(len(replies)))
	for i := range replies {
		q.observeDropped(now, &replies[i])
	}
}

// observeDropped records what a reply that the query doesn't use reports about its
// replica.
func (q *query) observeDropped(now time.Time, reply *wire.Reply) {
	if reply.Outcome == wire.NotRun && reply.Reason == wire.ReasonCancelled {
		q.engine.metrics.cancelledBeforeRun.Inc(1)
	}
	r := q.table.byID[reply.Replica]
	if r == nil {
		return
	}
	r.observe(now, reply.Held, reply.Load)
	if reply.Outcome != wire.Answered && isConnectionLoss(reply.Reason) {
		// The attempt was cancelled, for example because its hedge was faster, so
		// the failure hasn't been counted yet.
		r.addPenalty(now)
	}
}

// isConnectionLoss reports whether a reason means that the connection to the
// replica or its owner failed, as opposed to a replica that is slow or refuses.
func isConnectionLoss(reason wire.Reason) bool {
	switch reason {
	case wire.ReasonPeerLost, wire.ReasonConnLost, wire.ReasonConnSilent, wire.ReasonConnRefused:
		return true
	default:
		return false
	}
}

// processInbox processes all replies in the inbox. Those that belong to no
// outstanding attempt are dropped.
func (q *query) processInbox() {
	q.inbox.Lock()
	replies := q.inbox.replies
	q.inbox.replies = nil
	q.inbox.Unlock()
	if len(replies) == 0 {
		return
	}
	now := time.Now()
	q.service.lastReplyNanos.Store(now.UnixNano())
	for i := range replies {
		reply := &replies[i]
		a := q.outstandingAttempt(reply.ID)
		if a == nil || reply.Replica != a.replica.id {
			q.work.Dropped++
			q.observeDropped(now, reply)
			continue
		}
		a.ended = true
		q.parts[a.partIndex].outstanding--
		q.parts[a.partIndex].running &^= a.replica.bit()
		a.replica.observe(now, reply.Held, reply.Load)
		q.processReply(a, reply, now)
	}
}

// processReply handles the reply to an attempt that was outstanding until now, and
// retries its part where necessary.
func (q *query) processReply(a *attempt, reply *wire.Reply, now time.Time) {
	q.loadSignals.MaxQueueWait = max(q.loadSignals.MaxQueueWait, reply.Load.QueueWait)
	p := &q.parts[a.partIndex]
	if reply.Leaving {
		q.leaving = append(q.leaving, reply.Replica)
	}
	if reply.Outcome == wire.Unknown && reply.Reason == wire.ReasonConnLost {
		p.lostOn |= a.replica.bit()
		q.noteLost(now)
	}
	if reply.Outcome == wire.Answered {
		q.noteAnswer(now)
		p.mayHaveRunOn |= a.replica.bit()
		q.latency.record(now.Sub(a.sentAt))
		if q.acceptReply(p, a, reply) {
			q.completePart(a.partIndex, now)
			return
		}
	} else {
		q.processFailure(p, a, reply, now)
	}
	if p.ended || p.outstanding > 0 {
		return
	}
	if !q.repeatable && reply.Outcome != wire.NotRun {
		p.mayResend = false
		q.abandonPart(p, now)
		return
	}
	q.retry(int(a.partIndex), now)
}

// acceptReply adds an answer to its part and reports whether the part is complete.
// A reply for another snapshot is dropped. One that covers only some of the
// ledgers counts as if the replica no longer held the whole range.
func (q *query) acceptReply(p *part, a *attempt, reply *wire.Reply) bool {
	if p.ended {
		return false
	}
	if reply.Snapshot == 0 || q.snapshot != 0 && reply.Snapshot != q.snapshot {
		q.work.Dropped++
		p.reason = wire.ReasonSnapshotMismatch
		if a.unpinned {
			// The replica may also hold the snapshot that was pinned after this
			// attempt was sent, so it may be tried again.
			p.tried &^= a.replica.bit()
		}
		return false
	}
	if added := p.accept(reply.Range, reply.Rows); added > 0 {
		q.snapshot = reply.Snapshot
		q.covered += added
	}
	if p.covered.Len() == p.needed.Len() {
		return true
	}
	p.reason = wire.ReasonRepartitioned
	p.notHeldCount++
	return false
}

// completePart ends a part that is fully covered and cancels its other attempts.
func (q *query) completePart(index int32, now time.Time) {
	q.endPart(&q.parts[index], now)
	if q.parts[index].outstanding > 0 && q.repeatable {
		q.cancelPart(index, now)
	}
}

// processFailure records a reply without an answer.
func (q *query) processFailure(p *part, a *attempt, reply *wire.Reply, now time.Time) {
	reason := reply.Reason
	if a.usedToken && reply.Outcome == wire.NotRun && reason != wire.ReasonShed {
		// The owner didn't send the sub-request on, so it caused no load on a
		// replica.
		p.shard.budget.refund()
	}
	switch bit := a.replica.bit(); {
	case reply.Outcome != wire.NotRun:
		p.mayHaveRunOn |= bit
	case (p.running|p.mayHaveRunOn)&bit == 0:
		// No attempt on this replica runs or may have run, so it doesn't count
		// towards MaxAttempts.
		p.reached &^= bit
	}
	if reply.Outcome == wire.Unknown {
		q.mayHaveRun = true
		if reason == wire.ReasonNone {
			reason = wire.ReasonServerError
		}
	}
	p.reason = reason
	p.connectionLost = p.connectionLost || isConnectionLoss(reason)
	if q.failures == nil {
		q.failures = map[wire.Reason]int{}
	}
	q.failures[reason]++
	switch reason {
	case wire.ReasonSnapshotNotHeld, wire.ReasonRepartitioned:
		p.notHeldCount++
	case wire.ReasonShed:
		q.loadSignals.Refused = true
		if q.table.config.ExtraPerShard {
			// The budget of a shard is small, so retries should go to replicas
			// that have not refused.
			a.replica.addPenalty(now)
		}
	case wire.ReasonQueueFull, wire.ReasonRateLimited, wire.ReasonBackoff, wire.ReasonDeadlineTooShort, wire.ReasonDeadlineExpired:
		q.loadSignals.Refused = true
	case wire.ReasonDraining, wire.ReasonEvacuated, wire.ReasonCancelled:
	default:
		a.replica.addPenalty(now)
	}
}
