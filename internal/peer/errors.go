package peer

// DialError reports that no connection to a peer could be opened, so that
// nothing was sent to it.
type DialError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *DialError) Error() string { return "dial peer " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// CallError reports a call to a peer that got no reply. The peer may have
// carried it out.
type CallError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *CallError) Error() string { return "call to peer " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// SilentError reports a stream on which the peer stopped answering.
type SilentError struct{ Addr string }

// Error implements error.
func (e *SilentError) Error() string { return "stream to peer " + e.Addr + " went silent" }

// OptionError reports an option outside its limits.
type OptionError struct{ Option, Allowed string }

// Error implements error.
func (e *OptionError) Error() string { return "peer option " + e.Option + ": allowed is " + e.Allowed }

// ClosedError reports the use of a closed client or link.
type ClosedError struct{}

// Error implements error.
func (e *ClosedError) Error() string { return "peer client is closed" }
