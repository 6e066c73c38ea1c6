package rollout

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// BenchmarkChange prints what one change of one service costs and how long it
// takes until all hosts of three data centres have it. Gossip is simulated by
// 4 announcements on adoption and one random contact every 500 ms. Run it with
//
//	go test -run '^$' -bench Change -benchtime 1x ./internal/rollout
func BenchmarkChange(b *testing.B) {
	for _, count := range []int{9, 50, 200, 800} {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			for range b.N {
				// The bubble needs a *testing.T, which a benchmark lacks.
				testing.RunTests(func(string, string) (bool, error) { return true, nil },
					[]testing.InternalTest{{Name: "change", F: func(t *testing.T) { change(t, b, count) }}})
			}
		})
	}
}

// wide returns a service with as many shards as the largest one planned.
func wide(name string, slots uint32) release.Service {
	const shards = 840
	s := release.Service{Name: name, Slots: slots}
	for i := range uint32(shards) {
		addr := wire.ReplicaID(fmt.Sprintf("10.%d.%d.%d:9000", slots, i/250, i%250))
		s.Shards = append(s.Shards, release.Shard{
			ID: i, Range: wire.KeyRange{Lo: uint64(i) * 10, Hi: uint64(i)*10 + 10},
			Replicas: []release.Replica{{Addr: addr, DataCentre: dataCentres[i%3]}},
		})
	}
	return s
}

func change(t *testing.T, b *testing.B, count int) {
	services := 83 // of 840 replicas each, about 70,000 in total
	if count > 200 {
		services = 8 // the copies of all hosts have to fit into memory
	}
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, count)
		defer w.stop()
		var all []release.Service
		for i := range services {
			all = append(all, wide(fmt.Sprintf("service-%d", i), 1))
		}
		if _, err := w.hosts[0].Apply(t.Context(), note("n-0", 0, all...)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		if late := w.behind(); len(late) > 0 {
			t.Fatalf("hosts without the first configuration: %v", late)
		}
		begin := time.Now()
		w.set(func() { w.reads, w.writes, w.fetches, w.fetchedBytes = 0, 0, 0, 0 })
		if _, err := w.hosts[0].Apply(t.Context(), note("n-1", 1, wide("service-7", 2))); err != nil {
			t.Fatal(err)
		}
		for len(w.behind()) > 0 {
			if time.Since(begin) > inForceWithin {
				t.Fatalf("not everywhere within %s", inForceWithin)
			}
			time.Sleep(5 * time.Millisecond)
		}
		took := time.Since(begin)
		w.set(func() {
			b.ReportMetric(took.Seconds(), "s-until-everywhere")
			b.ReportMetric(float64(w.reads), "store-reads")
			b.ReportMetric(float64(w.writes), "store-writes")
			b.ReportMetric(float64(w.fetches)/float64(count), "fetches/host")
			// Each byte is sent by one host and received by another.
			b.ReportMetric(2*float64(w.fetchedBytes)/float64(count), "fetched-B/host")
		})
	})
}
