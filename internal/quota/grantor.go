package quota

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxMembers, maxGroups and maxBuckets bound the state of a grantor.
	maxMembers = 8192
	maxGroups  = 16
	maxBuckets = 20_000
	// assumedHosts is the number of hosts while it is unknown: the largest deployment,
	// because a smaller number would grant the shares of hosts that are cut off.
	assumedHosts = 300
	// sweepInterval is the least time between two looks at all members.
	sweepInterval = 20 * time.Millisecond
	// handoverTime is how long buckets that are new begin almost empty after a list of
	// leaders came into use: another grantor may have granted what they hold.
	handoverTime = 5 * time.Second
	// silentRetention is how long the share of a silent host is reserved, unless the host
	// is shown to be gone. Hosts may be cut off for minutes.
	silentRetention = 10 * time.Minute
	// goneRetention is how long a host that has ended is taken off the number of hosts.
	// The number falls by itself after 12 s.
	goneRetention = 15 * time.Second
)

// grantor decides what hosts may use of the accounts that a leader grants. It needs the
// time and the reports only, and is not safe for concurrent use.
type grantor struct {
	hosts   int // number of all hosts; 0: unknown
	limitOf func(of *accountReport) limit
	members map[string]*member // by address
	groups  map[string]*group  // by list of leaders
	buckets map[string]*bucket // by account
	sweptAt time.Duration
}

// member is a host that has reported.
type member struct {
	process, sequence uint64
	group             *group // nil: silent, or gone
	countedFrom       time.Duration
	expires           time.Duration
	changedAt         time.Duration // when the host became silent or gone
	gone              bool          // no process uses the share of the host
	credits           map[string]*credits
}

// credits are what a member holds of one account.
type credits struct {
	epoch uint64
	used  int64 // stated, or since then granted to waiting requests
	held  int
}

// group is the hosts in touch that have the same list of leaders.
type group struct {
	leaders []string
	address string // of this grantor in the list
	count   int
	// refill is the time in seconds, weighted by the part of all hosts that are in the
	// group. It grows only.
	refill float64
	// before are the groups at the moment when this one appeared. Until settledAt, another
	// grantor may have granted what buckets hold of accounts that the group brings here.
	before    []*group
	settledAt time.Duration
}

// grants reports whether the members of the group get their credits of an account here.
func (gr *group) grants(account string) bool {
	return chooseGrantor(gr.leaders, account) == gr.address
}

// brings reports whether an account was not granted here alone before the group appeared.
func (gr *group) brings(account string) bool {
	if !gr.grants(account) {
		return false
	}
	return len(gr.before) == 0 || slices.ContainsFunc(gr.before, func(other *group) bool { return !other.grants(account) })
}

// bucket is the token bucket of one account. Credits that hosts hold for later requests
// are reserved, and taken off the level when they are used.
type bucket struct {
	level     float64
	reserved  int
	refilled  float64 // sum of refill of its groups at the last update
	updatedAt time.Duration
	promised  time.Duration
	limit     limit
}

func newGrantor(limitOf func(*accountReport) limit) *grantor {
	return &grantor{limitOf: limitOf, members: map[string]*member{}, groups: map[string]*group{}, buckets: map[string]*bucket{}}
}

// handle takes a report and answers it. *StaleReportError and *FullError refuse it.
func (g *grantor) handle(r *report, now time.Duration) (*answer, error) {
	g.sweep(now, r.Leaving || r.Ended)
	m, err := g.memberOf(r, now)
	if err != nil {
		return nil, err
	}
	if r.Leaving || r.Ended {
		g.settle(m, r.Accounts)
		g.silence(m, now)
		m.gone = r.Ended
		return &answer{Accounts: make([]accountAnswer, len(r.Accounts))}, nil
	}
	if err := g.join(m, r, now); err != nil {
		return nil, err
	}
	out := &answer{Accounts: make([]accountAnswer, len(r.Accounts))}
	reported := make(map[string]struct{}, len(r.Accounts))
	for i := range r.Accounts {
		reported[r.Accounts[i].Name] = struct{}{}
		out.Accounts[i] = g.grant(m, &r.Accounts[i], now)
	}
	g.releaseOthers(m, reported)
	return out, nil
}

