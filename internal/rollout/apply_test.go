package rollout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

// simulate runs body in virtual time with a simulation of 9 hosts.
func simulate(t *testing.T, body func(g *WithT, sim *simulation)) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, 9)
		defer sim.stop()
		body(NewWithT(t), sim)
	})
}

var ctx = context.Background()

// Guards against an acknowledged note that doesn't reach every host, and against
// a note that is applied a second time when it is presented again.
func TestApplyReachesAllHostsAndIsIdempotent(t *testing.T) {
	simulate(t, func(g *WithT, sim *simulation) {
		first := newNote("n-1", 0, release.Service{Name: "mill", Slots: 2})
		done, err := sim.hosts[4].Apply(ctx, first)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(done).To(Equal(Applied{Note: "n-1", Version: 1}))
		g.Expect(sim.hosts[4].Current().Services).To(HaveKey("mill"))
		time.Sleep(time.Second)
		g.Expect(sim.outdatedHosts()).To(BeEmpty())

		done, err = sim.hosts[0].Apply(ctx, first)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(done).To(Equal(Applied{Note: "n-1", Version: 1, AlreadyApplied: true}))
		g.Expect(sim.hosts[0].Manifest().Recent).To(HaveLen(1))
		g.Expect(sim.hosts[0].Manifest().Recent[0].Summary).To(Equal("1 service changed"))
	})
}

// Guards against a missing conflict error for one of two concurrent notes with
// the same base version, and against a different note that is taken for an
// earlier one because it has the same id.
func TestConflictErrorNamesWinningNote(t *testing.T) {
	simulate(t, func(g *WithT, sim *simulation) {
		results := make(chan error, 2)
		for i, id := range []string{"n-1", "n-2"} {
			go func() {
				_, err := sim.hosts[i].Apply(ctx, newNote(id, 0, release.Service{Name: id}))
				results <- err
			}()
		}
		lost := <-results
		if second := <-results; lost == nil {
			lost = second
		} else {
			g.Expect(second).NotTo(HaveOccurred())
		}
		var conflict *ConflictError
		g.Expect(errors.As(lost, &conflict)).To(BeTrue())
		g.Expect(conflict.WinningNote).To(Equal(sim.notesInForce()[0]))
		g.Expect(conflict.WinningNote).NotTo(Equal(conflict.Note))

		_, err := sim.hosts[0].Apply(ctx, newNote(sim.notesInForce()[0], 0, release.Service{Name: "other"}))
		g.Expect(errors.As(err, &conflict)).To(BeTrue())
		g.Expect(conflict.WinningNote).To(Equal(conflict.Note))
		g.Expect(sim.notesInForce()).To(HaveLen(1))
	})
}

// Guards against a note that is reported as failed, or applied as a second
// version, when the store made a write but its reply was lost.
func TestApplySucceedsAfterLostStoreReplies(t *testing.T) {
	simulate(t, func(g *WithT, sim *simulation) {
		sim.locked(func() { sim.repliesToLose = 2 }) // the replies to the writes of the document and the manifest
		done, err := sim.hosts[0].Apply(ctx, newNote("n-1", 0, release.Service{Name: "mill"}))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(done).To(Equal(Applied{Note: "n-1", Version: 1}))
		g.Expect(sim.notesInForce()).To(Equal([]string{"n-1"}))
	})
}

// Guards against a definite outcome while the store is unavailable and the
// manifest may still be written. Before the manifest is written, the outcome is
// OutcomeNotApplied.
func TestApplyOutcomeWhenStoreIsUnavailable(t *testing.T) {
	simulate(t, func(g *WithT, sim *simulation) {
		var down *UnavailableError
		sim.locked(func() { sim.storeDown = true })
		_, err := sim.hosts[0].Apply(ctx, newNote("n-1", 0, release.Service{Name: "mill"}))
		g.Expect(errors.As(err, &down)).To(BeTrue())
		g.Expect(down.Outcome).To(Equal(OutcomeNotApplied))
		time.Sleep(time.Minute)
		g.Expect(sim.notesInForce()).To(BeEmpty())

		// The document is in the store already, so that the write of the
		// manifest is the one whose outcome is unknown.
		config := &release.Config{Services: map[string]*release.Service{"mill": {Name: "mill"}}}
		_, docs, err := release.Split(config, release.Manifest{}, release.NoteRecord{})
		g.Expect(err).NotTo(HaveOccurred())
		sim.locked(func() {
			sim.storeDown, sim.writeDelay = false, 20*time.Second
			for hash, body := range docs {
				_, _ = sim.swap(documentPrefix+hash, 0, body)
			}
		})
		_, err = sim.hosts[0].Apply(ctx, newNote("n-1", 0, release.Service{Name: "mill"}))
		g.Expect(errors.As(err, &down)).To(BeTrue())
		g.Expect(down.Outcome).To(Equal(OutcomeUnknown))
		time.Sleep(30 * time.Second)
		g.Expect(sim.notesInForce()).To(Equal([]string{"n-1"}))
	})
}

