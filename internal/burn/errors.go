package burn

// OptionError reports an option with a value that is not allowed.
type OptionError struct{ Option, Allowed string }

// Error implements error.
func (e *OptionError) Error() string {
	return "burn option " + e.Option + " is not valid; allowed is " + e.Allowed
}
