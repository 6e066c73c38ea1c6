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
	ownerBatchesPerCall = 64          // sent in one call of the measured function
	ownerWarmUp         = time.Second // for the owner to open its connections
	probeWindow         = 4 * time.Second
	slotTestReplicas    = 50   // owned while the number of slots is varied
	connectionLimit     = 1000 // of a replica; too high to restrict a measurement
	openingTimeout      = 10 * time.Second
)

var (
	ownerBatchSizes = []int{1, 8, 64}
	// A host of the target deployment owns 25 replicas.
	ownedReplicaCounts = []int{25, 100, 400}
	// A data centre of the target deployment has 8,750 replicas.
	dataCentreReplicaCounts = []int{875, 4375, 8750}
	slotCounts              = []uint32{1, 4, 16}
	probedReplicaCounts     = []int{4, 8, 16}
)

// instantConn is a connection that answers immediately, so that measurements
// contain only the cost of the owner.
type instantConn struct{}

// Run implements backend.Conn.
func (instantConn) Run(_ context.Context, subs []wire.SubRequest) ([]wire.Reply, error) {
	replies := make([]wire.Reply, len(subs))
	for i := range subs {
		replies[i] = echoReply(&subs[i])
	}
	return replies, nil
}

// Cancel implements backend.Conn.
func (instantConn) Cancel(context.Context, []wire.SubRequestID) error { return nil }

// Status implements backend.Conn.
func (instantConn) Status(context.Context) (backend.Status, error) { return backend.Status{}, nil }

// Close implements backend.Conn.
func (instantConn) Close() error { return nil }

// instantDialer is a backend.Dialer that returns an instantConn.
type instantDialer struct{}

// Dial implements backend.Dialer.
func (instantDialer) Dial(context.Context, wire.ReplicaID) (backend.Conn, error) {
	return instantConn{}, nil
}

// fixedOwnership is an owner.Ownership for all replicas (true) or none (false).
type fixedOwnership bool

// Owns implements owner.Ownership.
func (o fixedOwnership) Owns(string, uint32, wire.ReplicaID) bool { return bool(o) }

