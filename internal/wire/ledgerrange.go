package wire

import (
	"slices"
	"strconv"
)

// LedgerRange is the half-open range [Lo, Hi) of ledger numbers.
type LedgerRange struct {
	Lo uint64 `json:"lo"`
	Hi uint64 `json:"hi"`
}

// Empty reports whether the range holds no ledger.
func (r LedgerRange) Empty() bool { return r.Lo >= r.Hi }

// Len returns the number of ledgers in the range; it is 0 for an empty one.
func (r LedgerRange) Len() uint64 {
	if r.Empty() {
		return 0
	}
	return r.Hi - r.Lo
}

// Contains reports whether ledger lies in the range.
func (r LedgerRange) Contains(ledger uint64) bool { return ledger >= r.Lo && ledger < r.Hi }

// Intersect returns the range of ledgers that lie in both r and other, or the
// zero LedgerRange if there are none.
func (r LedgerRange) Intersect(other LedgerRange) LedgerRange {
	out := LedgerRange{Lo: max(r.Lo, other.Lo), Hi: min(r.Hi, other.Hi)}
	if out.Empty() {
		return LedgerRange{}
	}
	return out
}

// String formats the range as "[lo,hi)".
func (r LedgerRange) String() string {
	return "[" + strconv.FormatUint(r.Lo, 10) + "," + strconv.FormatUint(r.Hi, 10) + ")"
}

// RangeSet is a set of ledgers as sorted, disjoint, non-adjacent ranges.
type RangeSet []LedgerRange

// Len returns the number of ledgers in the set.
func (s RangeSet) Len() uint64 {
	var n uint64
	for _, r := range s {
		n += r.Len()
	}
	return n
}

// Contains reports whether ledger is in the set.
func (s RangeSet) Contains(ledger uint64) bool {
	for _, r := range s {
		if r.Contains(ledger) {
			return true
		}
	}
	return false
}

// Add returns the union of s and r. It does not modify s.
func (s RangeSet) Add(r LedgerRange) RangeSet {
	if r.Empty() {
		return s
	}
	ranges := append(slices.Clone(s), r)
	slices.SortFunc(ranges, func(a, b LedgerRange) int {
		if a.Lo < b.Lo {
			return -1
		}
		if a.Lo > b.Lo {
			return 1
		}
		return 0
	})
	out := ranges[:1]
	for _, next := range ranges[1:] {
		last := &out[len(out)-1]
		if next.Lo > last.Hi {
			out = append(out, next)
			continue
		}
		last.Hi = max(last.Hi, next.Hi)
	}
	return out
}

// GapsIn returns the parts of r that are not in s, in ascending order.
func (s RangeSet) GapsIn(r LedgerRange) RangeSet {
	var out RangeSet
	lo := r.Lo
	for _, covered := range s {
		if covered.Hi <= lo {
			continue
		}
		if covered.Lo >= r.Hi {
			break
		}
		if covered.Lo > lo {
			out = append(out, LedgerRange{Lo: lo, Hi: covered.Lo})
		}
		lo = max(lo, covered.Hi)
	}
	if lo < r.Hi {
		out = append(out, LedgerRange{Lo: lo, Hi: r.Hi})
	}
	return out
}
