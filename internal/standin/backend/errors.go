package backend

// OptionsError reports an option outside its allowed range.
type OptionsError struct{ Option, Allowed string }

// Error implements error.
func (e *OptionsError) Error() string {
	return "option " + e.Option + " of a stand-in replica must be " + e.Allowed
}

// UnknownReplicaError reports an admin call for a replica that isn't served.
type UnknownReplicaError struct{ Addr string }

// Error implements error.
func (e *UnknownReplicaError) Error() string { return "no replica listens on " + e.Addr }
