package rollout

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"google.golang.org/protobuf/proto"

	"github.com/arbutusgauge/arbutusgauge/internal/infra"
	"github.com/arbutusgauge/arbutusgauge/internal/member"
	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

// simulation is a simulated deployment: the store, hosts in three data centres
// and the gossip between them.
type simulation struct {
	t     testing.TB
	mu    sync.Mutex
	rng   *rand.Rand
	seed  uint64
	hosts []*host

	entries          map[string]infra.Entry
	previousManifest infra.Entry // the manifest that stale reads return
	changed          chan struct{}
	appliedNotes     []string // ids of the applied notes in order of version

	storeDown, staleReads bool            // calls fail; reads return previousManifest
	repliesToLose         int             // replies to writes still to be dropped after the write
	writeDelay            time.Duration   // if above 0, writes fail and take effect this much later
	cutFromPlatform       map[string]bool // data centres that can't reach the store
	cutFromOthers         map[string]bool // data centres that can't reach the others
	reads                 int
	writes                int
	fetches               int
	fetchedBytes          int
}

// host is one host of the simulation, with an Agent for each start of its
// process.
type host struct {
	*Agent
	sim             *simulation
	info            member.Host
	ctx             context.Context // of the running process
	cancel          context.CancelFunc
	done            chan struct{}
	mu              sync.Mutex
	adoptedVersions *[]uint64 // versions adopted by the running process
}

var dataCentres = []string{"badin", "thatta", "tando"}

// locked calls change while holding the lock, to set faults or read counters.
func (sim *simulation) locked(change func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	change()
}

// newSimulation returns a simulation with count running hosts.
func newSimulation(t testing.TB, seed uint64, count int) *simulation {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 2)), seed: seed, entries: map[string]infra.Entry{}, changed: make(chan struct{}),
		cutFromPlatform: map[string]bool{}, cutFromOthers: map[string]bool{},
	}
	for i := range count {
		h := &host{sim: sim, info: member.Host{
			Name: fmt.Sprintf("%s-%d", dataCentres[i%3], i/3), Addr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), DataCentre: dataCentres[i%3],
		}}
		sim.hosts = append(sim.hosts, h)
	}
	for _, h := range sim.hosts {
		h.start()
	}
	return sim
}

func (sim *simulation) stop() {
	for _, h := range sim.hosts {
		h.stop()
	}
}

