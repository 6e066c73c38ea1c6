package scatter

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// part is the share of one shard in a query.
type part struct {
	shard *tableShard
	// need are the requested ledgers of the shard, hull the range that spans
	// them and that the sub-request names.
	need wire.RangeSet
	hull wire.KeyRange
	got  wire.RangeSet
	rows []wire.Row

	tried       uint64 // bit per replica of the shard, in this round of tries
	running     uint64 // bit per replica with an outstanding attempt
	outstanding int
	reached     uint64    // bit per replica on which an attempt may have run or runs
	spent       uint64    // bit per replica on which an ended attempt may have run
	rounds      int       // times that all replicas were tried
	nextAt      time.Time // when to hedge or retry; zero means never
	stuck       bool      // waits for a restart
	ended       bool      // complete or given up
	resend      bool      // a sub-request may still be sent
	lost        bool      // an attempt ended by a broken connection
	lossRetried bool      // the free retry after that was used
	gone        int       // refusals because the snapshot or range isn't held
	reason      wire.Reason
	doneAt      time.Time
}

// remaining returns the range that spans the ledgers still needed.
func (p *part) remaining() wire.KeyRange {
	if len(p.got) == 0 {
		return p.hull
	}
	left := subtract(p.need, p.got)
	return hullOf(left)
}

// plan splits the requested ledgers over the shards. Ledgers that two shards
// claim belong to the first. A repeatable query has one part per shard; one
// that isn't has a part per contiguous range, because a sub-request names a
// single range and must not run for ledgers that weren't requested.
func plan(t *table, requested wire.RangeSet, repeatable bool) (parts []part, outside wire.RangeSet) {
	parts = make([]part, 0, len(t.shards))
	single := make([]wire.KeyRange, len(t.shards))
	var taken wire.RangeSet
	for i := range t.shards {
		shard := &t.shards[i]
		whole := shard.config.Range
		if whole.Empty() {
			continue
		}
		var need wire.RangeSet
		if requested == nil && isAfter(taken, whole) {
			single[i] = whole
			need = single[i : i+1 : i+1]
		} else {
			need = subtract(intersect(requested, whole, requested == nil), taken)
		}
		taken = extend(taken, whole)
		if len(need) == 0 {
			continue
		}
		if repeatable {
			parts = append(parts, part{shard: shard, need: need, hull: hullOf(need), resend: true})
			continue
		}
		for n := range need {
			parts = append(parts, part{shard: shard, need: need[n : n+1 : n+1], hull: need[n], resend: true})
		}
	}
	return parts, subtract(requested, taken)
}
