package wire

import "time"

// SubRequestID identifies one attempt of one sub-request.
type SubRequestID struct {
	// Host is the incarnation of the sending process. A restart has another
	// incarnation, so that IDs are not reused.
	Host uint64
	Seq  uint64 // sequence number of the attempt within Host
}

// ReplicaID identifies a replica by its address, "ip:port".
type ReplicaID string

// ReplicaState is the state of a replica as reported by its owner.
type ReplicaState uint8

const (
	// ReplicaReady accepts sub-requests up to its full number of slots.
	ReplicaReady ReplicaState = iota
	// ReplicaCold accepts sub-requests up to a reduced number of slots.
	ReplicaCold
	// ReplicaDraining accepts no new sub-requests.
	ReplicaDraining
	// ReplicaEjected failed repeatedly and gets no new sub-requests for a while.
	ReplicaEjected
)

// String returns the state's name in JSON bodies and logs.
func (s ReplicaState) String() string {
	switch s {
	case ReplicaReady:
		return "ready"
	case ReplicaCold:
		return "cold"
	case ReplicaDraining:
		return "draining"
	default:
		return "ejected"
	}
}

// SubRequest is one attempt to run a part of a query on one replica.
type SubRequest struct {
	ID      SubRequestID
	Query   uint64 // identifies the query within SubRequestID.Host
	Service string
	Search  string
	Shard   uint32
	Replica ReplicaID
	Range   LedgerRange
	// Snapshot is the snapshot to read; 0 lets the replica choose one.
	Snapshot uint64
	// TimeLeft is the time that remains until the deadline when the SubRequest is
	// sent. It is a duration, not a point in time, because the clocks of
	// different hosts may differ.
	TimeLeft   time.Duration
	Repeatable bool
	Payload    []byte
	// Key identifies the caller's request, for the detection of requests that crash
	// servers. It is not sent to other hosts.
	Key RequestKey
}

// Row is one record of a replica's result.
type Row struct {
	Ledger uint64
	Key    string
	Value  []byte
}

// SnapshotRange is the range of snapshots that a replica can serve, from Oldest to
// Newest inclusive. The zero value means that the range is not known.
type SnapshotRange struct {
	Oldest uint64
	Newest uint64
}

// Contains reports whether the replica is known to serve the snapshot.
func (h SnapshotRange) Contains(snapshot uint64) bool {
	return h.Newest != 0 && snapshot >= h.Oldest && snapshot <= h.Newest
}

// Load is the load of a replica as its owner sees it.
type Load struct {
	InFlight    uint32        // sub-requests sent and not yet answered
	Queued      uint32        // sub-requests that wait for a slot
	Slots       uint32        // slots that the owner may fill now; fewer while cold
	QueueWait   time.Duration // expected queueing time of a new sub-request
	ServiceTime time.Duration // mean time from sending to reply
	State       ReplicaState
}

// Reply is the result of one attempt. Each SubRequest gets exactly one.
type Reply struct {
	ID      SubRequestID
	Replica ReplicaID
	Outcome Outcome
	Reason  Reason
	// Snapshot, Range and Rows are copied from the replica's response.
	Snapshot uint64
	Range    LedgerRange
	Rows     []Row
	Held     SnapshotRange
	Load     Load
	// RateLimit is what the server's response says of its limit. It stays zero in
	// a reply that does not come from the server.
	RateLimit RateLimit
	// Leaving is set if the server's response says that it leaves for good, and Backoff is
	// for how long it wants no requests from this host; 0: it does not say so.
	Leaving bool
	Backoff time.Duration
	// StatedLoad is the load that the server's response states, over all hosts.
	StatedLoad StatedLoad
}

// RateLimitState says whether a response advertises a rate limit.
type RateLimitState uint8

const (
	// RateLimitUnstated means that nothing is known, as without a response.
	RateLimitUnstated RateLimitState = iota
	// RateUnlimited means that the server answered and advertises no limit.
	RateUnlimited
	// RateLimited means that the server advertises a limit.
	RateLimited
)

// RateLimit is the rate that an overloaded server takes from all hosts together.
type RateLimit struct {
	State     RateLimitState
	PerSecond float64 // requests a second, if State is RateLimited
}

// Sender sends sub-requests to replicas, directly or through the hosts that own
// them.
type Sender interface {
	// Send starts the sub-requests without waiting for a replica. It passes exactly
	// one Reply for each SubRequest to done, in any order and grouping. Calls of
	// done may overlap.
	Send(subs []SubRequest, done func([]Reply))
	// Cancel states that the results of the sub-requests with the given ids are no
	// longer needed. A cancelled SubRequest still gets its one Reply.
	Cancel(ids []SubRequestID)
}
