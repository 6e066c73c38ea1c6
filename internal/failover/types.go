// Package failover hands queries over to other hosts while this host does not reach the
// replicas that they need, as when it is partitioned from them. It asks some other hosts which
// services they reach, as long as queries need that, and forwards a query only to a host
// that has just said that it reaches the service. Where none does, because the replicas are lost
// for all or the other hosts are not reached either, a query is refused at once.
//
// The hosts that are asked are the holders of seats and a few others that this host knows.
// Each of them names further hosts, so that a host that reaches the replicas is found
// also when most hosts do not.
package failover

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/aggregate"
	"github.com/arbutusgauge/arbutusgauge/internal/gateway"
)

// PathReach is the path at which a host says which services it reaches.
const PathReach = "/v1/reach"

const (
	// searchDuration is how long the search goes on after the last query that needed it.
	searchDuration = 2 * time.Second
	// roundInterval is the time between two rounds of a search, and askTimeout the timeout
	// of its calls: many round trips between data centres.
	roundInterval = 250 * time.Millisecond
	askTimeout    = 100 * time.Millisecond
	// firstAnswerWait limits how long a query waits for the first round of a search.
	firstAnswerWait = 50 * time.Millisecond
	// reportMaxAge is the age up to which a report of a host counts. It spans some rounds,
	// because not every round asks every host.
	reportMaxAge = time.Second
	// hostsPerRound is the number of hosts that a round asks. refreshedPerRound of them are
	// hosts that have reported to reach a service; more are not needed.
	hostsPerRound     = 8
	refreshedPerRound = 5
	// maxNamedHosts limits the hosts that are remembered because others named them.
	maxNamedHosts = 32
	// maxOffers is the number of hosts to which one query is offered in turn.
	maxOffers = 3
	// maxReportBytes limits the size of a report, maxServices and maxHosts its lists.
	maxReportBytes = 256 << 10
	maxServices    = 4096
	maxHosts       = 64
)

// Report says what a host reaches. It is sent as JSON.
type Report struct {
	Services []string `json:"services,omitempty"` // names of the services of which it reaches enough shards
	Hosts    []string `json:"hosts,omitempty"`    // addresses of some other hosts
	Cores    float64  `json:"cores"`              // processor share of the host
}

// Transport asks a host for its report.
type Transport interface {
	Ask(ctx context.Context, peer string) (Report, error)
}

// Offerer offers a query to hosts; *aggregate.Client implements it.
type Offerer interface {
	// Offer offers a query to the peers in turn, to no more than maxOffers, until one
	// accepts it. Its results are those of gateway.Forwarder.
	Offer(ctx context.Context, query *gateway.ForwardedQuery, peers []aggregate.Peer, maxOffers int) (*gateway.ForwardOutcome, error)
}

// Options configure a Client.
type Options struct {
	// Addr is the address at which this host serves others, "ip:port"; it is never asked.
	Addr string
	// Candidates returns the addresses of other hosts, in any order. Required.
	Candidates func() []string
	// Transport asks other hosts. Required.
	Transport Transport
	// Offerer forwards the queries. Required.
	Offerer Offerer
	Scope   tally.Scope   // default: no metrics
	Logger  log.Interface // default: no log
}

// Validate fills in defaults and returns *OptionError for a missing option.
func (o *Options) Validate() error {
	switch {
	case o.Candidates == nil:
		return &OptionError{Option: "Candidates"}
	case o.Transport == nil:
		return &OptionError{Option: "Transport"}
	case o.Offerer == nil:
		return &OptionError{Option: "Offerer"}
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
func (e *OptionError) Error() string { return "option " + e.Option + " of failover is required" }

// ReportError reports a malformed report of a host.
type ReportError struct{ Problem string }

// Error implements error.
func (e *ReportError) Error() string { return "report of a host is malformed: " + e.Problem }
