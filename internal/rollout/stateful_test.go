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

// inForceLimit is the guaranteed time in which an acknowledged note comes into
// force on every host, counted from the acknowledgement or, if that is later,
// from the end of the faults.
const inForceLimit = 4 * time.Second

// step is one randomly drawn action of TestRolloutUnderFaults.
type step struct {
	kind   string
	target int           // index of a host; modulo 3, of a data centre
	pause  time.Duration // wait after the step; for "late writes", also the delay of writes
	run    func(r *faultRun, s step)
}

var steps = []step{
	{kind: "apply", run: func(r *faultRun, s step) { r.apply(s.target) }},
	{kind: "apply", run: func(r *faultRun, s step) { r.apply(s.target) }},
	{kind: "apply twice", run: func(r *faultRun, s step) { r.apply(s.target); r.apply((s.target + 1) % hostCount) }},
	{kind: "store down", run: func(r *faultRun, _ step) { r.sim.locked(func() { r.sim.storeDown = true }) }},
	{kind: "store up", run: func(r *faultRun, _ step) { r.sim.locked(func() { r.sim.storeDown = false }) }},
	{kind: "lose replies", run: func(r *faultRun, s step) { r.sim.locked(func() { r.sim.repliesToLose = 1 + s.target%3 }) }},
	{kind: "late writes", run: func(r *faultRun, s step) { r.sim.locked(func() { r.sim.writeDelay = s.pause }) }},
	{kind: "writes in time", run: func(r *faultRun, _ step) { r.sim.locked(func() { r.sim.writeDelay = 0 }) }},
	{kind: "stale reads", run: func(r *faultRun, _ step) { r.sim.locked(func() { r.sim.staleReads = true }) }},
	{kind: "fresh reads", run: func(r *faultRun, _ step) { r.sim.locked(func() { r.sim.staleReads = false }) }},
	{kind: "cut from platform", run: func(r *faultRun, s step) {
		r.sim.locked(func() { r.sim.cutFromPlatform[dataCentres[s.target%3]] = true })
	}},
	{kind: "cut from others", run: func(r *faultRun, s step) {
		r.sim.locked(func() { r.sim.cutFromOthers[dataCentres[s.target%3]] = true })
	}},
	{kind: "heal", run: func(r *faultRun, _ step) { r.sim.heal() }},
	{kind: "restart", run: func(r *faultRun, s step) { r.restart(s.target) }},
}

const (
	hostCount = 9
	// sharedServiceCount is the number of services among which each note changes
	// one.
	sharedServiceCount = 3
)

// heal ends all faults.
func (sim *simulation) heal() {
	sim.locked(func() {
		sim.storeDown, sim.staleReads, sim.repliesToLose, sim.writeDelay = false, false, 0, 0
		clear(sim.cutFromPlatform)
		clear(sim.cutFromOthers)
	})
}

// faultRun executes drawn steps on a simulation and records the violations of
// the guarantees.
type faultRun struct {
	sim        *simulation
	group      sync.WaitGroup
	mu         sync.Mutex
	lastNote   int
	lastAck    time.Time
	acked      map[string]uint64
	refused    map[string]bool
	violations []string
}

// violationf records a violation.
func (r *faultRun) violationf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// apply presents a new note at a host, with the version in force on that host as
// its base, and records the outcome. It does not wait for it.
func (r *faultRun) apply(target int) {
	h := r.sim.hosts[target]
	r.mu.Lock()
	r.lastNote++
	id := fmt.Sprintf("n-%d", r.lastNote)
	r.mu.Unlock()
	n := newNote(id, h.Manifest().Version, release.Service{Name: fmt.Sprintf("service-%d", r.lastNote%sharedServiceCount), Slots: uint32(r.lastNote)})
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
		case errors.As(err, &conflict), errors.As(err, &down) && down.Outcome == OutcomeNotApplied:
			r.refused[id] = true
		case errors.As(err, &down):
		default:
			r.violations = append(r.violations, fmt.Sprintf("note %s: %v", id, err))
		}
	})
}

// restart ends the process of a host and starts a new one.
func (r *faultRun) restart(target int) {
	h := r.sim.hosts[target]
	h.stop()
	r.checkVersionsIncrease(h)
	h.start()
}

// checkVersionsIncrease records a violation if the running process of h adopted
// a version that is not above the one before.
func (r *faultRun) checkVersionsIncrease(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	versions := *h.adoptedVersions
	for i := 1; i < len(versions); i++ {
		if versions[i] <= versions[i-1] {
			r.violationf("%s adopted %v", h.info.Name, versions)
		}
	}
}

// execute runs the steps, ends the faults and checks that notes come into force
// in time, that versions only increase, and that the store agrees with the
// outcomes of the notes.
func (r *faultRun) execute(drawn []step) {
	for _, s := range drawn {
		s.run(r, s)
		time.Sleep(s.pause)
	}
	r.sim.heal()
	healed := time.Now()
	time.Sleep(inForceLimit)
	r.mu.Lock()
	acked := r.lastAck
	r.mu.Unlock()
	if !acked.After(healed) {
		for _, text := range r.sim.outdatedHosts() {
			r.violationf("%s after the faults ended: %s", inForceLimit, text)
		}
	}
	r.group.Wait()
	time.Sleep(inForceLimit)
	for _, text := range r.sim.outdatedHosts() {
		r.violationf("%s after the last acknowledgement: %s", inForceLimit, text)
	}
	for _, h := range r.sim.hosts {
		r.checkVersionsIncrease(h)
	}
	r.checkHistory()
}

// checkHistory compares the outcomes that were returned for the notes with the
// versions in the store.
func (r *faultRun) checkHistory() {
	history := r.sim.notesInForce()
	for id, version := range r.acked {
		if int(version) > len(history) || history[version-1] != id {
			r.violationf("note %s was acknowledged as version %d of %v", id, version, history)
		}
	}
	for i, id := range history {
		if slices.Index(history, id) != i {
			r.violationf("note %s was applied twice in %v", id, history)
		}
		if r.refused[id] {
			r.violationf("note %s was refused but is in force in %v", id, history)
		}
	}
}

// Guards against a host that adopts a lower version, an acknowledged note that
// is not in force on every host in time, a note that is applied twice, and a
// refused note that comes into force, under random combinations of faults.
func TestRolloutUnderFaults(t *testing.T) {
	kinds := rapid.IntRange(0, len(steps)-1)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64Range(1, 1<<20).Draw(rt, "seed")
		var drawn []step
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			s := steps[kinds.Draw(rt, "kind")]
			s.target = rapid.IntRange(0, hostCount-1).Draw(rt, "at")
			s.pause = time.Duration(rapid.IntRange(0, 3000).Draw(rt, "gap ms")) * time.Millisecond
			drawn = append(drawn, s)
		}
		var faults []string
		// The function runs in a goroutine of its own and must not end the
		// rapid test from there, so it only collects the violations.
		synctest.Test(t, func(t *testing.T) {
			sim := newSimulation(t, seed, hostCount)
			defer sim.stop()
			r := &faultRun{sim: sim, acked: map[string]uint64{}, refused: map[string]bool{}}
			r.execute(drawn)
			faults = r.violations
		})
		if len(faults) > 0 {
			rt.Fatalf("%v", faults)
		}
	})
}
