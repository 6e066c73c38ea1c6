package scatter

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// staticStatus is a StatusSource that always reports the same infos.
type staticStatus []ReplicaInfo

func (s staticStatus) ReplicaStatus(context.Context, string) ([]ReplicaInfo, error) { return s, nil }

// Guards against an answer that lacks a shard or has rows that don't belong to it.
func TestRunMergesAllShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			return 4 * time.Millisecond, answeredReply(sub), true
		}}
		answer, err := testEngine(t, sender, nil).Run(t.Context(), rotaQuery(testConfig(20, 2)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Coverage.Fraction()).To(Equal(1.0))
		g.Expect(answer.Rows).To(HaveLen(200))
		g.Expect(answer.Snapshot).To(BeEquivalentTo(42))
		g.Expect(answer.Work).To(Equal(Work{FirstTries: 20}))
		g.Expect(answer.Timing.Total).To(Equal(4 * time.Millisecond))
	})
}

// Guards against a slow replica that delays the answer, and against attempts that
// keep a slot after their hedge was faster.
func TestHedgeOvertakesStraggler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var n atomic.Int32
		sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			switch {
			case sub.Shard == 1:
				return 60 * time.Millisecond, answeredReply(sub), true
			case n.Add(1) == 1:
				return 400 * time.Millisecond, answeredReply(sub), true
			default:
				return 4 * time.Millisecond, answeredReply(sub), true
			}
		}}
		began := time.Now()
		answer, err := testEngine(t, sender, nil).Run(t.Context(), rotaQuery(testConfig(2, 2)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Timing).To(Equal(Timing{Total: 60 * time.Millisecond, SlowestShard: 1}))
		g.Expect(answer.Work).To(Equal(Work{FirstTries: 2, Hedges: 2, Cancelled: 2}))
		g.Expect(sender.sent[2].Replica).NotTo(Equal(sender.sent[0].Replica))
		g.Expect(sender.cancelled[sender.sent[0].ID]).To(Equal(began.Add(defaultHedgeDelay+4*time.Millisecond)),
			"the slow attempt is cancelled when its hedge is answered, not at the end of the query")
		time.Sleep(time.Second)
	})
}

// Guards against hedges and retries that double the load when all replicas are
// slow.
func TestBudgetBoundsExtraLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		delay := 4 * time.Millisecond
		sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			return delay, answeredReply(sub), true
		}}
		e := testEngine(t, sender, nil)
		config := testConfig(20, 2)
		var wg sync.WaitGroup
		for i := range 250 {
			if i == 50 {
				delay = 450 * time.Millisecond
			}
			wg.Go(func() {
				_, err := e.Run(t.Context(), rotaQuery(config))
				g.Expect(err).NotTo(HaveOccurred())
			})
			if i < 50 {
				wg.Wait()
			}
		}
		wg.Wait()
		sent, _, _ := sender.count()
		g.Expect(sent).To(BeNumerically("<=", 5000*1.03+defaultExtraBurst))
		time.Sleep(time.Second)
	})
}

// Guards against running a request twice that isn't repeatable: after an unknown
// outcome or without a reply it must not be sent again.
func TestNotRepeatableIsNeverSentAgain(t *testing.T) {
	for name, reply := range map[string]func(wire.SubRequest) (time.Duration, wire.Reply, bool){
		"unknown": func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			return time.Millisecond, failureReply(sub, wire.Unknown, wire.ReasonConnLost), true
		},
		"silent": func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			return time.Second, answeredReply(sub), true
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				sender := &fakeSender{respond: reply}
				query := rotaQuery(testConfig(1, 3))
				query.Search = "call"
				_, err := testEngine(t, sender, nil).Run(t.Context(), query)
				g.Expect(err).To(BeAssignableToTypeOf(&UnknownError{}))
				time.Sleep(2 * time.Second)
				g.Expect(sender.sent).To(HaveLen(1))
			})
		})
	}
}

// Guards against failing a request that isn't repeatable although a replica refused
// it without running it, so that it can be sent again safely.
func TestNotRepeatableIsRetriedAfterNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var attempts atomic.Int32
		sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			if attempts.Add(1) == 1 {
				return time.Millisecond, failureReply(sub, wire.NotRun, wire.ReasonDraining), false
			}
			return time.Millisecond, answeredReply(sub), true
		}}
		query := rotaQuery(testConfig(1, 2))
		query.Search = "call"
		answer, err := testEngine(t, sender, nil).Run(t.Context(), query)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Work.Retries).To(Equal(1))
		g.Expect(sender.ran).To(HaveLen(1))
	})
}

