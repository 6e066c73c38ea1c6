package lead

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/history"
)

// takeSeat takes the seat whose entry has the given position, and reports whether
// it did. A seat that this host held before becomes vacant when its lease ends.
func (a *Agent) takeSeat(ctx context.Context, number int, replaced history.Position) bool {
	seat := Seat{Host: a.options.Host, Number: number, Hosts: 1, LeastCores: a.options.Host.Cores}
	next, err := a.options.Registry.Take(ctx, seat, replaced)
	var taken *TakenError
	if errors.As(err, &taken) {
		// The next probe finds the new holder.
		a.mu.Lock()
		a.nextProbeAt = time.Now().Add(checkInterval)
		a.mu.Unlock()
		return false
	}
	if a.noteResult(ctx, err) {
		return false
	}
	seat.Position = next
	a.mu.Lock()
	lostLeaders := a.hasFollowed && !a.leaderlessSince.IsZero()
	a.ownSeat, a.leaderlessSince = &seat, time.Time{}
	a.setFleet(a.fleet)
	leads := a.leads()
	if leads && lostLeaders {
		// The first reader could not be followed, so there is no need to ask it again.
		a.readInstead(time.Now())
	}
	a.mu.Unlock()
	a.options.Logger.WithFields(log.Fields{"seat": number, "leads": leads, "replaced_revision": replaced.Revision}).Info("seat taken")
	return true
}

// noteResult records the result of a call to the registry and reports whether it
// failed. It logs when the registry is lost and regained, and schedules a probe
// after a failure.
func (a *Agent) noteResult(ctx context.Context, err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	switch {
	case ctx.Err() != nil && err != nil && errors.Is(ctx.Err(), context.Canceled):
	case err != nil:
		if a.registryLostAt.IsZero() {
			a.registryLostAt = now
			a.options.Logger.WithError(err).Warn("seats of the entry hosts not reached")
		}
		a.nextProbeAt = now.Add(min(maxJitter, min(maxLeaderlessJitter, a.jitter(leaderlessJitterPerHost))<<a.failedCalls+checkInterval))
		a.failedCalls = min(a.failedCalls+1, maxJitterDoublings)
	case !a.registryLostAt.IsZero():
		a.options.Logger.WithField("away", now.Sub(a.registryLostAt)).Info("seats of the entry hosts reached again")
		a.registryLostAt, a.failedCalls = time.Time{}, 0
	}
	return err != nil
}

// renewLease renews the lease of the own seat, or drops the seat if the lease has
// ended.
func (a *Agent) renewLease(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	alive, err := a.options.Registry.Renew(callCtx)
	if a.noteResult(ctx, err) || alive {
		return
	}
	a.dropSeat("seat lapsed")
}

// dropSeat drops the own seat, logs event as the cause and schedules a probe. It
// does nothing if the seat is already lost.
func (a *Agent) dropSeat(event string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ownSeat == nil {
		return
	}
	a.options.Logger.WithField("seat", a.ownSeat.Number).Info(event)
	a.ownSeat = nil
	a.setFleet(a.fleet)
	a.nextProbeAt = time.Now()
}

// listSeats reads the other seats. A stale read is enough here.
func (a *Agent) listSeats(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	seats, err := a.options.Registry.Seats(callCtx, true)
	if a.noteResult(ctx, err) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setFleet(Fleet{Seats: seats})
}

// updateEntry writes the own seat, with its number of hosts, to the store.
func (a *Agent) updateEntry(ctx context.Context) {
	seat, ok := a.heldSeat()
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	at, err := a.options.Registry.Update(callCtx, seat)
	var taken *TakenError
	switch {
	case errors.As(err, &taken):
		a.dropSeat("seat lost to another host")
	case a.noteResult(ctx, err):
	default:
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.ownSeat != nil {
			a.ownSeat.Position = at
			a.setFleet(a.fleet)
		}
	}
}

// releaseSeat ends the lease of the own seat in the store.
func (a *Agent) releaseSeat() {
	if !a.holdsSeat() {
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := a.options.Registry.Leave(callCtx); err != nil {
		a.options.Logger.WithError(err).Warn("seat not given up")
	}
}
