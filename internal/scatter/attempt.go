package scatter

import (
	"math/bits"
	"slices"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// minAttemptTime is the least remaining time with which a sub-request is
	// sent.
	minAttemptTime = time.Millisecond
	// maxUnansweredRounds is the number of rounds over all replicas of a shard
	// after which the part is abandoned if no part of the query was answered.
	maxUnansweredRounds = 4
	// maxPauseDoublings bounds the pause between two rounds, which doubles from
	// RetryBackoff on.
	maxPauseDoublings = 3
	// budgetRetryInterval is the time after which a retry that the budget did not
	// allow is attempted again.
	budgetRetryInterval = 10 * time.Millisecond
)

// attempt is one sub-request that was sent. No other attempt has its SubRequestID.
type attempt struct {
	partIndex int32
	ended     bool // replied or cancelled
	unpinned  bool // sent without a snapshot
	usedToken bool // took a token of the budget
	replica   *replicaState
	sentAt    time.Time
}

// sendFirstTries sends one sub-request per part, all in one batch unless a trial holds
// them back.
func (q *query) sendFirstTries() {
	now := time.Now()
	left := q.deadline.Sub(now)
	n := len(q.parts)
	subs := make([]wire.SubRequest, 0, n)
	q.firstSeq = q.engine.lastSeq.Add(uint64(n)) - uint64(n) + 1
	q.firstTries = make([]attempt, n)
	for i := range q.firstTries {
		q.firstTries[i].ended = true
	}
	switch {
	case q.holdsBack():
		q.holdBackFirstTries(now)
		return
	case q.request.MaxAttempts > 0:
		q.scheduleAll(now) // as retries, within the budget
		return
	}
	hedgeAt := now.Add(q.hedgeDelay(now))
	for i := range q.parts {
		p := &q.parts[i]
		// Attempts before a restart count towards MaxAttempts as well.
		r := q.selectReplica(p, p.tried|q.excludedByMaxAttempts(p), now)
		if r == nil || left < minAttemptTime {
			q.handleNoReplica(p, now)
			continue
		}
		q.firstTries[i] = attempt{partIndex: int32(i), replica: r, sentAt: now, unpinned: q.snapshot == 0}
		subs = append(subs, q.beginAttempt(p, r, q.firstSeq+uint64(i), now))
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

// scheduleAll schedules all parts.
func (q *query) scheduleAll(at time.Time) {
	for i := range q.parts {
		q.schedule(&q.parts[i], at)
	}
}

// beginAttempt records an attempt of a part on a replica and returns the
// sub-request to send.
func (q *query) beginAttempt(p *part, r *replicaState, seq uint64, now time.Time) wire.SubRequest {
	p.outstanding++
	p.reached |= r.bit()
	p.tried |= r.bit()
	p.running |= r.bit()
	r.countSent(now)
	return wire.SubRequest{
		ID:         wire.SubRequestID{Host: q.engine.options.Incarnation, Seq: seq},
		Query:      q.id,
		Service:    q.request.Service,
		Search:     q.request.Search,
		Shard:      p.shard.config.ID,
		Replica:    r.id,
		Range:      p.remaining(),
		Snapshot:   q.snapshot,
		TimeLeft:   q.attemptTimeLeft(now),
		Repeatable: q.repeatable,
		Payload:    q.request.Payload,
		Key:        q.request.Key,
	}
}

// attemptTimeLeft returns the time limit of an attempt that is sent now. If the
// query may be answered at the latency goal without this part, the replica needs
// to work no longer than that.
func (q *query) attemptTimeLeft(now time.Time) time.Duration {
	if q.repeatable && len(q.parts) > 1 && now.Before(q.latencyGoalAt) {
		return q.latencyGoalAt.Sub(now)
	}
	return q.deadline.Sub(now)
}

// outstandingAttempt returns the attempt with the given id, or nil if there is
// none or it has ended.
func (q *query) outstandingAttempt(id wire.SubRequestID) *attempt {
	if id.Host != q.engine.options.Incarnation {
		return nil
	}
	var a *attempt
	if i := id.Seq - q.firstSeq; i < uint64(len(q.firstTries)) {
		a = &q.firstTries[i]
	} else {
		a = q.extraAttempts[id.Seq]
	}
	if a == nil || a.ended {
		return nil
	}
	return a
}

// sendDue queues the hedges and retries that are due.
func (q *query) sendDue(now time.Time) {
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

// hedge duplicates an unanswered sub-request on another replica. Only replicas
// with a running attempt are excluded, because one that refused before may have a
// free slot by now.
func (q *query) hedge(i int, now time.Time) {
	p := &q.parts[i]
	if !q.repeatable || q.deadline.Sub(now) < minAttemptTime {
		return
	}
	q.schedule(p, now.Add(q.hedgeDelay(now)))
	if q.holdsBack() {
		return
	}
	r := q.selectReplica(p, p.running|q.excludedByMaxAttempts(p)|q.rateLimited(p), now)
	if r == nil {
		return
	}
	if !p.shard.budget.trySpend() {
		q.work.BudgetRefused++
		return
	}
	q.work.Hedges++
	q.queueExtraAttempt(i, r, true, now)
}

// retry sends a part without a running attempt to another replica. If the budget is
// used up, it schedules another try after budgetRetryInterval. It abandons the part
// if it may not be sent again or too little time is left.
func (q *query) retry(i int, now time.Time) {
	p := &q.parts[i]
	if !q.mayTry(p, now) {
		return
	}
	if !p.mayResend || q.deadline.Sub(now) < minAttemptTime {
		q.abandonPart(p, now)
		return
	}
	r := q.selectReplica(p, p.tried|q.excludedByMaxAttempts(p), now)
	if r == nil {
		q.handleNoReplica(p, now)
		return
	}
	isFirst := p.firstTryDue
	switch {
	case isFirst:
		p.firstTryDue = false
		q.work.FirstTries++
	case !q.reserveRetry(p):
		q.work.BudgetRefused++
		q.schedule(p, now.Add(budgetRetryInterval))
		return
	default:
		q.work.Retries++
	}
	if q.repeatable {
		q.schedule(p, now.Add(q.hedgeDelay(now)))
	}
	q.queueExtraAttempt(i, r, !isFirst, now)
}

// reserveRetry takes a token for a retry from the budget and reports whether the
// retry may be sent. With a budget for the whole service, the first retry of a
// part after a broken connection takes none. The budget guards against extra load
// that makes slow replicas slower; a broken connection causes at most as many
// retries as sub-requests were outstanding on it, and waiting for tokens would
// leave out shards that have a healthy replica.
func (q *query) reserveRetry(p *part) bool {
	if p.connectionLost && !p.freeRetryUsed && !q.table.config.ExtraPerShard {
		p.freeRetryUsed = true
		return true
	}
	return p.shard.budget.trySpend()
}

// excludedByMaxAttempts returns the replicas, as bits, that a part must not be
// sent to because it may have run on MaxAttempts others.
func (q *query) excludedByMaxAttempts(p *part) uint64 {
	if bits.OnesCount64(p.reached) < q.maxAttempts() {
		return 0
	}
	return ^p.reached
}

// rateLimited returns the replicas, as bits, that advertise a rate limit. What they take is
// for first tries and retries: a hedge would take it from another query.
func (q *query) rateLimited(p *part) uint64 {
	var limited uint64
	for _, r := range p.shard.replicas {
		if q.engine.options.RateLimited(r.id) {
			limited |= r.bit()
		}
	}
	return limited
}

// unreachableReason returns why no replica of a part can be used now.
func (q *query) unreachableReason(p *part) wire.Reason {
	if q.rateLimited(p) != 0 {
		return wire.ReasonRateLimited
	}
	return wire.ReasonNoReplica
}

// queueExtraAttempt adds a hedge, a retry or a first try that was held back, of part i, to
// the outbox. usedToken says whether it took a token of the budget.
func (q *query) queueExtraAttempt(i int, r *replicaState, usedToken bool, now time.Time) {
	seq := q.engine.lastSeq.Add(1)
	if q.extraAttempts == nil {
		q.extraAttempts = map[uint64]*attempt{}
	}
	q.extraAttempts[seq] = &attempt{partIndex: int32(i), replica: r, sentAt: now, unpinned: q.snapshot == 0, usedToken: usedToken}
	q.outbox = append(q.outbox, q.beginAttempt(&q.parts[i], r, seq, now))
}

// schedule sets when a part is hedged or retried next.
func (q *query) schedule(p *part, at time.Time) {
	p.nextAt = at
	q.wakeBy(at)
}

// handleNoReplica handles a part without outstanding attempts for which no untried
// replica is usable: it requests a restart of the query, schedules another round
// over the replicas, or abandons the part.
func (q *query) handleNoReplica(p *part, now time.Time) {
	if p.tried == 0 {
		p.reason = q.noReplicaReason(p, now)
	}
	if (p.lacksSnapshotOrRange() || p.tried == 0) && q.mayRestart(now) {
		p.awaitsRestart, q.restartDue = true, true
		return
	}
	q.scheduleNextRound(p, now)
}

// lacksSnapshotOrRange reports whether a replica is known not to hold the snapshot
// or the range, so that another round over the same replicas is useless.
func (p *part) lacksSnapshotOrRange() bool {
	return p.notHeldCount > 0 || p.reason == wire.ReasonSnapshotNotHeld
}

// scheduleNextRound schedules another round over all replicas of a part after a
// pause, or abandons the part. Once any part was answered, rounds go on until the
// deadline, because a single missing shard can put the answer below its least
// coverage.
func (q *query) scheduleNextRound(p *part, now time.Time) {
	p.rounds++
	pause := q.engine.options.RetryBackoff << min(p.rounds-1, maxPauseDoublings)
	exhausted := p.rounds >= maxUnansweredRounds && !q.answered
	if p.lacksSnapshotOrRange() || !p.mayResend || exhausted || now.Add(pause+minAttemptTime).After(q.deadline) {
		q.abandonPart(p, now)
		return
	}
	p.tried = 0
	q.schedule(p, now.Add(pause))
}

// noReplicaReason returns why none of a part's replicas is usable.
func (q *query) noReplicaReason(p *part, now time.Time) wire.Reason {
	if q.engine.options.EstimateWait != nil && !slices.ContainsFunc(p.shard.replicas, q.isReachable) {
		return q.unreachableReason(p)
	}
	for _, r := range p.shard.replicas {
		_, known := r.heldSnapshots(now)
		if known && (q.engine.options.EstimateWait == nil || q.isReachable(r)) {
			return wire.ReasonSnapshotNotHeld
		}
	}
	return wire.ReasonNoReplica
}

// abandonPart ends a part without full coverage.
func (q *query) abandonPart(p *part, now time.Time) {
	if p.ended {
		return
	}
	q.endPart(p, now)
	q.abandoned += p.needed.Len() - p.covered.Len()
}

// endPart marks a part as complete or abandoned.
func (q *query) endPart(p *part, now time.Time) {
	p.ended, p.doneAt, p.nextAt = true, now, time.Time{}
	q.openParts--
}

// cancelPart cancels the outstanding attempts of a part. They may have run.
func (q *query) cancelPart(index int32, now time.Time) {
	q.mayHaveRun = true
	q.cancelAttempt(index, q.firstSeq+uint64(index), &q.firstTries[index], now)
	if q.parts[index].outstanding == 0 {
		return
	}
	for seq, a := range q.extraAttempts {
		q.cancelAttempt(index, seq, a, now)
	}
}

// cancelAttempt cancels an attempt if it belongs to the part and is outstanding.
func (q *query) cancelAttempt(index int32, seq uint64, a *attempt, now time.Time) {
	if a.partIndex != index || a.ended {
		return
	}
	a.ended = true
	// The true latency is at least this. Recording only completed attempts would
	// make the quantiles too low.
	q.latency.record(now.Sub(a.sentAt))
	if !now.Before(q.deadline) {
		a.replica.addPenalty(now)
	}
	q.cancels = append(q.cancels, wire.SubRequestID{Host: q.engine.options.Incarnation, Seq: seq})
	q.work.Cancelled++
	q.parts[index].outstanding--
	q.parts[index].running &^= a.replica.bit()
	q.parts[index].mayHaveRunOn |= a.replica.bit()
}

// cancelOutstanding cancels all outstanding attempts. The reason of their parts is
// a time-out from the latency goal on. Before it they are cancelled because the
// query has ended or restarts, not because they were slow.
func (q *query) cancelOutstanding(now time.Time) {
	reason := wire.ReasonTimeout
	if now.Before(q.latencyGoalAt) {
		reason = wire.ReasonCancelled
	}
	for i := range q.parts {
		if p := &q.parts[i]; p.outstanding > 0 {
			p.reason = reason
			q.cancelPart(int32(i), now)
		}
	}
}

// flush passes pending hedges, retries and cancellations to the Sender.
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
