package account

import "strconv"

// KeyHashError reports text that is not the hash of a key.
type KeyHashError struct{ Length int }

// Error implements error.
func (e *KeyHashError) Error() string {
	return "hash of a key has " + strconv.Itoa(e.Length) + " characters, not 64"
}
