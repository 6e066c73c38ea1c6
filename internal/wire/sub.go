package wire

import "time"

// SubID identifies one attempt of one sub-request. Host is the incarnation of
// the sending process, so that an ID is never reused after a restart.
type SubID struct {
	Host uint64
	Seq  uint64
}

// ReplicaID is a replica's address as "ip:port".
type ReplicaID string

// ReplicaState is what the owner of a replica says about it.
type ReplicaState uint8

const (
	// ReplicaReady takes work up to its slots.
	ReplicaReady ReplicaState = iota
	// ReplicaCold takes work up to its current, smaller slot count.
	ReplicaCold
	// ReplicaDraining takes no new work.
	ReplicaDraining
	// ReplicaEjected failed repeatedly and takes no new work for a while.
	ReplicaEjected
)

// String returns the name used in JSON bodies and logs.
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

// Sub is one attempt to run a part of a query on one replica.
type Sub struct {
	ID      SubID
	Query   uint64 // identifies the query within SubID.Host
	Service string
	Search  string
	Shard   uint32
	Replica ReplicaID
	Range   KeyRange
	// Snapshot is the pinned snapshot; 0 accepts whichever the replica serves.
	Snapshot uint64
	// TimeLeft is the remaining time at the moment of sending. It is
	// relative, because clocks of different hosts aren't compared.
	TimeLeft   time.Duration
	Repeatable bool
	Payload    []byte
}

// Row is one record of an answer.
type Row struct {
	Ledger uint64
	Key    string
	Value  []byte
}

// Held is the range of snapshots that a replica can serve, both inclusive. The
// zero value means that nothing is known.
type Held struct {
	Oldest uint64
	Newest uint64
}

// Has reports whether the snapshot can be served.
func (h Held) Has(snapshot uint64) bool {
	return h.Newest != 0 && snapshot >= h.Oldest && snapshot <= h.Newest
}

// Load is what the owner of a replica knows about its use.
type Load struct {
	InFlight uint32
	Queued   uint32
	Slots    uint32        // slots in use by the owner now; smaller while cold
	Wait     time.Duration // expected wait of a new sub-request in the queue
	Service  time.Duration // mean time from sending to reply
	State    ReplicaState
}

// Reply ends one attempt. Each Sub gets exactly one.
type Reply struct {
	ID      SubID
	Replica ReplicaID
	Outcome Outcome
	Reason  Reason
	// Snapshot, Range and Rows are as the replica stated them.
	Snapshot uint64
	Range    KeyRange
	Rows     []Row
	Held     Held
	Load     Load
}

// Sender carries sub-requests towards replicas, directly or through the hosts
// that own them.
type Sender interface {
	// Send never blocks on a replica. Each Sub gets exactly one Reply, in any
	// order and grouping; done may run concurrently with itself.
	Send(subs []Sub, done func([]Reply))
	// Cancel says that the replies to these IDs are no longer wanted. A
	// cancelled Sub still gets its one Reply.
	Cancel(ids []SubID)
}
