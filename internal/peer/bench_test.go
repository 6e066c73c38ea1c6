package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// echoOwner answers at once with one row, so that a benchmark measures the
// stream alone.
type echoOwner struct{}

func (echoOwner) Send(subs []wire.SubRequest, done func([]wire.Reply)) {
	replies := make([]wire.Reply, len(subs))
	for i := range subs {
		replies[i] = wire.Reply{
			ID: subs[i].ID, Replica: subs[i].Replica, Outcome: wire.Answered, Snapshot: subs[i].Snapshot, Range: subs[i].Range,
			Rows: []wire.Row{{Ledger: subs[i].Range.Lo, Key: "gang-7", Value: subs[i].Payload}},
		}
	}
	done(replies)
}

func (echoOwner) Cancel([]wire.SubRequestID) {}

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkExchange measures the cost of a sub-request on both hosts over
// loopback, for different numbers of sub-requests in one query to one owner.
func BenchmarkExchange(b *testing.B) {
	for _, batch := range []int{1, 4, 16, 32, 64} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) { benchExchange(b, batch) })
	}
}

func benchExchange(b *testing.B, batch int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = NewServer(echoOwner{}, fakeHandlers{}, nil).Serve(ctx, listener) }()
	var bytes atomic.Int64
	client, err := NewClient(Options{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dialTCP(ctx, addr)
		if err != nil {
			return nil, err
		}
		return countingConn{Conn: conn, bytes: &bytes}, nil
	}})
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	sender := client.Sender(listener.Addr().String())
	const maxInFlight = 64 // queries
	var seq atomic.Uint64
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	payload := []byte("crew=7,village=12")
	b.ReportAllocs()
	b.ResetTimer()
	for range (b.N + batch - 1) / batch {
		slots <- struct{}{}
		wg.Add(1)
		group := make([]wire.SubRequest, batch)
		for i := range group {
			group[i] = wire.SubRequest{
				ID: wire.SubRequestID{Host: 1, Seq: seq.Add(1)}, Query: 1, Service: "mill-dispatch", Search: "rota",
				Replica: "127.0.0.1:20000", Range: wire.LedgerRange{Lo: 10, Hi: 20}, Snapshot: 42, TimeLeft: time.Minute,
				Repeatable: true, Payload: payload,
			}
		}
		var unanswered atomic.Int64
		unanswered.Store(int64(batch))
		sender.Send(group, func(replies []wire.Reply) {
			if unanswered.Add(-int64(len(replies))) == 0 {
				<-slots
				wg.Done()
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(bytes.Load())/float64(seq.Load()), "wire-B/sub")
}
