package owner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// instantConn answers at once, so that a benchmark measures only the owner.
type instantConn struct{}

func (instantConn) Run(_ context.Context, subs []wire.SubRequest) ([]wire.Reply, error) {
	replies := make([]wire.Reply, len(subs))
	for i := range subs {
		replies[i] = wire.Reply{ID: subs[i].ID, Replica: subs[i].Replica, Outcome: wire.Answered}
	}
	return replies, nil
}
func (instantConn) Cancel(context.Context, []wire.SubRequestID) error { return nil }
func (instantConn) Status(context.Context) (backend.Status, error)    { return backend.Status{}, nil }
func (instantConn) Close() error                                      { return nil }

type instantDialer struct{}

func (instantDialer) Dial(context.Context, wire.ReplicaID) (backend.Conn, error) {
	return instantConn{}, nil
}

// BenchmarkSend measures a sub-request from Send to its done callback, in batches
// of different sizes. Each sub-request of a batch goes to another replica.
func BenchmarkSend(b *testing.B) {
	for _, size := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) { benchmarkSend(b, size) })
	}
}

func benchmarkSend(b *testing.B, size int) {
	var ids []wire.ReplicaID
	for i := range size {
		ids = append(ids, wire.ReplicaID(fmt.Sprintf("127.0.0.1:%d", 1000+i)))
	}
	o, err := New(Options{DataCentre: "badin", Dialer: instantDialer{}, Ownership: &ownership{}})
	if err != nil {
		b.Fatal(err)
	}
	cfg := config(testSlots, ids)
	o.SetConfig(cfg)
	defer func() { _ = o.Stop(context.Background()) }()
	subs := make([]wire.SubRequest, size)
	var wait sync.WaitGroup
	done := func(replies []wire.Reply) {
		for range replies {
			wait.Done()
		}
	}
	seq := uint64(0)
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += size {
		for i := range subs {
			seq++
			subs[i] = wire.SubRequest{
				ID: wire.SubRequestID{Host: 1, Seq: seq}, Service: "mill-dispatch", Replica: ids[i], TimeLeft: time.Second,
			}
		}
		wait.Add(size)
		o.Send(subs, done)
		wait.Wait()
	}
}

// BenchmarkSendParallel measures the throughput of one host with 64 replicas
// and many concurrent queries.
func BenchmarkSendParallel(b *testing.B) {
	var ids []wire.ReplicaID
	for i := range 64 {
		ids = append(ids, wire.ReplicaID(fmt.Sprintf("127.0.0.1:%d", 1000+i)))
	}
	o, err := New(Options{DataCentre: "badin", Dialer: instantDialer{}, Ownership: &ownership{}})
	if err != nil {
		b.Fatal(err)
	}
	o.SetConfig(config(testSlots, ids))
	defer func() { _ = o.Stop(context.Background()) }()
	var mu sync.Mutex
	host := uint64(0)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		mu.Lock()
		host++
		hostID := host
		mu.Unlock()
		got := make(chan struct{}, 1)
		done := func([]wire.Reply) { got <- struct{}{} }
		subs := make([]wire.SubRequest, 1)
		for seq := uint64(1); pb.Next(); seq++ {
			subs[0] = wire.SubRequest{
				ID: wire.SubRequestID{Host: hostID, Seq: seq}, Service: "mill-dispatch",
				Replica: ids[(hostID*7+seq)%64], TimeLeft: time.Second,
			}
			o.Send(subs, done)
			<-got
		}
	})
}

// BenchmarkRefresh measures one Refresh of all replicas of a data centre at the
// target size. Other hosts own all of them; in a real data centre nearly all.
func BenchmarkRefresh(b *testing.B) {
	const replicas = 8750
	noneOwned := &ownership{foreign: map[wire.ReplicaID]bool{}}
	var shards [][]wire.ReplicaID
	for i := range replicas {
		id := wire.ReplicaID(fmt.Sprintf("127.0.%d.%d:1000", i/250, i%250))
		noneOwned.foreign[id] = true
		shards = append(shards, []wire.ReplicaID{id})
	}
	o, err := New(Options{DataCentre: "badin", Dialer: instantDialer{}, Ownership: noneOwned})
	if err != nil {
		b.Fatal(err)
	}
	o.SetConfig(config(testSlots, shards...))
	defer func() { _ = o.Stop(context.Background()) }()
	b.ReportAllocs()
	for b.Loop() {
		o.Refresh()
	}
}
