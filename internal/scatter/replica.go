package scatter

import (
	"math"
	"sync"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// stateMaxAge is how long a reported draining or ejected state is trusted.
	// After that, one sub-request is sent to find out whether it still applies.
	stateMaxAge = time.Second
	// heldMaxAge is the age of a report up to which a replica whose held
	// snapshots lack the wanted one is excluded.
	heldMaxAge = time.Second
	// loadMaxAge is the age up to which a load report is trusted. After that the
	// replica is treated as idle, so that one that has recovered is used again.
	loadMaxAge = 5 * time.Second
	// basePenalty is the penalty in the score after a failure. A further failure
	// doubles what is left of the penalty and adds basePenalty, up to maxPenalty.
	basePenalty = 50 * time.Millisecond
	maxPenalty  = 2 * time.Second
	// penaltyHalfLife is the time in which a penalty halves.
	penaltyHalfLife = 500 * time.Millisecond
	// defaultServiceTime is used for a replica that has not reported one.
	defaultServiceTime = 5 * time.Millisecond
)

// replicaState is what this host knows of one replica from replies and status
// requests.
type replicaState struct {
	id        wire.ReplicaID
	index     uint8         // position in the shard, at most maxTrackedReplicas
	roundTrip time.Duration // network delay to its data centre and back
	slots     uint32        // as configured

	mu              sync.Mutex
	held            wire.SnapshotRange
	heldAt          time.Time
	load            wire.Load
	loadAt          time.Time
	sentSinceReport uint32        // sub-requests sent since the last load report
	penalty         time.Duration // at penaltyAt; decays from then on
	penaltyAt       time.Time
}

// bit returns the replica's bit in the bit sets of a part, or 0 if it has none.
func (r *replicaState) bit() uint64 {
	if r.index >= maxTrackedReplicas {
		return 0
	}
	return 1 << r.index
}

// fitness is how well a replica suits a sub-request; lower is better.
type fitness uint8

const (
	fitHolds   fitness = iota // holds the snapshot by its last report
	fitUnknown                // may hold the snapshot
	fitEjected                // ejected by its owner; used only if no other is left
	fitUnusable
)

// observe records the load, state and held snapshots of a reply or a status.
// Zero values mean that nothing is reported.
func (r *replicaState) observe(now time.Time, held wire.SnapshotRange, load wire.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if held.Newest != 0 {
		r.held, r.heldAt = held, now
	}
	if load != (wire.Load{}) {
		r.load, r.loadAt, r.sentSinceReport = load, now, 0
	}
}

// addPenalty records a failure.
func (r *replicaState) addPenalty(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.penalty = min(2*r.decayedPenalty(now)+basePenalty, maxPenalty)
	r.penaltyAt = now
}

// countSent counts a sub-request that the last load report doesn't include. If
// that report is out of date, its age starts anew: the report is trusted again
// until a reply comes, so that a single sub-request probes the replica.
func (r *replicaState) countSent(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentSinceReport++
	if r.load.State >= wire.ReplicaDraining && now.Sub(r.loadAt) > stateMaxAge {
		r.loadAt = now
	}
	if now.Sub(r.loadAt) > loadMaxAge {
		r.loadAt = now
	}
}

// heldSnapshots returns the held snapshots. The second result is false if they
// aren't known or the replica is draining or ejected.
func (r *replicaState) heldSnapshots(now time.Time) (wire.SnapshotRange, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	usable := r.load.State < wire.ReplicaDraining || now.Sub(r.loadAt) > stateMaxAge
	return r.held, usable && r.held.Newest != 0
}

// freshHeldSnapshots is like heldSnapshots, but the second result is also false if
// the report is older than voteMaxAge or the replica failed recently.
func (r *replicaState) freshHeldSnapshots(now time.Time) (wire.SnapshotRange, bool) {
	held, ok := r.heldSnapshots(now)
	if !ok {
		return held, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return held, now.Sub(r.heldAt) <= voteMaxAge && r.decayedPenalty(now) < basePenalty
}

// evaluate returns the fitness for a snapshot and the score. For both, lower is
// better.
func (r *replicaState) evaluate(now time.Time, snapshot uint64) (fitness, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fitnessFor(now, snapshot), r.score(now)
}

// failurePenalty returns the part of the score that recent failures cause.
func (r *replicaState) failurePenalty(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decayedPenalty(now)
}

// fitnessFor returns the fitness for a snapshot, where 0 stands for any. r.mu must
// be held.
func (r *replicaState) fitnessFor(now time.Time, snapshot uint64) fitness {
	if now.Sub(r.loadAt) <= stateMaxAge {
		switch r.load.State {
		case wire.ReplicaDraining:
			return fitUnusable
		case wire.ReplicaEjected:
			return fitEjected
		}
	}
	switch {
	case snapshot == 0 || r.held.Contains(snapshot):
		return fitHolds
	case r.held.Newest == 0 || now.Sub(r.heldAt) > heldMaxAge:
		return fitUnknown
	default:
		return fitUnusable
	}
}

// score returns the estimated time to an answer plus the penalty for failures. r.mu
// must be held.
func (r *replicaState) score(now time.Time) time.Duration {
	slots, serviceTime := max(r.slots, 1), defaultServiceTime
	busy := r.sentSinceReport + 1
	if now.Sub(r.loadAt) <= loadMaxAge {
		if r.load.Slots > 0 {
			slots = r.load.Slots
		}
		if r.load.ServiceTime > 0 {
			serviceTime = r.load.ServiceTime
		}
		busy += r.load.InFlight + r.load.Queued
	}
	return time.Duration(busy)*serviceTime/time.Duration(slots) + r.roundTrip + r.decayedPenalty(now)
}

// decayedPenalty returns the penalty that is left at now. r.mu must be held.
func (r *replicaState) decayedPenalty(now time.Time) time.Duration {
	if r.penalty == 0 {
		return 0
	}
	halvings := float64(now.Sub(r.penaltyAt)) / float64(penaltyHalfLife)
	left := time.Duration(float64(r.penalty) * math.Exp2(-halvings))
	if left < time.Microsecond {
		r.penalty = 0
		return 0
	}
	return left
}
