package bench

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// linkJitter is the mean of the exponential part of a delay.
	linkJitter = 300 * time.Microsecond
	// linkLoss is the share of messages that are lost and sent again.
	linkLoss = 0.001
	// resendTrips is the delay of a message that is sent again, in round trips.
	resendTrips = 2
	// peerTimeout is the time in which a peer stream is found broken.
	peerTimeout = 150 * time.Millisecond
	localDelay  = localTrip / 2
)

// network is the links between the hosts.
type network struct {
	delay  time.Duration // between data centres
	mu     sync.Mutex
	random *rand.Rand
	cut    func(from, to *host) bool
}

// travel draws the delay of one message.
func (n *network) travel(from, to *host) time.Duration {
	if from == to {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delay := localDelay
	if from.centre != to.centre {
		delay = n.delay
	}
	jitter := time.Duration(n.random.ExpFloat64() * float64(linkJitter))
	if from.centre == to.centre {
		jitter /= 10
	}
	if n.random.Float64() < linkLoss {
		delay += resendTrips * 2 * delay
	}
	return delay + jitter
}

func (n *network) isCut(from, to *host) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return from != to && n.cut != nil && n.cut(from, to)
}

func (n *network) setCut(cut func(from, to *host) bool) {
	n.mu.Lock()
	n.cut = cut
	n.mu.Unlock()
}

// link is a host's stream to one peer.
type link struct {
	network  *network
	from, to *host

	mu          sync.Mutex
	outstanding map[wire.SubID]func([]wire.Reply)
	subs        map[wire.SubID]wire.ReplicaID
	failing     bool
	dead        bool
}

// send carries sub-requests to the peer's owner.
func (l *link) send(subs []wire.Sub, done func([]wire.Reply)) {
	l.mu.Lock()
	if l.dead {
		l.mu.Unlock()
		replies := make([]wire.Reply, len(subs))
		for i, sub := range subs {
			replies[i] = wire.Reply{ID: sub.ID, Replica: sub.Replica, Outcome: wire.NotRun, Reason: wire.ReasonPeerLost}
		}
		go done(replies)
		return
	}
	for _, sub := range subs {
		l.outstanding[sub.ID] = done
		l.subs[sub.ID] = sub.Replica
	}
	l.mu.Unlock()
	if l.broken() {
		return
	}
	time.AfterFunc(l.network.travel(l.from, l.to), func() {
		l.to.owner.Send(subs, l.answer)
	})
}

// answer carries replies back.
func (l *link) answer(replies []wire.Reply) {
	time.AfterFunc(l.network.travel(l.to, l.from), func() {
		if l.broken() {
			return
		}
		for i := range replies {
			l.mu.Lock()
			done := l.outstanding[replies[i].ID]
			delete(l.outstanding, replies[i].ID)
			delete(l.subs, replies[i].ID)
			l.mu.Unlock()
			if done != nil {
				done(replies[i : i+1 : i+1])
			}
		}
	})
}

// broken reports whether the link is cut and starts the detection.
func (l *link) broken() bool {
	if !l.network.isCut(l.from, l.to) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.failing {
		l.failing = true
		time.AfterFunc(peerTimeout, l.fail)
	}
	return true
}

// fail ends all outstanding sub-requests as unknown.
func (l *link) fail() {
	l.mu.Lock()
	l.dead = true
	outstanding, subs := l.outstanding, l.subs
	l.outstanding, l.subs = map[wire.SubID]func([]wire.Reply){}, map[wire.SubID]wire.ReplicaID{}
	l.mu.Unlock()
	for id, done := range outstanding {
		done([]wire.Reply{{ID: id, Replica: subs[id], Outcome: wire.Unknown, Reason: wire.ReasonPeerLost}})
	}
}

func (l *link) cancel(ids []wire.SubID) {
	time.AfterFunc(l.network.travel(l.from, l.to), func() {
		if !l.broken() {
			l.to.owner.Cancel(ids)
		}
	})
}

// ownerOf returns the live host that owns a replica.
func ownerOf(hosts []*host, centre string, replica wire.ReplicaID, alive func(*host) bool) *host {
	var best *host
	var most uint64
	for _, h := range hosts {
		if h.centre != centre || !alive(h) {
			continue
		}
		if weight := xxhash.Sum64String(h.name + "/" + string(replica)); best == nil || weight > most {
			best, most = h, weight
		}
	}
	return best
}