// Guards against a note that is stored although its check failed.
func TestNoteThatFailsCheckIsNotStored(t *testing.T) {
	simulate(t, func(g *WithT, sim *simulation) {
		_, err := sim.hosts[0].Apply(ctx, newNote("n-1", 0, release.Service{Name: "mill"}))
		g.Expect(err).NotTo(HaveOccurred())
		bad := &release.Note{ID: "n-2", Base: 1, Services: release.ServiceChanges{Added: []release.Service{{Name: "mill"}}}}
		_, err = sim.hosts[0].Apply(ctx, bad)
		g.Expect(err).To(MatchError(badNoteError{}))
		g.Expect(sim.notesInForce()).To(HaveLen(1))
	})
}

// Guards against a restarted host that stays without a configuration while the
// store is unavailable, although other hosts have one.
func TestStartFetchesFromHostsWhenStoreIsDown(t *testing.T) {
	simulate(t, func(g *WithT, sim *simulation) {
		_, err := sim.hosts[0].Apply(ctx, newNote("n-1", 0, release.Service{Name: "mill"}))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		sim.locked(func() { sim.storeDown = true })
		sim.hosts[3].stop()
		sim.hosts[3].start()
		time.Sleep(time.Second)
		g.Expect(sim.hosts[3].Current()).NotTo(BeNil())
		g.Expect(sim.hosts[3].Current().Services).To(HaveKey("mill"))
	})
}

// Guards against a host that returns to a lower version when reads of the store
// are stale.
func TestLowerVersionInTheStoreIsIgnored(t *testing.T) {
	simulate(t, func(g *WithT, sim *simulation) {
		for i, id := range []string{"n-1", "n-2"} {
			_, err := sim.hosts[0].Apply(ctx, newNote(id, uint64(i), release.Service{Name: id}))
			g.Expect(err).NotTo(HaveOccurred())
		}
		time.Sleep(time.Second)
		sim.locked(func() { sim.staleReads = true })
		time.Sleep(time.Minute)
		for _, h := range sim.hosts {
			g.Expect(h.Manifest().Version).To(Equal(uint64(2)))
		}
		// No other note has been applied, so this must not be reported as a
		// conflict.
		next := newNote("n-3", 2, release.Service{Name: "n-3"})
		_, err := sim.hosts[0].Apply(ctx, next)
		var down *UnavailableError
		g.Expect(errors.As(err, &down)).To(BeTrue())
		g.Expect(down.Outcome).To(Equal(OutcomeNotApplied))
		sim.locked(func() { sim.staleReads = false })
		_, err = sim.hosts[0].Apply(ctx, next)
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// Guards against a document that was corrupted in transit or in the store.
func TestDocumentWithWrongHashIsRefused(t *testing.T) {
	g := NewWithT(t)
	packed, err := compress([]byte(`{"name":"other"}`))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = decompressDocument(&peerpb.Document{Hash: release.Hash([]byte(`{"name":"mill"}`)), Body: packed})
	var bad *BadDocumentError
	g.Expect(errors.As(err, &bad)).To(BeTrue())
}

// Guards against a configuration that mixes two versions when unchanged services
// are reused, and against a cost of adoption that grows with the size of the
// whole configuration.
func TestAdoptReusesUnchangedServices(t *testing.T) {
	simulate(t, func(g *WithT, sim *simulation) {
		_, err := sim.hosts[0].Apply(ctx, newNote("n-1", 0, release.Service{Name: "mill", Slots: 1}, release.Service{Name: "pay", Slots: 1}))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		before := sim.hosts[5].Current()
		_, err = sim.hosts[0].Apply(ctx, newNote("n-2", 1, release.Service{Name: "pay", Slots: 2}))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		after := sim.hosts[5].Current()
		g.Expect(after.Version).To(Equal(uint64(2)))
		g.Expect(after.Services).To(HaveLen(2))
		g.Expect(after.Services["mill"]).To(BeIdenticalTo(before.Services["mill"]))
		g.Expect(after.Services["pay"].Slots).To(Equal(uint32(2)))
		g.Expect(before.Services["pay"].Slots).To(Equal(uint32(1)))
	})
}
