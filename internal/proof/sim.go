// Package proof simulates an installation of entry hosts and records in an
// oracle which requests the shards ran. Its tests inject faults in any
// combination and check that a request that is not repeatable runs at most once
// and that a request reported as "not run" did not run.
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
	// viewLag is the time until the other hosts learn that a host started or
	// ended.
	viewLag = time.Second
	// linkDelay is the one-way delay between hosts, and to a shard.
	linkDelay = 5 * time.Millisecond
	// admissionDelay is the time that admission of a search takes.
	admissionDelay = 2 * time.Millisecond
	// Shards is the number of shards of the simulated service.
	Shards = 3
	// ledgersPerShard is the number of ledgers in each shard.
	ledgersPerShard = 10
	// SearchDeadline is the configured deadline of both searches.
	SearchDeadline = 500 * time.Millisecond

	serviceName = "desk"
	bookSearch  = "book"
	findSearch  = "find"
)

// Sim is a simulated installation of entry hosts in front of the shards of one
// service. Its methods are safe for concurrent use. It must be created and used
// in one synctest bubble.
type Sim struct {
	Oracle *Oracle

	mu             sync.Mutex
	hosts          []*Host
	shardModes     [Shards]ShardMode
	cutDataCentres map[string]bool     // data centres that reach no other one
	linkModes      map[string]LinkMode // by the name of the sending host
}

// ShardMode says how a shard treats sub-requests.
type ShardMode string

// The modes of a shard. A lost request or reply is reported as unknown after
// lossDetectionDelay.
const (
	ShardOK          ShardMode = "ok"
	ShardRefuse      ShardMode = "refuse"       // replies that it did not run the sub-request
	ShardLoseRequest ShardMode = "lose_request" // loses the request and does not run it
	ShardLoseReply   ShardMode = "lose_reply"   // runs it and loses the reply
	ShardSlow        ShardMode = "slow"         // runs it after the search's deadline
	ShardSilent      ShardMode = "silent"       // runs it and never replies
)

// LinkMode says what happens to the requests that a host forwards.
type LinkMode string

// The modes of a host's outgoing links.
const (
	LinkOK          LinkMode = "ok"
	LinkRefuse      LinkMode = "refuse"       // the dial is refused
	LinkLoseRequest LinkMode = "lose_request" // the request never arrives
	LinkLoseReply   LinkMode = "lose_reply"   // the request runs, its reply is lost
	LinkSlow        LinkMode = "slow"         // the request arrives after the search's deadline
	LinkDouble      LinkMode = "double"       // the request arrives twice
)

// NewSim returns an installation with a running host for each name. Names have the
// form "<data centre>-<number>". NewSim waits until the hosts know each other.
func NewSim(names ...string) *Sim {
	s := &Sim{Oracle: newOracle(), cutDataCentres: map[string]bool{}, linkModes: map[string]LinkMode{}}
	for i := range s.shardModes {
		s.shardModes[i] = ShardOK
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

// Host returns the host with a name, or nil if there is none.
func (s *Sim) Host(name string) *Host {
	i := slices.IndexFunc(s.hosts, func(h *Host) bool { return h.info.Name == name })
	if i < 0 {
		return nil
	}
	return s.hosts[i]
}

// Hosts returns all hosts in the order of the names given to NewSim.
func (s *Sim) Hosts() []*Host { return s.hosts }

func (s *Sim) hostByAddr(addr string) *Host {
	i := slices.IndexFunc(s.hosts, func(h *Host) bool { return h.info.Addr == addr })
	if i < 0 {
		return nil
	}
	return s.hosts[i]
}

// SetShard sets the mode of a shard for sub-requests that arrive from now on.
func (s *Sim) SetShard(shard int, mode ShardMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shardModes[shard] = mode
}

// SetLink sets the mode of the requests that a host forwards from now on.
func (s *Sim) SetLink(host string, mode LinkMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.linkModes[host] = mode
}

// CutOff makes requests between a data centre and the others get lost until Heal.
func (s *Sim) CutOff(dataCentre string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutDataCentres[dataCentre] = true
}

// Heal ends all faults of shards, links and data centres, resumes and starts
// every host, and sets the full configuration without overload.
func (s *Sim) Heal() {
	s.mu.Lock()
	clear(s.cutDataCentres)
	clear(s.linkModes)
	for i := range s.shardModes {
		s.shardModes[i] = ShardOK
	}
	s.mu.Unlock()
	for _, h := range s.hosts {
		h.Resume()
		h.Start()
		h.SetOverloaded(false)
		h.SetConfig(Config())
	}
}

// Close kills all hosts and waits a minute of virtual time, in which all their
// goroutines end.
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
	return s.shardModes[shard]
}

// linkMode returns the mode of a request between two hosts. A cut data centre
// takes precedence over the mode of the sending host.
func (s *Sim) linkMode(from, to *Host) LinkMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	source, target := from.info.DataCentre, to.info.DataCentre
	if source != target && (s.cutDataCentres[source] || s.cutDataCentres[target]) {
		return LinkLoseRequest
	}
	if mode := s.linkModes[from.info.Name]; mode != "" {
		return mode
	}
	return LinkOK
}

// Config returns the full configuration: one service with a search "book" that
// is not repeatable and a search "find" that is.
func Config() *release.Config {
	service := &release.Service{Name: serviceName, Slots: 2}
	for i := range Shards {
		lo := uint64(i * ledgersPerShard)
		shard := release.Shard{ID: uint32(i), Range: wire.LedgerRange{Lo: lo, Hi: lo + ledgersPerShard}}
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
			Name: name, Service: serviceName, Repeatable: name == findSearch, WaitRule: release.WaitCoverage,
			LatencyGoal: jwcc.Duration(100 * time.Millisecond), Deadline: jwcc.Duration(SearchDeadline),
			LeastCoverage: 0.5,
		}
	}
	return cfg
}

// WithdrawnConfig returns the next version of the configuration, without the
// search "book".
func WithdrawnConfig() *release.Config {
	cfg := Config()
	cfg.Version = 2
	delete(cfg.Searches, release.SearchKey(serviceName, bookSearch))
	return cfg
}
