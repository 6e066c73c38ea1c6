// Package routing holds the routing table that the operators configure: which
// service, or which set of shards, answers the requests for a host name and path.
package routing

import (
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/account"
)

// Table is one version of the routing table. It must not be changed after the call
// of BuildIndex.
type Table struct {
	Version  uint64             `json:"version"`
	Routes   []Route            `json:"routes"`
	Services map[string]Service `json:"services"`
	Limits   Limits             `json:"limits"`
	// Accounts are the client accounts; empty: callers need no key.
	Accounts []account.Account `json:"accounts,omitempty"`

	byHost   map[string][]*Route // by lower-case host name; longest prefix first
	accounts *account.Directory
}

// Route determines how the requests for a host name and path prefix are answered.
// Either Shards or Targets is set.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"` // begins and ends with a slash
	// Repeatable is whether a request may run more than once.
	Repeatable  bool          `json:"repeatable"`
	Timeout     time.Duration `json:"timeout"`      // longest time to a final answer
	LatencyGoal time.Duration `json:"latency_goal"` // from the caller's first attempt to its answer; 0: none
	// MaxAttempts is the greatest number of replicas of each shard on which one
	// request may run; 0: no limit.
	MaxAttempts uint32 `json:"max_attempts"`
	Priority    int    `json:"priority"` // 0 is the most urgent
	// Targets are services that share the requests by weight; each request goes to
	// one of them.
	Targets []Target `json:"targets,omitempty"`
	// Shards are services that each answer with a part of the records. A request
	// goes to all of them and the parts are merged.
	Shards []string `json:"shards,omitempty"`
	// TopK is the number of records in a merged answer, which holds only the
	// greatest records of all parts in byte order.
	TopK int `json:"greatest,omitempty"`
	// LeastCoverage is the fraction of the shards, from 0 to 1, that must have
	// answered; otherwise the request fails.
	LeastCoverage float64 `json:"least_coverage,omitempty"`
	// AllowAnonymous is whether requests need no key although there are accounts.
	AllowAnonymous bool `json:"allow_anonymous,omitempty"`
}

// Target is a service that answers a share of a route's requests.
type Target struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"` // relative to the other targets
}

// Service is the operators' configuration of the replicas of a service.
type Service struct {
	MaxConnections uint32 `json:"connections"` // greatest number per replica, from all hosts together; 0: default
	// HealthPath is the path of the replicas' health check; empty:
	// DefaultHealthPath. A request for another path could run as a caller's.
	HealthPath string `json:"health_path,omitempty"`
	// WarmupRate is the rate, in requests a second of all hosts, that a cold replica takes; 0: no
	// bound.
	WarmupRate float64 `json:"warmup_rate,omitempty"`
}

// DefaultHealthPath is the path of a health check if the operators set none.
const DefaultHealthPath = "/health"

// Limits are the greatest sizes of a request that a caller may send.
type Limits struct {
	MaxHeaderBytes int   `json:"header_bytes"`
	MaxBodyBytes   int64 `json:"body_bytes"`
}

// Merged reports whether an answer is merged from the parts of all Shards, as
// opposed to coming from one of Targets.
func (r *Route) Merged() bool { return len(r.Shards) > 0 }

// ChooseService returns the service of a random target, chosen by weight. It
// returns "" if no target has a positive weight.
func (r *Route) ChooseService() string {
	var total float64
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	remaining := rand.Float64() * total
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		if remaining < t.Weight {
			return t.Service
		}
		remaining -= t.Weight
	}
	return ""
}

// hostName returns the host of a Host header without its port, in lower case.
func hostName(header string) string {
	if host, _, err := net.SplitHostPort(header); err == nil {
		header = host
	}
	return strings.ToLower(header)
}
