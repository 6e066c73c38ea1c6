package explain

import (
	"math"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// choiceOf returns the choice that scatter would make for a first try: the candidate with the
// least expected time, one of them at random. Where replicas state their load, others may be
// chosen too, the less likely the more their expected time is above that.
func choiceOf(replicas []release.Replica, facts map[wire.ReplicaID]Facts) Choice {
	var candidates []candidate
	lastResort, byLoad := true, false
	for _, r := range replicas {
		f, known := facts[r.Addr]
		byLoad = byLoad || f.StatesLoad
		if !known || f.Obstacle != ReasonNone || f.ReportsDraining {
			continue
		}
		if !f.LastResort && lastResort {
			candidates, lastResort = nil, false
		}
		if f.LastResort == lastResort {
			candidates = append(candidates, candidate{addr: string(r.Addr), wait: f.Wait + f.Price, uncertainty: f.Uncertainty})
		}
	}
	return chooseFrom(candidates, byLoad)
}

// candidate is a replica that may be chosen.
type candidate struct {
	addr              string
	wait, uncertainty time.Duration
}

func chooseFrom(candidates []candidate, byLoad bool) Choice {
	choice := Choice{Least: []string{}}
	least := time.Duration(math.MaxInt64)
	var best candidate // the first with the least wait, as in balance.Choose
	for _, c := range candidates {
		if c.wait < least {
			least, best = c.wait, c
		}
	}
	for _, c := range candidates {
		switch {
		case c.wait == least:
			choice.Least = append(choice.Least, c.addr)
			choice.Candidates++
		case byLoad && c.uncertainty+best.uncertainty > 0:
			choice.Candidates++
		}
	}
	return choice
}
