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
	// Places of the fields after the closing parenthesis of the name.
	userTimeField   = 11
	systemTimeField = 12
	residentField   = 21
)

// processStat is what is read of one process.
type processStat struct {
	cpu      time.Duration // user and system time
	resident float64       // bytes
}

func readStat(path string) (processStat, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return processStat{}, errors.WithStack(err)
	}
	return parseStat(string(body))
}

// parseStat reads the text of /proc/PID/stat. *StatError reports another form.
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

// cutLast cuts around the last separator, because a process name may hold one.
func cutLast(text, separator string) (before, after string, found bool) {
	i := strings.LastIndex(text, separator)
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+len(separator):], true
}
