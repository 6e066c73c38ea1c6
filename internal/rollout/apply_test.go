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

func simulate(t *testing.T, body func(g *WithT, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 9)
		defer w.stop()
		body(NewWithT(t), w)
	})
}

var ctx = context.Background()

// Guards against an acknowledged note that some host doesn't get, and a note
// that is applied twice when it is presented again.
func TestApplyIsInForceEverywhereAndIdempotent(t *testing.T) {
	simulate(t, func(g *WithT, w *world) {
		first := note("n-1", 0, release.Service{Name: "mill", Slots: 2})
		done, err := w.hosts[4].Apply(ctx, first)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(done).To(Equal(Applied{Note: "n-1", Version: 1}))
		g.Expect(w.hosts[4].Current().Services).To(HaveKey("mill"))
		time.Sleep(time.Second)
		g.Expect(w.behind()).To(BeEmpty())

		done, err = w.hosts[0].Apply(ctx, first)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(done).To(Equal(Applied{Note: "n-1", Version: 1, Already: true}))
		g.Expect(w.hosts[0].Manifest().Recent).To(HaveLen(1))
		g.Expect(w.hosts[0].Manifest().Recent[0].Summary).To(Equal("1 service changed"))
	})
}

// Guards against a loser of a race that is not told, and against a second
// note that hides behind the id of an earlier one.
func TestConflictNamesTheWinner(t *testing.T) {
	simulate(t, func(g *WithT, w *world) {
		results := make(chan error, 2)
		for i, id := range []string{"n-1", "n-2"} {
			go func() {
				_, err := w.hosts[i].Apply(ctx, note(id, 0, release.Service{Name: id}))
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
		g.Expect(conflict.Winning).To(Equal(w.notes()[0]))
		g.Expect(conflict.Winning).NotTo(Equal(conflict.Note))

		_, err := w.hosts[0].Apply(ctx, note(w.notes()[0], 0, release.Service{Name: "other"}))
		g.Expect(errors.As(err, &conflict)).To(BeTrue())
		g.Expect(conflict.Winning).To(Equal(conflict.Note))
		g.Expect(w.notes()).To(HaveLen(1))
	})
}

// Guards against a lost reply that is reported as a failure or retried into a
// second version.
func TestLostReplyIsResolved(t *testing.T) {
	simulate(t, func(g *WithT, w *world) {
		w.set(func() { w.loseReplies = 2 }) // the document's and the manifest's
		done, err := w.hosts[0].Apply(ctx, note("n-1", 0, release.Service{Name: "mill"}))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(done).To(Equal(Applied{Note: "n-1", Version: 1}))
		g.Expect(w.notes()).To(Equal([]string{"n-1"}))
	})
}

// Guards against an outcome that claims more than is known while the store
// doesn't answer.
func TestOutcomeOfAnUnavailableStore(t *testing.T) {
	simulate(t, func(g *WithT, w *world) {
		var down *UnavailableError
		w.set(func() { w.down = true })
		_, err := w.hosts[0].Apply(ctx, note("n-1", 0, release.Service{Name: "mill"}))
		g.Expect(errors.As(err, &down)).To(BeTrue())
		g.Expect(down.Outcome).To(Equal(NotApplied))
		time.Sleep(time.Minute)
		g.Expect(w.notes()).To(BeEmpty())

		// The document is there, so that the manifest is the write in doubt.
		config := &release.Config{Services: map[string]*release.Service{"mill": {Name: "mill"}}}
		_, docs, err := release.Split(config, release.Manifest{}, release.NoteRecord{})
		g.Expect(err).NotTo(HaveOccurred())
		w.set(func() {
			w.down, w.lateWrites = false, 20*time.Second
			for hash, body := range docs {
				_, _ = w.swap(documentPrefix+hash, 0, body)
			}
		})
		_, err = w.hosts[0].Apply(ctx, note("n-1", 0, release.Service{Name: "mill"}))
		g.Expect(errors.As(err, &down)).To(BeTrue())
		g.Expect(down.Outcome).To(Equal(OutcomeUnknown))
		time.Sleep(30 * time.Second)
		g.Expect(w.notes()).To(Equal([]string{"n-1"}))
	})
}

// Guards against a note that is stored although its check failed.
func TestBadNoteIsRefused(t *testing.T) {
	simulate(t, func(g *WithT, w *world) {
		_, err := w.hosts[0].Apply(ctx, note("n-1", 0, release.Service{Name: "mill"}))
		g.Expect(err).NotTo(HaveOccurred())
		bad := &release.Note{ID: "n-2", Base: 1, Services: release.ServiceChanges{Added: []release.Service{{Name: "mill"}}}}
		_, err = w.hosts[0].Apply(ctx, bad)
		g.Expect(err).To(MatchError(badNoteError{}))
		g.Expect(w.notes()).To(HaveLen(1))
	})
}

// Guards against a host that waits for the platform although other hosts have
// the configuration.
func TestStartWithThePlatformDown(t *testing.T) {
	simulate(t, func(g *WithT, w *world) {
		_, err := w.hosts[0].Apply(ctx, note("n-1", 0, release.Service{Name: "mill"}))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		w.set(func() { w.down = true })
		w.hosts[3].stop()
		w.hosts[3].start()
		time.Sleep(time.Second)
		g.Expect(w.hosts[3].Current()).NotTo(BeNil())
		g.Expect(w.hosts[3].Current().Services).To(HaveKey("mill"))
	})
}

// Guards against a host that goes back when the store shows an older state.
func TestLowerVersionInTheStoreIsIgnored(t *testing.T) {
	simulate(t, func(g *WithT, w *world) {
		for i, id := range []string{"n-1", "n-2"} {
			_, err := w.hosts[0].Apply(ctx, note(id, uint64(i), release.Service{Name: id}))
			g.Expect(err).NotTo(HaveOccurred())
		}
		time.Sleep(time.Second)
		w.set(func() { w.stale = true })
		time.Sleep(time.Minute)
		for _, h := range w.hosts {
			g.Expect(h.Manifest().Version).To(Equal(uint64(2)))
		}
		// No other note has won, so the operator must not be told of a conflict.
		next := note("n-3", 2, release.Service{Name: "n-3"})
		_, err := w.hosts[0].Apply(ctx, next)
		var down *UnavailableError
		g.Expect(errors.As(err, &down)).To(BeTrue())
		g.Expect(down.Outcome).To(Equal(NotApplied))
		w.set(func() { w.stale = false })
		_, err = w.hosts[0].Apply(ctx, next)
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// Guards against a document that was damaged on the way or in the store.
func TestDamagedDocumentIsRefused(t *testing.T) {
	g := NewWithT(t)
	packed, err := pack([]byte(`{"name":"other"}`))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = unpackDocument(&peerpb.Document{Hash: release.Hash([]byte(`{"name":"mill"}`)), Body: packed})
	var bad *BadDocumentError
	g.Expect(errors.As(err, &bad)).To(BeTrue())
}

// Guards against a configuration that mixes two versions when unchanged
// documents are reused, and against work that grows with the whole of it.
func TestAdoptReusesWhatDidNotChange(t *testing.T) {
	simulate(t, func(g *WithT, w *world) {
		_, err := w.hosts[0].Apply(ctx, note("n-1", 0, release.Service{Name: "mill", Slots: 1}, release.Service{Name: "pay", Slots: 1}))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		before := w.hosts[5].Current()
		_, err = w.hosts[0].Apply(ctx, note("n-2", 1, release.Service{Name: "pay", Slots: 2}))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		after := w.hosts[5].Current()
		g.Expect(after.Version).To(Equal(uint64(2)))
		g.Expect(after.Services).To(HaveLen(2))
		g.Expect(after.Services["mill"]).To(BeIdenticalTo(before.Services["mill"]))
		g.Expect(after.Services["pay"].Slots).To(Equal(uint32(2)))
		g.Expect(before.Services["pay"].Slots).To(Equal(uint32(1)))
	})
}
