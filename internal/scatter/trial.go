package scatter

import (
	"math/bits"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// endingCheckTime is how long a query waits after a lost sub-request before it sends
	// another one, while the owner of the replica finds out whether the server has ended.
	endingCheckTime = 25 * time.Millisecond
	// trialPollInterval is the time after which a part that a trial holds back checks
	// again whether it may be sent.
	trialPollInterval = 10 * time.Millisecond
)

// trial protects the servers from a request that may crash those that run it: until one
// of them answers, only one sub-request runs at a time, on the shard that can spare a
// replica most easily.
type trial struct {
	active bool
	// losses is the number of servers that ended, or may have ended, while they ran the
	// request, in this query and before.
	losses int
	nextAt time.Time // earliest time of the next sub-request
	// usable is the greatest number of usable replicas of a shard with an open part, less
	// those that the trial must leave; counted at countedAt.
	usable    int
	countedAt time.Time
}

// holdsBack reports whether sub-requests must wait for the answer of a server.
func (q *query) holdsBack() bool { return q.trial.active && !q.answered }

// noteAnswer records that a server answered a sub-request. If it is the first one, what a
// trial held back is sent.
func (q *query) noteAnswer(now time.Time) {
	heldBack := q.holdsBack()
	q.answered = true
	if !heldBack {
		return
	}
	for i := range q.parts {
		if p := &q.parts[i]; p.heldBack && !p.ended && p.outstanding == 0 {
			p.heldBack, p.nextAt = false, time.Time{}
			q.retry(i, now)
		}
	}
}

// noteLost begins a trial if no server has answered yet: a sub-request may have run when
// its connection was lost.
func (q *query) noteLost(now time.Time) {
	if q.request.Key.IsZero() || q.answered {
		return
	}
	q.trial.active = true
	q.trial.losses++
	q.trial.nextAt = now.Add(endingCheckTime)
}

// holdBackFirstTries schedules the first tries of all parts, of which a trial sends one
// at a time.
func (q *query) holdBackFirstTries(now time.Time) {
	for i := range q.parts {
		q.parts[i].firstTryDue = true
	}
	q.scheduleAll(now)
}

// mayTry reports whether a trial allows a sub-request of a part now. If it does not, the
// part is scheduled again or, if the request is quarantined or no shard can spare a
// replica, all parts are abandoned.
func (q *query) mayTry(p *part, now time.Time) bool {
	switch {
	case !q.holdsBack():
		return true
	case q.engine.options.Quarantined(q.request.Key):
		q.abandonAll(now)
		return false
	case q.outstandingAttempts() > 0:
		q.holdBack(p, now.Add(trialPollInterval))
		return false
	case now.Before(q.trial.nextAt):
		q.holdBack(p, q.trial.nextAt)
		return false
	}
	q.countSpareReplicas(now)
	switch {
	case q.trial.usable == 0:
		q.abandonAll(now)
		return false
	case q.spareReplicas(p) < q.trial.usable:
		q.holdBack(p, now.Add(trialPollInterval))
		return false
	}
	return true
}

// holdBack schedules a part again that a trial does not allow to be sent.
func (q *query) holdBack(p *part, at time.Time) {
	p.heldBack = true
	q.schedule(p, at)
}

// countSpareReplicas updates trial.usable.
func (q *query) countSpareReplicas(now time.Time) {
	if q.trial.countedAt.Equal(now) {
		return
	}
	q.trial.usable, q.trial.countedAt = 0, now
	for i := range q.parts {
		if p := &q.parts[i]; !p.ended {
			q.trial.usable = max(q.trial.usable, q.spareReplicas(p))
		}
	}
}

// sparingLosses is the number of lost servers from which on a trial spares the last usable
// replica of a shard. One server may have ended for any reason.
const sparingLosses = 2

// spareReplicas returns the number of usable replicas of a part's shard that may be lost
// in a trial. The last usable one of several is spared for the other requests, from
// sparingLosses on.
func (q *query) spareReplicas(p *part) int {
	if q.engine.options.EstimateWait == nil {
		return len(p.shard.replicas) - bits.OnesCount64(p.lostOn)
	}
	usable := 0
	for _, r := range p.shard.replicas {
		// The owner may not have noticed yet that the server has ended.
		if p.lostOn&r.bit() == 0 && q.isReachable(r) {
			usable++
		}
	}
	if usable == 1 && len(p.shard.replicas) > 1 && q.trial.losses >= sparingLosses {
		return 0
	}
	return usable
}

// abandonAll ends all open parts.
func (q *query) abandonAll(now time.Time) {
	for i := range q.parts {
		if p := &q.parts[i]; !p.ended {
			if p.reason == wire.ReasonNone {
				p.reason = wire.ReasonQuarantined
			}
			q.abandonPart(p, now)
		}
	}
}
