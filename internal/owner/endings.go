package owner

import (
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/quarantine"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// maxEndingAge is the time after the loss of a run within which a refused dial shows that
// the server ended. Later the server may have ended for another reason.
const maxEndingAge = time.Second

// lostRun is a run whose connection the server closed without a response.
type lostRun struct {
	key           wire.RequestKey
	began, lostAt time.Time
}

// closedByServer reports whether the error of a run means that the server closed the
// connection, as it does when it ends.
func closedByServer(err error) bool {
	var lost *backend.LostError
	if !errors.As(err, &lost) {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// noteLostRun records a run whose connection the server closed, and dials the server:
// if it refuses, it has ended. A server that lives, such as one that resets connections
// or loses responses, accepts. A data centre out of use gets no dials.
func (r *replica) noteLostRun(a *attempt, began, now time.Time) {
	if a.sub.Key.IsZero() || r.closed || r.removed || r.dataCentre.evacuated.Load() {
		return
	}
	r.lostRuns = append(r.lostRuns, lostRun{key: a.sub.Key, began: began, lostAt: now})
	if !r.checksEnding {
		r.checksEnding = true
		r.startDial()
	}
}

// concludeEnding decides about the lost runs after a dial that was started at a time:
// err is its error. It returns the runs under which the server ended.
func (r *replica) concludeEnding(err error, dialStarted, now time.Time) []quarantine.Run {
	if len(r.lostRuns) == 0 {
		r.checksEnding = false
		return nil
	}
	if err == nil && dialStarted.Before(r.lostRuns[len(r.lostRuns)-1].lostAt) {
		return nil // the server may have ended since
	}
	lost := r.lostRuns
	r.lostRuns, r.checksEnding = nil, false
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return nil
	}
	var runs []quarantine.Run
	for _, l := range lost {
		if now.Sub(l.lostAt) <= maxEndingAge {
			runs = append(runs, quarantine.Run{Key: l.key, Age: now.Sub(l.began)})
		}
	}
	return runs
}
