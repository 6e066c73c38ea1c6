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
	// settleTime is the time that owners get to open connections and use all
	// slots, and that messages in flight get to arrive at the end.
	settleTime = 2500 * time.Millisecond
	// slowFactor multiplies the service times of one replica under FaultSlowReplica,
	// allSlowFactor those of all replicas under FaultAllSlow.
	slowFactor    = 10
	allSlowFactor = 4
	// cutDataCentreIndex is the index of the data centre that FaultCut cuts off.
	cutDataCentreIndex = 2
)

// simulation is the state of one running case.
type simulation struct {
	Case
	config             *release.Config
	hosts              []*host
	servers            map[wire.ReplicaID]*server
	replicaDataCentres map[wire.ReplicaID]string
	network            *network
	matcher            *randomMatcher

	mu            sync.Mutex
	random        *rand.Rand
	meters        map[string]*meter
	cutOffQueries int
	measureStart  time.Time // zero before the measurement
}

// Run simulates one case and returns its figures. It must be called within a
// synctest bubble.
func Run(c Case) (Result, error) {
	sim := &simulation{
		Case: c, config: c.Deployment.config(c.Policy),
		servers: map[wire.ReplicaID]*server{}, replicaDataCentres: map[wire.ReplicaID]string{},
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
	if c.Policy == PolicyRandomGrants {
		owners.Go(func() { sim.runMatcher(ctx) })
	}
	if c.Fault == FaultCold {
		sim.startMeasurement()
		sim.offerLoad(&queries, c.Measure)
	} else {
		time.Sleep(settleTime)
		if c.Fault == FaultSlowReplica {
			sim.injectFault()
		}
		sim.offerLoad(&queries, c.WarmUp)
		sim.startMeasurement()
		if c.Fault != FaultSlowReplica {
			sim.injectFault()
		}
		sim.offerLoad(&queries, c.Measure)
	}
	result := sim.slotResult(time.Now())
	queries.Wait()
	sim.addServiceResults(&result)
	cancel()
	owners.Wait()
	time.Sleep(settleTime) // lets messages in flight arrive
	return result, nil
}

// setUp creates the servers, hosts and links of the case.
func (sim *simulation) setUp() error {
	for index, shape := range sim.Deployment.Services {
		sim.meters[shape.Name] = &meter{shape: shape}
		for s, shard := range sim.config.Services[shape.Name].Shards {
			for r, replica := range shard.Replicas {
				seed := sim.Seed<<32 | uint64(index)<<24 | uint64(s)<<8 | uint64(r)
				sim.servers[replica.Addr] = newServer(replica.Addr, shape, seed)
				sim.replicaDataCentres[replica.Addr] = replica.DataCentre
			}
		}
	}
	for _, dataCentre := range sim.Deployment.DataCentres {
		for n := range hostsPerDataCentre {
			sim.hosts = append(sim.hosts, &host{
				name: fmt.Sprintf("%s-%d", dataCentre, n+1), dataCentre: dataCentre, sim: sim, links: map[*host]*link{},
				owners: map[wire.ReplicaID]*host{}, routes: map[wire.SubRequestID]*host{},
			})
		}
	}
	for n, h := range sim.hosts {
		for _, peer := range sim.hosts {
			h.links[peer] = &link{
				network: sim.network, from: h, to: peer,
				pendingDone: map[wire.SubRequestID]func([]wire.Reply){}, pendingReplicas: map[wire.SubRequestID]wire.ReplicaID{},
			}
		}
		if err := h.setUp(n, sim.config); err != nil {
			return err
		}
	}
	if sim.Policy == PolicyRandomGrants {
		sim.matcher = newRandomMatcher(sim)
	}
	return nil
}

// firstHostIn returns the first host of a data centre, or nil if there is none.
func (sim *simulation) firstHostIn(dataCentre string) *host {
	for _, h := range sim.hosts {
		if h.dataCentre == dataCentre {
			return h
		}
	}
	return nil
}

// runMatcher runs one round of random matching per one-way delay between data
// centres.
func (sim *simulation) runMatcher(ctx context.Context) {
	ticker := time.NewTicker(sim.Deployment.Delay)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			sim.matcher.matchAll()
		}
	}
}

// startMeasurement makes results and slot time count from now on.
func (sim *simulation) startMeasurement() {
	now := time.Now()
	sim.mu.Lock()
	sim.measureStart = now
	sim.mu.Unlock()
	for _, s := range sim.servers {
		s.startMeasurement(now)
	}
}

// injectFault begins the fault of the case. Run calls it before the warm-up for
// FaultSlowReplica, so that the steady effect of a slow replica is measured, and at
// the start of the measurement for the other faults.
func (sim *simulation) injectFault() {
	first := sim.config.Services[sim.Deployment.Services[0].Name].Shards[0].Replicas[0].Addr
	replica := sim.servers[first]
	switch sim.Fault {
	case FaultSlowReplica:
		replica.setSlowdown(slowFactor)
	case FaultLostReplica:
		replica.shutDown()
	case FaultSilent:
		replica.mu.Lock()
		replica.connsToSilence = 1
		replica.mu.Unlock()
	case FaultAllSlow:
		for _, s := range sim.servers {
			s.setSlowdown(allSlowFactor)
		}
	case FaultHost:
		sim.killHost(sim.hosts[0])
	case FaultCut:
		dataCentre := sim.Deployment.DataCentres[cutDataCentreIndex]
		sim.network.setCut(func(from, to *host) bool {
			return (from.dataCentre == dataCentre) != (to.dataCentre == dataCentre)
		})
	}
}

// setSlowdown multiplies the service times that are drawn from now on by factor.
func (s *server) setSlowdown(factor float64) {
	s.mu.Lock()
	s.serviceTimeFactor = factor
	s.mu.Unlock()
}

// killHost cuts a host off from all others, which learn of its death after
// peerLossTimeout.
func (sim *simulation) killHost(h *host) {
	h.killed.Store(true)
	sim.network.setCut(func(from, to *host) bool { return from == h || to == h })
	time.AfterFunc(peerLossTimeout, func() {
		h.knownDead.Store(true)
		for _, peer := range sim.hosts {
			if peer != h {
				peer.refreshOwners()
			}
		}
	})
}

// offerLoad starts queries of all services for a period, with exponentially
// distributed gaps, and returns at its end. queries counts those still running.
func (sim *simulation) offerLoad(queries *sync.WaitGroup, period time.Duration) {
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
					queries.Go(func() { sim.runQuery(h, shape) })
				}
			}
		})
	}
	services.Wait()
}

// runQuery runs one query on a host, with admission as in the front package, and
// records its result.
func (sim *simulation) runQuery(h *host, shape ServiceShape) {
	start := time.Now()
	done, err := h.admission.Acquire(shape.Name)
	if err != nil {
		sim.recordQuery(h, shape, start, nil, &scatter.NotRunError{Reason: wire.ReasonShed})
		return
	}
	answer, err := h.engine.Run(context.Background(), scatter.Query{
		Config: sim.config, Service: shape.Name, Search: searchName, Repeatable: true,
	})
	seen := scatter.LoadSignalsOf(answer, err)
	done(admit.Feedback{
		MaxQueueWait: seen.MaxQueueWait, Refused: seen.Refused, Latency: time.Since(start), LatencyGoal: sim.Deployment.LatencyGoal,
	})
	sim.recordQuery(h, shape, start, answer, err)
}
