package quota

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/account"
	"github.com/arbutusgauge/arbutusgauge/internal/peerhttp"
)

const (
	simDataCentres = 3
	simAccounts    = 82
	simLarge       = 4   // accounts with half of the load
	simLoad        = 100 // requests a second of all accounts, as usual
	simQuota       = 1.6 // quota of an account over its usual load
	simSurge       = 7.5
)

// fleet simulates hosts and callers in virtual time.
type fleet struct {
	began    time.Time
	accounts []account.Account
	usual    []float64 // requests a second by account

	mu      sync.Mutex // guards what follows
	hosts   map[string]*simHost
	names   []string
	leaders map[string][]string // by host that has another list than the default
	list    []string            // default list
	factor  []float64           // load over the usual, by account
	loads   []*simLoadResult
	random  *rand.Rand
}

type simHost struct {
	fleet    *fleet
	name     string
	index    int
	registry *Registry
	stop     context.CancelFunc
	ended    chan struct{}
	down     bool          // killed
	cutOff   bool          // reaches no other host
	frozen   chan struct{} // closed when the host wakes up; nil: it is awake
}

// simLoadResult is what became of the requests of one account.
type simLoadResult struct {
	admitted []time.Time
	offered  int
	waited   time.Duration // longest
	refused  int
	// tokens is the level of a token bucket of the quota that all admitted requests are
	// taken from; within counts the requests that were refused although it had a token.
	tokens  float64
	within  int
	waiting int // requests without a decision
	at      time.Time
}

func newFleet(t *testing.T, hosts int) *fleet {
	f := &fleet{
		began: time.Now(), hosts: map[string]*simHost{}, leaders: map[string][]string{}, random: rand.New(rand.NewPCG(1, uint64(hosts))),
	}
	for i := range simAccounts {
		usual := simLoad / 2.0 / simLarge
		if i >= simLarge {
			usual = simLoad / 2.0 / (simAccounts - simLarge)
		}
		rate := simQuota * usual
		f.usual = append(f.usual, usual)
		f.factor = append(f.factor, 1)
		f.accounts = append(f.accounts, account.Account{Name: "account" + strconv.Itoa(i), RatePerSecond: rate, Burst: max(5, rate)})
		f.loads = append(f.loads, &simLoadResult{tokens: max(5, rate), at: f.began})
	}
	for i := range hosts {
		f.list = append(f.list, simName(i))
		if i == simDataCentres-1 {
			break
		}
	}
	for i := range hosts {
		f.start(t, i, hosts)
	}
	return f
}

func simName(i int) string { return fmt.Sprintf("host%03d", i) }

// start starts a host, in place of one that has ended.
func (f *fleet) start(t *testing.T, index, hosts int) {
	h := &simHost{fleet: f, name: simName(index), index: index, ended: make(chan struct{})}
	var err error
	h.registry, err = New(Options{
		Address: h.name, Clock: func() time.Duration { return time.Since(f.began) },
		Leaders: func() []string { return f.leadersOf(h.name) }, Accounts: f.currentAccounts,
		Transport: h,
	})
	if err != nil {
		t.Fatal(err)
	}
	h.registry.SetHosts(hosts)
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	f.mu.Lock()
	if f.hosts[h.name] == nil {
		f.names = append(f.names, h.name)
	}
	f.hosts[h.name] = h
	f.mu.Unlock()
	go func() {
		defer close(h.ended)
		_ = h.registry.Run(ctx)
	}()
}

func (f *fleet) currentAccounts() []account.Account {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accounts
}

// kill ends a host without a last report.
func (f *fleet) kill(names ...string) {
	for _, name := range names {
		f.mu.Lock()
		h := f.hosts[name]
		h.down = true
		f.mu.Unlock()
		h.stop()
	}
}

func (f *fleet) leadersOf(name string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if list := f.leaders[name]; list != nil {
		return list
	}
	return f.list
}

// replaceLeader makes all hosts use another list, each at a moment of its own within a
// second.
func (f *fleet) replaceLeader(list []string) {
	before := f.list
	f.mu.Lock()
	for _, name := range f.names {
		f.leaders[name] = before
	}
	f.list = list
	names := slices.Clone(f.names)
	f.mu.Unlock()
	for _, name := range names {
		time.AfterFunc(time.Duration(rand.IntN(1000))*time.Millisecond, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			delete(f.leaders, name)
		})
	}
}

// Ask implements Transport. A report to a frozen host arrives when it wakes up.
func (h *simHost) Ask(ctx context.Context, peer string, report []byte) ([]byte, error) {
	f := h.fleet
	f.mu.Lock()
	to := f.hosts[peer]
	if to == nil { // not started
		f.mu.Unlock()
		return nil, &peerhttp.StatusError{Peer: peer}
	}
	if to.down && !h.cutOff {
		f.mu.Unlock()
		return nil, syscall.ECONNREFUSED
	}
	reachable := !h.down && !to.down && !h.cutOff && !to.cutOff
	frozen := to.frozen
	delay := 500*time.Microsecond + time.Duration((h.index%simDataCentres-to.index%simDataCentres+3)%3)*2450*time.Microsecond
	f.mu.Unlock()
	if !reachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(delay)
	if frozen != nil {
		go func() {
			<-frozen
			_, _ = to.registry.Answer(report)
		}()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	text, err := to.registry.Answer(report)
	time.Sleep(delay)
	return text, err
}

// IsGone implements Transport.
func (h *simHost) IsGone(_ context.Context, peer string) bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return !h.cutOff && h.fleet.hosts[peer].down
}

