package scatter

import (
	"cmp"
	"slices"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// chooseSnapshot returns the newest snapshot among those that reach the
// largest coverage of the parts, or 0 if nothing is known of any replica.
func chooseSnapshot(parts []part, now time.Time) uint64 {
	if s := commonSnapshot(parts, now); s != 0 {
		return s
	}
	return widestSnapshot(parts, now)
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
