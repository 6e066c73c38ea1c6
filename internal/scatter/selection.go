package scatter

import (
	"slices"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// maxTrackedReplicas is the number of replicas of a shard that have a bit in the
// bit sets of a part.
const maxTrackedReplicas = 63

// evaluate returns the fitness and the score of a replica, an estimated time. For
// both, lower is better.
func (q *query) evaluate(r *replicaState, now time.Time) (fitness, time.Duration) {
	fit, score := r.evaluate(now, q.snapshot)
	if q.engine.options.EstimateWait == nil {
		return fit, score
	}
	wait, usable := q.engine.options.EstimateWait(r.id)
	if !usable {
		return fitUnusable, 0
	}
	if fit == fitUnknown {
		// A replica that has not replied to this host yet, because it has just started or was
		// out of use when the host started, would otherwise get hedges and retries only.
		fit = fitHolds
	}
	// The round trip is added although wait includes it, because traffic between
	// data centres costs more.
	return fit, wait + r.roundTrip + r.failurePenalty(now)
}

// isReachable reports whether this host can use the replica. The option EstimateWait
// must be set.
func (q *query) isReachable(r *replicaState) bool {
	_, usable := q.engine.options.EstimateWait(r.id)
	return usable
}

// leastCoverageObstacle returns why the replicas that this host can use now do not
// suffice for the least coverage, wire.ReasonNone if they do. Such a query is refused
// before any part of it runs, so that another host can run it.
func (q *query) leastCoverageObstacle() wire.Reason {
	if q.engine.options.EstimateWait == nil {
		return wire.ReasonNone
	}
	var ledgers uint64
	backsOff := false
	obstacle := wire.ReasonNoReplica
	for i := range q.parts {
		switch {
		case slices.ContainsFunc(q.parts[i].shard.replicas, q.isReachable):
			ledgers += q.parts[i].needed.Len()
		case q.unreachableReason(&q.parts[i]) == wire.ReasonRateLimited:
			obstacle = wire.ReasonRateLimited
		case leastTimeLeft(&q.parts[i], q.engine.options.BackoffOf) > 0:
			backsOff = true
		}
	}
	switch {
	case ledgers > 0 && q.reachesLeastCoverage(ledgers):
		return wire.ReasonNone
	case backsOff:
		return wire.ReasonBackoff
	}
	return obstacle
}

// leastTimeLeft returns the least time left of the replicas of a part, of those that have one;
// 0: none has.
func leastTimeLeft(p *part, timeLeft func(wire.ReplicaID) time.Duration) time.Duration {
	var least time.Duration
	for _, r := range p.shard.replicas {
		if left := timeLeft(r.id); left > 0 && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}

// timeToUsable returns the time until all parts without a usable replica may have one, by the
// time left of each replica; 0: it is not known.
func (q *query) timeToUsable(timeLeft func(wire.ReplicaID) time.Duration) time.Duration {
	var longest time.Duration
	for i := range q.parts {
		if p := &q.parts[i]; !slices.ContainsFunc(p.shard.replicas, q.isReachable) {
			longest = max(longest, leastTimeLeft(p, timeLeft))
		}
	}
	return longest
}

// selectReplica chooses a replica for an attempt of a part: by the load that replicas
// state, or else by what this host knows. exclude holds the bits of the replicas to leave
// out. It returns nil if no other replica is usable.
func (q *query) selectReplica(p *part, exclude uint64, now time.Time) *replicaState {
	if r, chosen := q.selectByStatedLoad(p, exclude, now); chosen {
		return r
	}
	if q.engine.options.EstimateWait != nil {
		return q.leastEstimate(p, exclude, now)
	}
	return q.betterOfTwo(p, exclude, now)
}

// leastEstimate returns the candidate with the least score, one of those at random. A host
// that sends to replicas directly counts its own requests at once, so that it
// need not avoid the best one at random, which often chose one in another data centre.
func (q *query) leastEstimate(p *part, exclude uint64, now time.Time) *replicaState {
	var (
		chosen *replicaState
		least  time.Duration
		equals uint64
	)
	best := fitUnusable
	for _, r := range p.shard.replicas {
		if exclude&(1<<r.index) != 0 {
			continue
		}
		fit, score := q.evaluate(r, now)
		switch {
		case fit == fitUnusable || fit > best:
		case fit < best || score < least:
			best, chosen, least, equals = fit, r, score, 1
		case score == least:
			if equals++; q.random.Uint64()%equals == 0 {
				chosen = r
			}
		}
	}
	return chosen
}

// betterOfTwo returns the one with the lower score of two random candidates of the best
// fitness.
func (q *query) betterOfTwo(p *part, exclude uint64, now time.Time) *replicaState {
	var (
		best       = fitUnusable
		candidates uint64
		first      *replicaState
		second     *replicaState
		scores     [2]time.Duration
	)
	for _, r := range p.shard.replicas {
		if exclude&(1<<r.index) != 0 {
			continue
		}
		fit, score := q.evaluate(r, now)
		if fit == fitUnusable || fit > best {
			continue
		}
		if fit < best {
			best, candidates, first, second = fit, 0, nil, nil
		}
		// Reservoir sampling of two candidates avoids building a list.
		candidates++
		switch {
		case first == nil:
			first, scores[0] = r, score
		case second == nil:
			second, scores[1] = r, score
		default:
			switch q.random.Uint64() % candidates {
			case 0:
				first, scores[0] = r, score
			case 1:
				second, scores[1] = r, score
			}
		}
	}
	if second != nil && (scores[1] < scores[0] || scores[1] == scores[0] && q.random.Uint64()&1 == 0) {
		return second
	}
	return first
}
