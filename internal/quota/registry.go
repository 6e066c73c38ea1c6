// Package quota keeps the quotas of client accounts over all hosts. A request needs a
// credit, which one leader for each account, the grantor, gives out of a token bucket.
// Hosts hold a few credits in advance where the bucket has more than its burst, and ask
// and wait near the quota. A host that gets no answer uses an equal share of the quota,
// which the grantor keeps free for it. docs/design/quotas.md describes the rules.
package quota

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/account"
)

const (
	// waitTimeout is the longest time that a request waits for a credit. A grantor that
	// answers takes a few round trips between data centres and the time until a host may send
	// its next report, some 110 ms. The rest is for one that is stalled, and for the change
	// to the next leader.
	waitTimeout = 400 * time.Millisecond
	// startTime is how long after its start a host may not know the leaders yet.
	startTime = 5 * time.Second
	// quietTime is how long an account must have had no refusal at this host to be logged
	// as below its quota.
	quietTime = 10 * time.Second
)

// Registry admits the requests of this host and, on a leader, grants credits to all
// hosts. It is safe for concurrent use.
type Registry struct {
	options   Options
	metrics   metrics
	process   uint64
	startedAt time.Duration
	hosts     atomic.Int32 // number of hosts, 0: unknown
	directory atomic.Pointer[directory]
	wake      chan struct{} // wakes Run; holds one value at most

	mu        sync.Mutex
	uses      map[string]*use // by account
	lastEpoch uint64
	sequence  uint64
	known     []string // all leaders, sorted
	leaders   []string // those in use: without leaders that do not answer, unless none does
	leaving   bool     // the list in use is to be replaced
	noLeader  time.Duration
	links     map[string]*link

	grantorMu sync.Mutex
	grantor   *grantor
	probing   bool
	refusals  map[string]int // consecutive refused connections of silent hosts
}

// waiter is a request that waits for a credit.
type waiter struct {
	stated bool            // a report under way counts it
	result chan *admission // holds one value
}

// admission is what was decided for a request: a refund function, or an error.
type admission struct {
	refund func()
	err    *ExceededError
}

// New returns a registry without accounts. A missing option gives *OptionError.
func New(options Options) (*Registry, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	r := &Registry{
		options: options, metrics: newMetrics(options.Scope), process: rand.Uint64(), wake: make(chan struct{}, 1),
		uses: map[string]*use{}, links: map[string]*link{}, refusals: map[string]int{},
	}
	r.grantor = newGrantor(r.limitOf)
	r.startedAt = options.Clock()
	r.noLeader = r.startedAt
	return r, nil
}

// SetHosts sets the number of hosts that share the quotas. A number below 1 is ignored.
func (r *Registry) SetHosts(hosts int) {
	if hosts > 0 {
		r.hosts.Store(int32(hosts))
	}
}

// hostCount returns the number of hosts, or the assumed one while it is unknown.
func (r *Registry) hostCount() int {
	if n := int(r.hosts.Load()); n > 0 {
		return n
	}
	return assumedHosts
}

// accounts returns the directory of the routing table in force.
func (r *Registry) accounts() *directory {
	accounts := r.options.Accounts()
	d := r.directory.Load()
	if !d.isOf(accounts) {
		d = newDirectory(accounts)
		r.directory.Store(d)
	}
	return d
}

// limitOf returns the quota of an account that a host reports: that of the routing table
// in force, or the host's, which then has another version.
func (r *Registry) limitOf(of *accountReport) limit {
	a := r.accounts().byName[of.Name]
	if a == nil || !a.Limited() {
		return r.options.Bounds.limit(of.RatePerSecond, of.Burst)
	}
	return r.options.Bounds.limit(a.RatePerSecond, a.Burst)
}

// noRefund is the refund of a request without a quota.
func noRefund() {}

// Admit takes a request from the quota of an account; refund returns it if the request
// does not run. *ExceededError means that the request must not run. It waits for a credit
// near the quota, waitTimeout at most, and gives the error of ctx if that ends first.
func (r *Registry) Admit(ctx context.Context, of *account.Account) (refund func(), err error) {
	if of == nil || !of.Limited() {
		return noRefund, nil
	}
	r.mu.Lock()
	u := r.useOf(of)
	if a := r.decide(u, false); a != nil {
		r.mu.Unlock()
		return a.unpack()
	}
	w := &waiter{result: make(chan *admission, 1)}
	u.waiting = append(u.waiting, w)
	u.metrics.waited.Inc(1)
	r.mu.Unlock()
	r.wakeUp()
	timer := time.NewTimer(waitTimeout)
	defer timer.Stop()
	select {
	case a := <-w.result:
		return a.unpack()
	case <-timer.C:
	case <-ctx.Done():
	}
	return r.giveUp(ctx, u, w)
}

// giveUp ends the wait of a request.
func (r *Registry) giveUp(ctx context.Context, u *use, w *waiter) (func(), error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case a := <-w.result: // decided meanwhile
		return a.unpack()
	default:
	}
	u.waiting = slices.DeleteFunc(u.waiting, func(other *waiter) bool { return other == w })
	if err := ctx.Err(); err != nil {
		return nil, errors.WithStack(err)
	}
	return r.decide(u, true).unpack()
}

