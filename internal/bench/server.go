package bench

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	snapshotEvery = time.Second
	snapshotsHeld = 3
	// localTrip is the round trip between hosts of one data centre.
	localTrip = 100 * time.Microsecond
)

// server is one simulated replica. It runs as many sub-requests at a time as
// it has slots and queues the rest in order of arrival.
type server struct {
	id          wire.ReplicaID
	shape       Shape
	born        time.Time
	publishLate time.Duration // delay of this replica's snapshots

	mu       sync.Mutex
	random   *rand.Rand
	factor   float64 // of service times
	lost     bool
	silence  int // connections that become silent with their next batch
	open     map[*conn]struct{}
	running  map[wire.SubID]chan struct{} // closed to stop one
	busy     int
	waiting  []chan struct{}
	busyTime time.Duration // slot time since the measurement began
	since    time.Time
}

// refusedError reports a connection that the simulated server refused.
type refusedError struct{}

// Error implements error.
func (refusedError) Error() string { return "connection refused" }

func newServer(id wire.ReplicaID, shape Shape, seed uint64) *server {
	random := rand.New(rand.NewPCG(seed, 17))
	return &server{
		id: id, shape: shape, born: time.Now(), random: random, factor: 1, open: map[*conn]struct{}{}, running: map[wire.SubID]chan struct{}{},
		publishLate: time.Duration(random.Int64N(int64(snapshotEvery / 2))),
	}
}

func (s *server) held(now time.Time) wire.Held {
	newest := 100 + uint64((now.Sub(s.born)+snapshotEvery-s.publishLate)/snapshotEvery)
	return wire.Held{Oldest: newest - snapshotsHeld + 1, Newest: newest}
}

// serviceTime draws from a log-normal distribution.
func (s *server) serviceTime() time.Duration {
	return time.Duration(float64(serviceMedian) * math.Exp(serviceSigma*s.random.NormFloat64()) * s.factor)
}

// execute waits for a slot, runs one sub-request and replies. It stops early
// when stop is closed.
func (s *server) execute(sub wire.Sub, stop <-chan struct{}) wire.Reply {
	stopped := wire.Reply{ID: sub.ID, Replica: s.id, Outcome: wire.Unknown, Reason: wire.ReasonCancelled}
	if !s.enter(stop) {
		return stopped
	}
	s.mu.Lock()
	began := time.Now()
	held := s.held(began)
	snapshot := sub.Snapshot
	if snapshot == 0 {
		snapshot = held.Newest
	}
	reply := wire.Reply{ID: sub.ID, Replica: s.id, Held: held}
	took := s.serviceTime()
	if !held.Has(snapshot) {
		took, reply.Outcome, reply.Reason = 0, wire.NotRun, wire.ReasonSnapshotGone
	} else {
		reply.Outcome, reply.Snapshot, reply.Range = wire.Answered, snapshot, sub.Range
	}
	s.mu.Unlock()
	timer := time.NewTimer(took)
	select {
	case <-timer.C:
	case <-stop:
		timer.Stop()
		reply = stopped
	}
	s.leave(began)
	return reply
}

// enter waits for a slot; false means that stop was closed first.
func (s *server) enter(stop <-chan struct{}) bool {
	s.mu.Lock()
	if s.busy < int(s.shape.Slots) {
		s.busy++
		s.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-stop:
	}
	s.mu.Lock()
	at := slices.Index(s.waiting, turn)
	if at >= 0 {
		s.waiting = slices.Delete(s.waiting, at, at+1)
	}
	s.mu.Unlock()
	// Without a place in the queue, the slot was given just now.
	return at < 0
}

// leave passes the slot to the next in the queue.
func (s *server) leave(began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(began, time.Now())
	if len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		return
	}
	s.busy--
}

// account adds slot time that falls into the measurement.
func (s *server) account(from, to time.Time) {
	if s.since.IsZero() || to.Before(s.since) {
		return
	}
	if from.Before(s.since) {
		from = s.since
	}
	s.busyTime += to.Sub(from)
}

func (s *server) measure(now time.Time) {
	s.mu.Lock()
	s.since = now
	s.mu.Unlock()
}

// lose breaks all connections and refuses new ones.
func (s *server) lose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = true
	for c := range s.open {
		c.once.Do(func() { close(c.broken) })
	}
	clear(s.open)
}

