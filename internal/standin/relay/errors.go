package relay

// OptionsError reports an option outside its allowed range. Option names its key
// or keys in JSON, Allowed describes the range.
type OptionsError struct{ Option, Allowed string }

// Error implements error.
func (e *OptionsError) Error() string {
	return "option " + e.Option + " of the relay must be " + e.Allowed
}
