// Package jwcc decodes JSON with comments and trailing commas (JWCC) strictly:
// unknown keys, duplicate keys, wrong types and durations without a unit are
// errors that name the file, the line, the key and what is allowed.
package jwcc

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

// Duration is a time.Duration that JSON holds as a string with a unit, such as
// "6ms".
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler. It returns *DurationError for a
// value that is no string, has no unit or can't be parsed.
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

// DurationError reports a JSON value that is not a duration with a unit.
type DurationError struct{ Text string }

// Error implements error.
func (e *DurationError) Error() string {
	return fmt.Sprintf(durationErrorFormat, e.Text)
}

const durationErrorFormat = "%q is not a duration; allowed is a quoted number with a unit of ns, us, ms, s, m or h, such as \"250ms\""
