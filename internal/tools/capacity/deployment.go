package main

import (
	"strconv"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	dataCentres     = 8
	replicasPer     = 8   // of one shard, one in each data centre
	shardsPer       = 875 // so that 10 services have 70,000 replicas
	searchName      = "find"
	testSlots       = 2
	testConnections = 25
	firstPort       = 20000
	portsPerAddr    = 250
)

func dataCentre(i int) string { return "dc-" + strconv.Itoa(i%dataCentres) }

func serviceName(i int) string { return "service-" + strconv.Itoa(i) }

func hostAddr(i int) string {
	return "10." + strconv.Itoa(i/portsPerAddr/portsPerAddr) + "." + strconv.Itoa(i/portsPerAddr%portsPerAddr) + "." +
		strconv.Itoa(i%portsPerAddr)
}

// service returns a service of which no two replicas share an address.
func service(number, shards, replicas int, block uint32) *release.Service {
	s := &release.Service{
		Name: serviceName(number), Slots: testSlots, Connections: testConnections, OwnershipBlock: block,
		ConnectCost: jwcc.Duration(time.Millisecond), ExtraLoad: 0.03, ExtraBurst: 200,
	}
	for id := range shards {
		shard := release.Shard{ID: uint32(id), Range: wire.KeyRange{Lo: uint64(id), Hi: uint64(id + 1)}}
		for n := range replicas {
			addr := hostAddr((number*shards+id)*replicas+n) + ":" + strconv.Itoa(firstPort)
			shard.Replicas = append(shard.Replicas, release.Replica{Addr: wire.ReplicaID(addr), DataCentre: dataCentre(n)})
		}
		s.Shards = append(s.Shards, shard)
	}
	return s
}

func search(number int) *release.Search {
	return &release.Search{
		Name: searchName, Service: serviceName(number), Repeatable: true, Wait: release.WaitCoverage,
		LatencyGoal: jwcc.Duration(time.Second), Deadline: jwcc.Duration(10 * time.Second),
		Objective: release.Objective{Good: 0.99, Latency: jwcc.Duration(time.Second), Coverage: 1},
	}
}

// config returns a configuration of equal services.
func config(services, shards, replicas int, block uint32) *release.Config {
	c := &release.Config{Version: 1, Services: map[string]*release.Service{}, Searches: map[string]*release.Search{}}
	for i := range services {
		c.Services[serviceName(i)] = service(i, shards, replicas, block)
		c.Searches[release.SearchKey(serviceName(i), searchName)] = search(i)
	}
	return c
}

// targetConfig returns a configuration of 7,000 replicas for each service.
func targetConfig(services int, block uint32) *release.Config {
	return config(services, shardsPer, replicasPer, block)
}

// echoSender answers at once, so that only its caller is measured.
type echoSender struct{}

// Send implements wire.Sender.
func (echoSender) Send(subs []wire.Sub, done func([]wire.Reply)) {
	replies := make([]wire.Reply, len(subs))
	for i := range subs {
		replies[i] = echo(&subs[i])
	}
	done(replies)
}

// Cancel implements wire.Sender.
func (echoSender) Cancel([]wire.SubID) {}

func echo(s *wire.Sub) wire.Reply {
	return wire.Reply{
		ID: s.ID, Replica: s.Replica, Outcome: wire.Answered, Snapshot: max(s.Snapshot, 1), Range: s.Range,
		Rows: []wire.Row{{Ledger: s.Range.Lo, Key: "gang-7", Value: s.Payload}},
		Held: wire.Held{Oldest: 1, Newest: 1},
		Load: wire.Load{Slots: testSlots, Service: time.Millisecond},
	}
}

// batch returns sub-requests to consecutive shards of the first service.
func batch(c *release.Config, size, replica int, seq *uint64) []wire.Sub {
	shards := c.Services[serviceName(0)].Shards
	subs := make([]wire.Sub, size)
	for i := range subs {
		*seq++
		shard := &shards[i%len(shards)]
		subs[i] = wire.Sub{
			ID: wire.SubID{Host: 1, Seq: *seq}, Query: 1, Service: serviceName(0), Search: searchName, Shard: shard.ID,
			Replica: shard.Replicas[replica].Addr, Range: shard.Range, Snapshot: 1, TimeLeft: time.Minute,
			Repeatable: true, Payload: []byte("crew=7,village=12"),
		}
	}
	return subs
}
