package bench

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// toRandomReplicas returns the sub-requests addressed to random replicas of their
// shards, and a done function that restores the intended replicas in the
// replies.
func (sim *simulation) toRandomReplicas(subs []wire.SubRequest, done func([]wire.Reply)) ([]wire.SubRequest, func([]wire.Reply)) {
	intended := make(map[wire.SubRequestID]wire.ReplicaID, len(subs))
	out := make([]wire.SubRequest, len(subs))
	sim.mu.Lock()
	for i, sub := range subs {
		intended[sub.ID] = sub.Replica
		replicas := sim.config.Services[sub.Service].Shards[sub.Shard].Replicas
		sub.Replica = replicas[sim.random.IntN(len(replicas))].Addr
		out[i] = sub
	}
	sim.mu.Unlock()
	return out, func(replies []wire.Reply) {
		for i := range replies {
			replies[i].Replica = intended[replies[i].ID]
		}
		done(replies)
	}
}

// randomMatcher implements PolicyRandomGrants. In each round every free slot and
// every waiting sub-request chooses one of the hosts at random, and each host pairs
// the slots and sub-requests that chose it. This is the "dating service" algorithm
// of Beaumont, Duchon and Korzeniowski.
type randomMatcher struct {
	sim    *simulation
	mu     sync.Mutex
	random *rand.Rand
	shards map[shardKey]*matchQueue
}

type shardKey struct {
	service string
	shard   uint32
}

// matchQueue holds the free slots and the waiting sub-requests of one shard.
type matchQueue struct {
	freeSlots []*server // the replica of each free slot
	waiting   []*waitingSub
}

// waitingSub is a sub-request that no slot was found for yet.
type waitingSub struct {
	sub       wire.SubRequest
	host      *host
	done      func([]wire.Reply)
	expiresAt time.Time
}

func newRandomMatcher(sim *simulation) *randomMatcher {
	m := &randomMatcher{sim: sim, random: rand.New(rand.NewPCG(sim.Seed, 23)), shards: map[shardKey]*matchQueue{}}
	for name, service := range sim.config.Services {
		for _, shard := range service.Shards {
			queue := &matchQueue{}
			for _, r := range shard.Replicas {
				for range service.Slots {
					queue.freeSlots = append(queue.freeSlots, sim.servers[r.Addr])
				}
			}
			m.shards[shardKey{name, shard.ID}] = queue
		}
	}
	return m
}

// send adds sub-requests of a host to the queues of their shards.
func (m *randomMatcher) send(from *host, subs []wire.SubRequest, done func([]wire.Reply)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, sub := range subs {
		queue := m.shards[shardKey{sub.Service, sub.Shard}]
		queue.waiting = append(queue.waiting, &waitingSub{sub: sub, host: from, done: done, expiresAt: now.Add(sub.TimeLeft)})
	}
}

// matchAll runs one round of matching in all shards. Sub-requests whose deadline has
// passed end as not run.
func (m *randomMatcher) matchAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, queue := range m.shards {
		var unmatchedSubs []*waitingSub
		offers := make([][]*server, len(m.sim.hosts))
		for _, slot := range queue.freeSlots {
			chosen := m.random.IntN(len(offers))
			offers[chosen] = append(offers[chosen], slot)
		}
		queue.freeSlots = queue.freeSlots[:0]
		for _, w := range queue.waiting {
			chosen := m.random.IntN(len(offers))
			switch {
			case now.After(w.expiresAt):
				go w.done([]wire.Reply{{
					ID: w.sub.ID, Replica: w.sub.Replica, Outcome: wire.NotRun, Reason: wire.ReasonDeadlineExpired,
				}})
			case len(offers[chosen]) > 0:
				slot := offers[chosen][0]
				offers[chosen] = offers[chosen][1:]
				go m.runMatch(queue, slot, w)
			default:
				unmatchedSubs = append(unmatchedSubs, w)
			}
		}
		queue.waiting = unmatchedSubs
		for _, unmatched := range offers {
			queue.freeSlots = append(queue.freeSlots, unmatched...)
		}
	}
}

// runMatch runs a sub-request on a matched slot and then frees the slot. The request
// and the reply each take the delay between the two hosts.
func (m *randomMatcher) runMatch(queue *matchQueue, slot *server, w *waitingSub) {
	peer := m.sim.firstHostIn(m.sim.replicaDataCentres[slot.id])
	time.Sleep(m.sim.network.drawDelay(w.host, peer))
	reply := slot.execute(w.sub, nil)
	m.mu.Lock()
	queue.freeSlots = append(queue.freeSlots, slot)
	queued := len(queue.waiting)
	m.mu.Unlock()
	time.Sleep(m.sim.network.drawDelay(peer, w.host))
	reply.Replica = w.sub.Replica
	reply.Load = wire.Load{
		Slots: slot.shape.Slots, Queued: uint32(queued), ServiceTime: serviceMean(),
		QueueWait: time.Duration(queued) * serviceMean() / time.Duration(int(slot.shape.Slots)*slot.shape.Replicas),
	}
	w.done([]wire.Reply{reply})
}
