package owner

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// notQueued is the queue place of an attempt outside the queue.
const notQueued = -1

// attemptState says who may still reply to an attempt. Whoever moves it to
// stateReplied gives the one reply.
type attemptState = int32

const (
	// stateQueued: in the queue; no byte was sent.
	stateQueued attemptState = iota
	// stateAssigned: holds a slot and a connection; no byte was sent.
	stateAssigned
	// stateSent: passed to the connection; it may run.
	stateSent
	// stateReplied: the one reply was given or is about to be.
	stateReplied
)

// call is one Send.
type call struct {
	done     func([]wire.Reply)
	attempts []attempt
}

// attempt is one sub-request on its way through the owner.
type attempt struct {
	sub      wire.Sub
	call     *call
	replica  *replica
	deadline time.Time
	place    int // in the queue, or notQueued; guarded by the replica's mutex
	unsent   int // times that a connection turned out dead before a byte was written
	state    atomic.Int32
}

// claim moves the attempt from one state to another; only one of several
// concurrent claims succeeds.
func (a *attempt) claim(from, to attemptState) bool { return a.state.CompareAndSwap(from, to) }

// indexShards spreads the index over locks.
const indexShards = 64

// attemptIndex finds the attempt of an id from Send until its slot is free.
type attemptIndex struct {
	shards [indexShards]struct {
		mu       sync.Mutex
		attempts map[wire.SubID]*attempt
	}
}

func newAttemptIndex() *attemptIndex {
	x := &attemptIndex{}
	for i := range x.shards {
		x.shards[i].attempts = map[wire.SubID]*attempt{}
	}
	return x
}

// add reports false if the id is in use.
func (x *attemptIndex) add(a *attempt) bool {
	shard := &x.shards[a.sub.ID.Seq%indexShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if _, used := shard.attempts[a.sub.ID]; used {
		return false
	}
	shard.attempts[a.sub.ID] = a
	return true
}

func (x *attemptIndex) remove(id wire.SubID) {
	shard := &x.shards[id.Seq%indexShards]
	shard.mu.Lock()
	delete(shard.attempts, id)
	shard.mu.Unlock()
}

func (x *attemptIndex) find(id wire.SubID) *attempt {
	shard := &x.shards[id.Seq%indexShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.attempts[id]
}
