package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/admit"
	"github.com/arbutusgauge/arbutusgauge/internal/owner"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/scatter"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// noHedge is a hedge delay beyond every deadline.
const noHedge = time.Hour

// host is one simulated entry host.
type host struct {
	name   string
	centre string
	sim    *simulation
	engine *scatter.Engine
	admit  *admit.Admission
	owner  *owner.Owner
	links  map[*host]*link
	dead   atomic.Bool // known to the other hosts
	killed atomic.Bool

	mu     sync.Mutex
	owners map[wire.ReplicaID]*host // cleared when the view changes
	routes map[wire.SubID]*host     // of outstanding sub-requests, for cancels
}

func (h *host) setUp(number int, config *release.Config) error {
	sim := h.sim
	ownConfig := config
	d := &dialer{servers: sim.servers, trip: func(wire.ReplicaID) (time.Duration, bool) { return localTrip, true }}
	if sim.Policy == PolicyOwnCounts {
		ownConfig = inOneCentre(config, h.centre)
		d.trip = h.directTrip
	}
	var err error
	h.owner, err = owner.New(owner.Options{DataCentre: h.centre, Dialer: d, Ownership: h})
	if err != nil {
		return errors.WithStack(err)
	}
	h.owner.SetConfig(ownConfig)
	if h.admit, err = admit.New(admit.Options{}); err != nil {
		return errors.WithStack(err)
	}
	options := scatter.Options{
		Sender: h, Status: h, DataCentre: h.centre, Incarnation: uint64(number + 1),
		Delays: map[string]time.Duration{}, Random: rand.NewPCG(sim.Seed, uint64(number)),
	}
	for _, centre := range sim.Deployment.DataCentres {
		options.Delays[centre] = sim.Deployment.Delay
	}
	switch sim.Policy {
	case PolicyRandom, PolicyGrants, PolicyOwnCounts:
		options.HedgeDelay, options.MinHedgeDelay = noHedge, noHedge
	}
	h.engine, err = scatter.New(options)
	return errors.WithStack(err)
}

// directTrip is the round trip from this host to a server without an owner.
func (h *host) directTrip(id wire.ReplicaID) (time.Duration, bool) {
	peer := h.sim.centreHost(h.sim.centres[id])
	if peer.centre == h.centre {
		return localTrip, true
	}
	return h.sim.network.travel(h, peer) + h.sim.network.travel(peer, h), !h.sim.network.isCut(h, peer)
}

// inOneCentre is the configuration of a host that manages every replica.
func inOneCentre(config *release.Config, centre string) *release.Config {
	out := *config
	out.Services = map[string]*release.Service{}
	for name, service := range config.Services {
		moved := *service
		moved.Shards = nil
		for _, shard := range service.Shards {
			replicas := shard.Replicas
			shard.Replicas = nil
			for _, r := range replicas {
				shard.Replicas = append(shard.Replicas, release.Replica{Addr: r.Addr, DataCentre: centre})
			}
			moved.Shards = append(moved.Shards, shard)
		}
		out.Services[name] = &moved
	}
	return &out
}

// Owns implements owner.Ownership.
func (h *host) Owns(_ string, _ uint32, id wire.ReplicaID) bool {
	return h.sim.Policy == PolicyOwnCounts || h.ownerHost(id) == h
}

func (h *host) ownerHost(id wire.ReplicaID) *host {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.owners[id]
	if o == nil {
		o = ownerOf(h.sim.hosts, h.sim.centres[id], id, func(x *host) bool { return !x.dead.Load() })
		h.owners[id] = o
	}
	return o
}

// viewChanged forgets the owners, as after a member event.
func (h *host) viewChanged() {
	h.mu.Lock()
	h.owners = map[wire.ReplicaID]*host{}
	h.mu.Unlock()
	h.owner.Refresh()
}

// Send implements wire.Sender: it routes to the owners.
func (h *host) Send(subs []wire.Sub, done func([]wire.Reply)) {
	switch h.sim.Policy {
	case PolicyGrants:
		h.sim.grants.send(h, subs, done)
		return
	case PolicyOwnCounts:
		h.owner.Send(subs, done)
		return
	case PolicyRandom:
		subs, done = h.sim.anyReplica(subs, done)
	}
	groups := map[*host][]wire.Sub{}
	for _, sub := range subs {
		to := h.ownerHost(sub.Replica)
		groups[to] = append(groups[to], sub)
	}
	h.mu.Lock()
	for to, group := range groups {
		for _, sub := range group {
			h.routes[sub.ID] = to
		}
	}
	h.mu.Unlock()
	forget := func(replies []wire.Reply) {
		h.mu.Lock()
		for i := range replies {
			delete(h.routes, replies[i].ID)
		}
		h.mu.Unlock()
		done(replies)
	}
	for to, group := range groups {
		if to == h {
			h.owner.Send(group, forget)
		} else {
			h.links[to].send(group, forget)
		}
	}
}

// Cancel implements wire.Sender.
func (h *host) Cancel(ids []wire.SubID) {
	if h.sim.Policy == PolicyOwnCounts {
		h.owner.Cancel(ids)
		return
	}
	groups := map[*host][]wire.SubID{}
	h.mu.Lock()
	for _, id := range ids {
		if to := h.routes[id]; to != nil {
			groups[to] = append(groups[to], id)
		}
	}
	h.mu.Unlock()
	for to, group := range groups {
		if to == h {
			h.owner.Cancel(group)
		} else {
			h.links[to].cancel(group)
		}
	}
}

// ReplicaStatus implements scatter.StatusSource.
func (h *host) ReplicaStatus(ctx context.Context, service string) ([]scatter.ReplicaInfo, error) {
	if !sleep(ctx, 2*h.sim.Deployment.Delay) {
		return nil, errors.WithStack(ctx.Err())
	}
	var out []scatter.ReplicaInfo
	for _, peer := range h.sim.hosts {
		if h.sim.network.isCut(h, peer) || h.sim.Policy == PolicyOwnCounts && peer != h {
			continue
		}
		for _, info := range peer.owner.ReplicaStatus(service) {
			if info.Owned {
				out = append(out, scatter.ReplicaInfo{
					Replica: info.Replica, Shard: info.Shard, Held: info.Held, Load: info.Load,
				})
			}
		}
	}
	return out, nil
}
