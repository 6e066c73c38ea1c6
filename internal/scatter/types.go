// Package scatter executes one query: it chooses a snapshot, sends one
// sub-request per shard, hedges and retries within a budget, and merges the
// accepted replies into an answer with its true coverage.
package scatter

import (
	"context"
	"math"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// StatusSource asks the owners of a service's replicas what they know. It is
// used when this host has learned nothing of the service recently.
type StatusSource interface {
	ReplicaStatus(ctx context.Context, service string) ([]ReplicaInfo, error)
}

// ReplicaInfo is an owner's view of one replica.
type ReplicaInfo struct {
	Replica wire.ReplicaID
	Shard   uint32
	Held    wire.Held
	Load    wire.Load
}

// Query is one search over the shards of a service.
type Query struct {
	// Config stays in use until the query ends or is restarted.
	Config  *release.Config
	Service string
	Search  string
	// Ledgers are the requested ledgers; empty means all of the service.
	Ledgers wire.RangeSet
	// Deadline is the time allowed; 0 or more than the search's means the
	// search's.
	Deadline time.Duration
	// Used is the time that passed before the query came here; it counts against
	// the latency goal.
	Used time.Duration
	// LeastCoverage is a fraction of 0 to 1; it can only raise the search's.
	LeastCoverage float64
	// Repeatable allows hedges and retries after an unknown outcome. The
	// search must allow them too.
	Repeatable bool
	Payload    []byte
}

// Answer is the merged result of a query.
type Answer struct {
	Outcome wire.Outcome
	// Query is the id that the sub-requests carried.
	Query         uint64
	Snapshot      uint64
	ConfigVersion uint64
	// Rows are in the order of the shards.
	Rows     []wire.Row
	Coverage Coverage
	Timing   Timing
	Work     Work
	Seen     Seen
}

// NoShard is the shard number of requested ledgers that no shard holds.
const NoShard uint32 = math.MaxUint32

// ReasonNoShard explains requested ledgers that no shard holds.
const ReasonNoShard wire.Reason = "no_shard"

// Coverage says which requested ledgers the accepted replies cover.
type Coverage struct {
	Requested uint64 // ledgers
	Covered   uint64 // ledgers
	Included  []Included
	Missing   []Missing
}

// Fraction returns covered ÷ requested; 1 when nothing was requested.
func (c Coverage) Fraction() float64 {
	if c.Requested == 0 {
		return 1
	}
	return float64(c.Covered) / float64(c.Requested)
}

// Included is a range of ledgers that one shard answered for.
type Included struct {
	Shard uint32
	Range wire.KeyRange
}

// Missing is a range of requested ledgers without an accepted reply.
type Missing struct {
	Shard  uint32
	Range  wire.KeyRange
	Reason wire.Reason
}

// Timing tells where the time went.
type Timing struct {
	Total time.Duration
	// SlowestShard is the shard whose part was completed last.
	SlowestShard uint32
}

// Work counts the sub-requests of a query.
type Work struct {
	FirstTries    int
	Hedges        int
	Retries       int
	Restarts      int // restarts of the whole query, 0 or 1
	Cancelled     int // attempts that lost and were cancelled
	Dropped       int // replies that were late, duplicate or of another snapshot
	BudgetRefused int // hedges and retries that the budget didn't allow
}

// Seen is what the replies told about the load on the owners, for admission.
type Seen struct {
	// Wait is the greatest expected queue wait on a reply.
	Wait time.Duration
	// Refused reports that an owner refused a sub-request because of load.
	Refused bool
}
