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

// noHedgeDelay is a hedge delay longer than every deadline, so that no hedge is
// sent.
const noHedgeDelay = time.Hour

// host is one simulated entry host.
type host struct {
	name       string
	dataCentre string
	sim        *simulation
	engine     *scatter.Engine
	admission  *admit.Admission
	owner      *owner.Owner
	links      map[*host]*link // by peer
	knownDead  atomic.Bool     // the other hosts know that this host is dead
	killed     atomic.Bool

	mu     sync.Mutex
	owners map[wire.ReplicaID]*host    // cached owners of replicas, cleared when a host dies
	routes map[wire.SubRequestID]*host // owners that outstanding sub-requests were sent to, for cancels
}

// setUp creates the host's owner, admission and engine, as the policy needs them.
// number is the host's index and seeds its random choices.
func (h *host) setUp(number int, config *release.Config) error {
	sim := h.sim
	ownerConfig := config
	d := &dialer{servers: sim.servers, roundTrip: func(wire.ReplicaID) (time.Duration, bool) { return localRoundTrip, true }}
	if sim.Policy == PolicyOwnCounts {
		ownerConfig = withAllReplicasIn(config, h.dataCentre)
		d.roundTrip = h.directRoundTrip
	}
	var err error
	h.owner, err = owner.New(owner.Options{DataCentre: h.dataCentre, Dialer: d, Ownership: h})
	if err != nil {
		return errors.WithStack(err)
	}
	h.owner.SetConfig(ownerConfig)
	if h.admission, err = admit.New(admit.Options{}); err != nil {
		return errors.WithStack(err)
	}
	options := scatter.Options{
		Sender: h, StatusSource: h, DataCentre: h.dataCentre, Incarnation: uint64(number + 1),
		Delays: map[string]time.Duration{}, Random: rand.NewPCG(sim.Seed, uint64(number)),
	}
	for _, dataCentre := range sim.Deployment.DataCentres {
		options.Delays[dataCentre] = sim.Deployment.Delay
	}
	switch sim.Policy {
	case PolicyRandom, PolicyRandomGrants, PolicyOwnCounts:
		options.HedgeDelay, options.MinHedgeDelay = noHedgeDelay, noHedgeDelay
	}
	h.engine, err = scatter.New(options)
	return errors.WithStack(err)
}

// directRoundTrip returns the round-trip time from this host to a replica without
// an owner in between, and false if the replica is cut off.
func (h *host) directRoundTrip(id wire.ReplicaID) (time.Duration, bool) {
	peer := h.sim.firstHostIn(h.sim.replicaDataCentres[id])
	if peer.dataCentre == h.dataCentre {
		return localRoundTrip, true
	}
	return h.sim.network.drawDelay(h, peer) + h.sim.network.drawDelay(peer, h), !h.sim.network.isCut(h, peer)
}

// withAllReplicasIn returns a copy of the configuration with every replica in one
// data centre, so that a host there connects to every replica.
func withAllReplicasIn(config *release.Config, dataCentre string) *release.Config {
	out := *config
	out.Services = map[string]*release.Service{}
	for name, service := range config.Services {
		copied := *service
		copied.Shards = nil
		for _, shard := range service.Shards {
			replicas := shard.Replicas
			shard.Replicas = nil
			for _, r := range replicas {
				shard.Replicas = append(shard.Replicas, release.Replica{Addr: r.Addr, DataCentre: dataCentre})
			}
			copied.Shards = append(copied.Shards, shard)
		}
		out.Services[name] = &copied
	}
	return &out
}

// Owns implements owner.Ownership.
func (h *host) Owns(_ string, _ uint32, id wire.ReplicaID) bool {
	return h.sim.Policy == PolicyOwnCounts || h.ownerHost(id) == h
}

// ownerHost returns the live host that owns a replica.
func (h *host) ownerHost(id wire.ReplicaID) *host {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.owners[id]
	if o == nil {
		o = ownerOf(h.sim.hosts, h.sim.replicaDataCentres[id], id, func(candidate *host) bool { return !candidate.knownDead.Load() })
		h.owners[id] = o
	}
	return o
}

// refreshOwners drops the cached owners, as a host does after a member event.
func (h *host) refreshOwners() {
	h.mu.Lock()
	h.owners = map[wire.ReplicaID]*host{}
	h.mu.Unlock()
	h.owner.Refresh()
}

// Send implements wire.Sender. It sends the sub-requests to the owners of their
// replicas, unless the policy has no owners.
func (h *host) Send(subs []wire.SubRequest, done func([]wire.Reply)) {
	switch h.sim.Policy {
	case PolicyRandomGrants:
		h.sim.matcher.send(h, subs, done)
		return
	case PolicyOwnCounts:
		h.owner.Send(subs, done)
		return
	case PolicyRandom:
		subs, done = h.sim.toRandomReplicas(subs, done)
	}
	groups := map[*host][]wire.SubRequest{}
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
	forgetAndDone := func(replies []wire.Reply) {
		h.mu.Lock()
		for i := range replies {
			delete(h.routes, replies[i].ID)
		}
		h.mu.Unlock()
		done(replies)
	}
	for to, group := range groups {
		if to == h {
			h.owner.Send(group, forgetAndDone)
		} else {
			h.links[to].send(group, forgetAndDone)
		}
	}
}

// Cancel implements wire.Sender.
func (h *host) Cancel(ids []wire.SubRequestID) {
	if h.sim.Policy == PolicyOwnCounts {
		h.owner.Cancel(ids)
		return
	}
	groups := map[*host][]wire.SubRequestID{}
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
	if !sleepContext(ctx, 2*h.sim.Deployment.Delay) {
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
