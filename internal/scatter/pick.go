package scatter

import "time"

// maxTried is the number of replicas of a shard whose attempts are told apart.
const maxTried = 63

// pick chooses a replica for an attempt of a part: of two random candidates
// of the best fitness the one with the smaller score. It returns nil if no
// replica outside the excluded ones is usable.
func (q *query) pick(p *part, exclude uint64, now time.Time) *replica {
	var (
		best  = fitNone
		seen  uint64
		first *replica
		other *replica
		costs [2]time.Duration
	)
	for _, r := range p.shard.replicas {
		if exclude&(1<<r.index) != 0 {
			continue
		}
		fit, score := r.judge(now, q.snapshot)
		if fit == fitNone || fit > best {
			continue
		}
		if fit < best {
			best, seen, first, other = fit, 0, nil, nil
		}
		// Reservoir sampling of two candidates, so that no list is built.
		seen++
		switch {
		case first == nil:
			first, costs[0] = r, score
		case other == nil:
			other, costs[1] = r, score
		default:
			switch q.random.Uint64() % seen {
			case 0:
				first, costs[0] = r, score
			case 1:
				other, costs[1] = r, score
			}
		}
	}
	if other != nil && (costs[1] < costs[0] || costs[1] == costs[0] && q.random.Uint64()&1 == 0) {
		return other
	}
	return first
}
