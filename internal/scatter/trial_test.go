package scatter

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// keyedQuery returns a query over all shards whose request has a key.
func keyedQuery(shards, replicas int) Query {
	query := rotaQuery(testConfig(shards, replicas))
	query.Key = wire.RequestKey{1}
	return query
}

// crashingServers are servers that end when they run a sub-request, 20 ms after its
// start; then they can't be used.
type crashingServers struct {
	mu    sync.Mutex
	ended map[wire.ReplicaID]bool
}

func (s *crashingServers) respond(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended[sub.Replica] {
		return time.Millisecond, failureReply(sub, wire.NotRun, wire.ReasonConnRefused), false
	}
	if s.ended == nil {
		s.ended = map[wire.ReplicaID]bool{}
	}
	s.ended[sub.Replica] = true
	return 20 * time.Millisecond, failureReply(sub, wire.Unknown, wire.ReasonConnLost), true
}

func (s *crashingServers) estimateWait(id wire.ReplicaID) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Millisecond, !s.ended[id]
}

func (s *crashingServers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ended)
}

// Guards against retries that crash the other replicas of all shards when a request has
// crashed the first ones.
func TestRetriesOfACrashingRequestGoToOneServerAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		servers := &crashingServers{}
		sender := &fakeSender{respond: servers.respond}
		quarantined := func(wire.RequestKey) bool { return servers.count() >= 22 }
		engine := testEngine(t, sender, func(o *Options) { o.Quarantined, o.EstimateWait = quarantined, servers.estimateWait })
		began := time.Now()
		_, err := engine.Run(t.Context(), keyedQuery(20, 3))
		var unknown *UnknownError
		g.Expect(errors.As(err, &unknown)).To(BeTrue(), "it ran")
		g.Expect(servers.count()).To(Equal(22), "one server of each shard, then one at a time")
		g.Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
	})
}

// Guards against a trial that takes the last replica of a shard, which other requests
// need.
func TestTrialSparesTheLastReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		servers := &crashingServers{}
		sender := &fakeSender{respond: servers.respond}
		engine := testEngine(t, sender, func(o *Options) { o.EstimateWait = servers.estimateWait })
		_, err := engine.Run(t.Context(), keyedQuery(20, 2))
		g.Expect(err).To(HaveOccurred())
		g.Expect(servers.count()).To(Equal(20))
		query := keyedQuery(20, 2)
		query.ServersEnded = 5
		_, err = engine.Run(t.Context(), query)
		var notRun *NotRunError
		g.Expect(errors.As(err, &notRun)).To(BeTrue())
		g.Expect(notRun.Reason).To(Equal(wire.ReasonQuarantined))
		g.Expect(servers.count()).To(Equal(20))
	})
}

// Guards against a suspected request that is sent to a server of each shard at once.
func TestTrialSendsOneSubRequestUntilOneIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var sent atomic.Int32
		var sentBeforeAnswer atomic.Int32
		sender := &fakeSender{}
		sender.respond = func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			if sent.Add(1) == 1 {
				time.AfterFunc(9*time.Millisecond, func() { sentBeforeAnswer.Store(sent.Load()) })
				return 10 * time.Millisecond, answeredReply(sub), true
			}
			return 4 * time.Millisecond, answeredReply(sub), true
		}
		query := keyedQuery(20, 2)
		query.ServersEnded = 1
		answer, err := testEngine(t, sender, nil).Run(t.Context(), query)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(sentBeforeAnswer.Load()).To(BeEquivalentTo(1))
		g.Expect(answer.Coverage.Fraction()).To(Equal(1.0))
		g.Expect(answer.Work).To(Equal(Work{FirstTries: 20}), "what was held back takes nothing from the budget")
		g.Expect(answer.Timing.Total).To(Equal(14 * time.Millisecond))
	})
}

// Guards against innocent requests that are delayed because some connections broke while
// other servers answer, as when servers forget idle connections.
func TestAnswerReleasesWhatALossHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var lost sync.Map
		sender := &fakeSender{}
		sender.respond = func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			if _, again := lost.LoadOrStore(sub.Shard, true); sub.Shard < 5 && !again {
				return time.Millisecond, failureReply(sub, wire.Unknown, wire.ReasonConnLost), false
			}
			return 4 * time.Millisecond, answeredReply(sub), true
		}
		answer, err := testEngine(t, sender, nil).Run(t.Context(), keyedQuery(20, 2))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Coverage.Fraction()).To(Equal(1.0))
		g.Expect(answer.Timing.Total).To(Equal(8 * time.Millisecond))
	})
}

// Guards against a request that is sent again, for lack of a key, as if it could crash
// servers.
func TestRequestWithoutKeyIsRetriedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var n atomic.Int32
		sender := &fakeSender{}
		sender.respond = func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			if n.Add(1) == 1 {
				return time.Millisecond, failureReply(sub, wire.Unknown, wire.ReasonConnLost), true
			}
			return 4 * time.Millisecond, answeredReply(sub), true
		}
		answer, err := testEngine(t, sender, nil).Run(t.Context(), rotaQuery(testConfig(1, 2)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Timing.Total).To(Equal(5 * time.Millisecond))
	})
}

// Guards against requests that fail because the one of two replicas that ran them ended,
// for whatever reason, although the other one can answer them.
func TestRetryAfterOneEndMayUseTheLastReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var ended atomic.Pointer[wire.ReplicaID]
		sender := &fakeSender{}
		sender.respond = func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
			if ended.CompareAndSwap(nil, &sub.Replica) {
				return 4 * time.Millisecond, failureReply(sub, wire.Unknown, wire.ReasonConnLost), true
			}
			return 4 * time.Millisecond, answeredReply(sub), true
		}
		engine := testEngine(t, sender, func(o *Options) {
			o.EstimateWait = func(id wire.ReplicaID) (time.Duration, bool) {
				lost := ended.Load()
				return time.Millisecond, lost == nil || *lost != id
			}
		})
		answer, err := engine.Run(t.Context(), keyedQuery(1, 2))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Work.Retries).To(Equal(1))
	})
}
