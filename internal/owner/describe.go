package owner

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Obstacle says why a replica is not usable; it is empty if it is usable.
type Obstacle string

// Obstacles, in the order in which Owner.Describe looks for them.
const (
	ObstacleNone        Obstacle = ""
	ObstacleUnknown     Obstacle = "unknown"     // not in the configuration in use
	ObstacleStopping    Obstacle = "stopping"    // this host sends nothing more
	ObstacleEvacuated   Obstacle = "evacuated"   // its data centre is out of use
	ObstacleLeaving     Obstacle = "leaving"     // it said so, or the host list names it as leaving
	ObstacleDraining    Obstacle = "draining"    // a reply or a status call reported draining
	ObstacleBackoff     Obstacle = "backoff"     // it wants no requests for a time
	ObstacleSilent      Obstacle = "silent"      // its data centre does not respond to this host
	ObstacleUnreachable Obstacle = "unreachable" // the last dial failed and no connection is open
)

// Description is what this host knows of one replica, without its rate limit.
type Description struct {
	Obstacle Obstacle
	Backoff  time.Duration // until the replica takes requests again; 0 unless it wants none
	Ejected  time.Duration // until the end of an ejection, during which sub-requests are refused
	// Wait is the estimate of EstimateWait, also for a replica that is not usable, and
	// Uncertainty that of StatedUncertainty.
	Wait, Uncertainty time.Duration
	// StatesLoad is whether any replica of the shard has stated its load.
	StatesLoad       bool
	InFlight, Queued int // sub-requests of this host
	// Load is what the replica stated LoadAge ago; its zero value means nothing.
	Load    wire.StatedLoad
	LoadAge time.Duration
}

// Describe returns what this host knows of a replica. It changes nothing, not even a metric.
func (o *Owner) Describe(id wire.ReplicaID) Description {
	r := o.table.Load().replicas[id]
	if r == nil {
		return Description{Obstacle: ObstacleUnknown}
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	d := Description{
		Obstacle: r.obstacle(), Backoff: o.BackoffOf(id), Ejected: max(0, r.health.ejectedUntil.Sub(now)),
		Wait: r.expectedAnswerTime(now), StatesLoad: r.group.statesLoad.Load(),
		InFlight: r.inFlight, Queued: len(r.queue),
	}
	if r.view.States() {
		d.Load, d.LoadAge = r.view.Stated(), r.view.Age(now)
	}
	if d.StatesLoad {
		_, d.Uncertainty = r.view.Estimate(r.inFlight+len(r.queue), r.slotLimit(now), now)
	}
	return d
}

// obstacle returns why the replica is not usable, apart from its rate limit. The caller
// holds mu.
func (r *replica) obstacle() Obstacle {
	switch {
	case r.removed:
		return ObstacleUnknown
	case r.closed:
		return ObstacleStopping
	case r.dataCentre.evacuated.Load():
		return ObstacleEvacuated
	case r.health.leaving:
		return ObstacleLeaving
	case r.health.draining():
		return ObstacleDraining
	case r.owner.BackoffOf(r.id) > 0:
		return ObstacleBackoff
	case r.dataCentre.silent.Load():
		return ObstacleSilent
	case r.unreachable(time.Now()):
		return ObstacleUnreachable
	}
	return ObstacleNone
}
