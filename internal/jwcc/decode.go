package jwcc

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Decode decodes one JSON value, with comments and trailing commas allowed, into
// the value that into points to. File is the name of the document in problems.
// Decode returns *Error when the document has a syntax error, is nested too
// deeply, or has unknown keys, duplicate keys or values of a wrong type; the value
// is then partly set and must not be used. It returns *TargetError when into is
// not a non-nil pointer.
func Decode(file string, body []byte, into any) error {
	_, err := DecodeWithPositions(file, body, into)
	return err
}

// DecodeWithPositions is like Decode and also returns the positions of the values
// in the document, so that later checks of the decoded value can report them.
func DecodeWithPositions(file string, body []byte, into any) (*KeyPositions, error) {
	target := reflect.ValueOf(into)
	if target.Kind() != reflect.Pointer || target.IsNil() {
		return nil, &TargetError{Type: fmt.Sprintf("%T", into)}
	}
	positions := newKeyPositions(file, body)
	if offset, ok := findExcessNesting(body); ok {
		return nil, &Error{Problems: []Problem{positions.problem(offset, "", fmt.Sprintf(depthErrorFormat, maxDepth))}}
	}
	value, err := hujson.Parse(terminateComment(body))
	if err != nil {
		return nil, &Error{Problems: []Problem{syntaxProblem(file, err)}}
	}
	d := decoder{positions: positions, fieldIndexes: map[reflect.Type]map[string]int{}}
	d.decodeValue(&value, "", target.Elem())
	if len(d.problems) > 0 {
		return nil, &Error{Problems: d.problems}
	}
	return positions, nil
}

const (
	depthErrorFormat = "nested too deeply; allowed are %d levels"
	// maxDepth bounds the nesting of a document, because the parser recurses once
	// for each level: a document nested deeply enough would exhaust the stack.
	maxDepth = 64
	// maxProblems bounds the number of problems that are reported for one document.
	maxProblems = 100
)

// terminateComment returns body with a newline added when its last line may hold
// a comment, because the parser requires a newline after "//" comments.
func terminateComment(body []byte) []byte {
	last := body[bytes.LastIndexByte(body, '\n')+1:]
	if !bytes.Contains(last, []byte("//")) {
		return body
	}
	return append(body[:len(body):len(body)], '\n')
}

// syntaxProblem converts an error of the parser. Line and column are read from
// its text, and are 0 when the text does not begin with them.
func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file}
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	position, message, found := strings.Cut(text, ": ")
	if _, scanErr := fmt.Sscanf(position, "line %d, column %d", &p.Line, &p.Column); !found || scanErr != nil {
		message = text
	}
	p.Message = "syntax error: " + message
	return p
}

// findExcessNesting returns the offset of the first opening bracket that is
// nested deeper than maxDepth, and false if there is none.
func findExcessNesting(body []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(body); i++ {
		switch body[i] {
		case '"':
			i = skipString(body, i)
		case '/':
			i = skipComment(body, i)
		case '{', '[':
			if depth++; depth > maxDepth {
				return i, true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

// skipString returns the offset of the closing quote of the string that begins
// at i, or an offset beyond the body if there is none.
func skipString(body []byte, i int) int {
	for i++; i < len(body) && body[i] != '"'; i++ {
		if body[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment that begins at
// i, i if no comment begins there, or len(body) if the comment has no end.
func skipComment(body []byte, i int) int {
	opener := string(body[i:min(i+2, len(body))])
	terminator := ""
	switch opener {
	case "//":
		terminator = "\n"
	case "/*":
		terminator = "*/"
	default:
		return i
	}
	contentStart := i + len(opener)
	if index := bytes.Index(body[contentStart:], []byte(terminator)); index >= 0 {
		return contentStart + index + len(terminator) - 1
	}
	return len(body)
}
