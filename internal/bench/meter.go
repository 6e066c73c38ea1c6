package bench

import (
	"errors"
	"slices"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/scatter"
)

// meter collects the results of one service's queries.
type meter struct {
	shape     Shape
	offered   int
	answered  []time.Duration
	refused   []time.Duration
	unknown   int
	below     int
	ran       int
	sent      int
	hedges    int
	retries   int
	requested uint64
	covered   uint64
}

// record takes the result of one query that began in the measurement.
func (sim *simulation) record(h *host, shape Shape, began time.Time, answer *scatter.Answer, err error) {
	took := time.Since(began)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.began.IsZero() || began.Before(sim.began) {
		return
	}
	if h.killed.Load() {
		sim.cutOff++
		return
	}
	m := sim.meters[shape.Name]
	m.offered++
	work := scatter.Work{}
	notRun, isNotRun := errors.AsType[*scatter.NotRunError](err)
	below, isBelow := errors.AsType[*scatter.BelowCoverageError](err)
	unknown, isUnknown := errors.AsType[*scatter.UnknownError](err)
	switch {
	case answer != nil:
		work = answer.Work
		m.answered = append(m.answered, took)
	case isNotRun:
		work = notRun.Work
		m.refused = append(m.refused, took)
	case isBelow:
		work = below.Work
		m.below++
	case isUnknown:
		work = unknown.Work
		m.unknown++
	}
	if work.FirstTries > 0 {
		m.ran++
		m.hedges += work.Hedges
		m.retries += work.Retries
		m.sent += work.FirstTries + work.Hedges + work.Retries
	}
	isolated := sim.Fault == FaultCut && h.centre == sim.Deployment.DataCentres[cutCentre]
	if coverage, ok := scatter.CoverageOf(answer, err); ok && !isNotRun && !isolated {
		m.requested += coverage.Requested
		m.covered += coverage.Covered
	}
}

func percentile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// result states the use of the slots up to now.
func (sim *simulation) result(now time.Time) Result {
	var busy, total time.Duration
	for _, s := range sim.servers {
		s.mu.Lock()
		if !s.lost {
			busy += s.busyTime
			total += time.Duration(s.shape.Slots) * now.Sub(sim.began)
		}
		s.mu.Unlock()
	}
	return Result{
		Deployment: sim.Deployment.Name, Policy: sim.Policy, Load: sim.Load, Fault: sim.Fault, Seed: sim.Seed,
		Idle: 1 - float64(busy)/float64(total),
	}
}

// summarize adds the figures of the services.
func (sim *simulation) summarize(r *Result) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	r.Cut = sim.cutOff
	for _, shape := range sim.Deployment.Services {
		m := sim.meters[shape.Name]
		slices.Sort(m.answered)
		slices.Sort(m.refused)
		s := ServiceResult{
			Service: shape.Name, Offered: m.offered, Answered: len(m.answered), Refused: len(m.refused),
			Unknown: m.unknown, Below: m.below, Coverage: 1,
			Hedges: m.hedges, Retries: m.retries,
			P50: percentile(m.answered, 0.5), P99: percentile(m.answered, 0.99), P999: percentile(m.answered, 0.999),
			RefusedAfter: percentile(m.refused, 0.99),
		}
		if m.requested > 0 {
			s.Coverage = float64(m.covered) / float64(m.requested)
		}
		if least := m.ran * shape.Shards; least > 0 {
			s.Extra = float64(m.sent)/float64(least) - 1
			s.BudgetLimit = extraLoad + float64(extraBurst*len(sim.hosts))/float64(least)
		}
		r.Services = append(r.Services, s)
	}
}

// The budget of a service per host when its configuration names none.
const (
	extraLoad  = 0.03 // hedges and retries per first try
	extraBurst = 200  // hedges and retries
)
