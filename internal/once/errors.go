package once

import (
	"fmt"
	"time"
)

// InvalidError reports a text that is not a ticket, or a ticket that this
// process never issued. No request has run with it.
type InvalidError struct{ Reason string }

// Error implements error.
func (e *InvalidError) Error() string { return "ticket is invalid: " + e.Reason }

// OtherHostError reports a ticket that another host issued. Only that host can
// tell whether its request ran.
type OtherHostError struct{ Ticket Ticket }

// Error implements error.
func (e *OtherHostError) Error() string {
	return "ticket was issued by host " + e.Ticket.Addr + " in data centre " + e.Ticket.DataCentre
}

// WrongIncarnationError reports a ticket that another process at this address
// issued, for example the one before a restart. Whether its request ran is not
// known.
type WrongIncarnationError struct {
	Ticket  Ticket
	Current uint64 // incarnation of this process
}

// Error implements error.
func (e *WrongIncarnationError) Error() string {
	return fmt.Sprintf("ticket was issued by incarnation %d of host %s, which now runs incarnation %d",
		e.Ticket.Incarnation, e.Ticket.Addr, e.Current)
}

// ExpiredError reports a ticket that was not used within its life. Its request
// has not run and can no longer run.
type ExpiredError struct{ Life time.Duration }

// Error implements error.
func (e *ExpiredError) Error() string {
	return "ticket expired: it was not used within " + e.Life.String()
}

// RunningError reports a ticket whose request is in progress; its outcome is
// not known yet.
type RunningError struct{}

// Error implements error.
func (e *RunningError) Error() string { return "request of this ticket is in progress" }

// UsedError reports a ticket whose request ran or may have run. Stored holds the
// kept answer; it is nil when the answer is no longer kept.
type UsedError struct{ Stored *StoredAnswer }

// Error implements error.
func (e *UsedError) Error() string {
	if e.Stored == nil {
		return "ticket was used and its answer is no longer kept"
	}
	return "ticket was used and its answer is kept"
}

// OtherRequestError reports a ticket that was first used with another request.
// The presented request has not run.
type OtherRequestError struct{}

// Error implements error.
func (e *OtherRequestError) Error() string { return "ticket was first used with a different request" }

// RegistryFullError reports that a limit of the registry is reached. Nothing was
// run or issued; the caller may try again later.
type RegistryFullError struct {
	Limit string // name of the option
	Value int    // value of the option
}

// Error implements error.
func (e *RegistryFullError) Error() string {
	return fmt.Sprintf("ticket registry is full: limit %s is %d", e.Limit, e.Value)
}

// OptionError reports an option, or an argument, out of its range.
type OptionError struct{ Option, Allowed string }

// Error implements error.
func (e *OptionError) Error() string {
	return "ticket option " + e.Option + " is out of range; allowed is " + e.Allowed
}
