package owner

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/quarantine"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Ownership decides which replicas this host owns.
type Ownership interface {
	// Owns reports whether this host owns the replica according to its current
	// view of the members. It is called often and must not block.
	Owns(service string, shard uint32, replica wire.ReplicaID) bool
}

// RateLimiter keeps the rate limits that replicas advertise in their responses. It is
// called with a replica locked and must not block or call the owner.
type RateLimiter interface {
	// Observe records what a response says of the limit; took is the time since
	// its request was sent.
	Observe(replica wire.ReplicaID, limit wire.RateLimit, took time.Duration)
	// Allows reports whether a sub-request may be sent to the replica now.
	Allows(replica wire.ReplicaID) bool
	// Take is called for each sub-request before it is sent. False means that the
	// limit does not allow it.
	Take(replica wire.ReplicaID) bool
	// Cold reports whether the replica is cold, so that a sub-request must be sent at once
	// after Take: the limit holds for each second.
	Cold(replica wire.ReplicaID) bool
	// ObserveWarmUp records that a status call said for how long the replica stays cold.
	ObserveWarmUp(replica wire.ReplicaID, left time.Duration)
}

// Suspects learns which requests servers ended under.
type Suspects interface {
	// ServerEnded reports that a server has ended while it ran requests.
	ServerEnded(replica wire.ReplicaID, runs []quarantine.Run)
	// Answered reports that a server answered a request.
	Answered(key wire.RequestKey)
}

// noSuspects is a Suspects that ignores what it is told.
type noSuspects struct{}

func (noSuspects) ServerEnded(wire.ReplicaID, []quarantine.Run) {}
func (noSuspects) Answered(wire.RequestKey)                     {}

// noRateLimits is a RateLimiter that ignores all limits.
type noRateLimits struct{}

func (noRateLimits) Observe(wire.ReplicaID, wire.RateLimit, time.Duration) {}
func (noRateLimits) Allows(wire.ReplicaID) bool                            { return true }
func (noRateLimits) Take(wire.ReplicaID) bool                              { return true }
func (noRateLimits) Cold(wire.ReplicaID) bool                              { return false }
func (noRateLimits) ObserveWarmUp(wire.ReplicaID, time.Duration)           {}

// ReplicaInfo is the state of a replica as observed by this host.
type ReplicaInfo struct {
	Replica     wire.ReplicaID
	Service     string
	Shard       uint32
	Held        wire.SnapshotRange
	Load        wire.Load
	Connections int  // number that this host has open
	Owned       bool // this host owns the replica in its own view of the members
}
