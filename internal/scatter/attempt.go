package scatter

import (
	"math/bits"
	"slices"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// shortestTry is the least time left with which a sub-request is sent.
	shortestTry = time.Millisecond
	// refusedRounds is how often all replicas of a shard may refuse before a
	// query is given up of which nothing was answered.
	refusedRounds = 4
	// maxPauseDoublings bounds the pause between two rounds.
	maxPauseDoublings = 3
	// budgetPause is the time after which a retry asks the budget again.
	budgetPause = 10 * time.Millisecond
)

// attempt is one sub-request that was sent. Its SubID ends with it.
type attempt struct {
	part     int32
	ended    bool
	unpinned bool // sent without a snapshot
	paid     bool // a token of the budget was taken for it
	replica  *replica
	sentAt   time.Time
}

// sendFirst sends one sub-request per part in one batch.
func (q *query) sendFirst() {
	now := time.Now()
	left := q.deadline.Sub(now)
	n := len(q.parts)
	subs := make([]wire.Sub, 0, n)
	q.base = q.engine.seq.Add(uint64(n)) - uint64(n) + 1
	q.firsts = make([]attempt, n)
	hedgeAt := now.Add(q.hedgeDelay(now))
	for i := range q.parts {
		p := &q.parts[i]
		// After a restart, attempts before it count as well.
		r := q.pick(p, p.tried|q.beyondAttempts(p), now)
		if r == nil || left < shortestTry {
			q.firsts[i].ended = true
			q.noReplica(p, now)
			continue
		}
		q.firsts[i] = attempt{part: int32(i), replica: r, sentAt: now, unpinned: q.snapshot == 0}
		subs = append(subs, q.begin(p, r, q.base+uint64(i), now))
		if q.repeatable {
			p.nextAt = hedgeAt
		}
	}
	q.work.FirstTries += len(subs)
	if q.repeatable {
		q.wakeBy(hedgeAt)
	}
	if len(subs) > 0 {
		q.engine.options.Sender.Send(subs, q.receive)
	}
}

// begin records that a sub-request of a part goes to a replica.
func (q *query) begin(p *part, r *replica, seq uint64, now time.Time) wire.Sub {
	p.outstanding++
	p.reached |= r.bit()
	p.tried |= r.bit()
	p.running |= r.bit()
	r.chosen(now)
	return wire.Sub{
		ID:         wire.SubID{Host: q.engine.options.Incarnation, Seq: seq},
		Query:      q.id,
		Service:    q.request.Service,
		Search:     q.request.Search,
		Shard:      p.shard.config.ID,
		Replica:    r.id,
		Range:      p.remaining(),
		Snapshot:   q.snapshot,
		TimeLeft:   q.attemptTime(now),
		Repeatable: q.repeatable,
		Payload:    q.request.Payload,
	}
}

// attemptTime returns the time that an attempt has. An answer that other parts
// can make without it is sent at the latency goal, so the replica stops then.
func (q *query) attemptTime(now time.Time) time.Duration {
	if q.repeatable && len(q.parts) > 1 && now.Before(q.goalAt) {
		return q.goalAt.Sub(now)
	}
	return q.deadline.Sub(now)
}

// lookup returns the attempt with an id if it hasn't ended.
func (q *query) lookup(id wire.SubID) *attempt {
	if id.Host != q.engine.options.Incarnation {
		return nil
	}
	var a *attempt
	if i := id.Seq - q.base; i < uint64(len(q.firsts)) {
		a = &q.firsts[i]
	} else {
		a = q.extras[id.Seq]
	}
	if a == nil || a.ended {
		return nil
	}
	return a
}

// act sends the hedges and retries that are due.
func (q *query) act(now time.Time) {
	if q.wakeAt.IsZero() || now.Before(q.wakeAt) {
		return
	}
	q.wakeAt = time.Time{}
	for i := range q.parts {
		p := &q.parts[i]
		switch {
		case p.ended || p.nextAt.IsZero():
		case now.Before(p.nextAt):
			q.wakeBy(p.nextAt)
		case p.outstanding > 0:
			p.nextAt = time.Time{}
			q.hedge(i, now)
		default:
			p.nextAt = time.Time{}
			q.retry(i, now)
		}
	}
}

// hedge duplicates an unanswered sub-request on another replica. One that
// refused before may have room by now, so only the running attempts exclude
// theirs.
func (q *query) hedge(i int, now time.Time) {
	p := &q.parts[i]
	if !q.repeatable || q.deadline.Sub(now) < shortestTry {
		return
	}
	q.schedule(p, now.Add(q.hedgeDelay(now)))
	r := q.pick(p, p.running|q.beyondAttempts(p), now)
	if r == nil {
		return
	}
	if !p.shard.budget.take() {
		q.work.BudgetRefused++
		return
	}
	q.work.Hedges++
	q.extra(i, r, now)
}

// retry sends the part of an ended attempt to another replica.
func (q *query) retry(i int, now time.Time) {
	p := &q.parts[i]
	if !p.resend || q.deadline.Sub(now) < shortestTry {
		q.giveUp(p, now)
		return
	}
	r := q.pick(p, p.tried|q.beyondAttempts(p), now)
	if r == nil {
		q.noReplica(p, now)
		return
	}
	if !q.mayRetry(p) {
		q.work.BudgetRefused++
		q.schedule(p, now.Add(budgetPause))
		return
	}
	q.work.Retries++
	if q.repeatable {
		q.schedule(p, now.Add(q.hedgeDelay(now)))
	}
	q.extra(i, r, now)
}

