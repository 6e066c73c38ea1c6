package infra

// UnavailableError reports a call to the platform that got no conclusive answer.
// A write may have taken effect.
type UnavailableError struct {
	Op  string
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string { return "platform " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// ConflictError reports a compare-and-swap on a revision that is not current.
// Nothing was written; Current is the entry that the store has.
type ConflictError struct{ Current Entry }

// Error implements error.
func (e *ConflictError) Error() string {
	return "platform key " + e.Current.Key + " was changed by another writer"
}
