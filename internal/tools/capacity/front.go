package main

import (
	"context"
	"math/rand/v2"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/scatter"
)

// serviceCounts are the numbers of services that have 7,000, 35,000 and 70,000
// replicas in total.
var serviceCounts = []int{1, 5, 10}

// shardCounts are the numbers of shards that a measured query reads.
var shardCounts = []int{20, 200, 840}

// measureFront measures the scatter engine: the cost of a query by shards and the
// memory of its tables by replicas.
func measureFront(r Recorder, _ *Options) error {
	for _, shards := range shardCounts {
		engine, err := newEngine()
		if err != nil {
			return err
		}
		query := newQuery(newConfig(1, shards, replicasPerShard, 1), 0)
		c, err := measureCost(rusageSelf, func() error {
			_, err := engine.Run(context.Background(), query)
			return err
		})
		if err != nil {
			return err
		}
		if err := recordCost(r, "front: query of scatter", "sub-request", shards, c); err != nil {
			return err
		}
	}
	for _, services := range serviceCounts {
		if err := measureFrontTables(r, services); err != nil {
			return err
		}
	}
	return nil
}

// newEngine returns a scatter engine whose sub-requests are answered immediately.
func newEngine() (*scatter.Engine, error) {
	return scatter.New(scatter.Options{
		Sender: echoSender{}, DataCentre: dataCentreName(0), Incarnation: 1, Random: rand.NewPCG(1, 1),
	})
}

// newQuery returns a query of all shards of the service with the given number.
func newQuery(c *release.Config, number int) scatter.Query {
	return scatter.Query{Config: c, Service: serviceName(number), Search: searchName, Repeatable: true}
}

// measureFrontTables measures the memory of the tables that the scatter engine
// builds for a service on its first query.
func measureFrontTables(r Recorder, services int) error {
	c := newTargetConfig(services, 1)
	engine, err := newEngine()
	if err != nil {
		return err
	}
	before := liveMemory()
	for i := range services {
		if _, err := engine.Run(context.Background(), newQuery(c, i)); err != nil {
			return err
		}
	}
	used := liveMemoryWith(engine, c) - before
	return r.Record(Point{
		Measure: "front: memory of scatter's tables", Size: float64(services * shardsPerService * replicasPerShard), Per: "replica", Value: used, Unit: "B",
	})
}
