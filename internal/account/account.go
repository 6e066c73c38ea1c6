// Package account holds the client accounts of a routing table: which account a
// request belongs to, by the key that it carries, and the quota and the priority that
// the operators gave to the account.
package account

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Account is a client account. Its keys are known as hashes only, so that they can't
// be read from the memory, the messages or the logs of a host.
type Account struct {
	Name string    `json:"name"`
	Keys []KeyHash `json:"keys,omitempty"`
	// Priority replaces the priority of the route; nil: the route's applies.
	Priority *int `json:"priority,omitempty"`
	// RatePerSecond and Burst are the quota over all hosts, in requests; with
	// RatePerSecond 0 there is none.
	RatePerSecond float64 `json:"rate_per_s,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
}

// Limited reports whether the account has a quota.
func (a *Account) Limited() bool { return a.RatePerSecond > 0 }

// KeyHash is the SHA-256 hash of a key. Its text form is hexadecimal.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler.
func (h KeyHash) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, h[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler. *KeyHashError reports text of
// another length, else the error is that of the hexadecimal decoder.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(h)) {
		return errors.WithStack(&KeyHashError{Length: len(text)})
	}
	_, err := hex.Decode(h[:], text)
	return errors.WithStack(err)
}

// Credential is what a request carries to show its account.
type Credential struct {
	// Present is whether the request carries any credential. One that can't be read is
	// present too, and matches no account.
	Present bool
	Hash    KeyHash
}

// Identity is whom a request is from. The zero value is that of a routing table without
// accounts, which identifies nobody.
type Identity struct {
	// Checked is whether the routing table has accounts.
	Checked bool
	Account *Account // nil: anonymous
}

// Name returns the name of the account, "" for an anonymous caller.
func (i Identity) Name() string {
	if i.Account == nil {
		return ""
	}
	return i.Account.Name
}

// Priority returns the priority of the account, else that of the route.
func (i Identity) Priority(ofRoute int) int {
	if i.Account == nil || i.Account.Priority == nil {
		return ofRoute
	}
	return *i.Account.Priority
}

// Directory finds accounts by key. It is immutable.
type Directory struct{ byKey map[KeyHash]*Account }

// NewDirectory returns a directory of accounts, which must not be changed afterwards.
func NewDirectory(accounts []Account) *Directory {
	d := &Directory{byKey: map[KeyHash]*Account{}}
	for i := range accounts {
		for _, key := range accounts[i].Keys {
			d.byKey[key] = &accounts[i]
		}
	}
	return d
}

// Find returns the account of a credential, or nil if it is of none.
func (d *Directory) Find(c Credential) *Account {
	if !c.Present {
		return nil
	}
	return d.byKey[c.Hash]
}
