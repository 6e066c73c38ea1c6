package proof

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/front"
	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// lostAfter is when a sender learns that a sub-request's end is unknown.
	lostAfter = 100 * time.Millisecond
	// slowBy is above every deadline.
	slowBy = SearchDeadline + 300*time.Millisecond
)

// LostError reports a forwarded request whose reply did not arrive.
type LostError struct{ Addr string }

// Error implements error.
func (e *LostError) Error() string { return "connection to host " + e.Addr + " was lost" }

// RefusedError reports an address where nothing listens.
type RefusedError struct{ Addr string }

// Error implements error.
func (e *RefusedError) Error() string { return "connection to host " + e.Addr + " was refused" }

// forwarder carries ticketed requests between processes.
type forwarder struct{ from *process }

// RunTicketed implements front.Forwarder.
func (f forwarder) RunTicketed(ctx context.Context, addr string, in *peerpb.TicketedRequest) (*peerpb.TicketedReply, error) {
	if !f.from.pass() {
		return nil, errors.WithStack(&LostError{Addr: addr})
	}
	sim := f.from.host.sim
	to := sim.hostAt(addr)
	mode := LinkRefuse
	if to != nil && to.current() != nil {
		mode = sim.linkMode(f.from.host, to)
	}
	delay := linkDelay
	switch mode {
	case LinkRefuse:
		return nil, errors.WithStack(&front.NotSentError{Addr: addr, Err: &RefusedError{Addr: addr}})
	case LinkLoseRequest:
		<-ctx.Done()
		return nil, errors.WithStack(&LostError{Addr: addr})
	case LinkSlow:
		delay = slowBy
	}
	replies := make(chan *peerpb.TicketedReply, 2)
	copies := 1
	if mode == LinkDouble {
		copies = 2
	}
	for range copies {
		go deliver(ctx, to, delay, in, replies)
	}
	select {
	case reply := <-replies:
		if mode == LinkLoseReply || reply == nil || !f.from.pass() {
			break
		}
		return reply, nil
	case <-ctx.Done():
	}
	return nil, errors.WithStack(&LostError{Addr: addr})
}

// deliver runs a forwarded request at a host. A nil reply means that the
// process ended first.
func deliver(ctx context.Context, to *Host, delay time.Duration, in *peerpb.TicketedRequest, replies chan<- *peerpb.TicketedReply) {
	time.Sleep(delay)
	p := to.current()
	if p == nil || !p.pass() {
		replies <- nil
		return
	}
	reply, err := p.server.HandleTicketed(ctx, in)
	if err != nil || !p.pass() {
		reply = nil
	}
	time.Sleep(linkDelay)
	replies <- reply
}

// sender carries the sub-requests of one process to the shards.
type sender struct{ process *process }

// Send implements wire.Sender.
func (s *sender) Send(subs []wire.Sub, done func([]wire.Reply)) {
	for _, sub := range subs {
		go s.send(sub, done)
	}
}

// Cancel implements wire.Sender. The shards take no notice, which leaves the
// most executions possible.
func (s *sender) Cancel([]wire.SubID) {}

// send carries one sub-request. A dead process gets no reply.
func (s *sender) send(sub wire.Sub, done func([]wire.Reply)) {
	if !s.process.pass() {
		return
	}
	sent := time.Now()
	sim := s.process.host.sim
	mode := sim.shardMode(sub.Shard)
	wait := linkDelay
	if mode == ShardSlow {
		wait = slowBy
	}
	time.Sleep(wait)
	reply := wire.Reply{
		ID: sub.ID, Replica: sub.Replica, Held: wire.Held{Oldest: 1, Newest: 1},
		Load: wire.Load{Slots: 2, Service: linkDelay},
	}
	switch mode {
	case ShardRefuse:
		reply.Outcome, reply.Reason = wire.NotRun, wire.ReasonDraining
	case ShardLoseRequest:
		time.Sleep(lostAfter)
		reply.Outcome, reply.Reason = wire.Unknown, wire.ReasonConnLost
	default:
		sim.Oracle.ran(sub, sent)
		reply.Outcome, reply.Snapshot, reply.Range = wire.Answered, 1, sub.Range
		for ledger := sub.Range.Lo; ledger < sub.Range.Hi; ledger++ {
			reply.Rows = append(reply.Rows, wire.Row{Ledger: ledger, Key: "k", Value: sub.Payload})
		}
	}
	switch mode {
	case ShardSilent:
		return
	case ShardLoseReply:
		time.Sleep(lostAfter)
		reply = wire.Reply{ID: sub.ID, Replica: sub.Replica, Outcome: wire.Unknown, Reason: wire.ReasonConnLost}
	}
	time.Sleep(linkDelay)
	if s.process.pass() {
		done([]wire.Reply{reply})
	}
}
