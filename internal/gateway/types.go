// Package gateway answers requests by host name and path: it finds the route,
// runs the query on the route's service or shards, and merges the parts.
package gateway

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/catalog"
	"github.com/arbutusgauge/arbutusgauge/internal/scatter"
)

// Engine executes queries.
type Engine interface {
	Run(ctx context.Context, q scatter.Query) (*scatter.Answer, error)
}

// Request is one attempt of a caller.
type Request struct {
	ID      string        // the caller's id of this attempt, for logs
	Host    string        // as in the Host header
	Path    string        // without the query part
	Left    time.Duration // the time that the caller still waits; 0: it did not say
	Arrived time.Time
	// Payload is passed on to the replicas. Part tells the adapter of the
	// replicas whether the request is for a part of a merged answer.
	Payload func(part bool) []byte
}

// Answer is a success.
type Answer struct {
	// Merged answers have Proofs, Missing and Records, others Single.
	Merged  bool
	Proofs  []string // one for each part in the answer, as its replica gave it
	Missing int      // shards without a part
	Records []byte   // the greatest records of the parts, falling
	Single  []byte   // the replica's response as the adapter encoded it
}

// Forwarded is a merged query that another host answers.
type Forwarded struct {
	ID      string        `json:"id"`
	Host    string        `json:"host"`
	Path    string        `json:"path"`
	Version uint64        `json:"version"` // of the sender's routing table
	Left    time.Duration `json:"left"`    // until the answer is of no use
	Used    time.Duration `json:"used"`    // since the caller's request arrived
	Payload []byte        `json:"payload"`
}

// Failure says how a forwarded query failed; "" means that it was answered.
type Failure string

// Failures.
const (
	FailedNotRun   Failure = "not run"        // provably nothing ran
	FailedCoverage Failure = "below coverage" // it ran and reached too few shards
	FailedUnknown  Failure = "unknown"        // it may have run
)

// Outcome is what became of a forwarded query.
type Outcome struct {
	Failure  Failure           `json:"failure,omitempty"`
	Reason   string            `json:"reason,omitempty"`  // of the failure
	Version  uint64            `json:"version,omitempty"` // of the routing table that decided
	Proofs   []string          `json:"proofs,omitempty"`
	Shards   int               `json:"shards,omitempty"` // without a part
	Records  []byte            `json:"records,omitempty"`
	Coverage float64           `json:"coverage"`
	Missing  []scatter.Missing `json:"missing,omitempty"` // why parts are left out
	Work     scatter.Work      `json:"work"`
	Peer     string            `json:"-"` // that answered
}

// Forwarder hands merged queries to a larger host.
type Forwarder interface {
	// Forward returns what another host made of a query. *NotTakenError means
	// that none has taken it on, so that this host may answer it.
	Forward(ctx context.Context, query *Forwarded) (*Outcome, error)
}

// Options configure a Gateway.
type Options struct {
	Engine Engine
	// Forwarder may answer merged queries in place of this host; nil: none does.
	Forwarder Forwarder
	// Behind is told that a peer answered by a newer routing table; it may be nil.
	Behind func(peer string)
	// View returns the present state of the deployment, nil while none is known.
	View  func() *catalog.View
	Scope tally.Scope // default: no metrics
}
