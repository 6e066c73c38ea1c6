package bench

import (
	"fmt"
	"slices"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

const (
	maxSlowdown          = 1.5  // p99 latency with one slow replica ÷ p99 without
	maxExtraLoad         = 0.03 // extra load without a fault, below saturation
	minUsefulRatio       = 0.9  // answers at overloadedLoad ÷ answers at saturatedLoad
	maxLostShare         = 0.01 // share of queries at overloadedLoad that end neither answered nor not run
	earlyRefusalShare    = 0.25 // share of the latency goal within which a refusal must come
	normalLoad           = 0.7  // loads are offered queries ÷ nominal capacity
	overloadedLoad       = 1.3
	saturatedLoad        = 1.0
	maxCoverageCheckLoad = 0.95 // greatest load at which the coverage is checked
)

// GoalCheck is the comparison of one measured figure with one goal.
type GoalCheck struct {
	Goal   string
	Where  string // deployment, service, load and fault
	Figure float64
	Limit  float64 // a minimum for useful answers and coverage, else a maximum
	Met    bool
}

// String formats the check as one line.
func (c GoalCheck) String() string {
	verdict := "met"
	if !c.Met {
		verdict = "MISSED"
	}
	return fmt.Sprintf(checkFormat, verdict, c.Goal, c.Where, c.Figure, c.Limit)
}

const checkFormat = "%-6s %-22s %-52s figure %8.4f limit %8.4f"

// CheckGoals compares the results of PolicyDesign with the goals of the design. A
// goal whose cases are not among the results is left out.
func CheckGoals(deployments []Deployment, results []Result) []GoalCheck {
	var out []GoalCheck
	for _, d := range deployments {
		for index, shape := range d.Services {
			g := goalChecker{deployment: d, serviceIndex: index, shape: shape, results: results}
			out = append(out, g.checkSlowReplica()...)
			out = append(out, g.checkExtraLoad()...)
			out = append(out, g.checkOverload()...)
			out = append(out, g.checkCoverage()...)
		}
	}
	return out
}

// goalChecker checks the goals of one service of a deployment.
type goalChecker struct {
	deployment   Deployment
	serviceIndex int
	shape        ServiceShape
	results      []Result
}

// result returns the service's figures in the case with a load and a fault, or
// false if that case did not run.
func (g goalChecker) result(load float64, fault Fault) (ServiceResult, bool) {
	index := slices.IndexFunc(g.results, func(r Result) bool {
		return r.Deployment == g.deployment.Name && r.Policy == PolicyDesign && r.Load == load && r.Fault == fault
	})
	if index < 0 {
		return ServiceResult{}, false
	}
	return g.results[index].Services[g.serviceIndex], true
}

// caseLabel names a case and the service in the printed checks.
func (g goalChecker) caseLabel(load float64, fault Fault) string {
	return fmt.Sprintf("%s %s %.0f%% %s", g.deployment.Name, g.shape.Name, 100*load, fault)
}

func (g goalChecker) checkSlowReplica() []GoalCheck {
	with, ok := g.result(normalLoad, FaultSlowReplica)
	without, withoutOK := g.result(normalLoad, FaultNone)
	if !ok || !withoutOK || without.P99 == 0 {
		return nil
	}
	ratio := float64(with.P99) / float64(without.P99)
	return []GoalCheck{{"p99 with slow replica", g.caseLabel(normalLoad, FaultSlowReplica), ratio, maxSlowdown, ratio <= maxSlowdown}}
}

func (g goalChecker) checkExtraLoad() []GoalCheck {
	var out []GoalCheck
	for _, load := range []float64{0.3, normalLoad, 0.95, saturatedLoad, overloadedLoad} {
		if r, ok := g.result(load, FaultNone); ok && load < saturatedLoad {
			out = append(out, GoalCheck{"extra load, normal", g.caseLabel(load, FaultNone), r.ExtraLoad, maxExtraLoad, r.ExtraLoad <= maxExtraLoad})
		}
		if r, ok := g.result(load, FaultAllSlow); ok {
			out = append(out, GoalCheck{
				"extra load, all slow", g.caseLabel(load, FaultAllSlow), r.ExtraLoad, r.BudgetLimit, r.ExtraLoad <= r.BudgetLimit,
			})
		}
	}
	return out
}

func (g goalChecker) checkOverload() []GoalCheck {
	overloaded, ok := g.result(overloadedLoad, FaultNone)
	saturated, saturatedOK := g.result(saturatedLoad, FaultNone)
	if !ok || !saturatedOK || saturated.Answered == 0 {
		return nil
	}
	useful := float64(overloaded.Answered) / float64(saturated.Answered)
	lostShare := float64(overloaded.Unknown+overloaded.BelowCoverage) / float64(overloaded.Offered)
	limitMS := earlyRefusalShare * float64(g.deployment.LatencyGoal) / float64(time.Millisecond)
	refusedMS := float64(overloaded.RefusalP99) / float64(time.Millisecond)
	where := g.caseLabel(overloadedLoad, FaultNone)
	return []GoalCheck{
		{"useful answers", where, useful, minUsefulRatio, useful >= minUsefulRatio},
		{"neither answer nor not run", where, lostShare, maxLostShare, lostShare <= maxLostShare},
		{"refused early, p99 in ms", where, refusedMS, limitMS, refusedMS <= limitMS},
	}
}

// checkCoverage checks that no ledger is missing, because every fault leaves a
// replica of each shard. A search that waits only until its latency goal must reach
// its least coverage.
func (g goalChecker) checkCoverage() []GoalCheck {
	least := 1.0
	if g.deployment.WaitRule == release.WaitLatency {
		least = g.deployment.LeastCoverage
	}
	var out []GoalCheck
	for _, r := range g.results {
		if r.Deployment != g.deployment.Name || r.Policy != PolicyDesign || r.Load > maxCoverageCheckLoad || r.Fault == FaultAllSlow {
			continue
		}
		figure := r.Services[g.serviceIndex].Coverage
		out = append(out, GoalCheck{"coverage", g.caseLabel(r.Load, r.Fault), figure, least, figure >= least})
	}
	return out
}
