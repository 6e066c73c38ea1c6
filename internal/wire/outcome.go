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
	ReasonQueueFull        Reason = "queue_full"
	ReasonDeadlineTooShort Reason = "deadline_too_short"
	ReasonDeadlineExpired  Reason = "deadline_expired"
	ReasonCancelled        Reason = "cancelled"
	ReasonDraining         Reason = "draining"
	ReasonEjected          Reason = "ejected"
	ReasonShed             Reason = "shed"
	ReasonConnRefused      Reason = "connection_refused"
	ReasonConnLost         Reason = "connection_lost"
	ReasonConnSilent       Reason = "connection_silent"
	ReasonTimeout          Reason = "timeout"
	ReasonSnapshotNotHeld  Reason = "snapshot_not_held"
	ReasonSnapshotMismatch Reason = "snapshot_mismatch"
	ReasonRepartitioned    Reason = "repartitioned"
	ReasonNoReplica        Reason = "no_usable_replica"
	ReasonPeerLost         Reason = "peer_lost"
	ReasonUnknownReplica   Reason = "unknown_replica"
	ReasonServerError      Reason = "server_error"
)
