package owner

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Guards against replicas whose work for other hosts is not seen, against a stale report that
// keeps its weight, and against a change for replicas that state no load (R12, R14).
func TestStatedLoadOfOtherHostsCounts(t *testing.T) {
	testDirectOwner(t, config(testSlots, []wire.ReplicaID{r1}, []wire.ReplicaID{r2}), func(g *WithT, h *harness) {
		state := func(load wire.StatedLoad) {
			h.dialer.server(r1).set(func(s *fakeServer) { s.load = load })
			h.send(r1, time.Second, 1)
			h.send(r2, time.Second, 1)
			time.Sleep(5 * time.Millisecond)
		}
		for range 20 {
			state(wire.StatedLoad{Running: 1, Slots: 2})
		}
		_, stated := h.owner.StatedUncertainty(r2)
		g.Expect(stated).To(BeFalse())
		silent, _ := h.owner.EstimateWait(r2)
		idle, _ := h.owner.EstimateWait(r1)
		g.Expect(idle).To(Equal(silent), "an idle replica, stated or not")

		state(wire.StatedLoad{Running: 2, Waiting: 6, Slots: 2})
		busy, usable := h.owner.EstimateWait(r1)
		g.Expect(usable).To(BeTrue())
		g.Expect(busy).To(BeNumerically(">", 2*idle))
		uncertainty, stated := h.owner.StatedUncertainty(r1)
		g.Expect(stated).To(BeTrue())
		g.Expect(uncertainty).To(BeNumerically(">", 0))
		other, _ := h.owner.EstimateWait(r2)
		g.Expect(other).To(Equal(silent), "a replica without stated load is judged as before")

		time.Sleep(10 * time.Second)
		old, _ := h.owner.EstimateWait(r1)
		g.Expect(old).To(BeNumerically("~", idle, idle/10), "nothing of the report is left")

		state(wire.StatedLoad{Running: 1, Slots: 2, Slowness: 300})
		slow, _ := h.owner.EstimateWait(r1)
		g.Expect(slow).To(BeNumerically(">", 2*idle), "slowness multiplies the time of work")
	})
}

// Guards against a stated load in a health response that is not used, and against own
// requests that count twice, in flight and in the report.
func TestStatedLoadOfHealthResponsesCounts(t *testing.T) {
	testDirectOwner(t, oneShardConfig(), func(g *WithT, h *harness) {
		r := h.owner.table.Load().replicas[r1]
		report := func(running uint32) (time.Duration, time.Duration) {
			var fx effects
			r.mu.Lock()
			r.applyStatus(&pooledConn{}, backend.Status{StatedLoad: wire.StatedLoad{Running: running, Slots: 2}}, time.Now(), &fx)
			r.mu.Unlock()
			wait, _ := h.owner.EstimateWait(r1)
			uncertainty, _ := h.owner.StatedUncertainty(r1)
			return wait, uncertainty
		}
		untried, _ := report(0)
		g.Expect(untried).To(BeZero(), "a replica without an answer yet is tried")
		h.send(r1, time.Second, 1)
		time.Sleep(5 * time.Millisecond)
		idle, _ := report(0)
		busy, _ := report(2)
		g.Expect(busy).To(BeNumerically(">", idle))

		h.dialer.server(r1).set(func(s *fakeServer) { s.serviceTime = 25 * time.Millisecond })
		h.send(r1, time.Second, 2)
		time.Sleep(time.Millisecond)
		own, _ := report(2)
		g.Expect(own).To(Equal(busy))
		other, stated := h.owner.StatedUncertainty(r2)
		g.Expect(stated).To(BeTrue(), "the shard's replicas are compared by one rule")
		g.Expect(other).To(BeZero())
	})
}

// Guards against metrics of the balance that are missing or count on the wrong side.
func TestBalanceMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		scope := tally.NewTestScope("", nil)
		h := newHarness(t, threeDataCentreConfig(), true, func(o *Options) { o.AllDataCentres, o.Scope = true, scope })
		defer h.close()
		h.dialer.server(r1).set(func(s *fakeServer) { s.load = wire.StatedLoad{Running: 2, Waiting: 5, Slots: 2} })
		h.send(r1, time.Second, 2)
		h.send(r2, time.Second, 1)
		time.Sleep(5 * time.Millisecond)
		h.owner.StatedUncertainty(r1)
		h.owner.observeSpread(time.Now())
		measured := scope.Snapshot()
		g.Expect(measured.Counters()["sent_near+"].Value() + measured.Counters()["sent_far+"].Value()).To(Equal(int64(3)))
		g.Expect(measured.Counters()["sent_far+"].Value()).To(Equal(int64(1)))
		g.Expect(measured.Gauges()).To(HaveKey("in_flight_spread+"))
		ages := int64(0)
		for _, n := range measured.Histograms()["load_age+"].Durations() {
			ages += n
		}
		g.Expect(ages).To(Equal(int64(1)))
	})
}
