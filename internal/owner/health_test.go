package owner

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Guards against a connection that stays in use after it went silent, and
// against an ejection because of it.
func TestSilentConnectionIsReplaced(t *testing.T) {
	bubble(t, func(g *WithT, b *harness) {
		s := b.dialer.server(r1)
		s.set(func(s *fakeServer) { s.took = 5 * time.Millisecond; s.silent = 1 })
		stuck := b.send(r1, 10*time.Second, 1)[0]
		time.Sleep(time.Millisecond)
		ids := b.send(r1, 10*time.Second, 5)
		time.Sleep(40 * time.Millisecond)
		g.Expect(b.reply(stuck)).To(Equal(wire.Reply{}), "too early")
		time.Sleep(15 * time.Millisecond)
		g.Expect(b.reply(stuck)).To(And(HaveField("Outcome", wire.Unknown), HaveField("Reason", wire.ReasonConnSilent)))
		for _, id := range ids {
			g.Expect(b.reply(id).Outcome).To(Equal(wire.Answered))
		}
		g.Expect(s.open()).To(Equal(testSlots + 1))
		g.Expect(b.info(r1).Load).To(And(HaveField("State", wire.ReplicaReady), HaveField("InFlight", uint32(0))))
	})
}

// Guards against idle connections that went silent and are found only by a
// sub-request.
func TestIdleConnectionsAreProbed(t *testing.T) {
	bubble(t, func(g *WithT, b *harness) {
		s := b.dialer.server(r1)
		s.set(func(s *fakeServer) {
			for c := range s.conns {
				c.silent = true
			}
		})
		time.Sleep(1500 * time.Millisecond) // one probe, which leads to the others
		id := b.send(r1, time.Second, 1)[0]
		time.Sleep(10 * time.Millisecond)
		g.Expect(b.reply(id).Outcome).To(Equal(wire.Answered))
		g.Expect(s.open()).To(Equal(testSlots + 1))
		before := s.seen().probes
		time.Sleep(10 * time.Second)
		g.Expect(s.seen().probes - before).To(BeNumerically("~", 10, 1))
	})
}

// Guards against an ejection of the last replica or of more than half, against
// one that never ends, and against full load right after it.
func TestEjection(t *testing.T) {
	bubble(t, func(g *WithT, b *harness) {
		fail := func(id wire.ReplicaID, n int) {
			for range n {
				b.send(id, time.Second, 1)
				time.Sleep(5 * time.Millisecond)
			}
		}
		for _, id := range []wire.ReplicaID{r1, r2} {
			b.dialer.server(id).set(func(s *fakeServer) { s.fault = faultLostAfter })
		}
		fail(r1, 4)
		g.Expect(b.info(r1).Load.State).To(Equal(wire.ReplicaReady))
		fail(r1, 1)
		fail(r2, 10)
		g.Expect(b.info(r1).Load.State).To(Equal(wire.ReplicaEjected))
		g.Expect(b.info(r2).Load.State).To(Equal(wire.ReplicaReady), "the last one")
		refused := b.send(r1, time.Second, 1)[0]
		synctest.Wait()
		g.Expect(b.reply(refused)).To(And(HaveField("Outcome", wire.NotRun), HaveField("Reason", wire.ReasonEjected)))

		time.Sleep(time.Second)
		g.Expect(b.info(r1).Load).To(And(HaveField("State", wire.ReplicaCold), HaveField("Slots", uint32(1))))
		fail(r1, 1)
		time.Sleep(1900 * time.Millisecond)
		g.Expect(b.info(r1).Load.State).To(Equal(wire.ReplicaEjected), "doubled")
		time.Sleep(200 * time.Millisecond)
		b.dialer.server(r1).set(func(s *fakeServer) { s.fault = faultNone })
		fail(r1, 8)
		g.Expect(b.info(r1).Load).To(And(HaveField("State", wire.ReplicaReady), HaveField("Slots", uint32(testSlots))))
	})
}

