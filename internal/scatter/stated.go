package scatter

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/balance"
)

// usualReplicas is the number of candidates that a choice holds without allocating.
const usualReplicas = 8

// selectByStatedLoad chooses a replica for an attempt of a part with balance.Choose, if a
// replica of the shard states its load. The second result is false if none does, or no
// replica is usable.
func (q *query) selectByStatedLoad(p *part, exclude uint64, now time.Time) (*replicaState, bool) {
	uncertaintyOf := q.engine.options.Uncertainty
	if uncertaintyOf == nil {
		return nil, false
	}
	var (
		candidateArray [usualReplicas]balance.Candidate
		replicaArray   [usualReplicas]*replicaState
	)
	candidates, replicas := candidateArray[:0], replicaArray[:0]
	best, anyStated := fitUnusable, false
	for _, r := range p.shard.replicas {
		uncertainty, stated := uncertaintyOf(r.id)
		anyStated = anyStated || stated
		if exclude&(1<<r.index) != 0 {
			continue
		}
		fit, score := q.evaluate(r, now)
		if fit == fitUnusable || fit > best {
			continue
		}
		if fit < best {
			best, candidates, replicas = fit, candidates[:0], replicas[:0]
		}
		candidates = append(candidates, balance.Candidate{Wait: score, Uncertainty: uncertainty})
		replicas = append(replicas, r)
	}
	if !anyStated || len(candidates) == 0 {
		return nil, false
	}
	return replicas[balance.Choose(candidates, q.uniform)], true
}

// uniform returns a random number in [0, 1).
func (q *query) uniform() float64 {
	const bits = 53 // of the significand of a float64
	return float64(q.random.Uint64()>>(64-bits)) / (1 << bits)
}
