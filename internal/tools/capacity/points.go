package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// pointFile is a Recorder that appends points to a file as JSON lines.
type pointFile struct{ file *os.File }

// openPointFile opens the file for appending. It creates the file and its
// directory when they do not exist.
func openPointFile(path string) (*pointFile, error) {
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return nil, errors.WithStack(err)
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	return &pointFile{file: file}, errors.WithStack(err)
}

// Record implements Recorder.
func (f *pointFile) Record(p Point) error {
	body, err := json.Marshal(p)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = f.file.Write(append(body, '\n'))
	return errors.WithStack(err)
}

// Close implements io.Closer.
func (f *pointFile) Close() error { return errors.WithStack(f.file.Close()) }

// ParsePoints reads the points of a text with one JSON object per line and skips
// empty lines. It returns *PointParseError for the first line that is not a point.
func ParsePoints(body []byte) ([]Point, error) {
	var points []Point
	for i, line := range strings.Split(string(body), "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		var p Point
		decoder := json.NewDecoder(bytes.NewReader([]byte(line)))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&p); err != nil {
			return nil, errors.WithStack(&PointParseError{LineNumber: i + 1, Err: err})
		}
		points = append(points, p)
	}
	return points, nil
}
