package quarantine

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// RefusedError reports a request that is not sent to servers, because it crashed those
// that ran it, or because another copy of it is being tried. It has not run.
type RefusedError struct {
	Key        wire.RequestKey
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "request " + e.Key.String() + " has crashed backend servers; refused for " + e.RetryAfter.String()
}

// MessageError reports a malformed message of a peer.
type MessageError struct{ Problem string }

// Error implements error.
func (e *MessageError) Error() string { return "malformed quarantine message: " + e.Problem }

// OptionError reports an unset field of Options.
type OptionError struct{ Option string }

// Error implements error.
func (e *OptionError) Error() string { return "option " + e.Option + " of quarantine is required" }

// NotLeaderError reports a host that permits no trials, because it leads no data centre.
type NotLeaderError struct{}

// Error implements error.
func (*NotLeaderError) Error() string { return "this host leads no data centre and permits no trials" }

// ConflictError reports that another host has changed the verdicts in the store since they
// were read.
type ConflictError struct{}

// Error implements error.
func (*ConflictError) Error() string { return "verdicts in the store were changed by another host" }
