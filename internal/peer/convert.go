package peer

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

func idToPB(id wire.SubID) *peerpb.SubID { return &peerpb.SubID{Host: id.Host, Seq: id.Seq} }

func idFromPB(id *peerpb.SubID) wire.SubID {
	return wire.SubID{Host: id.GetHost(), Seq: id.GetSeq()}
}

func rangeToPB(r wire.KeyRange) *peerpb.KeyRange { return &peerpb.KeyRange{Lo: r.Lo, Hi: r.Hi} }

func rangeFromPB(r *peerpb.KeyRange) wire.KeyRange {
	return wire.KeyRange{Lo: r.GetLo(), Hi: r.GetHi()}
}

// subToPB converts a sub-request; left is the time that remains now.
func subToPB(s *wire.Sub, left time.Duration) *peerpb.Sub {
	return &peerpb.Sub{
		Id:         idToPB(s.ID),
		Query:      s.Query,
		Service:    s.Service,
		Search:     s.Search,
		Shard:      s.Shard,
		Replica:    string(s.Replica),
		Range:      rangeToPB(s.Range),
		Snapshot:   s.Snapshot,
		TimeLeftUs: uint64(max(left, 0) / time.Microsecond),
		Repeatable: s.Repeatable,
		Payload:    s.Payload,
	}
}

func subFromPB(s *peerpb.Sub) wire.Sub {
	return wire.Sub{
		ID:         idFromPB(s.GetId()),
		Query:      s.GetQuery(),
		Service:    s.GetService(),
		Search:     s.GetSearch(),
		Shard:      s.GetShard(),
		Replica:    wire.ReplicaID(s.GetReplica()),
		Range:      rangeFromPB(s.GetRange()),
		Snapshot:   s.GetSnapshot(),
		TimeLeft:   time.Duration(s.GetTimeLeftUs()) * time.Microsecond,
		Repeatable: s.GetRepeatable(),
		Payload:    s.GetPayload(),
	}
}

// LoadToPB converts a load report.
func LoadToPB(l wire.Load) *peerpb.Load {
	return &peerpb.Load{
		InFlight:  l.InFlight,
		Queued:    l.Queued,
		Slots:     l.Slots,
		WaitUs:    uint64(max(l.Wait, 0) / time.Microsecond),
		ServiceUs: uint64(max(l.Service, 0) / time.Microsecond),
		State:     uint32(l.State),
	}
}

// LoadFromPB converts a load report.
func LoadFromPB(l *peerpb.Load) wire.Load {
	return wire.Load{
		InFlight: l.GetInFlight(),
		Queued:   l.GetQueued(),
		Slots:    l.GetSlots(),
		Wait:     time.Duration(l.GetWaitUs()) * time.Microsecond,
		Service:  time.Duration(l.GetServiceUs()) * time.Microsecond,
		State:    wire.ReplicaState(l.GetState()),
	}
}

func replyToPB(r *wire.Reply) *peerpb.Reply {
	out := &peerpb.Reply{
		Id:         idToPB(r.ID),
		Replica:    string(r.Replica),
		Outcome:    uint32(r.Outcome),
		Reason:     string(r.Reason),
		Snapshot:   r.Snapshot,
		Range:      rangeToPB(r.Range),
		HeldOldest: r.Held.Oldest,
		HeldNewest: r.Held.Newest,
		Load:       LoadToPB(r.Load),
	}
	for _, row := range r.Rows {
		out.Rows = append(out.Rows, &peerpb.Row{Ledger: row.Ledger, Key: row.Key, Value: row.Value})
	}
	return out
}

func replyFromPB(r *peerpb.Reply) wire.Reply {
	out := wire.Reply{
		ID:       idFromPB(r.GetId()),
		Replica:  wire.ReplicaID(r.GetReplica()),
		Outcome:  outcomeFromPB(r.GetOutcome()),
		Reason:   wire.Reason(r.GetReason()),
		Snapshot: r.GetSnapshot(),
		Range:    rangeFromPB(r.GetRange()),
		Held:     wire.Held{Oldest: r.GetHeldOldest(), Newest: r.GetHeldNewest()},
		Load:     LoadFromPB(r.GetLoad()),
	}
	if len(r.GetRows()) > 0 {
		out.Rows = make([]wire.Row, 0, len(r.GetRows()))
	}
	for _, row := range r.GetRows() {
		out.Rows = append(out.Rows, wire.Row{Ledger: row.GetLedger(), Key: row.GetKey(), Value: row.GetValue()})
	}
	return out
}

// outcomeFromPB maps a value of a newer protocol to Unknown, the outcome that
// claims least.
func outcomeFromPB(outcome uint32) wire.Outcome {
	switch o := wire.Outcome(outcome); o {
	case wire.Answered, wire.NotRun:
		return o
	default:
		return wire.Unknown
	}
}
