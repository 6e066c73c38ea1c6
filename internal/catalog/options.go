package catalog

import (
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"
)

const (
	defaultTableWait   = time.Second
	defaultServersWait = 500 * time.Millisecond
	defaultServersPace = 700 * time.Millisecond
	defaultCallTimeout = 500 * time.Millisecond
	defaultRetryPause  = 300 * time.Millisecond
)

// Options configure a Catalog.
type Options struct {
	Source Source
	// AnswerMargin is the part of a route's latency goal that passes outside
	// this host: the caller's connection, its request and the answer.
	AnswerMargin time.Duration
	// ExtraLoad is the retries and hedges allowed per request, for each shard.
	ExtraLoad float64
	// ExtraBurst is the number of retries and hedges beyond that, of all hosts
	// together, for each shard.
	ExtraBurst int
	// Relay knows the hosts that follow the source for this one. Nil means that
	// this host always follows it itself.
	Relay Relay
	// Name and Cores, the processor share, tell the followed host who asks.
	Name  string
	Cores float64
	// Clock returns a time that also counts suspensions of the host; default:
	// the steady clock, which does not.
	Clock func() time.Duration
	// TableWait is how long one watch of the table waits, and so the time in
	// which a silent connection to the source is found; default 1 s.
	TableWait time.Duration
	// ServersWait is how long one watch of the servers waits; default 500 ms.
	ServersWait time.Duration
	// ServersPace is the time between two watches of the servers; default 700 ms.
	ServersPace time.Duration
	// CallTimeout bounds a call without its wait; default 500 ms.
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
