package backend

// OptionsError reports an option outside its allowed range. Option names its key
// or keys in JSON, Allowed describes the range.
type OptionsError struct{ Option, Allowed string }

// Error implements error.
func (e *OptionsError) Error() string {
	return "option " + e.Option + " of a stand-in replica must be " + e.Allowed
}

// UnknownReplicaError reports an admin call whose address, service and shard select
// no replica. Addr is the address from the path.
type UnknownReplicaError struct{ Addr string }

// Error implements error.
func (e *UnknownReplicaError) Error() string {
	return "no replica matches the call's service and shard at address " + e.Addr
}
