package owner

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Guards against a silent connection that stays in use, and against an ejection of
// its replica.
func TestSilentConnectionIsReplaced(t *testing.T) {
	testOwner(t, func(g *WithT, h *harness) {
		s := h.dialer.server(r1)
		s.set(func(s *fakeServer) { s.serviceTime = 5 * time.Millisecond; s.silentRuns = 1 })
		stuck := h.send(r1, 10*time.Second, 1)[0]
		time.Sleep(time.Millisecond)
		ids := h.send(r1, 10*time.Second, 5)
		time.Sleep(40 * time.Millisecond)
		g.Expect(h.reply(stuck)).To(Equal(wire.Reply{}), "too early")
		time.Sleep(15 * time.Millisecond)
		g.Expect(h.reply(stuck)).To(And(HaveField("Outcome", wire.Unknown), HaveField("Reason", wire.ReasonConnSilent)))
		for _, id := range ids {
			g.Expect(h.reply(id).Outcome).To(Equal(wire.Answered))
		}
		g.Expect(s.openConns()).To(Equal(testSlots + 1))
		g.Expect(h.info(r1).Load).To(And(HaveField("State", wire.ReplicaReady), HaveField("InFlight", uint32(0))))
	})
}

// Guards against silent idle connections that are detected only when a sub-request
// is sent on them.
func TestIdleConnectionsAreProbed(t *testing.T) {
	testOwner(t, func(g *WithT, h *harness) {
		s := h.dialer.server(r1)
		s.set(func(s *fakeServer) {
			for c := range s.conns {
				c.silent = true
			}
		})
		time.Sleep(1500 * time.Millisecond) // one probe fails, and then the other connections are probed
		id := h.send(r1, time.Second, 1)[0]
		time.Sleep(10 * time.Millisecond)
		g.Expect(h.reply(id).Outcome).To(Equal(wire.Answered))
		g.Expect(s.openConns()).To(Equal(testSlots + 1))
		before := s.recorded().statusCalls
		time.Sleep(10 * time.Second)
		g.Expect(s.recorded().statusCalls - before).To(BeNumerically("~", 10, 1))
	})
}

// Guards against ejecting the last usable replica or more than half of them, against
// an ejection that never ends, and against full load right after it.
func TestEjectionBoundsAndSlowStart(t *testing.T) {
	testOwner(t, func(g *WithT, h *harness) {
		fail := func(id wire.ReplicaID, n int) {
			for range n {
				h.send(id, time.Second, 1)
				time.Sleep(5 * time.Millisecond)
			}
		}
		for _, id := range []wire.ReplicaID{r1, r2} {
			h.dialer.server(id).set(func(s *fakeServer) { s.fault = faultLostAfter })
		}
		fail(r1, 4)
		g.Expect(h.info(r1).Load.State).To(Equal(wire.ReplicaReady))
		fail(r1, 1)
		fail(r2, 10)
		g.Expect(h.info(r1).Load.State).To(Equal(wire.ReplicaEjected))
		g.Expect(h.info(r2).Load.State).To(Equal(wire.ReplicaReady), "the last usable replica")
		refused := h.send(r1, time.Second, 1)[0]
		synctest.Wait()
		g.Expect(h.reply(refused)).To(And(HaveField("Outcome", wire.NotRun), HaveField("Reason", wire.ReasonEjected)))

		time.Sleep(time.Second)
		g.Expect(h.info(r1).Load).To(And(HaveField("State", wire.ReplicaCold), HaveField("Slots", uint32(1))))
		fail(r1, 1)
		time.Sleep(1900 * time.Millisecond)
		g.Expect(h.info(r1).Load.State).To(Equal(wire.ReplicaEjected), "the second ejection is twice as long")
		time.Sleep(200 * time.Millisecond)
		h.dialer.server(r1).set(func(s *fakeServer) { s.fault = faultNone })
		fail(r1, 8)
		g.Expect(h.info(r1).Load).To(And(HaveField("State", wire.ReplicaReady), HaveField("Slots", uint32(testSlots))))
	})
}