// settle takes what a member that leaves states of its credits. Those that it does not
// hold any more, and has not used, go back to the buckets.
func (g *grantor) settle(m *member, accounts []accountReport) {
	reported := make(map[string]struct{}, len(accounts))
	for i := range accounts {
		a := &accounts[i]
		reported[a.Name] = struct{}{}
		if c, b := m.credits[a.Name], g.buckets[a.Name]; c != nil && b != nil && c.epoch == a.Epoch {
			b.settle(c, a)
		}
	}
	g.releaseOthers(m, reported)
}

// releaseOthers returns the credits of accounts that a member did not report: it holds none.
func (g *grantor) releaseOthers(m *member, reported map[string]struct{}) {
	for name, c := range m.credits {
		if _, ok := reported[name]; !ok {
			g.release(name, c.held)
			delete(m.credits, name)
		}
	}
}

// settle takes off the bucket what a member has used of its credits.
func (b *bucket) settle(c *credits, a *accountReport) {
	b.level = min(b.level-float64(a.Used-c.used), capacity(b.limit, 1))
	b.reserved += a.Held - c.held
	c.used, c.held = a.Used, a.Held
}

// memberOf returns the member that a report is from.
func (g *grantor) memberOf(r *report, now time.Duration) (*member, error) {
	m := g.members[r.Host]
	switch {
	case m == nil && len(g.members) >= maxMembers:
		return nil, errors.WithStack(&FullError{What: "hosts"})
	case m == nil:
		m = &member{process: r.Process, credits: map[string]*credits{}, changedAt: now}
		g.members[r.Host] = m
	case m.process != r.Process:
		g.charge(m)
		m.process = r.Process
	case r.Sequence <= m.sequence:
		return nil, errors.WithStack(&StaleReportError{Host: r.Host, Sequence: r.Sequence, Known: m.sequence})
	}
	m.sequence = r.Sequence
	return m, nil
}

// join counts a member as in touch, in the group of its list of leaders.
func (g *grantor) join(m *member, r *report, now time.Duration) error {
	key := r.Grantor + " " + strings.Join(r.Leaders, " ")
	to := g.groups[key]
	if to == nil {
		if len(g.groups) >= maxGroups {
			return errors.WithStack(&FullError{What: "lists of leaders"})
		}
		to = g.newGroup(r, now)
		g.changeGroups(now, func() { g.groups[key] = to })
	}
	if m.group != to {
		if m.group != nil {
			m.group.count--
		}
		to.count++
		m.group, m.countedFrom, m.gone = to, now, false
	}
	m.expires = now + r.Hold
	return nil
}

// newGroup returns the group of a list of leaders that has come into use, and takes off
// the buckets what another grantor may have granted.
func (g *grantor) newGroup(r *report, now time.Duration) *group {
	gr := &group{leaders: slices.Clone(r.Leaders), address: r.Grantor, settledAt: now + handoverTime}
	for _, other := range g.groups {
		gr.before = append(gr.before, &group{leaders: other.leaders, address: other.address})
	}
	for name, b := range g.buckets {
		if gr.brings(name) {
			b.level = min(b.level, handoverSlack*b.limit.slack)
		}
	}
	return gr
}

