package owner

import "github.com/arbutusgauge/arbutusgauge/internal/wire"

// Ownership says which replicas this host owns.
type Ownership interface {
	// Owns reports whether this host owns the replica in its present view of
	// the members. It is called often and must not block.
	Owns(service string, shard uint32, replica wire.ReplicaID) bool
}

// ReplicaInfo is what this host, as owner, knows of a replica.
type ReplicaInfo struct {
	Replica     wire.ReplicaID
	Service     string
	Shard       uint32
	Held        wire.Held
	Load        wire.Load
	Connections int  // open ones of this host
	Owned       bool // in this host's view
}