// freeze suspends the hosts' answers for some time.
func (f *fleet) freeze(length time.Duration, names ...string) {
	woken := make(chan struct{})
	f.setAll(names, func(h *simHost) { h.frozen = woken })
	time.AfterFunc(length, func() {
		f.setAll(names, func(h *simHost) { h.frozen = nil })
		close(woken)
	})
}

func (f *fleet) setAll(names []string, set func(*simHost)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		set(f.hosts[name])
	}
}

// run sends the load for some time. Each account uses some hosts much more than others.
func (f *fleet) run(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		total := 0.0
		for i, usual := range f.usual {
			total += usual * f.factor[i]
		}
		time.Sleep(time.Duration(f.random.ExpFloat64() / total * float64(time.Second)))
		at, chosen := f.random.Float64()*total, 0
		for i, usual := range f.usual {
			if at -= usual * f.factor[i]; at < 0 {
				chosen = i
				break
			}
		}
		f.mu.Lock()
		skewed := int(math.Pow(f.random.Float64(), 2) * float64(len(f.names)))
		h := f.hosts[f.names[(skewed+chosen*7)%len(f.names)]]
		ok := !h.down && h.frozen == nil
		f.mu.Unlock()
		if ok {
			go f.serve(h, chosen)
		}
	}
}

// serve sends one request of an account to a host.
func (f *fleet) serve(h *simHost, chosen int) {
	began := time.Now()
	f.mu.Lock()
	a, load := &f.accounts[chosen], f.loads[chosen]
	load.offered++
	// Those that wait may yet take a token.
	fits := load.refill(a) >= float64(1+load.waiting)
	load.waiting++
	f.mu.Unlock()
	_, err := h.registry.Admit(context.Background(), a)
	f.mu.Lock()
	defer f.mu.Unlock()
	load.waiting--
	load.waited = max(load.waited, time.Since(began))
	var exceeded *ExceededError
	switch {
	case err == nil:
		load.admitted = append(load.admitted, time.Now())
		load.refill(a)
		load.tokens--
	case errors.As(err, &exceeded):
		load.refused++
		if fits {
			load.within++
		}
	}
}

// refill returns the level of the bucket of an account now.
func (l *simLoadResult) refill(a *account.Account) float64 {
	l.tokens = min(max(1, a.Burst), l.tokens+a.RatePerSecond*time.Since(l.at).Seconds())
	l.at = time.Now()
	return l.tokens
}

// finish ends all hosts.
func (f *fleet) finish() {
	time.Sleep(time.Second)
	for _, name := range f.names {
		f.hosts[name].stop()
	}
	for _, name := range f.names {
		<-f.hosts[name].ended
	}
	time.Sleep(2 * time.Second)
	synctest.Wait()
}

