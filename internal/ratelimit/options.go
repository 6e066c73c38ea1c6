package ratelimit

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// defaultHosts is the assumed number of hosts until they are counted.
const defaultHosts = 8

// Leader is the host that grants the requests to the limited replicas of a data centre.
type Leader struct {
	DataCentre string
	PeerAddr   string // "ip:port"
	Self       bool   // it is this host
	// Since is the time of Options.Clock from which this host leads, if Self is set.
	Since time.Duration
}

// Transport carries questions to other hosts.
type Transport interface {
	// Ask returns what Registry.Answer of the peer at an address, "ip:port", returns for
	// the question.
	Ask(ctx context.Context, peer string, question []byte) ([]byte, error)
}

// Options configure a Registry. All but Unusable, Scope and Logger are required.
type Options struct {
	// Clock returns a monotonic time that goes on while the host is suspended.
	Clock func() time.Duration
	// Leaders returns the leaders of all data centres. It must not wait for a lock: it is
	// called while a replica is locked.
	Leaders func() []Leader
	// DataCentreOf returns the data centre of a replica, or "" if the replica is not
	// known. It must not wait for a lock either.
	DataCentreOf func(wire.ReplicaID) string
	// Unusable reports whether a replica is out of use, so that no permits are needed for it.
	// It must not wait for a lock either. Default: none is.
	Unusable  func(wire.ReplicaID) bool
	Transport Transport
	Scope     tally.Scope   // default: no metrics
	Logger    log.Interface // default: no log
}

// Validate fills in defaults and returns *OptionError for a missing option.
func (o *Options) Validate() error {
	switch {
	case o.Clock == nil:
		return &OptionError{Option: "Clock"}
	case o.Leaders == nil:
		return &OptionError{Option: "Leaders"}
	case o.DataCentreOf == nil:
		return &OptionError{Option: "DataCentreOf"}
	case o.Transport == nil:
		return &OptionError{Option: "Transport"}
	}
	if o.Unusable == nil {
		o.Unusable = func(wire.ReplicaID) bool { return false }
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Handler: discard.Default}
	}
	return nil
}

// OptionError reports an unset field of Options.
type OptionError struct{ Option string }

// Error implements error.
func (e *OptionError) Error() string { return "option " + e.Option + " of ratelimit is required" }

// metrics holds the counters of a registry.
type metrics struct {
	limitedReplicas, coldReplicas tally.Gauge
	sent, denied                  tally.Counter // requests to limited replicas
	granted, asked, grantorFailed tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		limitedReplicas: scope.Gauge("limited_replicas"),
		coldReplicas:    scope.Gauge("cold_replicas"),
		sent:            scope.Counter("sent_to_limited"),
		denied:          scope.Counter("denied"),
		granted:         scope.Counter("permits_granted"),
		asked:           scope.Counter("grantor_asked"),
		grantorFailed:   scope.Counter("grantor_failed"),
	}
}
