package backend

import (
	"sync"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/backend/httpjson"
)

// Execution is one sub-request that was executed; a refused one is none.
type Execution struct {
	Number     uint64          `json:"number"` // from 1, in the order of starts on this replica
	ID         httpjson.IDForm `json:"id"`
	Query      uint64          `json:"query"`
	Search     string          `json:"search"`
	Snapshot   uint64          `json:"snapshot"`
	Repeatable bool            `json:"repeatable"`
	Payload    []byte          `json:"payload,omitempty"`
	Start      time.Time       `json:"start"` // when the sub-request was received
	// End is when the execution finished or was stopped; zero while it runs.
	End time.Time `json:"end"`
	// Stopped reports that the execution was ended early by a cancel call, its
	// deadline or a closed connection.
	Stopped bool `json:"stopped"`
}

// recorder keeps the newest executions in a ring buffer.
type recorder struct {
	mu       sync.Mutex
	capacity int         // executions
	started  uint64      // executions since the start
	ring     []Execution // execution n is at index (n-1) % capacity
}

// begin records the start of an execution and returns its number.
func (r *recorder) begin(e Execution) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	e.Number = r.started
	if len(r.ring) < r.capacity {
		r.ring = append(r.ring, e)
	} else {
		r.ring[(e.Number-1)%uint64(r.capacity)] = e
	}
	return e.Number
}

// end records the end of an execution, unless newer ones have taken its place.
func (r *recorder) end(number uint64, at time.Time, stopped bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &r.ring[(number-1)%uint64(r.capacity)]
	if e.Number == number {
		e.End, e.Stopped = at, stopped
	}
}

// list returns the recorded executions with numbers above after, oldest first and
// at most limit (0: all), and the number of executions since the start.
func (r *recorder) list(after uint64, limit int) ([]Execution, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Execution
	first := uint64(1)
	if r.started > uint64(len(r.ring)) {
		first = r.started - uint64(len(r.ring)) + 1
	}
	for n := max(first, after+1); n <= r.started && (limit <= 0 || len(out) < limit); n++ {
		out = append(out, r.ring[(n-1)%uint64(r.capacity)])
	}
	return out, r.started
}
