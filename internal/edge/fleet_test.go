package edge

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/lead"
	"github.com/arbutusgauge/arbutusgauge/internal/ratelimit"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// newSharded returns a configuration with a service of 20 shards, each with one
// replica in each of the data centres, and a service of one shard elsewhere.
func newSharded(dataCentres ...string) *release.Config {
	sharded := &release.Service{Name: "sharded"}
	for i := range 20 {
		shard := release.Shard{ID: uint32(i)}
		for _, dc := range dataCentres {
			shard.Replicas = append(shard.Replicas, release.Replica{Addr: wire.ReplicaID(fmt.Sprint(dc, i)), DataCentre: dc})
		}
		sharded.Shards = append(sharded.Shards, shard)
	}
	single := &release.Service{Name: "single", Shards: []release.Shard{{Replicas: []release.Replica{{Addr: "x", DataCentre: "elsewhere"}}}}}
	return &release.Config{Services: map[string]*release.Service{"sharded": sharded, "single": single}}
}

// newFleet returns a fleet with a large and a small seat holder in each data
// centre.
func newFleet(dataCentres ...string) (fleet lead.Fleet) {
	for _, dc := range dataCentres {
		for n, cores := range []float64{0.8, 0.192} {
			fleet.Seats = append(fleet.Seats, lead.Seat{
				Host:   lead.Host{Name: fmt.Sprint(dc, n), DataCentre: dc, PeerAddr: fmt.Sprint(dc, "-", cores), Cores: cores},
				Number: n + 1, Hosts: 5, LeastCores: 0.192,
			})
		}
	}
	return fleet
}

func addrs(fleet lead.Fleet, host lead.Host, config *release.Config) [][]string {
	var out [][]string
	for _, group := range aggregatorPeers(fleet, host, holdingDataCentres(config)) {
		var members []string
		for _, peer := range group {
			members = append(members, peer.Addr)
		}
		out = append(out, members)
	}
	return out
}

// Load pattern: hosts and callers in five data centres, replicas of all shards in
// two of them. Guards against merged queries whose parts nearly all cross between
// data centres, which an aggregator next to the caller caused.
func TestQueriesGoWhereTheReplicasAre(t *testing.T) {
	g := NewWithT(t)
	fleet := newFleet("badin", "hyderabad", "matiari", "tando", "thatta")
	config := newSharded("tando", "badin")
	small := lead.Host{DataCentre: "matiari", Cores: 0.192}
	g.Expect(addrs(fleet, small, config)).To(Equal([][]string{
		{"badin-0.8", "tando-0.8"}, {"matiari-0.8"}, {"hyderabad-0.8", "thatta-0.8"},
	}))
	large := lead.Host{DataCentre: "matiari", Cores: 0.8}
	g.Expect(addrs(fleet, large, config)).To(Equal([][]string{{"badin-0.8", "tando-0.8"}, nil, nil}), "its parts would cross too")
	holder := lead.Host{DataCentre: "tando", Cores: 0.192}
	g.Expect(addrs(fleet, holder, config)).To(Equal([][]string{
		nil, {"tando-0.8"}, {"badin-0.8", "hyderabad-0.8", "matiari-0.8", "thatta-0.8"},
	}))
	g.Expect(addrs(fleet, lead.Host{DataCentre: "tando", Cores: 0.8}, config)).To(Equal([][]string{nil, nil, nil}))
}

// Load pattern: replicas in every data centre, or in none as a whole. Guards
// against queries that leave the data centre of their caller for nothing, also
// after the loss of a few replicas.
func TestQueriesStayWhereNothingIsWon(t *testing.T) {
	g := NewWithT(t)
	fleet := newFleet("badin", "tando", "thatta")
	small := lead.Host{DataCentre: "badin", Cores: 0.192}
	stay := [][]string{nil, {"badin-0.8"}, {"tando-0.8", "thatta-0.8"}}
	config := newSharded("badin", "tando", "thatta")
	g.Expect(addrs(fleet, small, config)).To(Equal(stay))
	for i := range 4 { // a fifth of the shards loses its replica in badin
		config.Services["sharded"].Shards[i].Replicas = config.Services["sharded"].Shards[i].Replicas[1:]
	}
	g.Expect(addrs(fleet, small, config)).To(Equal(stay))
	g.Expect(addrs(fleet, small, newSharded())).To(Equal(stay), "no replica is known")
	g.Expect(addrs(fleet, small, &release.Config{})).To(Equal(stay))
	scattered := newSharded("badin")
	for i := range scattered.Services["sharded"].Shards {
		scattered.Services["sharded"].Shards[i].Replicas[0].DataCentre = []string{"badin", "tando", "thatta"}[i%3]
	}
	g.Expect(addrs(fleet, small, scattered)).To(Equal(stay), "each data centre holds a part")
}

// Guards against a deadlock of a fleet that is published with one of a limit that is
// observed: the lead agent is locked while its fleet is published, and the registry of
// rate limits asks for the leaders while a replica is locked.
func TestLeadersAreReadWhileAFleetIsPublished(t *testing.T) {
	g := NewWithT(t)
	var leaders leaderList
	read := make(chan []ratelimit.Leader, 1)
	agent, err := lead.New(lead.Options{
		Registry: noSeats{}, Host: lead.Host{Name: "h1", DataCentre: "badin", PeerAddr: "h1:1", Cores: 1},
		OnFleet: func(fleet lead.Fleet) {
			leaders.publish(fleet, "h1", time.Second)
			read <- leaders.get()
		},
	})
	g.Expect(err).NotTo(HaveOccurred())
	go agent.AdoptFleet(lead.Fleet{Seats: []lead.Seat{{Host: lead.Host{Name: "h2", DataCentre: "tando", PeerAddr: "h2:1", Cores: 1}, Number: 1}}})
	g.Eventually(read, "2s").Should(Receive(ConsistOf(ratelimit.Leader{DataCentre: "tando", PeerAddr: "h2:1"})))
}

// Guards against a new leader that counts as an old one, and so grants the whole of a rate
// limit beside the host whose seat it took, and against a leader that counts as new
// because it was without its seat for a moment.
func TestLeadershipBeginsAnewAfterAGap(t *testing.T) {
	g := NewWithT(t)
	var leaders leaderList
	since := func(holder string, now time.Duration) time.Duration {
		leaders.publish(lead.Fleet{Seats: []lead.Seat{{Host: lead.Host{Name: holder, DataCentre: "badin"}, Number: 1}}}, "h1", now)
		return leaders.get()[0].Since
	}
	g.Expect(since("h2", 1*time.Second)).To(BeZero(), "another host leads")
	g.Expect(since("h1", 10*time.Second)).To(Equal(10 * time.Second))
	g.Expect(since("h1", 60*time.Second)).To(Equal(10 * time.Second))
	g.Expect(since("h2", 80*time.Second)).To(BeZero())
	g.Expect(since("h1", 80*time.Second+leadershipGap/2)).To(Equal(10 * time.Second))
	g.Expect(since("h2", 90*time.Second)).To(BeZero())
	g.Expect(since("h2", 91*time.Second)).To(BeZero())
	g.Expect(since("h1", 90*time.Second+leadershipGap)).To(Equal(90*time.Second + leadershipGap))
}

// noSeats is a Registry without seats.
type noSeats struct{ lead.Registry }
