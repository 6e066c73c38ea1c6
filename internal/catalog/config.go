package catalog

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/routing"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// defaultConnections is the connection limit of a replica if the routing table
// sets none for its service.
const defaultConnections = 16

// minWarmShare is the number of connections to each replica that a host's share
// must have for the host to keep warm connections to other data centres too. It
// leaves room for a connection that the host lost without being able to close
// it.
const minWarmShare = 2

// ServiceName returns the name of the service that has the given services as its
// shards. It does not depend on their order. A single service keeps its name.
func ServiceName(services []string) string {
	if len(services) == 1 {
		return services[0]
	}
	names := strings.Join(slices.Sorted(slices.Values(services)), "\x00")
	return "shards-" + strconv.FormatUint(xxhash.Sum64String(names), 16)
}

// defaultHosts is the assumed number of entry hosts until they are counted.
const defaultHosts = 8

// aggregatorShare is the fraction of a replica's connections and of the retry
// budget that belongs, in total, to the hosts that answer merged queries for
// others. The rest is for the other hosts, which query replicas themselves when
// they can't reach such a host.
const aggregatorShare = 0.75

// Share determines the part of a replica's connections and of the retry budget
// that this host may use. All entry hosts divide both among themselves.
type Share struct {
	Hosts int // number of entry hosts
	// Aggregators is the number of hosts that answer merged queries for others;
	// 0 if each host answers its own. IsAggregator is set if this host is one of
	// them.
	Aggregators  int
	IsAggregator bool
}

// portion returns the part of an amount that this host may use. merged says
// whether the amount belongs to a service of merged queries.
func (s Share) portion(amount float64, merged bool) float64 {
	switch {
	case !merged || s.Aggregators == 0:
		return amount / float64(s.Hosts)
	case s.IsAggregator:
		return amount * aggregatorShare / float64(s.Aggregators)
	default:
		return amount * (1 - aggregatorShare) / float64(max(1, s.Hosts-s.Aggregators))
	}
}

// configBuilder builds the configuration of the query modules. It reuses the
// unchanged services of the previous configuration, because the modules keep
// state by the address of the service object.
type configBuilder struct {
	options  *Options
	share    Share               // of the connections and the retry budget
	settled  bool                // the share is known from the count of the hosts
	previous *release.Config     // nil for the first configuration
	servers  map[string][]Server // not draining, by service, sorted by id
}

func newConfigBuilder(options *Options, share Share, settled bool, known map[string]Server, previous *release.Config) *configBuilder {
	b := &configBuilder{options: options, share: share, settled: settled, previous: previous, servers: map[string][]Server{}}
	for _, id := range slices.Sorted(maps.Keys(known)) {
		if server := known[id]; !server.Draining {
			b.servers[server.Service] = append(b.servers[server.Service], server)
		}
	}
	return b
}

func (b *configBuilder) build(table *routing.Table) *release.Config {
	config := &release.Config{
		Version:  table.Version,
		Services: map[string]*release.Service{},
		Searches: map[string]*release.Search{},
	}
	for i := range table.Routes {
		route := &table.Routes[i]
		if route.Merged() {
			b.addSearch(config, table, route, route.Shards)
			continue
		}
		for _, target := range route.Targets {
			b.addSearch(config, table, route, []string{target.Service})
		}
	}
	return config
}

// addSearch adds the search of a route on a set of services, and their service
// if it is not there yet.
func (b *configBuilder) addSearch(config *release.Config, table *routing.Table, route *routing.Route, shards []string) {
	name := ServiceName(shards)
	if config.Services[name] == nil {
		config.Services[name] = b.buildService(name, table, shards, route.Merged())
	}
	config.Searches[release.SearchKey(name, route.Name)] = &release.Search{
		Name:          route.Name,
		Service:       name,
		Repeatable:    route.Repeatable,
		WaitRule:      release.WaitLatency,
		LatencyGoal:   jwcc.Duration(max(0, route.LatencyGoal-b.options.AnswerMargin)),
		Deadline:      jwcc.Duration(route.Timeout),
		LeastCoverage: route.LeastCoverage,
		MaxAttempts:   route.MaxAttempts,
	}
}

func (b *configBuilder) buildService(name string, table *routing.Table, shards []string, merged bool) *release.Service {
	s := &release.Service{
		Name:           name,
		Slots:          1,
		MaxConnections: defaultConnections,
		ExtraLoad:      b.options.ExtraLoad,
		ExtraBurst:     uint32(max(1, b.share.portion(float64(b.options.ExtraBurst), merged))),
		ExtraPerShard:  true,
	}
	for i, shard := range slices.Sorted(slices.Values(shards)) {
		if limit := table.Services[shard].MaxConnections; limit > 0 {
			s.MaxConnections = limit
		}
		s.Shards = append(s.Shards, b.buildShard(uint32(i), shard, s))
	}
	// The owner module uses half of its connection limit, to leave room for a
	// previous owner. Here all hosts hold connections at the same time, so the
	// share is doubled to compensate.
	connections := uint32(b.share.portion(float64(s.MaxConnections), merged))
	s.LocalWarmConnectionsOnly = connections < minWarmShare
	s.ConnectOnDemand = merged && !b.share.IsAggregator && (b.share.Aggregators > 0 || !b.settled)
	s.MaxConnections = 2 * max(1, connections)
	return b.reuseUnchanged(s)
}

func (b *configBuilder) buildShard(id uint32, name string, s *release.Service) release.Shard {
	shard := release.Shard{ID: id, Range: wire.LedgerRange{Lo: uint64(id), Hi: uint64(id) + 1}}
	for _, server := range b.servers[name] {
		s.Slots = max(s.Slots, server.Slots)
		shard.Replicas = append(shard.Replicas, release.Replica{Addr: server.ReplicaID(), DataCentre: server.DataCentre})
	}
	return shard
}

// reuseUnchanged returns the service object of the previous configuration if it
// equals s, else s.
func (b *configBuilder) reuseUnchanged(s *release.Service) *release.Service {
	if b.previous == nil {
		return s
	}
	old := b.previous.Services[s.Name]
	if old == nil || old.Slots != s.Slots || old.MaxConnections != s.MaxConnections || old.ExtraBurst != s.ExtraBurst || old.ExtraLoad != s.ExtraLoad ||
		old.LocalWarmConnectionsOnly != s.LocalWarmConnectionsOnly || old.ConnectOnDemand != s.ConnectOnDemand {
		return s
	}
	sameShards := slices.EqualFunc(old.Shards, s.Shards, func(a, b release.Shard) bool {
		return cmp.Compare(a.ID, b.ID) == 0 && slices.Equal(a.Replicas, b.Replicas)
	})
	if sameShards {
		return old
	}
	return s
}
