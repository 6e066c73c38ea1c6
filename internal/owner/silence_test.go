package owner

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// silence makes every open connection of the server silent.
func (s *fakeServer) silence() {
	s.set(func(s *fakeServer) {
		for c := range s.conns {
			c.silent = true
		}
	})
}

// Guards against a sub-request that is stuck until its deadline because all
// connections went silent at once and too little traffic follows.
func TestAllConnectionsSilentAtOnce(t *testing.T) {
	for _, share := range []uint32{25, 6} { // with and without room for one more connection
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			cfg := config(testSlots, []wire.ReplicaID{r1})
			cfg.Services["mill-dispatch"].Connections = share
			b := newHarness(t, cfg, true)
			defer b.close()
			s := b.dialer.server(r1)
			s.silence()
			stuck := b.send(r1, 2*time.Second, 1)[0]
			time.Sleep(49 * time.Millisecond)
			g.Expect(b.reply(stuck)).To(Equal(wire.Reply{}), "too early")
			time.Sleep(120 * time.Millisecond)
			g.Expect(b.reply(stuck)).To(And(HaveField("Outcome", wire.Unknown), HaveField("Reason", wire.ReasonConnSilent)))
			g.Expect(b.info(r1).Load).To(And(HaveField("State", wire.ReplicaReady), HaveField("InFlight", uint32(0))))
			id := b.send(r1, time.Second, 1)[0]
			time.Sleep(5 * time.Millisecond)
			g.Expect(b.reply(id).Outcome).To(Equal(wire.Answered))
			time.Sleep(time.Second)
			g.Expect(s.open()).To(Equal(testSlots + 1))
		})
	}
}

// Guards against a slow server that loses its connections, and against checks
// that burden it.
func TestSlowServerKeepsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		scope := tally.NewTestScope("", nil)
		b := newHarness(t, config(testSlots, []wire.ReplicaID{r1}), true, func(o *Options) { o.Scope = scope })
		defer b.close()
		count := func(name string) int64 { return scope.Snapshot().Counters()[name+"+"].Value() }
		opened := count("connections_opened")
		s := b.dialer.server(r1)
		s.set(func(s *fakeServer) { s.took = time.Second })
		ids := b.send(r1, 2*time.Second, testSlots)
		time.Sleep(1010 * time.Millisecond)
		for _, id := range ids {
			g.Expect(b.reply(id).Outcome).To(Equal(wire.Answered))
		}
		g.Expect(count("connections_silent")).To(BeZero())
		g.Expect(count("silence_checks")).To(BeNumerically("~", 9, 2), "one each 100 ms")
		g.Expect(count("connections_opened") - opened).To(BeNumerically("<=", 11))
		g.Expect(s.seen().cut).To(BeZero())
	})
}

// Guards against the loss of connections to a server that answers nothing, on
// new connections either: only the deadline decides then.
func TestFrozenServerIsNotSilent(t *testing.T) {
	bubble(t, func(g *WithT, b *harness) {
		s := b.dialer.server(r1)
		s.set(func(s *fakeServer) { s.took, s.frozen = time.Minute, true })
		id := b.send(r1, time.Second, 1)[0]
		time.Sleep(990 * time.Millisecond)
		g.Expect(b.reply(id)).To(Equal(wire.Reply{}))
	})
}

// silenceBound is the stated bound of detection: the silence limit and a check.
const silenceBound = defaultSilentAfter + silenceCheckLimit*defaultProbeTimeout

// Guards against stuck sub-requests when no connection is idle, and against a
// server that states no number of running ones and is taken for silent.
func TestSilentWithoutIdleConnection(t *testing.T) {
	for _, states := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			cfg := config(4, []wire.ReplicaID{r1})
			cfg.Services["mill-dispatch"].Connections = 12
			b := newHarness(t, cfg, false)
			defer b.close()
			s := b.dialer.server(r1)
			if states {
				s.set(func(s *fakeServer) { s.status.InFlight = 1 })
			}
			time.Sleep(2500 * time.Millisecond)
			// The connection that replaces the trimmed one opens after the
			// sub-requests were sent on the silent ones.
			s.set(func(s *fakeServer) { s.status.InFlight, s.cost = 0, 6*time.Millisecond })
			r := b.owner.table.Load().replicas[r1]
			r.mu.Lock()
			r.trimTo(4) // as after a lost connection
			r.mu.Unlock()
			synctest.Wait()
			s.silence()
			ids := b.send(r1, 2*time.Second, 4)
			time.Sleep(silenceBound)
			if states {
				g.Expect(b.reply(ids[0]).Reason).To(Equal(wire.ReasonConnSilent))
				g.Expect(b.reply(ids[3]).Reason).To(Equal(wire.ReasonConnSilent))
			} else {
				g.Expect(b.reply(ids[0])).To(Equal(wire.Reply{}))
			}
		})
	}
}
