package scatter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// fault is what a fake replica does with one sub-request.
type fault int

const (
	faultNone          fault = iota
	faultLate                // replies 60 ms later
	faultDuplicate           // replies twice
	faultWrongSnapshot       // replies from its oldest snapshot
	faultPartial             // replies for the first half of the range
	faultWide                // replies for a wider range than requested
	faultQueueFull           // refuses because its queue is full
	faultRefusedTwice        // sends a refusal twice
	faultRanAndLost          // runs the sub-request, but its reply is lost
	faultLostUnrun           // doesn't run it, but the outcome is unknown
	faultSilent              // replies after a second
	faultForeignFirst        // sends a reply of another host first
	faultRepartitioned       // refuses because it doesn't hold the range any more
	faultCount               // number of faults
)

// oracle is a Sender over fake replicas. It knows which snapshots each replica holds
// and which sub-requests ran.
type oracle struct {
	mu         sync.Mutex
	random     *rand.Rand
	faults     []fault // one is drawn at random for each sub-request
	held       map[wire.ReplicaID]wire.SnapshotRange
	executions []execution
	cancelled  map[wire.SubRequestID]bool
}

// execution is one sub-request that a replica ran.
type execution struct {
	query          uint64 // index in the scenario, carried by the payload
	shard          uint32
	snapshot       uint64
	answeredRange  wire.LedgerRange // as stated by the reply
	requestedRange wire.LedgerRange
}

func (o *oracle) Send(subs []wire.SubRequest, done func([]wire.Reply)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, sub := range subs {
		kind := o.faults[o.random.IntN(len(o.faults))]
		delay := time.Duration(1+o.random.IntN(12)) * time.Millisecond
		if kind == faultLate {
			delay += 60 * time.Millisecond
		}
		time.AfterFunc(delay/2, func() {
			replies, wait := o.execute(sub, kind)
			time.AfterFunc(delay/2+wait, func() { done(replies[:1]) })
			if len(replies) > 1 {
				time.AfterFunc(delay/2+2*wait+time.Millisecond, func() { done(replies[1:]) })
			}
		})
	}
}

func (o *oracle) Cancel(ids []wire.SubRequestID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range ids {
		o.cancelled[id] = true
	}
}

// execute runs or refuses a sub-request. It returns its replies, foreign and
// duplicate ones included, and the additional delay after which they arrive.
func (o *oracle) execute(sub wire.SubRequest, kind fault) ([]wire.Reply, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	held := o.held[sub.Replica]
	reply := wire.Reply{
		ID: sub.ID, Replica: sub.Replica, Held: held, Range: sub.Range, Snapshot: sub.Snapshot,
		Load: wire.Load{Slots: 2, ServiceTime: 4 * time.Millisecond},
	}
	refuse := func(outcome wire.Outcome, reason wire.Reason) ([]wire.Reply, time.Duration) {
		reply.Outcome, reply.Reason = outcome, reason
		return []wire.Reply{reply}, 0
	}
	if reply.Snapshot == 0 {
		reply.Snapshot = held.Newest
	}
	switch {
	case o.cancelled[sub.ID]:
		return refuse(wire.NotRun, wire.ReasonCancelled)
	case kind == faultQueueFull:
		return refuse(wire.NotRun, wire.ReasonQueueFull)
	case kind == faultRefusedTwice:
		reply.Outcome, reply.Reason = wire.NotRun, wire.ReasonShed
		return []wire.Reply{reply, reply}, 0
	case kind == faultRepartitioned:
		return refuse(wire.NotRun, wire.ReasonRepartitioned)
	case kind == faultLostUnrun:
		return refuse(wire.Unknown, wire.ReasonConnLost)
	case !held.Contains(reply.Snapshot):
		return refuse(wire.NotRun, wire.ReasonSnapshotNotHeld)
	case kind == faultWrongSnapshot:
		reply.Snapshot = held.Oldest
	case kind == faultPartial:
		reply.Range.Hi -= reply.Range.Len() / 2
	case kind == faultWide:
		reply.Range = wire.LedgerRange{Lo: reply.Range.Lo - min(reply.Range.Lo, 3), Hi: reply.Range.Hi + 3}
	}
	reply.Outcome = wire.Answered
	query := uint64(sub.Payload[0])
	o.executions = append(o.executions, execution{query, sub.Shard, reply.Snapshot, reply.Range, sub.Range})
	for ledger := reply.Range.Lo; ledger < reply.Range.Hi; ledger++ {
		reply.Rows = append(reply.Rows, wire.Row{Ledger: ledger, Key: rowKey(query, reply.Snapshot, ledger)})
	}
	switch kind {
	case faultRanAndLost:
		return refuse(wire.Unknown, wire.ReasonConnLost)
	case faultSilent:
		return []wire.Reply{reply}, time.Second
	case faultDuplicate:
		return []wire.Reply{reply, reply}, 0
	case faultForeignFirst:
		foreign := reply
		foreign.ID.Host++
		foreign.Rows = []wire.Row{{Ledger: sub.Range.Lo, Key: "foreign"}}
		return []wire.Reply{foreign, reply}, 0
	}
	return []wire.Reply{reply}, 0
}

