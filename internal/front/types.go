// Package front is the HTTP interface of an entry host to callers and
// operators, and the receiving side of forwarded ticketed requests.
package front

import (
	"context"
	"io"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Search is one caller's search that passed all checks.
type Search struct {
	Request       string // request id
	Config        *release.Config
	Service       *release.Service
	Search        *release.Search
	Ledgers       wire.RangeSet // requested ledgers; nil: all of the service
	Deadline      time.Time     // with a monotonic clock reading
	LeastCoverage float64       // fraction 0 to 1
	Payload       []byte
	// Repeatable allows sub-requests to be sent again after an unknown
	// outcome. It is false for every ticketed request.
	Repeatable bool
}

// Answer is the result of a search that reached its least coverage.
type Answer struct {
	ConfigVersion uint64
	Snapshot      uint64
	Rows          []wire.Row
	Coverage      Coverage
	SlowestShard  uint32 // number of the shard whose part was completed last
	Work          Work
	Warnings      []string // one for each missing shard and reason
	LoadSignals   LoadSignals
}

// Coverage says which of the requested ledgers an answer covers.
type Coverage struct {
	Fraction  float64        `json:"fraction"`
	Requested uint64         `json:"requested"` // ledgers
	Covered   uint64         `json:"covered"`   // ledgers
	Included  []Included     `json:"included"`
	Missing   []MissingRange `json:"missing"`
}

// Included is a covered range of ledgers of one shard.
type Included struct {
	Shard uint32           `json:"shard"`
	Range wire.LedgerRange `json:"range"`
}

// MissingRange is a range of ledgers that is not covered.
type MissingRange struct {
	Shard  uint32           `json:"shard"`
	Range  wire.LedgerRange `json:"range"`
	Reason wire.Reason      `json:"reason"`
}

// Work counts the sub-requests of a search.
type Work struct {
	FirstTries int `json:"first_tries"`
	Hedges     int `json:"hedges"`
	Retries    int `json:"retries"`
	Cancelled  int `json:"cancelled"`
	Dropped    int `json:"dropped"` // replies to attempts that had ended
}

// Engine runs searches. Run returns an answer or an error. *SearchError states
// the outcome; after any other error the outcome is unknown.
type Engine interface {
	Run(ctx context.Context, search Search) (*Answer, error)
}

// Admission accepts or refuses whole searches.
type Admission interface {
	// Admit admits a search or returns *OverloadedError. After an admission
	// done must be called once, when the search has ended.
	Admit(service *release.Service, search *release.Search) (done func(Feedback), err error)
}

// Feedback tells admission the load and latency that an admitted search saw.
type Feedback struct {
	LoadSignals LoadSignals
	Latency     time.Duration // of the engine's run; 0 when the search did not run
}

// LoadSignals is the load on the owners, as reported in the replies to a search.
type LoadSignals struct {
	MaxQueueWait time.Duration // greatest expected queue wait
	Refused      bool          // an owner refused a sub-request because of load
}

// Configs provides the configuration in force; Current returns nil when there is
// none.
type Configs interface {
	Current() *release.Config
}

// Operator applies release notes and lists the last ones.
type Operator interface {
	// Apply checks a note and, unless dryRun is set, brings it into force.
	// Errors: *BadNoteError, *ConflictError, *StoreError.
	Apply(ctx context.Context, file string, note []byte, dryRun bool) (*ApplyResult, error)
	// History returns the last notes, newest first. Errors: *StoreError.
	History(ctx context.Context) (*History, error)
}

// ApplyResult is the result of applying a release note. In a dry run Applied is
// false and Version is the one that the note would bring into force.
type ApplyResult struct {
	Applied        bool   `json:"applied"`
	Version        uint64 `json:"version"`
	Note           string `json:"note"`
	AlreadyApplied bool   `json:"already"` // the note was applied before the call
}

// History holds the version of the configuration in force and the last notes,
// newest first.
type History struct {
	Version uint64               `json:"version"`
	Notes   []release.NoteRecord `json:"notes"`
}

// Replicas provides the state of the replicas that this host owns.
type Replicas interface {
	// Replicas returns the replicas of one service, or of all when service is
	// empty.
	Replicas(service string) []ReplicaStatus
}

// ReplicaStatus is the state of one replica at its owner.
type ReplicaStatus struct {
	Replica     wire.ReplicaID `json:"replica"`
	Service     string         `json:"service"`
	Shard       uint32         `json:"shard"`
	State       string         `json:"state"`
	InFlight    uint32         `json:"in_flight"`
	Queued      uint32         `json:"queued"`
	Slots       uint32         `json:"slots"`
	Held        HeldSnapshots  `json:"held"`
	Connections uint32         `json:"connections"`
}

// HeldSnapshots is the range of snapshots that a replica holds, both inclusive.
type HeldSnapshots struct {
	Oldest uint64 `json:"oldest"`
	Newest uint64 `json:"newest"`
}

// Burn is the service-level accounting of this host.
type Burn interface {
	// Record counts one ended request.
	Record(Observation)
	// Report returns this host's counters in their JSON form.
	Report() any
}

// Observation is the result of one request for the service-level accounting.
type Observation struct {
	Service  string
	Search   *release.Search
	Outcome  wire.Outcome
	Code     Code          // empty when answered
	Coverage float64       // fraction 0 to 1
	Latency  time.Duration // from arrival to the response
}

// Forwarder sends ticketed requests to the hosts that issued the tickets.
type Forwarder interface {
	// RunTicketed forwards a request to the host at addr. After an error the
	// request may have run, unless it is *NotSentError.
	RunTicketed(ctx context.Context, addr string, request *peerpb.TicketedRequest) (*peerpb.TicketedReply, error)
}

// MetricsText writes all metrics as text, with one "name{tag=value} number" on
// each line.
type MetricsText interface {
	io.WriterTo
}
