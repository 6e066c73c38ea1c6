package burn

// OptionError reports a field of Options with a value that is not allowed.
type OptionError struct{ Option, Allowed string }

// Error implements error.
func (e *OptionError) Error() string {
	return "burn option " + e.Option + " is not valid; allowed is " + e.Allowed
}
