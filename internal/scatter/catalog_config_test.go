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

// catalogConfig returns a configuration of the kind that the catalog builds: with a
// budget for each shard and a limit of attempts.
func catalogConfig(shards, replicas int) *release.Config {
	config := testConfig(shards, replicas)
	service := config.Services["mill"]
	service.ExtraPerShard, service.ExtraLoad, service.ExtraBurst = true, 0.16, 5
	for _, search := range config.Searches {
		search.MaxAttempts = 2
	}
	return config
}

func toursQuery(config *release.Config) Query {
	return Query{Config: config, Service: "mill", Search: "tours", Repeatable: true}
}

// Guards against a sub-request that must not run twice but is marked as
// repeatable: the owner would send it again after an unknown outcome.
func TestSubRequestsCarryRepeatable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			return 4 * time.Millisecond, answeredReply(sub), true
		}}
		e := testEngine(t, sender, nil)
		config := testConfig(2, 2)
		_, err := e.Run(t.Context(), Query{Config: config, Service: "mill", Search: "call", Repeatable: true})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = e.Run(t.Context(), Query{Config: config, Service: "mill", Search: "rota"})
		g.Expect(err).NotTo(HaveOccurred())
		for _, sub := range sender.sent {
			g.Expect(sub.Repeatable).To(BeFalse(), "a sub-request is repeatable only if both the search and the request are")
		}
		_, err = e.Run(t.Context(), rotaQuery(config))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(sender.sent[len(sender.sent)-1].Repeatable).To(BeTrue())
	})
}

// Guards against a failing shard that uses up the hedges and retries of all
// shards, and against more of them at a shard than its budget allows.
func TestShardBudgetBoundsExtraAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var sent [3]atomic.Int32
		sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			sent[sub.Shard].Add(1)
			if sub.Shard == 1 {
				return time.Millisecond, failureReply(sub, wire.NotRun, wire.ReasonShed), false
			}
			return 4 * time.Millisecond, answeredReply(sub), true
		}}
		e := testEngine(t, sender, nil)
		config := catalogConfig(3, 2)
		const queries = 100
		var wg sync.WaitGroup
		for range queries {
			wg.Go(func() { _, _ = e.Run(t.Context(), toursQuery(config)) })
			time.Sleep(20 * time.Millisecond)
		}
		wg.Wait()
		g.Expect(sent[0].Load()).To(BeEquivalentTo(queries))
		extra := float64(sent[1].Load() - queries)
		g.Expect(extra).To(BeNumerically("<=", 0.16*queries+5), "attempts that a replica refused count as well")
		g.Expect(extra).To(BeNumerically(">=", 10), "the retries use the budget")
	})
}

// Guards against a budget that is used up by retries that no replica received:
// an owner whose queue is full refuses without sending the sub-request on.
func TestUnsentRetryRefundsToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			return time.Millisecond, failureReply(sub, wire.NotRun, wire.ReasonQueueFull), false
		}}
		e := testEngine(t, sender, nil)
		config := catalogConfig(1, 2)
		for range 50 {
			_, _ = e.Run(t.Context(), toursQuery(config))
		}
		g.Expect(e.services["mill"].tables[0].shards[0].budget.tokens).To(BeNumerically(">=", 4))
	})
}

// Guards against a request that runs on more replicas than MaxAttempts allows, and
// against abandoning a part although the same replicas may be tried again.
func TestMaxAttemptsBoundsReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var mu sync.Mutex
		reached := map[wire.ReplicaID]int{}
		sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			mu.Lock()
			defer mu.Unlock()
			reached[sub.Replica]++
			return time.Millisecond, failureReply(sub, wire.Unknown, wire.ReasonServerError), true
		}}
		config := catalogConfig(1, 5)
		config.Services["mill"].ExtraBurst = 50
		_, err := testEngine(t, sender, nil).Run(t.Context(), toursQuery(config))
		g.Expect(err).To(HaveOccurred())
		g.Expect(reached).To(HaveLen(2))
		total := 0
		for _, n := range reached {
			total += n
		}
		g.Expect(total).To(BeNumerically(">", 2))
	})
}

// Guards against a third replica with MaxAttempts 2: one of two replicas that ran
// the request refuses it when it is sent there again, and this refusal must not
// make the earlier run uncounted.
func TestRefusalKeepsEarlierRunCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var mu sync.Mutex
		ran := map[wire.ReplicaID]bool{}
		sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			mu.Lock()
			defer mu.Unlock()
			if ran[sub.Replica] {
				return time.Millisecond, failureReply(sub, wire.NotRun, wire.ReasonShed), false
			}
			ran[sub.Replica] = true
			return time.Millisecond, failureReply(sub, wire.Unknown, wire.ReasonServerError), true
		}}
		config := catalogConfig(1, 5)
		config.Services["mill"].ExtraBurst = 50
		_, err := testEngine(t, sender, nil).Run(t.Context(), toursQuery(config))
		g.Expect(err).To(HaveOccurred())
		g.Expect(ran).To(HaveLen(2))
		g.Expect(len(sender.sent)).To(BeNumerically(">", 2))
	})
}

