// Package review holds what the scripts of the independent review share: stand-ins of the platform's
// store, of replicas and of clients, the processes of the entry hosts, and the record of
// what was sent, answered and run.
package review

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that lists what a script saw, in order.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file, or empties it.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Line writes one line with the seconds since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Seconds returns the seconds from the start to a time.
func (r *Record) Seconds(at time.Time) float64 { return at.Sub(r.began).Seconds() }

// Verdict writes the last line, prints it and returns the exit status of the script.
func (r *Record) Verdict(broken bool, text string) int {
	result, code := "held: ", 0
	if broken {
		result, code = "broken: ", 1
	}
	r.Line("%s%s", result, text)
	fmt.Println(result + text)
	return code
}
