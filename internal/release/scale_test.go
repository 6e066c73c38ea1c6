package release

import (
	"fmt"
	"testing"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// BenchmarkApplyAtTargetSize changes one search of a configuration with the
// 840 shards and 69,720 replicas of the target size.
func BenchmarkApplyAtTargetSize(b *testing.B) {
	s := Service{Name: "s", Slots: 2, Connections: 25}
	for id := range 840 {
		shard := Shard{ID: uint32(id), Range: wire.KeyRange{Lo: uint64(id), Hi: uint64(id + 1)}}
		for r := range 83 {
			addr := fmt.Sprintf("127.%d.%d.1:%d", id/256, id%256, 20000+r)
			shard.Replicas = append(shard.Replicas, Replica{Addr: wire.ReplicaID(addr), DataCentre: "badin"})
		}
		s.Shards = append(s.Shards, shard)
	}
	search := Search{Name: "find", Service: "s", Wait: WaitLatency, LatencyGoal: 5, Deadline: 9}
	cfg, err := Apply(nil, &Note{ID: "n-1", Services: ServiceChanges{Added: []Service{s}}, Searches: SearchChanges{Added: []Search{search}}})
	if err != nil {
		b.Fatal(err)
	}
	search.Deadline++
	change := &Note{ID: "n-2", Base: 1, Searches: SearchChanges{Changed: []Search{search}}}
	for b.Loop() {
		if _, err := Apply(cfg, change); err != nil {
			b.Fatal(err)
		}
	}
}
