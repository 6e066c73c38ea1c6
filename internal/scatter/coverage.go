package scatter

import "github.com/arbutusgauge/arbutusgauge/internal/wire"

// spanOf returns the smallest range that contains the set, which is sorted.
func spanOf(s wire.RangeSet) wire.LedgerRange {
	if len(s) == 0 {
		return wire.LedgerRange{}
	}
	return wire.LedgerRange{Lo: s[0].Lo, Hi: s[len(s)-1].Hi}
}

// endsBefore reports whether the set ends at or before the start of r.
func endsBefore(s wire.RangeSet, r wire.LedgerRange) bool {
	return len(s) == 0 || r.Lo >= s[len(s)-1].Hi
}

// appendRange adds r to the set. Unlike Add it makes no copy if r begins at or
// after the end of the set, but changes s in place.
func appendRange(s wire.RangeSet, r wire.LedgerRange) wire.RangeSet {
	if !endsBefore(s, r) {
		return s.Add(r)
	}
	if len(s) > 0 && s[len(s)-1].Hi == r.Lo {
		s[len(s)-1].Hi = r.Hi
		return s
	}
	return append(s, r)
}

// intersect returns the parts of r that are in the set, or r itself if all is
// true.
func intersect(s wire.RangeSet, r wire.LedgerRange, all bool) wire.RangeSet {
	if all {
		return wire.RangeSet{r}
	}
	var out wire.RangeSet
	for _, member := range s {
		if overlap := member.Intersect(r); !overlap.Empty() {
			out = append(out, overlap)
		}
	}
	return out
}

// subtract returns the ledgers of s that are not in without.
func subtract(s, without wire.RangeSet) wire.RangeSet {
	if len(without) == 0 {
		return s
	}
	var out wire.RangeSet
	for _, r := range s {
		out = append(out, without.GapsIn(r)...)
	}
	return out
}

// normalize returns the set sorted, disjoint and without empty ranges.
func normalize(s wire.RangeSet) wire.RangeSet {
	var out wire.RangeSet
	for _, r := range s {
		if !r.Empty() {
			out = appendRange(out, r)
		}
	}
	return out
}

// accept adds the needed ledgers of a reply that aren't covered yet, with their
// rows, and returns how many ledgers were added. stated is the range that the
// reply says it covers.
func (p *part) accept(stated wire.LedgerRange, rows []wire.Row) uint64 {
	if len(p.covered) == 0 && len(p.needed) == 1 && stated.Lo <= p.span.Lo && stated.Hi >= p.span.Hi {
		p.covered = p.needed
		p.addRows(p.needed, rows)
		return p.span.Len()
	}
	added := subtract(intersect(p.needed, stated, false), p.covered)
	if len(added) == 0 {
		return 0
	}
	for _, r := range added {
		p.covered = p.covered.Add(r)
	}
	p.addRows(added, rows)
	return added.Len()
}

// addRows adds the rows whose ledgers are in added.
func (p *part) addRows(added wire.RangeSet, rows []wire.Row) {
	matching := 0
	for i := range rows {
		if added.Contains(rows[i].Ledger) {
			matching++
		}
	}
	if matching == len(rows) && p.rows == nil {
		p.rows = rows[:len(rows):len(rows)]
		return
	}
	for i := range rows {
		if added.Contains(rows[i].Ledger) {
			p.rows = append(p.rows, rows[i])
		}
	}
}

// coverage returns the covered and the missing ranges of all parts.
func (q *query) coverage() Coverage {
	c := Coverage{Requested: q.requested, Covered: q.covered}
	c.Included = make([]Included, 0, len(q.parts))
	for i := range q.parts {
		p := &q.parts[i]
		shard := p.shard.config.ID
		for _, r := range p.covered {
			c.Included = append(c.Included, Included{Shard: shard, Range: r})
		}
		for _, r := range subtract(p.needed, p.covered) {
			c.Missing = append(c.Missing, Missing{Shard: shard, Range: r, Reason: p.missingReason()})
		}
	}
	for _, r := range q.unassigned {
		c.Missing = append(c.Missing, Missing{Shard: NoShard, Range: r, Reason: ReasonNoShard})
	}
	return c
}

// missingReason returns why ledgers of the part are missing. A part without any
// failed attempt was not answered in time.
func (p *part) missingReason() wire.Reason {
	if p.reason == wire.ReasonNone {
		return wire.ReasonTimeout
	}
	return p.reason
}
