package member

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
)

// Defaults of Options.
const (
	DefaultPeriod          = 500 * time.Millisecond
	DefaultPingTimeout     = 200 * time.Millisecond
	DefaultRemoteTimeout   = 600 * time.Millisecond // holds a round trip between regions
	DefaultSuspicion       = 2 * time.Second
	DefaultTablePeriod     = 30 * time.Second
	DefaultTableTimeout    = 2 * time.Second
	DefaultReconnectPeriod = 5 * time.Second
	DefaultRetention       = time.Hour
	DefaultIndirectPings   = 2
	DefaultGateways        = 2
	DefaultAnnounceFanout  = 4
	DefaultMaxEventBytes   = 1024
)

// Options of an Agent. Zero values take the defaults.
type Options struct {
	// Self is the own host: Name, Addr, HTTPAddr and DataCentre are required.
	// Incarnation defaults to the wall clock in nanoseconds, so that a restart
	// has a higher one.
	Self Host
	// Seeds are peer addresses for the first contact.
	Seeds    []string
	Gossiper Gossiper

	// Period is the time between two pings within the data centre.
	Period time.Duration
	// PingTimeout bounds a ping within the data centre, RemoteTimeout one to
	// another data centre.
	PingTimeout   time.Duration
	RemoteTimeout time.Duration
	// Suspicion is the time from suspecting a host to declaring it dead.
	Suspicion time.Duration
	// TablePeriod is the time between two comparisons of the whole table.
	TablePeriod  time.Duration
	TableTimeout time.Duration
	// ReconnectPeriod is the time between two contacts with a dead host or an
	// unknown seed, which heal a partition.
	ReconnectPeriod time.Duration
	// Retention is the time for which dead hosts are remembered.
	Retention      time.Duration
	IndirectPings  int
	Gateways       int
	AnnounceFanout int
	// MaxEventBytes bounds the events in one ping or answer, in bytes.
	MaxEventBytes int

	Scope tally.Scope
	Log   log.Interface
	// Seed of the random choices; 0 takes a random one.
	Seed uint64
}

// Validate reports the first option that is out of range as *OptionError.
func (o Options) Validate() error {
	switch {
	case o.Self.Name == "" || o.Self.Addr == "" || o.Self.DataCentre == "":
		return &OptionError{Option: "Self", Allowed: "a host with name, address and data centre"}
	case o.Gossiper == nil:
		return &OptionError{Option: "Gossiper", Allowed: "a transport"}
	}
	for _, d := range []time.Duration{
		o.Period, o.PingTimeout, o.RemoteTimeout, o.Suspicion, o.TablePeriod, o.TableTimeout, o.ReconnectPeriod, o.Retention,
	} {
		if d < 0 {
			return &OptionError{Option: "a duration", Allowed: "at least 0"}
		}
	}
	for _, n := range []int{o.IndirectPings, o.Gateways, o.AnnounceFanout, o.MaxEventBytes} {
		if n < 0 {
			return &OptionError{Option: "a count", Allowed: "at least 0"}
		}
	}
	return nil
}

func (o Options) withDefaults() Options {
	setDefault(&o.Period, DefaultPeriod)
	setDefault(&o.PingTimeout, DefaultPingTimeout)
	setDefault(&o.RemoteTimeout, DefaultRemoteTimeout)
	setDefault(&o.Suspicion, DefaultSuspicion)
	setDefault(&o.TablePeriod, DefaultTablePeriod)
	setDefault(&o.TableTimeout, DefaultTableTimeout)
	setDefault(&o.ReconnectPeriod, DefaultReconnectPeriod)
	setDefault(&o.Retention, DefaultRetention)
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

func setDefault[T comparable](value *T, otherwise T) {
	var zero T
	if *value == zero {
		*value = otherwise
	}
}
