// Package backend is a stand-in for backend servers: it speaks the JSON
// protocol, takes faults from outside and records what truly ran.
package backend

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/backend/httpjson"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Server is one replica. Its methods are safe for concurrent use.
type Server struct {
	options Options
	gate    *gate
	http    *http.Server
	record  *recorder
	stop    context.CancelFunc
	base    context.Context
	wait    sync.WaitGroup

	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	thawed   chan struct{} // closed unless frozen
	held     wire.Held
	draining bool
	cold     uint32 // requests until warm
	inFlight uint32
	most     uint32 // highest number in flight ever
	running  map[httpjson.IDForm]context.CancelFunc
	history  []stateChange
}

// Start opens the replica's address and serves it. The error is *OptionsError
// or the cause of the failed listen.
func Start(options Options) (*Server, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	options = options.withDefaults()
	gate, err := openGate(options.Listen, options.ConnectCost.D(), int(options.Connections))
	if err != nil {
		return nil, errors.Wrap(err, "stand-in replica")
	}
	s := &Server{
		options: options,
		gate:    gate,
		record:  &recorder{limit: options.RecordLimit},
		random:  rand.New(rand.NewPCG(options.Seed, uint64(options.Shard))),
		held:    wire.Held{Oldest: options.Oldest, Newest: options.Newest},
		cold:    options.ColdRequests,
		running: map[httpjson.IDForm]context.CancelFunc{},
		thawed:  make(chan struct{}),
	}
	close(s.thawed)
	s.base, s.stop = context.WithCancel(context.Background())
	s.noteState()
	s.http = &http.Server{
		Handler:     s.handler(),
		BaseContext: func(net.Listener) context.Context { return s.base },
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, linkKey{}, conn)
		},
	}
	s.wait.Go(func() { _ = s.http.Serve(gate) })
	return s, nil
}

// linkKey is the context key of the connection of a call.
type linkKey struct{}

// Addr returns the address that the replica listens on.
func (s *Server) Addr() wire.ReplicaID { return wire.ReplicaID(s.gate.addr.String()) }

// Options returns the replica's options with defaults filled in.
func (s *Server) Options() Options { return s.options }

// Close closes the address and every connection, and stops what runs.
func (s *Server) Close() error {
	s.stop()
	_ = s.gate.Close()
	err := s.http.Close()
	s.gate.each(func(l *link) { _ = l.Close() })
	s.wait.Wait()
	return errors.WithStack(err)
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) error {
	s.mu.Lock()
	if f.Freeze && !s.faults.Freeze {
		s.thawed = make(chan struct{})
	}
	if !f.Freeze && s.faults.Freeze {
		close(s.thawed)
	}
	s.faults = f
	s.mu.Unlock()
	return s.gate.refuse(f.RefuseConnections)
}

// SetHeld replaces the range of held snapshots.
func (s *Server) SetHeld(held wire.Held) {
	s.mu.Lock()
	s.held = held
	s.noteState()
	s.mu.Unlock()
}

// Drain sets whether the replica refuses new sub-requests as draining.
func (s *Server) Drain(draining bool) {
	s.mu.Lock()
	s.draining = draining
	s.noteState()
	s.mu.Unlock()
}

// Chill makes the next requests slow, and the replica cold until then.
func (s *Server) Chill(requests uint32) {
	s.mu.Lock()
	s.cold = requests
	s.noteState()
	s.mu.Unlock()
}

// Silence makes every open connection accept bytes and never answer; new
// connections work.
func (s *Server) Silence() { s.gate.each(func(l *link) { l.silent.Store(true) }) }

// ResetConnections resets every open connection.
func (s *Server) ResetConnections() { s.gate.each((*link).reset) }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return s.gate.count() }

// Usage returns the sub-requests running now and the highest number ever.
func (s *Server) Usage() (now, most uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight, s.most
}

// Executions returns the executions numbered above after, at most limit (0:
// all), and the number of all executions ever.
func (s *Server) Executions(after uint64, limit int) ([]Execution, uint64) {
	return s.record.list(after, limit)
}

// noteState appends the condition to the history that a lagging status reads.
// The caller holds mu.
func (s *Server) noteState() {
	s.history = append(s.history, stateChange{at: time.Now(), status: s.statusNow()})
	if len(s.history) > maxStateChanges {
		s.history = slices.Delete(s.history, 0, len(s.history)-maxStateChanges)
	}
}

// statusNow returns the true condition. The caller holds mu.
func (s *Server) statusNow() httpjson.StatusForm {
	form := httpjson.StatusForm{
		State:    httpjson.StateReady,
		InFlight: s.inFlight,
		Oldest:   s.held.Oldest,
		Newest:   s.held.Newest,
	}
	switch {
	case s.draining:
		form.State = httpjson.StateDraining
	case s.cold > 0:
		form.State = httpjson.StateCold
	}
	return form
}

// statusStated returns what the status call reports under the faults.
func (s *Server) statusStated() httpjson.StatusForm {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.StatusLie != nil {
		return *s.faults.StatusLie
	}
	if s.faults.StatusLag == 0 {
		return s.statusNow()
	}
	moment := time.Now().Add(-s.faults.StatusLag.D())
	stated := s.history[0].status
	for _, change := range s.history {
		if change.at.After(moment) {
			break
		}
		stated = change.status
	}
	return stated
}

// hit draws whether a fault of the given probability strikes.
func (s *Server) hit(probability func(*Faults) float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := probability(&s.faults)
	return p > 0 && s.random.Float64() < p
}