// startOwner runs an owner with the configuration c; stop ends it and waits for
// its end.
func startOwner(c *release.Config, dialer backend.Dialer, owns fixedOwnership) (o *owner.Owner, stop func(), err error) {
	o, err = owner.New(owner.Options{DataCentre: dataCentreName(0), Dialer: dialer, Ownership: owns})
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

// measureOwner measures the owner: batches, memory by replicas and connections,
// the periodic check of all replicas, and probes.
func measureOwner(r Recorder, _ *Options) error {
	for _, size := range ownerBatchSizes {
		if err := measureOwnerSend(r, size); err != nil {
			return err
		}
	}
	for _, count := range ownedReplicaCounts {
		if err := measureOwnedReplicas(r, count); err != nil {
			return err
		}
	}
	for _, shards := range dataCentreReplicaCounts {
		if err := measureUnownedReplicas(r, shards); err != nil {
			return err
		}
	}
	for _, slots := range slotCounts {
		if err := measureOwnerConnections(r, slots); err != nil {
			return err
		}
	}
	for _, count := range probedReplicaCounts {
		if err := measureProbes(r, count); err != nil {
			return err
		}
	}
	return nil
}

// measureOwnerSend measures the cost of a batch that instantConn answers.
func measureOwnerSend(r Recorder, size int) error {
	c := newConfig(1, ownerBatchSizes[len(ownerBatchSizes)-1], 1, 1)
	o, stop, err := startOwner(c, instantDialer{}, true)
	if err != nil {
		return err
	}
	defer stop()
	time.Sleep(ownerWarmUp)
	var seq uint64
	var failed atomic.Int64
	result, err := measureCost(rusageSelf, func() error {
		var wait sync.WaitGroup
		for range ownerBatchesPerCall {
			wait.Add(size)
			o.Send(newBatch(c, size, 0, &seq), func(replies []wire.Reply) {
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
		return &MeasurementError{Measure: "owner", Detail: "a sub-request was not answered"}
	}
	result.processorMicros /= ownerBatchesPerCall
	result.allocs /= ownerBatchesPerCall
	return recordCost(r, "owner: batch over immediate connections", "sub-request", size, result)
}

// measureOwnedReplicas measures the memory of the given number of owned replicas.
func measureOwnedReplicas(r Recorder, count int) error {
	c := newConfig(1, count, 1, 1)
	before := liveMemory()
	_, stop, err := startOwner(c, instantDialer{}, true)
	if err != nil {
		return err
	}
	defer stop()
	time.Sleep(ownerWarmUp)
	return r.Record(Point{
		Measure: "owner: memory of owned replicas with 3 connections each", Size: float64(count), Per: "replica",
		Value: liveMemoryWith(c) - before, Unit: "B",
	})
}

// measureUnownedReplicas measures replicas of the own data centre that other hosts
// own: their memory, and the processor time of one Refresh. There is one replica
// per shard.
func measureUnownedReplicas(r Recorder, shards int) error {
	c := newConfig(1, shards, 1, 1)
	before := liveMemory()
	o, stop, err := startOwner(c, instantDialer{}, false)
	if err != nil {
		return err
	}
	defer stop()
	size := float64(shards)
	if err := r.Record(Point{
		Measure: "owner: memory of replicas that others own", Size: size, Per: "replica", Value: liveMemoryWith(c) - before, Unit: "B",
	}); err != nil {
		return err
	}
	result, err := measureCost(rusageSelf, func() error { o.Refresh(); return nil })
	if err != nil {
		return err
	}
	return r.Record(Point{
		Measure: "owner: one look at all replicas, every 500 ms", Size: size, Per: "replica", Value: result.processorMicros, Unit: "µs",
	})
}

// measureOwnerConnections measures the memory of owned replicas by the number of
// open connections, which grows with the slots of the service.
func measureOwnerConnections(r Recorder, slots uint32) error {
	c := newConfig(1, slotTestReplicas, 1, 1)
	c.Services[serviceName(0)].Slots = slots
	c.Services[serviceName(0)].MaxConnections = connectionLimit
	before := liveMemory()
	o, stop, err := startOwner(c, instantDialer{}, true)
	if err != nil {
		return err
	}
	defer stop()
	time.Sleep(ownerWarmUp)
	used := liveMemoryWith(c) - before
	open := 0
	for _, info := range o.ReplicaStatus("") {
		open += info.Connections
	}
	return r.Record(Point{
		Measure: "owner: memory of " + strconv.Itoa(slotTestReplicas) + " replicas by connections",
		Size:    float64(open), Per: "connection", Value: used, Unit: "B",
	})
}

// measureProbes measures the bytes per second between an idle owner and stand-in
// backend servers.
func measureProbes(r Recorder, count int) error {
	var byteCount atomic.Int64
	c := newConfig(1, count, 1, 1)
	for i := range count {
		shard := &c.Services[serviceName(0)].Shards[i]
		server, err := standin.Start(standin.Options{Listen: "127.0.0.1:0", Shard: shard.ID, Range: shard.Range})
		if err != nil {
			return err
		}
		defer func() { _ = server.Close() }()
		relay, err := startRelay(string(server.Addr()), &byteCount)
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
	_, stop, err := startOwner(c, dialer, true)
	if err != nil {
		return err
	}
	defer stop()
	time.Sleep(ownerWarmUp)
	begin := byteCount.Load()
	time.Sleep(probeWindow)
	return r.Record(Point{
		Measure: "owner: probes of idle replicas", Size: float64(count), Per: "replica",
		Value: float64(byteCount.Load()-begin) / probeWindow.Seconds(), Unit: "B/s",
	})
}
