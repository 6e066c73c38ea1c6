package owner

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// silenceConnections makes every open connection of the server silent.
func (s *fakeServer) silenceConnections() {
	s.set(func(s *fakeServer) {
		for c := range s.conns {
			c.silent = true
		}
	})
}

// Guards against a sub-request that waits until its deadline because all connections
// went silent at once and no later answers reveal it.
func TestAllConnectionsSilentAtOnce(t *testing.T) {
	for _, connLimit := range []uint32{25, 6} { // with and without room for one more connection in half of it
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			cfg := config(testSlots, []wire.ReplicaID{r1})
			cfg.Services["mill-dispatch"].MaxConnections = connLimit
			h := newHarness(t, cfg, true)
			defer h.close()
			s := h.dialer.server(r1)
			s.silenceConnections()
			stuck := h.send(r1, 2*time.Second, 1)[0]
			time.Sleep(49 * time.Millisecond)
			g.Expect(h.reply(stuck)).To(Equal(wire.Reply{}), "too early")
			time.Sleep(120 * time.Millisecond)
			g.Expect(h.reply(stuck)).To(And(HaveField("Outcome", wire.Unknown), HaveField("Reason", wire.ReasonConnSilent)))
			g.Expect(h.info(r1).Load).To(And(HaveField("State", wire.ReplicaReady), HaveField("InFlight", uint32(0))))
			id := h.send(r1, time.Second, 1)[0]
			time.Sleep(5 * time.Millisecond)
			g.Expect(h.reply(id).Outcome).To(Equal(wire.Answered))
			time.Sleep(time.Second)
			g.Expect(s.openConns()).To(Equal(testSlots + 1))
		})
	}
}

// Guards against closing the connections of a slow server, and against checks so
// frequent that they burden it.
func TestSlowServerKeepsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		scope := tally.NewTestScope("", nil)
		h := newHarness(t, config(testSlots, []wire.ReplicaID{r1}), true, func(o *Options) { o.Scope = scope })
		defer h.close()
		count := func(name string) int64 { return scope.Snapshot().Counters()[name+"+"].Value() }
		opened := count("connections_opened")
		s := h.dialer.server(r1)
		s.set(func(s *fakeServer) { s.serviceTime = time.Second })
		ids := h.send(r1, 2*time.Second, testSlots)
		time.Sleep(1010 * time.Millisecond)
		for _, id := range ids {
			g.Expect(h.reply(id).Outcome).To(Equal(wire.Answered))
		}
		g.Expect(count("connections_silent")).To(BeZero())
		g.Expect(count("silence_checks")).To(BeNumerically("~", 9, 2), "one check per 100 ms")
		g.Expect(count("connections_opened") - opened).To(BeNumerically("<=", 11))
		g.Expect(s.recorded().cutRuns).To(BeZero())
	})
}

// Guards against closing the connections of a server that answers nothing, not even
// on new connections. Its sub-requests end only at their deadline.
func TestFrozenServerIsNotSilent(t *testing.T) {
	testOwner(t, func(g *WithT, h *harness) {
		s := h.dialer.server(r1)
		s.set(func(s *fakeServer) { s.serviceTime, s.statusFrozen = time.Minute, true })
		id := h.send(r1, time.Second, 1)[0]
		time.Sleep(990 * time.Millisecond)
		g.Expect(h.reply(id)).To(Equal(wire.Reply{}))
	})
}

// maxDetectionTime is the longest time until a silent connection is detected: the
// silence time-out and one check.
const maxDetectionTime = defaultMinSilence + silenceCheckProbeTimeouts*defaultProbeTimeout

// Guards against sub-requests that wait until their deadline when no connection is
// idle for a probe, and against closing the connections of a server only because it
// doesn't report the number of running sub-requests.
func TestSilentWithoutIdleConnection(t *testing.T) {
	for _, reportsInFlight := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			cfg := config(4, []wire.ReplicaID{r1})
			cfg.Services["mill-dispatch"].MaxConnections = 12
			h := newHarness(t, cfg, false)
			defer h.close()
			s := h.dialer.server(r1)
			if reportsInFlight {
				s.set(func(s *fakeServer) { s.status.InFlight = 1 })
			}
			time.Sleep(2500 * time.Millisecond)
			// The connection that replaces the one closed below opens only
			// after the sub-requests were sent on the silent ones.
			s.set(func(s *fakeServer) { s.status.InFlight, s.dialCost = 0, 6*time.Millisecond })
			r := h.owner.table.Load().replicas[r1]
			r.mu.Lock()
			r.closeIdleConnsDownTo(4) // as after a lost connection
			r.mu.Unlock()
			synctest.Wait()
			s.silenceConnections()
			ids := h.send(r1, 2*time.Second, 4)
			time.Sleep(maxDetectionTime)
			if reportsInFlight {
				g.Expect(h.reply(ids[0]).Reason).To(Equal(wire.ReasonConnSilent))
				g.Expect(h.reply(ids[3]).Reason).To(Equal(wire.ReasonConnSilent))
			} else {
				g.Expect(h.reply(ids[0])).To(Equal(wire.Reply{}))
			}
		})
	}
}

// Guards against work that is given up although its server is only slow: a
// sub-request that can't be sent again, or any one with KeepSilentRuns, runs far
// longer than later ones on other connections.
func TestSlowRunIsNotGivenUp(t *testing.T) {
	for _, keepAll := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, config(testSlots, []wire.ReplicaID{r1}), true, func(o *Options) { o.KeepSilentRuns = keepAll })
			defer h.close()
			s := h.dialer.server(r1)
			s.set(func(s *fakeServer) { s.serviceTime = 3 * time.Second })
			slow := h.sendOne(keepAll, r1, 5*time.Second)
			time.Sleep(time.Millisecond)
			s.set(func(s *fakeServer) { s.serviceTime = 5 * time.Millisecond })
			for range 20 {
				h.send(r1, time.Second, 1)
				time.Sleep(50 * time.Millisecond)
			}
			g.Expect(h.reply(slow)).To(Equal(wire.Reply{}), "still running")
			time.Sleep(2200 * time.Millisecond)
			g.Expect(h.reply(slow).Outcome).To(Equal(wire.Answered))
			g.Expect(s.openConns()).To(Equal(testSlots + 1))
		})
	}
}
