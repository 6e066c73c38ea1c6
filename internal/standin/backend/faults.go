package backend

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/backend/httpjson"
	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
)

// Faults are the injected faults of a replica. They are in force until they are
// replaced; the zero value injects none. A float64 other than SlowFactor is a
// probability from 0 to 1: per sub-request for Shed, WrongSnapshot and SplitRange,
// per batch for the others.
type Faults struct {
	// SlowFactor multiplies execution times; 0 leaves them unchanged.
	SlowFactor float64 `json:"slow_factor"`
	// SlowBy is added to execution times, after SlowFactor.
	SlowBy jwcc.Duration `json:"slow_by"`
	// Freeze holds every new call, status calls included, until Freeze is cleared.
	Freeze bool `json:"freeze"`
	// DropReplies runs the batch and leaves it without an answer, on an open
	// connection.
	DropReplies float64 `json:"drop_replies"`
	// ResetBefore resets the connection before the batch runs.
	ResetBefore float64 `json:"reset_before"`
	// ResetAfter resets the connection after the batch has run, without an answer.
	ResetAfter float64 `json:"reset_after"`
	// ResetMiddle resets the connection after half of the response.
	ResetMiddle float64 `json:"reset_middle"`
	// RefuseConnections closes the listening socket; open connections stay.
	RefuseConnections bool `json:"refuse_connections"`
	// Shed refuses the sub-request with the reason shed, without running it.
	Shed float64 `json:"shed"`
	// WrongSnapshot answers from the snapshot before the newest one, whichever was
	// requested. The reply names the snapshot used.
	WrongSnapshot float64 `json:"wrong_snapshot"`
	// SplitRange answers only the lower half of the range. The reply names the
	// range covered.
	SplitRange float64 `json:"split_range"`
	// Duplicate answers every sub-request of the batch twice.
	Duplicate float64 `json:"duplicate"`
	// Omit leaves out the first reply of the batch.
	Omit float64 `json:"omit"`
	// StatusLag makes the status call report the status as it was this long ago.
	// The status in the answer to a batch stays current.
	StatusLag jwcc.Duration `json:"status_lag"`
	// StatusLie, unless nil, is reported by the status call instead of the status.
	StatusLie *httpjson.StatusForm `json:"status_lie"`
}

// statusChange is the status of a replica from a point in time on.
type statusChange struct {
	at     time.Time
	status httpjson.StatusForm
}

// maxStatusChanges bounds the status history kept for StatusLag.
const maxStatusChanges = 256