// Guards against more replicas than MaxAttempts after a restart of the query. A
// host that has just started restarts a query when it learns which snapshots the
// replicas hold.
func TestRestartKeepsMaxAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			return time.Hour, answeredReply(sub), true
		}}
		e := testEngine(t, sender, nil)
		q, err := e.newQuery(Query{Config: catalogConfig(1, 5), Service: "mill", Search: "tours", Repeatable: true})
		g.Expect(err).NotTo(HaveOccurred())
		q.start()
		g.Expect(q.snapshot).To(BeZero(), "nothing is known of the replicas yet")
		now := time.Now()
		q.hedge(0, now)
		before := q.parts[0].reached
		for _, r := range q.parts[0].shard.replicas {
			r.observe(now, wire.SnapshotRange{Oldest: 1, Newest: 1}, wire.Load{})
		}
		q.restart(now)
		g.Expect(q.work.Restarts).To(Equal(1))
		g.Expect(bits.OnesCount64(before)).To(Equal(2), "the first attempt and its hedge")
		g.Expect(q.parts[0].reached).To(Equal(before))
		// The replies of the sender arrive after an hour of virtual time and must not
		// outlive the test.
		time.Sleep(2 * time.Hour)
	})
}

// Guards against a query that runs although it can't succeed: a host that can't
// reach enough shards refuses it before any part runs, so that another host may
// answer it.
func TestUnreachableCoverageIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			return 4 * time.Millisecond, answeredReply(sub), true
		}}
		config := catalogConfig(4, 1)
		unreachable := 3
		estimateWait := func(id wire.ReplicaID) (time.Duration, bool) {
			for i := range unreachable {
				if config.Services["mill"].Shards[i].Replicas[0].Addr == id {
					return 0, false
				}
			}
			return time.Millisecond, true
		}
		e := testEngine(t, sender, func(o *Options) { o.EstimateWait = estimateWait })
		_, err := e.Run(t.Context(), toursQuery(config))
		var notRun *NotRunError
		g.Expect(errors.As(err, &notRun)).To(BeTrue())
		g.Expect(notRun.Reason).To(Equal(wire.ReasonNoReplica))
		g.Expect(sender.sent).To(BeEmpty())

		unreachable = 2
		answer, err := e.Run(t.Context(), toursQuery(config))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Coverage.Fraction()).To(Equal(0.5))
		g.Expect(answer.Coverage.Missing[0].Reason).To(Equal(wire.ReasonNoReplica))
	})
}

// Guards against replicas that still work on parts after the query was answered
// without them at the latency goal, and against not sending these parts again if
// the least coverage isn't reached by then.
func TestAttemptsEndAtLatencyGoal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		slow := 0
		sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			if int(sub.Shard) < slow {
				return sub.TimeLeft, failureReply(sub, wire.Unknown, wire.ReasonServerError), true
			}
			return 4 * time.Millisecond, answeredReply(sub), true
		}}
		e := testEngine(t, sender, func(o *Options) { o.HedgeDelay = time.Hour })
		config := catalogConfig(4, 2)
		slow = 1
		answer, err := e.Run(t.Context(), toursQuery(config))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Timing.Total).To(Equal(100 * time.Millisecond))
		for _, sub := range sender.sent {
			g.Expect(sub.TimeLeft).To(Equal(100 * time.Millisecond))
		}
		sender.sent, slow = nil, 3
		_, err = e.Run(t.Context(), toursQuery(config))
		g.Expect(err).To(HaveOccurred())
		g.Expect(sender.sent[len(sender.sent)-1].TimeLeft).To(BeNumerically(">", 300*time.Millisecond),
			"missing parts are sent again after the latency goal with the time to the deadline")
	})
}

// Guards against hedges of a fast search that are delayed by the latency of a slow
// search on the same replicas.
func TestHedgeDelayIsPerSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			if sub.Search == "rota" {
				return 80 * time.Millisecond, answeredReply(sub), true
			}
			return 4 * time.Millisecond, answeredReply(sub), true
		}}
		e := testEngine(t, sender, func(o *Options) { o.HedgeDelay = time.Hour })
		config := catalogConfig(20, 2)
		for range 10 {
			_, _ = e.Run(t.Context(), rotaQuery(config))
			_, _ = e.Run(t.Context(), toursQuery(config))
		}
		hedgeDelay := func(search string) time.Duration {
			q, err := e.newQuery(Query{Config: config, Service: "mill", Search: search, Repeatable: true})
			g.Expect(err).NotTo(HaveOccurred())
			return q.hedgeDelay(time.Now())
		}
		g.Expect(hedgeDelay("tours")).To(BeNumerically("<", 10*time.Millisecond))
		g.Expect(hedgeDelay("rota")).To(BeNumerically(">=", 80*time.Millisecond))
	})
}
