package scatter

import (
	"math/bits"
	"slices"
	"time"
)

// silentCheckInterval is the time between two checks whether the replicas of a query still
// respond to this host.
const silentCheckInterval = 50 * time.Millisecond

// silentCheck calls Query.OnSilent at most once.
type silentCheck struct {
	nextAt time.Time // zero: no further check
}

// beginSilentChecks schedules the first check. Only a query that may run again is checked.
func (q *query) beginSilentChecks() {
	if q.request.OnSilent != nil && q.engine.options.Silent != nil && q.repeatable {
		q.silentCheck.nextAt = q.startedAt.Add(silentCheckInterval)
	}
}

// checkSilent calls Query.OnSilent if the parts that may still be answered do not suffice for
// the least coverage. A request under which servers may have ended is not reported: it must
// not reach others.
func (q *query) checkSilent(now time.Time) {
	if q.silentCheck.nextAt.IsZero() || now.Before(q.silentCheck.nextAt) {
		return
	}
	q.silentCheck.nextAt = now.Add(silentCheckInterval)
	left := q.requested - q.abandoned - q.silentLedgers()
	if q.trial.active || left > 0 && q.reachesLeastCoverage(left) {
		return
	}
	q.silentCheck.nextAt = time.Time{}
	if attempts := q.attemptsLeft(); attempts > 0 {
		q.request.OnSilent(attempts)
	}
}

// silentLedgers returns the ledgers of the open parts whose replicas are all silent.
func (q *query) silentLedgers() uint64 {
	var ledgers uint64
	for i := range q.parts {
		p := &q.parts[i]
		responds := func(r *replicaState) bool { return !q.engine.options.Silent(r.id) }
		if !p.ended && !slices.ContainsFunc(p.shard.replicas, responds) {
			ledgers += p.needed.Len() - p.covered.Len()
		}
	}
	return ledgers
}

// attemptsLeft returns on how many further replicas of each shard the query may run.
func (q *query) attemptsLeft() int {
	most := 0
	for i := range q.parts {
		most = max(most, bits.OnesCount64(q.parts[i].reached))
	}
	return q.maxAttempts() - most
}

// maxAttempts returns on how many replicas of a shard the query may run.
func (q *query) maxAttempts() int {
	limit := maxTrackedReplicas
	if q.search.MaxAttempts > 0 {
		limit = int(q.search.MaxAttempts)
	}
	if q.request.MaxAttempts > 0 {
		limit = min(limit, q.request.MaxAttempts)
	}
	return limit
}
