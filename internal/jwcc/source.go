package jwcc

import (
	"bytes"
	"sort"
)

// Source holds the place of each key of a decoded document. A nil Source
// knows no places.
type Source struct {
	file    string
	lines   []int // offset of the first byte of each line
	offsets map[string]int
}

func newSource(file string, body []byte) *Source {
	s := &Source{file: file, lines: []int{0}, offsets: map[string]int{}}
	for at := 0; ; {
		next := bytes.IndexByte(body[at:], '\n')
		if next < 0 {
			return s
		}
		at += next + 1
		s.lines = append(s.lines, at)
	}
}

// Problem returns a problem at the key path, or at the nearest enclosing key
// that the document contains.
func (s *Source) Problem(key, message string) Problem {
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

func (s *Source) problem(offset int, key, message string) Problem {
	line := sort.SearchInts(s.lines, offset+1)
	return Problem{File: s.file, Line: line, Column: offset - s.lines[line-1] + 1, Key: key, Message: message}
}

// parentPath returns the path without its last key or index.
func parentPath(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}
