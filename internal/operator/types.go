// Package operator implements gaugectl, the command for operators. It checks and
// applies release notes, shows the state that hosts report, and runs searches,
// all through the HTTP interface of entry hosts.
package operator

import (
	"io"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// ExitCode is the exit code of gaugectl. Scripts rely on the values, which are
// documented in docs/gaugectl.md and must not change.
type ExitCode int

// Exit codes of gaugectl.
const (
	ExitOK             ExitCode = 0
	ExitInternal       ExitCode = 1 // any other failure, such as standard output that can't be written
	ExitBadInput       ExitCode = 2 // command line, file, note or request is wrong
	ExitConflict       ExitCode = 3 // another note took effect first
	ExitNotInForce     ExitCode = 4 // a live host did not show the version in time
	ExitUnavailable    ExitCode = 5 // no host answered, or a host did not run the request
	ExitUnknownOutcome ExitCode = 6 // the request may have run
	ExitBelowCoverage  ExitCode = 7 // the search ran, but below its least coverage
)

// view is a result that can be printed as text for operators. Its JSON form is
// for scripts.
type view interface {
	writeText(w io.Writer) error
}

// noteReply is the answer to a release note that was checked or applied.
// AlreadyApplied is true if the note had taken effect before.
type noteReply struct {
	Applied        bool   `json:"applied"`
	Version        uint64 `json:"version"`
	Note           string `json:"note"`
	AlreadyApplied bool   `json:"already"`
}

// errorReply is an error body of the HTTP interface, with the fields of all
// kinds of errors.
type errorReply struct {
	Outcome     string         `json:"outcome,omitempty"`
	Error       string         `json:"error"`
	Message     string         `json:"message,omitempty"`
	Request     string         `json:"request,omitempty"`
	RetryAfter  string         `json:"retry_after,omitempty"`
	Coverage    *coverage      `json:"coverage,omitempty"`
	Problems    []jwcc.Problem `json:"problems,omitempty"`
	WinningNote string         `json:"winning_note,omitempty"`
	Version     uint64         `json:"version,omitempty"`
}

// hostInfo is one host in a member view.
type hostInfo struct {
	Name          string `json:"name"`
	Addr          string `json:"addr"`
	HTTPAddr      string `json:"http_addr"`
	DataCentre    string `json:"data_centre"`
	State         string `json:"state"`
	ConfigVersion uint64 `json:"config_version"`
	Incarnation   uint64 `json:"incarnation"`
}

type hostsReply struct {
	Self  string     `json:"self"`
	Hosts []hostInfo `json:"hosts"`
}

type historyReply struct {
	Version uint64               `json:"version"`
	Notes   []release.NoteRecord `json:"notes"`
}

// replicaInfo is the state of a replica as its owner sees it.
type replicaInfo struct {
	Replica  string `json:"replica"`
	Service  string `json:"service"`
	Shard    uint32 `json:"shard"`
	State    string `json:"state"`
	InFlight uint32 `json:"in_flight"`
	Queued   uint32 `json:"queued"`
	Slots    uint32 `json:"slots"`
	Held     struct {
		Oldest uint64 `json:"oldest"`
		Newest uint64 `json:"newest"`
	} `json:"held"`
	Connections uint32 `json:"connections"`
	Owner       string `json:"owner,omitempty"` // host that reported it, set by this package
}

type replicasReply struct {
	Replicas []replicaInfo `json:"replicas"`
}

// searchRequest is the body of a search.
type searchRequest struct {
	Range         *wire.LedgerRange `json:"range,omitempty"`
	Deadline      string            `json:"deadline,omitempty"`
	LeastCoverage float64           `json:"least_coverage,omitempty"`
	Ticket        string            `json:"ticket,omitempty"`
	Payload       string            `json:"payload,omitempty"`
}

// coverage tells which ledgers an answer covers.
type coverage struct {
	Fraction  float64         `json:"fraction"`
	Requested uint64          `json:"requested"`
	Covered   uint64          `json:"covered"`
	Included  []shardCoverage `json:"included"`
	Missing   []shardCoverage `json:"missing"`
}

// shardCoverage is the part of a search's range in one shard. Reason is set for
// missing parts.
type shardCoverage struct {
	Shard  uint32           `json:"shard"`
	Range  wire.LedgerRange `json:"range"`
	Reason string           `json:"reason,omitempty"`
}

// searchReply is the body of an answered search.
type searchReply struct {
	Outcome       string   `json:"outcome"`
	Request       string   `json:"request"`
	ConfigVersion uint64   `json:"config_version"`
	Snapshot      uint64   `json:"snapshot"`
	Rows          []row    `json:"rows"`
	Coverage      coverage `json:"coverage"`
	Timing        timing   `json:"timing"`
	Work          work     `json:"work"`
	Warnings      []string `json:"warnings,omitempty"`
}

type timing struct {
	Total        string `json:"total"`
	SlowestShard uint32 `json:"slowest_shard"`
}

// work counts the sub-requests of a search by kind.
type work struct {
	FirstTries uint64 `json:"first_tries"`
	Hedges     uint64 `json:"hedges"`
	Retries    uint64 `json:"retries"`
	Cancelled  uint64 `json:"cancelled"`
	Dropped    uint64 `json:"dropped"`
}

// coverageReport is the result of the coverage command.
type coverageReport struct {
	coverage
	Timing timing `json:"timing"`
	Work   work   `json:"work"`
}

type row struct {
	Ledger uint64 `json:"ledger"`
	Key    string `json:"key"`
	Value  string `json:"value"`
}

type ticketsReply struct {
	Tickets []string `json:"tickets"`
	Expires string   `json:"expires"`
}

// searchFlags are the arguments of the search command.
type searchFlags struct {
	service, search string
	lo, hi          uint64
	deadline        time.Duration
	leastCoverage   float64
	payload, ticket string
}
