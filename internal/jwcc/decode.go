package jwcc

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Decode reads one JSON value with comments and trailing commas into the value
// that into points to. File names the document in messages. *Error lists
// every syntax error, unknown or duplicate key and wrong type; the value is
// then partly filled and must not be used.
func Decode(file string, body []byte, into any) error {
	_, err := DecodeSource(file, body, into)
	return err
}

// DecodeSource is Decode that also returns the place of each key, so that
// later checks of the value can state it.
func DecodeSource(file string, body []byte, into any) (*Source, error) {
	target := reflect.ValueOf(into)
	if target.Kind() != reflect.Pointer || target.IsNil() {
		return nil, &TargetError{Type: fmt.Sprintf("%T", into)}
	}
	source := newSource(file, body)
	if offset, ok := tooDeep(body); ok {
		return nil, &Error{Problems: []Problem{source.problem(offset, "", fmt.Sprintf(depthForm, maxDepth))}}
	}
	value, err := hujson.Parse(endComment(body))
	if err != nil {
		return nil, &Error{Problems: []Problem{syntaxProblem(file, err)}}
	}
	d := decoder{source: source, fields: map[reflect.Type]map[string]int{}}
	d.value(&value, "", target.Elem())
	if len(d.problems) > 0 {
		return nil, &Error{Problems: d.problems}
	}
	return source, nil
}

const (
	depthForm = "nested too deeply; allowed are %d levels"
	// maxDepth bounds the nesting of a document. The parser recurses once for
	// each level, and a deep enough document would exhaust the stack.
	maxDepth = 64
	// maxProblems bounds the problems listed for one document.
	maxProblems = 100
)

// endComment adds the newline that the parser needs after a comment on the last
// line.
func endComment(body []byte) []byte {
	last := body[bytes.LastIndexByte(body, '\n')+1:]
	if !bytes.Contains(last, []byte("//")) {
		return body
	}
	return append(body[:len(body):len(body)], '\n')
}

// syntaxProblem takes the place out of the parser's message.
func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file}
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	place, message, found := strings.Cut(text, ": ")
	if _, scanErr := fmt.Sscanf(place, "line %d, column %d", &p.Line, &p.Column); !found || scanErr != nil {
		message = text
	}
	p.Message = "syntax error: " + message
	return p
}

// tooDeep returns the offset of the first bracket beyond maxDepth.
func tooDeep(body []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(body); i++ {
		switch body[i] {
		case '"':
			i = skipText(body, i)
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

// skipText returns the offset of the closing quote of the text that begins at i.
func skipText(body []byte, i int) int {
	for i++; i < len(body) && body[i] != '"'; i++ {
		if body[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment that begins
// at i, or i if none does.
func skipComment(body []byte, i int) int {
	rest := string(body[i:min(i+2, len(body))])
	end := ""
	switch rest {
	case "//":
		end = "\n"
	case "/*":
		end = "*/"
	default:
		return i
	}
	after := i + len(rest)
	if at := bytes.Index(body[after:], []byte(end)); at >= 0 {
		return after + at + len(end) - 1
	}
	return len(body)
}
