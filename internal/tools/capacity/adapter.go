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

// shortServiceTime is the median service time of the stand-in backend server, so
// short that sub-requests hardly wait for it.
const shortServiceTime = time.Microsecond

var connectionCounts = []int{100, 300, 900}

// measureAdapter measures batches and connections of the JSON adapter to a
// stand-in backend server in this process. The processor time of a batch is that
// of the calling thread, on which the server's goroutines do not run.
func measureAdapter(r Recorder, _ *Options) error {
	serviceTime := standin.ServiceTime{Median: jwcc.Duration(shortServiceTime), Tail: jwcc.Duration(2 * shortServiceTime)}
	server, err := standin.Start(standin.Options{
		Listen: "127.0.0.1:0", Range: wire.LedgerRange{Hi: 1}, Slots: connectionLimit, MaxConnections: 2 * connectionLimit,
		ServiceTime: serviceTime, RecordLimit: connectionLimit,
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
	for _, count := range connectionCounts {
		if err := measureAdapterConnections(r, server, count); err != nil {
			return err
		}
	}
	return nil
}

// measureAdapterBatch measures the processor time and the bytes of a batch of the
// given size, including its replies.
func measureAdapterBatch(r Recorder, server *standin.Server, size int) error {
	var byteCount atomic.Int64
	relay, err := startRelay(string(server.Addr()), &byteCount)
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
	c := newConfig(1, 1, 1, 1)
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	result, err := measureCost(rusageThread, func() error {
		subs := newBatch(c, size, 0, &seq)
		for i := range subs {
			subs[i].Replica = replica
		}
		replies, err := conn.Run(context.Background(), subs)
		if err == nil && (len(replies) != size || replies[0].Outcome != wire.Answered) {
			return &MeasurementError{Measure: "adapter", Detail: "a sub-request was not answered"}
		}
		return err
	})
	if err != nil {
		return err
	}
	if err := r.Record(Point{
		Measure: "backend/httpjson: batch, processor time of the calling thread", Size: float64(size), Per: "sub-request",
		Value: result.processorMicros, Unit: "µs",
	}); err != nil {
		return err
	}
	return r.Record(Point{
		Measure: "backend/httpjson: bytes of a batch and its replies", Size: float64(size), Per: "sub-request",
		Value: float64(byteCount.Load()) / float64(seq) * float64(size), Unit: "B",
	})
}

// measureAdapterConnections measures the memory of idle connections, which includes
// that of the server.
func measureAdapterConnections(r Recorder, server *standin.Server, count int) error {
	dialer, err := httpjson.NewDialer(httpjson.Options{})
	if err != nil {
		return err
	}
	before := liveMemory()
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
		Value: liveMemory() - before, Unit: "B",
	})
}
