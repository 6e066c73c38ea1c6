package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// lineFile appends points to a file of JSON lines.
type lineFile struct{ file *os.File }

func openLines(path string) (*lineFile, error) {
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return nil, errors.WithStack(err)
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	return &lineFile{file: file}, errors.WithStack(err)
}

// Record implements Recorder.
func (l *lineFile) Record(p Point) error {
	body, err := json.Marshal(p)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = l.file.Write(append(body, '\n'))
	return errors.WithStack(err)
}

// Close closes the file.
func (l *lineFile) Close() error { return errors.WithStack(l.file.Close()) }

// ParsePoints reads JSON lines; empty ones are passed over. *LineError names
// the first line that is not a point.
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
			return nil, errors.WithStack(&LineError{Number: i + 1, Err: err})
		}
		points = append(points, p)
	}
	return points, nil
}
