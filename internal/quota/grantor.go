package quota

import (
	"maps"
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
	// weightedSeconds is the time in seconds, weighted by the part of all hosts that are in
	// the group. It grows only, and buckets are refilled in proportion to it.
	weightedSeconds float64
	// groupsBefore are the groups at the moment when this one appeared. Until handoverUntil,
	// another grantor may have granted what buckets hold; see mayBeGrantedElsewhere.
	groupsBefore  []*group
	handoverUntil time.Duration
}

// grants reports whether the members of the group get their credits of an account here.
func (gr *group) grants(account string) bool {
	return chooseGrantor(gr.leaders, account) == gr.address
}

// mayBeGrantedElsewhere reports whether this grantor grants an account for the group that,
// before the group appeared, another grantor may have granted too.
func (gr *group) mayBeGrantedElsewhere(account string) bool {
	if !gr.grants(account) {
		return false
	}
	return len(gr.groupsBefore) == 0 || slices.ContainsFunc(gr.groupsBefore, func(other *group) bool { return !other.grants(account) })
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
		g.takeLastReport(m, r.Accounts)
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

// takeLastReport takes what a member that leaves states of its credits. Those that it does not
// hold any more, and has not used, go back to the buckets.
func (g *grantor) takeLastReport(m *member, accounts []accountReport) {
	reported := make(map[string]struct{}, len(accounts))
	for i := range accounts {
		a := &accounts[i]
		reported[a.Name] = struct{}{}
		if c, b := m.credits[a.Name], g.buckets[a.Name]; c != nil && b != nil && c.epoch == a.Epoch {
			b.chargeUsed(c, a)
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
	gr := &group{leaders: slices.Clone(r.Leaders), address: r.Grantor, handoverUntil: now + handoverTime}
	for _, other := range g.groups {
		gr.groupsBefore = append(gr.groupsBefore, &group{leaders: other.leaders, address: other.address})
	}
	for name, b := range g.buckets {
		if gr.mayBeGrantedElsewhere(name) {
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
			m.group.weightedSeconds += max(0, (to-from).Seconds()) / all
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
		b = &bucket{level: capacity(l, part), countedSeconds: g.weightedSecondsOf(a.Name, now), updatedAt: now}
		if !g.isPastHandover(a.Name, now) {
			b.level = handoverSlack * l.slack
		}
		g.buckets[a.Name] = b
	}
	b.limit = l
	b.refill(g.weightedSecondsOf(a.Name, now), part, now)
	return b, part
}

// weightedSecondsOf returns the weighted seconds of the groups that get their credits of an
// account here, with those since the last sweep.
func (g *grantor) weightedSecondsOf(account string, now time.Duration) float64 {
	sum := g.part(account) * (now - g.sweptAt).Seconds()
	for _, gr := range g.groups {
		if gr.grants(account) {
			sum += gr.weightedSeconds
		}
	}
	return sum
}

// isPastHandover reports whether no other grantor has granted credits of an account lately.
func (g *grantor) isPastHandover(account string, now time.Duration) bool {
	for _, gr := range g.groups {
		if now < gr.handoverUntil && gr.mayBeGrantedElsewhere(account) {
			return false
		}
	}
	return true
}

// changeGroups refills all buckets, and changes the groups.
func (g *grantor) changeGroups(now time.Duration, change func()) {
	for name, b := range g.buckets {
		b.refill(g.weightedSecondsOf(name, now), g.part(name), now)
	}
	change()
	for name, b := range g.buckets {
		b.countedSeconds = g.weightedSecondsOf(name, now)
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
	b.chargeUsed(c, a)
	free := b.level - float64(b.reserved)
	granted := min(a.Waiting, whole(free))
	left := free - float64(granted)
	var out accountAnswer
	if granted < a.Waiting {
		out = b.deny(a, left, b.limit.refillPerSecond*part, now)
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
