package scatter

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Judgement is how the choice of a replica rates it apart from Options.EstimateWait.
type Judgement struct {
	// Price is added to the estimated wait: the network delay to the data centre of the
	// replica and back, and what is left of the penalty for failures.
	Price time.Duration
	// Draining and Ejected are what a reply reported within stateMaxAge. A draining replica
	// is not used, and an ejected one only if no other is left.
	Draining, Ejected bool
}

// Describe returns the judgements of the replicas of a service. It changes nothing: a service
// without queries so far gets no state.
func (e *Engine) Describe(service *release.Service) map[wire.ReplicaID]Judgement {
	now := time.Now()
	out := map[wire.ReplicaID]Judgement{}
	for id, r := range e.peekTable(service).byID {
		fit, _ := r.evaluate(now, 0)
		out[id] = Judgement{
			Price: r.roundTrip + r.failurePenalty(now), Draining: fit == fitUnusable, Ejected: fit == fitEjected,
		}
	}
	return out
}

// peekTable returns the table of a service, or the one that its next query would build.
func (e *Engine) peekTable(config *release.Service) *shardTable {
	e.mu.RLock()
	s := e.services[config.Name]
	e.mu.RUnlock()
	var previous *shardTable
	if s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, t := range s.tables {
			if t != nil && t.config == config {
				return t
			}
		}
		previous = s.tables[0]
	}
	return newTable(config, previous, &e.options)
}
