// Package bench compares query policies in virtual time. The real packages
// scatter, admit and owner run on simulated hosts; replicas and links are
// simulated. Its tests start the cases, because a testing/synctest bubble exists
// only within a test.
package bench

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

// Fault is the fault that a case injects. It begins with the measurement, except
// for FaultSlowReplica, which begins before the warm-up.
type Fault string

// The faults that a case can inject.
const (
	FaultNone        Fault = "none"
	FaultSlowReplica Fault = "slow_replica"      // one replica of the first service is 10 times slower
	FaultLostReplica Fault = "lost_replica"      // one replica of the first service goes down
	FaultCold        Fault = "cold_start"        // the measurement begins when the hosts start
	FaultHost        Fault = "host_killed"       // the first host is killed
	FaultCut         Fault = "data_centre_cut"   // the third data centre is cut off from the others
	FaultSilent      Fault = "silent_connection" // one connection to a replica of the first service stops answering
	FaultAllSlow     Fault = "all_slow"          // every replica is 4 times slower
)

// Faults lists all faults.
var Faults = []Fault{FaultNone, FaultSlowReplica, FaultLostReplica, FaultCold, FaultHost, FaultCut, FaultSilent, FaultAllSlow}

// Policy is a way to choose replicas and to share out their slots.
type Policy string

// The policies that are compared. All but PolicyDesign are baselines.
const (
	PolicyDesign       Policy = "design"
	PolicyRandom       Policy = "random"          // a random replica of the shard, no hedges
	PolicyOwnCounts    Policy = "own_counts"      // no owners: each host sends to the replicas itself and knows only its own load
	PolicyUnbounded    Policy = "unbounded_hedge" // hedges and retries without a budget
	PolicyRandomGrants Policy = "random_grants"   // free slots are matched with waiting sub-requests at random
)

// Policies lists all policies, the design's first.
var Policies = []Policy{PolicyDesign, PolicyRandom, PolicyOwnCounts, PolicyUnbounded, PolicyRandomGrants}

// Deployment describes the installation of one user.
type Deployment struct {
	Name          string
	DataCentres   []string
	Delay         time.Duration    // one-way delay between data centres
	WaitRule      release.WaitRule // what a search waits for
	LeastCoverage float64          // least coverage of a search, 0 to 1
	LatencyGoal   time.Duration    // latency goal of a search
	Deadline      time.Duration    // of a search
	Services      []ServiceShape
}

// ServiceShape describes one service of a deployment.
type ServiceShape struct {
	Name        string
	Shards      int
	Replicas    int           // per shard
	Slots       uint32        // per replica
	Connections uint32        // limit per replica
	ConnectCost time.Duration // time to open a connection, without the round trip
}

// Case is one run of the bench.
type Case struct {
	Deployment Deployment
	Policy     Policy
	Load       float64 // offered queries ÷ nominal capacity
	Fault      Fault
	Seed       uint64
	WarmUp     time.Duration // time under load before the measurement; not used by FaultCold
	Measure    time.Duration // time in which the measured queries start
}

// ServiceResult holds the figures of one service's queries. Latencies are those
// of answered queries.
type ServiceResult struct {
	Service       string        `json:"service"`
	Offered       int           `json:"offered"` // queries that started in the measurement
	Answered      int           `json:"answered"`
	Refused       int           `json:"refused"` // ended as not run
	Unknown       int           `json:"unknown"`
	BelowCoverage int           `json:"below_coverage"` // ended below the least coverage
	P50           time.Duration `json:"p50_ns"`
	P99           time.Duration `json:"p99_ns"`
	P999          time.Duration `json:"p999_ns"`
	// Coverage is covered ÷ requested ledgers of the queries that ran on hosts
	// of data centres that were not cut off.
	Coverage float64 `json:"coverage"`
	// ExtraLoad is the number of sub-requests ÷ the least possible number, minus 1.
	// The least possible number is one per query and shard.
	ExtraLoad float64 `json:"extra_load"`
	Hedges    int     `json:"hedges"`
	Retries   int     `json:"retries"`
	// BudgetLimit is the greatest value of ExtraLoad that the budget for hedges and
	// retries allows.
	BudgetLimit float64 `json:"budget_limit"`
	// RefusalP99 is the 99th percentile of the time until a refusal.
	RefusalP99 time.Duration `json:"refused_after_p99_ns"`
}

// Result is the outcome of one case.
type Result struct {
	Deployment string          `json:"deployment"`
	Policy     Policy          `json:"policy"`
	Load       float64         `json:"load"`
	Fault      Fault           `json:"fault"`
	Seed       uint64          `json:"seed"`
	Services   []ServiceResult `json:"services"`
	// IdleSlotShare is the share of slot time without work, over all replicas that
	// did not go down.
	IdleSlotShare float64 `json:"idle_slot_share"`
	// CutOff is the number of queries whose host was killed before they ended.
	CutOff int `json:"cut_off"`
}
