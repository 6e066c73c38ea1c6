package owner

import (
	"github.com/apex/log"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// effects collects work that must not be done under a lock: delivering replies,
// closing connections and writing log events. Call apply or applyAsync after the
// locks are released.
type effects struct {
	replies      []localReply
	connsToClose []backend.Conn
	logEvents    []logEvent
}

// localReply is a reply made by the owner instead of the backend server.
type localReply struct {
	attempt     *attempt
	reply       wire.Reply
	endsAttempt bool // the attempt holds no slot, so it ends with this reply
	indexed     bool // the attempt is in Owner.index
}

type logEvent struct {
	message string
	fields  log.Fields
}

// refuseUnindexed refuses an attempt that is in no queue and not in Owner.index.
func (fx *effects) refuseUnindexed(a *attempt, reason wire.Reason) {
	a.state.Store(stateReplied)
	fx.replies = append(fx.replies, localReply{attempt: a, reply: newLocalReply(a, wire.NotRun, reason), endsAttempt: true})
}

// refuse replies NotRun to an attempt that holds no slot and was not sent. The
// caller must have moved it to stateReplied.
func (fx *effects) refuse(a *attempt, reason wire.Reason, load wire.Load, held wire.SnapshotRange) {
	reply := newLocalReply(a, wire.NotRun, reason)
	reply.Load, reply.Held = load, held
	fx.replies = append(fx.replies, localReply{attempt: a, reply: reply, endsAttempt: true, indexed: true})
}

// replyCancelled replies to a cancelled attempt. Its slot stays taken until the
// run on the connection ends.
func (fx *effects) replyCancelled(a *attempt, outcome wire.Outcome, load wire.Load, held wire.SnapshotRange) {
	reply := newLocalReply(a, outcome, wire.ReasonCancelled)
	reply.Load, reply.Held = load, held
	fx.replies = append(fx.replies, localReply{attempt: a, reply: reply})
}

func (fx *effects) close(conn backend.Conn) { fx.connsToClose = append(fx.connsToClose, conn) }

func (fx *effects) log(message string, fields log.Fields) {
	fx.logEvents = append(fx.logEvents, logEvent{message: message, fields: fields})
}

// newLocalReply returns a reply to the attempt without load and held snapshots.
func newLocalReply(a *attempt, outcome wire.Outcome, reason wire.Reason) wire.Reply {
	return wire.Reply{ID: a.sub.ID, Replica: a.sub.Replica, Outcome: outcome, Reason: reason}
}

// applyAsync runs apply on a new goroutine, because a caller of Send or Cancel
// may hold a lock that its done callback acquires.
func (fx *effects) applyAsync(o *Owner) {
	if len(fx.replies) > 0 || len(fx.connsToClose) > 0 || len(fx.logEvents) > 0 {
		moved := *fx
		go moved.apply(o)
	}
}

// apply carries out the effects on this goroutine. The caller must hold no lock.
func (fx *effects) apply(o *Owner) {
	for _, e := range fx.logEvents {
		o.options.Logger.WithFields(e.fields).Info(e.message)
	}
	for _, conn := range fx.connsToClose {
		// The connection is no longer used, so an error needs no handling.
		_ = conn.Close()
	}
	for first := 0; first < len(fx.replies); {
		first = fx.deliverCall(o, first)
	}
}

// deliverCall delivers the reply at index first, and those directly after it that
// belong to the same call of Send, in one callback. It returns the index after them.
func (fx *effects) deliverCall(o *Owner, first int) int {
	call := fx.replies[first].attempt.call
	end, ended := first, 0
	for end < len(fx.replies) && fx.replies[end].attempt.call == call {
		end++
	}
	replies := make([]wire.Reply, 0, end-first)
	for i := first; i < end; i++ {
		r := &fx.replies[i]
		if r.indexed {
			o.index.remove(r.reply.ID)
		}
		if r.endsAttempt {
			ended++
		}
		o.metrics.count(r.reply.Outcome, r.reply.Reason)
		replies = append(replies, r.reply)
	}
	call.done(replies)
	o.endAttempts(ended)
	return end
}
