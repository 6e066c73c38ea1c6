package ratelimit

import (
	"math"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// The bound for a cold replica is 1.5 times its rate and 5 more in any second, over all hosts.
// A grantor grants at most rate × T + the saved permits in a time T, and hosts use what was
// granted within warmUpValidity before. With the grantor before it, which may grant the whole
// rate during the handover, that is (1 + 0.1) × (1 + 0.25) × rate + 2 × max(1, 0.05 × rate), at
// most 1.475 × rate + 2 in one second.
const (
	// warmUpValidity is how long after its question a host may use a permit for a cold
	// replica. It is counted from the question, so that the grant is never earlier.
	warmUpValidity = 250 * time.Millisecond
	// warmUpBurstTime bounds the permits that a grantor saves up for a cold replica.
	warmUpBurstTime = 50 * time.Millisecond
	// warmUpHandoverShare is the part of the rate that a new leader grants for handoverTime.
	warmUpHandoverShare = 0.1
	// maxWarmUp bounds the warm-up that a peer may name.
	maxWarmUp = 24 * time.Hour
)

// WarmUp is what a replica has registered about its warm-up.
type WarmUp struct {
	Replica   wire.ReplicaID
	PerSecond float64       // requests a second of all hosts while it is cold, above 0
	Left      time.Duration // from the registration on; 0: it is warm
	Sequence  uint64        // of the registration that began or ended it; grows in an incarnation
}

// warmUp is what this host knows of the warm-up of a replica.
type warmUp struct {
	perSecond float64
	sequence  uint64
	until     time.Duration // of Options.Clock; 0: warm
	// statedAt is when the newest health response that said that the replica is cold reached a
	// host, 0 if there was none.
	statedAt time.Duration
	// registeredAt is when this host got a registration that replaced another one, 0 if it
	// did not yet: how old the first one is, is not known.
	registeredAt time.Duration
}

// coldState tells another host that a replica is cold.
type coldState struct {
	PerSecond float64       `json:"per_second"`
	Left      time.Duration `json:"left"`
	Sequence  uint64        `json:"sequence"` // of the registration that the sender knows
	// Stated is set if a health response said so, Age before.
	Stated bool          `json:"stated,omitempty"`
	Age    time.Duration `json:"age,omitempty"`
}

// validate returns *MessageError for values that no host of this program sends.
func (c *coldState) validate() error {
	if !(c.PerSecond > 0) || math.IsInf(c.PerSecond, 0) || c.Left < 0 || c.Left > maxWarmUp || c.Age < 0 {
		return errors.WithStack(&MessageError{Problem: "warm-up of a replica is out of range"})
	}
	return nil
}

// SetWarmUps sets the registered warm-ups of all replicas of services with a warm-up rate. A
// warm-up is counted from the time at which this host first gets its registration: it is not
// known how old that is. A later registration replaces it, also by its end.
func (r *Registry) SetWarmUps(registered []WarmUp) {
	if len(registered) == 0 && !r.knowsWarmUps.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.warmUps
	r.warmUps = make(map[wire.ReplicaID]*warmUp, len(registered))
	for _, w := range registered {
		known := before[w.Replica]
		isNew := known == nil
		if isNew {
			known = &warmUp{}
		}
		delete(before, w.Replica)
		r.warmUps[w.Replica], known.perSecond = known, w.PerSecond
		if isNew || w.Sequence > known.sequence {
			known.sequence = w.Sequence
			if !isNew {
				known.registeredAt = r.options.Clock()
			}
			r.setCold(w.Replica, known, min(w.Left, maxWarmUp), "registration")
		}
	}
	for replica, gone := range before {
		r.endWarmUp(replica, gone, "withdrawn")
	}
	r.knowsWarmUps.Store(len(r.warmUps) > 0)
}

// ObserveWarmUp records that a health response said for how long a replica stays cold, and
// tells the leaders. Only a registration or the time ends a warm-up, so 0 changes nothing.
// A replica of a service without a warm-up rate is ignored.
func (r *Registry) ObserveWarmUp(replica wire.ReplicaID, left time.Duration) {
	if left <= 0 || !r.knowsWarmUps.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.warmUps[replica]
	if known == nil {
		return
	}
	r.noteStated(replica, known, min(left, maxWarmUp), r.options.Clock(), true)
	r.tellLeaders()
}

// noteStated records that a health response at a time said that a replica stays cold for a
// time from then on, and marks it to be told to other hosts. The caller holds mu.
func (r *Registry) noteStated(replica wire.ReplicaID, known *warmUp, left, at time.Duration, own bool) {
	known.statedAt = at
	if now := r.options.Clock(); at+left > max(now, known.until) {
		r.setCold(replica, known, at+left-now, "health response")
	}
	limit := r.replicas[replica]
	if limit == nil {
		limit = newReplicaLimit()
		r.replicas[replica] = limit
	}
	r.revision++
	limit.revision, limit.own = r.revision, own
}

// setCold makes a replica cold for a time from now on; 0 ends its warm-up. source is for the log
// only. The caller holds mu.
func (r *Registry) setCold(replica wire.ReplicaID, known *warmUp, left time.Duration, source string) {
	if left <= 0 {
		r.endWarmUp(replica, known, source)
		return
	}
	if known.until == 0 {
		r.metrics.coldReplicas.Update(float64(r.coldCount.Add(1)))
		r.options.Logger.WithFields(log.Fields{
			"replica": string(replica), "left": left, "per_second": known.perSecond, "source": source,
		}).Info("replica cold")
	}
	known.until = r.options.Clock() + left
}

// endWarmUp ends a warm-up; source is for the log only. The caller holds mu.
func (r *Registry) endWarmUp(replica wire.ReplicaID, known *warmUp, source string) {
	if known.until == 0 {
		return
	}
	known.until = 0
	r.metrics.coldReplicas.Update(float64(r.coldCount.Add(-1)))
	r.options.Logger.WithFields(log.Fields{"replica": string(replica), "source": source}).Info("replica warm")
}

// coldLocked returns the warm-up of a replica, nil if it is not cold. The caller holds mu.
func (r *Registry) coldLocked(replica wire.ReplicaID) *warmUp {
	known := r.warmUps[replica]
	if known == nil || known.until == 0 {
		return nil
	}
	if r.options.Clock() >= known.until {
		r.endWarmUp(replica, known, "time")
		return nil
	}
	return known
}

// coldStateOf returns what to tell other hosts of the warm-up of a replica, nil if it is not
// cold. The caller holds mu.
func (r *Registry) coldStateOf(replica wire.ReplicaID) *coldState {
	known := r.coldLocked(replica)
	if known == nil {
		return nil
	}
	now := r.options.Clock()
	state := &coldState{PerSecond: known.perSecond, Left: known.until - now, Sequence: known.sequence}
	if known.statedAt > 0 {
		state.Stated, state.Age = true, now-known.statedAt
	}
	return state
}

// statedColdOf is coldStateOf for a replica that is cold by a health response, which the other
// hosts do not know by themselves; else nil. The caller holds mu.
func (r *Registry) statedColdOf(replica wire.ReplicaID) *coldState {
	if state := r.coldStateOf(replica); state != nil && state.Stated {
		return state
	}
	return nil
}

// learnCold records what another host knows of the warm-up of a replica, if that is from a
// later registration, or from a health response after the newest registration that this
// host got. The caller holds mu.
func (r *Registry) learnCold(replica wire.ReplicaID, c *coldState) {
	known := r.warmUps[replica]
	statedAt := r.options.Clock() - c.Age
	switch {
	case known == nil:
	case c.Stated && statedAt > max(known.statedAt, known.registeredAt):
		r.noteStated(replica, known, c.Age+c.Left, statedAt, false)
	case !c.Stated && c.Sequence > known.sequence:
		known.sequence = c.Sequence
		r.setCold(replica, known, c.Left, sourcePeer)
	}
}

// Cold reports whether a replica is cold, so that a request must be sent to it as soon as its
// permit is used.
func (r *Registry) Cold(replica wire.ReplicaID) bool {
	if r.coldCount.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coldLocked(replica) != nil
}

// ColdPermitIn returns the time until there may be a permit for a cold replica; 0: the replica is
// not cold.
func (r *Registry) ColdPermitIn(replica wire.ReplicaID) time.Duration {
	if !r.Cold(replica) {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	at := max(now+askInterval, r.askerOf(replica).lostUntil)
	if known := r.replicas[replica]; known != nil {
		at = max(at, known.deniedUntil)
	}
	return at - now
}
