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
	// lossDetectionDelay is the time until a sender reports a lost sub-request
	// or reply as unknown.
	lossDetectionDelay = 100 * time.Millisecond
	// slowDelay is the delivery time of a slow link or shard, longer than the
	// deadline of every search.
	slowDelay = SearchDeadline + 300*time.Millisecond
)

// LostError reports a forwarded request whose reply did not arrive. The request
// may have run.
type LostError struct{ Addr string }

// Error implements error.
func (e *LostError) Error() string { return "connection to host " + e.Addr + " was lost" }

// RefusedError reports a connection to an address where no process listens.
type RefusedError struct{ Addr string }

// Error implements error.
func (e *RefusedError) Error() string { return "connection to host " + e.Addr + " was refused" }

// forwarder sends the ticketed requests of one process to other hosts.
type forwarder struct{ source *process }

// RunTicketed implements front.Forwarder. It returns *front.NotSentError when the
// target runs no process or its dial is refused, and *LostError otherwise.
func (f forwarder) RunTicketed(ctx context.Context, addr string, in *peerpb.TicketedRequest) (*peerpb.TicketedReply, error) {
	if !f.source.aliveAfterPause() {
		return nil, errors.WithStack(&LostError{Addr: addr})
	}
	sim := f.source.host.sim
	to := sim.hostByAddr(addr)
	mode := LinkRefuse
	if to != nil && to.currentProcess() != nil {
		mode = sim.linkMode(f.source.host, to)
	}
	delay := linkDelay
	switch mode {
	case LinkRefuse:
		return nil, errors.WithStack(&front.NotSentError{Addr: addr, Err: &RefusedError{Addr: addr}})
	case LinkLoseRequest:
		<-ctx.Done()
		return nil, errors.WithStack(&LostError{Addr: addr})
	case LinkSlow:
		delay = slowDelay
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
		if mode == LinkLoseReply || reply == nil || !f.source.aliveAfterPause() {
			break
		}
		return reply, nil
	case <-ctx.Done():
	}
	return nil, errors.WithStack(&LostError{Addr: addr})
}

// deliver runs a forwarded request at a host after a delay and sends the reply. A
// nil reply means that no process ran there, that it ended, or that it failed.
func deliver(ctx context.Context, to *Host, delay time.Duration, in *peerpb.TicketedRequest, replies chan<- *peerpb.TicketedReply) {
	time.Sleep(delay)
	p := to.currentProcess()
	if p == nil || !p.aliveAfterPause() {
		replies <- nil
		return
	}
	reply, err := p.server.HandleTicketed(ctx, in)
	if err != nil || !p.aliveAfterPause() {
		reply = nil
	}
	time.Sleep(linkDelay)
	replies <- reply
}

// sender sends the sub-requests of one process to the shards.
type sender struct{ process *process }

// Send implements wire.Sender.
func (s *sender) Send(subs []wire.SubRequest, done func([]wire.Reply)) {
	for _, sub := range subs {
		go s.send(sub, done)
	}
}

// Cancel implements wire.Sender. The shards ignore cancels, which allows the most
// executions.
func (s *sender) Cancel([]wire.SubRequestID) {}

// send runs one sub-request as the shard's mode says and passes on the reply. A
// process that has ended gets no reply.
func (s *sender) send(sub wire.SubRequest, done func([]wire.Reply)) {
	if !s.process.aliveAfterPause() {
		return
	}
	sent := time.Now()
	sim := s.process.host.sim
	mode := sim.shardMode(sub.Shard)
	delay := linkDelay
	if mode == ShardSlow {
		delay = slowDelay
	}
	time.Sleep(delay)
	reply := wire.Reply{
		ID: sub.ID, Replica: sub.Replica, Held: wire.SnapshotRange{Oldest: 1, Newest: 1},
		Load: wire.Load{Slots: 2, ServiceTime: linkDelay},
	}
	switch mode {
	case ShardRefuse:
		reply.Outcome, reply.Reason = wire.NotRun, wire.ReasonDraining
	case ShardLoseRequest:
		time.Sleep(lossDetectionDelay)
		reply.Outcome, reply.Reason = wire.Unknown, wire.ReasonConnLost
	default:
		sim.Oracle.recordRun(sub, sent)
		reply.Outcome, reply.Snapshot, reply.Range = wire.Answered, 1, sub.Range
		for ledger := sub.Range.Lo; ledger < sub.Range.Hi; ledger++ {
			reply.Rows = append(reply.Rows, wire.Row{Ledger: ledger, Key: "k", Value: sub.Payload})
		}
	}
	switch mode {
	case ShardSilent:
		return
	case ShardLoseReply:
		time.Sleep(lossDetectionDelay)
		reply = wire.Reply{ID: sub.ID, Replica: sub.Replica, Outcome: wire.Unknown, Reason: wire.ReasonConnLost}
	}
	time.Sleep(linkDelay)
	if s.process.aliveAfterPause() {
		done([]wire.Reply{reply})
	}
}
