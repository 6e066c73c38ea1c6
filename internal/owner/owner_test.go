package owner

import (
	"context"
	"flag"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/arbutusgauge/arbutusgauge/internal/fixedseed"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

func TestMain(m *testing.M) {
	fixedseed.Parse()
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == "100" {
		_ = checks.Value.Set("1000")
	}
	goleak.VerifyTestMain(m)
}

const (
	r1 wire.ReplicaID = "127.0.0.1:1001"
	r2 wire.ReplicaID = "127.0.0.1:1002"
)

// testOwner runs a test in virtual time with an owner of r1 and r2, two replicas of
// one shard.
func testOwner(t *testing.T, f func(g *WithT, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, config(testSlots, []wire.ReplicaID{r1, r2}), true)
		defer h.close()
		f(NewWithT(t), h)
	})
}

// Guards against more sub-requests in flight than slots, and against a queue that is
// not in the order of deadlines.
func TestSlotsAndDeadlineOrder(t *testing.T) {
	testOwner(t, func(g *WithT, h *harness) {
		s := h.dialer.server(r1)
		s.set(func(s *fakeServer) { s.serviceTime = 10 * time.Millisecond })
		first := h.send(r1, time.Second, 2)
		late := h.send(r1, time.Second, 2)
		early := h.send(r1, 500*time.Millisecond, 2)
		time.Sleep(35 * time.Millisecond)
		g.Expect(s.recorded().maxInFlight).To(Equal(testSlots))
		g.Expect(s.recorded().runOrder[:2]).To(ConsistOf(first))
		g.Expect(s.recorded().runOrder[2:4]).To(ConsistOf(early))
		g.Expect(s.recorded().runOrder[4:6]).To(ConsistOf(late))
		g.Expect(h.reply(late[0]).Outcome).To(Equal(wire.Answered))
		g.Expect(h.reply(late[0]).Held).To(Equal(wire.SnapshotRange{Oldest: 1, Newest: 5}))
		g.Expect(h.info(r1).Load.InFlight).To(BeZero())
	})
}

// Guards against an unbounded queue, against queueing a sub-request that can't be
// answered by its deadline, and against sending expired ones.
func TestEarlyRefusalAndExpiry(t *testing.T) {
	testOwner(t, func(g *WithT, h *harness) {
		s := h.dialer.server(r1)
		s.set(func(s *fakeServer) { s.serviceTime = 100 * time.Millisecond })
		h.send(r1, time.Second, 2)
		time.Sleep(150 * time.Millisecond) // so that the mean latency is known
		running := h.send(r1, time.Second, 2)
		short := h.send(r1, 20*time.Millisecond, 1)
		tooShort := h.send(r1, 20*time.Millisecond, 1)
		full := h.send(r1, 5*time.Second, 20)
		time.Sleep(time.Millisecond)
		g.Expect(h.reply(tooShort[0]).Reason).To(Equal(wire.ReasonDeadlineTooShort))
		g.Expect(h.reply(full[19]).Reason).To(Equal(wire.ReasonQueueFull))
		g.Expect(h.reply(full[19]).Outcome).To(Equal(wire.NotRun))
		time.Sleep(20 * time.Millisecond)
		g.Expect(h.reply(short[0]).Reason).To(Equal(wire.ReasonDeadlineExpired))
		g.Expect(h.reply(short[0]).Outcome).To(Equal(wire.NotRun))
		time.Sleep(2 * time.Second)
		g.Expect(h.reply(running[0]).Outcome).To(Equal(wire.Answered))
		g.Expect(s.recorded().ran).NotTo(HaveKey(short[0]))
		g.Expect(h.reply(full[0]).Outcome).To(Equal(wire.Answered))
	})
}

// Guards against a cancelled queue entry that runs, and against a slot that is reused
// while the server still runs a cancelled sub-request.
func TestCancel(t *testing.T) {
	testOwner(t, func(g *WithT, h *harness) {
		s := h.dialer.server(r1)
		s.set(func(s *fakeServer) { s.serviceTime = 100 * time.Millisecond })
		running := h.send(r1, time.Second, 2)
		queued := h.send(r1, time.Second, 2)
		time.Sleep(10 * time.Millisecond)
		h.owner.Cancel([]wire.SubRequestID{running[0], queued[0]})
		synctest.Wait()
		g.Expect(h.reply(queued[0])).To(HaveField("Outcome", wire.NotRun))
		g.Expect(h.reply(queued[0])).To(HaveField("Reason", wire.ReasonCancelled))
		g.Expect(h.reply(running[0])).To(HaveField("Outcome", wire.Unknown))
		g.Expect(h.reply(running[0])).To(HaveField("Reason", wire.ReasonCancelled))
		g.Expect(h.info(r1).Load.InFlight).To(BeEquivalentTo(2))
		g.Expect(s.recorded().ran).NotTo(HaveKey(queued[1]))
		g.Expect(s.recorded().cancels).To(Equal(running[:1]))
		time.Sleep(200 * time.Millisecond)
		g.Expect(s.recorded().ran).NotTo(HaveKey(queued[0]))
		g.Expect(h.reply(queued[1]).Outcome).To(Equal(wire.Answered))
		g.Expect(h.info(r1).Load.InFlight).To(BeZero())
	})
}

