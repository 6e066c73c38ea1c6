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

// ticksPerPeriod is the number of timer ticks in one probe period; suspicion
// times are checked at each tick.
const ticksPerPeriod = 5

// firstTablePeriods is the number of probe periods from the start to the first
// comparison of the whole table; the gap then doubles up to TablePeriod.
const firstTablePeriods = 4

// Agent keeps the member table of one process. It implements Members.
type Agent struct {
	opts Options
	log  log.Interface
	view atomic.Pointer[View]

	mu      sync.Mutex
	rng     *rand.Rand
	self    Host
	table   map[string]*entry // other hosts by name
	queue   queue
	ring    []string // hosts of the own data centre that are still to be pinged in this round
	version uint64
	dirty   bool
	// joined is true after the first exchange with another host.
	joined bool
	// stale is true from a pause, or from being declared dead, until the table
	// was taken over from another host. A stale table is sent to nobody.
	stale      bool
	staleSince time.Time
	joining    bool
	lastTick   time.Time
	// quiet is set while events are merged that are not to be spread.
	quiet bool
	// pauses counts pauses, so that a probe that spans one is not believed.
	pauses         uint64
	gateway        bool
	gatewayVersion uint64 // version of the view that gateway was derived from
	// filler is the next host to put into spare room of a message.
	filler []string

	servers      map[wire.ReplicaID]server
	listed       map[wire.ReplicaID]bool // leaving servers in the newest own host list
	listRevision uint64
	contacts     []string // entry hosts in the newest own host list

	callbacks []func(addr string, version uint64)
	replaced  *ReplacedError
	notices   map[string]bool // hosts that are being told of a claim about them

	running context.Context // nil unless Run runs
	calls   sync.WaitGroup
	// gate, when set by a test, blocks while the process is to be paused.
	gate func()
}

var _ Members = (*Agent)(nil)

// New returns an agent whose view holds only the own host. *OptionError
// reports an option out of range.
func New(opts Options) (*Agent, error) {
	if err := opts.Validate(); err != nil {
		return nil, errors.WithStack(err)
	}
	opts = opts.withDefaults()
	a := &Agent{
		opts:    opts,
		log:     opts.Log.WithField("module", "member").WithField("host", opts.Self.Name),
		rng:     rand.New(rand.NewPCG(opts.Seed, opts.Self.Incarnation)),
		self:    opts.Self,
		table:   map[string]*entry{},
		servers: map[wire.ReplicaID]server{},
		notices: map[string]bool{},
		dirty:   true,
	}
	a.self.State = Live
	a.publish()
	return a, nil
}

// View implements Members.
func (a *Agent) View() *View { return a.view.Load() }

// OnConfig registers f to be called when another host shows a configuration
// version above the own one. f must not block.
func (a *Agent) OnConfig(f func(addr string, version uint64)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callbacks = append(a.callbacks, f)
}

// SetConfigVersion states the version that this host has adopted; a lower
// version than before is ignored. The first one is spread as an event, because
// a host without a configuration owns no replicas.
func (a *Agent) SetConfigVersion(version uint64) {
	a.mu.Lock()
	defer a.unlock()
	if version > a.self.ConfigVersion {
		if a.self.ConfigVersion == 0 {
			a.self.Counter++
			defer func() { a.queue.addMember(eventOf(a.self)) }()
		}
		a.self.ConfigVersion = version
		a.dirty = true
	}
}

// Announce states a newly adopted version and sends it at once to
// AnnounceFanout random members. It does not wait for them.
func (a *Agent) Announce(version uint64) {
	a.SetConfigVersion(version)
	a.push()
}

// Leave tells the other hosts that this one is leaving. The host goes on
// taking part in the membership until Run ends.
func (a *Agent) Leave() {
	a.mu.Lock()
	if a.self.State != Leaving {
		a.self.State = Leaving
		a.self.Counter++
		a.dirty = true
		a.queue.addMember(eventOf(a.self))
	}
	a.unlock()
	a.push()
}

// Suspect implements Members: the host is suspected at once, probed, and dead
// after the suspicion time unless it answers.
func (a *Agent) Suspect(addr string) {
	a.mu.Lock()
	var found *entry
	for _, e := range a.table {
		if e.host.Addr == addr && e.host.State != Dead {
			found = e
			break
		}
	}
	if found == nil {
		a.unlock()
		return
	}
	a.suspect(found)
	host := found.host
	a.unlock()
	a.spawn(func(ctx context.Context) { a.probe(ctx, host) })
}