// result is the result of one query of a scenario.
type result struct {
	query   uint64
	request Query
	answer  *Answer
	err     error
}

// checkResult compares a result with the sub-requests that ran.
func (o *oracle) checkResult(r result) error {
	coverage, planned := CoverageOf(r.answer, r.err)
	if !planned {
		return errors.Errorf("query was not planned: %v", r.err)
	}
	if err := checkPartition(r.request, coverage); err != nil {
		return err
	}
	if r.answer != nil {
		return o.checkAnswer(r)
	}
	if _, notRun := r.err.(*NotRunError); notRun && coverage.Covered != 0 {
		return errors.Errorf("NotRunError covers %d ledgers", coverage.Covered)
	}
	return nil
}

// checkPartition checks that the included and missing ranges are disjoint and add
// up to the request.
func checkPartition(request Query, c Coverage) error {
	var set wire.RangeSet
	var total, covered uint64
	for _, i := range c.Included {
		covered += i.Range.Len()
		total += i.Range.Len()
		set = set.Add(i.Range)
	}
	for _, m := range c.Missing {
		if m.Reason == wire.ReasonNone {
			return errors.Errorf("missing range %v has no reason", m.Range)
		}
		total += m.Range.Len()
		set = set.Add(m.Range)
	}
	if covered != c.Covered || total != c.Requested || set.Len() != total {
		return errors.Errorf("coverage %+v doesn't add up: covered %d, total %d, distinct %d", c, covered, total, set.Len())
	}
	if request.Ledgers != nil && len(subtract(request.Ledgers, set)) > 0 {
		return errors.Errorf("requested %v, stated %v", request.Ledgers, set)
	}
	return nil
}

// checkAnswer checks that a sub-request ran for each covered ledger at the snapshot
// of the answer, and that the answer has exactly one row for each, of this query
// and snapshot.
func (o *oracle) checkAnswer(r result) error {
	a := r.answer
	want := map[uint64]bool{}
	for _, included := range a.Coverage.Included {
		for ledger := included.Range.Lo; ledger < included.Range.Hi; ledger++ {
			want[ledger] = true
			if !o.hasRun(r.query, included.Shard, a.Snapshot, ledger) {
				return errors.Errorf("ledger %d of shard %d was never run at snapshot %d", ledger, included.Shard, a.Snapshot)
			}
		}
	}
	for _, row := range a.Rows {
		if !want[row.Ledger] {
			return errors.Errorf("row of ledger %d is a duplicate or outside the coverage", row.Ledger)
		}
		delete(want, row.Ledger)
		if row.Key != rowKey(r.query, a.Snapshot, row.Ledger) {
			return errors.Errorf("row %q doesn't belong to the answer of query %d at snapshot %d", row.Key, r.query, a.Snapshot)
		}
	}
	if len(want) > 0 {
		return errors.Errorf("rows of %d covered ledgers are missing", len(want))
	}
	return nil
}

func (o *oracle) hasRun(query uint64, shard uint32, snapshot, ledger uint64) bool {
	for _, e := range o.executions {
		if e.query == query && e.shard == shard && e.snapshot == snapshot && e.answeredRange.Contains(ledger) {
			return true
		}
	}
	return false
}

// checkExecutions checks, after all sub-requests have ended, that no query with a
// NotRunError ran and that one that isn't repeatable ran at most once per ledger.
func (o *oracle) checkExecutions(results map[uint64]result) error {
	runs := map[string]int{}
	for _, e := range o.executions {
		r := results[e.query]
		if _, notRun := r.err.(*NotRunError); notRun {
			return errors.Errorf("query %d was reported as not run, but ran on shard %d", e.query, e.shard)
		}
		if r.request.Search != "call" {
			continue
		}
		both := e.answeredRange.Intersect(e.requestedRange)
		for ledger := both.Lo; ledger < both.Hi; ledger++ {
			key := fmt.Sprint(e.query, "/", ledger)
			if runs[key]++; runs[key] > 1 {
				return errors.Errorf("ledger %d of query %d ran twice", ledger, e.query)
			}
		}
	}
	return nil
}

