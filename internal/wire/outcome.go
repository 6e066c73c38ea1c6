package wire

// Outcome says what is known about the execution of a request or sub-request.
type Outcome uint8

const (
	// Unknown means that the request may have run: bytes were sent and no
	// conclusive reply arrived. It is the zero value, so that a reply whose
	// Outcome was not set doesn't state more than is known.
	Unknown Outcome = iota
	// Answered means that the request ran and its reply was received.
	Answered
	// NotRun means that the request provably did not run: no byte of it was
	// sent, or the receiver stated that it refused before running it.
	NotRun
)

// String returns the outcome's name in JSON bodies and logs.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// Reason says why a sub-request was not answered; it is empty if it was.
type Reason string

// The reasons that replies, coverage reports and metrics state.
const (
	ReasonNone             Reason = ""
	ReasonBadRequest       Reason = "bad_request"
	ReasonQueueFull        Reason = "queue_full"         // the owner's queue for the replica is full
	ReasonDeadlineTooShort Reason = "deadline_too_short" // the expected wait in the owner's queue exceeds the time left
	ReasonDeadlineExpired  Reason = "deadline_expired"   // the deadline passed before the sub-request was started
	ReasonCancelled        Reason = "cancelled"
	ReasonDraining         Reason = "draining"           // the replica or its owner accepts no new sub-requests
	ReasonEvacuated        Reason = "evacuated"          // the replica's data centre is out of use
	ReasonEjected          Reason = "ejected"            // the owner has ejected the replica after repeated failures
	ReasonShed             Reason = "shed"               // the backend server refused, usually because its slots are taken
	ReasonRateLimited      Reason = "rate_limited"       // the limit that the backend server names allows no further request now
	ReasonBackoff          Reason = "backing_off"        // the backend server asked for no requests for a time
	ReasonQuarantined      Reason = "quarantined"        // the request crashed the servers that ran it
	ReasonConnRefused      Reason = "connection_refused" // no connection to the replica could be opened
	ReasonConnLost         Reason = "connection_lost"    // the connection to the replica failed
	ReasonConnSilent       Reason = "connection_silent"  // the connection to the replica is open but nothing is answered
	ReasonTimeout          Reason = "timeout"
	ReasonTooLarge         Reason = "response_too_large" // the response exceeds a limit; its rest was not read
	ReasonSnapshotNotHeld  Reason = "snapshot_not_held"  // the replica does not hold the snapshot of the query
	ReasonSnapshotMismatch Reason = "snapshot_mismatch"  // the reply is for another snapshot than that of the query
	ReasonRepartitioned    Reason = "repartitioned"      // the replica no longer holds the shard or the whole range
	ReasonNoReplica        Reason = "no_usable_replica"  // no replica of the shard is usable
	ReasonPeerLost         Reason = "peer_lost"          // the connection to the owner of the replica failed
	ReasonUnknownReplica   Reason = "unknown_replica"    // the replica is not in the configuration or has no owner
	ReasonServerError      Reason = "server_error"
)
