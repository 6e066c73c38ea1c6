package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// ticksPerPeriod is the number of timer ticks in one probe period. Expired
// suspicions are looked for at each tick.
const ticksPerPeriod = 5

// firstTablePeriods is the mean time, in probe periods, from the start to the
// first comparison of the whole table. The time between comparisons begins with
// the same value and doubles up to TablePeriod.
const firstTablePeriods = 4

// Agent maintains the member table of one process. It implements Members.
type Agent struct {
	opts Options
	log  log.Interface
	view atomic.Pointer[View]

	mu            sync.Mutex
	rng           *rand.Rand
	self          Host
	table         map[string]*tableEntry // other hosts by name
	events        eventQueue
	unpingedNames []string // hosts of the own data centre that are not yet pinged in this cycle
	viewVersion   uint64
	viewOutdated  bool
	// joined is true after the first exchange with another host.
	joined bool
	// stale is true after a pause, or after others declared this host failed
	// while it was cut off, until the table was taken over from another host. A
	// stale table is not sent to other hosts.
	stale      bool
	staleSince time.Time
	joining    bool
	lastActive time.Time
	// spreadSuppressed is true while events are merged that must not be queued
	// for other hosts.
	spreadSuppressed bool
	// pauseCount is the number of detected pauses. A probe during which it
	// changed is not evaluated.
	pauseCount         uint64
	selectedAsGateway  bool
	gatewayViewVersion uint64 // version of the view that selectedAsGateway was derived from
	// fillerNames holds the hosts that addFillerHosts adds next, in order.
	fillerNames []string

	servers          map[wire.ReplicaID]serverState
	listedLeaving    map[wire.ReplicaID]bool // leaving backend servers in this process's newest host list
	hostListRevision uint64
	listedEntryAddrs []string // entry hosts in this process's newest host list

	configCallbacks []func(addr string, version uint64)
	replacedErr     *ReplacedError
	pendingNotices  map[string]bool // names of the hosts that notifyOfClaim is sending a claim to

	runCtx          context.Context // context of Run; nil while it does not run
	backgroundCalls sync.WaitGroup
	// pauseHook, if a test sets it, blocks while the process is simulated as
	// paused.
	pauseHook func()
}

var _ Members = (*Agent)(nil)

// New returns an agent whose view holds only this host. It returns an
// *OptionError for an option out of range.
func New(opts Options) (*Agent, error) {
	if err := opts.Validate(); err != nil {
		return nil, errors.WithStack(err)
	}
	opts = opts.withDefaults()
	a := &Agent{
		opts:           opts,
		log:            opts.Log.WithField("module", "member").WithField("host", opts.Self.Name),
		rng:            rand.New(rand.NewPCG(opts.Seed, opts.Self.Incarnation)),
		self:           opts.Self,
		table:          map[string]*tableEntry{},
		servers:        map[wire.ReplicaID]serverState{},
		pendingNotices: map[string]bool{},
		viewOutdated:   true,
	}
	a.self.State = Live
	a.publishView()
	return a, nil
}

// View implements Members.
func (a *Agent) View() *View { return a.view.Load() }

// OnNewerConfig registers f to be called with a host's peer address and version
// when that host states a higher configuration version than this one has
// adopted. f must not block.
func (a *Agent) OnNewerConfig(f func(addr string, version uint64)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configCallbacks = append(a.configCallbacks, f)
}

// SetConfigVersion sets the configuration version that this host has adopted. A
// lower one than before is ignored. The first version is spread as an event,
// because a host without a configuration owns no replicas.
func (a *Agent) SetConfigVersion(version uint64) {
	a.mu.Lock()
	defer a.publishAndUnlock()
	if version > a.self.ConfigVersion {
		if a.self.ConfigVersion == 0 {
			a.self.Counter++
			defer func() { a.events.addMember(memberEvent(a.self)) }()
		}
		a.self.ConfigVersion = version
		a.viewOutdated = true
	}
}

// Announce sets the configuration version like SetConfigVersion and sends it at
// once to AnnounceFanout random hosts. It does not wait for their answers.
func (a *Agent) Announce(version uint64) {
	a.SetConfigVersion(version)
	a.sendToRandomHosts()
}

// Leave marks this host as leaving and spreads that to the other hosts. The
// host still takes part in the protocol until Run ends.
func (a *Agent) Leave() {
	a.mu.Lock()
	if a.self.State != Leaving {
		a.self.State = Leaving
		a.self.Counter++
		a.viewOutdated = true
		a.events.addMember(memberEvent(a.self))
	}
	a.publishAndUnlock()
	a.sendToRandomHosts()
}

// Suspect implements Members. The host at addr is marked as suspected at once
// and probed; it is declared dead after the suspicion time unless it refutes
// that.
func (a *Agent) Suspect(addr string) {
	a.mu.Lock()
	var found *tableEntry
	for _, e := range a.table {
		if e.host.Addr == addr && e.host.State != Dead {
			found = e
			break
		}
	}
	if found == nil {
		a.publishAndUnlock()
		return
	}
	a.markSuspected(found)
	host := found.host
	a.publishAndUnlock()
	a.spawn(func(ctx context.Context) { a.probe(ctx, host) })
}

