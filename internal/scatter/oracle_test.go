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
	faultNone fault = iota
	faultLate
	faultDuplicate
	faultWrongSnapshot
	faultPartial
	faultWide
	faultQueueFull
	faultRefusedTwice
	faultRanAndLost
	faultLostUnrun
	faultSilent
	faultForeignFirst
	faultRepartitioned
	faultCount
)

// oracle is a Sender over fake replicas that knows what each one held and ran.
type oracle struct {
	mu        sync.Mutex
	random    *rand.Rand
	faults    []fault // drawn per sub-request; the random source picks one
	held      map[wire.ReplicaID]wire.Held
	ran       []execution
	cancelled map[wire.SubID]bool
}

// execution is one sub-request that a replica ran.
type execution struct {
	query    uint64 // number in the scenario, carried by the payload
	shard    uint32
	snapshot uint64
	ranges   wire.KeyRange // as the reply states them
	asked    wire.KeyRange
}

func (o *oracle) Send(subs []wire.Sub, done func([]wire.Reply)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, sub := range subs {
		kind := o.faults[o.random.IntN(len(o.faults))]
		delay := time.Duration(1+o.random.IntN(12)) * time.Millisecond
		if kind == faultLate {
			delay += 60 * time.Millisecond
		}
		time.AfterFunc(delay/2, func() {
			replies, wait := o.run(sub, kind)
			time.AfterFunc(delay/2+wait, func() { done(replies[:1]) })
			if len(replies) > 1 {
				time.AfterFunc(delay/2+2*wait+time.Millisecond, func() { done(replies[1:]) })
			}
		})
	}
}

func (o *oracle) Cancel(ids []wire.SubID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range ids {
		o.cancelled[id] = true
	}
}

// run executes or refuses a sub-request and returns its replies, foreign and
// duplicate ones included, and a further delay.
func (o *oracle) run(sub wire.Sub, kind fault) ([]wire.Reply, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	held := o.held[sub.Replica]
	reply := wire.Reply{
		ID: sub.ID, Replica: sub.Replica, Held: held, Range: sub.Range, Snapshot: sub.Snapshot,
		Load: wire.Load{Slots: 2, Service: 4 * time.Millisecond},
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
	case !held.Has(reply.Snapshot):
		return refuse(wire.NotRun, wire.ReasonSnapshotGone)
	case kind == faultWrongSnapshot:
		reply.Snapshot = held.Oldest
	case kind == faultPartial:
		reply.Range.Hi -= reply.Range.Len() / 2
	case kind == faultWide:
		reply.Range = wire.KeyRange{Lo: reply.Range.Lo - min(reply.Range.Lo, 3), Hi: reply.Range.Hi + 3}
	}
	reply.Outcome = wire.Answered
	query := uint64(sub.Payload[0])
	o.ran = append(o.ran, execution{query, sub.Shard, reply.Snapshot, reply.Range, sub.Range})
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

// result is one finished query of the stateful test.
type result struct {
	query   uint64
	request Query
	answer  *Answer
	err     error
}

// check compares a result with what the oracle ran.
func (o *oracle) check(r result) error {
	coverage, planned := CoverageOf(r.answer, r.err)
	if !planned {
		return errors.Errorf("query wasn't planned: %v", r.err)
	}
	if err := checkPartition(r.request, coverage); err != nil {
		return err
	}
	if r.answer != nil {
		return o.checkAnswer(r)
	}
	if _, notRun := r.err.(*NotRunError); notRun && coverage.Covered != 0 {
		return errors.Errorf("not run covers %d ledgers", coverage.Covered)
	}
	return nil
}

// checkPartition checks that included and missing ranges split the request.
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
			return errors.Errorf("gap %v has no reason", m.Range)
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

// checkAnswer checks promises 1 to 3 on one answer.
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
			return errors.Errorf("row %q in the answer of query %d at snapshot %d", row.Key, r.query, a.Snapshot)
		}
	}
	if len(want) > 0 {
		return errors.Errorf("rows of %d covered ledgers are missing", len(want))
	}
	return nil
}

func (o *oracle) hasRun(query uint64, shard uint32, snapshot, ledger uint64) bool {
	for _, e := range o.ran {
		if e.query == query && e.shard == shard && e.snapshot == snapshot && e.ranges.Contains(ledger) {
			return true
		}
	}
	return false
}

