package gateway

import "time"

// NotReadyError reports that this host knows no routing table yet. The request
// did not run.
type NotReadyError struct{}

// Error implements error.
func (*NotReadyError) Error() string { return "no routing table is known yet" }

// NoRouteError reports that no route matches. The request did not run.
type NoRouteError struct{ Host, Path string }

// Error implements error.
func (e *NoRouteError) Error() string { return "no route for host " + e.Host + " and path " + e.Path }

// UnauthenticatedError reports a request whose key is missing, or of no client account. The
// request did not run.
type UnauthenticatedError struct{ Route string }

// Error implements error.
func (e *UnauthenticatedError) Error() string {
	return "no key of a client account for route " + e.Route
}

// NoTimeLeftError reports that the deadline of the request has passed, or is too
// close for an answer to arrive in time. The request did not run.
type NoTimeLeftError struct{}

// Error implements error.
func (*NoTimeLeftError) Error() string { return "no time is left for the request" }

// NotForwardedError reports that no other host runs a query. Err is nil if there
// was no host to forward the query to.
type NotForwardedError struct{ Err error }

// Error implements error.
func (e *NotForwardedError) Error() string {
	if e.Err == nil {
		return "no peer to forward the query to"
	}
	return "query not forwarded: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *NotForwardedError) Unwrap() error { return e.Err }

// PeerFailedError reports a query that failed at another host. Failure says
// whether parts of it may have run.
type PeerFailedError struct {
	Peer    string
	Failure Failure
	Reason  string
	// RetryAfter is the time after which a query that was not run may be run; 0: it is not
	// known.
	RetryAfter time.Duration
}

// Error implements error.
func (e *PeerFailedError) Error() string {
	return "query at peer " + e.Peer + " failed, " + string(e.Failure) + ": " + e.Reason
}

// OptionError reports an unset field of Options.
type OptionError struct{ Option string }

// Error implements error.
func (e *OptionError) Error() string { return "option " + e.Option + " of the gateway is required" }
