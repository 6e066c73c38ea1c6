package ratelimit

import (
	"math"
	"sync"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// Unused permits end, so that hosts can't save them up for a burst. A permit lasts
	// minPermitValidity, and longer where the rate is so low that spareRequests of it
	// take longer; maxPermitValidity bounds that.
	minPermitValidity = 350 * time.Millisecond
	maxPermitValidity = 2 * time.Second
	spareRequests     = 4
	// burstTime bounds the permits that a grantor saves up while nobody asks, as the
	// time in which the limit allows them.
	burstTime = 300 * time.Millisecond
	// handoverTime is how long a new leader grants only handoverShare of a limit: the
	// one before it may not know yet that its seat is taken, and grants the whole limit.
	// It learns that from its lease, its reads of the seats or its peers.
	handoverTime  = 5 * time.Second
	handoverShare = 1.0 / 3
)

// permitValidity returns how long a host may use a permit after it got it, for a rate in
// requests a second.
func permitValidity(rate float64) time.Duration {
	return min(maxPermitValidity, minPermitValidity+time.Duration(spareRequests/rate*float64(time.Second)))
}

// permits are the permits of a host for one replica.
type permits struct {
	grants []grant // oldest first
}

// grant is a number of permits with the same end.
type grant struct {
	count   int
	expires time.Duration
}

func (p *permits) add(count int, expires time.Duration) {
	if count > 0 {
		p.grants = append(p.grants, grant{count: count, expires: expires})
	}
}

// held returns the number of valid permits and drops the others.
func (p *permits) held(now time.Duration) int {
	for len(p.grants) > 0 && (p.grants[0].count == 0 || p.grants[0].expires <= now) {
		p.grants = p.grants[1:]
	}
	n := 0
	for _, g := range p.grants {
		n += g.count
	}
	return n
}

// take uses a permit, and returns false if there is none.
func (p *permits) take(now time.Duration) bool {
	if p.held(now) == 0 {
		return false
	}
	p.grants[0].count--
	return true
}

// grantor grants permits for limited replicas at their rates, to all hosts together.
type grantor struct {
	mu      sync.Mutex
	buckets map[wire.ReplicaID]*bucket
}

// bucket holds the permits that can be granted for one replica.
type bucket struct {
	permits   float64
	updatedAt time.Duration
}

func newGrantor() *grantor { return &grantor{buckets: map[wire.ReplicaID]*bucket{}} }

// grant grants up to wanted permits for a replica with a rate in requests a second. While
// nobody asks it saves up those of the time burst. If it grants fewer, retryIn is the time until there is another one. A replica starts
// without permits, because the grantor may have replaced another one.
func (g *grantor) grant(replica wire.ReplicaID, rate float64, burst time.Duration, wanted int, now time.Duration) (granted int, retryIn time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.buckets[replica]
	if b == nil {
		b = &bucket{updatedAt: now}
		g.buckets[replica] = b
	}
	most := max(1, rate*burst.Seconds())
	b.permits = min(most, b.permits+rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	granted = min(wanted, int(b.permits))
	b.permits -= float64(granted)
	if granted < wanted {
		left := 1 - (b.permits - math.Floor(b.permits))
		retryIn = time.Duration(left / rate * float64(time.Second))
	}
	return granted, retryIn
}

func (g *grantor) forget(replica wire.ReplicaID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.buckets, replica)
}
