package owner

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// reportLoad records the load that a response of the replica states. The caller holds mu.
func (r *replica) reportLoad(load wire.StatedLoad, answered bool, now time.Time) {
	if load.Stated() {
		r.view.Report(load, r.inFlight, answered, now)
		r.group.statesLoad.Store(true)
	}
}

// StatedUncertainty returns how far EstimateWait may be off because of the requests of other hosts,
// for balance.Choose. The second result is false if no replica of the shard has stated a load;
// a replica that has not is judged like one that has not answered yet.
func (o *Owner) StatedUncertainty(id wire.ReplicaID) (uncertainty time.Duration, stated bool) {
	r := o.table.Load().replicas[id]
	if r == nil {
		return 0, false
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.group.statesLoad.Load() {
		return 0, false
	}
	if r.view.States() {
		o.metrics.loadAge.RecordDuration(r.view.Age(now))
	}
	_, uncertainty = r.view.Estimate(r.inFlight+len(r.queue), r.slotLimit(now), now)
	return uncertainty, true
}

// observeSpread sets the gauge of how unevenly requests in flight are spread, those of other
// hosts included where replicas state their load.
func (o *Owner) observeSpread(now time.Time) {
	type shard struct{ least, most float64 }
	shards := map[*shardGroup]shard{}
	for _, r := range o.table.Load().replicas {
		r.mu.Lock()
		group, inFlight := r.group, float64(r.inFlight)+r.view.Others(now)
		r.mu.Unlock()
		if s, found := shards[group]; found {
			shards[group] = shard{min(s.least, inFlight), max(s.most, inFlight)}
		} else {
			shards[group] = shard{inFlight, inFlight}
		}
	}
	sum := 0.0
	for _, s := range shards {
		sum += s.most - s.least
	}
	if len(shards) > 0 {
		o.metrics.inFlightSpread.Update(sum / float64(len(shards)))
	}
}
