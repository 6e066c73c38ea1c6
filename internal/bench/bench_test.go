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
	full     = flag.Bool("policies", false, "run the whole policy bench")
	only     = flag.String("only", "", "comma-separated words that a case's name must contain")
	linesOut = flag.String("lines", "", "file for the JSON lines")
	seed     = flag.Uint64("seed", 1, "seed of all random choices")
)

const (
	warm    = 1000 * time.Millisecond
	measure = 2 * time.Second
)

func (c Case) name() string {
	return strings.Join([]string{
		c.Deployment.Name, string(c.Policy), "load" + ms(time.Duration(c.Load*float64(100*time.Millisecond))), string(c.Fault),
	}, "/")
}

var deployments = []Deployment{Ganna(), Huber()}

// baselineFaults are the faults that baselines are compared under.
var baselineFaults = []Fault{FaultNone, FaultSlow, FaultLost, FaultSlowness}

// runAll runs cases in parallel, each in its own virtual time.
func runAll(t *testing.T, cases []Case) []Result {
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

// matrix lists all cases of the policy bench.
func matrix() []Case {
	var cases []Case
	for _, d := range deployments {
		for _, p := range Policies {
			for _, load := range []float64{0.3, 0.7, 0.95, 1, 1.3} {
				for _, f := range Faults {
					if load == 1 && f != FaultNone || p != PolicyDesign && !slices.Contains(baselineFaults, f) {
						continue // a load of 100 % is only compared with 130 %
					}
					cases = append(cases, Case{
						Deployment: d, Policy: p, Load: load, Fault: f, Seed: *seed, Warm: warm, Measure: measure,
					})
				}
			}
		}
	}
	return cases
}

// TestPolicies prints the table of all policies; run it by "make bench".
func TestPolicies(t *testing.T) {
	if !*full {
		t.Skip("needs -policies; TestGoals runs a subset")
	}
	began := time.Now()
	cases := slices.DeleteFunc(matrix(), func(c Case) bool {
		for _, word := range strings.Split(*only, ",") {
			if !strings.Contains(c.name(), word) {
				return true
			}
		}
		return false
	})
	results := runAll(t, cases)
	if err := WriteTable(os.Stdout, results); err != nil {
		t.Fatal(err)
	}
	for _, check := range Goals(deployments, results) {
		if !check.Met || testing.Verbose() {
			fmt.Println(check)
		}
	}
	if *linesOut != "" {
		file, err := os.Create(*linesOut)
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		if err := WriteLines(file, results); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%d cases in %v on %d cores", len(cases), time.Since(began).Round(time.Second), runtime.GOMAXPROCS(0))
}

// Guards the goals of the design against changes of the policies. The bounds
// are the goals themselves, not measured figures.
func TestGoals(t *testing.T) {
	var cases []Case
	for _, c := range []struct {
		load    float64
		fault   Fault
		measure time.Duration
	}{
		{normalLoad, FaultNone, 2 * measure},
		{normalLoad, FaultSlow, 2 * measure},
		{saturation, FaultNone, measure},
		{overload, FaultNone, measure},
		{0.3, FaultLost, measure / 2},
		{0.3, FaultHost, measure / 2},
	} {
		cases = append(cases, Case{
			Deployment: Ganna(), Policy: PolicyDesign, Load: c.load, Fault: c.fault,
			Seed: 1, Warm: warm, Measure: c.measure,
		})
	}
	for _, check := range Goals([]Deployment{Ganna()}, runAll(t, cases)) {
		if !check.Met {
			t.Error(check)
		}
	}
}