// Guards against the outcome NotRun without proof, and against sending a sub-request
// that may have run a second time.
func TestOutcomeOfEachFault(t *testing.T) {
	cases := []struct {
		fault   fault
		outcome wire.Outcome
		reason  wire.Reason
	}{
		{faultNone, wire.Answered, wire.ReasonNone},
		{faultUnsent, wire.NotRun, wire.ReasonConnLost},
		{faultLostBefore, wire.Unknown, wire.ReasonConnLost},
		{faultLostAfter, wire.Unknown, wire.ReasonConnLost},
		{faultShed, wire.NotRun, wire.ReasonShed},
		{faultDraining, wire.NotRun, wire.ReasonDraining},
		{faultMismatch, wire.Unknown, wire.ReasonConnLost},
	}
	for _, c := range cases {
		testOwner(t, func(g *WithT, h *harness) {
			s := h.dialer.server(r1)
			s.set(func(s *fakeServer) { s.fault = c.fault })
			id := h.send(r1, time.Second, 1)[0]
			time.Sleep(100 * time.Millisecond)
			g.Expect(h.reply(id)).To(HaveField("Outcome", c.outcome), "fault %d", c.fault)
			g.Expect(h.reply(id)).To(HaveField("Reason", c.reason), "fault %d", c.fault)
			g.Expect(s.recorded().sends[id]).To(BeNumerically("<=", 1))
			g.Expect(h.info(r1).Load.InFlight).To(BeZero())
		})
	}
}

// Guards against a NotRun reply because an idle connection was dead although another
// one works.
func TestUnsentSubRequestIsRetriedOnAnotherConnection(t *testing.T) {
	testOwner(t, func(g *WithT, h *harness) {
		s := h.dialer.server(r1)
		s.set(func(s *fakeServer) { s.unsentCalls = 2 })
		id := h.send(r1, time.Second, 1)[0]
		time.Sleep(100 * time.Millisecond)
		g.Expect(h.reply(id).Outcome).To(Equal(wire.Answered))
		g.Expect(s.openConns()).To(Equal(testSlots + 1))
	})
}

// Guards against a slot that is never freed when the server doesn't answer.
func TestDeadlineFreesSlot(t *testing.T) {
	testOwner(t, func(g *WithT, h *harness) {
		s := h.dialer.server(r1)
		s.set(func(s *fakeServer) { s.silentRuns = 2 })
		ids := h.send(r1, 100*time.Millisecond, 2)
		time.Sleep(140 * time.Millisecond)
		g.Expect(h.info(r1).Load.InFlight).To(BeEquivalentTo(2))
		time.Sleep(20 * time.Millisecond)
		g.Expect(h.reply(ids[0])).To(HaveField("Reason", wire.ReasonTimeout))
		g.Expect(h.reply(ids[0])).To(HaveField("Outcome", wire.Unknown))
		g.Expect(h.info(r1).Load.InFlight).To(BeZero())
		g.Expect(s.openConns()).To(Equal(testSlots + 1))
	})
}

// Guards against a Stop that cuts off accepted sub-requests or accepts new ones.
func TestStopFinishesAcceptedWork(t *testing.T) {
	testOwner(t, func(g *WithT, h *harness) {
		s := h.dialer.server(r1)
		s.set(func(s *fakeServer) { s.serviceTime = 100 * time.Millisecond })
		ids := h.send(r1, time.Second, 6)
		stopped := make(chan error, 1)
		go func() { stopped <- h.owner.Stop(context.Background()) }()
		time.Sleep(time.Millisecond)
		refused := h.send(r1, time.Second, 1)[0]
		g.Expect(<-stopped).To(Succeed())
		for _, id := range ids {
			g.Expect(h.reply(id).Outcome).To(Equal(wire.Answered))
		}
		g.Expect(h.reply(refused)).To(HaveField("Reason", wire.ReasonDraining))
		g.Expect(s.openConns()).To(BeZero())
	})
}

// Guards against a Stop that closes a connection on which the server still runs a
// cancelled sub-request.
func TestStopWaitsForCancelled(t *testing.T) {
	testOwner(t, func(g *WithT, h *harness) {
		s := h.dialer.server(r1)
		s.set(func(s *fakeServer) { s.serviceTime = 100 * time.Millisecond })
		ids := h.send(r1, time.Second, 1)
		time.Sleep(time.Millisecond)
		h.owner.Cancel(ids)
		synctest.Wait()
		g.Expect(h.owner.Stop(context.Background())).To(Succeed())
		g.Expect(s.recorded().cutRuns).To(BeZero())
	})
}

// Guards against a Stop that waits past the end of its context.
func TestStopReportsCutOff(t *testing.T) {
	testOwner(t, func(g *WithT, h *harness) {
		h.dialer.server(r1).set(func(s *fakeServer) { s.silentRuns = 1 })
		id := h.send(r1, time.Minute, 1)[0]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		start := time.Now()
		g.Expect(h.owner.Stop(ctx)).To(MatchError(&StopError{Unfinished: 1}))
		g.Expect(time.Since(start)).To(Equal(time.Second))
		g.Expect(h.reply(id).Outcome).To(Equal(wire.Unknown))
	})
}