func (h *host) start() {
	agent, err := New(Options{
		Store: store{h}, Fetcher: h, Members: h, Check: checkNote, ApplyNote: applyNote, Seed: h.sim.seed + 1,
		Log: &log.Logger{Handler: discard.New()},
	})
	if err != nil {
		h.sim.t.Fatal(err)
	}
	versions := &[]uint64{}
	agent.OnAdopt(func(c *release.Config) {
		h.mu.Lock()
		*versions = append(*versions, c.Version)
		h.mu.Unlock()
		for range 4 {
			h.announce(agent, c.Version)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.sim.mu.Lock()
	h.Agent, h.ctx, h.cancel, h.done, h.adoptedVersions = agent, ctx, cancel, make(chan struct{}), versions
	h.sim.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { _ = agent.Run(ctx) })
	group.Go(func() { h.gossip(ctx, agent) })
	go func() { group.Wait(); close(h.done) }()
}

// stop ends the process and its calls of Apply, and waits for Run to return.
func (h *host) stop() {
	h.cancel()
	<-h.done
}

// announce reports a version to a random host, if that is reachable.
func (h *host) announce(agent *Agent, version uint64) {
	other := h.sim.randomHost()
	if agent, ok := h.sim.reachableAgent(h.info, other.info); ok {
		time.AfterFunc(5*time.Millisecond, func() { agent.AddVersionHint(h.info.Addr, version) })
	}
}

// gossip exchanges versions with a random host every 500 ms, as pings do.
func (h *host) gossip(ctx context.Context, agent *Agent) {
	for sleep(ctx, 500*time.Millisecond) {
		other := h.sim.randomHost()
		if peer, ok := h.sim.reachableAgent(h.info, other.info); ok {
			peer.AddVersionHint(h.info.Addr, agent.Manifest().Version)
			agent.AddVersionHint(other.info.Addr, peer.Manifest().Version)
		}
	}
}

func (sim *simulation) randomHost() *host {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.hosts[sim.rng.IntN(len(sim.hosts))]
}

// reachableAgent returns the agent of host to if the network delivers a message
// from host from.
func (sim *simulation) reachableAgent(from, to member.Host) (*Agent, bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if from.DataCentre != to.DataCentre && (sim.cutFromOthers[from.DataCentre] || sim.cutFromOthers[to.DataCentre]) {
		return nil, false
	}
	for _, h := range sim.hosts {
		if h.info.Name == to.Name && h.Agent != nil {
			return h.Agent, true
		}
	}
	return nil, false
}

// View implements member.Members. It always shows all hosts alive, because
// rollout must not depend on the detection of failures.
func (h *host) View() *member.View {
	v := &member.View{Version: 1, Self: h.info}
	for _, other := range h.sim.hosts {
		v.Hosts = append(v.Hosts, other.info)
	}
	return v
}

// Suspect implements member.Members.
func (h *host) Suspect(string) {}

// FetchConfig implements Fetcher. It blocks until ctx ends if the host at addr is
// not reachable.
func (h *host) FetchConfig(ctx context.Context, addr string, req *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	for _, other := range h.sim.hosts {
		if other.info.Addr != addr {
			continue
		}
		agent, ok := h.sim.reachableAgent(h.info, other.info)
		if !ok {
			break
		}
		time.Sleep(5 * time.Millisecond)
		reply, err := agent.HandleFetch(ctx, req)
		h.sim.mu.Lock()
		defer h.sim.mu.Unlock()
		h.sim.fetches++
		h.sim.fetchedBytes += proto.Size(req) + proto.Size(reply)
		return reply, err
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// store implements infra.Store for the calls of one host.
type store struct{ h *host }

// unavailable returns the error of a call while the store is down or can't be
// reached from the host, and nil otherwise.
func (s store) unavailable(op string) error {
	if s.h.sim.storeDown || s.h.sim.cutFromPlatform[s.h.info.DataCentre] {
		return &infra.UnavailableError{Op: op, Err: io.ErrUnexpectedEOF}
	}
	return nil
}

func (s store) Get(_ context.Context, key string) (infra.Entry, error) {
	time.Sleep(5 * time.Millisecond)
	sim := s.h.sim
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.reads++
	return sim.entry(key), s.unavailable("get")
}

func (sim *simulation) entry(key string) infra.Entry {
	if key == ManifestKey && sim.staleReads {
		return sim.previousManifest
	}
	return sim.entries[key]
}

func (s store) CompareAndSwap(_ context.Context, key string, revision uint64, value []byte) (infra.Entry, error) {
	time.Sleep(5 * time.Millisecond)
	sim := s.h.sim
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.writes++
	if err := s.unavailable("swap"); err != nil {
		return infra.Entry{}, err
	}
	lost := &infra.UnavailableError{Op: "swap", Err: io.ErrUnexpectedEOF}
	if sim.writeDelay > 0 && sim.entries[key].Revision == revision {
		time.AfterFunc(sim.writeDelay, func() {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			_, _ = sim.swap(key, revision, value)
		})
		return infra.Entry{}, lost
	}
	entry, err := sim.swap(key, revision, value)
	if sim.repliesToLose > 0 {
		sim.repliesToLose--
		return infra.Entry{}, lost
	}
	return entry, err
}

func (sim *simulation) swap(key string, revision uint64, value []byte) (infra.Entry, error) {
	current := sim.entries[key]
	if current.Revision != revision {
		return infra.Entry{}, &infra.ConflictError{Current: current}
	}
	next := infra.Entry{Key: key, Value: value, Revision: revision + 1}
	sim.entries[key] = next
	if key == ManifestKey {
		sim.previousManifest = current
		m, err := decodeManifest(value, "store")
		if err != nil || m.Version != uint64(len(sim.appliedNotes)+1) {
			sim.t.Errorf("version %d follows version %d: %v", m.Version, len(sim.appliedNotes), err)
		}
		sim.appliedNotes = append(sim.appliedNotes, m.Note)
	}
	close(sim.changed)
	sim.changed = make(chan struct{})
	return next, nil
}

func (s store) Watch(ctx context.Context, key string, after uint64) (infra.Entry, error) {
	sim := s.h.sim
	sim.mu.Lock()
	sim.reads++
	sim.mu.Unlock()
	for {
		sim.mu.Lock()
		entry, changed, err := sim.entry(key), sim.changed, s.unavailable("watch")
		sim.mu.Unlock()
		if err != nil || entry.Revision > after {
			time.Sleep(5 * time.Millisecond)
			return entry, err
		}
		select {
		case <-changed:
		// The adapter of the real store ends each long poll after 1 s.
		case <-time.After(time.Second):
		case <-ctx.Done():
			return infra.Entry{}, &infra.UnavailableError{Op: "watch", Err: ctx.Err()}
		}
	}
}

// badNoteError is the error that checkNote returns.
type badNoteError struct{}

func (badNoteError) Error() string { return "bad note" }

// checkNote stands in for release.Check: it refuses a note that adds an existing
// service.
func checkNote(base *release.Config, n *release.Note) error {
	for _, s := range n.Services.Added {
		if base.Services[s.Name] != nil {
			return badNoteError{}
		}
	}
	return nil
}

// applyNote stands in for release.Apply: it applies added and changed services.
func applyNote(base *release.Config, n *release.Note) (*release.Config, error) {
	next := &release.Config{Services: maps.Clone(base.Services), Searches: maps.Clone(base.Searches)}
	for _, s := range append(n.Services.Added, n.Services.Changed...) {
		next.Services[s.Name] = &s
	}
	return next, nil
}

// newNote returns a note that changes the given services.
func newNote(id string, base uint64, services ...release.Service) *release.Note {
	return &release.Note{ID: id, Base: base, Author: "ops", Services: release.ServiceChanges{Changed: services}}
}

// notesInForce returns the ids of the applied notes in order of version.
func (sim *simulation) notesInForce() []string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return slices.Clone(sim.appliedNotes)
}

// outdatedHosts returns a text for each host whose version is not the store's.
func (sim *simulation) outdatedHosts() []string {
	version := uint64(len(sim.notesInForce()))
	var out []string
	for _, h := range sim.hosts {
		if v := h.Manifest().Version; v != version {
			out = append(out, fmt.Sprintf("%s is at %d of %d", h.info.Name, v, version))
		}
	}
	return out
}