// checkRuns checks promises 4 and 5 after every sub-request has ended.
func (o *oracle) checkRuns(results map[uint64]result) error {
	runs := map[string]int{}
	for _, e := range o.ran {
		r := results[e.query]
		if _, notRun := r.err.(*NotRunError); notRun {
			return errors.Errorf("query %d was reported as not run and ran on shard %d", e.query, e.shard)
		}
		if r.request.Search != "call" {
			continue
		}
		both := e.ranges.Intersect(e.asked)
		for ledger := both.Lo; ledger < both.Hi; ledger++ {
			key := fmt.Sprint(e.query, "/", ledger)
			if runs[key]++; runs[key] > 1 {
				return errors.Errorf("ledger %d of query %d ran twice", ledger, e.query)
			}
		}
	}
	return nil
}

// scenario is one drawn run of the stateful test.
type scenario struct {
	seed    uint64
	shards  int
	faults  []fault
	queries []drawnQuery
}

// drawnQuery is one query and what changes before it.
type drawnQuery struct {
	search   string
	ledgers  wire.RangeSet
	advance  []uint64 // per replica: snapshots to move on
	together bool     // runs while the next one runs
	newer    bool     // a repartitioned configuration comes into force
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
	ranges := rapid.Custom(func(rt *rapid.T) wire.KeyRange {
		lo := rapid.Uint64Range(0, 45).Draw(rt, "lo")
		return wire.KeyRange{Lo: lo, Hi: lo + rapid.Uint64Range(1, 12).Draw(rt, "length")}
	})
	for range rapid.IntRange(1, 6).Draw(rt, "queries") {
		q := drawnQuery{
			search:   rapid.SampledFrom([]string{"rota", "tours", "call"}).Draw(rt, "search"),
			advance:  rapid.SliceOfN(rapid.Uint64Range(0, 2), 8, 8).Draw(rt, "advance"),
			together: rapid.Bool().Draw(rt, "together"),
			newer:    rapid.Bool().Draw(rt, "newer"),
		}
		for _, r := range rapid.SliceOfN(ranges, 0, 3).Draw(rt, "ledgers") {
			q.ledgers = q.ledgers.Add(r)
		}
		s.queries = append(s.queries, q)
	}
	return s
}

// overlapping moves the ends of the shards, so that neighbours overlap.
func overlapping(config *release.Config, version uint64) *release.Config {
	config.Version = version
	shards := config.Services["mill"].Shards
	for i := range shards {
		shards[i].Range.Hi += version % 4
	}
	return config
}

// play runs a scenario in virtual time and returns the first broken promise.
func (s scenario) play(t *testing.T) (broken error) {
	o := &oracle{
		random: rand.New(rand.NewPCG(s.seed, 1)), faults: s.faults,
		held: map[wire.ReplicaID]wire.Held{}, cancelled: map[wire.SubID]bool{},
	}
	var mu sync.Mutex
	config := overlapping(testConfig(s.shards, 2), 1)
	current := func() *release.Config {
		mu.Lock()
		defer mu.Unlock()
		return config
	}
	e := testEngine(t, o, func(options *Options) { options.Config = current })
	results := map[uint64]result{}
	var wg sync.WaitGroup
	for i, q := range s.queries {
		o.move(config, q.advance)
		request := Query{
			Config: current(), Service: "mill", Search: q.search, Ledgers: q.ledgers,
			Deadline: 200 * time.Millisecond, Repeatable: true,
			Payload: []byte{byte(i)},
		}
		if q.newer {
			mu.Lock()
			config = overlapping(testConfig(s.shards, 2), uint64(i)+2)
			mu.Unlock()
		}
		wg.Go(func() {
			answer, err := e.Run(context.Background(), request)
			mu.Lock()
			defer mu.Unlock()
			results[uint64(i)] = result{uint64(i), request, answer, err}
		})
		if !q.together {
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
		if err := o.check(r); err != nil {
			return err
		}
	}
	return o.checkRuns(results)
}

func (o *oracle) move(config *release.Config, advance []uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, shard := range config.Services["mill"].Shards {
		for _, r := range shard.Replicas {
			newest := max(o.held[r.Addr].Newest, 42) + advance[n%len(advance)]
			o.held[r.Addr] = wire.Held{Oldest: newest - 2, Newest: newest}
			n++
		}
	}
}

// Guards the promises of one query against replies that are late, duplicated,
// reordered, foreign, of another snapshot or of other ranges.
func TestPromisesHoldAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var broken error
		synctest.Test(t, func(t *testing.T) { broken = s.play(t) })
		if broken != nil {
			rt.Fatal(broken)
		}
	})
}
