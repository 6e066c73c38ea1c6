// Package release holds the operators' documents: the release note, the
// configuration that it makes, and the checks, differences and application
// between them. All of it is pure functions on values.
package release

import (
	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// WaitRule says when a search answers with less than full coverage.
type WaitRule string

const (
	// WaitCoverage waits for full coverage until the deadline.
	WaitCoverage WaitRule = "coverage"
	// WaitLatency answers at the latency goal when the least coverage is
	// reached, and otherwise goes on until the deadline.
	WaitLatency WaitRule = "latency"
)

// Config is the configuration in force. It is immutable once built: a query
// keeps the pointer that it began with.
type Config struct {
	Version  uint64              `json:"version"`
	Note     string              `json:"note"`
	Services map[string]*Service `json:"services"`
	Searches map[string]*Search  `json:"searches"` // by "service/search"
}

// SearchKey returns the key of a search in Config.Searches.
func SearchKey(service, search string) string { return service + "/" + search }

// Service is a set of shards that answer the same searches.
type Service struct {
	Name           string        `json:"name"`
	Slots          uint32        `json:"slots"`           // requests at a time on one replica
	Connections    uint32        `json:"connections"`     // connection limit of one replica, over all entry hosts
	ConnectCost    jwcc.Duration `json:"connect_cost"`    // time to open a connection
	OwnershipBlock uint32        `json:"ownership_block"` // consecutive shards with one owner host; default 1
	ExtraLoad      float64       `json:"extra_load"`      // hedges and retries per first try; default 0.03
	ExtraBurst     uint32        `json:"extra_burst"`     // unspent hedges and retries kept; default 200
	// ExtraPerShard gives each shard an extra load and a burst of its own,
	// because what it guards counts the arrivals at each shard. No retry is
	// free of it then.
	ExtraPerShard bool `json:"extra_per_shard,omitempty"`
	// NearConnections keeps warm connections to replicas of the own data centre
	// only, because the entry hosts are too many for the limit of a replica.
	NearConnections bool `json:"near_connections,omitempty"`
	// OnDemand opens connections only for work, because another host usually
	// answers in place of this one.
	OnDemand bool    `json:"on_demand,omitempty"`
	Shards   []Shard `json:"shards"`
}

// Shard is a part of a service that holds one range of ledgers.
type Shard struct {
	ID       uint32        `json:"id"`
	Range    wire.KeyRange `json:"range"`
	Replicas []Replica     `json:"replicas"`
}

// Replica is one backend server that holds a shard.
type Replica struct {
	Addr       wire.ReplicaID `json:"addr"`
	DataCentre string         `json:"data_centre"`
}

// Search is a kind of request that a service answers.
type Search struct {
	Name          string        `json:"name"`
	Service       string        `json:"service"`
	Repeatable    bool          `json:"repeatable"`
	Wait          WaitRule      `json:"wait"`
	LatencyGoal   jwcc.Duration `json:"latency_goal"`
	Deadline      jwcc.Duration `json:"deadline"`       // longest deadline a caller may ask for, and the default
	LeastCoverage float64       `json:"least_coverage"` // fraction 0 to 1 below which the result is an error
	// MaxAttempts bounds the replicas of a shard on which a query may run; 0
	// means no bound. Replicas that proved not to run it don't count.
	MaxAttempts uint32    `json:"max_attempts,omitempty"`
	Objective   Objective `json:"objective"`
}

// Objective is the service level that the burn report measures against.
type Objective struct {
	Good     float64       `json:"good"`     // fraction of requests that must be good, such as 0.99
	Latency  jwcc.Duration `json:"latency"`  // slower answers are late
	Coverage float64       `json:"coverage"` // answers below are not good
}

// Note is a release note: what is added, changed and withdrawn.
type Note struct {
	ID       string         `json:"id"`
	Base     uint64         `json:"base"` // version that the note was written against
	Author   string         `json:"author"`
	Services ServiceChanges `json:"services"`
	Searches SearchChanges  `json:"searches"`

	source *jwcc.Source // places of the keys; nil when the note did not come from text
}

// ServiceChanges lists what a note does to services.
type ServiceChanges struct {
	Added     []Service `json:"added"`
	Changed   []Service `json:"changed"`
	Withdrawn []string  `json:"withdrawn"`
}

// SearchChanges lists what a note does to searches; withdrawn ones are named
// by "service/search".
type SearchChanges struct {
	Added     []Search `json:"added"`
	Changed   []Search `json:"changed"`
	Withdrawn []string `json:"withdrawn"`
}
