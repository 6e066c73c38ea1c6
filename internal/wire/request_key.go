package wire

import "encoding/hex"

// RequestKey identifies a request that may come again: requests of one caller with the
// same method, target and body have the same key, whatever their attempt ids are. It is
// a hash, so that no other request has it. The zero value identifies no request.
type RequestKey [16]byte

// IsZero reports whether the key identifies no request.
func (k RequestKey) IsZero() bool { return k == RequestKey{} }

// String returns the key in hexadecimal digits.
func (k RequestKey) String() string { return hex.EncodeToString(k[:]) }

// MarshalText implements encoding.TextMarshaler.
func (k RequestKey) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *RequestKey) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(k) {
		return &RequestKeyError{Text: string(text)}
	}
	if _, err := hex.Decode(k[:], text); err != nil {
		return &RequestKeyError{Text: string(text)}
	}
	return nil
}

// RequestKeyError reports a text that is no request key.
type RequestKeyError struct{ Text string }

// Error implements error.
func (e *RequestKeyError) Error() string { return "\"" + e.Text + "\" is no request key" }