// Guards against an ejection because the caller's deadlines are short or
// because callers cancel.
func TestCancelledAndRefusedAreNoFailures(t *testing.T) {
	bubble(t, func(g *WithT, b *harness) {
		b.dialer.server(r1).set(func(s *fakeServer) { s.fault = faultShed })
		for range 10 {
			b.send(r1, time.Second, 1)
			time.Sleep(5 * time.Millisecond)
		}
		b.dialer.server(r1).set(func(s *fakeServer) { s.fault = faultLostAfter })
		for range 10 {
			ids := b.send(r1, time.Second, 1)
			synctest.Wait()
			b.owner.Cancel(ids)
			time.Sleep(5 * time.Millisecond)
		}
		g.Expect(b.info(r1).Load.State).To(Equal(wire.ReplicaReady))
	})
}

// Guards against new work for a draining server, whichever way the owner
// learns of it, and against a server that stays out after its restart.
func TestDraining(t *testing.T) {
	refuses := func(g *WithT, b *harness, reason wire.Reason) {
		id := b.send(r1, time.Second, 1)[0]
		synctest.Wait()
		g.Expect(b.reply(id)).To(And(HaveField("Outcome", wire.NotRun), HaveField("Reason", reason)))
		g.Expect(b.info(r1).Load.State).To(Equal(wire.ReplicaDraining))
		g.Expect(b.dialer.server(r1).seen().sent).NotTo(HaveKey(id))
	}
	takes := func(g *WithT, b *harness) {
		id := b.send(r1, time.Second, 1)[0]
		time.Sleep(10 * time.Millisecond)
		g.Expect(b.reply(id).Outcome).To(Equal(wire.Answered))
		g.Expect(b.info(r1).Load).To(HaveField("Slots", uint32(1)), "slow start")
	}
	t.Run("status", func(t *testing.T) {
		bubble(t, func(g *WithT, b *harness) {
			s := b.dialer.server(r1)
			s.set(func(s *fakeServer) { s.status.Draining = true })
			time.Sleep(1100 * time.Millisecond)
			refuses(g, b, wire.ReasonDraining)
			s.set(func(s *fakeServer) { s.status.Draining = false })
			time.Sleep(1100 * time.Millisecond)
			takes(g, b)
		})
	})
	t.Run("host list", func(t *testing.T) {
		bubble(t, func(g *WithT, b *harness) {
			b.mu.Lock()
			b.leaving[r1] = true
			b.mu.Unlock()
			time.Sleep(500 * time.Millisecond)
			refuses(g, b, wire.ReasonDraining)
		})
	})
	t.Run("reply with a lying status", func(t *testing.T) {
		bubble(t, func(g *WithT, b *harness) {
			s := b.dialer.server(r1)
			s.set(func(s *fakeServer) { s.fault = faultDraining })
			queued := b.send(r1, time.Second, 5)
			time.Sleep(5 * time.Millisecond)
			g.Expect(b.reply(queued[4])).To(HaveField("Reason", wire.ReasonDraining))
			g.Expect(s.seen().sent).NotTo(HaveKey(queued[4]))
			time.Sleep(20 * time.Second)
			refuses(g, b, wire.ReasonDraining)
			// The restarted server listens on the same address.
			s.set(func(s *fakeServer) { s.refuse = true })
			s.crash()
			time.Sleep(3 * time.Second)
			refuses(g, b, wire.ReasonDraining)
			s.set(func(s *fakeServer) { s.refuse, s.fault = false, faultNone })
			time.Sleep(1200 * time.Millisecond)
			takes(g, b)
		})
	})
	t.Run("refused connection", func(t *testing.T) {
		bubble(t, func(g *WithT, b *harness) {
			s := b.dialer.server(r1)
			s.set(func(s *fakeServer) { s.refuse = true })
			s.crash()
			time.Sleep(1500 * time.Millisecond)
			refuses(g, b, wire.ReasonConnRefused)
			s.set(func(s *fakeServer) { s.refuse = false })
			time.Sleep(1200 * time.Millisecond)
			takes(g, b)
		})
	})
}

