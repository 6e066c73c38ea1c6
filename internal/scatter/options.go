package scatter

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	defaultExtraLoad     = 0.03 // hedges and retries per first try
	defaultExtraBurst    = 200  // hedges and retries
	defaultHedgeDelay    = 30 * time.Millisecond
	defaultMinHedgeDelay = time.Millisecond
	defaultStatusMaxAge  = 5 * time.Second
	defaultStatusTimeout = 100 * time.Millisecond
	defaultRetryBackoff  = 10 * time.Millisecond
)

// Options are the dependencies and limits of an Engine.
type Options struct {
	// Sender sends the sub-requests to the owners of the replicas. Required.
	Sender wire.Sender
	// StatusSource is asked for the state of replicas when no recent reply of the
	// service is known. If nil, the first reply of a query determines its
	// snapshot as long as nothing is known.
	StatusSource StatusSource
	// Config returns the newest configuration in force, which a restarted query
	// uses. If nil, a restart keeps the query's configuration.
	Config func() *release.Config
	// DataCentre is the data centre of this host. Required.
	DataCentre string
	// EstimateWait returns the expected time to an answer from a replica that this
	// host sends sub-requests to directly, and whether the replica can be used.
	// It is called for every candidate of an attempt and must not block. If nil,
	// replicas are judged by their replies alone.
	EstimateWait func(wire.ReplicaID) (wait time.Duration, usable bool)
	// Uncertainty returns how far EstimateWait may be off because of requests of other
	// hosts; false: no replica of the shard has stated a load. If nil, none has.
	Uncertainty func(wire.ReplicaID) (uncertainty time.Duration, stated bool)
	// Silent reports whether a replica has stopped to respond to this host, together with all
	// others of its data centre. If nil, none has.
	Silent func(wire.ReplicaID) bool
	// RateLimited reports whether a replica advertises a rate limit. If nil, none does.
	RateLimited func(wire.ReplicaID) bool
	// PermitIn returns the time until a cold replica may have a permit for a request; 0: it
	// is not known, or the replica is not cold. If nil, it never is.
	PermitIn func(wire.ReplicaID) time.Duration
	// BackoffOf returns for how long a replica wants no requests from this host; 0: it takes
	// them. If nil, all replicas do.
	BackoffOf func(wire.ReplicaID) time.Duration
	// Quarantined reports whether a request must not be sent any more, because servers
	// have ended while they ran it. If nil, none is.
	Quarantined func(wire.RequestKey) bool
	// Delays are the one-way delays to the other data centres.
	Delays map[string]time.Duration
	// DefaultDelay is the one-way delay to a data centre that is not in Delays.
	DefaultDelay time.Duration
	// Incarnation is the Host of all SubRequestIDs. It must change with every
	// restart of the process. Required.
	Incarnation uint64
	// Random is the source of seeds for the choice between replicas. If nil, a
	// randomly seeded one is used.
	Random rand.Source
	// Scope receives the metrics; nil discards them.
	Scope tally.Scope
	// Logger receives warnings; nil discards them.
	Logger log.Interface

	// HedgeDelay is the time after which a sub-request is hedged until enough
	// latencies of the search are recorded. The default is 30 ms.
	HedgeDelay time.Duration
	// MinHedgeDelay is the lower bound of a hedge delay that is computed from
	// recorded latencies. The default is 1 ms.
	MinHedgeDelay time.Duration
	// StatusMaxAge is the age of the last reply of a service above which
	// StatusSource is asked. The default is 5 s.
	StatusMaxAge time.Duration
	// StatusTimeout is the time-out of a status request. The default is 100 ms.
	StatusTimeout time.Duration
	// RetryBackoff is the pause before the replicas of a shard are tried again
	// after none of them answered. It doubles with each further round. The
	// default is 10 ms.
	RetryBackoff time.Duration
}

// Validate fills in defaults. It returns a *OptionError if a required option is
// missing.
func (o *Options) Validate() error {
	switch {
	case o.Sender == nil:
		return &OptionError{Option: "Sender", Problem: "is required"}
	case o.DataCentre == "":
		return &OptionError{Option: "DataCentre", Problem: "is required"}
	case o.Incarnation == 0:
		return &OptionError{Option: "Incarnation", Problem: "must not be 0"}
	}
	if o.RateLimited == nil {
		o.RateLimited = func(wire.ReplicaID) bool { return false }
	}
	if o.PermitIn == nil {
		o.PermitIn = func(wire.ReplicaID) time.Duration { return 0 }
	}
	if o.BackoffOf == nil {
		o.BackoffOf = func(wire.ReplicaID) time.Duration { return 0 }
	}
	if o.Quarantined == nil {
		o.Quarantined = func(wire.RequestKey) bool { return false }
	}
	if o.Random == nil {
		o.Random = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Handler: discard.Default, Level: log.FatalLevel}
	}
	setDefault(&o.HedgeDelay, defaultHedgeDelay)
	setDefault(&o.MinHedgeDelay, defaultMinHedgeDelay)
	setDefault(&o.StatusMaxAge, defaultStatusMaxAge)
	setDefault(&o.StatusTimeout, defaultStatusTimeout)
	setDefault(&o.RetryBackoff, defaultRetryBackoff)
	return nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// oneWayDelay returns the one-way delay to another data centre.
func (o *Options) oneWayDelay(dataCentre string) time.Duration {
	if delay, ok := o.Delays[dataCentre]; ok {
		return delay
	}
	return o.DefaultDelay
}
