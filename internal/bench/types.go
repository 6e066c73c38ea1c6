// Package bench measures query policies in virtual time: the real scatter,
// admit and owner packages run on simulated hosts over simulated replicas and
// links. It is driven by its tests, because testing/synctest needs one.
package bench

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

// Fault is what goes wrong when the measurement begins.
type Fault string

// The faults of the bench.
const (
	FaultNone     Fault = "none"
	FaultSlow     Fault = "slow_replica" // one replica of the first service, 10 times slower
	FaultLost     Fault = "lost_replica" // one replica of the first service
	FaultCold     Fault = "cold_start"   // measured from the start of all hosts
	FaultHost     Fault = "host_killed"
	FaultCut      Fault = "data_centre_cut"
	FaultSilent   Fault = "silent_connection"
	FaultSlowness Fault = "all_slow" // every replica, 4 times slower
)

// Faults lists all faults.
var Faults = []Fault{FaultNone, FaultSlow, FaultLost, FaultCold, FaultHost, FaultCut, FaultSilent, FaultSlowness}

// Policy is a way to choose replicas and to use their slots.
type Policy string

// The policies of the bench. All but the design's are baselines.
const (
	PolicyDesign    Policy = "design"
	PolicyRandom    Policy = "random"          // random replica, no hedges
	PolicyOwnCounts Policy = "own_counts"      // no owners: each host counts for itself
	PolicyUnbounded Policy = "unbounded_hedge" // hedges and retries without a budget
	PolicyGrants    Policy = "random_grants"   // slots matched with waiting work at random
)

// Policies lists all policies.
var Policies = []Policy{PolicyDesign, PolicyRandom, PolicyOwnCounts, PolicyUnbounded, PolicyGrants}

// Deployment is the shape of one user's installation.
type Deployment struct {
	Name        string
	DataCentres []string
	Delay       time.Duration // one way between data centres
	Wait        release.WaitRule
	Least       float64 // least coverage
	Goal        time.Duration
	Deadline    time.Duration
	Services    []Shape
}

// Shape is the size of one service.
type Shape struct {
	Name        string
	Shards      int
	Replicas    int // per shard
	Slots       uint32
	Connections uint32
	ConnectCost time.Duration
}

// Case is one run of the bench.
type Case struct {
	Deployment Deployment
	Policy     Policy
	Load       float64 // share of the nominal capacity
	Fault      Fault
	Seed       uint64
	Warm       time.Duration // under load before the measurement
	Measure    time.Duration
}

// ServiceResult is what one service's queries saw.
type ServiceResult struct {
	Service  string        `json:"service"`
	Offered  int           `json:"offered"` // queries
	Answered int           `json:"answered"`
	Refused  int           `json:"refused"` // not run
	Unknown  int           `json:"unknown"`
	Below    int           `json:"below_coverage"`
	P50      time.Duration `json:"p50_ns"`
	P99      time.Duration `json:"p99_ns"`
	P999     time.Duration `json:"p999_ns"`
	// Coverage is covered ÷ requested ledgers of the queries that ran, on
	// hosts that weren't cut off.
	Coverage float64 `json:"coverage"`
	// Extra is sub-requests ÷ the least possible number, minus 1.
	Extra   float64 `json:"extra_load"`
	Hedges  int     `json:"hedges"`
	Retries int     `json:"retries"`
	// BudgetLimit is the greatest extra load that the budget allows.
	BudgetLimit float64 `json:"budget_limit"`
	// RefusedAfter is the p99 of the time until a refusal.
	RefusedAfter time.Duration `json:"refused_after_p99_ns"`
}

// Result is the outcome of one case.
type Result struct {
	Deployment string          `json:"deployment"`
	Policy     Policy          `json:"policy"`
	Load       float64         `json:"load"`
	Fault      Fault           `json:"fault"`
	Seed       uint64          `json:"seed"`
	Services   []ServiceResult `json:"services"`
	// Idle is the share of slot time without work, over all live replicas.
	Idle float64 `json:"idle_slot_share"`
	// Cut counts queries on a host that was killed.
	Cut int `json:"cut_off"`
}
