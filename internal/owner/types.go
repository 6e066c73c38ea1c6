package owner

import "github.com/arbutusgauge/arbutusgauge/internal/wire"

// Ownership decides which replicas this host owns.
type Ownership interface {
	// Owns reports whether this host owns the replica according to its current
	// view of the members. It is called often and must not block.
	Owns(service string, shard uint32, replica wire.ReplicaID) bool
}

// ReplicaInfo is the state of a replica as observed by this host.
type ReplicaInfo struct {
	Replica     wire.ReplicaID
	Service     string
	Shard       uint32
	Held        wire.SnapshotRange
	Load        wire.Load
	Connections int  // number that this host has open
	Owned       bool // this host owns the replica in its own view of the members
}