// dialer connects one host to the servers it can reach.
type dialer struct {
	servers map[wire.ReplicaID]*server
	// trip returns the round trip to a server, or false if it is cut off.
	trip func(wire.ReplicaID) (time.Duration, bool)
}

// Dial implements backend.Dialer.
func (d *dialer) Dial(ctx context.Context, id wire.ReplicaID) (backend.Conn, error) {
	s := d.servers[id]
	trip, reachable := d.trip(id)
	if !sleep(ctx, trip+s.shape.ConnectCost) || !reachable {
		<-ctx.Done()
		return nil, &backend.DialError{Replica: id, Err: ctx.Err()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost || len(s.open) >= int(s.shape.Connections) {
		return nil, &backend.DialError{Replica: id, Err: refusedError{}}
	}
	c := &conn{server: s, dialer: d, broken: make(chan struct{})}
	s.open[c] = struct{}{}
	return c, nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// conn is one simulated connection.
type conn struct {
	server *server
	dialer *dialer
	broken chan struct{}
	once   sync.Once
	silent bool
}

// Run implements backend.Conn.
func (c *conn) Run(ctx context.Context, subs []wire.Sub) ([]wire.Reply, error) {
	select {
	case <-c.broken:
		return nil, &backend.NotSentError{Replica: c.server.id, Err: refusedError{}}
	default:
	}
	c.server.mu.Lock()
	if c.server.silence > 0 {
		c.server.silence--
		c.silent = true
	}
	c.server.mu.Unlock()
	sub, stop := subs[0], make(chan struct{})
	done := make(chan wire.Reply, 1)
	if !c.silent {
		c.track(sub.ID, stop)
		go c.exchange(sub, stop, done)
	}
	select {
	case reply := <-done:
		c.stop(sub.ID)
		return []wire.Reply{reply}, nil
	case <-c.broken:
		c.stop(sub.ID)
		return nil, &backend.LostError{Replica: c.server.id, Err: refusedError{}}
	case <-ctx.Done():
		c.stop(sub.ID)
		return nil, &backend.LostError{Replica: c.server.id, Err: ctx.Err()}
	}
}

// exchange carries one sub-request to the server and its reply back.
func (c *conn) exchange(sub wire.Sub, stop chan struct{}, done chan<- wire.Reply) {
	trip, _ := c.dialer.trip(c.server.id)
	time.Sleep(trip / 2)
	reply := c.server.execute(sub, stop)
	time.Sleep(trip / 2)
	if _, reachable := c.dialer.trip(c.server.id); reachable {
		done <- reply
	}
}

func (c *conn) track(id wire.SubID, stop chan struct{}) {
	c.server.mu.Lock()
	c.server.running[id] = stop
	c.server.mu.Unlock()
}

// stop ends a sub-request early if it still runs.
func (c *conn) stop(id wire.SubID) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if stop := c.server.running[id]; stop != nil {
		delete(c.server.running, id)
		close(stop)
	}
}

// Cancel implements backend.Conn.
func (c *conn) Cancel(ctx context.Context, ids []wire.SubID) error {
	trip, reachable := c.dialer.trip(c.server.id)
	if c.silent || !reachable || !sleep(ctx, trip) {
		<-ctx.Done()
		return &backend.LostError{Replica: c.server.id, Err: ctx.Err()}
	}
	for _, id := range ids {
		c.stop(id)
	}
	return nil
}

// Status implements backend.Conn.
func (c *conn) Status(ctx context.Context) (backend.Status, error) {
	trip, reachable := c.dialer.trip(c.server.id)
	if c.silent || !reachable || !sleep(ctx, trip) {
		<-ctx.Done()
		return backend.Status{}, &backend.LostError{Replica: c.server.id, Err: ctx.Err()}
	}
	select {
	case <-c.broken:
		return backend.Status{}, &backend.LostError{Replica: c.server.id, Err: refusedError{}}
	default:
		return backend.Status{Held: c.server.held(time.Now())}, nil
	}
}

// Close implements backend.Conn.
func (c *conn) Close() error {
	c.server.mu.Lock()
	delete(c.server.open, c)
	c.server.mu.Unlock()
	c.once.Do(func() { close(c.broken) })
	return nil
}
