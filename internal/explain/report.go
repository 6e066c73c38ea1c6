// Package explain tells where a request would go now and why, without sending it. It only
// reads: no quota, permit or connection is used, and no metric changes.
package explain

import (
	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
)

// Callers, as Report.Caller names them.
const (
	CallerUnchecked = "not_checked" // the routing table has no accounts
	CallerAccount   = "account"
	CallerAnonymous = "anonymous"
	CallerRefused   = "refused"
)

// Report tells where a request would go.
type Report struct {
	Host       string `json:"host"` // the entry host that explains
	DataCentre string `json:"data_centre"`
	Version    uint64 `json:"version"` // of the routing table
	Route      string `json:"route,omitempty"`
	Caller     string `json:"caller,omitempty"`
	Account    string `json:"account,omitempty"`
	// Refused is set if the request would be refused before any service is chosen.
	Refused *Refusal `json:"refused,omitempty"`
	// ForwardTo are the addresses of the aggregators, one of which the host would choose at
	// random to forward the query to. It runs the query itself if that one does not accept it,
	// or if there is none.
	ForwardTo []string `json:"forward_to,omitempty"`
	// Targets are the services of which one would be chosen at random by its share, or the one
	// set of merged shards.
	Targets []Target `json:"targets,omitempty"`
	// NotChecked are the reasons for a refusal that depend on more than this request or on more
	// than this host.
	NotChecked []string `json:"not_checked,omitempty"`
}

// Refusal tells how a request would be refused.
type Refusal struct {
	Status int    `json:"status"` // HTTP status code
	Reason string `json:"reason"`
}

// Target is a service, or a set of merged shards, that would answer the request.
type Target struct {
	Service string  `json:"service,omitempty"` // empty: merged shards
	Merged  bool    `json:"merged"`
	Share   float64 `json:"share"` // probability that this target is chosen, 0 to 1
	// Refused is set if this host would refuse to run the request.
	Refused *Refusal `json:"refused,omitempty"`
	// FailoverTo are hosts that reach the service, one of which would get a request that is refused
	// because too few shards are usable. None is known while no such request has come for
	// 2 s; the host would ask some then.
	FailoverTo    []string `json:"failover_to,omitempty"`
	ShardCount    int      `json:"shard_count"`
	UsableShards  int      `json:"usable_shards"` // with a usable replica
	Shards        []Shard  `json:"shards"`
	ShardsOmitted int      `json:"shards_omitted,omitempty"` // beyond maxShards
}

// Shard is one shard with its candidate replicas.
type Shard struct {
	Name   string `json:"name"`
	Choice Choice `json:"choice"`
	// Unusual is set if the shard lacks a usable replica, has one that is not usable, or its
	// choice is in another data centre although it has a replica in this one.
	Unusual         bool      `json:"unusual"`
	Replicas        []Replica `json:"replicas"`
	ReplicasOmitted int       `json:"replicas_omitted,omitempty"` // beyond maxReplicas
}

// Choice tells which replica would be chosen now.
type Choice struct {
	// Least are the candidates with the least expected time. Empty: none is usable.
	Least []string `json:"least"`
	// Candidates is the number of replicas that may be chosen. Above 1, the choice is at random.
	Candidates int `json:"candidates"`
}

// Replica is a candidate.
type Replica struct {
	Addr       string `json:"addr"`
	DataCentre string `json:"data_centre"`
	Usable     bool   `json:"usable"`
	Reason     Reason `json:"reason,omitempty"` // set if not usable
	// TimeLeft is the time until the end of a backoff or an ejection.
	TimeLeft jwcc.Duration `json:"time_left,omitempty"`
	// Wait is the estimated time to an answer, and Price what the choice adds for the way to
	// another data centre and for recent failures.
	Wait     jwcc.Duration `json:"wait"`
	Price    jwcc.Duration `json:"price,omitempty"`
	InFlight int           `json:"in_flight"` // of this host
	Queued   int           `json:"queued"`    // at this host
	Stated   *StatedLoad   `json:"stated,omitempty"`
}

// StatedLoad is the load that a replica stated.
type StatedLoad struct {
	Running  uint32        `json:"running"`
	Waiting  uint32        `json:"waiting"`
	Slots    uint32        `json:"slots"`
	Slowness uint32        `json:"slowness,omitempty"` // percent of the usual time
	Age      jwcc.Duration `json:"age"`
}

// Reason says why a replica is not usable.
type Reason string

// Reasons.
const (
	ReasonNone        Reason = ""
	ReasonUnknown     Reason = "unknown"
	ReasonStopping    Reason = "host_stopping"
	ReasonEvacuated   Reason = "data_centre_out_of_use"
	ReasonLeaving     Reason = "leaving"
	ReasonDraining    Reason = "draining"
	ReasonBackoff     Reason = "backoff"
	ReasonSilent      Reason = "data_centre_silent"
	ReasonUnreachable Reason = "unreachable"
	ReasonRateLimited Reason = "rate_limited_without_permit"
	ReasonCold        Reason = "cold_without_permit"
	ReasonEjected     Reason = "ejected" // after repeated failures
)
