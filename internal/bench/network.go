package bench

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// meanLinkJitter is the mean of the exponentially distributed part of a
	// message's delay between data centres. It is a tenth of that within one.
	meanLinkJitter = 300 * time.Microsecond
	// messageLossShare is the share of messages that are lost and sent again.
	messageLossShare = 0.001
	// resendRoundTrips is the additional delay of a message that is sent again,
	// in round trips.
	resendRoundTrips = 2
	// peerLossTimeout is the time until a host detects that a peer is dead or
	// cut off.
	peerLossTimeout = 150 * time.Millisecond
	localDelay      = localRoundTrip / 2
)

// network holds the delays and cuts of the links between hosts.
type network struct {
	delay  time.Duration // one-way delay between data centres
	mu     sync.Mutex
	random *rand.Rand
	cut    func(from, to *host) bool // nil if no link is cut
}

// drawDelay returns a random one-way delay for one message.
func (n *network) drawDelay(from, to *host) time.Duration {
	if from == to {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delay := localDelay
	if from.dataCentre != to.dataCentre {
		delay = n.delay
	}
	jitter := time.Duration(n.random.ExpFloat64() * float64(meanLinkJitter))
	if from.dataCentre == to.dataCentre {
		jitter /= 10
	}
	if n.random.Float64() < messageLossShare {
		delay += resendRoundTrips * 2 * delay
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

// link is the stream from a host to the owner on one peer.
type link struct {
	network  *network
	from, to *host

	mu              sync.Mutex
	pendingDone     map[wire.SubRequestID]func([]wire.Reply) // called with the reply
	pendingReplicas map[wire.SubRequestID]wire.ReplicaID     // of the same sub-requests
	lossPending     bool                                     // failPending is due after the timeout
	lost            bool
}

// send sends sub-requests to the peer's owner. On a lost link they end as not run.
func (l *link) send(subs []wire.SubRequest, done func([]wire.Reply)) {
	l.mu.Lock()
	if l.lost {
		l.mu.Unlock()
		replies := make([]wire.Reply, len(subs))
		for i, sub := range subs {
			replies[i] = wire.Reply{ID: sub.ID, Replica: sub.Replica, Outcome: wire.NotRun, Reason: wire.ReasonPeerLost}
		}
		go done(replies)
		return
	}
	for _, sub := range subs {
		l.pendingDone[sub.ID] = done
		l.pendingReplicas[sub.ID] = sub.Replica
	}
	l.mu.Unlock()
	if l.detectCut() {
		return
	}
	time.AfterFunc(l.network.drawDelay(l.from, l.to), func() {
		l.to.owner.Send(subs, l.sendReplies)
	})
}

// sendReplies sends replies back to the link's host.
func (l *link) sendReplies(replies []wire.Reply) {
	time.AfterFunc(l.network.drawDelay(l.to, l.from), func() {
		if l.detectCut() {
			return
		}
		for i := range replies {
			l.mu.Lock()
			done := l.pendingDone[replies[i].ID]
			delete(l.pendingDone, replies[i].ID)
			delete(l.pendingReplicas, replies[i].ID)
			l.mu.Unlock()
			if done != nil {
				done(replies[i : i+1 : i+1])
			}
		}
	})
}

// detectCut reports whether the link is cut. The first message on a cut link starts
// the timeout after which the host gives the link up as lost.
func (l *link) detectCut() bool {
	if !l.network.isCut(l.from, l.to) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lossPending {
		l.lossPending = true
		time.AfterFunc(peerLossTimeout, l.failPending)
	}
	return true
}

// failPending marks the link as lost and ends all pending sub-requests as unknown.
func (l *link) failPending() {
	l.mu.Lock()
	l.lost = true
	pendingDone, pendingReplicas := l.pendingDone, l.pendingReplicas
	l.pendingDone, l.pendingReplicas = map[wire.SubRequestID]func([]wire.Reply){}, map[wire.SubRequestID]wire.ReplicaID{}
	l.mu.Unlock()
	for id, done := range pendingDone {
		done([]wire.Reply{{ID: id, Replica: pendingReplicas[id], Outcome: wire.Unknown, Reason: wire.ReasonPeerLost}})
	}
}

// cancel sends cancels to the peer's owner.
func (l *link) cancel(ids []wire.SubRequestID) {
	time.AfterFunc(l.network.drawDelay(l.from, l.to), func() {
		if !l.detectCut() {
			l.to.owner.Cancel(ids)
		}
	})
}

// ownerOf returns the host that owns a replica by rendezvous hashing over the live
// hosts of a data centre, or nil if none is alive.
func ownerOf(hosts []*host, dataCentre string, replica wire.ReplicaID, isAlive func(*host) bool) *host {
	var best *host
	var bestWeight uint64
	for _, h := range hosts {
		if h.dataCentre != dataCentre || !isAlive(h) {
			continue
		}
		if weight := xxhash.Sum64String(h.name + "/" + string(replica)); best == nil || weight > bestWeight {
			best, bestWeight = h, weight
		}
	}
	return best
}
