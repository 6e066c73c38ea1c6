package bench

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// anyReplica readdresses sub-requests to random replicas of their shards, and
// the replies back.
func (sim *simulation) anyReplica(subs []wire.Sub, done func([]wire.Reply)) ([]wire.Sub, func([]wire.Reply)) {
	chosen := make(map[wire.SubID]wire.ReplicaID, len(subs))
	out := make([]wire.Sub, len(subs))
	sim.mu.Lock()
	for i, sub := range subs {
		chosen[sub.ID] = sub.Replica
		replicas := sim.config.Services[sub.Service].Shards[sub.Shard].Replicas
		sub.Replica = replicas[sim.random.IntN(len(replicas))].Addr
		out[i] = sub
	}
	sim.mu.Unlock()
	return out, func(replies []wire.Reply) {
		for i := range replies {
			replies[i].Replica = chosen[replies[i].ID]
		}
		done(replies)
	}
}

// grants matches free slots with waiting sub-requests at random: in each
// round both choose one of the hosts as matchmaker, and a matchmaker pairs
// what it received, as the dating service of Beaumont, Duchon and Korzeniowski
// does.
type grants struct {
	sim    *simulation
	mu     sync.Mutex
	random *rand.Rand
	shards map[shardKey]*grantShard
}

type shardKey struct {
	service string
	shard   uint32
}

type grantShard struct {
	free    []*server // one entry per free slot
	waiting []*demand
}

type demand struct {
	sub     wire.Sub
	from    *host
	done    func([]wire.Reply)
	expires time.Time
}

func newGrants(sim *simulation) *grants {
	g := &grants{sim: sim, random: rand.New(rand.NewPCG(sim.Seed, 23)), shards: map[shardKey]*grantShard{}}
	for name, service := range sim.config.Services {
		for _, shard := range service.Shards {
			s := &grantShard{}
			for _, r := range shard.Replicas {
				for range service.Slots {
					s.free = append(s.free, sim.servers[r.Addr])
				}
			}
			g.shards[shardKey{name, shard.ID}] = s
		}
	}
	return g
}

func (g *grants) send(from *host, subs []wire.Sub, done func([]wire.Reply)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, sub := range subs {
		s := g.shards[shardKey{sub.Service, sub.Shard}]
		s.waiting = append(s.waiting, &demand{sub: sub, from: from, done: done, expires: now.Add(sub.TimeLeft)})
	}
}

// round matches once in all shards. A match costs one delay to the slot.
func (g *grants) round() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, s := range g.shards {
		var keep []*demand
		offers := make([][]*server, len(g.sim.hosts))
		for _, slot := range s.free {
			at := g.random.IntN(len(offers))
			offers[at] = append(offers[at], slot)
		}
		s.free = s.free[:0]
		for _, d := range s.waiting {
			at := g.random.IntN(len(offers))
			switch {
			case now.After(d.expires):
				go d.done([]wire.Reply{{
					ID: d.sub.ID, Replica: d.sub.Replica, Outcome: wire.NotRun, Reason: wire.ReasonExpired,
				}})
			case len(offers[at]) > 0:
				slot := offers[at][0]
				offers[at] = offers[at][1:]
				go g.run(s, slot, d)
			default:
				keep = append(keep, d)
			}
		}
		s.waiting = keep
		for _, left := range offers {
			s.free = append(s.free, left...)
		}
	}
}

func (g *grants) run(s *grantShard, slot *server, d *demand) {
	peer := g.sim.centreHost(g.sim.centres[slot.id])
	time.Sleep(g.sim.network.travel(d.from, peer))
	reply := slot.execute(d.sub, nil)
	g.mu.Lock()
	s.free = append(s.free, slot)
	queued := len(s.waiting)
	g.mu.Unlock()
	time.Sleep(g.sim.network.travel(peer, d.from))
	reply.Replica = d.sub.Replica
	reply.Load = wire.Load{
		Slots: slot.shape.Slots, Queued: uint32(queued), Service: serviceMean(),
		Wait: time.Duration(queued) * serviceMean() / time.Duration(int(slot.shape.Slots)*slot.shape.Replicas),
	}
	d.done([]wire.Reply{reply})
}
