package quota

import (
	"math"
	"time"
)

const (
	// minReportInterval is the time between two reports of a host to one leader, for a
	// small deployment.
	minReportInterval = 500 * time.Millisecond
	// reportIntervalPerHost bounds the reports that a leader gets to 1,000 a second.
	reportIntervalPerHost = time.Millisecond
	// holdIntervals is the number of report intervals for which a report holds: one report
	// may be lost.
	holdIntervals = 2
	// leaseGrace is how much longer than a grantor a host takes its report to hold. A
	// report arrives within askTimeout, or its answer is discarded.
	leaseGrace = askTimeout + 100*time.Millisecond
	// minShareValidity is the least time in which a token of a share must be used. A
	// burst that is small for its rate would allow less than the time between two requests.
	minShareValidity = 200 * time.Millisecond
	// spareTime is how long after its last request a host keeps unused credits.
	spareTime = 2 * time.Second
	// spareAhead is the time for which a host asks for credits in advance: a few reports.
	spareAhead = 300 * time.Millisecond
	// rateMemory is the time over which a host averages its use of an account.
	rateMemory = 2 * time.Second
	// maxShareRetry bounds the Retry-After while the grantor does not answer. Another
	// host has a share of its own, or the grantor answers again.
	maxShareRetry = 5 * time.Second
	// minDenied and maxDenied bound how long a host asks for no credits after the grantor
	// had none. Other hosts may return some, and a limit may be raised.
	minDenied = time.Millisecond
	maxDenied = 500 * time.Millisecond
	// lostRetry is the Retry-After of a request for which the grantor did not answer in
	// time.
	lostRetry = 200 * time.Millisecond
)

// reportInterval returns the time between two reports to a leader without news.
func reportInterval(hosts int) time.Duration {
	return min(maxHold/holdIntervals, max(minReportInterval, time.Duration(hosts)*reportIntervalPerHost))
}

// holdTime returns how long a report holds.
func holdTime(hosts int) time.Duration { return holdIntervals * reportInterval(hosts) }

// countedTime returns how long after a report was sent its leader may count the host.
func countedTime(hosts int) time.Duration { return holdTime(hosts) + leaseGrace }

// use is what this host holds of one account, and has used. It needs the time and the
// answers only; Registry.mu guards it.
type use struct {
	name  string
	limit limit
	epoch uint64

	held          int // credits
	expires       time.Duration
	used          int64 // credits used, less refunds
	usedAtGrantor int64 // used as the grantor knows it
	unanswered    bool  // the last report that stated the account was not answered
	refused       int   // requests refused without a question since the last report
	waiting       []*waiter

	deniedUntil time.Duration // until then the grantor has no credit
	retryAt     time.Duration // when the next refused request may have a credit
	gap         time.Duration

	lastUse   time.Duration
	perSecond float64 // average use

	// position grows by 1 for each token of the share; taken is the last token that was
	// used or is lost. sharedAt is when position was computed.
	position, taken float64
	sharedAt        time.Duration

	refusing    bool // in the log
	lastRefused time.Duration
	metrics     *accountMetrics
}

// takeCredit uses a credit, and returns false if there is none.
func (u *use) takeCredit(now time.Duration) bool {
	u.dropExpired(now)
	if u.held == 0 {
		return false
	}
	u.held--
	u.used++
	u.noteUse(now)
	return true
}

func (u *use) dropExpired(now time.Duration) {
	if now >= u.expires {
		u.held = 0
	}
}

// noteUse updates the average use.
func (u *use) noteUse(now time.Duration) {
	u.perSecond = u.averageAt(now) + 1/rateMemory.Seconds()
	u.lastUse = now
}

func (u *use) averageAt(now time.Duration) float64 {
	return u.perSecond * math.Exp(-(now-u.lastUse).Seconds()/rateMemory.Seconds())
}

// spareWanted returns the number of credits to ask for in advance.
func (u *use) spareWanted(now time.Duration) int {
	if u.used == 0 && len(u.waiting) == 0 || now-u.lastUse > spareTime {
		return 0
	}
	ahead := u.averageAt(now) * spareAhead.Seconds()
	return max(0, 1+min(maxPromised, int(ahead))-u.held)
}

// state returns what a report states of the account, false if there is nothing to state.
func (u *use) state(now time.Duration) (accountReport, bool) {
	u.dropExpired(now)
	if now-u.lastUse > spareTime {
		u.held = 0
	}
	if u.held == 0 && u.used == u.usedAtGrantor && !u.unanswered && u.refused == 0 && len(u.waiting) == 0 {
		return accountReport{}, false
	}
	return accountReport{
		Name: u.name, Epoch: u.epoch, RatePerSecond: u.limit.rate, Burst: u.limit.burst,
		Used: u.used, Acked: u.usedAtGrantor, Held: u.held, Waiting: min(len(u.waiting), maxCredits), Spare: u.spareWanted(now), Refused: min(u.refused, maxCredits),
	}, true
}

// learn takes the answer to a report that was sent at a time.
func (u *use) learn(stated *accountReport, a *accountAnswer, sentAt, hold, now time.Duration) {
	// The grantor takes credits for waiting requests as used.
	u.usedAtGrantor, u.unanswered = stated.Used+int64(min(a.Granted, stated.Waiting)), false
	u.refused = max(0, u.refused-stated.Refused)
	u.dropExpired(now)
	u.held += a.Granted
	u.expires = sentAt + hold
	u.deniedUntil = 0
	if a.Granted < stated.Waiting {
		u.deniedUntil = now + min(maxDenied, max(minDenied, a.TokenIn))
		u.retryAt, u.gap = now+a.RetryIn, a.Gap
	}
}

// retryAfter returns the Retry-After of the next refused request.
func (u *use) retryAfter(now time.Duration) time.Duration {
	u.retryAt = max(u.retryAt, u.deniedUntil, now)
	after := u.retryAt - now
	u.retryAt = min(u.retryAt+u.gap, now+maxRetryAfter)
	return after
}

// outage is since when a host has had no answer of a grantor, and until when the grantor
// may count the host.
type outage struct {
	since, countedUntil time.Duration
	hosts               int
}

// takeShare uses a token of this host's equal share of the quota. If there is none,
// retryAfter is the time until the next.
//
// All hosts begin without a token, at a random part of the way to the next. Tokens are
// lost when they are older than burst / rate, so that hosts without requests do not save
// one each: with 300 hosts, that may be many times the burst.
func (u *use) takeShare(o outage, now time.Duration) (ok bool, retryAfter time.Duration) {
	perSecond := u.limit.rate / float64(o.hosts)
	if u.sharedAt < o.since {
		u.sharedAt = o.since
		u.taken = math.Floor(u.position)
	}
	reduced := max(0, min(now, o.countedUntil)-u.sharedAt)
	full := max(0, now-max(u.sharedAt, o.countedUntil))
	// The slack kept for it is for the time in which the grantor counts all hosts.
	part := min(1, shareSlack*u.limit.slack/(u.limit.rate*countedTime(o.hosts).Seconds()))
	u.position += perSecond * (part*reduced.Seconds() + full.Seconds())
	u.sharedAt = now
	kept := max(u.limit.burst, u.limit.rate*minShareValidity.Seconds()) / float64(o.hosts)
	u.taken = max(u.taken, math.Floor(u.position-kept))
	if math.Floor(u.position) > u.taken {
		u.taken++
		u.noteUse(now)
		return true, 0
	}
	left := (math.Floor(u.position) + 1 - u.position) / perSecond
	return false, min(maxShareRetry, seconds(left))
}
