package httpkv

import "strconv"

// OptionError reports an option that is out of range. Allowed states the range.
type OptionError struct{ Option, Allowed string }

// Error implements error.
func (e *OptionError) Error() string {
	return "option " + e.Option + " is out of range; allowed is " + e.Allowed
}

// StatusError reports an HTTP status that the protocol doesn't define for the
// call. It is the cause of an *infra.UnavailableError. Body is the start of the
// reply.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return "platform answered with HTTP status " + strconv.Itoa(e.Status) + ": " + e.Body
}

// TooLargeError reports a value above the platform's size limit. Nothing was
// written.
type TooLargeError struct {
	Key   string
	Bytes int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return "value of key " + e.Key + " with " + strconv.Itoa(e.Bytes) + " bytes exceeds the platform's size limit"
}