// scenario is one run of the test as drawn by rapid.
type scenario struct {
	seed    uint64
	shards  int
	faults  []fault
	queries []drawnQuery
}

// drawnQuery is one query of a scenario and the changes that precede it.
type drawnQuery struct {
	search        string
	ledgers       wire.RangeSet
	advance       []uint64 // per replica: number of newer snapshots it gets
	concurrent    bool     // runs while the next one runs
	repartitioned bool     // a repartitioned configuration comes into force
}

func drawScenario(rt *rapid.T) scenario {
	s := scenario{
		seed:   rapid.Uint64().Draw(rt, "seed"),
		shards: rapid.IntRange(1, 4).Draw(rt, "shards"),
		faults: make([]fault, 4, 16),
	}
	for _, kind := range rapid.SliceOfN(rapid.IntRange(0, int(faultCount)-1), 0, 8).Draw(rt, "faults") {
		s.faults = append(s.faults, fault(kind))
	}
	ranges := rapid.Custom(func(rt *rapid.T) wire.LedgerRange {
		lo := rapid.Uint64Range(0, 45).Draw(rt, "lo")
		return wire.LedgerRange{Lo: lo, Hi: lo + rapid.Uint64Range(1, 12).Draw(rt, "length")}
	})
	for range rapid.IntRange(1, 6).Draw(rt, "queries") {
		q := drawnQuery{
			search:        rapid.SampledFrom([]string{"rota", "tours", "call"}).Draw(rt, "search"),
			advance:       rapid.SliceOfN(rapid.Uint64Range(0, 2), 8, 8).Draw(rt, "advance"),
			concurrent:    rapid.Bool().Draw(rt, "concurrent"),
			repartitioned: rapid.Bool().Draw(rt, "repartitioned"),
		}
		for _, r := range rapid.SliceOfN(ranges, 0, 3).Draw(rt, "ledgers") {
			q.ledgers = q.ledgers.Add(r)
		}
		s.queries = append(s.queries, q)
	}
	return s
}

// overlapShards extends the shards by an amount that depends on the version, so that
// neighbours overlap.
func overlapShards(config *release.Config, version uint64) *release.Config {
	config.Version = version
	shards := config.Services["mill"].Shards
	for i := range shards {
		shards[i].Range.Hi += version % 4
	}
	return config
}

// run executes a scenario in virtual time and returns the first violation that it
// finds.
func (s scenario) run(t *testing.T) (violation error) {
	o := &oracle{
		random: rand.New(rand.NewPCG(s.seed, 1)), faults: s.faults,
		held: map[wire.ReplicaID]wire.SnapshotRange{}, cancelled: map[wire.SubRequestID]bool{},
	}
	var mu sync.Mutex
	config := overlapShards(testConfig(s.shards, 2), 1)
	current := func() *release.Config {
		mu.Lock()
		defer mu.Unlock()
		return config
	}
	e := testEngine(t, o, func(options *Options) { options.Config = current })
	results := map[uint64]result{}
	var wg sync.WaitGroup
	for i, q := range s.queries {
		o.advanceSnapshots(config, q.advance)
		request := Query{
			Config: current(), Service: "mill", Search: q.search, Ledgers: q.ledgers,
			Deadline: 200 * time.Millisecond, Repeatable: true,
			Payload: []byte{byte(i)},
		}
		if q.repartitioned {
			mu.Lock()
			config = overlapShards(testConfig(s.shards, 2), uint64(i)+2)
			mu.Unlock()
		}
		wg.Go(func() {
			answer, err := e.Run(context.Background(), request)
			mu.Lock()
			defer mu.Unlock()
			results[uint64(i)] = result{uint64(i), request, answer, err}
		})
		if !q.concurrent {
			wg.Wait()
		}
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range results {
		if _, planned := CoverageOf(r.answer, r.err); !planned {
			continue
		}
		if err := o.checkResult(r); err != nil {
			return err
		}
	}
	return o.checkExecutions(results)
}

// advanceSnapshots makes each replica hold the newer snapshots of a drawn query.
func (o *oracle) advanceSnapshots(config *release.Config, advance []uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, shard := range config.Services["mill"].Shards {
		for _, r := range shard.Replicas {
			newest := max(o.held[r.Addr].Newest, 42) + advance[n%len(advance)]
			o.held[r.Addr] = wire.SnapshotRange{Oldest: newest - 2, Newest: newest}
			n++
		}
	}
}

// Guards against wrong answers, wrong coverage and repeated execution when replies
// are late, lost, duplicated, reordered, foreign, or for another snapshot or range.
func TestPromisesHoldAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var violation error
		synctest.Test(t, func(t *testing.T) { violation = s.run(t) })
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}
