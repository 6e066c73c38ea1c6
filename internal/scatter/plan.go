package scatter

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// part is the part of a query that one shard answers.
type part struct {
	shard *shardState
	// needed are the requested ledgers of the shard.
	needed wire.RangeSet
	// span is the smallest range that contains needed.
	span wire.LedgerRange
	// covered are the needed ledgers for which a reply was accepted.
	covered wire.RangeSet
	rows    []wire.Row

	tried          uint64 // bit per replica that was tried in this round
	running        uint64 // bit per replica with an outstanding attempt
	outstanding    int
	reached        uint64    // bit per replica where an attempt runs or may have run; bounded by MaxAttempts
	mayHaveRunOn   uint64    // bit per replica on which an ended attempt may have run
	lostOn         uint64    // bit per replica that closed the connection of an attempt
	rounds         int       // rounds in which all usable replicas were tried
	nextAt         time.Time // time of the next hedge or retry; zero if none is due
	awaitsRestart  bool      // no replica was usable; waits for a restart of the query
	heldBack       bool      // a first try or a retry waits for the end of a trial
	firstTryDue    bool      // the first try was held back by a trial
	ended          bool      // complete or abandoned
	mayResend      bool      // another sub-request may be sent
	connectionLost bool      // an attempt ended by a broken connection
	freeRetryUsed  bool      // the retry after connectionLost that needs no token was used
	notHeldCount   int       // replies from replicas that don't hold the snapshot or the whole range
	reason         wire.Reason
	doneAt         time.Time
}

// remaining returns the smallest range that contains the ledgers not covered yet.
// A sub-request names a single range.
func (p *part) remaining() wire.LedgerRange {
	if len(p.covered) == 0 {
		return p.span
	}
	left := subtract(p.needed, p.covered)
	return spanOf(left)
}

// plan splits the requested ledgers, or all if requested is nil, into parts.
// Ledgers that two shards hold are assigned to the first. A repeatable query has
// one part per shard. A query that isn't repeatable has one part per contiguous
// range, because a sub-request names a single range and must not run for ledgers
// that weren't requested. unassigned are the requested ledgers that no shard holds.
func plan(t *shardTable, requested wire.RangeSet, repeatable bool) (parts []part, unassigned wire.RangeSet) {
	parts = make([]part, 0, len(t.shards))
	wholeRanges := make([]wire.LedgerRange, len(t.shards))
	var assigned wire.RangeSet
	for i := range t.shards {
		shard := &t.shards[i]
		whole := shard.config.Range
		if whole.Empty() {
			continue
		}
		var needed wire.RangeSet
		if requested == nil && endsBefore(assigned, whole) {
			wholeRanges[i] = whole
			needed = wholeRanges[i : i+1 : i+1]
		} else {
			needed = subtract(intersect(requested, whole, requested == nil), assigned)
		}
		assigned = appendRange(assigned, whole)
		if len(needed) == 0 {
			continue
		}
		if repeatable {
			parts = append(parts, part{shard: shard, needed: needed, span: spanOf(needed), mayResend: true})
			continue
		}
		for n := range needed {
			parts = append(parts, part{shard: shard, needed: needed[n : n+1 : n+1], span: needed[n], mayResend: true})
		}
	}
	return parts, subtract(requested, assigned)
}
