package quarantine

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"
)

// Transport carries records to other hosts.
type Transport interface {
	// Tell passes records to Registry.Learn of the peer at an address, "ip:port".
	Tell(ctx context.Context, peer string, records []byte) error
	// Ask passes a question to Registry.AnswerQuestion of the peer and returns the answer.
	Ask(ctx context.Context, peer string, question []byte) ([]byte, error)
}

// Options configure a Registry. All but Addr, Store, Scope and Logger are required, and
// Reads and HasState only with a Store.
type Options struct {
	// Addr is the address for peers of this host, "ip:port"; empty if it serves none.
	Addr string
	// Clock returns a monotonic time that goes on while the host is suspended.
	Clock func() time.Duration
	// Leaders returns the addresses for peers of the leaders of all data centres, without
	// this host.
	Leaders func() []string
	// Leads reports whether this host leads its data centre.
	Leads func() bool
	// Followers returns the addresses of the hosts that follow this one.
	Followers func() []string
	Transport Transport
	// Store keeps verdicts; nil: they end with the processes.
	Store Store
	// Reads reports whether this host reads the store for the others.
	Reads func() bool
	// HasState reports whether this host has a state to serve callers with.
	HasState func() bool
	Scope    tally.Scope   // default: no metrics
	Logger   log.Interface // default: no log
}

// Validate fills in defaults and returns *OptionError for a missing option.
func (o *Options) Validate() error {
	switch {
	case o.Clock == nil:
		return &OptionError{Option: "Clock"}
	case o.Leaders == nil:
		return &OptionError{Option: "Leaders"}
	case o.Leads == nil:
		return &OptionError{Option: "Leads"}
	case o.Followers == nil:
		return &OptionError{Option: "Followers"}
	case o.Transport == nil:
		return &OptionError{Option: "Transport"}
	case o.Store != nil && o.Reads == nil:
		return &OptionError{Option: "Reads"}
	case o.Store != nil && o.HasState == nil:
		return &OptionError{Option: "HasState"}
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Handler: discard.Default}
	}
	return nil
}

// metrics holds the counters of a registry.
type metrics struct {
	suspected, quarantined, cleared tally.Counter // records
	refused, trials                 tally.Counter // requests
	leaderFailed, followerFailed    tally.Counter
	asked, noLeader                 tally.Counter // questions for permission
	saved, storeFailed              tally.Counter // writes of verdicts; failed reads and writes
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		suspected:    scope.Counter("suspected"),
		quarantined:  scope.Counter("quarantined"),
		cleared:      scope.Counter("cleared"),
		refused:      scope.Counter("refused"),
		trials:       scope.Counter("trials"),
		leaderFailed: scope.Counter("leader_failed"),

		followerFailed: scope.Counter("follower_failed"),

		asked: scope.Counter("asked"), noLeader: scope.Counter("no_leader"),
		saved: scope.Counter("verdicts_saved"), storeFailed: scope.Counter("store_failed"),
	}
}
