// Package member maintains the table of entry hosts with a gossip protocol: it
// detects failed hosts by pings, and spreads which hosts and backend servers are
// leaving and which configuration version each host has adopted.
package member

import (
	"context"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// State is the state of an entry host. Of two claims with the same incarnation
// and counter, the one with the higher state wins.
type State uint8

const (
	// Live means that the host accepts queries and owns replicas.
	Live State = iota
	// Suspect means that the host did not answer a probe, or that a connection
	// to it failed. It is declared Dead unless it refutes the claim in time.
	Suspect
	// Leaving means that the host finishes its requests and owns no replicas.
	Leaving
	// Dead means that the host has failed or stopped.
	Dead
)

// String returns the state's name in JSON bodies and logs.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	default:
		return "dead"
	}
}

// Host is what is known of an entry host.
type Host struct {
	Name        string
	Addr        string // address of the peer protocol, "ip:port"
	HTTPAddr    string // address of the caller and operator interface, "ip:port"
	DataCentre  string
	Incarnation uint64 // higher after each restart
	Counter     uint64 // version of the host's state within Incarnation; only the host raises it
	State       State
	// ConfigVersion is the configuration version that the host was last known
	// to have adopted; 0 if none.
	ConfigVersion uint64
	// SuspectedHere is true while the host is Suspect and this process itself
	// saw a connection to it or a probe of it fail.
	SuspectedHere bool
}

// View is an immutable snapshot of the member table.
type View struct {
	Version uint64 // increases by 1 with each snapshot
	Self    Host
	Hosts   []Host // sorted by name; includes Self and excludes Dead hosts
	// LeavingServers holds the backend servers that the host list names as
	// leaving.
	LeavingServers map[wire.ReplicaID]bool
}

// Members provides the current view and takes reports of failed connections.
type Members interface {
	// View returns the current snapshot. It never blocks.
	View() *View
	// Suspect reports that a connection to the host at addr failed, so that
	// other hosts take over its replicas before a probe detects the failure.
	Suspect(addr string)
}

// Gossiper sends membership messages to other hosts.
type Gossiper interface {
	// Gossip sends m to the host at addr and returns its answer. An error
	// means that no answer came.
	Gossip(ctx context.Context, addr string, m *peerpb.GossipMessage) (*peerpb.GossipMessage, error)
}
