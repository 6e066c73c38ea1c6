package backend

import (
	"sync"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/backend/httpjson"
)

// Execution is one sub-request that began to run.
type Execution struct {
	Number     uint64          `json:"number"` // from 1, in the order of starts on the replica
	ID         httpjson.IDForm `json:"id"`
	Query      uint64          `json:"query"`
	Search     string          `json:"search"`
	Snapshot   uint64          `json:"snapshot"`
	Repeatable bool            `json:"repeatable"`
	Payload    []byte          `json:"payload,omitempty"`
	Start      time.Time       `json:"start"`
	// End is when it finished or was stopped; zero while it runs.
	End time.Time `json:"end"`
	// Stopped says that a cancel, its deadline or a closed connection ended it.
	Stopped bool `json:"stopped"`
}

// recorder keeps the newest executions in a ring.
type recorder struct {
	mu    sync.Mutex
	limit int
	total uint64
	ring  []Execution
}

func (r *recorder) begin(e Execution) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	e.Number = r.total
	if len(r.ring) < r.limit {
		r.ring = append(r.ring, e)
	} else {
		r.ring[(e.Number-1)%uint64(r.limit)] = e
	}
	return e.Number
}

func (r *recorder) end(number uint64, at time.Time, stopped bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &r.ring[(number-1)%uint64(r.limit)]
	if e.Number == number {
		e.End, e.Stopped = at, stopped
	}
}

// list returns the executions with numbers above after, oldest first, and the
// number of all executions ever.
func (r *recorder) list(after uint64, limit int) ([]Execution, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Execution
	first := uint64(1)
	if r.total > uint64(len(r.ring)) {
		first = r.total - uint64(len(r.ring)) + 1
	}
	for n := max(first, after+1); n <= r.total && (limit <= 0 || len(out) < limit); n++ {
		out = append(out, r.ring[(n-1)%uint64(r.limit)])
	}
	return out, r.total
}
