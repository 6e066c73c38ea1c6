package main

import (
	"context"
	"math/rand/v2"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/scatter"
)

// targetServices are the services that give 7,000, 35,000 and 70,000 replicas.
var targetServices = []int{1, 5, 10}

var queryShards = []int{20, 200, 840}

func measureFront(r Recorder, _ *Options) error {
	for _, shards := range queryShards {
		engine, err := newEngine()
		if err != nil {
			return err
		}
		query := queryOf(config(1, shards, replicasPer, 1), 0)
		c, err := measureCost(thisProcess, func() error {
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
	for _, services := range targetServices {
		if err := measureFrontTables(r, services); err != nil {
			return err
		}
	}
	return nil
}

func newEngine() (*scatter.Engine, error) {
	return scatter.New(scatter.Options{
		Sender: echoSender{}, DataCentre: dataCentre(0), Incarnation: 1, Random: rand.NewPCG(1, 1),
	})
}

func queryOf(c *release.Config, number int) scatter.Query {
	return scatter.Query{Config: c, Service: serviceName(number), Search: searchName, Repeatable: true}
}

// measureFrontTables queries every service once, which makes its tables.
func measureFrontTables(r Recorder, services int) error {
	c := targetConfig(services, 1)
	engine, err := newEngine()
	if err != nil {
		return err
	}
	before := memory()
	for i := range services {
		if _, err := engine.Run(context.Background(), queryOf(c, i)); err != nil {
			return err
		}
	}
	used := memoryWith(engine, c) - before
	return r.Record(Point{
		Measure: "front: memory of scatter's tables", Size: float64(services * shardsPer * replicasPer), Per: "replica", Value: used, Unit: "B",
	})
}
