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

// defaultConnections is the connection limit of a replica whose service states
// none.
const defaultConnections = 16

// leastShare is the number of connections to a replica that leaves room for one
// that a host lost and could not close.
const leastShare = 2

// ServiceName returns the name under which a set of services is queried as the
// shards of one answer. A single service keeps its name.
func ServiceName(services []string) string {
	if len(services) == 1 {
		return services[0]
	}
	names := strings.Join(slices.Sorted(slices.Values(services)), "\x00")
	return "shards-" + strconv.FormatUint(xxhash.Sum64String(names), 16)
}

// defaultHosts is assumed until the hosts are counted.
const defaultHosts = 8

// aggregatorShare is the share of a replica's connections and of the extra load
// that belongs to the hosts that answer merged queries for others; the rest is
// for hosts that reach none of them.
const aggregatorShare = 0.75

// Share is what this host may use of what all hosts share.
type Share struct {
	Hosts int // entry hosts
	// Aggregators are the hosts that answer merged queries for the others, 0 if
	// each host answers its own. Aggregates is set if this host is one of them.
	Aggregators int
	Aggregates  bool
}

// of returns the part of an amount that this host may use. merged says that it
// serves merged queries.
func (s Share) of(amount float64, merged bool) float64 {
	switch {
	case !merged || s.Aggregators == 0:
		return amount / float64(s.Hosts)
	case s.Aggregates:
		return amount * aggregatorShare / float64(s.Aggregators)
	default:
		return amount * (1 - aggregatorShare) / float64(max(1, s.Hosts-s.Aggregators))
	}
}

// builder makes the configuration of the query modules. It reuses the unchanged
// services of the one before, because the modules keep state by their address.
type builder struct {
	options  *Options
	share    Share // of the connections and the extra load
	previous *release.Config
	servers  map[string][]Server // by service, in a stable order
}

func newBuilder(options *Options, share Share, known map[string]Server, previous *release.Config) *builder {
	b := &builder{options: options, share: share, previous: previous, servers: map[string][]Server{}}
	for _, id := range slices.Sorted(maps.Keys(known)) {
		if server := known[id]; !server.Draining {
			b.servers[server.Service] = append(b.servers[server.Service], server)
		}
	}
	return b
}

func (b *builder) build(table *routing.Table) *release.Config {
	config := &release.Config{
		Version:  table.Version,
		Services: map[string]*release.Service{},
		Searches: map[string]*release.Search{},
	}
	for i := range table.Routes {
		route := &table.Routes[i]
		if route.Merged() {
			b.add(config, table, route, route.Shards)
			continue
		}
		for _, target := range route.Targets {
			b.add(config, table, route, []string{target.Service})
		}
	}
	return config
}

// add makes one route's search on a set of services.
func (b *builder) add(config *release.Config, table *routing.Table, route *routing.Route, shards []string) {
	name := ServiceName(shards)
	if config.Services[name] == nil {
		config.Services[name] = b.service(name, table, shards, route.Merged())
	}
	config.Searches[release.SearchKey(name, route.Name)] = &release.Search{
		Name:          route.Name,
		Service:       name,
		Repeatable:    route.Repeatable,
		Wait:          release.WaitLatency,
		LatencyGoal:   jwcc.Duration(max(0, route.LatencyGoal-b.options.AnswerMargin)),
		Deadline:      jwcc.Duration(route.Timeout),
		LeastCoverage: route.LeastCoverage,
		MaxAttempts:   route.MaxAttempts,
	}
}

func (b *builder) service(name string, table *routing.Table, shards []string, merged bool) *release.Service {
	s := &release.Service{
		Name:          name,
		Slots:         1,
		Connections:   defaultConnections,
		ExtraLoad:     b.options.ExtraLoad,
		ExtraBurst:    uint32(max(1, b.share.of(float64(b.options.ExtraBurst), merged))),
		ExtraPerShard: true,
	}
	for i, shard := range slices.Sorted(slices.Values(shards)) {
		if limit := table.Services[shard].Connections; limit > 0 {
			s.Connections = limit
		}
		s.Shards = append(s.Shards, b.shard(uint32(i), shard, s))
	}
	// The owner uses half of the limit that it is given, so that a previous
	// owner fits in. Here all hosts hold connections at the same time.
	share := uint32(b.share.of(float64(s.Connections), merged))
	s.NearConnections = share < leastShare
	s.OnDemand = merged && b.share.Aggregators > 0 && !b.share.Aggregates
	s.Connections = 2 * max(1, share)
	return b.reuse(s)
}

func (b *builder) shard(id uint32, name string, s *release.Service) release.Shard {
	shard := release.Shard{ID: id, Range: wire.KeyRange{Lo: uint64(id), Hi: uint64(id) + 1}}
	for _, server := range b.servers[name] {
		s.Slots = max(s.Slots, server.Slots)
		shard.Replicas = append(shard.Replicas, release.Replica{Addr: server.Replica(), DataCentre: server.DataCentre})
	}
	return shard
}

// reuse returns the service of the configuration before if it is the same.
func (b *builder) reuse(s *release.Service) *release.Service {
	if b.previous == nil {
		return s
	}
	old := b.previous.Services[s.Name]
	if old == nil || old.Slots != s.Slots || old.Connections != s.Connections || old.ExtraBurst != s.ExtraBurst || old.ExtraLoad != s.ExtraLoad ||
		old.NearConnections != s.NearConnections || old.OnDemand != s.OnDemand {
		return s
	}
	same := slices.EqualFunc(old.Shards, s.Shards, func(a, b release.Shard) bool {
		return cmp.Compare(a.ID, b.ID) == 0 && slices.Equal(a.Replicas, b.Replicas)
	})
	if same {
		return old
	}
	return s
}
