// Package jwcc reads JSON with comments strictly: unknown keys, duplicate
// keys and wrong units are errors that name file, line, key and what is
// allowed.
package jwcc

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

// Duration is a time.Duration written as text with a unit, such as "6ms".
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(body []byte) error {
	text, err := strconv.Unquote(string(body))
	if err != nil {
		return &DurationError{Text: string(body)}
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return &DurationError{Text: text}
	}
	*d = Duration(value)
	return nil
}

// DurationError reports a duration without a valid unit.
type DurationError struct{ Text string }

// Error implements error.
func (e *DurationError) Error() string {
	return fmt.Sprintf(durationForm, e.Text)
}

const durationForm = "%q is not a duration; allowed is a quoted number with a unit of ns, us, ms, s, m or h, such as \"250ms\""
