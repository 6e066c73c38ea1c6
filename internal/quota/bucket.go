package quota

import (
	"math"
	"time"
)

// bucket is the token bucket of one account. Credits that hosts hold for later requests
// are reserved, and taken off the level when they are used.
type bucket struct {
	level    float64
	reserved int
	// countedSeconds are the weighted seconds of its groups up to which it was refilled.
	countedSeconds float64
	updatedAt      time.Duration
	promised       time.Duration
	limit          limit
}

// chargeUsed takes off the bucket what a member has used of its credits.
func (b *bucket) chargeUsed(c *credits, a *accountReport) {
	b.level = min(b.level-float64(a.Used-c.used), capacity(b.limit, 1))
	b.reserved += a.Held - c.held
	c.used, c.held = a.Used, a.Held
}

// capacity returns how many requests the bucket of an account holds at most, for a part
// of all hosts. It is at least 1, so that a request has room if it waits.
func capacity(l limit, part float64) float64 {
	return max(1, part*l.capacity)
}

// refill adds to the bucket what the hosts of its groups brought. What is above the
// capacity, because hosts have left, is lost only as fast as those hosts get it elsewhere.
// Else the bucket would be empty when they come back.
func (b *bucket) refill(sum, part float64, now time.Duration) {
	here := max(0, sum-b.countedSeconds)
	elsewhere := max(0, (now-b.updatedAt).Seconds()-here)
	kept := min(b.level-b.limit.refillPerSecond*elsewhere, capacity(b.limit, 1))
	b.level = max(kept, min(b.level+b.limit.refillPerSecond*here, capacity(b.limit, part)))
	b.countedSeconds, b.updatedAt = sum, now
}

// minRate, in requests a second, bounds the times that a grantor tells hosts if hardly
// any host is in touch.
const minRate = 0.01

// deny returns the times of the requests of a host that got no credit. Each refused
// request is promised a token of its own, so that those refused later are told a later
// time. free is what the bucket holds, in requests.
func (b *bucket) deny(a *accountReport, free, rate float64, now time.Duration) accountAnswer {
	gap := seconds(1 / max(minRate, rate))
	token := seconds((1 - free) / max(minRate, rate))
	b.promised = min(max(b.promised, now)+time.Duration(min(a.Refused, maxPromised))*gap, now+maxRetryAfter)
	first := max(b.promised, now+token)
	denied := max(1, min(a.Waiting, maxPromised))
	b.promised = min(first+time.Duration(denied)*gap, now+maxRetryAfter)
	return accountAnswer{TokenIn: token, RetryIn: first - now, Gap: gap}
}

// maxPromised bounds the requests of one report that are promised a token, so that the
// times do not overflow.
const maxPromised = 10_000

// whole returns the whole requests in a number that may be negative.
func whole(v float64) int { return int(max(0, min(maxCredits, math.Floor(v)))) }
