package member

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
)

// Defaults of Options.
const (
	DefaultPingPeriod       = 500 * time.Millisecond
	DefaultPingTimeout      = 200 * time.Millisecond
	DefaultRemoteTimeout    = 600 * time.Millisecond // long enough for a round trip between regions
	DefaultSuspicionTimeout = 2 * time.Second
	DefaultTablePeriod      = 30 * time.Second
	DefaultTableTimeout     = 2 * time.Second
	DefaultReconnectPeriod  = 5 * time.Second
	DefaultDeadRetention    = time.Hour
	DefaultIndirectPings    = 2
	DefaultGateways         = 2
	DefaultAnnounceFanout   = 4
	DefaultMaxEventBytes    = 1024
)

// Options configures an Agent. Fields that are zero take their defaults.
type Options struct {
	// Self is this host. Name, Addr, HTTPAddr and DataCentre are required.
	// Incarnation defaults to the wall clock time in nanoseconds since 1970,
	// so that a restart has a higher one.
	Self Host
	// Seeds are the peer addresses of hosts to contact at the start, when no
	// other host is known.
	Seeds    []string
	Gossiper Gossiper

	// PingPeriod is the time between two rounds of pings.
	PingPeriod time.Duration
	// PingTimeout bounds a ping within the data centre, RemoteTimeout one to
	// another data centre. Announcements are bounded by RemoteTimeout too.
	PingTimeout   time.Duration
	RemoteTimeout time.Duration
	// SuspicionTimeout is the time from when this host suspects another one until
	// it declares that host dead.
	SuspicionTimeout time.Duration
	// TablePeriod is the time between two comparisons of the whole table with
	// another host, TableTimeout bounds one round of a comparison.
	TablePeriod  time.Duration
	TableTimeout time.Duration
	// ReconnectPeriod is the time between two attempts to reach a dead host or
	// an unknown seed, by which a partition heals.
	ReconnectPeriod time.Duration
	// DeadRetention is the time for which dead hosts stay in the table.
	DeadRetention time.Duration
	// IndirectPings is the number of hosts that are asked to ping a host that
	// did not answer.
	IndirectPings int
	// Gateways is the number of hosts of a data centre that ping the other data
	// centres.
	Gateways int
	// AnnounceFanout is the number of hosts that an announcement is sent to.
	AnnounceFanout int
	// MaxEventBytes bounds the size of the events that are spread with one ping
	// or answer.
	MaxEventBytes int

	Scope tally.Scope
	Log   log.Interface
	// Seed seeds the random choices; 0 takes a random seed.
	Seed uint64
}

// Validate returns an *OptionError for the first option that is out of range.
func (o Options) Validate() error {
	switch {
	case o.Self.Name == "" || o.Self.Addr == "" || o.Self.DataCentre == "":
		return &OptionError{Option: "Self", Allowed: "a Host with Name, Addr and DataCentre"}
	case o.Gossiper == nil:
		return &OptionError{Option: "Gossiper", Allowed: "not nil"}
	}
	for _, d := range []time.Duration{
		o.PingPeriod, o.PingTimeout, o.RemoteTimeout, o.SuspicionTimeout, o.TablePeriod, o.TableTimeout, o.ReconnectPeriod, o.DeadRetention,
	} {
		if d < 0 {
			return &OptionError{Option: "of type time.Duration", Allowed: "at least 0"}
		}
	}
	for _, n := range []int{o.IndirectPings, o.Gateways, o.AnnounceFanout, o.MaxEventBytes} {
		if n < 0 {
			return &OptionError{Option: "of type int", Allowed: "at least 0"}
		}
	}
	return nil
}

func (o Options) withDefaults() Options {
	setDefault(&o.PingPeriod, DefaultPingPeriod)
	setDefault(&o.PingTimeout, DefaultPingTimeout)
	setDefault(&o.RemoteTimeout, DefaultRemoteTimeout)
	setDefault(&o.SuspicionTimeout, DefaultSuspicionTimeout)
	setDefault(&o.TablePeriod, DefaultTablePeriod)
	setDefault(&o.TableTimeout, DefaultTableTimeout)
	setDefault(&o.ReconnectPeriod, DefaultReconnectPeriod)
	setDefault(&o.DeadRetention, DefaultDeadRetention)
	setDefault(&o.IndirectPings, DefaultIndirectPings)
	setDefault(&o.Gateways, DefaultGateways)
	setDefault(&o.AnnounceFanout, DefaultAnnounceFanout)
	setDefault(&o.MaxEventBytes, DefaultMaxEventBytes)
	if o.Self.Incarnation == 0 {
		o.Self.Incarnation = uint64(time.Now().UnixNano())
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Log == nil {
		o.Log = log.Log
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return o
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}