// Guards against ejecting a replica because its server sheds load or callers cancel.
func TestCancelledAndShedSubRequestsDoNotEject(t *testing.T) {
	testOwner(t, func(g *WithT, h *harness) {
		h.dialer.server(r1).set(func(s *fakeServer) { s.fault = faultShed })
		for range 10 {
			h.send(r1, time.Second, 1)
			time.Sleep(5 * time.Millisecond)
		}
		h.dialer.server(r1).set(func(s *fakeServer) { s.fault = faultLostAfter })
		for range 10 {
			ids := h.send(r1, time.Second, 1)
			synctest.Wait()
			h.owner.Cancel(ids)
			time.Sleep(5 * time.Millisecond)
		}
		g.Expect(h.info(r1).Load.State).To(Equal(wire.ReplicaReady))
	})
}

// Guards against new sub-requests for a draining server, whatever reports the
// draining, and against a server that stays unused after its restart.
func TestDraining(t *testing.T) {
	expectRefused := func(g *WithT, h *harness, reason wire.Reason) {
		id := h.send(r1, time.Second, 1)[0]
		synctest.Wait()
		g.Expect(h.reply(id)).To(And(HaveField("Outcome", wire.NotRun), HaveField("Reason", reason)))
		g.Expect(h.info(r1).Load.State).To(Equal(wire.ReplicaDraining))
		g.Expect(h.dialer.server(r1).recorded().sends).NotTo(HaveKey(id))
	}
	expectAnswered := func(g *WithT, h *harness) {
		id := h.send(r1, time.Second, 1)[0]
		time.Sleep(10 * time.Millisecond)
		g.Expect(h.reply(id).Outcome).To(Equal(wire.Answered))
		g.Expect(h.info(r1).Load).To(HaveField("Slots", uint32(1)), "slow start")
	}
	t.Run("status", func(t *testing.T) {
		testOwner(t, func(g *WithT, h *harness) {
			s := h.dialer.server(r1)
			s.set(func(s *fakeServer) { s.status.Draining = true })
			time.Sleep(1100 * time.Millisecond)
			expectRefused(g, h, wire.ReasonDraining)
			s.set(func(s *fakeServer) { s.status.Draining = false })
			time.Sleep(1100 * time.Millisecond)
			expectAnswered(g, h)
		})
	})
	t.Run("host list", func(t *testing.T) {
		testOwner(t, func(g *WithT, h *harness) {
			h.mu.Lock()
			h.leaving[r1] = true
			h.mu.Unlock()
			time.Sleep(500 * time.Millisecond)
			expectRefused(g, h, wire.ReasonDraining)
		})
	})
	t.Run("reply with a lying status", func(t *testing.T) {
		testOwner(t, func(g *WithT, h *harness) {
			s := h.dialer.server(r1)
			s.set(func(s *fakeServer) { s.fault = faultDraining })
			queued := h.send(r1, time.Second, 5)
			time.Sleep(5 * time.Millisecond)
			g.Expect(h.reply(queued[4])).To(HaveField("Reason", wire.ReasonDraining))
			g.Expect(s.recorded().sends).NotTo(HaveKey(queued[4]))
			time.Sleep(20 * time.Second)
			expectRefused(g, h, wire.ReasonDraining)
			// The server restarts on the same address.
			s.set(func(s *fakeServer) { s.refuseDials = true })
			s.closeConnections()
			time.Sleep(3 * time.Second)
			expectRefused(g, h, wire.ReasonDraining)
			s.set(func(s *fakeServer) { s.refuseDials, s.fault = false, faultNone })
			time.Sleep(1200 * time.Millisecond)
			expectAnswered(g, h)
		})
	})
	t.Run("refused connection", func(t *testing.T) {
		testOwner(t, func(g *WithT, h *harness) {
			s := h.dialer.server(r1)
			s.set(func(s *fakeServer) { s.refuseDials = true })
			s.closeConnections()
			time.Sleep(1500 * time.Millisecond)
			expectRefused(g, h, wire.ReasonConnRefused)
			s.set(func(s *fakeServer) { s.refuseDials = false })
			time.Sleep(1200 * time.Millisecond)
			expectAnswered(g, h)
		})
	})
}

