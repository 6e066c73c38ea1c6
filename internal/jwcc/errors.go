package jwcc

import (
	"strconv"
	"strings"
)

// Problem is one fault in a document and its position.
type Problem struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`   // from 1; 0 when the position is not known
	Column  int    `json:"column,omitempty"` // in bytes, from 1; 0 as for Line
	Key     string `json:"key,omitempty"`    // path such as "services.added[0].slots"
	Message string `json:"message"`
}

// String formats the problem as "file:line:column: key: message" and leaves
// out the parts that are not known.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
	}
	if p.Line > 0 {
		b.WriteString(strconv.Itoa(p.Line) + ":")
	}
	if p.Column > 0 {
		b.WriteString(strconv.Itoa(p.Column) + ":")
	}
	if b.Len() > 0 {
		b.WriteString(" ")
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Message)
	return b.String()
}

// Error reports all problems that were found in one document.
type Error struct{ Problems []Problem }

// Error implements error with one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// TargetError reports a decoding target that is not a non-nil pointer.
type TargetError struct{ Type string }

// Error implements error.
func (e *TargetError) Error() string {
	return "a document can't be decoded into " + e.Type + "; allowed is a pointer to a struct, map, slice or basic type"
}
