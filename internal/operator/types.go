// Package operator is the logic of gaugectl, the operators' command: it checks
// and applies release notes, shows what hosts know, and runs searches, all over
// the HTTP interface of entry hosts.
package operator

import (
	"io"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// ExitCode is how the command ends, for scripts. The values are documented in
// docs/gaugectl.md and must not change.
type ExitCode int

// The exit codes.
const (
	ExitOK            ExitCode = 0
	ExitInternal      ExitCode = 1 // such as standard output that can't be written
	ExitBadInput      ExitCode = 2 // command line, file, note or request is wrong
	ExitConflict      ExitCode = 3 // another note took effect first
	ExitNotInForce    ExitCode = 4 // a live host doesn't show the version in time
	ExitUnavailable   ExitCode = 5 // no host answered, or the request was not run
	ExitUnknown       ExitCode = 6 // the request may have run
	ExitBelowCoverage ExitCode = 7 // the search ran, but below its least coverage
)

// view is a result that can be shown to operators; its JSON form is for
// scripts.
type view interface {
	writeText(w io.Writer) error
}

// noteReply is the answer to a note that was checked or applied.
type noteReply struct {
	Applied bool   `json:"applied"`
	Version uint64 `json:"version"`
	Note    string `json:"note"`
	Already bool   `json:"already"`
}

// errorReply holds every field of the error bodies of the HTTP interface.
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

type host struct {
	Name          string `json:"name"`
	Addr          string `json:"addr"`
	HTTPAddr      string `json:"http_addr"`
	DataCentre    string `json:"data_centre"`
	State         string `json:"state"`
	ConfigVersion uint64 `json:"config_version"`
	Incarnation   uint64 `json:"incarnation"`
}

type hostsReply struct {
	Self  string `json:"self"`
	Hosts []host `json:"hosts"`
}

type historyReply struct {
	Version uint64               `json:"version"`
	Notes   []release.NoteRecord `json:"notes"`
}

type replica struct {
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
	Replicas []replica `json:"replicas"`
}

// searchRequest is the body of a search.
type searchRequest struct {
	Range         *wire.KeyRange `json:"range,omitempty"`
	Deadline      string         `json:"deadline,omitempty"`
	LeastCoverage float64        `json:"least_coverage,omitempty"`
	Ticket        string         `json:"ticket,omitempty"`
	Payload       string         `json:"payload,omitempty"`
}

type coverage struct {
	Fraction  float64         `json:"fraction"`
	Requested uint64          `json:"requested"`
	Covered   uint64          `json:"covered"`
	Included  []coverageShard `json:"included"`
	Missing   []coverageShard `json:"missing"`
}

type coverageShard struct {
	Shard  uint32        `json:"shard"`
	Range  wire.KeyRange `json:"range"`
	Reason string        `json:"reason,omitempty"`
}

// answer is the body of an answered search.
type answer struct {
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
