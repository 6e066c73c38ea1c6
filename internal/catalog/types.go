// Package catalog holds a host's view of the deployment: the current routing
// table and the registered backend servers. It keeps both up to date from their
// source, directly or through a peer, never goes back to an older table, and
// builds the configuration of the query modules from them.
package catalog

import (
	"context"
	"strconv"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/history"
	"github.com/arbutusgauge/arbutusgauge/internal/lead"
	"github.com/arbutusgauge/arbutusgauge/internal/quarantine"
	"github.com/arbutusgauge/arbutusgauge/internal/ratelimit"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Server is one backend server as it registered itself.
type Server struct {
	ID         string `json:"id"`
	Born       int64  `json:"born"` // start of this incarnation, Unix milliseconds by the server's clock
	Service    string `json:"service"`
	Addr       string `json:"addr"` // "ip:port"
	DataCentre string `json:"data_centre"`
	Slots      uint32 `json:"slots"` // requests that it runs at the same time
	Draining   bool   `json:"draining"`
	// WarmupLeft is how long it stays cold from the registration on; 0: it is warm, or does not
	// say.
	WarmupLeft time.Duration `json:"warmup_left,omitempty"`
	// WarmupSince is the sequence of the registration that began or ended the warm-up that
	// WarmupLeft tells of, as far as the hosts know; 0: none did.
	WarmupSince uint64 `json:"warmup_since,omitempty"`
	Sequence    uint64 `json:"sequence"` // grows with each registration of an incarnation
}

// ReplicaID returns the replica id of this incarnation for the query modules.
// Another incarnation, or another server at the same address, has another id.
func (s *Server) ReplicaID() wire.ReplicaID {
	return wire.ReplicaID(s.Addr + "/" + s.ID + "/" + strconv.FormatInt(s.Born, 10))
}

// ServerList is a full read of the servers. A source reads it in pages that are not
// taken from one snapshot: a change after From, up to To, may be in it or not.
type ServerList struct {
	Servers []Server
	// From is the position of the first page, and To that of the last one.
	From, To history.Position
}

// ServerChanges are the changes of the servers since a position, in order.
type ServerChanges struct {
	Changes []ServerChange
	history.Position
}

// ServerChange is one registration or one removal.
type ServerChange struct {
	ID string
	// Server is nil if the entry was removed, or if it can't be decoded and so
	// names no usable server.
	Server *Server
	// Revision is the source revision of the change; 0 if a host derived the
	// change itself, such as the removal of a lapsed server that did not register
	// again.
	Revision uint64
	Era      uint64 `json:",omitempty"` // of Revision
}

func (c *ServerChange) position() history.Position {
	return history.Position{Era: c.Era, Revision: c.Revision}
}

// Source is the store of the routing table, which operators write, and of the
// server registrations. Its reads are linearizable. A watch fails with
// *HistoryGoneError if the changes after its position are no longer held, as after a
// restoration. Each method also returns the position of its result.
type Source interface {
	// Table returns the newest routing table and the evacuated data centres.
	Table(ctx context.Context) (OperatorEntries, history.Position, error)
	// WatchTable waits up to wait for a table or an evacuation that was written, or
	// removed, after a position.
	WatchTable(ctx context.Context, after history.Position, wait time.Duration) (OperatorEntries, history.Position, error)
	// Servers returns all servers.
	Servers(ctx context.Context) (ServerList, error)
	// WatchServers returns the changes after a position. If there are none, it
	// waits for them, up to wait; with a wait of 0 it returns at once.
	WatchServers(ctx context.Context, after history.Position, wait time.Duration) (ServerChanges, error)
}

// Leadership decides which host reads the source for the others, and whom they
// poll.
type Leadership interface {
	// Reads reports whether this host reads the source itself.
	Reads() bool
	// Leads reports whether other hosts follow this one. Such a host counts itself
	// and is no follower of the peer that it polls.
	Leads() bool
	// Peers returns the addresses of the hosts to poll, in order of preference.
	Peers() []string
	// OtherPeers returns the addresses of hosts to poll if none of Peers has a fresh
	// state, in random order.
	OtherPeers() []string
	// ReportLeaderless is called when none of the peers has a fresh state.
	ReportLeaderless()
	// RecordFollower is called when a host that follows this one polls it. name,
	// peerAddr and cores are the follower's name, address for peers and processor
	// share.
	RecordFollower(name, peerAddr string, cores float64)
	// SampleHosts returns the addresses of some hosts, for a peer, which passes them
	// to LearnHosts.
	SampleHosts() []string
	LearnHosts(addrs []string)
	// Fleet returns what this host knows of all hosts, for a follower.
	Fleet() lead.Fleet
	// AdoptFleet passes on what the followed peer knows of all hosts.
	AdoptFleet(fleet lead.Fleet)
	// LearnSeats passes on what a peer that can't be followed knows of all hosts.
	LearnSeats(fleet lead.Fleet)
}

// RateLimits are the rate limits of the servers that a host knows.
type RateLimits interface {
	// Since returns the limits that changed after a revision, and the present one.
	Since(revision uint64) ([]ratelimit.Known, uint64)
	// Learn records limits that a peer knows. An error reports malformed ones.
	Learn(limits []ratelimit.Known) error
}

// Quarantine knows the requests that are suspected of crashing servers, or refused for
// it.
type Quarantine interface {
	// Since returns the records that changed after a revision, and the revision up to
	// which they were returned.
	Since(revision uint64) ([]quarantine.Known, uint64)
	// Learn records what a peer knows. An error reports malformed records.
	Learn(records []quarantine.Known) error
}

// HistoryGoneError reports that the source does not hold the changes after a position:
// they are too old, or lost with a restoration. The watcher must read the full state
// again.
type HistoryGoneError struct{ After history.Position }

// Error implements error.
func (e *HistoryGoneError) Error() string {
	return "changes since revision " + strconv.FormatUint(e.After.Revision, 10) + " of era " +
		strconv.FormatUint(e.After.Era, 10) + " are no longer held"
}

// OptionError reports an unset field of Options.
type OptionError struct{ Option string }

// Error implements error.
func (e *OptionError) Error() string { return "option " + e.Option + " of the catalog is required" }
