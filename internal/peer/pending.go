package peer

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// pendingSub is a sub-request of this host from Send until its reply.
type pendingSub struct {
	sub      wire.SubRequest
	queuedAt time.Time // when Send was called
	done     func([]wire.Reply)
}

// timeLeft returns how much of the sub-request's time is left at now; it is
// negative after the deadline.
func (p *pendingSub) timeLeft(now time.Time) time.Duration {
	return p.sub.TimeLeft - now.Sub(p.queuedAt)
}

// complete ends the sub-request with a reply made on this host.
func (p *pendingSub) complete(outcome wire.Outcome, reason wire.Reason) {
	p.done([]wire.Reply{{ID: p.sub.ID, Replica: p.sub.Replica, Outcome: outcome, Reason: reason}})
}

func completeAll(subs []*pendingSub, outcome wire.Outcome, reason wire.Reason) {
	for _, p := range subs {
		p.complete(outcome, reason)
	}
}
