package peer

// DialError reports that no usable connection to a peer could be opened. No
// request was sent.
type DialError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *DialError) Error() string { return "dial peer " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// CallError reports a call that failed after the connection was open: the reply
// was lost or the peer answered with an error. The peer may have carried it out.
type CallError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *CallError) Error() string { return "call to peer " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// SilentError reports a stream on which the peer did not answer a ping in time.
type SilentError struct{ Addr string }

// Error implements error.
func (e *SilentError) Error() string {
	return "stream to peer " + e.Addr + ": no answer to a ping in time"
}

// OptionError reports an option that is out of range. Allowed states the range.
type OptionError struct{ Option, Allowed string }

// Error implements error.
func (e *OptionError) Error() string {
	return "peer option " + e.Option + " is out of range; allowed is " + e.Allowed
}

// ClosedError is the cause with which streams fail when their client or link is
// closed.
type ClosedError struct{}

// Error implements error.
func (e *ClosedError) Error() string { return "peer client is closed" }
