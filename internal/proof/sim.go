// Package proof holds a simulated installation of entry hosts with an oracle
// that knows which requests truly ran. Its tests check that a request runs at
// most once and that "not run" is true, under faults in any combination.
package proof

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/member"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// viewLag is how long the other hosts hold an old view of a member.
	viewLag = time.Second
	// linkDelay is the one-way delay between hosts, and to a shard.
	linkDelay = 5 * time.Millisecond
	// admissionTime is how long a search waits for admission.
	admissionTime = 2 * time.Millisecond
	// Shards is the number of shards of the one service.
	Shards = 3
	// ledgersPerShard is the number of ledgers in each shard.
	ledgersPerShard = 10
	// SearchDeadline is the deadline of every search.
	SearchDeadline = 500 * time.Millisecond

	serviceName = "desk"
	bookSearch  = "book"
	findSearch  = "find"
)

// Sim is an installation of entry hosts in front of shards. Its methods are
// safe for concurrent use; it must live in a synctest bubble.
type Sim struct {
	Oracle *Oracle

	mu     sync.Mutex
	hosts  []*Host
	shards [Shards]ShardMode
	cuts   map[string]bool // data centres without contact to the others
	links  map[string]LinkMode
}

// ShardMode says how a shard treats sub-requests.
type ShardMode string

// The modes of a shard.
const (
	ShardOK          ShardMode = "ok"
	ShardRefuse      ShardMode = "refuse"       // says that it did not run the sub-request
	ShardLoseRequest ShardMode = "lose_request" // never runs it; its end is unknown
	ShardLoseReply   ShardMode = "lose_reply"   // runs it; its end is unknown
	ShardSlow        ShardMode = "slow"         // runs it after the deadline
	ShardSilent      ShardMode = "silent"       // runs it and never replies
)

// LinkMode says how a host's outgoing forwarded requests fare.
type LinkMode string

// The modes of a host's outgoing links.
const (
	LinkOK          LinkMode = "ok"
	LinkRefuse      LinkMode = "refuse"       // the dial fails
	LinkLoseRequest LinkMode = "lose_request" // the request never arrives
	LinkLoseReply   LinkMode = "lose_reply"   // the request runs, its reply is lost
	LinkSlow        LinkMode = "slow"         // the request arrives late
	LinkDouble      LinkMode = "double"       // the request arrives twice
)

// New returns an installation with a running host for each name of the form
// "<data centre>-<number>".
func New(names ...string) *Sim {
	s := &Sim{Oracle: newOracle(), cuts: map[string]bool{}, links: map[string]LinkMode{}}
	for i := range s.shards {
		s.shards[i] = ShardOK
	}
	for i, name := range names {
		dataCentre, _, _ := strings.Cut(name, "-")
		h := newHost(s, member.Host{
			Name: name, Addr: fmt.Sprintf("127.0.0.1:%d", 7001+i), DataCentre: dataCentre,
		})
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		h.Start()
	}
	time.Sleep(viewLag)
	return s
}

// Host returns a host by name, or nil.
func (s *Sim) Host(name string) *Host {
	i := slices.IndexFunc(s.hosts, func(h *Host) bool { return h.info.Name == name })
	if i < 0 {
		return nil
	}
	return s.hosts[i]
}

// Hosts returns all hosts.
func (s *Sim) Hosts() []*Host { return s.hosts }

func (s *Sim) hostAt(addr string) *Host {
	i := slices.IndexFunc(s.hosts, func(h *Host) bool { return h.info.Addr == addr })
	if i < 0 {
		return nil
	}
	return s.hosts[i]
}

// SetShard changes how a shard treats the sub-requests that reach it.
func (s *Sim) SetShard(shard int, mode ShardMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shards[shard] = mode
}

// SetLink changes how a host's forwarded requests fare.
func (s *Sim) SetLink(host string, mode LinkMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links[host] = mode
}

// Cut separates a data centre from the others.
func (s *Sim) Cut(dataCentre string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts[dataCentre] = true
}

// Heal ends all faults of shards, links and data centres, and resumes and
// starts every host.
func (s *Sim) Heal() {
	s.mu.Lock()
	clear(s.cuts)
	clear(s.links)
	for i := range s.shards {
		s.shards[i] = ShardOK
	}
	s.mu.Unlock()
	for _, h := range s.hosts {
		h.Resume()
		h.Start()
		h.SetOverloaded(false)
		h.SetConfig(Config())
	}
}

// Close ends all hosts and waits until nothing runs any more.
func (s *Sim) Close() {
	for _, h := range s.hosts {
		h.Resume()
		h.Kill()
	}
	time.Sleep(time.Minute)
}

func (s *Sim) shardMode(shard uint32) ShardMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shards[shard]
}

func (s *Sim) linkMode(from, to *Host) LinkMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, b := from.info.DataCentre, to.info.DataCentre
	if a != b && (s.cuts[a] || s.cuts[b]) {
		return LinkLoseRequest
	}
	if mode := s.links[from.info.Name]; mode != "" {
		return mode
	}
	return LinkOK
}

// Config returns the configuration: one service with a search "book" that is
// not repeatable and a search "find" that is.
func Config() *release.Config {
	service := &release.Service{Name: serviceName, Slots: 2}
	for i := range Shards {
		lo := uint64(i * ledgersPerShard)
		shard := release.Shard{ID: uint32(i), Range: wire.KeyRange{Lo: lo, Hi: lo + ledgersPerShard}}
		for r := range 2 {
			shard.Replicas = append(shard.Replicas, release.Replica{
				Addr: wire.ReplicaID(fmt.Sprintf("10.0.%d.%d:1", i, r)), DataCentre: "badin",
			})
		}
		service.Shards = append(service.Shards, shard)
	}
	cfg := &release.Config{
		Version:  1,
		Services: map[string]*release.Service{serviceName: service},
		Searches: map[string]*release.Search{},
	}
	for _, name := range []string{bookSearch, findSearch} {
		cfg.Searches[release.SearchKey(serviceName, name)] = &release.Search{
			Name: name, Service: serviceName, Repeatable: name == findSearch, Wait: release.WaitCoverage,
			LatencyGoal: jwcc.Duration(100 * time.Millisecond), Deadline: jwcc.Duration(SearchDeadline),
			LeastCoverage: 0.5,
		}
	}
	return cfg
}

// WithdrawnConfig returns the configuration without the search "book".
func WithdrawnConfig() *release.Config {
	cfg := Config()
	cfg.Version = 2
	delete(cfg.Searches, release.SearchKey(serviceName, bookSearch))
	return cfg
}
