package owner

import (
	"github.com/apex/log"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// effects gathers what must happen outside the locks: replies, closed
// connections and log events.
type effects struct {
	replies []refusal
	closes  []backend.Conn
	events  []event
}

// refusal is a reply that the owner gives itself.
type refusal struct {
	attempt *attempt
	reply   wire.Reply
	settles bool // the attempt holds no slot
	indexed bool
}

type event struct {
	message string
	fields  log.Fields
}

// refuseUnindexed ends an attempt that no queue and no index knows.
func (fx *effects) refuseUnindexed(a *attempt, reason wire.Reason) {
	a.state.Store(stateReplied)
	fx.replies = append(fx.replies, refusal{attempt: a, reply: ownReply(a, wire.NotRun, reason), settles: true})
}

// refuse ends an attempt that holds no slot and was not sent. The caller has
// claimed its reply.
func (fx *effects) refuse(a *attempt, reason wire.Reason, load wire.Load, held wire.Held) {
	reply := ownReply(a, wire.NotRun, reason)
	reply.Load, reply.Held = load, held
	fx.replies = append(fx.replies, refusal{attempt: a, reply: reply, settles: true, indexed: true})
}

// free gives the reply of an attempt whose slot stays taken.
func (fx *effects) free(a *attempt, outcome wire.Outcome, load wire.Load, held wire.Held) {
	reply := ownReply(a, outcome, wire.ReasonCancelled)
	reply.Load, reply.Held = load, held
	fx.replies = append(fx.replies, refusal{attempt: a, reply: reply})
}

func (fx *effects) close(conn backend.Conn) { fx.closes = append(fx.closes, conn) }

func (fx *effects) log(message string, fields log.Fields) {
	fx.events = append(fx.events, event{message: message, fields: fields})
}

func ownReply(a *attempt, outcome wire.Outcome, reason wire.Reason) wire.Reply {
	return wire.Reply{ID: a.sub.ID, Replica: a.sub.Replica, Outcome: outcome, Reason: reason}
}

// applyAsync is apply without replies on the caller's goroutine, because a
// caller of Send or Cancel may hold a lock that done takes.
func (fx *effects) applyAsync(o *Owner) {
	if len(fx.replies) > 0 || len(fx.closes) > 0 || len(fx.events) > 0 {
		moved := *fx
		go moved.apply(o)
	}
}

// apply carries out the effects. No lock is held.
func (fx *effects) apply(o *Owner) {
	for _, e := range fx.events {
		o.options.Logger.WithFields(e.fields).Info(e.message)
	}
	for _, conn := range fx.closes {
		// The connection is given up; its error changes nothing.
		_ = conn.Close()
	}
	for first := 0; first < len(fx.replies); {
		first = fx.applyCall(o, first)
	}
}

// applyCall gives the replies from first on that belong to one call, and
// returns the index after them.
func (fx *effects) applyCall(o *Owner, first int) int {
	call := fx.replies[first].attempt.call
	end, settled := first, 0
	for end < len(fx.replies) && fx.replies[end].attempt.call == call {
		end++
	}
	replies := make([]wire.Reply, 0, end-first)
	for i := first; i < end; i++ {
		r := &fx.replies[i]
		if r.indexed {
			o.index.remove(r.reply.ID)
		}
		if r.settles {
			settled++
		}
		o.metrics.count(r.reply.Outcome, r.reply.Reason)
		replies = append(replies, r.reply)
	}
	call.done(replies)
	o.settled(settled)
	return end
}
