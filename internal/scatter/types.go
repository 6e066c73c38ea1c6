// Package scatter executes queries. For each query it chooses a snapshot, sends
// one sub-request per shard, hedges and retries within a budget, and merges the
// accepted replies into an answer that states its coverage.
package scatter

import (
	"context"
	"math"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// StatusSource requests the status of a service's replicas from their owners. It
// is used when this host has received no reply of the service recently. With an
// error, the infos that were received are returned as well.
type StatusSource interface {
	ReplicaStatus(ctx context.Context, service string) ([]ReplicaInfo, error)
}

// ReplicaInfo is the status of one replica as its owner reports it.
type ReplicaInfo struct {
	Replica wire.ReplicaID
	Shard   uint32
	Held    wire.SnapshotRange
	Load    wire.Load
}

// Query is one search over the shards of a service.
type Query struct {
	// Config is used until the query ends or is restarted. Required.
	Config  *release.Config
	Service string
	Search  string
	// Ledgers are the requested ledgers; empty means all of the service.
	Ledgers wire.RangeSet
	// Deadline is the time allowed from the start of Run. The search's deadline
	// applies if it is shorter or if this is 0.
	Deadline time.Duration
	// Elapsed is the time that passed before Run was called. It counts against the
	// latency goal.
	Elapsed time.Duration
	// LeastCoverage is a fraction from 0 to 1. The greater of it and the search's
	// least coverage applies.
	LeastCoverage float64
	// Repeatable allows hedges and retries after an unknown outcome, provided
	// that the search is repeatable too.
	Repeatable bool
	Payload    []byte
	// Key identifies the request for Options.Quarantined.
	Key wire.RequestKey
	// MaxAttempts bounds the replicas of a shard on which the query may run, if it is below the
	// limit of the search; 0: the limit of the search applies. It is set for a query that may have
	// run before, so its first tries count as retries.
	MaxAttempts int
	// OnSilent, if set, is called once if so many replicas stop to respond to this host while
	// sub-requests run that the least coverage can't be reached. attemptsLeft is MaxAttempts for
	// another run of the query, above 0. The query goes on.
	OnSilent func(attemptsLeft int)
	// ServersEnded is the number of servers that ended while they ran the request before.
	// If it is not 0, the request is sent to one replica at a time until a server answers.
	ServersEnded int
}

// Answer is the merged result of a query.
type Answer struct {
	Outcome wire.Outcome
	// Query is the id that the sub-requests carried. It is unique within an
	// Engine.
	Query         uint64
	Snapshot      uint64
	ConfigVersion uint64
	// Rows are ordered by shard.
	Rows        []wire.Row
	Coverage    Coverage
	Timing      Timing
	Work        Work
	LoadSignals LoadSignals
	// Leaving are the replicas whose replies to this query said that they leave for good.
	Leaving []wire.ReplicaID
}

// NoShard is the shard in Missing for requested ledgers that no shard holds.
const NoShard uint32 = math.MaxUint32

// ReasonNoShard is the reason in Missing for requested ledgers that no shard
// holds.
const ReasonNoShard wire.Reason = "no_shard"

// Coverage says which requested ledgers the accepted replies cover.
type Coverage struct {
	Requested uint64 // ledgers
	Covered   uint64 // ledgers
	Included  []Included
	Missing   []Missing
}

// Fraction returns Covered ÷ Requested, or 1 if no ledger was requested.
func (c Coverage) Fraction() float64 {
	if c.Requested == 0 {
		return 1
	}
	return float64(c.Covered) / float64(c.Requested)
}

// Included is a range of requested ledgers that an accepted reply of one shard
// covers.
type Included struct {
	Shard uint32
	Range wire.LedgerRange
}

// Missing is a range of requested ledgers that no accepted reply covers.
type Missing struct {
	Shard  uint32
	Range  wire.LedgerRange
	Reason wire.Reason
}

// Timing is the duration of a query and what determined it.
type Timing struct {
	Total time.Duration
	// SlowestShard is the shard that was completed last, or one that was not
	// completed at all.
	SlowestShard uint32
}

// Work counts the sub-requests and replies of a query.
type Work struct {
	FirstTries    int
	Hedges        int
	Retries       int
	Restarts      int // restarts of the whole query, 0 or 1
	Cancelled     int // attempts that were cancelled while outstanding
	Dropped       int // replies that were late, duplicate or for another snapshot
	BudgetRefused int // hedges and retries that the budget didn't allow
}

// LoadSignals are the load signals in the replies to a query. Admission control
// adjusts its limit by them.
type LoadSignals struct {
	// MaxQueueWait is the greatest expected queue wait that a reply reported.
	MaxQueueWait time.Duration
	// Refused reports whether an owner or a replica refused a sub-request because
	// of load or because too little time was left.
	Refused bool
}
