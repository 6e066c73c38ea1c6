// Package backend is a stand-in for backend servers in tests and demonstrations. It
// speaks the JSON protocol of package httpjson, injects faults that are set over an
// admin interface, and records every sub-request that it executed.
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

// Server is one stand-in replica. Its methods are safe for concurrent use.
type Server struct {
	options    Options
	listener   *limitedListener
	httpServer *http.Server
	recorder   *recorder
	cancelAll  context.CancelFunc
	baseCtx    context.Context
	serving    sync.WaitGroup

	mu               sync.Mutex
	random           *rand.Rand
	faults           Faults
	unfrozen         chan struct{} // closed unless the fault Freeze is set
	heldSnapshots    wire.SnapshotRange
	draining         bool
	coldRequestsLeft uint32 // slow requests left until the replica is ready
	inFlight         uint32
	maxInFlight      uint32 // highest inFlight since the start
	running          map[httpjson.IDForm]context.CancelFunc
	statusHistory    []statusChange // oldest first, never empty
}

// Start listens on the replica's address and serves it. The error is *OptionsError
// or the cause of the failed listen.
func Start(options Options) (*Server, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	options = options.withDefaults()
	listener, err := listenLimited(options.Listen, options.ConnectCost.D(), int(options.MaxConnections))
	if err != nil {
		return nil, errors.Wrap(err, "start stand-in replica")
	}
	s := &Server{
		options:          options,
		listener:         listener,
		recorder:         &recorder{capacity: options.RecordLimit},
		random:           rand.New(rand.NewPCG(options.Seed, uint64(options.Shard))),
		heldSnapshots:    wire.SnapshotRange{Oldest: options.Oldest, Newest: options.Newest},
		coldRequestsLeft: options.ColdRequests,
		running:          map[httpjson.IDForm]context.CancelFunc{},
		unfrozen:         make(chan struct{}),
	}
	close(s.unfrozen)
	s.baseCtx, s.cancelAll = context.WithCancel(context.Background())
	s.recordStatus()
	s.httpServer = &http.Server{
		Handler:     s.handler(),
		BaseContext: func(net.Listener) context.Context { return s.baseCtx },
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	s.serving.Go(func() { _ = s.httpServer.Serve(listener) })
	return s, nil
}

// connKey is the context key of the *trackedConn that a request came in on.
type connKey struct{}

// Addr returns the "ip:port" that the replica listens on.
func (s *Server) Addr() wire.ReplicaID { return wire.ReplicaID(s.listener.addr.String()) }

// Options returns the replica's options with defaults filled in.
func (s *Server) Options() Options { return s.options }

// Close closes the listening socket and every connection, and cancels the
// sub-requests that are running.
func (s *Server) Close() error {
	s.cancelAll()
	_ = s.listener.Close()
	err := s.httpServer.Close()
	s.listener.forEachConn(func(c *trackedConn) { _ = c.Close() })
	s.serving.Wait()
	return errors.WithStack(err)
}

// SetFaults replaces all faults. The error is that of closing or opening the
// listening socket for RefuseConnections; the other faults are in force even then.
func (s *Server) SetFaults(f Faults) error {
	s.mu.Lock()
	if f.Freeze && !s.faults.Freeze {
		s.unfrozen = make(chan struct{})
	}
	if !f.Freeze && s.faults.Freeze {
		close(s.unfrozen)
	}
	s.faults = f
	s.mu.Unlock()
	return s.listener.setRefusing(f.RefuseConnections)
}

// SetHeld replaces the range of snapshots that the replica holds.
func (s *Server) SetHeld(held wire.SnapshotRange) {
	s.mu.Lock()
	s.heldSnapshots = held
	s.recordStatus()
	s.mu.Unlock()
}

// SetDraining sets whether the replica reports the state draining and refuses new
// sub-requests.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	s.draining = draining
	s.recordStatus()
	s.mu.Unlock()
}

// SetColdRequests makes the next requests slow; the replica reports the state cold
// until all of them have started.
func (s *Server) SetColdRequests(requests uint32) {
	s.mu.Lock()
	s.coldRequestsLeft = requests
	s.recordStatus()
	s.mu.Unlock()
}

// SilenceConnections makes every open connection accept data and never answer.
// Connections that are opened later work normally.
func (s *Server) SilenceConnections() {
	s.listener.forEachConn(func(c *trackedConn) { c.silenced.Store(true) })
}

// ResetConnections closes every open connection with a TCP reset.
func (s *Server) ResetConnections() { s.listener.forEachConn((*trackedConn).reset) }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return s.listener.connCount() }

// Usage returns the number of sub-requests that are running now, and the highest
// such number since the start.
func (s *Server) Usage() (current, highest uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight, s.maxInFlight
}

// Executions returns the recorded executions with numbers above after, oldest
// first and at most limit (0: all), and the number of executions since the start.
func (s *Server) Executions(after uint64, limit int) ([]Execution, uint64) {
	return s.recorder.list(after, limit)
}

// recordStatus appends the current status to the history that StatusLag reads from.
// The caller holds mu, or s is not shared yet.
func (s *Server) recordStatus() {
	s.statusHistory = append(s.statusHistory, statusChange{at: time.Now(), status: s.currentStatus()})
	if len(s.statusHistory) > maxStatusChanges {
		s.statusHistory = slices.Delete(s.statusHistory, 0, len(s.statusHistory)-maxStatusChanges)
	}
}

// currentStatus returns the status without faults. The caller holds mu.
func (s *Server) currentStatus() httpjson.StatusForm {
	status := httpjson.StatusForm{
		State:    httpjson.StateReady,
		InFlight: s.inFlight,
		Oldest:   s.heldSnapshots.Oldest,
		Newest:   s.heldSnapshots.Newest,
	}
	switch {
	case s.draining:
		status.State = httpjson.StateDraining
	case s.coldRequestsLeft > 0:
		status.State = httpjson.StateCold
	}
	return status
}

// reportedStatus returns the answer to a status call under the faults StatusLie and
// StatusLag.
func (s *Server) reportedStatus() httpjson.StatusForm {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.StatusLie != nil {
		return *s.faults.StatusLie
	}
	if s.faults.StatusLag == 0 {
		return s.currentStatus()
	}
	asOf := time.Now().Add(-s.faults.StatusLag.D())
	reported := s.statusHistory[0].status
	for _, change := range s.statusHistory {
		if change.at.After(asOf) {
			break
		}
		reported = change.status
	}
	return reported
}

// drawFault draws at random whether the fault with the given probability occurs.
func (s *Server) drawFault(probability func(*Faults) float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := probability(&s.faults)
	return p > 0 && s.random.Float64() < p
}
