package quota

import (
	"context"
	"encoding/json"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// askTimeout is the timeout of a report: many round trips between data centres,
	// because the grantor may be busy.
	askTimeout = 200 * time.Millisecond
	// newsInterval is the least time between reports for which no request waits, and on
	// average between all reports to one leader.
	newsInterval = 100 * time.Millisecond
	// reportBurst is the number of reports for waiting requests that may follow each other
	// without a pause.
	reportBurst = 5
	// quickRetries is the number of failed reports that are repeated after newsInterval: a
	// lost message should not cost a report interval.
	quickRetries = 3
	// maintenanceInterval is the time between looks at accounts and silent hosts.
	maintenanceInterval = time.Second
)

// link is what this host knows of a leader to which it reports. One report is under way
// at a time. Registry.mu guards it.
type link struct {
	address  string
	inFlight bool
	news     bool // a credit was used since the last report
	sentAt   time.Duration
	nextAt   time.Duration // of a report without news
	paceAt   time.Duration // when as many reports as allowed on average will have been sent
	failures int           // consecutive
	lost     bool          // the last report was not answered
	// lostSince is when the first report since the last answer failed.
	lostSince time.Duration
	// countedUntil is until when the leader may count this host, by the last report.
	countedUntil time.Duration
	left         bool // the leader no longer counts this host
}

// sending is a report under way.
type sending struct {
	link   *link
	report *report
	sentAt time.Duration
}

// Run reports to the leaders until ctx ends, then tells them that this host has ended.
func (r *Registry) Run(ctx context.Context) error {
	var maintainedAt time.Duration
	for ctx.Err() == nil {
		now := r.options.Clock()
		if now-maintainedAt >= maintenanceInterval {
			maintainedAt = now
			r.maintain(ctx, now)
		}
		due, next := r.step(now)
		for _, s := range due {
			go r.exchange(s)
		}
		timer := time.NewTimer(max(time.Millisecond, next-now))
		select {
		case <-timer.C:
		case <-r.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	r.end()
	return nil
}

// maintain looks at accounts and silent hosts.
func (r *Registry) maintain(ctx context.Context, now time.Duration) {
	r.mu.Lock()
	r.expireUses(now)
	r.mu.Unlock()
	r.updatePartGauges(now)
	r.probeSilentHosts(ctx)
}

// updatePartGauges updates the metric of the part of the quotas that this host grants as a
// leader; its name is share.
func (r *Registry) updatePartGauges(now time.Duration) {
	named := r.accounts().named
	r.grantorMu.Lock()
	defer r.grantorMu.Unlock()
	r.grantor.sweep(now, false)
	for name := range named {
		r.options.Scope.Tagged(map[string]string{"account": name}).Gauge("share").Update(r.grantor.part(name))
	}
}

// step returns the reports that are due, and when it should be called again.
func (r *Registry) step(now time.Duration) (due []sending, next time.Duration) {
	if !r.accounts().limited {
		return nil, now + maintenanceInterval
	}
	next = now + newsInterval
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateLeaders(now)
	waiting := map[string]bool{}
	for _, u := range r.uses {
		if slices.ContainsFunc(u.waiting, func(w *waiter) bool { return !w.stated }) {
			waiting[chooseGrantor(r.leaders, u.name)] = true
		}
	}
	for _, l := range r.links {
		if l.inFlight || l.left {
			continue
		}
		if at := l.dueAt(waiting[l.address], r.leaving); at > now {
			next = min(next, at)
			continue
		}
		due = append(due, r.prepare(l, now))
	}
	return due, next
}

// dueAt returns when the next report is due.
func (l *link) dueAt(waiting, leaving bool) time.Duration {
	at := l.nextAt
	switch {
	case l.lost:
	case leaving:
		at = l.sentAt
	case waiting:
		at = min(at, l.paceAt-(reportBurst-1)*newsInterval)
	case l.news:
		at = min(at, max(l.sentAt+newsInterval, l.paceAt-(reportBurst-1)*newsInterval))
	}
	return at
}

// prepare makes the report to a leader. The caller holds mu.
func (r *Registry) prepare(l *link, now time.Duration) sending {
	interval, hold := reportInterval(r.hostCount()), holdTime(r.hostCount())
	r.sequence++
	q := &report{
		Host: r.options.Address, Process: r.process, Sequence: r.sequence, Grantor: l.address, Leaders: r.leaders,
		Hold: hold,
		// A report to a leader that does not answer must not make it count this host, which
		// uses its share.
		Leaving: r.leaving || l.lost,
	}
	for _, u := range r.uses {
		if chooseGrantor(r.leaders, u.name) != l.address || len(q.Accounts) >= maxReported {
			continue
		}
		a, ok := u.state(now)
		if !ok {
			continue
		}
		q.Accounts = append(q.Accounts, a)
		for _, w := range u.waiting {
			w.stated = !q.Leaving
		}
	}
	if !q.Leaving {
		// An answer that is lost does not show whether the report was.
		l.countedUntil = now + countedTime(r.hostCount())
	}
	l.inFlight, l.news, l.sentAt, l.nextAt = true, false, now, now+interval
	l.paceAt = max(l.paceAt, now) + newsInterval
	return sending{link: l, report: q, sentAt: now}
}

// exchange sends a report and takes the answer.
func (r *Registry) exchange(s sending) {
	r.metrics.reports.Inc(1)
	a, err := r.ask(s.report)
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.wakeUp()
	l, now := s.link, r.options.Clock()
	l.inFlight = false
	if now-s.sentAt > askTimeout+leaseGrace/2 && err == nil {
		// This host was suspended; the leader may have given the credits up.
		err = errors.WithStack(&LateAnswerError{Grantor: l.address})
	}
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.countedUntil = min(l.countedUntil, now) // no process listens there
		}
		r.metrics.reportsFailed.Inc(1)
		r.noteLost(l, err, now)
	} else {
		r.noteAnswered(l, now)
	}
	if r.links[l.address] != l {
		return // replaced meanwhile
	}
	if s.report.Leaving {
		l.left = r.leaving && (l.left || err == nil)
		if err == nil {
			l.nextAt = now
		}
		return
	}
	for i := range s.report.Accounts {
		stated := &s.report.Accounts[i]
		u := r.uses[stated.Name]
		if u == nil || u.epoch != stated.Epoch {
			continue
		}
		u.unanswered = true
		if err == nil && !r.leaving {
			u.learn(stated, &a.Accounts[i], s.sentAt, s.report.Hold, now)
		}
		r.decideWaiting(u, err == nil)
	}
}

