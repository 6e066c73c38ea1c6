package owner

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// reachedDuring returns the number of sub-requests that reached a server in a time, while one
// is sent to it every 20 ms.
func (h *harness) reachedDuring(s *fakeServer, id wire.ReplicaID, length time.Duration) int {
	before := len(s.recorded().sends)
	for end := time.Now().Add(length); time.Now().Before(end); {
		h.send(id, time.Second, 1)
		time.Sleep(20 * time.Millisecond)
	}
	return len(s.recorded().sends) - before
}

// Guards against requests to a server that has said that it leaves, also after an old
// entry has taken it out of the configuration and brought it back, and against a new
// incarnation at its address that gets none.
func TestLeavingServerGetsNothingMore(t *testing.T) {
	testDirectOwner(t, oneShardConfig(), func(g *WithT, h *harness) {
		s := h.dialer.server(r1)
		s.set(func(s *fakeServer) { s.leaving = true })
		id := h.send(r1, time.Second, 1)[0]
		time.Sleep(100 * time.Millisecond)
		g.Expect(h.reply(id).Outcome).To(Equal(wire.Answered), "the answer that says so counts")
		g.Expect(h.reachedDuring(s, r1, 4*time.Second)).To(BeZero())
		g.Expect(h.owner.Usable(r1)).To(BeFalse())
		h.owner.SetConfig(config(testSlots, []wire.ReplicaID{r2}))
		time.Sleep(5 * time.Second)
		h.owner.SetConfig(oneShardConfig())
		g.Expect(h.reachedDuring(s, r1, 4*time.Second)).To(BeZero())
		const again = r1 + "/again"
		h.owner.SetConfig(config(testSlots, []wire.ReplicaID{again, r2}))
		g.Expect(h.reachedDuring(h.dialer.server(again), again, time.Second)).To(BeNumerically(">", 10))
	})
}

// Guards against a shorter time that ends a longer one.
func TestLongestBackoffCounts(t *testing.T) {
	g := NewWithT(t)
	n := newNotices()
	g.Expect(n.noteBackoff(r1, 2*time.Second, 0)).To(BeTrue())
	g.Expect(n.noteBackoff(r1, 100*time.Millisecond, time.Second)).To(BeFalse())
	g.Expect(n.backoffUntil[r1]).To(Equal(2 * time.Second))
	g.Expect(n.noteBackoff(r1, 2*time.Second, time.Second)).To(BeTrue())
	g.Expect(n.backoffUntil[r1]).To(Equal(3 * time.Second))
}

// Guards against requests to a server that wants none for a time, and against a burst when
// the time is over.
func TestServerThatAsksToBackOffGetsNothingUntilItsTimeIsOver(t *testing.T) {
	testDirectOwner(t, oneShardConfig(), func(g *WithT, h *harness) {
		s := h.dialer.server(r1)
		s.set(func(s *fakeServer) {
			s.serviceTime = 50 * time.Millisecond
			s.fault, s.backoff = faultShed, 2*time.Second
		})
		h.send(r1, time.Second, 2)
		time.Sleep(20 * time.Millisecond)
		queued := h.send(r1, time.Second, 4)
		time.Sleep(100 * time.Millisecond)
		for _, id := range queued {
			g.Expect(h.reply(id).Reason).To(BeElementOf(wire.ReasonBackoff, wire.ReasonShed))
		}
		s.set(func(s *fakeServer) { s.fault = faultNone })
		g.Expect(h.owner.BackoffOf(r1)).To(BeNumerically("~", 1930*time.Millisecond, 60*time.Millisecond))
		g.Expect(h.reachedDuring(s, r1, 1800*time.Millisecond)).To(BeZero())
		time.Sleep(200 * time.Millisecond)
		g.Expect(h.owner.BackoffOf(r1)).To(BeZero())
		s.set(func(s *fakeServer) { s.maxInFlight = 0 })
		h.send(r1, time.Second, 4)
		time.Sleep(60 * time.Millisecond)
		g.Expect(s.recorded().maxInFlight).To(Equal(1), "a few sub-requests first")
		time.Sleep(time.Second)
		g.Expect(h.reachedDuring(s, r1, time.Second)).To(BeNumerically(">", 10))
	})
}

