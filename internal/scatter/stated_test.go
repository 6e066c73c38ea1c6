package scatter

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// statedTest is a shard with three replicas whose estimates a test sets.
type statedTest struct {
	engine        *Engine
	waits         map[wire.ReplicaID]time.Duration
	uncertainties map[wire.ReplicaID]time.Duration // of the replicas that state their load
	failed        wire.ReplicaID                   // answers 500 at once; empty: none does
	sent          map[wire.ReplicaID]int
}

func newStatedTest(t *testing.T) *statedTest {
	s := &statedTest{waits: map[wire.ReplicaID]time.Duration{}, uncertainties: map[wire.ReplicaID]time.Duration{}, sent: map[wire.ReplicaID]int{}}
	sender := &fakeSender{respond: func(sub wire.SubRequest) (time.Duration, wire.Reply, bool) {
		s.sent[sub.Replica]++
		if sub.Replica == s.failed {
			return time.Millisecond, failureReply(sub, wire.Unknown, wire.ReasonServerError), true
		}
		return 4 * time.Millisecond, answeredReply(sub), true
	}}
	var infos []ReplicaInfo
	for i := range 12 {
		infos = append(infos, ReplicaInfo{Replica: wire.ReplicaID(fmt.Sprintf("127.0.0.1:%d", 1000+i)), Held: wire.SnapshotRange{Oldest: 40, Newest: 42}})
	}
	s.engine = testEngine(t, sender, func(o *Options) {
		o.StatusSource = statusOf(infos...)
		o.EstimateWait = func(id wire.ReplicaID) (time.Duration, bool) { return s.waits[id], true }
		o.Uncertainty = func(id wire.ReplicaID) (time.Duration, bool) {
			uncertainty, stated := s.uncertainties[id]
			return uncertainty, stated
		}
	})
	return s
}

// run runs queries one after the other and returns the sub-requests to each replica.
func (s *statedTest) run(g *WithT, t *testing.T, queries int) map[wire.ReplicaID]int {
	clear(s.sent)
	for range queries {
		_, err := s.engine.Run(t.Context(), rotaQuery(testConfig(1, 3)))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(10 * time.Millisecond)
	}
	return s.sent
}

// Guards against stated loads that are not used, against a replica that fails fast and looks
// idle, and against another choice where no replica states its load (R13, R14).
func TestChoiceByStatedLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newStatedTest(t)
		replicas := testConfig(1, 3).Services["mill"].Shards[0].Replicas
		a, b, c := replicas[0].Addr, replicas[1].Addr, replicas[2].Addr
		s.waits = map[wire.ReplicaID]time.Duration{a: 5 * time.Millisecond, b: 6 * time.Millisecond, c: 20 * time.Millisecond}

		sent := s.run(g, t, 300)
		g.Expect(sent).To(Equal(map[wire.ReplicaID]int{a: 300}), "no stated load: the least estimate")
		s.waits[b] = s.waits[a]
		sent = s.run(g, t, 300)
		g.Expect(sent[a]).To(BeNumerically("~", 150, 40), "equal estimates")
		g.Expect(sent[b]).To(BeNumerically("~", 150, 40))
		s.waits[b] = 6 * time.Millisecond

		s.uncertainties = map[wire.ReplicaID]time.Duration{a: 0, b: 0}
		g.Expect(s.run(g, t, 100)).To(Equal(map[wire.ReplicaID]int{a: 100}), "exact estimates")

		s.uncertainties = map[wire.ReplicaID]time.Duration{a: time.Millisecond, b: time.Millisecond, c: time.Millisecond}
		sent = s.run(g, t, 300)
		g.Expect(sent[b]).To(BeNumerically("~", 300*0.38, 40), "weight e^(-1/2) against 1")
		g.Expect(sent[c]).To(BeNumerically("<", 10))

		s.failed, s.waits[a] = a, 0
		sent = s.run(g, t, 300)
		g.Expect(sent[a]).To(BeNumerically("<", 30), "it states no load and fails each request within 1 ms")
	})
}

// Guards against a choice among more replicas than usual that leaves some out or panics.
func TestChoiceByStatedLoadOfManyReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newStatedTest(t)
		config := testConfig(1, usualReplicas+4)
		for _, r := range config.Services["mill"].Shards[0].Replicas {
			s.waits[r.Addr], s.uncertainties[r.Addr] = time.Millisecond, 0
		}
		for range 300 {
			_, err := s.engine.Run(t.Context(), rotaQuery(config))
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(s.sent).To(HaveLen(usualReplicas + 4))
	})
}

// Guards against replicas that have just started and get nothing before a hedge reaches them,
// while others are known to hold the snapshot.
func TestReplicaNotHeardOfIsChosenByItsEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newStatedTest(t)
		s.engine.options.StatusSource = nil
		replicas := testConfig(1, 3).Services["mill"].Shards[0].Replicas
		s.waits = map[wire.ReplicaID]time.Duration{replicas[0].Addr: 5 * time.Millisecond, replicas[1].Addr: 9 * time.Millisecond, replicas[2].Addr: 9 * time.Millisecond}
		g.Expect(s.run(g, t, 10)).To(Equal(map[wire.ReplicaID]int{replicas[0].Addr: 10}))
		s.waits[replicas[1].Addr] = time.Millisecond
		g.Expect(s.run(g, t, 10)).To(Equal(map[wire.ReplicaID]int{replicas[1].Addr: 10}))
	})
}
