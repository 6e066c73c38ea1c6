package scatter

import (
	"errors"
	"math/bits"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// directConfig is a service as the catalog makes it: a budget for each shard
// and a bound of attempts.
func directConfig(shards, replicas int) *release.Config {
	config := testConfig(shards, replicas)
	service := config.Services["mill"]
	service.ExtraPerShard, service.ExtraLoad, service.ExtraBurst = true, 0.16, 5
	for _, search := range config.Searches {
		search.MaxAttempts = 2
	}
	return config
}

func tours(config *release.Config) Query {
	return Query{Config: config, Service: "mill", Search: "tours", Repeatable: true}
}

// Guards against a request that must not run twice being marked as repeatable
// on its way to the owner, which sends what is repeatable again.
func TestSubRequestsCarryWhetherTheyMayRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sender := &fakeSender{behave: func(sub wire.Sub) (time.Duration, wire.Reply, bool) {
			return 4 * time.Millisecond, good(sub), true
		}}
		e := testEngine(t, sender, nil)
		config := testConfig(2, 2)
		_, err := e.Run(t.Context(), Query{Config: config, Service: "mill", Search: "call", Repeatable: true})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = e.Run(t.Context(), Query{Config: config, Service: "mill", Search: "rota"})
		g.Expect(err).NotTo(HaveOccurred())
		for _, sub := range sender.sent {
			g.Expect(sub.Repeatable).To(BeFalse(), "neither the search nor the caller alone makes it repeatable")
		}
		_, err = e.Run(t.Context(), rota(config))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(sender.sent[len(sender.sent)-1].Repeatable).To(BeTrue())
	})
}

// Guards against one bad shard that spends the extra arrivals of all, and
// against more extra arrivals at a shard than its budget.
func TestBudgetOfEachShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var sent [3]atomic.Int32
		sender := &fakeSender{behave: func(sub wire.Sub) (time.Duration, wire.Reply, bool) {
			sent[sub.Shard].Add(1)
			if sub.Shard == 1 {
				return time.Millisecond, refusal(sub, wire.NotRun, wire.ReasonShed), false
			}
			return 4 * time.Millisecond, good(sub), true
		}}
		e := testEngine(t, sender, nil)
		config := directConfig(3, 2)
		const queries = 100
		var wg sync.WaitGroup
		for range queries {
			wg.Go(func() { _, _ = e.Run(t.Context(), tours(config)) })
			time.Sleep(20 * time.Millisecond)
		}
		wg.Wait()
		g.Expect(sent[0].Load()).To(BeEquivalentTo(queries))
		extra := float64(sent[1].Load() - queries)
		g.Expect(extra).To(BeNumerically("<=", 0.16*queries+5), "also what a replica refused has arrived there")
		g.Expect(extra).To(BeNumerically(">=", 10), "the budget is used")
	})
}

// Guards against tokens spent for what never left the host.
func TestTokenOfAnUnsentRetryIsRefunded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sender := &fakeSender{behave: func(sub wire.Sub) (time.Duration, wire.Reply, bool) {
			return time.Millisecond, refusal(sub, wire.NotRun, wire.ReasonQueueFull), false
		}}
		e := testEngine(t, sender, nil)
		config := directConfig(1, 2)
		for range 50 {
			_, _ = e.Run(t.Context(), tours(config))
		}
		g.Expect(e.services["mill"].tables[0].shards[0].budget.tokens).To(BeNumerically(">=", 4))
	})
}

// Guards against a request on more replicas than its route allows, and against
// giving a part up although the same replicas may be asked again.
func TestAttemptsAreBoundedByReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var mu sync.Mutex
		reached := map[wire.ReplicaID]int{}
		sender := &fakeSender{behave: func(sub wire.Sub) (time.Duration, wire.Reply, bool) {
			mu.Lock()
			defer mu.Unlock()
			reached[sub.Replica]++
			return time.Millisecond, refusal(sub, wire.Unknown, wire.ReasonServerError), true
		}}
		config := directConfig(1, 5)
		config.Services["mill"].ExtraBurst = 50
		_, err := testEngine(t, sender, nil).Run(t.Context(), tours(config))
		g.Expect(err).To(HaveOccurred())
		g.Expect(reached).To(HaveLen(2))
		total := 0
		for _, n := range reached {
			total += n
		}
		g.Expect(total).To(BeNumerically(">", 2))
	})
}

// Guards against a third replica after one of two that ran the request refuses
// it when it is sent there again: found as BUDGET on trouble-3 of
// huber-suche-grown.
func TestRefusalDoesNotUndoAnEarlierRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var mu sync.Mutex
		ran := map[wire.ReplicaID]bool{}
		sender := &fakeSender{behave: func(sub wire.Sub) (time.Duration, wire.Reply, bool) {
			mu.Lock()
			defer mu.Unlock()
			if ran[sub.Replica] {
				return time.Millisecond, refusal(sub, wire.NotRun, wire.ReasonShed), false
			}
			ran[sub.Replica] = true
			return time.Millisecond, refusal(sub, wire.Unknown, wire.ReasonServerError), true
		}}
		config := directConfig(1, 5)
		config.Services["mill"].ExtraBurst = 50
		_, err := testEngine(t, sender, nil).Run(t.Context(), tours(config))
		g.Expect(err).To(HaveOccurred())
		g.Expect(ran).To(HaveLen(2))
		g.Expect(len(sender.sent)).To(BeNumerically(">", 2))
	})
}