// Guards against full load on a cold replica.
func TestSlowStartWhenCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newHarness(t, config(4, []wire.ReplicaID{r1, r2}), true)
		defer b.close()
		s := b.dialer.server(r1)
		s.set(func(s *fakeServer) { s.status.Cold = true })
		time.Sleep(1100 * time.Millisecond)
		s.set(func(s *fakeServer) { s.status.Cold = false })
		g.Expect(b.info(r1).Load).To(And(HaveField("State", wire.ReplicaCold), HaveField("Slots", uint32(1))))
		for range 3 {
			b.send(r1, time.Second, 8)
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(b.info(r1).Load).To(HaveField("Slots", uint32(4)))
	})
}

// Guards against an old and a new owner that together exceed the slots or the
// connections, and against a refusal because views differ.
func TestOwnerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newHarness(t, config(4, []wire.ReplicaID{r1, r2}), false)
		defer b.close()
		time.Sleep(1900 * time.Millisecond)
		g.Expect(b.info(r1).Load.Slots).To(BeEquivalentTo(2), "new owner")
		time.Sleep(200 * time.Millisecond)
		g.Expect(b.info(r1).Load.Slots).To(BeEquivalentTo(4))
		s := b.dialer.server(r1)
		g.Expect(s.open()).To(Equal(5))

		b.ownership.set(r1, false)
		time.Sleep(600 * time.Millisecond)
		g.Expect(b.info(r1)).To(And(HaveField("Owned", false), HaveField("Load.Slots", uint32(1))))
		g.Expect(s.open()).To(Equal(1))
		ids := b.send(r1, time.Second, 3)
		time.Sleep(10 * time.Millisecond)
		g.Expect(b.reply(ids[2]).Outcome).To(Equal(wire.Answered))
		time.Sleep(11 * time.Second)
		g.Expect(s.open()).To(BeZero())
		id := b.send(r1, time.Second, 1)[0]
		time.Sleep(10 * time.Millisecond)
		g.Expect(b.reply(id).Outcome).To(Equal(wire.Answered))

		b.ownership.set(r1, true)
		time.Sleep(600 * time.Millisecond)
		g.Expect(b.info(r1).Load.Slots).To(BeEquivalentTo(2))
	})
}

// Guards against more than half of a replica's connection limit.
func TestConnectionShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		cfg := config(8, []wire.ReplicaID{r1})
		cfg.Services["mill-dispatch"].Connections = 7
		b := newHarness(t, cfg, true)
		defer b.close()
		b.send(r1, time.Second, 20)
		time.Sleep(100 * time.Millisecond)
		g.Expect(b.dialer.server(r1).open()).To(Equal(3))
		g.Expect(b.dialer.server(r1).seen().most).To(Equal(3))
	})
}

// Guards against work that a withdrawn service cuts off or still accepts, and
// against a double in-flight count when the replica returns.
func TestWithdrawnReplica(t *testing.T) {
	bubble(t, func(g *WithT, b *harness) {
		s := b.dialer.server(r1)
		s.set(func(s *fakeServer) { s.took = 100 * time.Millisecond })
		ids := b.send(r1, time.Second, 3)
		synctest.Wait()
		b.owner.SetConfig(config(testSlots, []wire.ReplicaID{r2}))
		late := b.send(r1, time.Second, 1)[0]
		synctest.Wait()
		g.Expect(b.reply(late)).To(And(HaveField("Outcome", wire.NotRun), HaveField("Reason", wire.ReasonUnknownReplica)))
		g.Expect(b.reply(ids[2])).To(And(HaveField("Outcome", wire.NotRun), HaveField("Reason", wire.ReasonUnknownReplica)))
		time.Sleep(50 * time.Millisecond)
		b.owner.SetConfig(config(testSlots, []wire.ReplicaID{r1, r2}))
		g.Expect(b.info(r1).Load.InFlight).To(BeEquivalentTo(2))
		b.owner.SetConfig(config(testSlots, []wire.ReplicaID{r2}))
		time.Sleep(100 * time.Millisecond)
		g.Expect(b.reply(ids[0]).Outcome).To(Equal(wire.Answered))
		g.Expect(b.reply(ids[1]).Outcome).To(Equal(wire.Answered))
		g.Expect(s.open()).To(BeZero())
	})
}
