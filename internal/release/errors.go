package release

import "fmt"

// BaseError reports a note that was written against another version than the
// one in force, and so conflicts with the notes applied since. It has to be
// revised against version InForce.
type BaseError struct {
	Note        string // id of the note
	NoteBase    uint64 // version that the note was written against
	InForce     uint64 // version that it was checked against
	WinningNote string // id of the note that made InForce; empty for version 0
}

// Error implements error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("note %q has base version %d, but version %d (note %q) is in force; allowed is %d",
		e.Note, e.NoteBase, e.InForce, e.WinningNote, e.InForce)
}