// decideWaiting decides about the requests that wait, after a report was answered or not. The
// caller holds mu.
func (r *Registry) decideWaiting(u *use, answered bool) {
	var left []*waiter
	for _, w := range u.waiting {
		// A request that came during the exchange waits for its own, unless a credit is left.
		if a := r.decide(u, w.stated && answered && !r.leaving); a != nil {
			w.result <- a
			continue
		}
		w.stated = false
		left = append(left, w)
	}
	u.waiting = left
}

func (r *Registry) noteLost(l *link, err error, now time.Duration) {
	if l.failures++; l.failures <= quickRetries {
		l.nextAt = now + newsInterval
	}
	if l.lost {
		return
	}
	l.lost, l.lostSince = true, now
	r.options.Logger.WithError(err).WithField("leader", l.address).Warn("quota leader does not answer")
	r.updateLost()
}

func (r *Registry) noteAnswered(l *link, now time.Duration) {
	l.failures = 0
	if !l.lost {
		return
	}
	l.lost = false
	r.options.Logger.WithField("leader", l.address).WithField("away", now-l.lostSince).Info("quota leader answers again")
	r.updateLost()
}

// updateLost updates the number of leaders that do not answer. The caller holds mu.
func (r *Registry) updateLost() {
	lost := 0
	for _, l := range r.links {
		if l.lost {
			lost++
		}
	}
	r.metrics.grantorsLost.Update(float64(lost))
}

// ask sends a report to a leader, or to this host itself.
func (r *Registry) ask(q *report) (*answer, error) {
	if q.Grantor == r.options.Address {
		return r.answer(q)
	}
	body, err := json.Marshal(q)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	text, err := r.options.Transport.Ask(ctx, q.Grantor, body)
	if err != nil {
		return nil, err
	}
	return decodeAnswer(text, q)
}

// updateLeaders begins or completes the change to another list of leaders. Until no
// leader of the old list counts this host, it does not report with the new one: two
// grantors would give its part of the quota twice. The caller holds mu.
func (r *Registry) updateLeaders(now time.Duration) {
	known := slices.DeleteFunc(slices.Clone(r.options.Leaders()), func(address string) bool { return address == "" })
	slices.Sort(known)
	known = slices.Compact(known)
	wanted := r.wantedLeaders(known, now)
	if !r.leaving && slices.Equal(known, r.known) && slices.Equal(wanted, r.leaders) {
		return
	}
	if !r.leaving {
		r.leaving = true
		for _, u := range r.uses {
			u.held = 0
		}
	}
	for _, l := range r.links {
		if !l.left && now < l.countedUntil {
			return
		}
	}
	r.leaving = false
	r.install(known, wanted, now)
}

// wantedLeaders returns the leaders to use: without those that do not answer and count
// this host no more, so that the next leader of their accounts grants them. If no leader
// answers, the list stays.
func (r *Registry) wantedLeaders(known []string, now time.Duration) []string {
	wanted := slices.DeleteFunc(slices.Clone(known), func(address string) bool {
		l := r.links[address]
		return l != nil && l.lost && now >= l.countedUntil
	})
	if len(wanted) > 0 {
		return wanted
	}
	if slices.Equal(known, r.known) {
		return r.leaders
	}
	return known
}

// install puts a list of leaders into use. The caller holds mu.
func (r *Registry) install(known, wanted []string, now time.Duration) {
	if len(wanted) == 0 && len(r.leaders) > 0 {
		r.noLeader = now
	}
	for _, u := range r.uses {
		u.usedAtGrantor = u.used // the grantors of the old list have charged it
	}
	atStart := r.known == nil
	before := r.links
	r.known, r.leaders, r.links = known, wanted, map[string]*link{}
	for _, address := range known {
		l := &link{address: address, nextAt: now}
		if old := before[address]; old != nil {
			l.lost, l.lostSince, l.failures = old.lost, old.lostSince, old.failures
		}
		if atStart {
			// The leader may count the process before this one.
			l.countedUntil = now + countedTime(r.hostCount())
		}
		r.links[address] = l
	}
	r.updateLost()
}

// end tells the leaders that this host has ended and uses no share any more.
func (r *Registry) end() {
	r.mu.Lock()
	var last []*report
	if r.accounts().limited {
		for _, l := range r.links {
			r.sequence++
			last = append(last, &report{
				Host: r.options.Address, Process: r.process, Sequence: r.sequence, Grantor: l.address, Leaders: r.leaders,
				Hold: holdIntervals * minReportInterval, Ended: true,
			})
		}
	}
	r.mu.Unlock()
	for _, q := range last {
		if _, err := r.ask(q); err != nil {
			r.options.Logger.WithError(err).WithField("leader", q.Grantor).Info("quota leader not told that this host stops")
		}
	}
}
