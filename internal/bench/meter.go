package bench

import (
	"errors"
	"slices"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/scatter"
)

// meter collects the results of one service's queries during the measurement.
type meter struct {
	shape            ServiceShape
	offered          int
	answerLatencies  []time.Duration
	refusalLatencies []time.Duration
	unknown          int
	belowCoverage    int
	queriesRun       int
	subsSent         int
	hedges           int
	retries          int
	requestedLedgers uint64
	coveredLedgers   uint64
}

// recordQuery adds the result of one query, which ends now, to the meter of its
// service. Queries that started before the measurement are left out, and queries
// of a killed host are counted as cut off only.
func (sim *simulation) recordQuery(h *host, shape ServiceShape, start time.Time, answer *scatter.Answer, err error) {
	latency := time.Since(start)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.measureStart.IsZero() || start.Before(sim.measureStart) {
		return
	}
	if h.killed.Load() {
		sim.cutOffQueries++
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
		m.answerLatencies = append(m.answerLatencies, latency)
	case isNotRun:
		work = notRun.Work
		m.refusalLatencies = append(m.refusalLatencies, latency)
	case isBelow:
		work = below.Work
		m.belowCoverage++
	case isUnknown:
		work = unknown.Work
		m.unknown++
	}
	if work.FirstTries > 0 {
		m.queriesRun++
		m.hedges += work.Hedges
		m.retries += work.Retries
		m.subsSent += work.FirstTries + work.Hedges + work.Retries
	}
	isolated := sim.Fault == FaultCut && h.dataCentre == sim.Deployment.DataCentres[cutDataCentreIndex]
	if coverage, ok := scatter.CoverageOf(answer, err); ok && !isNotRun && !isolated {
		m.requestedLedgers += coverage.Requested
		m.coveredLedgers += coverage.Covered
	}
}

// percentile returns the q-quantile of sorted durations, with q from 0 to 1, or 0 if
// there are none.
func percentile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// slotResult returns a result with the share of idle slot time since the
// measurement began. The figures of the services are added by addServiceResults.
func (sim *simulation) slotResult(now time.Time) Result {
	var busy, total time.Duration
	for _, s := range sim.servers {
		s.mu.Lock()
		if !s.down {
			busy += s.busyTime
			total += time.Duration(s.shape.Slots) * now.Sub(sim.measureStart)
		}
		s.mu.Unlock()
	}
	return Result{
		Deployment: sim.Deployment.Name, Policy: sim.Policy, Load: sim.Load, Fault: sim.Fault, Seed: sim.Seed,
		IdleSlotShare: 1 - float64(busy)/float64(total),
	}
}

// addServiceResults adds the number of cut-off queries and the figures of the
// services to a result.
func (sim *simulation) addServiceResults(r *Result) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	r.CutOff = sim.cutOffQueries
	for _, shape := range sim.Deployment.Services {
		m := sim.meters[shape.Name]
		slices.Sort(m.answerLatencies)
		slices.Sort(m.refusalLatencies)
		s := ServiceResult{
			Service: shape.Name, Offered: m.offered, Answered: len(m.answerLatencies), Refused: len(m.refusalLatencies),
			Unknown: m.unknown, BelowCoverage: m.belowCoverage, Coverage: 1,
			Hedges: m.hedges, Retries: m.retries,
			P50: percentile(m.answerLatencies, 0.5), P99: percentile(m.answerLatencies, 0.99), P999: percentile(m.answerLatencies, 0.999),
			RefusalP99: percentile(m.refusalLatencies, 0.99),
		}
		if m.requestedLedgers > 0 {
			s.Coverage = float64(m.coveredLedgers) / float64(m.requestedLedgers)
		}
		if leastSubs := m.queriesRun * shape.Shards; leastSubs > 0 {
			s.ExtraLoad = float64(m.subsSent)/float64(leastSubs) - 1
			s.BudgetLimit = defaultExtraLoad + float64(defaultExtraBurst*len(sim.hosts))/float64(leastSubs)
		}
		r.Services = append(r.Services, s)
	}
}

// The budget for hedges and retries that a host has for a service whose
// configuration names none.
const (
	defaultExtraLoad  = 0.03 // hedges and retries per first try
	defaultExtraBurst = 200  // hedges and retries allowed above that share
)
