package peer

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// pending is one sub-request on its way, from Send until its one reply.
type pending struct {
	sub  wire.Sub
	at   time.Time // when Send was called
	done func([]wire.Reply)
}

// left returns the time that remains of the sub-request now.
func (p *pending) left(now time.Time) time.Duration { return p.sub.TimeLeft - now.Sub(p.at) }

func (p *pending) end(outcome wire.Outcome, reason wire.Reason) {
	p.done([]wire.Reply{{ID: p.sub.ID, Replica: p.sub.Replica, Outcome: outcome, Reason: reason}})
}

func endAll(ps []*pending, outcome wire.Outcome, reason wire.Reason) {
	for _, p := range ps {
		p.end(outcome, reason)
	}
}
