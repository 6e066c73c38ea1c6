package scatter

import "github.com/arbutusgauge/arbutusgauge/internal/wire"

func hullOf(s wire.RangeSet) wire.KeyRange {
	if len(s) == 0 {
		return wire.KeyRange{}
	}
	return wire.KeyRange{Lo: s[0].Lo, Hi: s[len(s)-1].Hi}
}

// isAfter reports whether r begins at or after the end of the set.
func isAfter(s wire.RangeSet, r wire.KeyRange) bool {
	return len(s) == 0 || r.Lo >= s[len(s)-1].Hi
}

// extend is Add without a copy for ranges in ascending order.
func extend(s wire.RangeSet, r wire.KeyRange) wire.RangeSet {
	if !isAfter(s, r) {
		return s.Add(r)
	}
	if len(s) > 0 && s[len(s)-1].Hi == r.Lo {
		s[len(s)-1].Hi = r.Hi
		return s
	}
	return append(s, r)
}

// intersect returns the parts of r in the set, or r itself if all is set.
func intersect(s wire.RangeSet, r wire.KeyRange, all bool) wire.RangeSet {
	if all {
		return wire.RangeSet{r}
	}
	var out wire.RangeSet
	for _, have := range s {
		if both := have.Intersect(r); !both.Empty() {
			out = append(out, both)
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
		out = append(out, without.Subtract(r)...)
	}
	return out
}

// normalize returns the set sorted, disjoint and without empty ranges.
func normalize(s wire.RangeSet) wire.RangeSet {
	var out wire.RangeSet
	for _, r := range s {
		if !r.Empty() {
			out = extend(out, r)
		}
	}
	return out
}

// accept takes the needed ledgers of a reply that aren't covered yet, with
// their rows, and returns how many ledgers were added.
func (p *part) accept(stated wire.KeyRange, rows []wire.Row) uint64 {
	if len(p.got) == 0 && len(p.need) == 1 && stated.Lo <= p.hull.Lo && stated.Hi >= p.hull.Hi {
		p.got = p.need
		p.addRows(p.need, rows)
		return p.hull.Len()
	}
	fresh := subtract(intersect(p.need, stated, false), p.got)
	if len(fresh) == 0 {
		return 0
	}
	for _, r := range fresh {
		p.got = p.got.Add(r)
	}
	p.addRows(fresh, rows)
	return fresh.Len()
}

func (p *part) addRows(fresh wire.RangeSet, rows []wire.Row) {
	inside := 0
	for i := range rows {
		if fresh.Contains(rows[i].Ledger) {
			inside++
		}
	}
	if inside == len(rows) && p.rows == nil {
		p.rows = rows[:len(rows):len(rows)]
		return
	}
	for i := range rows {
		if fresh.Contains(rows[i].Ledger) {
			p.rows = append(p.rows, rows[i])
		}
	}
}

// coverage lists what the parts cover and what they miss.
func (q *query) coverage() Coverage {
	c := Coverage{Requested: q.requested, Covered: q.covered}
	c.Included = make([]Included, 0, len(q.parts))
	for i := range q.parts {
		p := &q.parts[i]
		shard := p.shard.config.ID
		for _, r := range p.got {
			c.Included = append(c.Included, Included{Shard: shard, Range: r})
		}
		for _, r := range subtract(p.need, p.got) {
			c.Missing = append(c.Missing, Missing{Shard: shard, Range: r, Reason: p.missingReason()})
		}
	}
	for _, r := range q.outside {
		c.Missing = append(c.Missing, Missing{Shard: NoShard, Range: r, Reason: ReasonNoShard})
	}
	return c
}

func (p *part) missingReason() wire.Reason {
	if p.reason == wire.ReasonNone {
		return wire.ReasonTimeout
	}
	return p.reason
}
