package ratelimit

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Description is what this host knows of the limits of one replica.
type Description struct {
	Limited bool // the replica advertises a limit
	Cold    bool
	// Allowed is what Allows would return.
	Allowed bool
}

// Describe returns what this host knows of the limits of a replica. Unlike Allows it changes
// nothing: it neither ends warm-ups nor drops permits.
func (r *Registry) Describe(replica wire.ReplicaID) Description {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	known, warmUp := r.replicas[replica], r.warmUps[replica]
	d := Description{
		Limited: known != nil && known.stated(),
		Cold:    warmUp != nil && warmUp.until != 0 && now < warmUp.until,
	}
	switch {
	case !d.Limited && !d.Cold:
		d.Allowed = true
	case known == nil:
	case d.Cold:
		// Permits from before the warm-up are dropped at the next use, see limitedLocked.
		d.Allowed = known.warmUpRate > 0 && known.permits.count(now) > 0
	default:
		asker := r.askers[r.options.DataCentreOf(replica)]
		d.Allowed = known.permits.count(now) > 0 || now >= known.shareNextAt && asker != nil && asker.isLost(now)
	}
	return d
}

// count returns the number of permits held, without dropping those that have ended.
func (p *permits) count(now time.Duration) int {
	n := 0
	for _, g := range p.grants {
		if g.expires > now {
			n += g.count
		}
	}
	return n
}
