package owner

import (
	"slices"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// SetEvacuated takes the replicas of the named data centres out of use and puts those of all
// others back. Out of use means that nothing new is sent there: queued sub-requests are
// refused as not run, and there are no new connections and no status calls. Running
// sub-requests finish. A replica that is back begins with a slow start, because it may be
// cold.
func (o *Owner) SetEvacuated(names []string) {
	o.configMu.Lock()
	for _, name := range names {
		o.dataCentres.getOrCreate(name)
	}
	var fx effects
	now := time.Now()
	for _, dc := range o.dataCentres.all() {
		evacuated := slices.Contains(names, dc.name)
		if dc.evacuated.Swap(evacuated) == evacuated {
			continue
		}
		if evacuated {
			dc.evacuatedAt = now
		}
		for _, r := range o.knownReplicas {
			if r.dataCentre == dc {
				r.applyEvacuated(evacuated, now, &fx)
			}
		}
	}
	o.configMu.Unlock()
	fx.applyAsync(o)
	o.reportEvacuated(now)
}

// applyEvacuated adapts a replica to the start or the end of the evacuation of its data
// centre.
func (r *replica) applyEvacuated(evacuated bool, now time.Time, fx *effects) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if evacuated {
		r.refuseAllQueued(wire.ReasonEvacuated, fx)
		r.closeIdleConns()
		return
	}
	r.beginSlowStart()
	r.openMissingConns(now)
}

// Evacuated reports whether a replica is in a data centre that is out of use.
func (o *Owner) Evacuated(id wire.ReplicaID) bool {
	r := o.table.Load().replicas[id]
	return r != nil && r.dataCentre.evacuated.Load()
}

// reportEvacuated updates the gauges of the data centres that are or were out of use.
func (o *Owner) reportEvacuated(now time.Time) {
	o.configMu.Lock()
	defer o.configMu.Unlock()
	count := 0
	for _, dc := range o.dataCentres.all() {
		if dc.evacuatedAt.IsZero() {
			continue
		}
		running, age := 0, time.Duration(0)
		if dc.evacuated.Load() {
			count++
			running, age = o.countRunning(dc), now.Sub(dc.evacuatedAt)
		}
		scope := o.options.Scope.Tagged(map[string]string{"data_centre": dc.name})
		scope.Gauge("out_of_use_running").Update(float64(running))
		scope.Gauge("out_of_use_seconds").Update(age.Seconds())
	}
	o.metrics.evacuated.Update(float64(count))
}

// countRunning returns the number of sub-requests that run in a data centre. The caller holds
// configMu.
func (o *Owner) countRunning(dc *dataCentre) int {
	n := 0
	for _, r := range o.knownReplicas {
		if r.dataCentre == dc {
			r.mu.Lock()
			n += r.inFlight
			r.mu.Unlock()
		}
	}
	return n
}