// Run takes part in the membership until ctx ends. *ReplacedError means that
// another process has taken over this host's name.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer a.calls.Wait()
	defer cancel()
	a.mu.Lock()
	a.running = ctx
	a.lastTick = time.Now()
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.running = nil
		a.mu.Unlock()
	}()
	a.join()
	a.schedule(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.replaced != nil {
		return errors.WithStack(a.replaced)
	}
	return nil
}

// schedule starts the periodic work until ctx ends or the host is replaced.
func (a *Agent) schedule(ctx context.Context) {
	tick := a.opts.Period / ticksPerPeriod
	timer := time.NewTicker(tick)
	defer timer.Stop()
	nextPing := time.Now().Add(a.jitter(a.opts.Period))
	// The first comparisons come soon: what a host hears while many start
	// together is incomplete.
	tableGap := min(firstTablePeriods*a.opts.Period, a.opts.TablePeriod)
	nextTable := time.Now().Add(a.jitter(2 * tableGap))
	nextReconnect := time.Now().Add(a.jitter(a.opts.ReconnectPeriod))
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		a.wait()
		now := time.Now()
		if a.tick(now) {
			return
		}
		if !now.Before(nextPing) {
			nextPing = now.Add(a.opts.Period)
			a.pingRound()
		}
		if !now.Before(nextTable) {
			nextTable = now.Add(3*tableGap/4 + a.jitter(tableGap/2))
			tableGap = min(2*tableGap, a.opts.TablePeriod)
			a.compareTable()
		}
		if !now.Before(nextReconnect) {
			nextReconnect = now.Add(a.opts.ReconnectPeriod)
			a.reconnect()
		}
	}
}

// tick applies the passage of time. It reports whether the host was replaced.
func (a *Agent) tick(now time.Time) bool {
	a.mu.Lock()
	a.observe(now)
	for _, e := range a.table {
		if !e.until.IsZero() && !now.Before(e.until) && e.host.State != Dead {
			a.log.WithField("member", e.host.Name).WithField("incarnation", e.host.Incarnation).Info("host declared dead")
			a.opts.Scope.Counter("declared_dead").Inc(1)
			host := e.host
			host.State = Dead
			a.store(e, host, now)
		}
	}
	for name, e := range a.table {
		if !e.died.IsZero() && now.Sub(e.died) > a.opts.Retention {
			delete(a.table, name)
		}
	}
	a.expireServers(now)
	replaced := a.replaced != nil
	if a.stale && now.Sub(a.staleSince) > a.opts.ReconnectPeriod {
		// Nobody answers, perhaps because all hosts were paused together.
		a.stale = false
	}
	again := (!a.joined || a.stale) && !replaced
	a.unlock()
	if again {
		a.join()
	}
	return replaced
}

// observe notices that the process was paused: it then has old state, which
// it must not send, and timers that ran out without a chance of an answer.
func (a *Agent) observe(now time.Time) {
	if a.lastTick.IsZero() {
		return
	}
	gap := now.Sub(a.lastTick)
	a.lastTick = now
	if gap < a.opts.Suspicion {
		return
	}
	a.pauses++
	if a.joined {
		a.setStale(now)
	}
	for _, e := range a.table {
		if !e.until.IsZero() {
			e.until = e.until.Add(gap)
		}
	}
	a.opts.Scope.Counter("pauses").Inc(1)
	a.log.WithField("pause", gap.String()).Warn("process was paused, taking the member table from another host")
}

// setStale makes the host take over another host's table before it sends its
// own again. The lock is held.
func (a *Agent) setStale(now time.Time) {
	a.stale = true
	a.staleSince = now
	a.queue.clearMembers()
}

// lock takes the lock and notices a pause.
func (a *Agent) lock() {
	a.wait()
	a.mu.Lock()
	a.observe(time.Now())
}

// spawn runs f in the background while Run runs.
func (a *Agent) spawn(f func(ctx context.Context)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ctx := a.running
	if ctx == nil || ctx.Err() != nil {
		return
	}
	a.calls.Add(1)
	go func() {
		defer a.calls.Done()
		f(ctx)
	}()
}

// unlock publishes the view if it changed and releases the lock.
func (a *Agent) unlock() {
	a.publish()
	a.mu.Unlock()
}

// wait blocks while a test holds the process paused.
func (a *Agent) wait() {
	if a.gate != nil {
		a.gate()
	}
}

// jitter returns a random part of d, so that hosts that start together don't
// act together.
func (a *Agent) jitter(d time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(a.rng.Int64N(int64(d)))
}
