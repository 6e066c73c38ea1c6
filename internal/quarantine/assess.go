package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// suffices reports whether the endings suffice for a quarantine: there are enough of
// them, and enough of the runs began after another server had ended, or one of them was a
// permitted trial, which is the only run of the request at its time.
func suffices(endings []ending) bool {
	if len(endings) < minEndings {
		return false
	}
	firstEnd := slices.MinFunc(endings, func(a, b ending) int { return cmp.Compare(a.at, b.at) }).at
	later := 0
	for _, e := range endings {
		if e.began > firstEnd {
			later++
		}
		if e.trial {
			return true
		}
	}
	return later >= minLaterEndings
}

// assess quarantines the requests whose endings suffice, those with the most endings
// first. Each of them explains the ends of its servers, which then do not count against
// the others: a request that crashes servers takes those with it that run beside it. A
// request that was quarantined for such endings is cleared, unless a server ended in a trial of
// it that nothing else explains. The caller holds mu.
func (r *Registry) assess(now time.Duration) {
	explained := map[wire.ReplicaID]bool{}
	for _, key := range r.byEndings() {
		known := r.records[key]
		unexplained := slices.DeleteFunc(slices.Clone(known.endings), func(e ending) bool { return explained[e.replica] })
		known.unexplained = len(unexplained)
		endedTrial := slices.ContainsFunc(unexplained, func(e ending) bool { return e.trial })
		sufficient := suffices(unexplained) || endedTrial && suffices(known.endings)
		last := known.lastEnding()
		switch {
		case sufficient && known.quarantine(last):
			known.own = true
			r.noteChange(key, known, sourceOwn, "")
		case known.quarantined && len(unexplained) < len(known.endings) && !sufficient:
			known.clear(now)
			known.own = true
			r.noteChange(key, known, sourceOwn, "")
		}
		if known.quarantined {
			for _, e := range known.endings {
				explained[e.replica] = true
			}
		}
	}
}

// byEndings returns the keys of all records, those with the most endings first.
func (r *Registry) byEndings() []wire.RequestKey {
	keys := make([]wire.RequestKey, 0, len(r.records))
	for key := range r.records {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b wire.RequestKey) int {
		return cmp.Or(
			cmp.Compare(len(r.records[b].endings), len(r.records[a].endings)), bytes.Compare(a[:], b[:]),
		)
	})
	return keys
}
