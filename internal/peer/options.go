package peer

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
)

// Options configures a Client.
type Options struct {
	// Self names this process to its peers.
	Self string
	// Dial opens a transport; the default is TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// SilenceBeforePing is how long a stream with outstanding sub-requests may
	// bring nothing before a ping is sent.
	SilenceBeforePing time.Duration
	// PingTimeout is how long the answer to a ping may take before the stream
	// is closed. The two together bound the detection of a silent stream.
	PingTimeout time.Duration
	// KeepAlive is the period of pings on idle streams.
	KeepAlive time.Duration
	// RetryMin and RetryMax bound the backoff between failed dials.
	RetryMin, RetryMax time.Duration
	// MaxBatch is the most sub-requests in one message.
	MaxBatch int
	// MaxQueued is the most sub-requests that wait for one peer.
	MaxQueued int
	// OnDialFailed is called with the address of a peer that refused or didn't
	// answer a new connection.
	OnDialFailed func(addr string)
	Scope        tally.Scope
	Logger       log.Interface
}

const (
	defaultDialTimeout       = 250 * time.Millisecond
	defaultSilenceBeforePing = 50 * time.Millisecond
	defaultPingTimeout       = 100 * time.Millisecond
	defaultKeepAlive         = time.Second
	defaultRetryMin          = 50 * time.Millisecond
	defaultRetryMax          = 2 * time.Second
	defaultMaxBatch          = 64
	defaultMaxQueued         = 1 << 16
)

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// withDefaults fills in what is not set.
func (o Options) withDefaults() Options {
	orDefault(&o.DialTimeout, defaultDialTimeout)
	orDefault(&o.SilenceBeforePing, defaultSilenceBeforePing)
	orDefault(&o.PingTimeout, defaultPingTimeout)
	orDefault(&o.KeepAlive, defaultKeepAlive)
	orDefault(&o.RetryMin, defaultRetryMin)
	orDefault(&o.RetryMax, defaultRetryMax)
	orDefault(&o.MaxBatch, defaultMaxBatch)
	orDefault(&o.MaxQueued, defaultMaxQueued)
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.OnDialFailed == nil {
		o.OnDialFailed = func(string) {}
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Logger == nil {
		o.Logger = log.Log
	}
	return o
}

// Validate returns *OptionError for the first option outside its limits.
func (o Options) Validate() error {
	if o.MaxBatch < 1 {
		return &OptionError{Option: "MaxBatch", Allowed: "1 or more"}
	}
	if o.RetryMax < o.RetryMin {
		return &OptionError{Option: "RetryMax", Allowed: "RetryMin or more"}
	}
	if o.SilenceBeforePing < 0 || o.PingTimeout < 0 {
		return &OptionError{Option: "PingTimeout", Allowed: "a positive duration"}
	}
	return nil
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", addr)
}
