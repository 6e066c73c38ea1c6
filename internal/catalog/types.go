// Package catalog holds what this host believes of the deployment around it:
// the routing table in force and the backend servers that take work. It follows
// both at their source, never goes back to an older table, and turns them into
// the configuration of the query modules.
package catalog

import (
	"context"
	"strconv"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/lead"
	"github.com/arbutusgauge/arbutusgauge/internal/routing"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Server is one backend server as it registered itself.
type Server struct {
	ID         string `json:"id"`
	Born       int64  `json:"born"` // start of this incarnation, Unix milliseconds by the server's clock
	Service    string `json:"service"`
	Addr       string `json:"addr"` // "ip:port"
	DataCentre string `json:"data_centre"`
	Slots      uint32 `json:"slots"` // requests that it runs at a time
	Draining   bool   `json:"draining"`
	Sequence   uint64 `json:"sequence"` // grows with each registration of an incarnation
}

// Replica returns the id under which the query modules know this incarnation.
// Another incarnation, or another server at the same address, is another
// replica.
func (s *Server) Replica() wire.ReplicaID {
	return wire.ReplicaID(s.Addr + "/" + s.ID + "/" + strconv.FormatInt(s.Born, 10))
}

// ServerChanges are the changes of the servers since a revision, in order.
type ServerChanges struct {
	Changes  []ServerChange
	Revision uint64
}

// ServerChange is one registration or one removal.
type ServerChange struct {
	ID string
	// Server is nil when the entry was removed, or when it can't be read and
	// so names no server to use.
	Server *Server
	// Revision of the source that made the change; 0 for a conclusion of this
	// tier, such as a lapsed entry that did not come back.
	Revision uint64
}

// Source is where the operators and the servers write. Its reads are
// linearizable. Errors are *HistoryGoneError and those of the source.
type Source interface {
	// Table returns the newest routing table, nil if there is none yet.
	Table(ctx context.Context) (*routing.Table, uint64, error)
	// WatchTable waits for a table newer than a revision, for wait at most; nil
	// means that there was none.
	WatchTable(ctx context.Context, after uint64, wait time.Duration) (*routing.Table, uint64, error)
	// Servers returns all servers.
	Servers(ctx context.Context) ([]Server, uint64, error)
	// WatchServers returns the changes since a revision; it waits for wait at
	// most when there are none.
	WatchServers(ctx context.Context, after uint64, wait time.Duration) (ServerChanges, error)
}

// Relay knows the hosts that follow the source for others.
type Relay interface {
	// Leads reports whether this host follows the source itself.
	Leads() bool
	// Peers returns the addresses of hosts that do, in the order of preference.
	Peers() []string
	// Orphaned says that none of them has fresh knowledge.
	Orphaned()
	// Asked notes that a host, with its processor share in cores, follows this one.
	Asked(name string, cores float64)
	// Fleet and Learn pass on what is known of all hosts.
	Fleet() lead.Fleet
	Learn(fleet lead.Fleet)
}

// HistoryGoneError reports that the source no longer holds the changes since a
// revision, so that everything must be read anew.
type HistoryGoneError struct{ After uint64 }

// Error implements error.
func (e *HistoryGoneError) Error() string {
	return "changes since revision " + strconv.FormatUint(e.After, 10) + " are no longer held"
}

// OptionError reports a missing option.
type OptionError struct{ Option string }

// Error implements error.
func (e *OptionError) Error() string { return "option " + e.Option + " of the catalog is required" }