// Guards against full load on a replica that was cold until just now.
func TestSlowStartWhenCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, config(4, []wire.ReplicaID{r1, r2}), true)
		defer h.close()
		s := h.dialer.server(r1)
		s.set(func(s *fakeServer) { s.status.Cold = true })
		time.Sleep(1100 * time.Millisecond)
		s.set(func(s *fakeServer) { s.status.Cold = false })
		g.Expect(h.info(r1).Load).To(And(HaveField("State", wire.ReplicaCold), HaveField("Slots", uint32(1))))
		for range 3 {
			h.send(r1, time.Second, 8)
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(h.info(r1).Load).To(HaveField("Slots", uint32(4)))
	})
}

// Guards against an old and a new owner that together exceed the slots or the
// connection limit, and against refusals while the hosts' views of the members
// differ.
func TestOwnerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, config(4, []wire.ReplicaID{r1, r2}), false)
		defer h.close()
		time.Sleep(1900 * time.Millisecond)
		g.Expect(h.info(r1).Load.Slots).To(BeEquivalentTo(2), "new owner")
		time.Sleep(200 * time.Millisecond)
		g.Expect(h.info(r1).Load.Slots).To(BeEquivalentTo(4))
		s := h.dialer.server(r1)
		g.Expect(s.openConns()).To(Equal(5))

		h.ownership.set(r1, false)
		time.Sleep(600 * time.Millisecond)
		g.Expect(h.info(r1)).To(And(HaveField("Owned", false), HaveField("Load.Slots", uint32(1))))
		g.Expect(s.openConns()).To(Equal(1))
		ids := h.send(r1, time.Second, 3)
		time.Sleep(10 * time.Millisecond)
		g.Expect(h.reply(ids[2]).Outcome).To(Equal(wire.Answered))
		time.Sleep(11 * time.Second)
		g.Expect(s.openConns()).To(BeZero())
		id := h.send(r1, time.Second, 1)[0]
		time.Sleep(10 * time.Millisecond)
		g.Expect(h.reply(id).Outcome).To(Equal(wire.Answered))

		h.ownership.set(r1, true)
		time.Sleep(600 * time.Millisecond)
		g.Expect(h.info(r1).Load.Slots).To(BeEquivalentTo(2))
	})
}

// Guards against an owner that uses more than half of the connection limit, which an
// old and a new owner may have to share.
func TestOwnerUsesHalfOfTheConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		cfg := config(8, []wire.ReplicaID{r1})
		cfg.Services["mill-dispatch"].MaxConnections = 7
		h := newHarness(t, cfg, true)
		defer h.close()
		h.send(r1, time.Second, 20)
		time.Sleep(100 * time.Millisecond)
		g.Expect(h.dialer.server(r1).openConns()).To(Equal(3))
		g.Expect(h.dialer.server(r1).recorded().maxInFlight).To(Equal(3))
	})
}

// Guards against a replica that, when it leaves the configuration, cuts off running
// sub-requests or accepts new ones, and against counting the running ones twice or
// not at all when it returns.
func TestWithdrawnReplica(t *testing.T) {
	testOwner(t, func(g *WithT, h *harness) {
		s := h.dialer.server(r1)
		s.set(func(s *fakeServer) { s.serviceTime = 100 * time.Millisecond })
		ids := h.send(r1, time.Second, 3)
		synctest.Wait()
		h.owner.SetConfig(config(testSlots, []wire.ReplicaID{r2}))
		late := h.send(r1, time.Second, 1)[0]
		synctest.Wait()
		g.Expect(h.reply(late)).To(And(HaveField("Outcome", wire.NotRun), HaveField("Reason", wire.ReasonUnknownReplica)))
		g.Expect(h.reply(ids[2])).To(And(HaveField("Outcome", wire.NotRun), HaveField("Reason", wire.ReasonUnknownReplica)))
		time.Sleep(50 * time.Millisecond)
		h.owner.SetConfig(config(testSlots, []wire.ReplicaID{r1, r2}))
		g.Expect(h.info(r1).Load.InFlight).To(BeEquivalentTo(2))
		h.owner.SetConfig(config(testSlots, []wire.ReplicaID{r2}))
		time.Sleep(100 * time.Millisecond)
		g.Expect(h.reply(ids[0]).Outcome).To(Equal(wire.Answered))
		g.Expect(h.reply(ids[1]).Outcome).To(Equal(wire.Answered))
		g.Expect(s.openConns()).To(BeZero())
	})
}