// Guards against a long time that is obeyed in part only, or not shown, against status calls
// within it, and against one that outlasts a suspension of the host or the incarnation that
// asked for it.
func TestLongBackoffIsObeyedAndShown(t *testing.T) {
	const backoff = 2 * time.Hour
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		scope := tally.NewTestScope("", nil)
		var suspended atomic.Int64
		began := time.Now()
		h := newHarness(t, oneShardConfig(), true, func(o *Options) {
			o.Scope = scope
			o.Clock = func() time.Duration { return time.Since(began) + time.Duration(suspended.Load()) }
		})
		defer h.close()
		long := func() float64 { return scope.Snapshot().Gauges()["long_backoffs+"].Value() }
		s := h.dialer.server(r1)
		s.set(func(s *fakeServer) { s.fault, s.backoff = faultShed, backoff })
		h.send(r1, time.Second, 1)
		time.Sleep(time.Second)
		s.set(func(s *fakeServer) { s.fault = faultNone })
		calls := s.recorded().statusCalls
		g.Expect(h.reachedDuring(s, r1, 5*time.Minute)).To(BeZero())
		g.Expect(s.recorded().statusCalls).To(Equal(calls))
		g.Expect(h.owner.Usable(r1)).To(BeFalse())
		g.Expect(long()).To(BeEquivalentTo(1))

		const again = r1 + "/again"
		h.owner.SetConfig(config(testSlots, []wire.ReplicaID{again, r2}))
		time.Sleep(time.Second)
		g.Expect(long()).To(BeZero(), "the new incarnation starts clean")
		g.Expect(h.reachedDuring(h.dialer.server(again), again, time.Second)).To(BeNumerically(">", 10))
		h.owner.SetConfig(oneShardConfig())
		g.Expect(h.reachedDuring(s, r1, time.Second)).To(BeZero())

		suspended.Store(int64(backoff))
		time.Sleep(time.Second)
		g.Expect(long()).To(BeZero())
		g.Expect(h.reachedDuring(s, r1, time.Second)).To(BeNumerically(">", 10))
	})
}

// Guards against a sub-request that is sent again to a server that wants none, after its
// connection had failed before a byte was written.
func TestUnsentSubRequestIsNotSentAgainDuringABackoff(t *testing.T) {
	testDirectOwner(t, oneShardConfig(), func(g *WithT, h *harness) {
		s := h.dialer.server(r1)
		s.set(func(s *fakeServer) { s.serviceTime, s.fault, s.backoff = 50*time.Millisecond, faultShed, time.Minute })
		h.send(r1, time.Second, 1)
		time.Sleep(10 * time.Millisecond)
		s.set(func(s *fakeServer) { s.serviceTime, s.unsentCalls = 400*time.Millisecond, 1 })
		unsent := h.send(r1, time.Second, 1)[0]
		time.Sleep(500 * time.Millisecond)
		g.Expect(h.reply(unsent).Outcome).To(Equal(wire.NotRun))
		g.Expect(s.recorded().sends[unsent]).To(BeZero())
	})
}

// Guards against the probes of a silence check, which reach a server that wants no requests.
func TestSilenceIsNotCheckedDuringABackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, oneShardConfig(), true)
		defer h.close()
		s := h.dialer.server(r1)
		s.set(func(s *fakeServer) { s.silentRuns = 1 })
		h.send(r1, 10*time.Second, 1)
		time.Sleep(10 * time.Millisecond)
		s.set(func(s *fakeServer) { s.fault, s.backoff = faultShed, time.Minute })
		h.send(r1, time.Second, 1)
		time.Sleep(10 * time.Millisecond)
		calls := s.recorded().statusCalls
		g.Expect(h.owner.BackoffOf(r1)).To(BeNumerically(">", 0))
		time.Sleep(9 * time.Second)
		g.Expect(s.recorded().statusCalls).To(Equal(calls))
	})
}

// Guards against memory that grows with the servers that asked for long times and are gone.
func TestLongBackoffsAreBounded(t *testing.T) {
	g := NewWithT(t)
	n := newNotices()
	for i := range maxBackoffServers {
		n.backoffUntil[wire.ReplicaID(rune(i))] = time.Hour
	}
	n.noteBackoff("last", 2*time.Hour, 0)
	n.noteBackoff("new", time.Second, 0)
	g.Expect(len(n.backoffUntil)).To(BeNumerically("<=", maxBackoffServers))
	g.Expect(n.backoffUntil).To(HaveKey(wire.ReplicaID("new")))
	g.Expect(n.backoffUntil).NotTo(HaveKey(wire.ReplicaID("last")))
	g.Expect(n.long).To(BeEmpty())
}

// Guards against memory that grows with the servers that have left.
func TestNoticesAreBounded(t *testing.T) {
	g := NewWithT(t)
	n := newNotices()
	for i := range 3 * maxLeavingServers {
		n.noteLeaving(wire.ReplicaID(rune(i)), time.Duration(i))
		n.noteBackoff(wire.ReplicaID(rune(i)), time.Millisecond, time.Duration(i)*time.Millisecond)
	}
	g.Expect(len(n.leavingSince)).To(BeNumerically("<=", maxLeavingServers))
	g.Expect(len(n.backoffUntil)).To(BeNumerically("<=", 2))
}
