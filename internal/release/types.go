// Package release defines the release note, with which operators change the
// configuration, and the configuration itself. It parses, checks and applies
// notes, compares configurations, and splits them into documents for storage.
// It does no input or output and keeps no state.
package release

import (
	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// WaitRule determines when a search answers with less than full coverage.
type WaitRule string

const (
	// WaitCoverage waits for full coverage until the deadline.
	WaitCoverage WaitRule = "coverage"
	// WaitLatency waits for full coverage until the latency goal. After that, it
	// answers as soon as the least coverage is reached, at the latest at the
	// deadline.
	WaitLatency WaitRule = "latency"
)

// Config is one version of the configuration. It is immutable once built, so that
// a query can use the same Config from start to end while newer ones come into
// force.
type Config struct {
	Version  uint64              `json:"version"`
	Note     string              `json:"note"` // id of the note that made the version
	Services map[string]*Service `json:"services"`
	Searches map[string]*Search  `json:"searches"` // by SearchKey
}

// SearchKey returns the key of a search in Config.Searches: "service/search".
func SearchKey(service, search string) string { return service + "/" + search }

// Service is a set of shards that answer the same searches.
type Service struct {
	Name           string        `json:"name"`
	Slots          uint32        `json:"slots"`           // limit of requests in progress on one replica
	MaxConnections uint32        `json:"connections"`     // connection limit of one replica, for all entry hosts together
	ConnectCost    jwcc.Duration `json:"connect_cost"`    // time to open a connection
	OwnershipBlock uint32        `json:"ownership_block"` // consecutive shards with one owner host; default 1
	ExtraLoad      float64       `json:"extra_load"`      // hedges and retries per first try; default 0.03
	ExtraBurst     uint32        `json:"extra_burst"`     // most unspent hedges and retries that are kept; default 200
	// ExtraPerShard applies ExtraLoad and ExtraBurst to each shard instead of the
	// whole service, because the load to be limited is counted at each shard.
	// Every retry then counts, also the first one after a broken connection.
	ExtraPerShard bool `json:"extra_per_shard,omitempty"`
	// LocalWarmConnectionsOnly restricts warm connections to the replicas in the
	// host's own data centre, for services with more hosts than the connection
	// limit of a replica allows.
	LocalWarmConnectionsOnly bool `json:"near_connections,omitempty"`
	// ConnectOnDemand opens connections only when there are requests to send,
	// because another host usually queries the replicas on behalf of this one.
	ConnectOnDemand bool    `json:"on_demand,omitempty"`
	Shards          []Shard `json:"shards"`
}

// Shard holds one range of the ledgers of a service.
type Shard struct {
	ID       uint32           `json:"id"`
	Range    wire.LedgerRange `json:"range"`
	Replicas []Replica        `json:"replicas"`
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
	WaitRule      WaitRule      `json:"wait"`
	LatencyGoal   jwcc.Duration `json:"latency_goal"`
	Deadline      jwcc.Duration `json:"deadline"`       // longest deadline a caller may ask for, and the default
	LeastCoverage float64       `json:"least_coverage"` // fraction from 0 to 1; a result below it is an error
	// MaxAttempts bounds the replicas of a shard on which a query may run; 0
	// means no bound. Replicas that are known not to have run it don't count.
	MaxAttempts uint32    `json:"max_attempts,omitempty"`
	Objective   Objective `json:"objective"`
}

// Objective is the service-level objective that the burn report is based on.
type Objective struct {
	GoodFraction  float64       `json:"good"`     // target fraction of good requests, such as 0.99
	Latency       jwcc.Duration `json:"latency"`  // answers after this time are late
	LeastCoverage float64       `json:"coverage"` // fraction from 0 to 1; answers below it are not good
}

// Note is a release note: the services and searches that it adds, changes and
// withdraws from the configuration of version Base.
type Note struct {
	ID       string         `json:"id"`
	Base     uint64         `json:"base"` // version that the note was written against
	Author   string         `json:"author"`
	Services ServiceChanges `json:"services"`
	Searches SearchChanges  `json:"searches"`

	keyPositions *jwcc.KeyPositions // positions of the keys; nil if the note was not parsed from text
}

// ServiceChanges lists what a note does to services.
type ServiceChanges struct {
	Added     []Service `json:"added"`
	Changed   []Service `json:"changed"`
	Withdrawn []string  `json:"withdrawn"`
}

// SearchChanges lists what a note does to searches. Withdrawn holds their keys,
// "service/search".
type SearchChanges struct {
	Added     []Search `json:"added"`
	Changed   []Search `json:"changed"`
	Withdrawn []string `json:"withdrawn"`
}
