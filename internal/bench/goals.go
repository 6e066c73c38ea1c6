package bench

import (
	"fmt"
	"slices"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

const (
	maxSlowdown   = 1.5  // p99 with one slow replica ÷ p99 without
	maxExtra      = 0.03 // extra load in normal running
	leastUseful   = 0.9  // answers at 130 % of the capacity ÷ answers at 100 %
	maxLost       = 0.01 // share of queries at 130 % that end neither answered nor not run
	earlyShare    = 0.25 // of the latency goal, in which a refusal is given
	normalLoad    = 0.7
	overload      = 1.3
	saturation    = 1.0
	coverageLoads = 0.95 // greatest load at which coverage must be full
)

// Check is one goal compared with one figure.
type Check struct {
	Goal   string
	Where  string
	Figure float64
	Limit  float64
	Met    bool
}

// String formats the check as one line.
func (c Check) String() string {
	verdict := "met"
	if !c.Met {
		verdict = "MISSED"
	}
	return fmt.Sprintf(checkForm, verdict, c.Goal, c.Where, c.Figure, c.Limit)
}

const checkForm = "%-6s %-22s %-52s figure %8.4f limit %8.4f"

// Goals compares the results of the design's policy with its goals. Goals
// whose cases weren't run are left out.
func Goals(deployments []Deployment, results []Result) []Check {
	var out []Check
	for _, d := range deployments {
		for n, shape := range d.Services {
			g := goals{d: d, n: n, shape: shape, results: results}
			out = append(out, g.slowReplica()...)
			out = append(out, g.extraLoad()...)
			out = append(out, g.overload()...)
			out = append(out, g.coverage()...)
		}
	}
	return out
}

type goals struct {
	d       Deployment
	n       int
	shape   Shape
	results []Result
}

func (g goals) find(load float64, fault Fault) (ServiceResult, bool) {
	at := slices.IndexFunc(g.results, func(r Result) bool {
		return r.Deployment == g.d.Name && r.Policy == PolicyDesign && r.Load == load && r.Fault == fault
	})
	if at < 0 {
		return ServiceResult{}, false
	}
	return g.results[at].Services[g.n], true
}

func (g goals) where(load float64, fault Fault) string {
	return fmt.Sprintf("%s %s %.0f%% %s", g.d.Name, g.shape.Name, 100*load, fault)
}

func (g goals) slowReplica() []Check {
	with, ok := g.find(normalLoad, FaultSlow)
	without, ok2 := g.find(normalLoad, FaultNone)
	if !ok || !ok2 || without.P99 == 0 {
		return nil
	}
	ratio := float64(with.P99) / float64(without.P99)
	return []Check{{"p99 with slow replica", g.where(normalLoad, FaultSlow), ratio, maxSlowdown, ratio <= maxSlowdown}}
}

func (g goals) extraLoad() []Check {
	var out []Check
	for _, load := range []float64{0.3, normalLoad, 0.95, saturation, overload} {
		if r, ok := g.find(load, FaultNone); ok && load < saturation {
			out = append(out, Check{"extra load, normal", g.where(load, FaultNone), r.Extra, maxExtra, r.Extra <= maxExtra})
		}
		if r, ok := g.find(load, FaultSlowness); ok {
			out = append(out, Check{
				"extra load, all slow", g.where(load, FaultSlowness), r.Extra, r.BudgetLimit, r.Extra <= r.BudgetLimit,
			})
		}
	}
	return out
}

func (g goals) overload() []Check {
	over, ok := g.find(overload, FaultNone)
	full, ok2 := g.find(saturation, FaultNone)
	if !ok || !ok2 || full.Answered == 0 {
		return nil
	}
	useful := float64(over.Answered) / float64(full.Answered)
	lost := float64(over.Unknown+over.Below) / float64(over.Offered)
	early := earlyShare * float64(g.d.Goal) / float64(time.Millisecond)
	late := float64(over.RefusedAfter) / float64(time.Millisecond)
	where := g.where(overload, FaultNone)
	return []Check{
		{"useful answers", where, useful, leastUseful, useful >= leastUseful},
		{"neither answer nor not run", where, lost, maxLost, lost <= maxLost},
		{"refused early, p99 in ms", where, late, early, late <= early},
	}
}

// coverage checks that nothing is missing while a replica of each shard
// lives. A search that waits for its latency goal only must reach its least
// coverage.
func (g goals) coverage() []Check {
	least := 1.0
	if g.d.Wait == release.WaitLatency {
		least = g.d.Least
	}
	var out []Check
	for _, r := range g.results {
		if r.Deployment != g.d.Name || r.Policy != PolicyDesign || r.Load > coverageLoads || r.Fault == FaultSlowness {
			continue
		}
		figure := r.Services[g.n].Coverage
		out = append(out, Check{"coverage", g.where(r.Load, r.Fault), figure, least, figure >= least})
	}
	return out
}