// mostInWindow returns the most admissions in a window of R7.
func (l *simLoadResult) mostInWindow() int {
	slices.SortFunc(l.admitted, time.Time.Compare)
	most, first := 0, 0
	for i, at := range l.admitted {
		for at.Sub(l.admitted[first]) > DefaultBounds.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// expectBound checks the bound of R7 for each account, and reports the refusals.
func (f *fleet) expectBound(t *testing.T, g *WithT) (within int) {
	closest, offered := 0.0, 0
	for i, load := range f.loads {
		a := &f.accounts[i]
		bound := (a.RatePerSecond*DefaultBounds.Window.Seconds()+a.Burst)*(1+DefaultBounds.Overage) + DefaultBounds.Slack
		most := load.mostInWindow()
		closest = max(closest, float64(most)/bound)
		g.Expect(float64(most)).To(BeNumerically("<=", bound), a.Name)
		offered += load.offered
		if f.factor[i] == 1 {
			within += load.within
		}
	}
	large := f.loads[0]
	t.Logf("of %d requests, %d at the usual load were refused within the quota; most in a window %.2f of the bound; first account: offered %d, admitted %d, longest wait %s",
		offered, within, closest, large.offered, len(large.admitted), large.waited)
	return within
}

func names(from, to int) []string {
	var out []string
	for i := from; i < to; i++ {
		out = append(out, simName(i))
	}
	return out
}

// simEvent is what happens to a fleet of n hosts between two phases of load.
type simEvent struct {
	happen func(t *testing.T, f *fleet, n int)
	// inTouch is whether all hosts stay in touch, so that nothing within the quota may be
	// refused.
	inTouch bool
	// allSizes is whether it happens to fleets of all sizes, not only to that of 79 hosts.
	allSizes bool
}

var simEvents = map[string]simEvent{
	"nothing":             {inTouch: true, happen: func(*testing.T, *fleet, int) {}},
	"one surge":           {inTouch: true, happen: func(_ *testing.T, f *fleet, _ int) { f.factor[0] = simSurge }},
	"three surges":        {inTouch: true, allSizes: true, happen: func(_ *testing.T, f *fleet, _ int) { f.surge() }},
	"grantors killed":     {allSizes: true, happen: surgeAnd(func(f *fleet, _ int) { f.kill(names(0, 2)...) })},
	"two grantors frozen": {allSizes: true, happen: surgeAnd(func(f *fleet, _ int) { f.freeze(4*time.Second, names(0, 2)...) })},
	"all grantors frozen": {happen: surgeAnd(func(f *fleet, _ int) { f.freeze(4*time.Second, names(0, 3)...) })},
	"third cut off":       {allSizes: true, happen: surgeAnd(func(f *fleet, n int) { f.cutOff(names(n-n/3, n)) })},
	"all cut off":         {allSizes: true, happen: surgeAnd(func(f *fleet, n int) { f.cutOff(names(0, n)) })},
	"cut off and healed":  {happen: surgeAnd(func(f *fleet, n int) { f.cutOff(names(3, n)); time.AfterFunc(6*time.Second, f.heal) })},
	"flapping":            {happen: surgeAnd(func(f *fleet, n int) { f.flap(names(n/2, n)) })},
	"leader replaced":     {happen: surgeAnd(func(f *fleet, _ int) { f.replaceLeader(names(1, 4)) })},
	"frozen and replaced": {happen: surgeAnd(func(f *fleet, _ int) {
		f.freeze(4*time.Second, simName(0))
		time.AfterFunc(2*time.Second, func() { f.replaceLeader(names(1, 4)) })
	})},
	"killed with half": {happen: func(_ *testing.T, f *fleet, n int) {
		f.kill(append(names(0, 1), names(n/2, n)...)...)
		f.replaceLeader(names(1, 4))
	}},
	"all restarted": {happen: restartAll},
	"third added":   {inTouch: true, happen: addThird},
	"lower limit":   {inTouch: true, happen: lowerLimit},
}

// surgeAnd returns an event with a surge of three accounts.
func surgeAnd(happen func(f *fleet, n int)) func(*testing.T, *fleet, int) {
	return func(_ *testing.T, f *fleet, n int) {
		f.surge()
		happen(f, n)
	}
}

func (f *fleet) surge() { f.factor[0], f.factor[1], f.factor[10] = simSurge, simSurge, simSurge }

// cutOff cuts hosts off from all others. One account asks so much that each host uses its
// whole share.
func (f *fleet) cutOff(names []string) {
	f.factor[1] = 5 * simSurge
	f.setAll(names, func(h *simHost) { h.cutOff = true })
}

func (f *fleet) heal() { f.setAll(f.names, func(h *simHost) { h.cutOff = false }) }

// flap cuts hosts off for a third of each second and a half.
func (f *fleet) flap(names []string) {
	for i := range 8 {
		at := time.Duration(i) * 1500 * time.Millisecond
		time.AfterFunc(at, func() { f.setAll(names, func(h *simHost) { h.cutOff = true }) })
		time.AfterFunc(at+500*time.Millisecond, f.heal)
	}
}

func restartAll(t *testing.T, f *fleet, n int) {
	f.surge()
	f.kill(names(0, n)...)
	time.Sleep(300 * time.Millisecond)
	for i := range n {
		f.start(t, i, n)
	}
}

func addThird(t *testing.T, f *fleet, n int) {
	for i := n; i < n+n/3; i++ {
		f.start(t, i, n+n/3)
	}
	for _, name := range f.names {
		f.hosts[name].registry.SetHosts(n + n/3)
	}
}

// lowerLimit makes a version with half of the quotas and half of the load come into force.
func lowerLimit(_ *testing.T, f *fleet, _ int) {
	f.mu.Lock()
	accounts := slices.Clone(f.accounts)
	for i := range accounts {
		accounts[i].RatePerSecond /= 2
		f.usual[i] /= 2
		f.loads[i] = &simLoadResult{tokens: 1, at: time.Now()}
	}
	f.accounts = accounts
	f.mu.Unlock()
	time.Sleep(DefaultBounds.Window)
}

// Guards against more requests of an account than the bound of R7 in any window, and
// against refusals within the quota while all hosts are in touch.
func TestHostsTogetherKeepQuotas(t *testing.T) {
	for _, hosts := range []int{27, 79, 300} {
		for name, event := range simEvents {
			if hosts != 79 && !event.allSizes {
				continue
			}
			t.Run(strconv.Itoa(hosts)+" hosts/"+name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					f := newFleet(t, hosts)
					time.Sleep(2 * time.Second)
					f.run(6 * time.Second)
					event.happen(t, f, hosts)
					f.run(11 * time.Second)
					f.finish()
					within := f.expectBound(t, g)
					if event.inTouch {
						g.Expect(within).To(BeZero(), "refused within the quota")
					}
				})
			})
		}
	}
}
