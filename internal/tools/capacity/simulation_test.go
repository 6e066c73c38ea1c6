package main

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"google.golang.org/protobuf/proto"

	"github.com/arbutusgauge/arbutusgauge/internal/infra"
	"github.com/arbutusgauge/arbutusgauge/internal/member"
	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/rollout"
)

const (
	// Delays: one way between two hosts, and of one call of the platform store.
	sameDataCentreDelay = 200 * time.Microsecond
	sameRegionDelay     = 5 * time.Millisecond
	otherRegionDelay    = 40 * time.Millisecond
	storeDelay          = 5 * time.Millisecond
	// pollPeriod is the time after which the platform adapter repeats the call of a
	// watch that waits.
	pollPeriod           = time.Second
	seedHosts            = 8
	dataCentresPerRegion = 3
)

// traffic counts the membership messages of one host in both directions, and their
// bytes.
type traffic struct{ messages, bytes atomic.Int64 }

// simulation is a network of hosts in virtual time. Each runs the member and
// rollout agents of the project, and all share one platform store.
type simulation struct {
	t       testing.TB
	mu      sync.Mutex
	hosts   []*simulatedHost
	byAddr  map[string]*simulatedHost
	store   map[string]infra.Entry
	changed chan struct{} // closed and replaced at every write to store

	tableBytes                                                                    atomic.Int64 // bytes of whole-table messages
	storeGets, storeSwaps, answeredWatches, idleWatchPolls, fetches, fetchedBytes atomic.Int64
}

// simulatedHost is a host that can be stopped and started again. It implements the
// connections of its agents to other hosts and to the store.
type simulatedHost struct {
	sim     *simulation
	self    member.Host
	seed    uint64
	members *member.Agent // nil while the host is down
	rollout *rollout.Agent
	stop    func()
	traffic traffic
}

// newSimulation starts the given number of hosts, spread over the data centres.
func newSimulation(t testing.TB, hosts, dataCentres int) *simulation {
	sim := &simulation{t: t, byAddr: map[string]*simulatedHost{}, store: map[string]infra.Entry{}, changed: make(chan struct{})}
	for i := range hosts {
		h := &simulatedHost{sim: sim, seed: uint64(i + 1), self: member.Host{
			Name: "host-" + strconv.Itoa(i), Addr: hostIP(i) + ":7000", HTTPAddr: hostIP(i) + ":7001", DataCentre: dataCentreName(i % dataCentres),
		}}
		sim.hosts = append(sim.hosts, h)
		sim.byAddr[h.self.Addr] = h
	}
	for _, h := range sim.hosts {
		h.start()
	}
	return sim
}

// start starts the agents of the host; stop ends them.
func (h *simulatedHost) start() {
	var seeds []string
	for i := range min(seedHosts, len(h.sim.hosts)) {
		seeds = append(seeds, h.sim.hosts[i].self.Addr)
	}
	discardLog := &log.Logger{Handler: discard.New()}
	members, err := member.New(member.Options{Self: h.self, Seeds: seeds, Gossiper: h, Seed: h.seed, Log: discardLog})
	if err != nil {
		h.sim.t.Fatal(err)
	}
	agent, err := rollout.New(rollout.Options{
		Store: h, Fetcher: h, Members: members, Check: release.Check, ApplyNote: release.Apply, Seed: h.seed, Log: discardLog,
	})
	if err != nil {
		h.sim.t.Fatal(err)
	}
	members.OnNewerConfig(agent.AddVersionHint)
	agent.OnAdopt(func(c *release.Config) { members.Announce(c.Version) })
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = members.Run(ctx) })
	running.Go(func() { _ = agent.Run(ctx) })
	h.sim.mu.Lock()
	defer h.sim.mu.Unlock()
	h.members, h.rollout = members, agent
	h.stop = func() {
		h.sim.mu.Lock()
		h.members, h.rollout = nil, nil
		h.sim.mu.Unlock()
		cancel()
		running.Wait()
	}
}

func (sim *simulation) close() {
	for _, h := range sim.hosts {
		h.stop()
	}
}