// Guards against further replicas after a restart of the query, which a host that
// has just started makes when it learns what replicas hold: found as BUDGET on
// trouble-3 of huber-suche-grown.
func TestRestartKeepsTheBoundOfReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sender := &fakeSender{behave: func(sub wire.Sub) (time.Duration, wire.Reply, bool) {
			return time.Hour, good(sub), true
		}}
		e := testEngine(t, sender, nil)
		q, err := e.newQuery(Query{Config: directConfig(1, 5), Service: "mill", Search: "tours", Repeatable: true})
		g.Expect(err).NotTo(HaveOccurred())
		q.start()
		g.Expect(q.snapshot).To(BeZero(), "nothing is known of the replicas yet")
		now := time.Now()
		q.hedge(0, now)
		before := q.parts[0].reached
		for _, r := range q.parts[0].shard.replicas {
			r.observe(now, wire.Held{Oldest: 1, Newest: 1}, wire.Load{})
		}
		q.restart(now)
		g.Expect(q.work.Restarts).To(Equal(1))
		g.Expect(bits.OnesCount64(before)).To(Equal(2), "the first attempt and its hedge")
		g.Expect(q.parts[0].reached).To(Equal(before))
		// Only the time is virtual: the replies of the sender must not outlive the test.
		time.Sleep(2 * time.Hour)
	})
}

// Guards against a query that runs where it can't succeed: a host that is cut
// off refuses it before any part runs, so that another host may answer.
func TestUnreachableCoverageIsRefusedBeforeRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sender := &fakeSender{behave: func(sub wire.Sub) (time.Duration, wire.Reply, bool) {
			return 4 * time.Millisecond, good(sub), true
		}}
		config := directConfig(4, 1)
		lost := 3
		outlook := func(id wire.ReplicaID) (time.Duration, bool) {
			for i := range lost {
				if config.Services["mill"].Shards[i].Replicas[0].Addr == id {
					return 0, false
				}
			}
			return time.Millisecond, true
		}
		e := testEngine(t, sender, func(o *Options) { o.Outlook = outlook })
		_, err := e.Run(t.Context(), tours(config))
		var notRun *NotRunError
		g.Expect(errors.As(err, &notRun)).To(BeTrue())
		g.Expect(notRun.Reason).To(Equal(wire.ReasonNoReplica))
		g.Expect(sender.sent).To(BeEmpty())

		lost = 2
		answer, err := e.Run(t.Context(), tours(config))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Coverage.Fraction()).To(Equal(0.5))
		g.Expect(answer.Coverage.Missing[0].Reason).To(Equal(wire.ReasonNoReplica))
	})
}

// Guards against replicas that work on parts of an answer that has gone out
// without them, and against giving up when the coverage lacks them.
func TestAttemptsOfPartsEndAtTheLatencyGoal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		slow := 0
		sender := &fakeSender{behave: func(sub wire.Sub) (time.Duration, wire.Reply, bool) {
			if int(sub.Shard) < slow {
				return sub.TimeLeft, refusal(sub, wire.Unknown, wire.ReasonServerError), true
			}
			return 4 * time.Millisecond, good(sub), true
		}}
		e := testEngine(t, sender, func(o *Options) { o.HedgeDelay = time.Hour })
		config := directConfig(4, 2)
		slow = 1
		answer, err := e.Run(t.Context(), tours(config))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Timing.Total).To(Equal(100 * time.Millisecond))
		for _, sub := range sender.sent {
			g.Expect(sub.TimeLeft).To(Equal(100 * time.Millisecond))
		}
		sender.sent, slow = nil, 3
		_, err = e.Run(t.Context(), tours(config))
		g.Expect(err).To(HaveOccurred())
		g.Expect(sender.sent[len(sender.sent)-1].TimeLeft).To(BeNumerically(">", 300*time.Millisecond),
			"what lacks after the goal is sent again with the time to the deadline")
	})
}

// Guards against hedges of a short search that wait for the latency of a long
// one on the same replicas.
func TestHedgeDelayIsOfTheSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sender := &fakeSender{behave: func(sub wire.Sub) (time.Duration, wire.Reply, bool) {
			if sub.Search == "rota" {
				return 80 * time.Millisecond, good(sub), true
			}
			return 4 * time.Millisecond, good(sub), true
		}}
		e := testEngine(t, sender, func(o *Options) { o.HedgeDelay = time.Hour })
		config := directConfig(20, 2)
		for range 10 {
			_, _ = e.Run(t.Context(), rota(config))
			_, _ = e.Run(t.Context(), tours(config))
		}
		delay := func(search string) time.Duration {
			q, err := e.newQuery(Query{Config: config, Service: "mill", Search: search, Repeatable: true})
			g.Expect(err).NotTo(HaveOccurred())
			return q.hedgeDelay(time.Now())
		}
		g.Expect(delay("tours")).To(BeNumerically("<", 10*time.Millisecond))
		g.Expect(delay("rota")).To(BeNumerically(">=", 80*time.Millisecond))
	})
}