// mayRetry takes a retry from the budget. The first retry of a part after a
// broken connection is free of a service-wide budget: the budget guards against load that feeds on slow
// replicas, and a broken connection ends at most the work outstanding on it,
// while waiting for tokens would leave shards out although a replica lives.
func (q *query) mayRetry(p *part) bool {
	if p.lost && !p.lossRetried && !q.table.config.ExtraPerShard {
		p.lossRetried = true
		return true
	}
	return p.shard.budget.take()
}

// beyondAttempts returns the replicas that a part may not be sent to any more,
// because it may have run on as many others as the search allows.
func (q *query) beyondAttempts(p *part) uint64 {
	if q.search.MaxAttempts == 0 || bits.OnesCount64(p.reached) < int(q.search.MaxAttempts) {
		return 0
	}
	return ^p.reached
}

// extra adds a hedge or a retry to the outbox.
func (q *query) extra(i int, r *replica, now time.Time) {
	seq := q.engine.seq.Add(1)
	if q.extras == nil {
		q.extras = map[uint64]*attempt{}
	}
	q.extras[seq] = &attempt{part: int32(i), replica: r, sentAt: now, unpinned: q.snapshot == 0, paid: true}
	q.outbox = append(q.outbox, q.begin(&q.parts[i], r, seq, now))
}

func (q *query) schedule(p *part, at time.Time) {
	p.nextAt = at
	q.wakeBy(at)
}

// noReplica handles a part for which no untried replica is usable and nothing
// is outstanding: restart, another round after a pause, or give up.
func (q *query) noReplica(p *part, now time.Time) {
	if p.tried == 0 {
		p.reason = q.whyNone(p, now)
	}
	if (p.isGone() || p.tried == 0) && q.mayRestart(now) {
		p.stuck, q.restartDue = true, true
		return
	}
	q.nextRound(p, now)
}

// isGone reports whether a replica said that it no longer holds the snapshot
// or the range; trying the same ones again is useless.
func (p *part) isGone() bool { return p.gone > 0 || p.reason == wire.ReasonSnapshotGone }

// nextRound tries all replicas of a part again after a pause. If other parts
// were answered, this goes on until the deadline, because one shard would
// spoil the whole answer.
func (q *query) nextRound(p *part, now time.Time) {
	p.rounds++
	pause := q.engine.options.RetryBackoff << min(p.rounds-1, maxPauseDoublings)
	hopeless := p.rounds >= refusedRounds && !q.answered
	if p.isGone() || !p.resend || hopeless || now.Add(pause+shortestTry).After(q.deadline) {
		q.giveUp(p, now)
		return
	}
	p.tried = 0
	q.schedule(p, now.Add(pause))
}

// whyNone tells why none of a part's replicas was usable.
func (q *query) whyNone(p *part, now time.Time) wire.Reason {
	if q.engine.options.Outlook != nil && !slices.ContainsFunc(p.shard.replicas, q.usable) {
		return wire.ReasonNoReplica
	}
	for _, r := range p.shard.replicas {
		if _, known := r.heldRange(now); known {
			return wire.ReasonSnapshotGone
		}
	}
	return wire.ReasonNoReplica
}

// giveUp leaves a part out of the answer.
func (q *query) giveUp(p *part, now time.Time) {
	if p.ended {
		return
	}
	q.end(p, now)
	q.lost += p.need.Len() - p.got.Len()
}

func (q *query) end(p *part, now time.Time) {
	p.ended, p.doneAt, p.nextAt = true, now, time.Time{}
	q.open--
}

// cancelPart withdraws the outstanding attempts of a part. They may have run.
func (q *query) cancelPart(index int32, now time.Time) {
	q.mayRun = true
	q.cancelAttempt(index, q.base+uint64(index), &q.firsts[index], now)
	if q.parts[index].outstanding == 0 {
		return
	}
	for seq, a := range q.extras {
		q.cancelAttempt(index, seq, a, now)
	}
}

func (q *query) cancelAttempt(index int32, seq uint64, a *attempt, now time.Time) {
	if a.part != index || a.ended {
		return
	}
	a.ended = true
	// The latency is at least this; leaving it out would favour fast replies.
	q.latency.record(now.Sub(a.sentAt))
	if !now.Before(q.deadline) {
		a.replica.fail(now)
	}
	q.cancels = append(q.cancels, wire.SubID{Host: q.engine.options.Incarnation, Seq: seq})
	q.work.Cancelled++
	q.parts[index].outstanding--
	q.parts[index].running &^= a.replica.bit()
	q.parts[index].spent |= a.replica.bit()
}

// cancelOutstanding withdraws all attempts. Before the time at which a query
// stops waiting, it does so because the query has ended or restarts, not
// because they were too slow.
func (q *query) cancelOutstanding(now time.Time) {
	reason := wire.ReasonTimeout
	if now.Before(q.goalAt) {
		reason = wire.ReasonCancelled
	}
	for i := range q.parts {
		if p := &q.parts[i]; p.outstanding > 0 {
			p.reason = reason
			q.cancelPart(int32(i), now)
		}
	}
}

// flush hands hedges, retries and cancels to the Sender.
func (q *query) flush() {
	if subs := q.outbox; len(subs) > 0 {
		q.outbox = nil
		q.engine.options.Sender.Send(subs, q.receive)
	}
	if ids := q.cancels; len(ids) > 0 {
		q.cancels = nil
		q.engine.options.Sender.Cancel(ids)
	}
}
