package rollout

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// BenchmarkChange reports the cost of a change of one service and the time until
// all hosts of three data centres have it. Gossip is simulated: a host announces
// a newly adopted version to 4 random hosts, and exchanges versions with one
// random host every 500 ms. Run it with
//
//	go test -run '^$' -bench Change -benchtime 1x ./internal/rollout
func BenchmarkChange(b *testing.B) {
	for _, count := range []int{9, 50, 200, 800} {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			for range b.N {
				// synctest.Test needs a *testing.T, which a benchmark does not
				// have.
				testing.RunTests(func(string, string) (bool, error) { return true, nil },
					[]testing.InternalTest{{Name: "change", F: func(t *testing.T) { measureChange(t, b, count) }}})
			}
		})
	}
}

// largestService returns a service with the greatest number of shards that is
// planned for.
func largestService(name string, slots uint32) release.Service {
	const shards = 840
	s := release.Service{Name: name, Slots: slots}
	for i := range uint32(shards) {
		addr := wire.ReplicaID(fmt.Sprintf("10.%d.%d.%d:9000", slots, i/250, i%250))
		s.Shards = append(s.Shards, release.Shard{
			ID: i, Range: wire.LedgerRange{Lo: uint64(i) * 10, Hi: uint64(i)*10 + 10},
			Replicas: []release.Replica{{Addr: addr, DataCentre: dataCentres[i%3]}},
		})
	}
	return s
}

// measureChange reports the metrics of one change with count hosts to b.
func measureChange(t *testing.T, b *testing.B, count int) {
	services := 83 // of 840 replicas each, about 70,000 in total
	if count > 200 {
		services = 8 // each host has its own copy, and all must fit into memory
	}
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, count)
		defer sim.stop()
		var all []release.Service
		for i := range services {
			all = append(all, largestService(fmt.Sprintf("service-%d", i), 1))
		}
		if _, err := sim.hosts[0].Apply(t.Context(), newNote("n-0", 0, all...)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		if late := sim.outdatedHosts(); len(late) > 0 {
			t.Fatalf("hosts without the first configuration after 30 s: %v", late)
		}
		begin := time.Now()
		sim.locked(func() { sim.reads, sim.writes, sim.fetches, sim.fetchedBytes = 0, 0, 0, 0 })
		if _, err := sim.hosts[0].Apply(t.Context(), newNote("n-1", 1, largestService("service-7", 2))); err != nil {
			t.Fatal(err)
		}
		for len(sim.outdatedHosts()) > 0 {
			if time.Since(begin) > inForceLimit {
				t.Fatalf("the change did not reach all hosts within %s", inForceLimit)
			}
			time.Sleep(5 * time.Millisecond)
		}
		took := time.Since(begin)
		sim.locked(func() {
			b.ReportMetric(took.Seconds(), "s-until-everywhere")
			b.ReportMetric(float64(sim.reads), "store-reads")
			b.ReportMetric(float64(sim.writes), "store-writes")
			b.ReportMetric(float64(sim.fetches)/float64(count), "fetches/host")
			// Each byte is sent by one host and received by another.
			b.ReportMetric(2*float64(sim.fetchedBytes)/float64(count), "fetched-B/host")
		})
	})
}
