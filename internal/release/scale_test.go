package release

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// targetSizeNote adds a service of the size that the software is designed for:
// 840 shards with 69,720 replicas.
func targetSizeNote() *Note {
	s := Service{Name: "s", Slots: 2, MaxConnections: 25}
	for id := range 840 {
		shard := Shard{ID: uint32(id), Range: wire.LedgerRange{Lo: uint64(id), Hi: uint64(id + 1)}}
		for r := range 83 {
			addr := fmt.Sprintf("127.%d.%d.1:%d", id/256, id%256, 20000+r)
			shard.Replicas = append(shard.Replicas, Replica{Addr: wire.ReplicaID(addr), DataCentre: "badin"})
		}
		s.Shards = append(s.Shards, shard)
	}
	search := Search{Name: "find", Service: "s", WaitRule: WaitLatency, LatencyGoal: 5, Deadline: 9}
	return &Note{ID: "n-1", Services: ServiceChanges{Added: []Service{s}}, Searches: SearchChanges{Added: []Search{search}}}
}

// BenchmarkApplyAtTargetSize measures a change of one search in a configuration
// of the target size.
func BenchmarkApplyAtTargetSize(b *testing.B) {
	n := targetSizeNote()
	cfg, err := Apply(nil, n)
	if err != nil {
		b.Fatal(err)
	}
	search := n.Searches.Added[0]
	search.Deadline++
	change := &Note{ID: "n-2", Base: 1, Searches: SearchChanges{Changed: []Search{search}}}
	for b.Loop() {
		if _, err := Apply(cfg, change); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkParseAtTargetSize measures parsing a note of the target size.
func BenchmarkParseAtTargetSize(b *testing.B) {
	body, err := json.MarshalIndent(targetSizeNote(), "", "  ")
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		if _, err := ParseNote("n", body); err != nil {
			b.Fatal(err)
		}
	}
}
