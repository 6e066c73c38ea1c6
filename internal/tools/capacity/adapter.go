package main

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/backend/httpjson"
	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	standin "github.com/arbutusgauge/arbutusgauge/internal/standin/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const shortService = time.Microsecond

var connCounts = []int{100, 300, 900}

// measureAdapter measures batches of the JSON adapter to a stand-in backend
// server. Processor time is that of the calling thread, which the server's
// goroutines don't use.
func measureAdapter(r Recorder, _ *Options) error {
	time := standin.ServiceTime{Median: jwcc.Duration(shortService), Tail: jwcc.Duration(2 * shortService)}
	server, err := standin.Start(standin.Options{
		Listen: "127.0.0.1:0", Range: wire.KeyRange{Hi: 1}, Slots: connLimit, Connections: 2 * connLimit,
		Time: time, RecordLimit: connLimit,
	})
	if err != nil {
		return err
	}
	defer func() { _ = server.Close() }()
	for _, size := range ownerBatchSizes {
		if err := measureAdapterBatch(r, server, size); err != nil {
			return err
		}
	}
	for _, count := range connCounts {
		if err := measureAdapterConns(r, server, count); err != nil {
			return err
		}
	}
	return nil
}

func measureAdapterBatch(r Recorder, server *standin.Server, size int) error {
	var counted atomic.Int64
	relay, err := startRelay(string(server.Addr()), &counted)
	if err != nil {
		return err
	}
	defer relay.Close()
	dialer, err := httpjson.NewDialer(httpjson.Options{})
	if err != nil {
		return err
	}
	replica := wire.ReplicaID(relay.Addr())
	conn, err := dialer.Dial(context.Background(), replica)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	var seq uint64
	c := config(1, 1, 1, 1)
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	result, err := measureCost(thisThread, func() error {
		subs := batch(c, size, 0, &seq)
		for i := range subs {
			subs[i].Replica = replica
		}
		replies, err := conn.Run(context.Background(), subs)
		if err == nil && (len(replies) != size || replies[0].Outcome != wire.Answered) {
			return &FailedError{Measure: "adapter", Detail: "a sub-request was not answered"}
		}
		return err
	})
	if err != nil {
		return err
	}
	if err := r.Record(Point{
		Measure: "backend/httpjson: batch, processor time of the calling thread", Size: float64(size), Per: "sub-request",
		Value: result.micros, Unit: "µs",
	}); err != nil {
		return err
	}
	return r.Record(Point{
		Measure: "backend/httpjson: bytes of a batch and its replies", Size: float64(size), Per: "sub-request",
		Value: float64(counted.Load()) / float64(seq) * float64(size), Unit: "B",
	})
}

func measureAdapterConns(r Recorder, server *standin.Server, count int) error {
	dialer, err := httpjson.NewDialer(httpjson.Options{})
	if err != nil {
		return err
	}
	before := memory()
	conns := make([]backend.Conn, 0, count)
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	for range count {
		conn, err := dialer.Dial(context.Background(), server.Addr())
		if err != nil {
			return err
		}
		conns = append(conns, conn)
		if _, err := conn.Status(context.Background()); err != nil {
			return err
		}
	}
	return r.Record(Point{
		Measure: "backend/httpjson: memory of connections, both ends", Size: float64(count), Per: "connection",
		Value: memory() - before, Unit: "B",
	})
}
