package backend

import "github.com/arbutusgauge/arbutusgauge/internal/wire"

// NotSentError reports that no byte of a batch was written, so that none of its
// sub-requests ran and the batch can be sent again.
type NotSentError struct {
	Replica wire.ReplicaID
	Err     error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return "batch was not sent to backend server " + string(e.Replica) + ": " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *NotSentError) Unwrap() error { return e.Err }

// LostError reports that a batch was sent, in part or in full, but that no
// complete response arrived, so that its sub-requests may have run.
type LostError struct {
	Replica wire.ReplicaID
	Err     error
}

// Error implements error.
func (e *LostError) Error() string {
	return "reply from backend server " + string(e.Replica) + " was lost: " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *LostError) Unwrap() error { return e.Err }

// DialError reports that a connection could not be opened, so that nothing was
// sent.
type DialError struct {
	Replica wire.ReplicaID
	Err     error
}

// Error implements error.
func (e *DialError) Error() string {
	return "connection to backend server " + string(e.Replica) + " failed: " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *DialError) Unwrap() error { return e.Err }
