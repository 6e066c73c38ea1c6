package scatter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// supportAge is the age up to which a replica's held range counts in the
// majority of its shard.
const supportAge = 2 * time.Second

const (
	// wideSupport and majority are the shares of the voters that must hold a
	// snapshot. A snapshot that only a majority holds leaves too few
	// slots for a service at 70 % of its capacity.
	wideSupport = 0.9
	majority    = 0.5001
)

// maxVoters bounds the replicas of a shard that count in its majority.
const maxVoters = 16

// chooseSnapshot returns the snapshot of a query, or 0 if nothing is known of
// any replica. Preferred is the newest one that nearly all replicas of every
// shard hold, then that most hold: if the newest of all were taken while it is
// being published, the few replicas that have it already would get the whole
// load. Otherwise it is the newest among those that reach the largest coverage.
func chooseSnapshot(parts []part, now time.Time) uint64 {
	for _, share := range []float64{wideSupport, majority} {
		if s := supportedSnapshot(parts, share, now); s != 0 {
			return s
		}
	}
	if s := commonSnapshot(parts, now); s != 0 {
		return s
	}
	return widestSnapshot(parts, now)
}

// voters returns the held ranges that count in the majority of a part.
func (p *part) voters(now time.Time, into *[maxVoters]wire.Held) []wire.Held {
	out := into[:0]
	for _, r := range p.shard.replicas {
		if held, ok := r.freshRange(now); ok && len(out) < maxVoters {
			out = append(out, held)
		}
	}
	return out
}

// supportedSnapshot returns the newest snapshot that a share of the voters of
// every part holds, or 0.
func supportedSnapshot(parts []part, share float64, now time.Time) uint64 {
	var buffer [maxVoters]wire.Held
	var least uint64
	for i := range parts {
		newest := supportedNewest(parts[i].voters(now, &buffer), share)
		if newest == 0 {
			return 0
		}
		if least == 0 || newest < least {
			least = newest
		}
	}
	for i := range parts {
		voters, have := parts[i].voters(now, &buffer), 0
		for _, held := range voters {
			if held.Has(least) {
				have++
			}
		}
		if have < needed(len(voters), share) {
			return 0
		}
	}
	return least
}

// needed returns how many of n voters reach the share; at least one.
func needed(n int, share float64) int { return int(math.Ceil(share * float64(n))) }

// supportedNewest returns the greatest number that the newest snapshots of a
// share of the voters reach. It reorders voters.
func supportedNewest(voters []wire.Held, share float64) uint64 {
	if len(voters) == 0 {
		return 0
	}
	slices.SortFunc(voters, func(a, b wire.Held) int { return cmp.Compare(b.Newest, a.Newest) })
	return voters[needed(len(voters), share)-1].Newest
}

// commonSnapshot returns the newest snapshot that every part can have, or 0.
// No newer one can be common to all than the least of the parts' newest.
func commonSnapshot(parts []part, now time.Time) uint64 {
	var least uint64
	for i := range parts {
		var newest uint64
		for _, r := range parts[i].shard.replicas {
			if held, ok := r.heldRange(now); ok {
				newest = max(newest, held.Newest)
			}
		}
		if newest == 0 {
			return 0
		}
		if least == 0 || newest < least {
			least = newest
		}
	}
	for i := range parts {
		if !parts[i].canHave(least, now) {
			return 0
		}
	}
	return least
}

func (p *part) canHave(snapshot uint64, now time.Time) bool {
	for _, r := range p.shard.replicas {
		if held, ok := r.heldRange(now); ok && held.Has(snapshot) {
			return true
		}
	}
	return false
}

// step is a change of the coverage at a snapshot number.
type step struct {
	at    uint64
	delta int64 // ledgers
}

// widestSnapshot sweeps over the snapshot numbers at which coverage changes.
func widestSnapshot(parts []part, now time.Time) uint64 {
	var steps []step
	for i := range parts {
		var held wire.RangeSet
		for _, r := range parts[i].shard.replicas {
			if h, ok := r.heldRange(now); ok {
				held = held.Add(wire.KeyRange{Lo: h.Oldest, Hi: h.Newest + 1})
			}
		}
		weight := int64(parts[i].need.Len())
		for _, h := range held {
			steps = append(steps, step{at: h.Lo, delta: weight}, step{at: h.Hi, delta: -weight})
		}
	}
	slices.SortFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	var best, covered int64
	var snapshot uint64
	for i := 0; i < len(steps); {
		at := steps[i].at
		for ; i < len(steps) && steps[i].at == at; i++ {
			covered += steps[i].delta
		}
		if covered > 0 && covered >= best && i < len(steps) {
			best, snapshot = covered, steps[i].at-1
		}
	}
	return snapshot
}
