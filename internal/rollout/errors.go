package rollout

import (
	"strconv"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

// Outcome says what is known about a note whose application failed.
type Outcome string

const (
	// OutcomeNotApplied means that the note has not been applied and will not be
	// unless it is presented again.
	OutcomeNotApplied Outcome = "not_applied"
	// OutcomeUnknown means that the note may have been applied or may still be.
	// Presenting the same note again gives a definite outcome.
	OutcomeUnknown Outcome = "unknown"
)

// OptionError reports an option that is missing or out of range.
type OptionError struct{ Option, Allowed string }

// Error implements error.
func (e *OptionError) Error() string {
	return "option " + e.Option + " is out of range; allowed is " + e.Allowed
}

// ConflictError reports a note that was not applied, because its base version is
// not the version in the store or because an applied note has the same id.
type ConflictError struct {
	Note        string // id of the refused note
	Base        uint64 // version that the note was written against
	WinningNote string // id of the note applied to Base, or of the latest one if that is not known
	Version     uint64 // version in the store when the conflict was found
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Note == e.WinningNote {
		return "note id " + strconv.Quote(e.Note) + " was already used by another note, which has been applied"
	}
	return "note " + strconv.Quote(e.Note) + " with base version " + strconv.FormatUint(e.Base, 10) +
		" conflicts with note " + strconv.Quote(e.WinningNote) + ", which was applied; the version in the store is " + strconv.FormatUint(e.Version, 10)
}

// UnavailableError reports that the store gave no conclusive answer within
// ApplyTimeout. Outcome says whether the note may have been applied.
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

// StoreBehindError reports that the store answered with a lower version than
// the one in force on this host.
type StoreBehindError struct{ Stored, InForce uint64 }

// Error implements error.
func (e *StoreBehindError) Error() string {
	return "store has version " + strconv.FormatUint(e.Stored, 10) + ", below version " +
		strconv.FormatUint(e.InForce, 10) + " in force"
}

// BadDocumentError reports a received document whose content can't be
// decompressed or does not match its hash.
type BadDocumentError struct{ Hash string }

// Error implements error.
func (e *BadDocumentError) Error() string {
	return "content of document " + e.Hash + " is malformed or does not match its hash"
}

// BadManifestError reports a manifest that can't be decompressed or decoded.
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

// NoNewerConfigError reports that the host at Addr has no newer configuration
// than this host.
type NoNewerConfigError struct{ Addr string }

// Error implements error.
func (e *NoNewerConfigError) Error() string {
	return "host at " + e.Addr + " has no newer configuration"
}

// BodyTooLongError reports a received body whose decompressed size exceeds the
// limit of LimitBytes.
type BodyTooLongError struct{ LimitBytes int }

// Error implements error.
func (e *BodyTooLongError) Error() string {
	return "decompressed body is longer than " + strconv.Itoa(e.LimitBytes) + " bytes"
}

// missingDocument returns the error for a document of m that neither this host
// nor the source has, with the name of the service or search that it describes.
func missingDocument(m release.Manifest, hash string) error {
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
