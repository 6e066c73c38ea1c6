// Package burn counts how requests end, measured against the objectives of
// their searches, and reports how fast the error budgets are spent.
package burn

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Class says how a request counts against its objective.
type Class int

// The classes of requests. All but Good spend the error budget.
const (
	Good          Class = iota
	Late                // answered, but slower than the objective
	BelowCoverage       // ran, but its coverage is below the objective
	Refused             // not run
	Unknown             // may have run, no answer
	classes
)

var classNames = [classes]string{"good", "late", "below_coverage", "refused", "unknown"}

// String returns the name used in JSON, text and HTML.
func (c Class) String() string { return classNames[c] }

// Result is how one request to a search ended. Requests that are the caller's
// fault, such as one for an unknown search, must not be recorded.
type Result struct {
	Outcome wire.Outcome
	// BelowLeast is true when the search ran and ended as an error because its
	// coverage was below the least; Outcome is then not looked at.
	BelowLeast bool
	Latency    time.Duration // from accepting the request to its end
	Coverage   float64       // fraction 0 to 1
	// Objective is that of the search in the configuration that the request used.
	Objective release.Objective
}

// Class returns the class of the result.
func (r Result) Class() Class {
	switch {
	case r.BelowLeast:
		return BelowCoverage
	case r.Outcome == wire.NotRun:
		return Refused
	case r.Outcome != wire.Answered:
		return Unknown
	case r.Coverage < r.Objective.Coverage:
		return BelowCoverage
	case r.Objective.Latency > 0 && r.Latency > r.Objective.Latency.D():
		return Late
	}
	return Good
}

// Counts holds the number of requests of each class, in the order of the
// constants.
type Counts [classes]uint64

// Total returns the number of all requests.
func (c Counts) Total() uint64 {
	var n uint64
	for _, count := range c {
		n += count
	}
	return n
}

// Bad returns the number of requests that are not good.
func (c Counts) Bad() uint64 { return c.Total() - c[Good] }

func (c *Counts) add(o Counts) {
	for class := range o {
		c[class] += o[class]
	}
}

// HostReport holds what one host counted within the long window.
type HostReport struct {
	Host       string        `json:"host"`
	DataCentre string        `json:"data_centre"`
	At         time.Time     `json:"at"`     // when the report was made, by the host's clock
	Bucket     jwcc.Duration `json:"bucket"` // width of one bucket
	// NotCounted is the number of requests to searches beyond
	// Options.MaxSearches since the start of the process.
	NotCounted uint64       `json:"not_counted"`
	Searches   []HostSearch `json:"searches"` // sorted by service and search
}

// HostSearch holds the counts of one search on one host.
type HostSearch struct {
	Service   string            `json:"service"`
	Search    string            `json:"search"`
	Objective release.Objective `json:"objective"`
	First     int64             `json:"first"`   // time since 1970 of the first bucket, in bucket widths
	Buckets   []Counts          `json:"buckets"` // good, late, below coverage, refused, unknown
}

// Report holds the merged counts of hosts against the objectives.
type Report struct {
	At       time.Time      `json:"at"` // newest of the host reports
	Hosts    []string       `json:"hosts"`
	Warnings []string       `json:"warnings,omitempty"` // hosts that are left out or doubtful
	Searches []SearchReport `json:"searches"`           // sorted by service and search
}

// SearchReport is the report on one search.
type SearchReport struct {
	Service   string            `json:"service"`
	Search    string            `json:"search"`
	Objective release.Objective `json:"objective"`
	Budget    float64           `json:"budget"` // fraction of requests that may fail the objective
	State     State             `json:"state"`
	Short     Window            `json:"short"`
	Long      Window            `json:"long"`
	Series    []Point           `json:"series"` // the long window, oldest first
}

// State says how urgent the use of the budget is.
type State string

const (
	// OK uses the budget no faster than allowed.
	OK State = "ok"
	// SlowBurn uses the budget faster than allowed over the long window.
	SlowBurn State = "slow_burn"
	// FastBurn uses the budget at fastBurnRate or more over both windows.
	FastBurn State = "fast_burn"
)

// Window holds the counts of one span of time that ends at Report.At.
type Window struct {
	Span      jwcc.Duration      `json:"span"`
	Requests  uint64             `json:"requests"`
	Bad       uint64             `json:"bad"`
	GoodRatio float64            `json:"good_ratio"` // 1 when there were no requests
	BurnRate  float64            `json:"burn_rate"`  // 1 uses exactly the budget
	Allowed   float64            `json:"allowed"`    // requests that the budget allows to be bad
	Causes    map[string]float64 `json:"causes"`     // share of each class in the bad requests
}

// Point holds the counts of one bucket.
type Point struct {
	At     time.Time `json:"at"` // start of the bucket
	Counts Counts    `json:"counts"`
}
