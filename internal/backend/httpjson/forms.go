package httpjson

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Paths of the calls.
const (
	PathSubrequests = "/v1/subrequests"
	PathCancel      = "/v1/cancel"
	PathStatus      = "/v1/status"
)

// Values of StatusForm.State.
const (
	StateReady    = "ready"
	StateCold     = "cold"
	StateDraining = "draining"
)

// IDForm is the JSON form of a wire.SubRequestID.
type IDForm struct {
	Host uint64 `json:"host"`
	Seq  uint64 `json:"seq"`
}

// SubForm is the JSON form of one sub-request of a batch.
type SubForm struct {
	ID         IDForm           `json:"id"`
	Query      uint64           `json:"query"`
	Service    string           `json:"service"`
	Search     string           `json:"search"`
	Shard      uint32           `json:"shard"`
	Range      wire.LedgerRange `json:"range"`
	Snapshot   uint64           `json:"snapshot"`
	TimeLeftUS int64            `json:"time_left_us"` // microseconds
	Repeatable bool             `json:"repeatable"`
	Payload    []byte           `json:"payload,omitempty"`
}

// BatchForm is the body of a POST to PathSubrequests.
type BatchForm struct {
	Subs []SubForm `json:"subs"`
}

// RowForm is the JSON form of one row of a reply.
type RowForm struct {
	Ledger uint64 `json:"ledger"`
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
}

// ReplyForm is the JSON form of the reply to one sub-request. Outcome is the text
// of a wire.Outcome, Reason that of a wire.Reason.
type ReplyForm struct {
	ID       IDForm           `json:"id"`
	Outcome  string           `json:"outcome"`
	Reason   string           `json:"reason,omitempty"`
	Snapshot uint64           `json:"snapshot,omitempty"`
	Range    wire.LedgerRange `json:"range"`
	Rows     []RowForm        `json:"rows,omitempty"`
}

// RepliesForm is the body of the response to a batch that ran.
type RepliesForm struct {
	Replies []ReplyForm `json:"replies"`
	Status  StatusForm  `json:"status"`
}

// CancelForm is the body of a POST to PathCancel.
type CancelForm struct {
	IDs []IDForm `json:"ids"`
}

// StatusForm is the body of the response to a GET of PathStatus.
type StatusForm struct {
	State    string `json:"state"`
	InFlight uint32 `json:"in_flight"` // sub-requests in progress
	Oldest   uint64 `json:"oldest"`    // first snapshot that the server can serve
	Newest   uint64 `json:"newest"`    // last snapshot that the server can serve
}

// ErrorForm is the body of a response with a status other than 200. Outcome
// "not_run" guarantees that nothing of the batch ran.
type ErrorForm struct {
	Outcome string     `json:"outcome"`
	Reason  string     `json:"reason"`
	Status  StatusForm `json:"status"`
}

// newSubForm returns the JSON form of a sub-request.
func newSubForm(s *wire.SubRequest) SubForm {
	return SubForm{
		ID:         IDForm(s.ID),
		Query:      s.Query,
		Service:    s.Service,
		Search:     s.Search,
		Shard:      s.Shard,
		Range:      s.Range,
		Snapshot:   s.Snapshot,
		TimeLeftUS: s.TimeLeft.Microseconds(),
		Repeatable: s.Repeatable,
		Payload:    s.Payload,
	}
}

// Sub returns the sub-request for the replica that received the form.
func (f *SubForm) Sub(replica wire.ReplicaID) wire.SubRequest {
	return wire.SubRequest{
		ID:         wire.SubRequestID(f.ID),
		Query:      f.Query,
		Service:    f.Service,
		Search:     f.Search,
		Shard:      f.Shard,
		Replica:    replica,
		Range:      f.Range,
		Snapshot:   f.Snapshot,
		TimeLeft:   time.Duration(f.TimeLeftUS) * time.Microsecond,
		Repeatable: f.Repeatable,
		Payload:    f.Payload,
	}
}

// applyTo copies the form into a reply whose outcome is Unknown. It returns false,
// and leaves the outcome, when the form is malformed.
func (f *ReplyForm) applyTo(reply *wire.Reply) bool {
	switch f.Outcome {
	case wire.Answered.String():
		if f.Range.Lo > f.Range.Hi {
			reply.Reason = wire.ReasonServerError
			return false
		}
		reply.Outcome = wire.Answered
		reply.Reason = wire.ReasonNone
		reply.Snapshot = f.Snapshot
		reply.Range = f.Range
		reply.Rows = make([]wire.Row, len(f.Rows))
		for i, row := range f.Rows {
			reply.Rows[i] = wire.Row{Ledger: row.Ledger, Key: row.Key, Value: row.Value}
		}
		return true
	case wire.NotRun.String():
		reply.Outcome = wire.NotRun
		reply.Reason = knownReason(f.Reason)
		return true
	case wire.Unknown.String():
		reply.Reason = knownReason(f.Reason)
		return true
	default:
		reply.Reason = wire.ReasonServerError
		return false
	}
}

// knownReason returns the reason with the given text, or ReasonServerError if no
// reason has it. Reasons become labels of metrics, so their number must be
// bounded.
func knownReason(text string) wire.Reason {
	switch reason := wire.Reason(text); reason {
	case wire.ReasonBadRequest, wire.ReasonQueueFull, wire.ReasonDeadlineTooShort, wire.ReasonDeadlineExpired,
		wire.ReasonCancelled, wire.ReasonDraining, wire.ReasonShed, wire.ReasonSnapshotNotHeld,
		wire.ReasonRepartitioned, wire.ReasonTimeout:
		return reason
	default:
		return wire.ReasonServerError
	}
}

// state returns the state of the replica. An unknown text counts as ready, because
// the state is only a hint.
func (f StatusForm) state() wire.ReplicaState {
	switch f.State {
	case StateDraining:
		return wire.ReplicaDraining
	case StateCold:
		return wire.ReplicaCold
	default:
		return wire.ReplicaReady
	}
}

func (f StatusForm) held() wire.SnapshotRange {
	return wire.SnapshotRange{Oldest: f.Oldest, Newest: f.Newest}
}

func (f StatusForm) status() backend.Status {
	state := f.state()
	return backend.Status{
		Draining: state == wire.ReplicaDraining,
		Cold:     state == wire.ReplicaCold,
		InFlight: f.InFlight,
		Held:     f.held(),
	}
}
