package main

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	clockTick = 10 * time.Millisecond // unit of the times in /proc
	// Indexes of the fields of /proc/PID/stat that follow the process name, which
	// stands in parentheses.
	userTimeField   = 11
	systemTimeField = 12
	residentField   = 21 // in pages
)

// processStat is the resource usage of one process.
type processStat struct {
	cpu      time.Duration // user and system time
	resident float64       // bytes
}

// readStat reads the file /proc/PID/stat at path.
func readStat(path string) (processStat, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return processStat{}, errors.WithStack(err)
	}
	return parseStat(string(body))
}

// parseStat parses the text of /proc/PID/stat. It returns *StatError for text in
// another form.
func parseStat(text string) (processStat, error) {
	_, rest, ok := cutLast(text, ")")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= residentField {
		return processStat{}, errors.WithStack(&StatError{Text: text})
	}
	var numbers [3]int64
	for i, field := range []int{userTimeField, systemTimeField, residentField} {
		n, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return processStat{}, errors.WithStack(&StatError{Text: text})
		}
		numbers[i] = n
	}
	return processStat{
		cpu:      time.Duration(numbers[0]+numbers[1]) * clockTick,
		resident: float64(numbers[2]) * float64(os.Getpagesize()),
	}, nil
}

// cutLast is like strings.Cut but cuts at the last separator, because a process
// name may itself contain the separator.
func cutLast(text, separator string) (before, after string, found bool) {
	i := strings.LastIndex(text, separator)
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+len(separator):], true
}
