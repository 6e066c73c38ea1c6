package scatter

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Guards against a description that creates the state of a service, and against judgements that
// the choice does not use.
func TestDescribeChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newStatedTest(t)
		config := testConfig(1, 3)
		service := rotaQuery(config).Service
		g.Expect(s.engine.Describe(config.Services[service])).To(HaveLen(3))
		g.Expect(s.engine.services).To(BeEmpty())
		table := s.engine.service(service).tableFor(config.Services[service], &s.engine.options)
		now := time.Now()
		draining, ejected, failed := table.shards[0].replicas[0], table.shards[0].replicas[1], table.shards[0].replicas[2]
		draining.observe(now, wire.SnapshotRange{}, wire.Load{State: wire.ReplicaDraining})
		ejected.observe(now, wire.SnapshotRange{}, wire.Load{State: wire.ReplicaEjected})
		failed.addPenalty(now)
		d := s.engine.Describe(config.Services[service])
		g.Expect(d[draining.id].Draining).To(BeTrue())
		g.Expect(d[ejected.id].Ejected).To(BeTrue())
		g.Expect(d[failed.id]).To(Equal(Judgement{Price: failed.roundTrip + basePenalty}))
	})
}
