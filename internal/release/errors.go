package release

import "fmt"

// BaseVersionError reports a note that was written against another version than
// the one in force, and so conflicts with the notes applied since. The note has
// to be revised against version InForceVersion.
type BaseVersionError struct {
	Note           string // id of the note
	BaseVersion    uint64 // version that the note was written against
	InForceVersion uint64 // version that it was checked against
	WinningNote    string // id of the note that made InForceVersion; empty for version 0
}

// Error implements error.
func (e *BaseVersionError) Error() string {
	return fmt.Sprintf("note %q has base version %d, but version %d (note %q) is in force; allowed is %d",
		e.Note, e.BaseVersion, e.InForceVersion, e.WinningNote, e.InForceVersion)
}