// sweep accounts for the time since the last sweep, and for members that have not
// reported in time. A member counts up to the time at which it expires, however late
// that is noticed, as after a suspension of this process.
func (g *grantor) sweep(now time.Duration, force bool) {
	if now-g.sweptAt < sweepInterval && !force {
		return
	}
	all := g.denominator()
	for address, m := range g.members {
		if m.group != nil {
			from, to := max(g.sweptAt, m.countedFrom), min(now, m.expires)
			m.group.refill += max(0, (to-from).Seconds()) / all
			if m.expires <= now {
				g.silence(m, now)
			}
		}
		retention := silentRetention
		if m.gone {
			retention = goneRetention
		}
		if m.group == nil && now-m.changedAt > retention {
			delete(g.members, address)
		}
	}
	g.sweptAt = now
	for _, gr := range g.groups {
		if gr.count == 0 {
			isEmpty := func(_ string, gr *group) bool { return gr.count == 0 }
			g.changeGroups(now, func() { maps.DeleteFunc(g.groups, isEmpty) })
			return
		}
	}
}

// denominator returns the number of hosts among which the quota is divided: those in
// touch, the silent ones, and those that never reported.
func (g *grantor) denominator() float64 {
	known, gone := 0, 0
	for _, m := range g.members {
		if m.gone {
			gone++
		} else {
			known++
		}
	}
	hosts := g.hosts
	if hosts == 0 {
		hosts = assumedHosts
	}
	return float64(max(1, known, hosts-gone))
}

// silence stops counting a member. The credits that it held count as used.
func (g *grantor) silence(m *member, now time.Duration) {
	g.charge(m)
	if m.group != nil {
		m.group.count--
		m.group = nil
	}
	m.changedAt = now
}

// charge counts the credits of a member as used.
func (g *grantor) charge(m *member) {
	for name, c := range m.credits {
		g.release(name, c.held)
		if b := g.buckets[name]; b != nil {
			b.level -= float64(c.held)
		}
	}
	clear(m.credits)
}

// release ends the reservation of credits.
func (g *grantor) release(name string, held int) {
	if b := g.buckets[name]; b != nil {
		b.reserved -= held
	}
}

// silentHosts returns the silent members that are not known to be gone, with their
// processes.
func (g *grantor) silentHosts() map[string]uint64 {
	out := map[string]uint64{}
	for address, m := range g.members {
		if m.group == nil && !m.gone {
			out[address] = m.process
		}
	}
	return out
}

// setGone records that the process of a silent host has ended.
func (g *grantor) setGone(address string, process uint64, now time.Duration) {
	if m := g.members[address]; m != nil && m.group == nil && m.process == process {
		m.gone, m.changedAt = true, now
	}
}

// bucketOf returns the bucket of an account, refilled up to now, and the part
// of all hosts that get its credits here. It is nil if there is no room for it.
func (g *grantor) bucketOf(a *accountReport, now time.Duration) (*bucket, float64) {
	l := g.limitOf(a)
	part := g.part(a.Name)
	b := g.buckets[a.Name]
	if b == nil {
		if len(g.buckets) >= maxBuckets && !g.evict() {
			return nil, part
		}
		b = &bucket{level: capacity(l, part), refilled: g.refillOf(a.Name, now), updatedAt: now}
		if !g.isSettled(a.Name, now) {
			b.level = handoverSlack * l.slack
		}
		g.buckets[a.Name] = b
	}
	b.limit = l
	b.refill(g.refillOf(a.Name, now), part, now)
	return b, part
}

// capacity returns how many requests the bucket of an account holds at most, for a part
// of all hosts. It is at least 1, so that a request has room if it waits.
func capacity(l limit, part float64) float64 {
	return max(1, part*l.capacity)
}

// refill adds to the bucket what the hosts of its groups brought. What is above the
// capacity, because hosts have left, is lost only as fast as those hosts get it elsewhere.
// Else the bucket would be empty when they come back.
func (b *bucket) refill(sum, part float64, now time.Duration) {
	here := max(0, sum-b.refilled)
	elsewhere := max(0, (now-b.updatedAt).Seconds()-here)
	kept := min(b.level-b.limit.refill*elsewhere, capacity(b.limit, 1))
	b.level = max(kept, min(b.level+b.limit.refill*here, capacity(b.limit, part)))
	b.refilled, b.updatedAt = sum, now
}

