package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// execution is a request that a replica began to run.
type execution struct {
	at                              time.Time
	attempt, replica, service, path string
}

// record is what was sent, answered and run, and record.txt in the folder of the case.
type record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
	runs  []execution
	// crashes are the runs that crashed their replica, one for each incarnation.
	crashes []execution
}

func newRecord(dir string) (*record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file}, nil
}

// printf adds a line with the time since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// run records that a replica begins to run a request.
func (r *record) run(attempt, replica, service string, q *http.Request) {
	e := execution{at: time.Now(), attempt: attempt, replica: replica, service: service, path: q.URL.Path}
	r.mu.Lock()
	r.runs = append(r.runs, e)
	r.mu.Unlock()
	r.printf("run    attempt=%s replica=%s service=%s path=%s", attempt, replica, service, e.path)
}

// executions returns the runs so far that a condition holds for.
func (r *record) executions(include func(execution) bool) []execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []execution
	for _, e := range r.runs {
		if include(e) {
			out = append(out, e)
		}
	}
	return out
}

// crash records that a request crashes its replica.
func (r *record) crash(attempt, replica, path string) {
	r.mu.Lock()
	r.crashes = append(r.crashes, execution{at: time.Now(), attempt: attempt, replica: replica, path: path})
	r.mu.Unlock()
	r.printf("crash  attempt=%s replica=%s path=%s", attempt, replica, path)
}

// crashesOf returns the crashes so far by requests for a path.
func (r *record) crashesOf(path string) []execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []execution
	for _, e := range r.crashes {
		if e.path == path {
			out = append(out, e)
		}
	}
	return out
}
