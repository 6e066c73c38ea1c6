package peer

import (
	"bytes"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

func idToPB(id wire.SubRequestID) *peerpb.SubID { return &peerpb.SubID{Host: id.Host, Seq: id.Seq} }

func idFromPB(id *peerpb.SubID) wire.SubRequestID {
	return wire.SubRequestID{Host: id.GetHost(), Seq: id.GetSeq()}
}

// canShareGroup reports whether two sub-requests agree in all fields that a
// group states once for all its members.
func canShareGroup(a, b *pendingSub) bool {
	x, y := &a.sub, &b.sub
	return x.ID.Host == y.ID.Host && x.Query == y.Query && x.Service == y.Service && x.Search == y.Search &&
		x.Snapshot == y.Snapshot && x.TimeLeft == y.TimeLeft && a.queuedAt.Equal(b.queuedAt) &&
		x.Repeatable == y.Repeatable && bytes.Equal(x.Payload, y.Payload)
}

// groupToPB returns a group without members that has the fields of s that are
// shared within a group. left is the time left of s now.
func groupToPB(s *wire.SubRequest, left time.Duration) *peerpb.SubGroup {
	return &peerpb.SubGroup{
		Host:       s.ID.Host,
		Query:      s.Query,
		Service:    s.Service,
		Search:     s.Search,
		Snapshot:   s.Snapshot,
		TimeLeftUs: uint64(max(left, 0) / time.Microsecond),
		Repeatable: s.Repeatable,
		Payload:    s.Payload,
	}
}

func subToPB(s *wire.SubRequest) *peerpb.Sub {
	return &peerpb.Sub{Seq: s.ID.Seq, Shard: s.Shard, Replica: string(s.Replica), Lo: s.Range.Lo, Hi: s.Range.Hi}
}

// appendSubsFromPB appends the sub-requests of a group to subs.
func appendSubsFromPB(subs []wire.SubRequest, g *peerpb.SubGroup) []wire.SubRequest {
	for _, s := range g.GetSubs() {
		subs = append(subs, wire.SubRequest{
			ID:         wire.SubRequestID{Host: g.GetHost(), Seq: s.GetSeq()},
			Query:      g.GetQuery(),
			Service:    g.GetService(),
			Search:     g.GetSearch(),
			Shard:      s.GetShard(),
			Replica:    wire.ReplicaID(s.GetReplica()),
			Range:      wire.LedgerRange{Lo: s.GetLo(), Hi: s.GetHi()},
			Snapshot:   g.GetSnapshot(),
			TimeLeft:   time.Duration(g.GetTimeLeftUs()) * time.Microsecond,
			Repeatable: g.GetRepeatable(),
			Payload:    g.GetPayload(),
		})
	}
	return subs
}

// LoadToPB converts a load report to its message. Durations are truncated to
// whole microseconds.
func LoadToPB(l wire.Load) *peerpb.Load {
	return &peerpb.Load{
		InFlight:  l.InFlight,
		Queued:    l.Queued,
		Slots:     l.Slots,
		WaitUs:    uint64(max(l.QueueWait, 0) / time.Microsecond),
		ServiceUs: uint64(max(l.ServiceTime, 0) / time.Microsecond),
		State:     uint32(l.State),
	}
}

// LoadFromPB converts the message of a load report.
func LoadFromPB(l *peerpb.Load) wire.Load {
	return wire.Load{
		InFlight:    l.GetInFlight(),
		Queued:      l.GetQueued(),
		Slots:       l.GetSlots(),
		QueueWait:   time.Duration(l.GetWaitUs()) * time.Microsecond,
		ServiceTime: time.Duration(l.GetServiceUs()) * time.Microsecond,
		State:       wire.ReplicaState(l.GetState()),
	}
}

func replyToPB(r *wire.Reply) *peerpb.Reply {
	out := &peerpb.Reply{
		Host:       r.ID.Host,
		Seq:        r.ID.Seq,
		Outcome:    uint32(r.Outcome),
		Reason:     string(r.Reason),
		Snapshot:   r.Snapshot,
		Lo:         r.Range.Lo,
		Hi:         r.Range.Hi,
		HeldOldest: r.Held.Oldest,
		HeldNewest: r.Held.Newest,
		InFlight:   r.Load.InFlight,
		Queued:     r.Load.Queued,
		Slots:      r.Load.Slots,
		WaitUs:     uint64(max(r.Load.QueueWait, 0) / time.Microsecond),
		ServiceUs:  uint64(max(r.Load.ServiceTime, 0) / time.Microsecond),
		State:      uint32(r.Load.State),
	}
	if len(r.Rows) > 0 {
		out.Rows = make([]*peerpb.Row, 0, len(r.Rows))
	}
	for _, row := range r.Rows {
		out.Rows = append(out.Rows, &peerpb.Row{Ledger: row.Ledger, Key: row.Key, Value: row.Value})
	}
	return out
}

func replyIDFromPB(r *peerpb.Reply) wire.SubRequestID {
	return wire.SubRequestID{Host: r.GetHost(), Seq: r.GetSeq()}
}

// replyFromPB converts a reply to a sub-request for replica. A reply message
// doesn't state its replica.
func replyFromPB(r *peerpb.Reply, replica wire.ReplicaID) wire.Reply {
	out := wire.Reply{
		ID:       replyIDFromPB(r),
		Replica:  replica,
		Outcome:  outcomeFromPB(r.GetOutcome()),
		Reason:   wire.Reason(r.GetReason()),
		Snapshot: r.GetSnapshot(),
		Range:    wire.LedgerRange{Lo: r.GetLo(), Hi: r.GetHi()},
		Held:     wire.SnapshotRange{Oldest: r.GetHeldOldest(), Newest: r.GetHeldNewest()},
		Load: wire.Load{
			InFlight:    r.GetInFlight(),
			Queued:      r.GetQueued(),
			Slots:       r.GetSlots(),
			QueueWait:   time.Duration(r.GetWaitUs()) * time.Microsecond,
			ServiceTime: time.Duration(r.GetServiceUs()) * time.Microsecond,
			State:       wire.ReplicaState(r.GetState()),
		},
	}
	if len(r.GetRows()) > 0 {
		out.Rows = make([]wire.Row, 0, len(r.GetRows()))
	}
	for _, row := range r.GetRows() {
		out.Rows = append(out.Rows, wire.Row{Ledger: row.GetLedger(), Key: row.GetKey(), Value: row.GetValue()})
	}
	return out
}

// outcomeFromPB maps values that this version doesn't know to wire.Unknown,
// because a peer with a newer protocol may have run the sub-request.
func outcomeFromPB(outcome uint32) wire.Outcome {
	switch o := wire.Outcome(outcome); o {
	case wire.Answered, wire.NotRun:
		return o
	default:
		return wire.Unknown
	}
}
