package scatter

import (
	"fmt"
	"testing"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// immediateSender answers every sub-request before Send returns.
type immediateSender struct{}

func (immediateSender) Send(subs []wire.SubRequest, done func([]wire.Reply)) {
	replies := make([]wire.Reply, len(subs))
	for i, sub := range subs {
		replies[i] = wire.Reply{
			ID: sub.ID, Replica: sub.Replica, Outcome: wire.Answered, Snapshot: 42, Range: sub.Range,
			Held: wire.SnapshotRange{Oldest: 40, Newest: 42}, Load: wire.Load{Slots: 2, ServiceTime: 4000000},
		}
	}
	done(replies)
}

func (immediateSender) Cancel([]wire.SubRequestID) {}

func BenchmarkRun(b *testing.B) {
	for _, shards := range []int{20, 840} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			e := testEngine(b, immediateSender{}, nil)
			query := rotaQuery(testConfig(shards, 2))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := e.Run(b.Context(), query); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/sub")
		})
	}
}
