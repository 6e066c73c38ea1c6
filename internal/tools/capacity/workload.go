package main

import (
	"strconv"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// The target deployment has 8 data centres with 350 entry hosts each, and 10
// services with 7,000 replicas each.
const (
	dataCentreCount  = 8
	replicasPerShard = 8   // one in each data centre
	shardsPerService = 875 // gives 7,000 replicas per service
	searchName       = "find"
	testSlots        = 2  // requests at a time on one replica
	testConnections  = 25 // connection limit of one replica
	replicaPort      = 20000
	valuesPerOctet   = 250 // used values of an octet of an IP address
)

// dataCentreName returns the name of data centre i; i may be any host or replica
// number.
func dataCentreName(i int) string { return "dc-" + strconv.Itoa(i%dataCentreCount) }

func serviceName(i int) string { return "service-" + strconv.Itoa(i) }

// hostIP returns an IP address that is different for every i below 16 million.
func hostIP(i int) string {
	return "10." + strconv.Itoa(i/valuesPerOctet/valuesPerOctet) + "." + strconv.Itoa(i/valuesPerOctet%valuesPerOctet) + "." +
		strconv.Itoa(i%valuesPerOctet)
}

// newService returns a service whose replicas have addresses of their own. Services
// with different numbers share no address when their sizes are equal.
func newService(number, shards, replicas int, ownershipBlock uint32) *release.Service {
	s := &release.Service{
		Name: serviceName(number), Slots: testSlots, MaxConnections: testConnections, OwnershipBlock: ownershipBlock,
		ConnectCost: jwcc.Duration(time.Millisecond), ExtraLoad: 0.03, ExtraBurst: 200,
	}
	for id := range shards {
		shard := release.Shard{ID: uint32(id), Range: wire.LedgerRange{Lo: uint64(id), Hi: uint64(id + 1)}}
		for n := range replicas {
			addr := hostIP((number*shards+id)*replicas+n) + ":" + strconv.Itoa(replicaPort)
			shard.Replicas = append(shard.Replicas, release.Replica{Addr: wire.ReplicaID(addr), DataCentre: dataCentreName(n)})
		}
		s.Shards = append(s.Shards, shard)
	}
	return s
}

// newSearch returns the search of the service with the given number.
func newSearch(number int) *release.Search {
	return &release.Search{
		Name: searchName, Service: serviceName(number), Repeatable: true, WaitRule: release.WaitCoverage,
		LatencyGoal: jwcc.Duration(time.Second), Deadline: jwcc.Duration(10 * time.Second),
		Objective: release.Objective{GoodFraction: 0.99, Latency: jwcc.Duration(time.Second), LeastCoverage: 1},
	}
}

// newConfig returns a configuration with services of equal size, each with one
// search.
func newConfig(services, shards, replicas int, ownershipBlock uint32) *release.Config {
	c := &release.Config{Version: 1, Services: map[string]*release.Service{}, Searches: map[string]*release.Search{}}
	for i := range services {
		c.Services[serviceName(i)] = newService(i, shards, replicas, ownershipBlock)
		c.Searches[release.SearchKey(serviceName(i), searchName)] = newSearch(i)
	}
	return c
}

// newTargetConfig returns a configuration with services of the target size: 7,000
// replicas each.
func newTargetConfig(services int, ownershipBlock uint32) *release.Config {
	return newConfig(services, shardsPerService, replicasPerShard, ownershipBlock)
}

// echoSender is a wire.Sender that answers before Send returns, so that measurements
// contain only the cost of the code that sends.
type echoSender struct{}

// Send implements wire.Sender.
func (echoSender) Send(subs []wire.SubRequest, done func([]wire.Reply)) {
	replies := make([]wire.Reply, len(subs))
	for i := range subs {
		replies[i] = echoReply(&subs[i])
	}
	done(replies)
}

// Cancel implements wire.Sender.
func (echoSender) Cancel([]wire.SubRequestID) {}

// echoReply returns an answer with one row that holds the payload of the
// sub-request.
func echoReply(s *wire.SubRequest) wire.Reply {
	return wire.Reply{
		ID: s.ID, Replica: s.Replica, Outcome: wire.Answered, Snapshot: max(s.Snapshot, 1), Range: s.Range,
		Rows: []wire.Row{{Ledger: s.Range.Lo, Key: "gang-7", Value: s.Payload}},
		Held: wire.SnapshotRange{Oldest: 1, Newest: 1},
		Load: wire.Load{Slots: testSlots, ServiceTime: time.Millisecond},
	}
}

// newBatch returns size sub-requests to consecutive shards of the first service,
// each to the replica with the given index. It raises *seq for every sub-request.
func newBatch(c *release.Config, size, replica int, seq *uint64) []wire.SubRequest {
	shards := c.Services[serviceName(0)].Shards
	subs := make([]wire.SubRequest, size)
	for i := range subs {
		*seq++
		shard := &shards[i%len(shards)]
		subs[i] = wire.SubRequest{
			ID: wire.SubRequestID{Host: 1, Seq: *seq}, Query: 1, Service: serviceName(0), Search: searchName, Shard: shard.ID,
			Replica: shard.Replicas[replica].Addr, Range: shard.Range, Snapshot: 1, TimeLeft: time.Minute,
			Repeatable: true, Payload: []byte("crew=7,village=12"),
		}
	}
	return subs
}