func (a *admission) unpack() (func(), error) {
	if a.err != nil {
		return nil, errors.WithStack(a.err)
	}
	return a.refund, nil
}

// useOf returns what this host holds of an account. The caller holds mu.
func (r *Registry) useOf(of *account.Account) *use {
	u := r.uses[of.Name]
	if u == nil {
		name := otherAccounts
		if r.accounts().named[of.Name] {
			name = of.Name
		}
		r.lastEpoch++
		u = &use{name: of.Name, epoch: r.lastEpoch, position: rand.Float64(), metrics: newAccountMetrics(r.options.Scope, name)}
		r.uses[of.Name] = u
	}
	u.limit = r.options.Bounds.limit(of.RatePerSecond, of.Burst)
	return u
}

// decide decides about a request. It returns nil if the request must wait, which it must
// not if final is set. The caller holds mu.
func (r *Registry) decide(u *use, final bool) *admission {
	now := r.options.Clock()
	l := r.links[chooseGrantor(r.leaders, u.name)]
	grantorAnswers := l != nil && !l.lost && !r.leaving
	switch {
	case u.takeCredit(now):
		if l != nil {
			l.news = true
		}
		r.wakeUp()
		return r.admit(u, func() { u.used-- })
	case grantorAnswers && now < u.deniedUntil:
		if !final {
			u.refused++ // one that has waited was stated to the grantor as waiting
		}
		return r.refuse(u, &ExceededError{Account: u.name, RetryAfter: u.retryAfter(now)})
	case !final && (grantorAnswers || r.leaving):
		return nil
	case grantorAnswers || r.leaving: // not answered in time, or the list of leaders changes
		return r.refuse(u, &ExceededError{Account: u.name, RetryAfter: lostRetry, WithoutGrantor: true})
	}
	ok, retryAfter := u.takeShare(r.outageOf(l), now)
	if ok {
		u.metrics.share.Inc(1)
		return r.admit(u, func() { u.taken-- })
	}
	if soon := r.mayAnswerSoon(l, now); soon && !final {
		return nil
	} else if soon {
		retryAfter = lostRetry
	}
	return r.refuse(u, &ExceededError{Account: u.name, RetryAfter: max(lostRetry, retryAfter), WithoutGrantor: true})
}

// mayAnswerSoon reports whether a leader that does not answer may be stalled only, or be
// replaced by the next one within waitTimeout or a little more, or whether none is known
// yet. l is nil if there is no leader. The caller holds mu.
func (r *Registry) mayAnswerSoon(l *link, now time.Duration) bool {
	if l == nil {
		return now-r.startedAt < startTime
	}
	return now < l.countedUntil
}

// outageOf describes the outage of the leader of a link; l is nil if there is no leader. The
// caller holds mu.
func (r *Registry) outageOf(l *link) outage {
	if l == nil {
		return outage{since: r.noLeader, countedUntil: r.noLeader, hosts: r.hostCount()}
	}
	return outage{since: l.lostSince, countedUntil: l.countedUntil, hosts: r.hostCount()}
}

// admit returns the admission of a request; undo returns it to the quota. The caller
// holds mu.
func (r *Registry) admit(u *use, undo func()) *admission {
	u.metrics.admitted.Inc(1)
	var once sync.Once
	return &admission{refund: func() {
		once.Do(func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			undo()
		})
	}}
}

// refuse returns the refusal of a request. The caller holds mu.
func (r *Registry) refuse(u *use, err *ExceededError) *admission {
	u.metrics.refused.Inc(1)
	u.lastRefused = r.options.Clock()
	if !u.refusing {
		u.refusing = true
		r.options.Logger.WithFields(log.Fields{
			"account": u.name, "per_second": u.limit.rate, "burst": u.limit.burst, "without_grantor": err.WithoutGrantor, "hosts": r.hostCount(),
		}).Info("account reached its quota")
	}
	return &admission{err: err}
}

// expireUses logs the accounts that are below their quotas again, and forgets those that
// the routing table no longer has. The caller holds mu.
func (r *Registry) expireUses(now time.Duration) {
	known := r.accounts().byName
	for name, u := range r.uses {
		if u.refusing && now-u.lastRefused > quietTime {
			u.refusing = false
			r.options.Logger.WithField("account", name).Info("account below its quota again")
		}
		if known[name] == nil && now-u.lastUse > quietTime && len(u.waiting) == 0 {
			delete(r.uses, name)
		}
	}
}

// wakeUp makes Run look for reports that are due.
func (r *Registry) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Answer answers the report of another host. *MessageError reports a malformed one,
// *StaleReportError and *FullError one that was refused.
func (r *Registry) Answer(body []byte) ([]byte, error) {
	decoded, err := decodeReport(body)
	if err != nil {
		return nil, err
	}
	a, err := r.answer(decoded)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(a)
	return text, errors.WithStack(err)
}

func (r *Registry) answer(decoded *report) (*answer, error) {
	r.metrics.reportsTaken.Inc(1)
	r.grantorMu.Lock()
	defer r.grantorMu.Unlock()
	r.grantor.hosts = int(r.hosts.Load())
	return r.grantor.handle(decoded, r.options.Clock())
}
