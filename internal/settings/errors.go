package settings

// ReadError reports a settings file that could not be read.
type ReadError struct {
	File string
	Err  error
}

// Error implements error.
func (e *ReadError) Error() string {
	return "settings file " + e.File + " could not be read: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }
