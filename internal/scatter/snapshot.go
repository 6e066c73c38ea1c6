package scatter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// voteMaxAge is the age up to which the held snapshots of a replica count as a vote
// in the choice of the snapshot.
const voteMaxAge = 2 * time.Second

const (
	// nearlyAllShare and majorityShare are the fractions of a shard's voters that
	// must hold a snapshot. Nearly all is tried first, because the replicas of a
	// mere majority have too few slots for a service at 70 % of its capacity.
	nearlyAllShare = 0.9
	majorityShare  = 0.5001
)

// maxVoters is the greatest number of replicas of a shard that vote.
const maxVoters = 16

// chooseSnapshot returns the snapshot for a query, or 0 if nothing is known of any
// replica. It is the newest snapshot that nearly all replicas of every shard hold,
// else one that a majority holds. Simply choosing the newest while it is being
// published would put the whole load on the few replicas that have it already.
// Failing that, it is one that at least one replica of every shard holds, else the
// newest of those with the largest coverage.
func chooseSnapshot(parts []part, now time.Time) uint64 {
	for _, share := range []float64{nearlyAllShare, majorityShare} {
		if s := supportedSnapshot(parts, share, now); s != 0 {
			return s
		}
	}
	if s := commonSnapshot(parts, now); s != 0 {
		return s
	}
	return largestCoverageSnapshot(parts, now)
}

// voters returns the held snapshots of the replicas that vote for a part. It uses
// buffer for the result.
func (p *part) voters(now time.Time, buffer *[maxVoters]wire.SnapshotRange) []wire.SnapshotRange {
	out := buffer[:0]
	for _, r := range p.shard.replicas {
		if held, ok := r.freshHeldSnapshots(now); ok && len(out) < maxVoters {
			out = append(out, held)
		}
	}
	return out
}

// supportedSnapshot returns a snapshot that the given share of the voters of every
// part holds, or 0. It checks the newest one that all parts can have in common.
func supportedSnapshot(parts []part, share float64, now time.Time) uint64 {
	var buffer [maxVoters]wire.SnapshotRange
	var candidate uint64
	for i := range parts {
		newest := supportedNewest(parts[i].voters(now, &buffer), share)
		if newest == 0 {
			return 0
		}
		if candidate == 0 || newest < candidate {
			candidate = newest
		}
	}
	for i := range parts {
		voters, votes := parts[i].voters(now, &buffer), 0
		for _, held := range voters {
			if held.Contains(candidate) {
				votes++
			}
		}
		if votes < votesNeeded(len(voters), share) {
			return 0
		}
	}
	return candidate
}

// votesNeeded returns how many of n voters make up the share, rounded up.
func votesNeeded(n int, share float64) int { return int(math.Ceil(share * float64(n))) }

// supportedNewest returns the greatest snapshot number that is at most the newest
// snapshot of the given share of the voters, or 0 without voters. It sorts voters
// in place.
func supportedNewest(voters []wire.SnapshotRange, share float64) uint64 {
	if len(voters) == 0 {
		return 0
	}
	slices.SortFunc(voters, func(a, b wire.SnapshotRange) int { return cmp.Compare(b.Newest, a.Newest) })
	return voters[votesNeeded(len(voters), share)-1].Newest
}

// commonSnapshot returns a snapshot that a usable replica of every part holds, or
// 0. It checks the lowest of the parts' newest snapshots, because no newer one can
// be common to all.
func commonSnapshot(parts []part, now time.Time) uint64 {
	var candidate uint64
	for i := range parts {
		var newest uint64
		for _, r := range parts[i].shard.replicas {
			if held, ok := r.heldSnapshots(now); ok {
				newest = max(newest, held.Newest)
			}
		}
		if newest == 0 {
			return 0
		}
		if candidate == 0 || newest < candidate {
			candidate = newest
		}
	}
	for i := range parts {
		if !parts[i].hasReplicaWith(candidate, now) {
			return 0
		}
	}
	return candidate
}

// hasReplicaWith reports whether a usable replica of the part holds the snapshot.
func (p *part) hasReplicaWith(snapshot uint64, now time.Time) bool {
	for _, r := range p.shard.replicas {
		if held, ok := r.heldSnapshots(now); ok && held.Contains(snapshot) {
			return true
		}
	}
	return false
}

// coverageStep is a change of the coverage at a snapshot number.
type coverageStep struct {
	at    uint64
	delta int64 // ledgers
}

// largestCoverageSnapshot returns the newest snapshot with the largest coverage,
// or 0 if no part has a usable replica. It sweeps over the snapshot numbers at
// which the coverage changes.
func largestCoverageSnapshot(parts []part, now time.Time) uint64 {
	var steps []coverageStep
	for i := range parts {
		var held wire.RangeSet
		for _, r := range parts[i].shard.replicas {
			if h, ok := r.heldSnapshots(now); ok {
				held = held.Add(wire.LedgerRange{Lo: h.Oldest, Hi: h.Newest + 1})
			}
		}
		ledgers := int64(parts[i].needed.Len())
		for _, h := range held {
			steps = append(steps, coverageStep{at: h.Lo, delta: ledgers}, coverageStep{at: h.Hi, delta: -ledgers})
		}
	}
	slices.SortFunc(steps, func(a, b coverageStep) int { return cmp.Compare(a.at, b.at) })
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
