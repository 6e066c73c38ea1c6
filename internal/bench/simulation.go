package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/admit"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/scatter"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// settle is the time in which owners open connections and use all slots.
	settle = 2500 * time.Millisecond
	// slowFactor applies to one replica, allSlowFactor to all.
	slowFactor    = 10
	allSlowFactor = 4
	// cutCentre is the data centre that is cut off.
	cutCentre = 2
)

// simulation is the state of one case.
type simulation struct {
	Case
	config  *release.Config
	hosts   []*host
	servers map[wire.ReplicaID]*server
	centres map[wire.ReplicaID]string
	network *network
	grants  *grants

	mu     sync.Mutex
	random *rand.Rand
	meters map[string]*meter
	cutOff int
	began  time.Time // of the measurement
}

// Run simulates one case. It must be called within a synctest bubble.
func Run(c Case) (Result, error) {
	sim := &simulation{
		Case: c, config: c.Deployment.config(c.Policy),
		servers: map[wire.ReplicaID]*server{}, centres: map[wire.ReplicaID]string{},
		network: &network{delay: c.Deployment.Delay, random: rand.New(rand.NewPCG(c.Seed, 5))},
		random:  rand.New(rand.NewPCG(c.Seed, 3)), meters: map[string]*meter{},
	}
	if err := sim.setUp(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var owners, queries sync.WaitGroup
	for _, h := range sim.hosts {
		owners.Go(func() { _ = h.owner.Run(ctx) })
	}
	if c.Policy == PolicyGrants {
		owners.Go(func() { sim.rounds(ctx) })
	}
	if c.Fault == FaultCold {
		sim.begin()
		sim.offer(&queries, c.Measure)
	} else {
		time.Sleep(settle)
		if c.Fault == FaultSlow {
			sim.inject()
		}
		sim.offer(&queries, c.Warm)
		sim.begin()
		if c.Fault != FaultSlow {
			sim.inject()
		}
		sim.offer(&queries, c.Measure)
	}
	result := sim.result(time.Now())
	queries.Wait()
	sim.summarize(&result)
	cancel()
	owners.Wait()
	time.Sleep(settle) // ends what is still on its way
	return result, nil
}

func (sim *simulation) setUp() error {
	for n, shape := range sim.Deployment.Services {
		sim.meters[shape.Name] = &meter{shape: shape}
		for s, shard := range sim.config.Services[shape.Name].Shards {
			for r, replica := range shard.Replicas {
				seed := sim.Seed<<32 | uint64(n)<<24 | uint64(s)<<8 | uint64(r)
				sim.servers[replica.Addr] = newServer(replica.Addr, shape, seed)
				sim.centres[replica.Addr] = replica.DataCentre
			}
		}
	}
	for _, centre := range sim.Deployment.DataCentres {
		for n := range hostsPerCentre {
			sim.hosts = append(sim.hosts, &host{
				name: fmt.Sprintf("%s-%d", centre, n+1), centre: centre, sim: sim, links: map[*host]*link{},
				owners: map[wire.ReplicaID]*host{}, routes: map[wire.SubID]*host{},
			})
		}
	}
	for n, h := range sim.hosts {
		for _, peer := range sim.hosts {
			h.links[peer] = &link{
				network: sim.network, from: h, to: peer,
				outstanding: map[wire.SubID]func([]wire.Reply){}, subs: map[wire.SubID]wire.ReplicaID{},
			}
		}
		if err := h.setUp(n, sim.config); err != nil {
			return err
		}
	}
	if sim.Policy == PolicyGrants {
		sim.grants = newGrants(sim)
	}
	return nil
}

func (sim *simulation) centreHost(centre string) *host {
	for _, h := range sim.hosts {
		if h.centre == centre {
			return h
		}
	}
	return nil
}

// rounds matches slots once per one-way delay.
func (sim *simulation) rounds(ctx context.Context) {
	ticker := time.NewTicker(sim.Deployment.Delay)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			sim.grants.round()
		}
	}
}

// begin starts the measurement.
func (sim *simulation) begin() {
	now := time.Now()
	sim.mu.Lock()
	sim.began = now
	sim.mu.Unlock()
	for _, s := range sim.servers {
		s.measure(now)
	}
}

// inject causes the fault. A slow replica is slow from the start, so that its
// steady effect is measured; the others begin with the measurement.
func (sim *simulation) inject() {
	first := sim.config.Services[sim.Deployment.Services[0].Name].Shards[0].Replicas[0].Addr
	victim := sim.servers[first]
	switch sim.Fault {
	case FaultSlow:
		victim.slow(slowFactor)
	case FaultLost:
		victim.lose()
	case FaultSilent:
		victim.mu.Lock()
		victim.silence = 1
		victim.mu.Unlock()
	case FaultSlowness:
		for _, s := range sim.servers {
			s.slow(allSlowFactor)
		}
	case FaultHost:
		sim.kill(sim.hosts[0])
	case FaultCut:
		centre := sim.Deployment.DataCentres[cutCentre]
		sim.network.setCut(func(from, to *host) bool {
			return (from.centre == centre) != (to.centre == centre)
		})
	}
}

func (s *server) slow(factor float64) {
	s.mu.Lock()
	s.factor = factor
	s.mu.Unlock()
}

// kill stops a host; the others learn of it when a stream is found broken.
func (sim *simulation) kill(h *host) {
	h.killed.Store(true)
	sim.network.setCut(func(from, to *host) bool { return from == h || to == h })
	time.AfterFunc(peerTimeout, func() {
		h.dead.Store(true)
		for _, peer := range sim.hosts {
			if peer != h {
				peer.viewChanged()
			}
		}
	})
}

// offer starts queries of all services for a while, with exponential gaps.
func (sim *simulation) offer(queries *sync.WaitGroup, period time.Duration) {
	var services sync.WaitGroup
	until := time.Now().Add(period)
	for n, shape := range sim.Deployment.Services {
		services.Go(func() {
			random := rand.New(rand.NewPCG(sim.Seed, uint64(100+n)))
			gap := float64(time.Second) / (sim.Load * shape.queriesPerSecond())
			for {
				time.Sleep(time.Duration(random.ExpFloat64() * gap))
				if time.Now().After(until) {
					return
				}
				h := sim.hosts[random.IntN(len(sim.hosts))]
				if !h.killed.Load() {
					queries.Go(func() { sim.query(h, shape) })
				}
			}
		})
	}
	services.Wait()
}

// query runs one query on a host, as the front does.
func (sim *simulation) query(h *host, shape Shape) {
	began := time.Now()
	release, err := h.admit.Acquire(shape.Name)
	if err != nil {
		sim.record(h, shape, began, nil, &scatter.NotRunError{Reason: wire.ReasonShed})
		return
	}
	answer, err := h.engine.Run(context.Background(), scatter.Query{
		Config: sim.config, Service: shape.Name, Search: searchName, Repeatable: true,
	})
	seen := scatter.SeenOf(answer, err)
	release(admit.Feedback{
		Wait: seen.Wait, Refused: seen.Refused, Latency: time.Since(began), Goal: sim.Deployment.Goal,
	})
	sim.record(h, shape, began, answer, err)
}