// Guards against a NotRunError for a query that may have run: it may be returned
// only if every attempt was refused.
func TestOutcomeOfFailures(t *testing.T) {
	refused := func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
		return time.Millisecond, failureReply(sub, wire.NotRun, wire.ReasonQueueFull), false
	}
	lost := func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
		return time.Millisecond, failureReply(sub, wire.Unknown, wire.ReasonConnLost), true
	}
	for name, c := range map[string]struct {
		first, others func(wire.SubRequest) (time.Duration, wire.Reply, bool)
		want          error
	}{
		"all refused":   {refused, refused, &NotRunError{}},
		"one lost":      {lost, refused, &UnknownError{}},
		"all lost":      {lost, lost, &UnknownError{}},
		"only the last": {refused, lost, &UnknownError{}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var attempts atomic.Int32
				sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
					if attempts.Add(1) == 1 {
						return c.first(sub)
					}
					return c.others(sub)
				}}
				answer, err := testEngine(t, sender, nil).Run(t.Context(), rotaQuery(testConfig(1, 2)))
				g.Expect(err).To(BeAssignableToTypeOf(c.want))
				g.Expect(LoadSignalsOf(answer, err).Refused).To(Equal(name != "all lost"))
				time.Sleep(time.Second)
			})
		})
	}
}

// Checks both wait rules: one waits for the slow shard, the other answers at the
// latency goal if the least coverage is reached.
func TestWaitRules(t *testing.T) {
	for search, want := range map[string]struct {
		total    time.Duration
		fraction float64
	}{"rota": {300 * time.Millisecond, 1}, "tours": {100 * time.Millisecond, 0.9}} {
		t.Run(search, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
					if sub.Shard == 3 {
						return 300 * time.Millisecond, answeredReply(sub), true
					}
					return 4 * time.Millisecond, answeredReply(sub), true
				}}
				query := rotaQuery(testConfig(10, 1))
				query.Search = search
				answer, err := testEngine(t, sender, nil).Run(t.Context(), query)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(answer.Timing.Total).To(Equal(want.total))
				g.Expect(answer.Timing.SlowestShard).To(BeEquivalentTo(3))
				g.Expect(answer.Coverage.Fraction()).To(Equal(want.fraction))
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against a result below the least coverage that looks complete or doesn't
// say why ledgers are missing.
func TestBelowCoverageReportsReasons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			if sub.Shard == 0 {
				return time.Millisecond, failureReply(sub, wire.NotRun, wire.ReasonQueueFull), false
			}
			return 4 * time.Millisecond, answeredReply(sub), true
		}}
		_, err := testEngine(t, sender, nil).Run(t.Context(), rotaQuery(testConfig(4, 2)))
		below, ok := errors.AsType[*BelowCoverageError](err)
		g.Expect(ok).To(BeTrue(), "%v", err)
		g.Expect(below.Coverage.Covered).To(BeEquivalentTo(30))
		g.Expect(below.Coverage.Missing).To(ConsistOf(
			Missing{Shard: 0, Range: wire.LedgerRange{Lo: 0, Hi: 10}, Reason: wire.ReasonQueueFull}))
	})
}

// Guards against the reason "timeout" for a query that ended at once, because the
// least coverage can't be reached without a shard whose replicas lack the snapshot.
func TestEarlyEndReportsReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		config := testConfig(2, 1)
		sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			return 50 * time.Millisecond, answeredReply(sub), true
		}}
		infos := []ReplicaInfo{
			{Replica: config.Services["mill"].Shards[0].Replicas[0].Addr, Held: wire.SnapshotRange{Oldest: 40, Newest: 42}},
			{
				Replica: config.Services["mill"].Shards[1].Replicas[0].Addr, Shard: 1,
				Held: wire.SnapshotRange{Oldest: 30, Newest: 31},
			},
		}
		_, err := testEngine(t, sender, func(o *Options) { o.StatusSource = statusOf(infos...) }).Run(t.Context(), rotaQuery(config))
		unknown, ok := errors.AsType[*UnknownError](err)
		g.Expect(ok).To(BeTrue(), "%v", err)
		g.Expect(unknown.Reason).To(Equal(wire.ReasonSnapshotNotHeld))
		g.Expect(unknown.Coverage.Missing).To(ConsistOf(
			Missing{Shard: 0, Range: wire.LedgerRange{Lo: 0, Hi: 10}, Reason: wire.ReasonCancelled},
			Missing{Shard: 1, Range: wire.LedgerRange{Lo: 10, Hi: 20}, Reason: wire.ReasonSnapshotNotHeld}))
	})
}

