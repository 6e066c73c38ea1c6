// Package infra defines the interface to the platform that the entry hosts run
// on: its key-value service and its list of hosts. Adapters for published
// protocols are in its subdirectories.
package infra

import (
	"context"
	"time"
)

// Entry is one key of the store with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64 // grows with every change of the key; 0 when the key is absent
}

// Store is the platform's key-value service. Any call can fail with
// *UnavailableError; a write that fails with it may have taken effect.
type Store interface {
	// Get returns the entry of key, with Revision 0 when the key is absent.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key has the given revision, where 0
	// means absent, and returns the new entry. *ConflictError means that the
	// key has another revision and nothing was written.
	CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (Entry, error)
	// Watch waits until the key has a revision above after and returns the
	// entry, or fails when ctx ends.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
}

// HostState is the state of a host according to the host list.
type HostState string

const (
	// HostLive means that the host runs.
	HostLive HostState = "live"
	// HostLeaving means that the host is about to stop and must get no new
	// work.
	HostLeaving HostState = "leaving"
)

// HostRole says whether a listed host is an entry host or a backend server.
type HostRole string

const (
	// RoleEntry is an entry host, listed with the address of its peer protocol.
	RoleEntry HostRole = "entry"
	// RoleBackend is a backend server, listed with the address of a replica.
	RoleBackend HostRole = "backend"
)

// ListedHost is one row of the host list.
type ListedHost struct {
	Addr       string    `json:"addr"`
	Role       HostRole  `json:"role"`
	DataCentre string    `json:"data_centre"`
	State      HostState `json:"state"`
}

// Hosts is the host list at a revision.
type Hosts struct {
	Revision uint64       `json:"revision"`
	Hosts    []ListedHost `json:"hosts"`
}

// HostList is the platform's list of live and leaving hosts. It may be behind
// the real state of the hosts.
type HostList interface {
	// Hosts waits until the list has a revision above after and returns it. If
	// maxWait passes first, it returns revision after without hosts.
	Hosts(ctx context.Context, after uint64, maxWait time.Duration) (Hosts, error)
}
