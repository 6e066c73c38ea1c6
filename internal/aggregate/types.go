// Package aggregate hands merged queries from smaller hosts to larger ones. A
// host that answers many queries knows the condition of the replicas from its own
// traffic, keeps few warm connections to each of them, and has the processor
// time for a hundred parts; a small host has none of these.
//
// A query is handed on as a whole. The larger host says at once that it has
// taken the query on; until then the smaller one may still answer it itself.
package aggregate

import (
	"context"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/gateway"
)

// PathQuery is the path at which a host takes queries of its peers.
const PathQuery = "/v1/query"

const (
	// acceptWait bounds the time until a peer says that it has taken a query on.
	// A frozen or overloaded one does not.
	acceptWait = 60 * time.Millisecond
	// avoidFor is how long a peer gets no query after it failed to take one.
	avoidFor = 2 * time.Second
	// maxRunning bounds the queries that run for peers at the same time.
	maxRunning = 64
	// maxQuery and maxReply bound a message, in bytes.
	maxQuery = 1 << 20
	maxReply = 8 << 20
	// hop is the time that a query and its answer need between two hosts; it
	// counts against the latency goal.
	hop = 4 * time.Millisecond
	// replySlack is the time beyond a query's deadline in which its answer may
	// still arrive.
	replySlack = 20 * time.Millisecond
	// idleConnections are kept to each peer.
	idleConnections = 8
	idleTimeout     = 30 * time.Second
)

// Runner answers queries on this host.
type Runner interface {
	Serve(ctx context.Context, query *gateway.Forwarded) *gateway.Outcome
	Version() uint64 // of the routing table in force; 0: none
}

// Options configure a Client.
type Options struct {
	// Peers returns the addresses of the hosts to hand queries to, in groups of
	// falling preference; no group means that this host answers itself.
	Peers  func() [][]string
	Scope  tally.Scope   // default: no metrics
	Logger log.Interface // default: no log
}

// withDefaults fills in what is not set.
func (o Options) withDefaults() Options {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Handler: discard.Default}
	}
	return o
}

// PeerError reports a peer that did not take a query on.
type PeerError struct {
	Peer string
	Code int // of its answer; 0: none
	Err  error
}

// Error implements error.
func (e *PeerError) Error() string {
	if e.Err != nil {
		return "peer " + e.Peer + " took no query: " + e.Err.Error()
	}
	return "peer " + e.Peer + " took no query: status " + strconv.Itoa(e.Code)
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Err }

// SlowError reports a peer that did not say in time that it has taken a query on.
type SlowError struct{}

// Error implements error.
func (*SlowError) Error() string { return "no word within " + acceptWait.String() }