// Guards against a shard that is left out although a restart with a newer snapshot
// and configuration would give the complete answer, and against endless restarts.
func TestRestartsOnceOnNewerConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		old, newer := testConfig(2, 2), testConfig(3, 2)
		newer.Version = 2
		gone := func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			reply := failureReply(sub, wire.NotRun, wire.ReasonSnapshotNotHeld)
			reply.Held = wire.SnapshotRange{Oldest: sub.Snapshot + 1, Newest: sub.Snapshot + 2}
			return time.Millisecond, reply, false
		}
		sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			if sub.Snapshot == 42 {
				return gone(sub)
			}
			return time.Millisecond, answeredReply(sub), true
		}}
		status := statusOf(
			ReplicaInfo{Replica: "127.0.0.1:1000", Held: wire.SnapshotRange{Oldest: 40, Newest: 42}},
			ReplicaInfo{Replica: "127.0.0.1:1100", Held: wire.SnapshotRange{Oldest: 40, Newest: 42}},
		)
		e := testEngine(t, sender, func(o *Options) {
			o.StatusSource = status
			o.Config = func() *release.Config { return newer }
		})
		answer, err := e.Run(t.Context(), rotaQuery(old))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Work.Restarts).To(Equal(1))
		g.Expect(answer.ConfigVersion).To(BeEquivalentTo(2))
		g.Expect(answer.Snapshot).To(BeEquivalentTo(44))
		g.Expect(answer.Coverage.Requested).To(BeEquivalentTo(30))

		sender.respond = gone
		_, err = e.Run(t.Context(), rotaQuery(newer))
		unknown, ok := errors.AsType[*UnknownError](err)
		g.Expect(ok).To(BeTrue(), "attempts before the restart were cancelled in flight, so they may have run: %v", err)
		g.Expect(unknown.Work.Restarts).To(Equal(1))
		time.Sleep(time.Second)
	})
}

// Guards against a NotRunError after a restart: attempts that the restart cancelled
// in flight may have run, even if all later ones are refused.
func TestRestartAfterCancelReportsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			reply := failureReply(sub, wire.NotRun, wire.ReasonSnapshotNotHeld)
			reply.Held = wire.SnapshotRange{Oldest: 43, Newest: 44}
			switch {
			case sub.Snapshot != 42:
				return time.Millisecond, failureReply(sub, wire.NotRun, wire.ReasonQueueFull), false
			case sub.Shard == 0:
				return time.Millisecond, reply, false
			default:
				return 20 * time.Millisecond, answeredReply(sub), true
			}
		}}
		held := wire.SnapshotRange{Oldest: 40, Newest: 42}
		e := testEngine(t, sender, func(o *Options) {
			o.StatusSource = statusOf(ReplicaInfo{Replica: "127.0.0.1:1000", Held: held}, ReplicaInfo{Replica: "127.0.0.1:1100", Held: held})
		})
		_, err := e.Run(t.Context(), rotaQuery(testConfig(2, 1)))
		unknown, ok := errors.AsType[*UnknownError](err)
		g.Expect(ok).To(BeTrue(), "%v", err)
		g.Expect(unknown.Work.Restarts).To(Equal(1))
		time.Sleep(time.Second)
	})
}

// Guards against duplicate rows when partial replies overlap.
func TestAcceptTrimsOverlaps(t *testing.T) {
	g := NewWithT(t)
	need := wire.RangeSet{{Lo: 0, Hi: 4}, {Lo: 6, Hi: 10}}
	p := part{needed: need, span: spanOf(need)}
	reply := func(lo, hi uint64) uint64 {
		stated := wire.LedgerRange{Lo: lo, Hi: hi}
		return p.accept(stated, answeredReply(wire.SubRequest{Range: stated, Snapshot: 42}).Rows)
	}
	g.Expect(reply(0, 7)).To(BeEquivalentTo(5))
	g.Expect(p.remaining()).To(Equal(wire.LedgerRange{Lo: 7, Hi: 10}))
	g.Expect(reply(3, 9)).To(BeEquivalentTo(2))
	g.Expect(reply(0, 12)).To(BeEquivalentTo(1))
	g.Expect(p.rows).To(HaveLen(8))
	g.Expect(p.covered).To(Equal(need))
}

