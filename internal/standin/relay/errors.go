package relay

// OptionsError reports an option outside its allowed range.
type OptionsError struct{ Option, Allowed string }

// Error implements error.
func (e *OptionsError) Error() string {
	return "option " + e.Option + " of the relay must be " + e.Allowed
}
