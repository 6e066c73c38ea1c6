// Package burn classifies ended requests by the objectives of their searches,
// counts them in time buckets, and reports burn rates: how fast the error
// budgets are used.
package burn

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Class is how a request counts against the objective of its search.
type Class int

// The classes of requests. All except Good use the error budget.
const (
	Good          Class = iota // answered within the objective
	Late                       // answered, but slower than the objective
	BelowCoverage              // ran, but with less coverage than the objective
	Refused                    // not run
	Unknown                    // not answered, but may have run
	numClasses
)

var classNames = [numClasses]string{"good", "late", "below_coverage", "refused", "unknown"}

// String returns the name that is used in JSON, text and HTML.
func (c Class) String() string { return classNames[c] }

// Result is how one request to a search ended. Requests that fail by the
// caller's fault, such as one for an unknown search, must not be recorded.
type Result struct {
	Outcome wire.Outcome
	// BelowLeastCoverage reports whether the search ran and ended with an error
	// because its coverage was below the least coverage. Outcome is then ignored.
	BelowLeastCoverage bool
	Latency            time.Duration // from the acceptance of the request to its end
	Coverage           float64       // fraction, from 0 to 1
	// Objective is the search's objective in the configuration version that the
	// request used.
	Objective release.Objective
}

// Class returns the class of the result. Coverage below the objective takes
// precedence over lateness.
func (r Result) Class() Class {
	switch {
	case r.BelowLeastCoverage:
		return BelowCoverage
	case r.Outcome == wire.NotRun:
		return Refused
	case r.Outcome != wire.Answered:
		return Unknown
	case r.Coverage < r.Objective.LeastCoverage:
		return BelowCoverage
	case r.Objective.Latency > 0 && r.Latency > r.Objective.Latency.D():
		return Late
	}
	return Good
}

// Counts holds the number of requests of each class, indexed by Class.
type Counts [numClasses]uint64

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

func (c *Counts) add(other Counts) {
	for class := range other {
		c[class] += other[class]
	}
}

// HostReport holds the counts of one host: those of the long window and of the
// current, incomplete bucket.
type HostReport struct {
	Host        string        `json:"host"`
	DataCentre  string        `json:"data_centre"`
	At          time.Time     `json:"at"`     // time of the report by the host's clock
	BucketWidth jwcc.Duration `json:"bucket"` // width of one bucket
	// NotCounted is the number of requests since the start of the process that
	// were not counted, because Options.MaxSearches was reached.
	NotCounted uint64       `json:"not_counted"`
	Searches   []HostSearch `json:"searches"` // sorted by service and search
}

// HostSearch holds the counts of one search on one host.
type HostSearch struct {
	Service     string            `json:"service"`
	Search      string            `json:"search"`
	Objective   release.Objective `json:"objective"`
	FirstBucket int64             `json:"first"`   // number of the first bucket: its start in bucket widths since 1970
	Buckets     []Counts          `json:"buckets"` // consecutive, oldest first; each in the order of the classes
}

// Report compares the summed counts of several hosts with the objectives.
type Report struct {
	At       time.Time      `json:"at"` // time of the newest host report
	Hosts    []string       `json:"hosts"`
	Warnings []string       `json:"warnings,omitempty"` // hosts that are left out or may be counted wrongly
	Searches []SearchReport `json:"searches"`           // sorted by service and search
}

// SearchReport is the report on one search, summed over the hosts.
type SearchReport struct {
	Service   string            `json:"service"`
	Search    string            `json:"search"`
	Objective release.Objective `json:"objective"`
	Budget    float64           `json:"budget"` // fraction of requests that may fail the objective
	State     State             `json:"state"`
	Short     Window            `json:"short"`
	Long      Window            `json:"long"`
	Series    []Point           `json:"series"` // buckets of the long window, oldest first
}

// State grades how fast a search uses its error budget.
type State string

const (
	// OK means a burn rate of at most 1 over the long window.
	OK State = "ok"
	// SlowBurn means a burn rate above 1 over the long window, and no FastBurn.
	SlowBurn State = "slow_burn"
	// FastBurn means a burn rate of fastBurnRate or more over both windows.
	FastBurn State = "fast_burn"
)

// Window holds the figures of one span of time that ends at Report.At.
type Window struct {
	Span      jwcc.Duration      `json:"span"`
	Requests  uint64             `json:"requests"`
	Bad       uint64             `json:"bad"`
	GoodRatio float64            `json:"good_ratio"` // 1 when there were no requests
	BurnRate  float64            `json:"burn_rate"`  // share of bad requests divided by the budget; 1 uses exactly the budget
	Allowed   float64            `json:"allowed"`    // number of bad requests that the budget allows
	Causes    map[string]float64 `json:"causes"`     // share of each class in the bad requests, by class name
}

// Point holds the counts of one bucket.
type Point struct {
	At     time.Time `json:"at"` // start of the bucket
	Counts Counts    `json:"counts"`
}
