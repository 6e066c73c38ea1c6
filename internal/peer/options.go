package peer

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
)

// Options configures a Client. Zero values stand for the defaults.
type Options struct {
	// Self is the name of this process, sent in the first frame of each stream.
	Self string
	// Dial opens a transport to a peer. The default is TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// DialTimeout limits the opening of a connection and, for a stream, the
	// first answer of the peer as well.
	DialTimeout time.Duration
	// SilenceBeforePing is how long nothing may be received on a stream with
	// outstanding sub-requests before a ping is sent.
	SilenceBeforePing time.Duration
	// PingTimeout is how long the answer to a ping may take before the stream
	// is closed. A silent stream with outstanding sub-requests is closed after
	// at most SilenceBeforePing + PingTimeout.
	PingTimeout time.Duration
	// KeepAlivePeriod is the period of the checks of idle streams. Each check
	// covers a few peers in turn and pings those of their streams on which
	// nothing was received for this time.
	KeepAlivePeriod time.Duration
	// RetryMin and RetryMax are the first and the longest backoff after failed
	// dials; the backoff doubles with each failure.
	RetryMin, RetryMax time.Duration
	// MaxBatch is the most sub-requests in one frame.
	MaxBatch int
	// MaxQueued is the most unwritten sub-requests on one stream, and the most
	// that wait for a dial to one peer. Further ones end as wire.NotRun.
	MaxQueued int
	// OnDialFailed is called with the address of a peer that refused a new
	// stream or didn't answer on it in time.
	OnDialFailed func(addr string)
	Scope        tally.Scope
	Logger       log.Interface
}

const (
	defaultDialTimeout       = 250 * time.Millisecond
	defaultSilenceBeforePing = 50 * time.Millisecond
	defaultPingTimeout       = 100 * time.Millisecond
	defaultKeepAlivePeriod   = time.Second
	defaultRetryMin          = 50 * time.Millisecond
	defaultRetryMax          = 2 * time.Second
	defaultMaxBatch          = 64
	defaultMaxQueued         = 1 << 16
)

// setDefault sets a value to fallback if it is zero.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// withDefaults returns the options with zero values replaced by the defaults.
func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.SilenceBeforePing, defaultSilenceBeforePing)
	setDefault(&o.PingTimeout, defaultPingTimeout)
	setDefault(&o.KeepAlivePeriod, defaultKeepAlivePeriod)
	setDefault(&o.RetryMin, defaultRetryMin)
	setDefault(&o.RetryMax, defaultRetryMax)
	setDefault(&o.MaxBatch, defaultMaxBatch)
	setDefault(&o.MaxQueued, defaultMaxQueued)
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

// Validate returns *OptionError for the first option that is out of range.
func (o Options) Validate() error {
	if o.MaxBatch < 1 {
		return &OptionError{Option: "MaxBatch", Allowed: "1 or more"}
	}
	if o.RetryMax < o.RetryMin {
		return &OptionError{Option: "RetryMax", Allowed: "RetryMin or more"}
	}
	if o.SilenceBeforePing < 0 || o.PingTimeout < 0 {
		return &OptionError{Option: "PingTimeout", Allowed: "a duration of at least 0, also for SilenceBeforePing"}
	}
	return nil
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", addr)
}
