package rollout

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/arbutusgauge/arbutusgauge/internal/fixedseed"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

func TestMain(m *testing.M) {
	fixedseed.Parse()
	os.Exit(m.Run())
}

// inForceWithin is the promised time from the end of the faults, or from a
// later acknowledgement, until a note is in force on every host.
const inForceWithin = 4 * time.Second

// step is one drawn action of the stateful test.
type step struct {
	kind string
	at   int // host or data centre
	gap  time.Duration
	run  func(r *run, s step)
}

var steps = []step{
	{kind: "apply", run: func(r *run, s step) { r.apply(s.at) }},
	{kind: "apply", run: func(r *run, s step) { r.apply(s.at) }},
	{kind: "apply twice", run: func(r *run, s step) { r.apply(s.at); r.apply((s.at + 1) % hostCount) }},
	{kind: "store down", run: func(r *run, _ step) { r.w.set(func() { r.w.down = true }) }},
	{kind: "store up", run: func(r *run, _ step) { r.w.set(func() { r.w.down = false }) }},
	{kind: "lose replies", run: func(r *run, s step) { r.w.set(func() { r.w.loseReplies = 1 + s.at%3 }) }},
	{kind: "late writes", run: func(r *run, s step) { r.w.set(func() { r.w.lateWrites = s.gap }) }},
	{kind: "writes in time", run: func(r *run, _ step) { r.w.set(func() { r.w.lateWrites = 0 }) }},
	{kind: "stale reads", run: func(r *run, _ step) { r.w.set(func() { r.w.stale = true }) }},
	{kind: "fresh reads", run: func(r *run, _ step) { r.w.set(func() { r.w.stale = false }) }},
	{kind: "cut from platform", run: func(r *run, s step) { r.w.set(func() { r.w.cutPlatform[dataCentres[s.at%3]] = true }) }},
	{kind: "cut from others", run: func(r *run, s step) { r.w.set(func() { r.w.cutOthers[dataCentres[s.at%3]] = true }) }},
	{kind: "heal", run: func(r *run, _ step) { r.w.heal() }},
	{kind: "restart", run: func(r *run, s step) { r.restart(s.at) }},
}

const (
	hostCount = 9
	// sharedServices is the number of services that all notes change.
	sharedServices = 3
)

func (w *world) heal() {
	w.set(func() {
		w.down, w.stale, w.loseReplies, w.lateWrites = false, false, 0, 0
		clear(w.cutPlatform)
		clear(w.cutOthers)
	})
}

// run is one run of drawn steps.
type run struct {
	w       *world
	group   sync.WaitGroup
	mu      sync.Mutex
	next    int
	lastAck time.Time
	acked   map[string]uint64
	refused map[string]bool
	faults  []string
}

func (r *run) fault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

// apply presents a new note at a host, as an operator who has seen that
// host's configuration would.
func (r *run) apply(at int) {
	h := r.w.hosts[at]
	r.mu.Lock()
	r.next++
	id := fmt.Sprintf("n-%d", r.next)
	r.mu.Unlock()
	n := note(id, h.Manifest().Version, release.Service{Name: fmt.Sprintf("service-%d", r.next%sharedServices), Slots: uint32(r.next)})
	agent, ctx := h.Agent, h.ctx
	r.group.Go(func() {
		done, err := agent.Apply(ctx, n)
		r.mu.Lock()
		defer r.mu.Unlock()
		var (
			conflict *ConflictError
			down     *UnavailableError
		)
		switch {
		case err == nil:
			r.acked[id] = done.Version
			r.lastAck = time.Now()
		case errors.As(err, &conflict), errors.As(err, &down) && down.Outcome == NotApplied:
			r.refused[id] = true
		case errors.As(err, &down):
		default:
			r.faults = append(r.faults, fmt.Sprintf("note %s: %v", id, err))
		}
	})
}

func (r *run) restart(at int) {
	h := r.w.hosts[at]
	h.stop()
	r.checkOrder(h)
	h.start()
}

// checkOrder reports a process whose version went back.
func (r *run) checkOrder(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := *h.seen
	for i := 1; i < len(seen); i++ {
		if seen[i] <= seen[i-1] {
			r.fault("%s adopted %v", h.info.Name, seen)
		}
	}
}

// play runs the steps, ends the faults and checks the promises.
func (r *run) play(drawn []step) {
	for _, s := range drawn {
		s.run(r, s)
		time.Sleep(s.gap)
	}
	r.w.heal()
	healed := time.Now()
	time.Sleep(inForceWithin)
	r.mu.Lock()
	acked := r.lastAck
	r.mu.Unlock()
	if !acked.After(healed) {
		for _, text := range r.w.behind() {
			r.fault("%s after the faults ended: %s", inForceWithin, text)
		}
	}
	r.group.Wait()
	time.Sleep(inForceWithin)
	for _, text := range r.w.behind() {
		r.fault("%s after the last acknowledgement: %s", inForceWithin, text)
	}
	for _, h := range r.w.hosts {
		r.checkOrder(h)
	}
	r.checkHistory()
}

// checkHistory compares what the operators were told with what the store
// holds.
func (r *run) checkHistory() {
	history := r.w.notes()
	for id, version := range r.acked {
		if int(version) > len(history) || history[version-1] != id {
			r.fault("note %s was acknowledged as version %d of %v", id, version, history)
		}
	}
	for i, id := range history {
		if slices.Index(history, id) != i {
			r.fault("note %s was applied twice in %v", id, history)
		}
		if r.refused[id] {
			r.fault("note %s was refused but is in force in %v", id, history)
		}
	}
}

// Guards against a version that goes back, an acknowledged note that is not
// in force everywhere in time, a note applied twice and a refused note that
// comes into force, whatever faults happen together.
func TestRolloutUnderFaults(t *testing.T) {
	kinds := rapid.IntRange(0, len(steps)-1)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64Range(1, 1<<20).Draw(rt, "seed")
		var drawn []step
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			s := steps[kinds.Draw(rt, "kind")]
			s.at = rapid.IntRange(0, hostCount-1).Draw(rt, "at")
			s.gap = time.Duration(rapid.IntRange(0, 3000).Draw(rt, "gap ms")) * time.Millisecond
			drawn = append(drawn, s)
		}
		var faults []string
		// The bubble can't end the rapid test itself, so that it only
		// collects what went wrong.
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, seed, hostCount)
			defer w.stop()
			r := &run{w: w, acked: map[string]uint64{}, refused: map[string]bool{}}
			r.play(drawn)
			faults = r.faults
		})
		if len(faults) > 0 {
			rt.Fatalf("%v", faults)
		}
	})
}
