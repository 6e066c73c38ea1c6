package scatter

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// receive is the callback of the Sender; it may run concurrently with itself
// and within Send.
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

// receiveLate drops replies after the end of the query; what they say of the
// replicas is kept.
func (q *query) receiveLate(replies []wire.Reply) {
	now := time.Now()
	q.engine.metrics.late.Inc(int64(len(replies)))
	for i := range replies {
		q.observeDropped(now, &replies[i])
	}
}

func (q *query) observeDropped(now time.Time, reply *wire.Reply) {
	if reply.Outcome == wire.NotRun && reply.Reason == wire.ReasonCancelled {
		q.engine.metrics.saved.Inc(1)
	}
	r := q.table.byID[reply.Replica]
	if r == nil {
		return
	}
	r.observe(now, reply.Held, reply.Load)
	if reply.Outcome != wire.Answered && isLoss(reply.Reason) {
		// Its attempt lost against a hedge, which hid the failure so far.
		r.fail(now)
	}
}

// isLoss reports whether a reason means that the way to the replica broke, as
// opposed to a replica that is slow or refuses.
func isLoss(reason wire.Reason) bool {
	switch reason {
	case wire.ReasonPeerLost, wire.ReasonConnLost, wire.ReasonConnSilent, wire.ReasonConnRefused:
		return true
	default:
		return false
	}
}

// takeReplies processes the inbox.
func (q *query) takeReplies() {
	q.inbox.Lock()
	replies := q.inbox.replies
	q.inbox.replies = nil
	q.inbox.Unlock()
	if len(replies) == 0 {
		return
	}
	now := time.Now()
	q.service.lastReply.Store(now.UnixNano())
	for i := range replies {
		reply := &replies[i]
		a := q.lookup(reply.ID)
		if a == nil || reply.Replica != a.replica.id {
			q.work.Dropped++
			q.observeDropped(now, reply)
			continue
		}
		a.ended = true
		q.parts[a.part].outstanding--
		q.parts[a.part].running &^= a.replica.bit()
		a.replica.observe(now, reply.Held, reply.Load)
		q.process(a, reply, now)
	}
}

// process takes the one reply of an attempt.
func (q *query) process(a *attempt, reply *wire.Reply, now time.Time) {
	q.seen.Wait = max(q.seen.Wait, reply.Load.Wait)
	p := &q.parts[a.part]
	if reply.Outcome == wire.Answered {
		q.answered = true
		p.spent |= a.replica.bit()
		q.latency.record(now.Sub(a.sentAt))
		if q.take(p, a, reply) {
			q.complete(a.part, now)
			return
		}
	} else {
		q.refused(p, a, reply, now)
	}
	if p.ended || p.outstanding > 0 {
		return
	}
	if !q.repeatable && reply.Outcome != wire.NotRun {
		p.resend = false
		q.giveUp(p, now)
		return
	}
	q.retry(int(a.part), now)
}

// take accepts an answered reply and reports whether its part is complete.
func (q *query) take(p *part, a *attempt, reply *wire.Reply) bool {
	if p.ended {
		return false
	}
	if reply.Snapshot == 0 || q.snapshot != 0 && reply.Snapshot != q.snapshot {
		q.work.Dropped++
		p.reason = wire.ReasonSnapshotChanged
		if a.unpinned {
			// The same replica may well hold the snapshot that was pinned since.
			p.tried &^= a.replica.bit()
		}
		return false
	}
	if added := p.accept(reply.Range, reply.Rows); added > 0 {
		q.snapshot = reply.Snapshot
		q.covered += added
	}
	if p.got.Len() == p.need.Len() {
		return true
	}
	p.reason = wire.ReasonRepartitioned
	p.gone++
	return false
}

// complete ends a part that is covered and cancels its other attempts.
func (q *query) complete(index int32, now time.Time) {
	q.end(&q.parts[index], now)
	if q.parts[index].outstanding > 0 && q.repeatable {
		q.cancelPart(index, now)
	}
}

// refused takes a reply without an answer.
func (q *query) refused(p *part, a *attempt, reply *wire.Reply, now time.Time) {
	reason := reply.Reason
	if a.paid && reply.Outcome == wire.NotRun && reason != wire.ReasonShed {
		// The owner kept it back: it reached no replica.
		p.shard.budget.refund()
	}
	switch bit := a.replica.bit(); {
	case reply.Outcome != wire.NotRun:
		p.spent |= bit
	case (p.running|p.spent)&bit == 0:
		// An earlier attempt on the same replica may have run.
		p.reached &^= bit
	}
	if reply.Outcome == wire.Unknown {
		q.mayRun = true
		if reason == wire.ReasonNone {
			reason = wire.ReasonServerError
		}
	}
	p.reason = reason
	p.lost = p.lost || isLoss(reason)
	if q.refusals == nil {
		q.refusals = map[wire.Reason]int{}
	}
	q.refusals[reason]++
	switch reason {
	case wire.ReasonSnapshotGone, wire.ReasonRepartitioned:
		p.gone++
	case wire.ReasonShed:
		q.seen.Refused = true
		if q.table.config.ExtraPerShard {
			// A retry costs budget here, so the other replicas come first.
			a.replica.fail(now)
		}
	case wire.ReasonQueueFull, wire.ReasonDeadlineShort, wire.ReasonExpired:
		q.seen.Refused = true
	case wire.ReasonDraining, wire.ReasonCancelled:
	default:
		a.replica.fail(now)
	}
}
