package member

import "strconv"

// OptionError reports an option that is out of range.
type OptionError struct{ Option, Allowed string }

// Error implements error.
func (e *OptionError) Error() string {
	return "option " + e.Option + " is out of range; allowed is " + e.Allowed
}

// ReplacedError reports that another process runs under this host's name with
// a higher incarnation. This process must stop.
type ReplacedError struct {
	Name        string
	Addr        string // address of the other process
	Incarnation uint64 // incarnation of the other process
}

// Error implements error.
func (e *ReplacedError) Error() string {
	return "host " + e.Name + " was replaced by the process at " + e.Addr + " with incarnation " +
		strconv.FormatUint(e.Incarnation, 10)
}

// NoAnswerError reports a membership message to Addr that got no usable answer.
type NoAnswerError struct {
	Addr string
	Err  error // nil when another host answered at the address
}

// Error implements error.
func (e *NoAnswerError) Error() string {
	if e.Err == nil {
		return "host at " + e.Addr + " is not the expected one"
	}
	return "host at " + e.Addr + " did not answer: " + e.Err.Error()
}

// Unwrap returns Err.
func (e *NoAnswerError) Unwrap() error { return e.Err }
