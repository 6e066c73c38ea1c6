// Package gateway answers callers' requests: it finds the route for a host name
// and path, runs the query on the route's service or shards, here or at another
// host, and merges the parts.
package gateway

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/account"
	"github.com/arbutusgauge/arbutusgauge/internal/catalog"
	"github.com/arbutusgauge/arbutusgauge/internal/quarantine"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/scatter"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Engine runs queries on the replicas; *scatter.Engine implements it.
type Engine interface {
	Run(ctx context.Context, q scatter.Query) (*scatter.Answer, error)
}

// Request is one attempt of a caller.
type Request struct {
	ID       string        // the caller's id of this attempt, for logs
	Host     string        // as in the Host header
	Path     string        // without the query part
	TimeLeft time.Duration // the time from Arrived on that the caller still waits; 0: not stated
	Arrived  time.Time
	// Credential shows the client account of the request.
	Credential account.Credential
	// Payload returns the payload for the replicas. part is whether the request is for a part
	// of a merged answer, and from is whom it is from.
	Payload func(part bool, from account.Identity) []byte
	// Key identifies the request when it comes again; the zero value disables the
	// quarantine for it.
	Key wire.RequestKey
}

// Answer is the answer to a successful request. A merged answer has Proofs,
// MissingShards and Records, any other one has Single.
type Answer struct {
	Merged        bool
	Proofs        []string // one for each part in the answer, as received from its replica
	MissingShards int      // number of shards without a part
	Records       []byte   // the greatest records of the parts, in descending order
	Single        []byte   // the replica's response as the adapter encoded it
	// Leaving are the replicas that said in their replies that they leave for good.
	Leaving []wire.ReplicaID
}

// ForwardedQuery is a query that is forwarded to another host. It is sent as JSON.
type ForwardedQuery struct {
	ID       string        `json:"id"`
	Host     string        `json:"host"`
	Path     string        `json:"path"`
	Version  uint64        `json:"version"` // of the sender's routing table
	TimeLeft time.Duration `json:"left"`    // until the deadline
	Elapsed  time.Duration `json:"used"`    // since the caller's request arrived; counts against the latency goal
	Payload  []byte        `json:"payload"`
	// Single is set if the query is not merged. A host of an earlier version does not run such
	// a query.
	Single bool `json:"single,omitempty"`
	// MaxAttempts bounds the replicas of a shard on which the query may still run, above 0 for one
	// that may have run already; 0: the limit of the route applies.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Service is the service that the sender would query.
	Service string `json:"-"`
	// Key is zero in queries of hosts of earlier versions.
	Key wire.RequestKey `json:"key,omitzero"`
}

// Failure classifies the failure of a forwarded query; "" means that it was
// answered.
type Failure string

// Values of Failure. They are sent between hosts.
const (
	FailedNotRun   Failure = "not run"        // no replica ran any part
	FailedCoverage Failure = "below coverage" // parts ran, but cover less than the least coverage
	FailedUnknown  Failure = "unknown"        // parts may have run
)

// ForwardOutcome is the result of a forwarded query. It is sent as JSON.
type ForwardOutcome struct {
	Failure Failure `json:"failure,omitempty"`
	Reason  string  `json:"reason,omitempty"` // error text of the failure
	// Unreachable is set if the host did not run the query because it reaches too few of the
	// replicas. Another host may reach them.
	Unreachable bool `json:"unreachable,omitempty"`
	// RetryAfter is the time after which a query that was not run may be run; 0: it is not known.
	RetryAfter    time.Duration     `json:"retry_after,omitempty"`
	Version       uint64            `json:"version,omitempty"` // of the routing table that was used
	Proofs        []string          `json:"proofs,omitempty"`  // as in Answer
	MissingShards int               `json:"shards,omitempty"`  // number of shards without a part
	Records       []byte            `json:"records,omitempty"` // as in Answer
	Single        []byte            `json:"single,omitempty"`  // as in Answer, of a query that is not merged
	Coverage      float64           `json:"coverage"`          // covered fraction, 0 to 1
	Missing       []scatter.Missing `json:"missing,omitempty"` // the parts left out, with reasons
	Work          scatter.Work      `json:"work"`
	// Leaving are the replicas that said in their replies that they leave for good.
	Leaving []wire.ReplicaID `json:"leaving,omitempty"`
	Peer    string           `json:"-"` // address of the host that ran the query; set by the Forwarder
}

// Forwarder forwards queries to another host.
type Forwarder interface {
	// Forward returns the outcome of a query at another host. *NotForwardedError
	// means that no host runs the query, so that this host may run it. After any
	// other error it may run elsewhere, so this host must not run it.
	Forward(ctx context.Context, query *ForwardedQuery) (*ForwardOutcome, error)
}

// Permits gets permits to use replicas that advertise a rate limit.
type Permits interface {
	// Prepare gets the permits that a query of the service needs, as far as there are
	// any. It waits for a few round trips at most.
	Prepare(ctx context.Context, service *release.Service)
}

// Quarantine decides about requests that may crash the servers that run them.
type Quarantine interface {
	// Check returns an error for a request that must not be sent to servers.
	Check(key wire.RequestKey) error
	// Admit is Check for a request that this host is about to send to servers, and says
	// how it may be sent; timeLeft is the time until its deadline. A suspected request waits for
	// the permission of another host.
	Admit(ctx context.Context, key wire.RequestKey, timeLeft time.Duration) (quarantine.Admission, error)
}

// Quotas limits the requests of client accounts over all hosts.
type Quotas interface {
	// Admit takes a request from the quota of an account; refund returns it if the request
	// does not run. An error means that the request must not run.
	Admit(ctx context.Context, of *account.Account) (refund func(), err error)
}

// noQuotas is a Quotas that admits all requests.
type noQuotas struct{}

func (noQuotas) Admit(context.Context, *account.Account) (func(), error) { return func() {}, nil }

// noQuarantine is a Quarantine that admits all requests.
type noQuarantine struct{}

func (noQuarantine) Check(wire.RequestKey) error { return nil }

func (noQuarantine) Admit(context.Context, wire.RequestKey, time.Duration) (quarantine.Admission, error) {
	return quarantine.Admission{Done: func(bool) {}}, nil
}

// Options configure a Gateway.
type Options struct {
	Engine Engine
	// Forwarder forwards merged queries to larger hosts; nil means that this host runs all
	// queries itself.
	Forwarder Forwarder
	// Failover forwards queries whose replicas this host does not reach; nil means that they
	// are refused.
	Failover Forwarder
	// OnNewerTable is called after a peer used a newer routing table than this
	// host has to answer a query. peer is its address. OnNewerTable may be nil.
	OnNewerTable func(peer string)
	// OnLeaving is called with the replicas that said to another host, in a query that this host
	// forwarded, that they leave for good. OnLeaving may be nil.
	OnLeaving func([]wire.ReplicaID)
	// View returns the current view of the deployment, nil while none is known.
	View func() *catalog.View
	// Permits gets permits for replicas that advertise a rate limit; nil: none is needed.
	Permits Permits
	// Quarantine decides about requests that may crash servers; default: all are admitted.
	Quarantine Quarantine
	// Quotas limits the requests of client accounts; default: all are admitted.
	Quotas Quotas
	Scope  tally.Scope // default: no metrics
}
