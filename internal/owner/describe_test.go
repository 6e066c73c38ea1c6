package owner

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Guards against an obstacle that is named wrongly, and against a description that differs from
// what the choice of a replica uses.
func TestDescribeNamesEachObstacle(t *testing.T) {
	for obstacle, cause := range map[Obstacle]func(h *harness, s *fakeServer){
		ObstacleNone:      func(*harness, *fakeServer) {},
		ObstacleEvacuated: func(h *harness, _ *fakeServer) { h.owner.SetEvacuated([]string{"badin"}) },
		ObstacleLeaving: func(h *harness, s *fakeServer) {
			s.set(func(s *fakeServer) { s.leaving = true })
			h.send(r1, time.Second, 1)
		},
		ObstacleDraining: func(h *harness, s *fakeServer) {
			s.set(func(s *fakeServer) { s.fault = faultDraining })
			h.send(r1, time.Second, 1)
		},
		ObstacleBackoff: func(h *harness, s *fakeServer) {
			s.set(func(s *fakeServer) { s.fault, s.backoff = faultShed, time.Minute })
			h.send(r1, time.Second, 1)
		},
		ObstacleSilent: func(h *harness, _ *fakeServer) {
			for _, id := range []wire.ReplicaID{r1, r2} {
				h.dialer.server(id).set(func(s *fakeServer) { s.statusFrozen, s.dialsTimeOut = true, true }) // so that no probe is answered
			}
			h.owner.table.Load().replicas[r1].dataCentre.silent.Store(true)
		},
		ObstacleUnreachable: func(h *harness, s *fakeServer) {
			s.set(func(s *fakeServer) { s.refuseDials = true })
			s.closeConnections()
			h.send(r1, time.Second, 1)
			time.Sleep(time.Second)
		},
		ObstacleUnknown:  func(h *harness, _ *fakeServer) { h.owner.SetConfig(config(testSlots, []wire.ReplicaID{r2})) },
		ObstacleStopping: func(h *harness, _ *fakeServer) { _ = h.owner.Stop(context.Background()) },
	} {
		t.Run("obstacle "+string(obstacle), func(t *testing.T) {
			testDirectOwner(t, oneShardConfig(), func(g *WithT, h *harness) {
				cause(h, h.dialer.server(r1))
				time.Sleep(50 * time.Millisecond)
				d := h.owner.Describe(r1)
				g.Expect(d.Obstacle).To(Equal(obstacle))
				g.Expect(h.owner.Usable(r1)).To(Equal(obstacle == ObstacleNone))
				if obstacle == ObstacleBackoff {
					g.Expect(d.Backoff).To(BeNumerically("~", time.Minute, time.Second))
				}
				wait, usable := h.owner.EstimateWait(r1)
				if usable {
					g.Expect(d.Wait).To(Equal(wait))
				}
			})
		})
	}
}

// Guards against stated loads and own requests that are missing from a description.
func TestDescribeShowsLoad(t *testing.T) {
	testDirectOwner(t, oneShardConfig(), func(g *WithT, h *harness) {
		load := wire.StatedLoad{Running: 2, Waiting: 6, Slots: 2, Slowness: 130}
		s := h.dialer.server(r1)
		s.set(func(s *fakeServer) { s.load = load })
		h.send(r1, time.Second, 1)
		time.Sleep(20 * time.Millisecond)
		s.set(func(s *fakeServer) { s.serviceTime = 500 * time.Millisecond })
		h.send(r1, 5*time.Second, testSlots+1)
		time.Sleep(20 * time.Millisecond)
		d := h.owner.Describe(r1)
		uncertainty, _ := h.owner.StatedUncertainty(r1)
		g.Expect(d).To(And(HaveField("Load", load), HaveField("StatesLoad", true), HaveField("Uncertainty", uncertainty),
			HaveField("InFlight", testSlots), HaveField("Queued", 1), HaveField("LoadAge", BeNumerically(">=", 20*time.Millisecond))))
	})
}