// Checks the order of preference of the snapshot choice: held by most replicas,
// then largest coverage, then newest. A single replica that no longer receives
// snapshots must not make all queries use an old one.
func TestChooseSnapshot(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		held [][]wire.SnapshotRange // per shard and replica
		want uint64
	}{
		"nothing known":        {[][]wire.SnapshotRange{{{}}, {{}}}, 0},
		"newest common":        {[][]wire.SnapshotRange{{{Oldest: 40, Newest: 43}}, {{Oldest: 40, Newest: 42}, {Oldest: 38, Newest: 39}}}, 42},
		"being published":      {[][]wire.SnapshotRange{{{Oldest: 41, Newest: 43}, {Oldest: 40, Newest: 42}}}, 42},
		"most have it":         {[][]wire.SnapshotRange{{{Oldest: 41, Newest: 43}, {Oldest: 41, Newest: 43}, {Oldest: 40, Newest: 42}}}, 42},
		"one of three stuck":   {[][]wire.SnapshotRange{{{Oldest: 41, Newest: 43}, {Oldest: 41, Newest: 43}, {Oldest: 38, Newest: 40}}}, 43},
		"one replica is stuck": {[][]wire.SnapshotRange{{{Oldest: 41, Newest: 43}, {Oldest: 38, Newest: 40}}}, 43},
		"one shard is behind":  {[][]wire.SnapshotRange{{{Oldest: 43, Newest: 44}}, {{Oldest: 43, Newest: 45}}, {{Oldest: 40, Newest: 42}}}, 44},
		"gap between replicas": {[][]wire.SnapshotRange{{{Oldest: 45, Newest: 45}, {Oldest: 40, Newest: 41}}, {{Oldest: 40, Newest: 43}}}, 41},
		"one shard unknown":    {[][]wire.SnapshotRange{{{Oldest: 40, Newest: 42}}, {{}}}, 42},
	} {
		t.Run(name, func(t *testing.T) {
			var parts []part
			for i, held := range c.held {
				shard := &shardState{}
				for _, h := range held {
					shard.replicas = append(shard.replicas, &replicaState{held: h, heldAt: now})
				}
				parts = append(parts, part{shard: shard, needed: wire.RangeSet{{Lo: uint64(i) * 10, Hi: uint64(i)*10 + 10}}})
			}
			NewWithT(t).Expect(chooseSnapshot(parts, now)).To(Equal(c.want))
		})
	}
}

// Guards against a replica that attracts load because it fails at once and so has
// the lowest latency.
func TestFailingReplicaIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		failed := 0
		sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			if sub.Replica == "127.0.0.1:1000" {
				failed++
				reply := failureReply(sub, wire.Unknown, wire.ReasonServerError)
				reply.Held = wire.SnapshotRange{Oldest: 40, Newest: 42}
				reply.Load.ServiceTime = 100 * time.Microsecond
				return 100 * time.Microsecond, reply, true
			}
			return 4 * time.Millisecond, answeredReply(sub), true
		}}
		e := testEngine(t, sender, nil)
		for range 100 {
			_, err := e.Run(t.Context(), rotaQuery(testConfig(1, 2)))
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(failed).To(BeNumerically("<=", 10))
	})
}

// Guards against accepting replies that are duplicate, belong to another query or
// come from a replica that wasn't asked.
func TestForeignRepliesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sender := &duplicatingSender{}
		e := testEngine(t, sender, nil)
		answer, err := e.Run(t.Context(), rotaQuery(testConfig(2, 1)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Rows).To(HaveLen(20))
		for _, row := range answer.Rows {
			g.Expect(row.Key).To(Equal(rowKey(answer.Query, 42, row.Ledger)))
		}
		g.Expect(answer.Work.Dropped).To(BeNumerically(">=", 3))
	})
}

// duplicatingSender answers with foreign and misattributed replies before the right
// one, which it sends twice.
type duplicatingSender struct{}

func (duplicatingSender) Send(subs []wire.SubRequest, done func([]wire.Reply)) {
	for i, sub := range subs {
		foreign, unsent, otherReplica := answeredReply(sub), answeredReply(sub), answeredReply(sub)
		foreign.ID.Host++
		unsent.ID.Seq += 1000
		otherReplica.Replica = "127.0.0.1:9"
		for _, r := range []*wire.Reply{&foreign, &unsent, &otherReplica} {
			r.Rows[0].Key = "foreign"
		}
		all := []wire.Reply{foreign, unsent, otherReplica, answeredReply(sub), answeredReply(sub)}
		time.AfterFunc(time.Duration(i+1)*time.Millisecond, func() { done(all) })
	}
}

func (duplicatingSender) Cancel([]wire.SubRequestID) {}

// Guards against a query that spins at its deadline until another timer has ended its
// context, which kept the only processor of small hosts for seconds.
func TestLoopEndsAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			return time.Second, answeredReply(sub), true
		}}
		q, err := testEngine(t, sender, nil).newQuery(rotaQuery(testConfig(1, 1)))
		g.Expect(err).NotTo(HaveOccurred())
		began := time.Now()
		q.start()
		q.loop(t.Context()) // which has no deadline
		g.Expect(time.Since(began)).To(Equal(500 * time.Millisecond))
		_, err = q.finish()
		g.Expect(err).To(HaveOccurred())
		time.Sleep(time.Second)
	})
}