// lookup returns the host at an address and its agents, or nils when it is down.
func (sim *simulation) lookup(addr string) (*simulatedHost, *member.Agent, *rollout.Agent) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	h := sim.byAddr[addr]
	if h == nil || h.members == nil {
		return nil, nil, nil
	}
	return h, h.members, h.rollout
}

// oneWayDelay returns the delay between hosts of the data centres a and b.
func oneWayDelay(a, b string) time.Duration {
	switch {
	case a == b:
		return sameDataCentreDelay
	case region(a) == region(b):
		return sameRegionDelay
	default:
		return otherRegionDelay
	}
}

// region returns the region of a data centre, which follows from its number.
func region(dataCentre string) int {
	return int(dataCentre[len(dataCentre)-1]-'0') / dataCentresPerRegion
}

// countMessage adds a message between h and other to the traffic of both hosts.
func (h *simulatedHost) countMessage(other *simulatedHost, m *peerpb.GossipMessage) {
	size := int64(proto.Size(m))
	for _, end := range []*simulatedHost{h, other} {
		end.traffic.messages.Add(1)
		end.traffic.bytes.Add(size)
	}
	if m.Kind == peerpb.GossipMessage_TABLE {
		h.sim.tableBytes.Add(2 * size)
	}
}

// Gossip implements member.Gossiper.
func (h *simulatedHost) Gossip(ctx context.Context, addr string, m *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	other, members, _ := h.sim.lookup(addr)
	if other == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	h.countMessage(other, m)
	time.Sleep(oneWayDelay(h.self.DataCentre, other.self.DataCentre))
	reply, err := members.HandleGossip(ctx, proto.Clone(m).(*peerpb.GossipMessage))
	if err != nil {
		return nil, err
	}
	h.countMessage(other, reply)
	time.Sleep(oneWayDelay(h.self.DataCentre, other.self.DataCentre))
	return proto.Clone(reply).(*peerpb.GossipMessage), ctx.Err()
}

// FetchConfig implements rollout.Fetcher.
func (h *simulatedHost) FetchConfig(ctx context.Context, addr string, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	other, _, agent := h.sim.lookup(addr)
	if other == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(2 * oneWayDelay(h.self.DataCentre, other.self.DataCentre))
	reply, err := agent.HandleFetch(ctx, r)
	if err != nil {
		return nil, err
	}
	h.sim.fetches.Add(1)
	h.sim.fetchedBytes.Add(int64(proto.Size(r) + proto.Size(reply)))
	return reply, nil
}

// Get implements infra.Store.
func (h *simulatedHost) Get(_ context.Context, key string) (infra.Entry, error) {
	h.sim.storeGets.Add(1)
	time.Sleep(storeDelay)
	h.sim.mu.Lock()
	defer h.sim.mu.Unlock()
	return h.sim.store[key], nil
}

// CompareAndSwap implements infra.Store.
func (h *simulatedHost) CompareAndSwap(_ context.Context, key string, revision uint64, value []byte) (infra.Entry, error) {
	h.sim.storeSwaps.Add(1)
	time.Sleep(storeDelay)
	sim := h.sim
	sim.mu.Lock()
	defer sim.mu.Unlock()
	current := sim.store[key]
	if current.Revision != revision {
		return infra.Entry{}, &infra.ConflictError{Current: current}
	}
	sim.store[key] = infra.Entry{Key: key, Value: value, Revision: revision + 1}
	close(sim.changed)
	sim.changed = make(chan struct{})
	return sim.store[key], nil
}

// Watch implements infra.Store. A watch that waits counts as one call per
// pollPeriod.
func (h *simulatedHost) Watch(ctx context.Context, key string, after uint64) (infra.Entry, error) {
	sim := h.sim
	for {
		sim.mu.Lock()
		entry, changed := sim.store[key], sim.changed
		sim.mu.Unlock()
		if entry.Revision > after {
			sim.answeredWatches.Add(1)
			time.Sleep(storeDelay)
			return entry, nil
		}
		timer := time.NewTimer(pollPeriod)
		select {
		case <-changed:
		case <-timer.C:
			sim.idleWatchPolls.Add(1)
		case <-ctx.Done():
			timer.Stop()
			return infra.Entry{}, &infra.UnavailableError{Op: "watch", Err: ctx.Err()}
		}
		timer.Stop()
	}
}
