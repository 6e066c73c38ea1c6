package owner

import "time"

const (
	// assumedLatency is the latency assumed for a replica before its first answer.
	assumedLatency = 20 * time.Millisecond
	// A sub-request is overdue when it has run for overdueFactor times the
	// estimated latency, but for no less than minOverdueTime.
	overdueFactor  = 3
	minOverdueTime = 30 * time.Millisecond
	// overduePenalty is added to the estimate while a sub-request is overdue. It
	// is half of a usual pause of a replica, which is 200 to 250 ms.
	overduePenalty = 110 * time.Millisecond
	// dialPenalty is added if no connection is open: two round trips to another
	// data centre and the 6 ms that a new connection costs the replica.
	dialPenalty = 16 * time.Millisecond
	// latencyHalfLife is the time without a sample in which the estimated
	// latency halves, so that a recovered replica gets work again.
	latencyHalfLife = 2 * time.Second
)

// estimateWait returns the expected time until the replica answers one more
// sub-request, and whether it is usable. See Owner.EstimateWait.
func (r *replica) estimateWait(now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.usable() || !r.owner.options.RateLimiter.Allows(r.id) {
		return 0, false
	}
	return r.expectedAnswerTime(now), true
}

// expectedAnswerTime returns the expected time until the replica answers one more sub-request.
// The caller holds mu.
func (r *replica) expectedAnswerTime(now time.Time) time.Duration {
	mean := r.estimatedLatency(now)
	ahead := r.inFlight + len(r.queue)
	wait := mean + time.Duration(ahead)*mean/time.Duration(r.slotLimit(now))
	if r.group.statesLoad.Load() {
		wait, _ = r.view.Estimate(ahead, r.slotLimit(now), now)
	}
	if r.hasOverdueRun(mean, now) {
		wait += overduePenalty
	}
	if r.pool.openCount == 0 {
		wait += dialPenalty
	}
	return wait
}

// usable reports whether the replica can be reached and takes work, apart from its
// rate limit. The caller holds mu.
func (r *replica) usable() bool { return r.obstacle() == ObstacleNone }

// estimatedLatency returns the recent mean latency, halved for each
// latencyHalfLife without a sample until it is at most assumedLatency, and what is left of
// the latest pause.
func (r *replica) estimatedLatency(now time.Time) time.Duration {
	if r.latency.lastSampleAt.IsZero() {
		return assumedLatency
	}
	mean := r.latency.recentMean
	for age := now.Sub(r.latency.lastSampleAt); age > latencyHalfLife && mean > assumedLatency; age -= latencyHalfLife {
		mean /= 2
	}
	return mean + r.latency.excessAt(now)
}

// hasOverdueRun reports whether a running sub-request takes much longer than the
// mean latency, because the replica is paused, slow or lost.
func (r *replica) hasOverdueRun(mean time.Duration, now time.Time) bool {
	limit := max(minOverdueTime, overdueFactor*mean)
	for _, c := range r.pool.busy {
		if now.Sub(c.runStarted) > limit {
			return true
		}
	}
	return false
}
