// Package member knows which entry hosts live and which are leaving.
package member

import (
	"context"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// State of an entry host. Higher states win over lower ones at one counter.
type State uint8

const (
	// Live takes queries and owns replicas.
	Live State = iota
	// Suspect gave no answer; it keeps its replicas until it is Dead.
	Suspect
	// Leaving finishes its work and owns nothing.
	Leaving
	// Dead is gone.
	Dead
)

// String returns the name used in JSON bodies and logs.
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

// Host is one entry host as last known. A restart is a new incarnation.
type Host struct {
	Name        string
	Addr        string // peer protocol, "ip:port"
	HTTPAddr    string // caller and operator interface, "ip:port"
	DataCentre  string
	Incarnation uint64
	Counter     uint64
	State       State
	// ConfigVersion is the version last heard from the host; 0 if none.
	ConfigVersion uint64
	// SuspectedHere is true while the host is Suspect because this process saw
	// a connection or a probe of it fail.
	SuspectedHere bool
}

// View is an immutable snapshot of the member table.
type View struct {
	Version uint64
	Self    Host
	Hosts   []Host // sorted by name, self included, Dead ones left out
	// LeavingServers are the backend servers that the host list names as
	// leaving.
	LeavingServers map[wire.ReplicaID]bool
}

// Members gives the current view.
type Members interface {
	// View returns the current snapshot; it never blocks.
	View() *View
	// Suspect reports that a connection to the host at addr failed, so that
	// its owner duties move before the failure detector notices.
	Suspect(addr string)
}

// Gossiper carries one membership message to the host at addr and returns its
// answer. An error means that no answer came.
type Gossiper interface {
	Gossip(ctx context.Context, addr string, m *peerpb.GossipMessage) (*peerpb.GossipMessage, error)
}
