package bench

import (
	"fmt"
	"math"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	hostsPerDataCentre = 3
	ledgersPerShard    = 10
	searchName         = "search"

	// serviceMedian is the median service time of a sub-request.
	serviceMedian = 4 * time.Millisecond
	// serviceSigma is the standard deviation of the logarithm of service times.
	// ln 5 ÷ 2.326 puts the 99th percentile at 5 medians, 20 ms.
	serviceSigma = 0.692
)

// serviceMean returns the mean of the log-normal service time.
func serviceMean() time.Duration {
	return time.Duration(float64(serviceMedian) * math.Exp(serviceSigma*serviceSigma/2))
}

// Ganna returns the deployment of Ganna Shift Labs.
func Ganna() Deployment {
	return Deployment{
		Name: "ganna", DataCentres: []string{"badin", "thatta", "tando"}, Delay: 5 * time.Millisecond,
		WaitRule: release.WaitCoverage, LeastCoverage: 0.9, LatencyGoal: 120 * time.Millisecond, Deadline: 500 * time.Millisecond,
		Services: []ServiceShape{
			{Name: "mill-dispatch", Shards: 20, Replicas: 2, Slots: 2, Connections: 25, ConnectCost: 6 * time.Millisecond},
			{Name: "payroll-desk", Shards: 30, Replicas: 2, Slots: 2, Connections: 25, ConnectCost: 6 * time.Millisecond},
			{Name: "contractor-app", Shards: 1, Replicas: 5, Slots: 6, Connections: 110, ConnectCost: time.Millisecond},
			{Name: "field-notices", Shards: 1, Replicas: 3, Slots: 6, Connections: 110, ConnectCost: time.Millisecond},
		},
	}
}

// Huber returns the deployment of Huber Tonnenwäsche.
func Huber() Deployment {
	return Deployment{
		Name: "huber", DataCentres: []string{"depot-linz", "depot-wels", "depot-steyr"}, Delay: 4 * time.Millisecond,
		WaitRule: release.WaitLatency, LeastCoverage: 0.9, LatencyGoal: 80 * time.Millisecond, Deadline: 400 * time.Millisecond,
		Services: []ServiceShape{
			{Name: "touren-app", Shards: 20, Replicas: 2, Slots: 2, Connections: 25, ConnectCost: 6 * time.Millisecond},
			{Name: "buchungsportal", Shards: 30, Replicas: 2, Slots: 2, Connections: 25, ConnectCost: 6 * time.Millisecond},
			{Name: "faktura", Shards: 1, Replicas: 13, Slots: 3, Connections: 40, ConnectCost: time.Millisecond},
			{Name: "fuhrpark-log", Shards: 1, Replicas: 6, Slots: 3, Connections: 40, ConnectCost: time.Millisecond},
		},
	}
}

// queriesPerSecond returns the nominal capacity of a service, at which all slots
// are busy all the time.
func (s ServiceShape) queriesPerSecond() float64 {
	return float64(s.Replicas) * float64(s.Slots) / serviceMean().Seconds()
}

// config returns the configuration of a deployment. The replicas of a shard are
// spread over the data centres. PolicyUnbounded gets a budget that never runs out.
func (d Deployment) config(policy Policy) *release.Config {
	config := &release.Config{
		Version:  1,
		Services: map[string]*release.Service{},
		Searches: map[string]*release.Search{},
	}
	for index, shape := range d.Services {
		service := &release.Service{
			Name: shape.Name, Slots: shape.Slots, MaxConnections: shape.Connections,
			ConnectCost: jwcc.Duration(shape.ConnectCost),
		}
		if policy == PolicyUnbounded {
			service.ExtraLoad, service.ExtraBurst = 1000, 1<<30
		}
		for id := range shape.Shards {
			shard := release.Shard{ID: uint32(id), Range: wire.LedgerRange{
				Lo: uint64(id) * ledgersPerShard, Hi: uint64(id+1) * ledgersPerShard,
			}}
			for r := range shape.Replicas {
				shard.Replicas = append(shard.Replicas, release.Replica{
					Addr:       wire.ReplicaID(fmt.Sprintf("127.%d.%d.%d:80", index+1, id+1, r+1)),
					DataCentre: d.DataCentres[(id+r)%len(d.DataCentres)],
				})
			}
			service.Shards = append(service.Shards, shard)
		}
		config.Services[shape.Name] = service
		config.Searches[release.SearchKey(shape.Name, searchName)] = &release.Search{
			Name: searchName, Service: shape.Name, Repeatable: true, WaitRule: d.WaitRule, LeastCoverage: d.LeastCoverage,
			LatencyGoal: jwcc.Duration(d.LatencyGoal), Deadline: jwcc.Duration(d.Deadline),
		}
	}
	return config
}
