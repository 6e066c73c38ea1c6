package bench

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var (
	allPolicies = flag.Bool("policies", false, "run all cases of the policy bench")
	nameFilter  = flag.String("only", "", "comma-separated substrings, all of which a case's name must contain")
	linesFile   = flag.String("lines", "", "file to write the results to as JSON lines")
	seed        = flag.Uint64("seed", 1, "seed of all random choices")
)

const (
	warmUp  = 1000 * time.Millisecond
	measure = 2 * time.Second
)

// name returns the case's name as a subtest, with the load in percent.
func (c Case) name() string {
	return strings.Join([]string{
		c.Deployment.Name, string(c.Policy), "load" + formatMS(time.Duration(c.Load*float64(100*time.Millisecond))), string(c.Fault),
	}, "/")
}

var deployments = []Deployment{Ganna(), Huber()}

// baselineFaults are the faults under which the baselines run.
var baselineFaults = []Fault{FaultNone, FaultSlowReplica, FaultLostReplica, FaultAllSlow}

// runCases runs cases in parallel, each in its own synctest bubble, and returns
// their results in the same order.
func runCases(t *testing.T, cases []Case) []Result {
	t.Helper()
	results := make([]Result, len(cases))
	var mu sync.Mutex
	t.Run("cases", func(t *testing.T) {
		for i, c := range cases {
			t.Run(c.name(), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					r, err := Run(c)
					if err != nil {
						t.Error(err)
					}
					mu.Lock()
					results[i] = r
					mu.Unlock()
				})
			})
		}
	})
	return results
}

// policyCases returns all cases of the policy bench.
func policyCases() []Case {
	var cases []Case
	for _, d := range deployments {
		for _, p := range Policies {
			for _, load := range []float64{0.3, 0.7, 0.95, 1, 1.3} {
				for _, f := range Faults {
					if load == 1 && f != FaultNone || p != PolicyDesign && !slices.Contains(baselineFaults, f) {
						continue // load 1 only serves the comparison with 1.3 without a fault
					}
					cases = append(cases, Case{
						Deployment: d, Policy: p, Load: load, Fault: f, Seed: *seed, WarmUp: warmUp, Measure: measure,
					})
				}
			}
		}
	}
	return cases
}

// TestPolicies prints a table of the results of all policies and the goals that
// were missed. Run it with "make bench".
func TestPolicies(t *testing.T) {
	if !*allPolicies {
		t.Skip("not run without -policies; TestGoals runs a subset of the cases")
	}
	start := time.Now()
	cases := slices.DeleteFunc(policyCases(), func(c Case) bool {
		for _, word := range strings.Split(*nameFilter, ",") {
			if !strings.Contains(c.name(), word) {
				return true
			}
		}
		return false
	})
	results := runCases(t, cases)
	if err := WriteTable(os.Stdout, results); err != nil {
		t.Fatal(err)
	}
	for _, check := range CheckGoals(deployments, results) {
		if !check.Met || testing.Verbose() {
			fmt.Println(check)
		}
	}
	if *linesFile != "" {
		file, err := os.Create(*linesFile)
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		if err := WriteLines(file, results); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%d cases in %v on %d cores", len(cases), time.Since(start).Round(time.Second), runtime.GOMAXPROCS(0))
}

// TestGoals checks that PolicyDesign meets the goals of the design on a subset of
// the cases. It guards against a change of the query path that misses a goal.
func TestGoals(t *testing.T) {
	var cases []Case
	for _, c := range []struct {
		load    float64
		fault   Fault
		measure time.Duration
	}{
		{normalLoad, FaultNone, 2 * measure},
		{normalLoad, FaultSlowReplica, 2 * measure},
		{saturatedLoad, FaultNone, measure},
		{overloadedLoad, FaultNone, measure},
		{0.3, FaultLostReplica, measure / 2},
		{0.3, FaultHost, measure / 2},
	} {
		cases = append(cases, Case{
			Deployment: Ganna(), Policy: PolicyDesign, Load: c.load, Fault: c.fault,
			Seed: 1, WarmUp: warmUp, Measure: c.measure,
		})
	}
	for _, check := range CheckGoals([]Deployment{Ganna()}, runCases(t, cases)) {
		if !check.Met {
			t.Error(check)
		}
	}
}
