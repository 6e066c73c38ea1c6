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
	defaultSlots          = 2
	defaultMaxConnections = 25
	defaultMedian         = 2 * time.Millisecond
	defaultTail           = 8 * time.Millisecond
	defaultSnapshot       = 1
	defaultRecordLimit    = 1 << 20 // executions
	// coldSlowdown multiplies the execution times of a cold replica.
	coldSlowdown = 3
	// normalQuantile99 is the 99th percentile of the standard normal distribution.
	normalQuantile99 = 2.326
)

// Options configure one replica.
type Options struct {
	// Listen is the "ip:port" to listen on; port 0 takes a free port.
	Listen  string           `json:"listen"`
	Service string           `json:"service"` // empty accepts sub-requests of every service
	Shard   uint32           `json:"shard"`
	Range   wire.LedgerRange `json:"range"` // ledgers held; at least one
	// Slots is the number of sub-requests that run at a time; further ones are
	// refused with the reason shed. Default 2.
	Slots uint32 `json:"slots"`
	// MaxConnections is the number of connections that are open at a time; further
	// ones are reset. Default 25.
	MaxConnections uint32 `json:"connections"`
	// ConnectCost is the time until the first byte of a new connection is read.
	ConnectCost jwcc.Duration `json:"connect_cost"`
	ServiceTime ServiceTime   `json:"service_time"`
	// Seed seeds the random numbers for execution times and for faults with a
	// probability.
	Seed uint64 `json:"seed"`
	// Oldest and Newest bound the range of snapshots held at the start, both
	// included. Default 1 and 1.
	Oldest uint64 `json:"oldest"`
	Newest uint64 `json:"newest"`
	// ColdRequests is the number of sub-requests that run slowly after the start;
	// the replica reports the state cold until all of them have started.
	ColdRequests uint32 `json:"cold_requests"`
	// RowSpacing gives a row to each ledger that is a multiple of it. Default 1.
	RowSpacing uint64 `json:"row_every"`
	// RecordLimit is the number of newest executions that are kept. Default
	// 1,048,576.
	RecordLimit int `json:"record_limit"`
}

// ServiceTime is a log-normal distribution of execution times.
type ServiceTime struct {
	Median jwcc.Duration `json:"median"` // default 2 ms
	Tail   jwcc.Duration `json:"tail"`   // 99th percentile; default 8 ms, at least Median
	// Straggler multiplies all execution times of the replica; default 1.
	Straggler float64 `json:"straggler"`
}

// withDefaults replaces zero values by their defaults.
func (o Options) withDefaults() Options {
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = defaultMaxConnections
	}
	if o.ServiceTime.Median == 0 {
		o.ServiceTime.Median = jwcc.Duration(defaultMedian)
	}
	if o.ServiceTime.Tail == 0 {
		o.ServiceTime.Tail = max(o.ServiceTime.Median, jwcc.Duration(defaultTail))
	}
	if o.ServiceTime.Straggler == 0 {
		o.ServiceTime.Straggler = 1
	}
	if o.Newest == 0 {
		o.Newest = defaultSnapshot
	}
	if o.Oldest == 0 {
		o.Oldest = min(o.Newest, defaultSnapshot)
	}
	if o.RowSpacing == 0 {
		o.RowSpacing = 1
	}
	if o.RecordLimit == 0 {
		o.RecordLimit = defaultRecordLimit
	}
	return o
}

// Validate returns *OptionsError for the first option outside its allowed range.
func (o Options) Validate() error {
	if _, _, err := net.SplitHostPort(o.Listen); err != nil {
		return &OptionsError{Option: "listen", Allowed: "\"ip:port\""}
	}
	if o.Range.Empty() {
		return &OptionsError{Option: "range", Allowed: "a range with at least one ledger"}
	}
	if o.ServiceTime.Median < 0 || o.ServiceTime.Tail < 0 || o.ServiceTime.Straggler < 0 || o.ConnectCost < 0 {
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

// sample draws one execution time.
func (t ServiceTime) sample(random *rand.Rand) time.Duration {
	sigma := 0.0
	if t.Tail > t.Median && t.Median > 0 {
		sigma = math.Log(float64(t.Tail)/float64(t.Median)) / normalQuantile99
	}
	return time.Duration(float64(t.Median) * t.Straggler * math.Exp(sigma*random.NormFloat64()))
}
