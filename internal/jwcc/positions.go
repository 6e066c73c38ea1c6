package jwcc

import (
	"bytes"
	"sort"
)

// KeyPositions holds the position of the value at each key path of a decoded
// document. Problems from nil KeyPositions have no file, line and column.
type KeyPositions struct {
	file       string
	lineStarts []int          // offset of the first byte of each line
	offsets    map[string]int // byte offset of the value at each key path
}

func newKeyPositions(file string, body []byte) *KeyPositions {
	s := &KeyPositions{file: file, lineStarts: []int{0}, offsets: map[string]int{}}
	for offset := 0; ; {
		next := bytes.IndexByte(body[offset:], '\n')
		if next < 0 {
			return s
		}
		offset += next + 1
		s.lineStarts = append(s.lineStarts, offset)
	}
}

// ProblemAt returns a problem with the position of the value at the key path or,
// when the document does not contain it, of the nearest enclosing value.
func (s *KeyPositions) ProblemAt(key, message string) Problem {
	if s == nil {
		return Problem{Key: key, Message: message}
	}
	for path := key; ; path = parentPath(path) {
		if offset, ok := s.offsets[path]; ok {
			return s.problem(offset, key, message)
		}
		if path == "" {
			return Problem{File: s.file, Key: key, Message: message}
		}
	}
}

// problem returns a problem at a byte offset of the document.
func (s *KeyPositions) problem(offset int, key, message string) Problem {
	line := sort.SearchInts(s.lineStarts, offset+1)
	return Problem{File: s.file, Line: line, Column: offset - s.lineStarts[line-1] + 1, Key: key, Message: message}
}

// parentPath returns the path without its last key or index. It returns "", the
// path of the whole document, for a path of one key.
func parentPath(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}
