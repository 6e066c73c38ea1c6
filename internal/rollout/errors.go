package rollout

import (
	"strconv"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

// Outcome says what is known of a note that could not be applied.
type Outcome string

const (
	// NotApplied means that the note is not in force and will not come into
	// force.
	NotApplied Outcome = "not_applied"
	// OutcomeUnknown means that the note may be in force or come into force.
	// Presenting it again resolves the doubt.
	OutcomeUnknown Outcome = "unknown"
)

// OptionError reports an option that is out of range.
type OptionError struct{ Option, Allowed string }

// Error implements error.
func (e *OptionError) Error() string {
	return "option " + e.Option + " is out of range; allowed is " + e.Allowed
}

// ConflictError reports a note that lost against another one. It was not
// applied.
type ConflictError struct {
	Note    string
	Base    uint64 // version that the note was written against
	Winning string // note that took its place
	Version uint64 // version in the store
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Note == e.Winning {
		return "note id " + strconv.Quote(e.Note) + " belongs to another note, which is in force"
	}
	return "note " + strconv.Quote(e.Note) + " against version " + strconv.FormatUint(e.Base, 10) +
		" lost to note " + strconv.Quote(e.Winning) + "; the version is now " + strconv.FormatUint(e.Version, 10)
}

// UnavailableError reports that the store gave no conclusive answer in time.
type UnavailableError struct {
	Note    string
	Outcome Outcome
	Err     error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "store is unavailable, outcome of note " + strconv.Quote(e.Note) + " is " + string(e.Outcome) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// StoreBehindError reports a store that answers with a lower version than the
// one in force.
type StoreBehindError struct{ Stored, InForce uint64 }

// Error implements error.
func (e *StoreBehindError) Error() string {
	return "store has version " + strconv.FormatUint(e.Stored, 10) + ", below version " +
		strconv.FormatUint(e.InForce, 10) + " in force"
}

// BadDocumentError reports a document whose content doesn't have its hash.
type BadDocumentError struct{ Hash string }

// Error implements error.
func (e *BadDocumentError) Error() string {
	return "content of document " + e.Hash + " does not match its hash"
}

// BadManifestError reports a manifest that can't be read.
type BadManifestError struct {
	Source string // "store" or a host's address
	Err    error
}

// Error implements error.
func (e *BadManifestError) Error() string {
	return "manifest from " + e.Source + " can't be read: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *BadManifestError) Unwrap() error { return e.Err }

// NothingNewerError reports a host that has no newer configuration.
type NothingNewerError struct{ Addr string }

// Error implements error.
func (e *NothingNewerError) Error() string {
	return "host at " + e.Addr + " has no newer configuration"
}

// TooLongError reports a received body that is longer than allowed.
type TooLongError struct{ Bytes int }

// Error implements error.
func (e *TooLongError) Error() string {
	return "received body is longer than " + strconv.Itoa(e.Bytes) + " bytes"
}

// missing returns the error for a document that no source had.
func missing(m release.Manifest, hash string) error {
	for name, h := range m.Services {
		if h == hash {
			return &release.MissingDocumentError{Name: name, Hash: hash}
		}
	}
	for name, h := range m.Searches {
		if h == hash {
			return &release.MissingDocumentError{Name: name, Hash: hash}
		}
	}
	return &release.MissingDocumentError{Hash: hash}
}
