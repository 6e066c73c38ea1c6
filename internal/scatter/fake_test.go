package scatter

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/arbutusgauge/arbutusgauge/internal/fixedseed"
	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

func TestMain(m *testing.M) {
	fixedseed.Parse()
	goleak.VerifyTestMain(m)
}

// fakeSender answers every sub-request with the reply of respond and records what
// was sent, executed and cancelled.
type fakeSender struct {
	// respond returns the reply and the delay after which it arrives; ran is
	// whether the sub-request counts as executed.
	respond func(sub wire.SubRequest) (delay time.Duration, reply wire.Reply, ran bool)

	mu        sync.Mutex
	sent      []wire.SubRequest
	ran       []wire.SubRequest
	cancelled map[wire.SubRequestID]time.Time
}

func (f *fakeSender) Send(subs []wire.SubRequest, done func([]wire.Reply)) {
	for _, sub := range subs {
		delay, reply, ran := f.respond(sub)
		f.mu.Lock()
		f.sent = append(f.sent, sub)
		f.mu.Unlock()
		time.AfterFunc(delay, func() {
			f.mu.Lock()
			if ran {
				f.ran = append(f.ran, sub)
			}
			f.mu.Unlock()
			done([]wire.Reply{reply})
		})
	}
}

func (f *fakeSender) Cancel(ids []wire.SubRequestID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		if f.cancelled == nil {
			f.cancelled = map[wire.SubRequestID]time.Time{}
		}
		f.cancelled[id] = time.Now()
	}
}

func (f *fakeSender) count() (sent, ran, cancelled int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sent), len(f.ran), len(f.cancelled)
}

// answeredReply returns the reply of a healthy replica that holds snapshots 40 to
// 42.
func answeredReply(sub wire.SubRequest) wire.Reply {
	snapshot := sub.Snapshot
	if snapshot == 0 {
		snapshot = 42
	}
	reply := wire.Reply{
		ID: sub.ID, Replica: sub.Replica, Outcome: wire.Answered, Snapshot: snapshot, Range: sub.Range,
		Held: wire.SnapshotRange{Oldest: 40, Newest: 42}, Load: wire.Load{Slots: 2, ServiceTime: 4 * time.Millisecond},
	}
	for ledger := sub.Range.Lo; ledger < sub.Range.Hi; ledger++ {
		reply.Rows = append(reply.Rows, wire.Row{Ledger: ledger, Key: rowKey(sub.Query, snapshot, ledger)})
	}
	return reply
}

// failureReply returns a reply without an answer.
func failureReply(sub wire.SubRequest, outcome wire.Outcome, reason wire.Reason) wire.Reply {
	return wire.Reply{
		ID: sub.ID, Replica: sub.Replica, Outcome: outcome, Reason: reason,
		Load: wire.Load{Slots: 2, ServiceTime: 4 * time.Millisecond},
	}
}

// rowKey returns the key of a row, which tells the query and snapshot it is for.
func rowKey(query, snapshot, ledger uint64) string {
	return fmt.Sprintf("q%d-s%d-l%d", query, snapshot, ledger)
}

// testConfig returns a configuration with one service, whose shards hold ten
// ledgers each, and three searches: rota waits for coverage, tours for latency,
// and call is not repeatable.
func testConfig(shards, replicas int) *release.Config {
	service := &release.Service{Name: "mill", Slots: 2}
	for s := range shards {
		shard := release.Shard{ID: uint32(s), Range: wire.LedgerRange{Lo: uint64(s) * 10, Hi: uint64(s+1) * 10}}
		for r := range replicas {
			addr := wire.ReplicaID(fmt.Sprintf("127.0.0.1:%d", 1000+s*100+r))
			shard.Replicas = append(shard.Replicas, release.Replica{Addr: addr, DataCentre: "badin"})
		}
		service.Shards = append(service.Shards, shard)
	}
	search := func(name string, repeatable bool, wait release.WaitRule, least float64) *release.Search {
		return &release.Search{
			Name: name, Service: "mill", Repeatable: repeatable, WaitRule: wait, LeastCoverage: least,
			LatencyGoal: jwcc.Duration(100 * time.Millisecond), Deadline: jwcc.Duration(500 * time.Millisecond),
		}
	}
	return &release.Config{
		Version:  1,
		Services: map[string]*release.Service{"mill": service},
		Searches: map[string]*release.Search{
			"mill/rota":  search("rota", true, release.WaitCoverage, 0.9),
			"mill/tours": search("tours", true, release.WaitLatency, 0.5),
			"mill/call":  search("call", false, release.WaitCoverage, 0),
		},
	}
}

func testEngine(t testing.TB, sender wire.Sender, configure func(*Options)) *Engine {
	t.Helper()
	options := Options{
		Sender: sender, DataCentre: "badin", Incarnation: 7, Random: rand.NewPCG(1, 2),
		Delays: map[string]time.Duration{"thatta": 5 * time.Millisecond},
	}
	if configure != nil {
		configure(&options)
	}
	e, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func rotaQuery(config *release.Config) Query {
	return Query{Config: config, Service: "mill", Search: "rota", Repeatable: true}
}

// statusOf returns a StatusSource that always reports infos.
func statusOf(infos ...ReplicaInfo) StatusSource { return staticStatus(infos) }