// refillOf returns the sum of refill of the groups that get their credits of an account
// here, with that since the last sweep.
func (g *grantor) refillOf(account string, now time.Duration) float64 {
	sum := g.part(account) * (now - g.sweptAt).Seconds()
	for _, gr := range g.groups {
		if gr.grants(account) {
			sum += gr.refill
		}
	}
	return sum
}

// isSettled reports whether no other grantor has granted credits of an account lately.
func (g *grantor) isSettled(account string, now time.Duration) bool {
	for _, gr := range g.groups {
		if now < gr.settledAt && gr.brings(account) {
			return false
		}
	}
	return true
}

// changeGroups refills all buckets, and changes the groups.
func (g *grantor) changeGroups(now time.Duration, change func()) {
	for name, b := range g.buckets {
		b.refill(g.refillOf(name, now), g.part(name), now)
	}
	change()
	for name, b := range g.buckets {
		b.refilled = g.refillOf(name, now)
	}
}

// part returns the part of all hosts that get their credits of an account here.
func (g *grantor) part(account string) float64 {
	count := 0
	for _, gr := range g.groups {
		if gr.grants(account) {
			count += gr.count
		}
	}
	return float64(count) / g.denominator()
}

// evict removes a bucket without credits that is full, and reports whether there was one.
func (g *grantor) evict() bool {
	for name, b := range g.buckets {
		if b.reserved == 0 && b.level >= b.limit.burst {
			delete(g.buckets, name)
			return true
		}
	}
	return false
}

// grant takes what a member reports of an account and grants credits.
func (g *grantor) grant(m *member, a *accountReport, now time.Duration) accountAnswer {
	b, part := g.bucketOf(a, now)
	if b == nil {
		return accountAnswer{TokenIn: time.Second, RetryIn: time.Second}
	}
	c := m.credits[a.Name]
	if c == nil || c.epoch != a.Epoch {
		if c != nil {
			b.reserved -= c.held
			b.level -= float64(c.held)
		}
		// Unknown uses are of credits that were charged when the record was dropped, or that
		// another grantor charged. Requests may be refunded later than that.
		c = &credits{epoch: a.Epoch, used: max(a.Used, a.Acked)}
		m.credits[a.Name] = c
	}
	b.settle(c, a)
	free := b.level - float64(b.reserved)
	granted := min(a.Waiting, whole(free))
	left := free - float64(granted)
	var out accountAnswer
	if granted < a.Waiting {
		out = b.deny(a, left, b.limit.refill*part, now)
	} else {
		granted += min(a.Spare, whole(left-part*b.limit.kept()))
	}
	// Credits for waiting requests are used when they arrive. If the next report does not
	// state that, they return to the bucket.
	used := min(granted, a.Waiting)
	b.level -= float64(used)
	c.used += int64(used)
	c.held += granted - used
	b.reserved += granted - used
	out.Granted = granted
	return out
}

// minRate, in requests a second, bounds the times that a grantor tells hosts if hardly
// any host is in touch.
const minRate = 0.01

// deny returns the times of the requests of a host that got no credit. Each refused
// request is promised a token of its own, so that those refused later are told a later
// time. free is what the bucket holds, in requests.
func (b *bucket) deny(a *accountReport, free, rate float64, now time.Duration) accountAnswer {
	gap := seconds(1 / max(minRate, rate))
	token := seconds((1 - free) / max(minRate, rate))
	b.promised = min(max(b.promised, now)+time.Duration(min(a.Refused, maxPromised))*gap, now+maxRetryAfter)
	first := max(b.promised, now+token)
	denied := max(1, min(a.Waiting, maxPromised))
	b.promised = min(first+time.Duration(denied)*gap, now+maxRetryAfter)
	return accountAnswer{TokenIn: token, RetryIn: first - now, Gap: gap}
}

// maxPromised bounds the requests of one report that are promised a token, so that the
// times do not overflow.
const maxPromised = 10_000

// whole returns the whole requests in a number that may be negative.
func whole(v float64) int { return int(max(0, min(maxCredits, math.Floor(v)))) }
