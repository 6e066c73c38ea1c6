package edge

import (
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/arbutusgauge/arbutusgauge/internal/catalog"
	"github.com/arbutusgauge/arbutusgauge/internal/owner"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// cutOffAfter is the time without a sign of life from other data centres after
// which a host that reaches too few shards considers itself cut off.
const cutOffAfter = time.Second

// reachability determines from the reachable replicas whether this host can answer
// requests.
type reachability struct {
	// obstacle returns why this host can't use a replica, owner.ObstacleNone if it can.
	obstacle func(wire.ReplicaID) owner.Obstacle
	// isEvacuated reports whether a replica is in a data centre out of use. Nil: none is.
	isEvacuated func(wire.ReplicaID) bool
	// lastHeardElsewhere returns when a replica of another data centre last
	// answered or accepted a connection; zero: never.
	lastHeardElsewhere func() time.Time
	log                log.Interface

	mu     sync.Mutex
	cutOff bool // result of the last check
	// services are the result of reachedServices at servicesAt for servicesOf.
	services   []string
	servicesOf *catalog.View
	servicesAt time.Time
}

// servicesMaxAge is how long the result of reachedServices is used again. Looking at each
// replica for each of many questions would take processor time from callers.
const servicesMaxAge = 100 * time.Millisecond

// canServe reports whether callers should be sent to this host. A host without a
// table or without servers can't answer. A host that reaches too few shards and
// hears nothing from other data centres is cut off: hosts elsewhere can answer
// instead. Failed replicas alone do not make a host cut off, because every host
// fails to reach them.
func (r *reachability) canServe(view *catalog.View) bool {
	if view == nil || !hasServers(view) {
		return false
	}
	var lacking *release.Service
	for _, search := range view.Config.Searches {
		if service := view.Config.Services[search.Service]; !r.reachesEnoughShards(service, search.LeastCoverage) {
			lacking = service
		}
	}
	lastHeard := r.lastHeardElsewhere()
	cutOff := lacking != nil && time.Since(lastHeard) > cutOffAfter
	r.setCutOff(cutOff, lastHeard, lacking)
	return !cutOff
}

// hasServers reports whether any shard of a view has a replica.
func hasServers(view *catalog.View) bool {
	for _, service := range view.Config.Services {
		for i := range service.Shards {
			if len(service.Shards[i].Replicas) > 0 {
				return true
			}
		}
	}
	return false
}

// reachesEnoughShards reports whether at least minFraction, 0 to 1, of a service's
// shards has a usable replica. A service without any replica counts as reached,
// because no host can reach it. The same holds for a shard whose replicas are all out
// of use.
func (r *reachability) reachesEnoughShards(service *release.Service, minFraction float64) bool {
	reached, withReplicas, shards := 0, 0, len(service.Shards)
	for i := range service.Shards {
		if r.isEvacuatedShard(&service.Shards[i]) {
			shards--
			continue
		}
		withReplicas += min(1, len(service.Shards[i].Replicas))
		if r.reachesShard(&service.Shards[i]) {
			reached++
		}
	}
	return withReplicas == 0 || reached > 0 && float64(reached) >= minFraction*float64(shards)
}

// reachedServices returns the services of which this host reaches enough shards for all their
// searches. Unlike for readiness, a shard that no host reaches is missing.
func (r *reachability) reachedServices(view *catalog.View) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.servicesOf == view && now.Sub(r.servicesAt) < servicesMaxAge {
		return r.services
	}
	needed := map[string]float64{} // greatest least coverage of the searches, by service
	for _, search := range view.Config.Searches {
		needed[search.Service] = max(needed[search.Service], search.LeastCoverage)
	}
	var reached []string
	for name, fraction := range needed {
		if service := view.Config.Services[name]; service != nil && r.reachesShards(service, fraction) {
			reached = append(reached, name)
		}
	}
	r.services, r.servicesOf, r.servicesAt = reached, view, now
	return reached
}

// reachesShards reports whether at least minFraction, 0 to 1, of a service's shards, and one
// at least, has a usable replica.
func (r *reachability) reachesShards(service *release.Service, minFraction float64) bool {
	reached := 0
	for i := range service.Shards {
		if r.reachesShard(&service.Shards[i]) {
			reached++
		}
	}
	return reached > 0 && float64(reached) >= minFraction*float64(len(service.Shards))
}

// reachesShard reports whether a shard has a usable replica.
func (r *reachability) reachesShard(shard *release.Shard) bool {
	return slices.ContainsFunc(shard.Replicas, func(replica release.Replica) bool {
		return r.obstacle(replica.Addr) == owner.ObstacleNone
	})
}

// isEvacuatedShard reports whether a shard has replicas, all of them out of use.
func (r *reachability) isEvacuatedShard(shard *release.Shard) bool {
	if r.isEvacuated == nil || len(shard.Replicas) == 0 {
		return false
	}
	return !slices.ContainsFunc(shard.Replicas, func(replica release.Replica) bool { return !r.isEvacuated(replica.Addr) })
}

// isCutOff reports whether the last call of canServe found this host cut off.
func (r *reachability) isCutOff() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cutOff
}

// setCutOff stores the result of a check and logs a change. lastHeard is the result of
// lastHeardElsewhere, and lacking a service of which too few shards are reached, or nil.
func (r *reachability) setCutOff(cutOff bool, lastHeard time.Time, lacking *release.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cutOff == r.cutOff {
		return
	}
	r.cutOff = cutOff
	event := "cut off from the other data centres"
	if !cutOff {
		event = "other data centres reached again"
	}
	var heard any = "never"
	if !lastHeard.IsZero() {
		heard = time.Since(lastHeard)
	}
	fields := log.Fields{"last_heard": heard}
	if lacking != nil {
		r.addObstacles(fields, lacking)
	}
	r.log.WithFields(fields).Warn(event)
}

// addObstacles adds a service and the number of its replicas by what keeps this host from them.
func (r *reachability) addObstacles(fields log.Fields, service *release.Service) {
	counts := map[owner.Obstacle]int{}
	for i := range service.Shards {
		for _, replica := range service.Shards[i].Replicas {
			counts[r.obstacle(replica.Addr)]++
		}
	}
	fields["service"], fields["usable"] = service.Name, counts[owner.ObstacleNone]
	fields["silent"], fields["unreachable"] = counts[owner.ObstacleSilent], counts[owner.ObstacleUnreachable]
}
