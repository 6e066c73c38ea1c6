package main

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/backend/httpjson"
	"github.com/arbutusgauge/arbutusgauge/internal/owner"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	standin "github.com/arbutusgauge/arbutusgauge/internal/standin/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	ownerBatches   = 64
	ownerWarmUp    = time.Second
	probeTime      = 4 * time.Second
	connReplicas   = 50
	connLimit      = 1000 // of a replica, so that it never binds
	openingTimeout = 10 * time.Second
)

var (
	ownerBatchSizes = []int{1, 8, 64}
	// ownedCounts includes the 25 replicas of a host at the target.
	ownedCounts = []int{25, 100, 400}
	// knownShards gives the replicas of a data centre; 8,750 is the target.
	knownShards = []int{875, 4375, 8750}
	slotCounts  = []uint32{1, 4, 16}
	probeCounts = []int{4, 8, 16}
)

// instantConn answers at once, so that only the owner is measured.
type instantConn struct{}

// Run implements backend.Conn.
func (instantConn) Run(_ context.Context, subs []wire.Sub) ([]wire.Reply, error) {
	replies := make([]wire.Reply, len(subs))
	for i := range subs {
		replies[i] = echo(&subs[i])
	}
	return replies, nil
}

// Cancel implements backend.Conn.
func (instantConn) Cancel(context.Context, []wire.SubID) error { return nil }

// Status implements backend.Conn.
func (instantConn) Status(context.Context) (backend.Status, error) { return backend.Status{}, nil }

// Close implements backend.Conn.
func (instantConn) Close() error { return nil }

// instantDialer dials instantConn.
type instantDialer struct{}

// Dial implements backend.Dialer.
func (instantDialer) Dial(context.Context, wire.ReplicaID) (backend.Conn, error) {
	return instantConn{}, nil
}

// ownership owns all replicas or none.
type ownership bool

// Owns implements owner.Ownership.
func (o ownership) Owns(string, uint32, wire.ReplicaID) bool { return bool(o) }

// runOwner starts an owner; stop ends it.
func runOwner(c *release.Config, dialer backend.Dialer, owns ownership) (o *owner.Owner, stop func(), err error) {
	o, err = owner.New(owner.Options{DataCentre: dataCentre(0), Dialer: dialer, Ownership: owns})
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	o.SetConfig(c)
	go func() {
		defer close(ended)
		_ = o.Run(ctx)
	}()
	return o, func() { cancel(); <-ended }, nil
}

func measureOwner(r Recorder, _ *Options) error {
	for _, size := range ownerBatchSizes {
		if err := measureOwnerSend(r, size); err != nil {
			return err
		}
	}
	for _, count := range ownedCounts {
		if err := measureOwned(r, count); err != nil {
			return err
		}
	}
	for _, shards := range knownShards {
		if err := measureKnown(r, shards); err != nil {
			return err
		}
	}
	for _, slots := range slotCounts {
		if err := measureOwnerConnections(r, slots); err != nil {
			return err
		}
	}
	for _, count := range probeCounts {
		if err := measureProbes(r, count); err != nil {
			return err
		}
	}
	return nil
}

func measureOwnerSend(r Recorder, size int) error {
	c := config(1, ownerBatchSizes[len(ownerBatchSizes)-1], 1, 1)
	o, stop, err := runOwner(c, instantDialer{}, true)
	if err != nil {
		return err
	}
	defer stop()
	time.Sleep(ownerWarmUp)
	var seq uint64
	var failed atomic.Int64
	result, err := measureCost(thisProcess, func() error {
		var wait sync.WaitGroup
		for range ownerBatches {
			wait.Add(size)
			o.Send(batch(c, size, 0, &seq), func(replies []wire.Reply) {
				for i := range replies {
					if replies[i].Outcome != wire.Answered {
						failed.Add(1)
					}
					wait.Done()
				}
			})
			wait.Wait()
		}
		return nil
	})
	if err != nil {
		return err
	}
	if failed.Load() > 0 {
		return &FailedError{Measure: "owner", Detail: "a sub-request was not answered"}
	}
	result.micros /= ownerBatches
	result.allocs /= ownerBatches
	return recordCost(r, "owner: batch over immediate connections", "sub-request", size, result)
}

func measureOwned(r Recorder, count int) error {
	c := config(1, count, 1, 1)
	before := memory()
	_, stop, err := runOwner(c, instantDialer{}, true)
	if err != nil {
		return err
	}
	defer stop()
	time.Sleep(ownerWarmUp)
	return r.Record(Point{
		Measure: "owner: memory of owned replicas with 3 connections each", Size: float64(count), Per: "replica",
		Value: memoryWith(c) - before, Unit: "B",
	})
}

// measureKnown measures the replicas of the data centre that other hosts own.
func measureKnown(r Recorder, shards int) error {
	c := config(1, shards, 1, 1)
	before := memory()
	o, stop, err := runOwner(c, instantDialer{}, false)
	if err != nil {
		return err
	}
	defer stop()
	size := float64(shards)
	if err := r.Record(Point{
		Measure: "owner: memory of replicas that others own", Size: size, Per: "replica", Value: memoryWith(c) - before, Unit: "B",
	}); err != nil {
		return err
	}
	result, err := measureCost(thisProcess, func() error { o.Refresh(); return nil })
	if err != nil {
		return err
	}
	return r.Record(Point{
		Measure: "owner: one look at all replicas, every 500 ms", Size: size, Per: "replica", Value: result.micros, Unit: "µs",
	})
}

func measureOwnerConnections(r Recorder, slots uint32) error {
	c := config(1, connReplicas, 1, 1)
	c.Services[serviceName(0)].Slots = slots
	c.Services[serviceName(0)].Connections = connLimit
	before := memory()
	o, stop, err := runOwner(c, instantDialer{}, true)
	if err != nil {
		return err
	}
	defer stop()
	time.Sleep(ownerWarmUp)
	used := memoryWith(c) - before
	open := 0
	for _, info := range o.ReplicaStatus("") {
		open += info.Connections
	}
	return r.Record(Point{
		Measure: "owner: memory of " + strconv.Itoa(connReplicas) + " replicas by connections",
		Size:    float64(open), Per: "connection", Value: used, Unit: "B",
	})
}

// measureProbes counts the bytes between an idle owner and stand-in backend
// servers.
func measureProbes(r Recorder, count int) error {
	var counted atomic.Int64
	c := config(1, count, 1, 1)
	for i := range count {
		shard := &c.Services[serviceName(0)].Shards[i]
		server, err := standin.Start(standin.Options{Listen: "127.0.0.1:0", Shard: shard.ID, Range: shard.Range})
		if err != nil {
			return err
		}
		defer func() { _ = server.Close() }()
		relay, err := startRelay(string(server.Addr()), &counted)
		if err != nil {
			return err
		}
		defer relay.Close()
		shard.Replicas[0].Addr = wire.ReplicaID(relay.Addr())
	}
	dialer, err := httpjson.NewDialer(httpjson.Options{})
	if err != nil {
		return err
	}
	_, stop, err := runOwner(c, dialer, true)
	if err != nil {
		return err
	}
	defer stop()
	time.Sleep(ownerWarmUp)
	begin := counted.Load()
	time.Sleep(probeTime)
	return r.Record(Point{
		Measure: "owner: probes of idle replicas", Size: float64(count), Per: "replica",
		Value: float64(counted.Load()-begin) / probeTime.Seconds(), Unit: "B/s",
	})
}
