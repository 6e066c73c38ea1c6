package catalog

import (
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"
)

const (
	defaultTableWait   = 800 * time.Millisecond
	defaultServersWait = 400 * time.Millisecond
	defaultServersPace = 400 * time.Millisecond
	defaultCallTimeout = 500 * time.Millisecond
	defaultRetryPause  = 300 * time.Millisecond
)

// Options configure a Catalog.
type Options struct {
	Source Source
	// AnswerMargin is the part of a route's latency goal that is spent outside
	// this host: connecting, sending the request and returning the answer.
	AnswerMargin time.Duration
	// ExtraLoad is the number of retries and hedges allowed per request at each
	// shard, for example 0.1.
	ExtraLoad float64
	// ExtraBurst is the number of retries and hedges allowed beyond ExtraLoad at
	// each shard, for all hosts together.
	ExtraBurst int
	// Leadership tells which hosts read the source for the others. Nil means that
	// this host always reads it itself.
	Leadership Leadership
	// RateLimits are the rate limits of the servers, which hosts tell each other with
	// their state. Nil: none are told.
	RateLimits RateLimits
	// Quarantine knows the suspected requests, which hosts tell each other with their
	// state. Nil: none are told.
	Quarantine Quarantine
	// HostName, PeerAddr and Cores describe this host to the peers that it polls;
	// PeerAddr is its address for peers, Cores its processor share in cores.
	HostName string
	PeerAddr string
	Cores    float64
	// PeerTransport makes the calls to peers; default: HTTP over TCP.
	PeerTransport http.RoundTripper
	// Clock returns a monotonic time that goes on while the host is suspended;
	// default: Go's monotonic clock, which may stop then.
	Clock func() time.Duration
	// TableWait is how long one watch of the table waits for a change, and
	// thereby the time within which a silent connection to the source is
	// detected; default 800 ms.
	TableWait time.Duration
	// ServersWait is how long one watch of the servers waits for a change;
	// default 400 ms.
	ServersWait time.Duration
	// ServersPace is the pause between two watches of the servers; default
	// 400 ms.
	ServersPace time.Duration
	// CallTimeout is the timeout of a call to the source, on top of the wait of a
	// watch; default 500 ms.
	CallTimeout time.Duration
	// RetryPause is the pause after a failed call; default 300 ms.
	RetryPause time.Duration
	Scope      tally.Scope   // default: no metrics
	Logger     log.Interface // default: no log
}

// Validate fills in defaults and returns *OptionError for a missing option.
func (o *Options) Validate() error {
	if o.Source == nil {
		return &OptionError{Option: "Source"}
	}
	for value, preset := range map[*time.Duration]time.Duration{
		&o.TableWait: defaultTableWait, &o.ServersPace: defaultServersPace, &o.ServersWait: defaultServersWait,
		&o.CallTimeout: defaultCallTimeout, &o.RetryPause: defaultRetryPause,
	} {
		if *value <= 0 {
			*value = preset
		}
	}
	if o.Clock == nil {
		began := time.Now()
		o.Clock = func() time.Duration { return time.Since(began) }
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Handler: discard.Default}
	}
	return nil
}
