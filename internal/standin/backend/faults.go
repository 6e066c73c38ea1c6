package backend

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/backend/httpjson"
	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
)

// Faults are set from outside and hold until they are replaced. Probabilities
// are 0 to 1 per sub-request or, for connections, per batch.
type Faults struct {
	// SlowFactor multiplies execution times; 0 leaves them.
	SlowFactor float64 `json:"slow_factor"`
	// SlowBy is added to execution times.
	SlowBy jwcc.Duration `json:"slow_by"`
	// Freeze holds every call until it is cleared.
	Freeze bool `json:"freeze"`
	// DropReplies runs the batch and never answers it.
	DropReplies float64 `json:"drop_replies"`
	// ResetBefore resets the connection before the batch runs.
	ResetBefore float64 `json:"reset_before"`
	// ResetAfter resets the connection after the batch ran.
	ResetAfter float64 `json:"reset_after"`
	// ResetMiddle resets the connection after a part of the response.
	ResetMiddle float64 `json:"reset_middle"`
	// RefuseConnections closes the listening socket.
	RefuseConnections bool `json:"refuse_connections"`
	// Shed refuses sub-requests before running them.
	Shed float64 `json:"shed"`
	// WrongSnapshot answers from the snapshot before the newest one, whichever
	// was asked for, and states so.
	WrongSnapshot float64 `json:"wrong_snapshot"`
	// SplitRange answers only the lower half of the range, and states so.
	SplitRange float64 `json:"split_range"`
	// Duplicate answers every sub-request of the batch twice.
	Duplicate float64 `json:"duplicate"`
	// Omit leaves the first reply of the batch out.
	Omit float64 `json:"omit"`
	// StatusLag delays what the status call reports.
	StatusLag jwcc.Duration `json:"status_lag"`
	// StatusLie is reported instead of the status; nil reports the truth.
	StatusLie *httpjson.StatusForm `json:"status_lie"`
}

// stateChange is the server's stated condition from a moment on.
type stateChange struct {
	at     time.Time
	status httpjson.StatusForm
}

// maxStateChanges bounds the conditions kept for StatusLag.
const maxStateChanges = 256
