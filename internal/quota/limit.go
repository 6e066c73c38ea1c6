package quota

import (
	"hash/fnv"
	"math"
	"time"
)

// Bounds are the bound on the requests of an account over all hosts: in each Window, at
// most (rate × Window + burst) × (1 + Overage) + Slack.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64 // requests
}

// DefaultBounds are those of the users' platform.
var DefaultBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// Parts of the slack. They add up to 1, so that the bound holds while grantors change.
const (
	bucketSlack   = 0.5 // for the buckets of the grantors
	handoverSlack = 0.3 // for a bucket whose use before is not known
	shareSlack    = 0.2 // for what hosts admit by a share while a grantor may still count them
)

// spareRoom is the part of what the bound leaves above the quota that hosts may hold as
// credits in advance. The rest of a bucket is kept for requests at any host.
const spareRoom = 0.15

// limit is the quota of one account.
type limit struct {
	rate  float64 // requests a second
	burst float64 // requests; at least 1, else no request would ever fit
	slack float64 // requests
	spare float64 // credits that hosts may hold in advance

	// capacity and refillPerSecond, in requests, are those of the token bucket. In each
	// Window, it admits capacity + refillPerSecond × Window at most, which leaves a part of
	// the slack.
	capacity, refillPerSecond float64
}

// limit returns a quota. The bucket holds burst requests at one moment besides the credits
// in advance. What the bound allows beyond that is spread over the window, because an
// account whose use varies about its rate is served better by a faster refill than by a
// larger bucket.
func (b Bounds) limit(ratePerSecond, burst float64) limit {
	l := limit{rate: ratePerSecond, burst: max(1, burst), slack: b.Slack}
	window := b.Window.Seconds()
	sustained := (l.rate*window + l.burst) * (1 + b.Overage)
	room := sustained - l.rate*window - l.burst + b.Slack
	l.spare = spareRoom * room
	l.capacity = max(l.burst+l.spare, bucketSlack*b.Slack)
	l.refillPerSecond = (sustained + bucketSlack*b.Slack - l.capacity) / window
	return l
}

// kept is what a full bucket holds for requests at any host.
func (l limit) kept() float64 { return l.capacity - l.spare }

// chooseGrantor returns the leader that grants the credits of an account: the one with
// the greatest hash of both (rendezvous hashing), "" if there is no leader.
func chooseGrantor(leaders []string, account string) string {
	chosen, greatest := "", uint64(0)
	for _, leader := range leaders {
		h := fnv.New64a()
		_, _ = h.Write([]byte(leader))
		_, _ = h.Write([]byte{0})
		_, _ = h.Write([]byte(account))
		if score := mix(h.Sum64()); chosen == "" || score > greatest || score == greatest && leader > chosen {
			chosen, greatest = leader, score
		}
	}
	return chosen
}

// mix is the finalizer of MurmurHash3 (Appleby). It spreads the last bytes of a hash over all its bits: those of FNV depend little on
// them, so similar names would have the same grantor.
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// seconds converts a number of seconds, at most maxRetryAfter.
func seconds(s float64) time.Duration {
	if math.IsNaN(s) || s >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(0, time.Duration(s*float64(time.Second)))
}

// maxRetryAfter bounds the times told to callers. Later, other limits or fewer callers
// are likelier than the same queue.
const maxRetryAfter = 30 * time.Second
