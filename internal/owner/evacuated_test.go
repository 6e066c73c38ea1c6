package owner

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// twoDataCentres returns a shard with r1 in badin and r2 in sindh.
func twoDataCentres() *release.Config {
	cfg := config(testSlots, []wire.ReplicaID{r1, r2})
	cfg.Services["mill-dispatch"].Shards[0].Replicas[1].DataCentre = "sindh"
	return cfg
}

// Guards against anything new that reaches a replica in a data centre out of use: queued
// and later sub-requests, requeued ones, connections, also for a lost run and for a replica
// that registers meanwhile, against running work that is cut off, and against a burst at
// the return.
func TestEvacuatedReplicasGetNothingNewAndReturnAtSlowStart(t *testing.T) {
	testDirectOwner(t, twoDataCentres(), func(g *WithT, h *harness) {
		gauges := func() map[string]float64 {
			values := map[string]float64{}
			for key, gauge := range h.scope.Snapshot().Gauges() {
				values[key] = gauge.Value()
			}
			return values
		}
		s, other := h.dialer.server(r1), h.dialer.server(r2)
		s.set(func(s *fakeServer) { s.serviceTime = 500 * time.Millisecond })
		running := h.send(r1, 5*time.Second, testSlots)
		time.Sleep(20 * time.Millisecond)
		queued := h.send(r1, 5*time.Second, 3)
		time.Sleep(time.Millisecond)
		h.owner.SetEvacuated([]string{"badin"})
		time.Sleep(time.Millisecond)
		g.Expect(gauges()).To(And(HaveKeyWithValue("data_centres_out_of_use+", 1.0), HaveKeyWithValue("out_of_use_running+data_centre=badin", float64(testSlots))))
		for _, id := range queued {
			g.Expect(h.reply(id)).To(And(HaveField("Outcome", wire.NotRun), HaveField("Reason", wire.ReasonEvacuated)))
		}
		g.Expect(h.owner.Usable(r1)).To(BeFalse())
		_, usable := h.owner.EstimateWait(r1)
		g.Expect(usable).To(BeFalse())
		g.Expect(h.owner.Usable(r2)).To(BeTrue())
		time.Sleep(time.Second)
		for _, id := range running {
			g.Expect(h.reply(id).Outcome).To(Equal(wire.Answered))
		}
		g.Expect(s.openConns()).To(BeZero())
		g.Expect(gauges()).To(And(HaveKeyWithValue("out_of_use_running+data_centre=badin", 0.0), HaveKeyWithValue("out_of_use_seconds+data_centre=badin", BeNumerically("~", 1, 0.6))))
		const added = wire.ReplicaID("127.0.0.1:3")
		grown := twoDataCentres()
		shard := &grown.Services["mill-dispatch"].Shards[0]
		shard.Replicas = append(shard.Replicas, release.Replica{Addr: added, DataCentre: "badin"})
		h.owner.SetConfig(grown)
		g.Expect(h.reachedDuring(s, r1, 5*time.Second)).To(BeZero())
		g.Expect(h.reachedDuring(h.dialer.server(added), added, time.Second)).To(BeZero())
		for _, id := range []wire.ReplicaID{r1, added} {
			g.Expect(h.dialer.server(id).openConns()).To(BeZero())
		}
		g.Expect(h.reachedDuring(other, r2, time.Second)).To(BeNumerically(">", 10))

		h.owner.SetEvacuated(nil)
		g.Expect(gauges()).To(And(HaveKeyWithValue("data_centres_out_of_use+", 0.0), HaveKeyWithValue("out_of_use_seconds+data_centre=badin", 0.0)))
		s.set(func(s *fakeServer) { s.maxInFlight = 0 })
		h.send(r1, 5*time.Second, 4)
		time.Sleep(100 * time.Millisecond)
		g.Expect(s.recorded().maxInFlight).To(Equal(1), "slow start")
		s.set(func(s *fakeServer) { s.serviceTime = time.Millisecond })
		time.Sleep(2 * time.Second)
		g.Expect(h.reachedDuring(s, r1, time.Second)).To(BeNumerically(">", 10))
	})
}

// Guards against a sub-request whose connection failed before a byte was written, and that then
// waits in the queue of a replica out of use.
func TestUnsentSubRequestIsNotQueuedOutOfUse(t *testing.T) {
	testDirectOwner(t, twoDataCentres(), func(g *WithT, h *harness) {
		s := h.dialer.server(r1)
		s.set(func(s *fakeServer) { s.serviceTime, s.unsentCalls = 400*time.Millisecond, 1 })
		id := h.send(r1, 5*time.Second, 1)[0]
		time.Sleep(20 * time.Millisecond)
		h.owner.SetEvacuated([]string{"badin"})
		time.Sleep(200 * time.Millisecond)
		g.Expect(h.reply(id)).To(And(HaveField("Replica", r1), HaveField("Outcome", wire.NotRun)))
	})
}

// Guards against probes of a data centre that fell silent before it was taken out of use,
// and of a server whose connection breaks under a request, and against a data centre that
// stays silent after its return.
func TestEvacuatedDataCentreIsNotProbed(t *testing.T) {
	replicas := []wire.ReplicaID{"a", "b", "c", "d"}
	testDirectOwner(t, config(testSlots, replicas), func(g *WithT, h *harness) {
		dials := func() (n int64) { return h.dialer.dials.Load() }
		for _, id := range replicas {
			h.dialer.server(id).set(func(s *fakeServer) { s.serviceTime, s.dialsTimeOut = time.Hour, true })
			sub := h.sub(id, 20*time.Second)
			sub.Key = wire.RequestKey{1}
			h.owner.Send([]wire.SubRequest{sub}, h.done)
		}
		time.Sleep(time.Second)
		g.Expect(h.owner.Usable("a")).To(BeFalse(), "silent")
		h.owner.SetEvacuated([]string{"badin"})
		time.Sleep(200 * time.Millisecond) // dials under way end
		before := dials()
		status := h.dialer.server("a").recorded().statusCalls
		h.dialer.server("a").closeConnections() // under a request that may have ended the server
		time.Sleep(10 * time.Second)
		g.Expect(dials()).To(Equal(before))
		g.Expect(h.dialer.server("a").recorded().statusCalls).To(Equal(status))
		for _, id := range replicas {
			h.dialer.server(id).set(func(s *fakeServer) { s.serviceTime, s.dialsTimeOut = time.Millisecond, false })
			h.dialer.server(id).closeConnections()
		}
		time.Sleep(time.Second)
		h.owner.SetEvacuated(nil)
		time.Sleep(time.Second)
		g.Expect(h.owner.Usable("b")).To(BeTrue())
		g.Expect(h.reachedDuring(h.dialer.server("b"), "b", time.Second)).To(BeNumerically(">", 10))
	})
}