// Run runs the membership protocol until ctx ends. It returns a *ReplacedError
// if another process has taken over this host's name.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer a.backgroundCalls.Wait()
	defer cancel()
	a.mu.Lock()
	a.runCtx = ctx
	a.lastActive = time.Now()
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.runCtx = nil
		a.mu.Unlock()
	}()
	a.join()
	a.runPeriodicTasks(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.replacedErr != nil {
		return errors.WithStack(a.replacedErr)
	}
	return nil
}

// runPeriodicTasks starts pings, table comparisons and reconnects when they are
// due, until ctx ends or the host is replaced.
func (a *Agent) runPeriodicTasks(ctx context.Context) {
	tick := a.opts.PingPeriod / ticksPerPeriod
	timer := time.NewTicker(tick)
	defer timer.Stop()
	nextPing := time.Now().Add(a.jitter(a.opts.PingPeriod))
	// The first comparisons follow shortly after the start, because gossip is
	// incomplete while many hosts start together.
	tableGap := min(firstTablePeriods*a.opts.PingPeriod, a.opts.TablePeriod)
	nextTable := time.Now().Add(a.jitter(2 * tableGap))
	nextReconnect := time.Now().Add(a.jitter(a.opts.ReconnectPeriod))
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		a.waitIfPaused()
		now := time.Now()
		if a.expireTimers(now) {
			return
		}
		if !now.Before(nextPing) {
			nextPing = now.Add(a.opts.PingPeriod)
			a.startProbes()
		}
		if !now.Before(nextTable) {
			nextTable = now.Add(3*tableGap/4 + a.jitter(tableGap/2))
			tableGap = min(2*tableGap, a.opts.TablePeriod)
			a.exchangeWithRandomHost()
		}
		if !now.Before(nextReconnect) {
			nextReconnect = now.Add(a.opts.ReconnectPeriod)
			a.reconnect()
		}
	}
}

// expireTimers declares hosts dead whose suspicion time is over, forgets old
// entries, and joins again if needed. It reports whether another process has
// replaced this host.
func (a *Agent) expireTimers(now time.Time) bool {
	a.mu.Lock()
	a.detectPause(now)
	for _, e := range a.table {
		if !e.declareDeadAt.IsZero() && !now.Before(e.declareDeadAt) && e.host.State != Dead {
			a.log.WithField("member", e.host.Name).WithField("incarnation", e.host.Incarnation).Info("host declared dead")
			a.opts.Scope.Counter("declared_dead").Inc(1)
			host := e.host
			host.State = Dead
			a.setHost(e, host, now)
		}
	}
	for name, e := range a.table {
		if !e.diedAt.IsZero() && now.Sub(e.diedAt) > a.opts.DeadRetention {
			delete(a.table, name)
		}
	}
	a.expireServers(now)
	replaced := a.replacedErr != nil
	if a.stale && now.Sub(a.staleSince) > a.opts.ReconnectPeriod {
		// No host has sent a table, perhaps because all were paused together.
		a.stale = false
	}
	mustJoin := (!a.joined || a.stale) && !replaced
	a.publishAndUnlock()
	if mustJoin {
		a.join()
	}
	return replaced
}

// detectPause checks whether the process was paused since the last call, that
// is, whether at least Options.SuspicionTimeout has passed. After a pause the
// table is outdated and must not be sent, and suspicion times are extended,
// because no answer could arrive during the pause. The caller holds mu.
func (a *Agent) detectPause(now time.Time) {
	if a.lastActive.IsZero() {
		return
	}
	gap := now.Sub(a.lastActive)
	a.lastActive = now
	if gap < a.opts.SuspicionTimeout {
		return
	}
	a.pauseCount++
	if a.joined {
		a.markStale(now)
	}
	for _, e := range a.table {
		if !e.declareDeadAt.IsZero() {
			e.declareDeadAt = e.declareDeadAt.Add(gap)
		}
	}
	a.opts.Scope.Counter("pauses").Inc(1)
	a.log.WithField("pause", gap.String()).Warn("process was paused, taking the member table from another host")
}

// markStale makes the host take over another host's table before it sends its
// own again. The caller holds mu.
func (a *Agent) markStale(now time.Time) {
	a.stale = true
	a.staleSince = now
	a.events.clearMembers()
}

// lockAndDetectPause locks mu and detects a pause of the process before the
// caller reads or changes the table.
func (a *Agent) lockAndDetectPause() {
	a.waitIfPaused()
	a.mu.Lock()
	a.detectPause(time.Now())
}

// spawn runs f in a goroutine that Run waits for. It does nothing unless Run is
// running.
func (a *Agent) spawn(f func(ctx context.Context)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ctx := a.runCtx
	if ctx == nil || ctx.Err() != nil {
		return
	}
	a.backgroundCalls.Add(1)
	go func() {
		defer a.backgroundCalls.Done()
		f(ctx)
	}()
}

// publishAndUnlock publishes the view if it is outdated and unlocks mu.
func (a *Agent) publishAndUnlock() {
	a.publishView()
	a.mu.Unlock()
}

// waitIfPaused blocks while a test simulates that the process is paused.
func (a *Agent) waitIfPaused() {
	if a.pauseHook != nil {
		a.pauseHook()
	}
}

// jitter returns a random duration in [0, d), so that hosts that start together
// don't send at the same times.
func (a *Agent) jitter(d time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(a.rng.Int64N(int64(d)))
}
