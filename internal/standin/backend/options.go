package backend

import (
	"math"
	"math/rand/v2"
	"net"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	defaultSlots       = 2
	defaultConnections = 25
	defaultMedian      = 2 * time.Millisecond
	defaultTail        = 8 * time.Millisecond
	defaultSnapshot    = 1
	defaultRecordLimit = 1 << 20 // executions
	// coldFactor multiplies service times until the replica is warm.
	coldFactor = 3
	// tailQuantile is the standard normal value of the 99th percentile.
	tailQuantile = 2.326
)

// Options describe one replica.
type Options struct {
	// Listen is "ip:port"; port 0 takes a free one.
	Listen  string        `json:"listen"`
	Service string        `json:"service"` // empty accepts every service
	Shard   uint32        `json:"shard"`
	Range   wire.KeyRange `json:"range"` // ledgers held
	// Slots is the number of sub-requests run at a time; more are refused as
	// shed. Default 2.
	Slots uint32 `json:"slots"`
	// Connections is the number of connections open at a time; more are reset.
	// Default 25.
	Connections uint32 `json:"connections"`
	// ConnectCost delays the first byte on a new connection.
	ConnectCost jwcc.Duration `json:"connect_cost"`
	Time        ServiceTime   `json:"service_time"`
	// Seed fixes service times and the choice of requests that faults hit.
	Seed uint64 `json:"seed"`
	// Oldest and Newest are the snapshots held at the start; default 1 and 1.
	Oldest uint64 `json:"oldest"`
	Newest uint64 `json:"newest"`
	// ColdRequests is the number of requests served slowly after the start.
	ColdRequests uint32 `json:"cold_requests"`
	// RowEvery is the distance of ledgers that have a row; default 1.
	RowEvery uint64 `json:"row_every"`
	// RecordLimit bounds the executions kept; default 1,048,576.
	RecordLimit int `json:"record_limit"`
}

// ServiceTime is a log-normal distribution of execution times.
type ServiceTime struct {
	Median jwcc.Duration `json:"median"` // default 2 ms
	Tail   jwcc.Duration `json:"tail"`   // 99th percentile, default 8 ms
	// Straggler multiplies all times of the replica; default 1.
	Straggler float64 `json:"straggler"`
}

func (o Options) withDefaults() Options {
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.Connections == 0 {
		o.Connections = defaultConnections
	}
	if o.Time.Median == 0 {
		o.Time.Median = jwcc.Duration(defaultMedian)
	}
	if o.Time.Tail == 0 {
		o.Time.Tail = max(o.Time.Median, jwcc.Duration(defaultTail))
	}
	if o.Time.Straggler == 0 {
		o.Time.Straggler = 1
	}
	if o.Newest == 0 {
		o.Newest = defaultSnapshot
	}
	if o.Oldest == 0 {
		o.Oldest = min(o.Newest, defaultSnapshot)
	}
	if o.RowEvery == 0 {
		o.RowEvery = 1
	}
	if o.RecordLimit == 0 {
		o.RecordLimit = defaultRecordLimit
	}
	return o
}

// Validate returns *OptionsError for the first option out of range.
func (o Options) Validate() error {
	if _, _, err := net.SplitHostPort(o.Listen); err != nil {
		return &OptionsError{Option: "listen", Allowed: "\"ip:port\""}
	}
	if o.Range.Empty() {
		return &OptionsError{Option: "range", Allowed: "a range with at least one ledger"}
	}
	if o.Time.Median < 0 || o.Time.Tail < 0 || o.Time.Straggler < 0 || o.ConnectCost < 0 {
		return &OptionsError{Option: "service_time and connect_cost", Allowed: "positive"}
	}
	if o.Oldest > o.Newest && o.Newest != 0 {
		return &OptionsError{Option: "oldest", Allowed: "at most newest"}
	}
	if o.RecordLimit < 0 {
		return &OptionsError{Option: "record_limit", Allowed: "positive"}
	}
	return nil
}

// draw returns one execution time.
func (t ServiceTime) draw(random *rand.Rand) time.Duration {
	sigma := 0.0
	if t.Tail > t.Median && t.Median > 0 {
		sigma = math.Log(float64(t.Tail)/float64(t.Median)) / tailQuantile
	}
	return time.Duration(float64(t.Median) * t.Straggler * math.Exp(sigma*random.NormFloat64()))
}
