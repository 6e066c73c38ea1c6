// Package aggregate forwards queries to other hosts: merged queries from smaller hosts to
// larger ones, and, for package failover, queries whose replicas this host does not reach. A
// host that answers many queries knows the condition of the replicas from its own
// traffic, needs few warm connections to each of them, and has the processor
// time for a hundred parts; a small host has none of these advantages.
//
// A query is forwarded as a whole, in three steps: the sender offers it,
// the peer accepts it at once by an interim response, and the sender
// confirms the offer, after which the query runs. Until it has confirmed, the
// sender may withdraw the offer and answer the query itself or offer it elsewhere.
package aggregate

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/gateway"
	"github.com/arbutusgauge/arbutusgauge/internal/readlimit"
)

// PathQuery is the path at which a host accepts queries from peers.
const PathQuery = "/v1/query"

const (
	// defaultAcceptTimeout is the default of Options.AcceptTimeout.
	defaultAcceptTimeout = 60 * time.Millisecond
	// avoidDuration is how long a peer gets no query after a query failed there.
	avoidDuration = 2 * time.Second
	// maxRunningQueries limits the queries that this host runs for peers at the
	// same time.
	maxRunningQueries = 64
	// maxQueryBytes and maxReplyBytes limit the size of a message, and
	// maxReplyHeadBytes the head of a reply with its interim responses.
	maxQueryBytes     = 1 << 20
	maxReplyBytes     = 8 << 20
	maxReplyHeadBytes = 16 << 10
	// offerTimeout limits how long a peer may take to send its query, and to
	// confirm it after its acceptance. A sender waits for its AcceptTimeout at most.
	offerTimeout = time.Second
	// hopTime is the time that a query and its answer need between two hosts of a
	// data centre. It counts against the latency goal, as twice Peer.Delay does.
	hopTime = 4 * time.Millisecond
	// replyGrace is the time beyond a query's deadline in which its answer may
	// still arrive.
	replyGrace = 20 * time.Millisecond
	// maxIdleConnections is the number of idle connections kept to each peer, and
	// idleConnectionTimeout how long.
	maxIdleConnections    = 8
	idleConnectionTimeout = 30 * time.Second
)

// Runner runs queries on this host.
type Runner interface {
	// Serve runs a query of another host; a failure is part of the outcome.
	Serve(ctx context.Context, query *gateway.ForwardedQuery) *gateway.ForwardOutcome
	// Version returns the version of the current routing table, 0 for none.
	Version() uint64
}

// Peer is a host that answers queries for this one.
type Peer struct {
	Addr  string        // "ip:port"
	Delay time.Duration // assumed one-way network delay beyond that within a data centre
}

// Options configure a Client.
type Options struct {
	// Peers returns the hosts to forward queries to, in groups in order of
	// preference. Without any this host answers all queries itself.
	Peers func() [][]Peer
	// AcceptTimeout limits the time until a peer accepts a query, which a frozen or
	// overloaded peer does not do in time; default 60 ms.
	AcceptTimeout time.Duration
	Budget        *readlimit.Budget // memory for replies being read; default: unlimited
	Scope         tally.Scope       // default: no metrics
	Logger        log.Interface     // default: no log
}

// withDefaults returns the options with defaults for unset fields.
func (o Options) withDefaults() Options {
	if o.AcceptTimeout <= 0 {
		o.AcceptTimeout = defaultAcceptTimeout
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Handler: discard.Default}
	}
	return o
}

// PeerError reports a peer that refused a query, or that answered without an
// outcome.
type PeerError struct {
	Peer string
	Code int // HTTP status of its answer; 200: without an outcome
}

// Error implements error.
func (e *PeerError) Error() string {
	if e.Code == http.StatusOK {
		return "peer " + e.Peer + " answered the query without an outcome"
	}
	return "peer " + e.Peer + " refused the query: HTTP status " + strconv.Itoa(e.Code)
}

// UnreachableError reports a peer that took a query but reaches too few of its replicas, so
// that the query did not run.
type UnreachableError struct{ Peer string }

// Error implements error.
func (e *UnreachableError) Error() string {
	return "peer " + e.Peer + " reaches too few replicas for the query"
}

// QueryError reports a message of a peer that names no request or no routing
// table.
type QueryError struct{}

// Error implements error.
func (*QueryError) Error() string { return "query names no request or no routing table" }

// AcceptTimeoutError reports a peer that did not accept a query within
// Options.AcceptTimeout.
type AcceptTimeoutError struct{ Timeout time.Duration }

// Error implements error.
func (e *AcceptTimeoutError) Error() string {
	return "peer did not accept the query within " + e.Timeout.String()
}
