package owner

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// notQueued is the queueIndex of an attempt that is not in a queue.
const notQueued = -1

// attemptState is the progress of an attempt. The goroutine that moves an
// attempt to stateReplied delivers its only reply.
type attemptState = int32

const (
	// stateQueued means that the attempt waits in the queue; no byte was sent.
	stateQueued attemptState = iota
	// stateAssigned means that it holds a slot and a connection; no byte was sent.
	stateAssigned
	// stateSent means that it was passed to the connection and may run.
	stateSent
	// stateReplied means that its reply was delivered or is about to be.
	stateReplied
)

// sendCall is one call of Owner.Send.
type sendCall struct {
	done     func([]wire.Reply)
	attempts []attempt
}

// attempt is one sub-request from Send until its reply and the release of its
// slot.
type attempt struct {
	sub           wire.SubRequest
	call          *sendCall
	replica       *replica
	deadline      time.Time
	queueIndex    int // index in the replica's queue, or notQueued; guarded by the replica's mutex
	unsentRetries int // number of requeues after a connection failed before a byte was written
	state         atomic.Int32
}

// transition moves the attempt between two states and reports whether it did.
// Only one of several concurrent transitions from the same state succeeds.
func (a *attempt) transition(from, to attemptState) bool { return a.state.CompareAndSwap(from, to) }

// indexStripes is the number of separately locked parts of an attemptIndex.
const indexStripes = 64

// attemptIndex maps the id of each sub-request to its attempt, from Send until
// its slot is free.
type attemptIndex struct {
	stripes [indexStripes]struct {
		mu       sync.Mutex
		attempts map[wire.SubRequestID]*attempt
	}
}

func newAttemptIndex() *attemptIndex {
	x := &attemptIndex{}
	for i := range x.stripes {
		x.stripes[i].attempts = map[wire.SubRequestID]*attempt{}
	}
	return x
}

// add registers the attempt. It returns false if the id is already in use.
func (x *attemptIndex) add(a *attempt) bool {
	stripe := &x.stripes[a.sub.ID.Seq%indexStripes]
	stripe.mu.Lock()
	defer stripe.mu.Unlock()
	if _, used := stripe.attempts[a.sub.ID]; used {
		return false
	}
	stripe.attempts[a.sub.ID] = a
	return true
}

func (x *attemptIndex) remove(id wire.SubRequestID) {
	stripe := &x.stripes[id.Seq%indexStripes]
	stripe.mu.Lock()
	delete(stripe.attempts, id)
	stripe.mu.Unlock()
}

func (x *attemptIndex) find(id wire.SubRequestID) *attempt {
	stripe := &x.stripes[id.Seq%indexStripes]
	stripe.mu.Lock()
	defer stripe.mu.Unlock()
	return stripe.attempts[id]
}
