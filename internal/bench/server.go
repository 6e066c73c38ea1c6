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
	snapshotInterval = time.Second
	// snapshotsHeld is the number of newest snapshots that a replica serves.
	snapshotsHeld = 3
	// localRoundTrip is the round-trip time within one data centre.
	localRoundTrip = 100 * time.Microsecond
)

// server is the backend server of one simulated replica. It runs as many
// sub-requests at a time as it has slots and queues the rest in order of arrival.
type server struct {
	id           wire.ReplicaID
	shape        ServiceShape
	startTime    time.Time
	publishDelay time.Duration // how late this replica gets each snapshot

	mu                sync.Mutex
	random            *rand.Rand
	serviceTimeFactor float64 // multiplies drawn service times
	down              bool
	connsToSilence    int // number of connections that stop answering from their next batch on
	openConns         map[*conn]struct{}
	stopRunning       map[wire.SubRequestID]chan struct{} // closed to stop a running sub-request
	busySlots         int
	slotQueue         []chan struct{} // closed in order of arrival when a slot is passed on
	busyTime          time.Duration   // sum over the slots since measureStart
	measureStart      time.Time
}

// refusedError reports a connection that the simulated server refused or closed.
type refusedError struct{}

// Error implements error.
func (refusedError) Error() string { return "connection refused" }

func newServer(id wire.ReplicaID, shape ServiceShape, seed uint64) *server {
	random := rand.New(rand.NewPCG(seed, 17))
	return &server{
		id: id, shape: shape, startTime: time.Now(), random: random, serviceTimeFactor: 1,
		openConns: map[*conn]struct{}{}, stopRunning: map[wire.SubRequestID]chan struct{}{},
		publishDelay: time.Duration(random.Int64N(int64(snapshotInterval / 2))),
	}
}

// heldSnapshots returns the range of snapshots that the replica serves at a time.
func (s *server) heldSnapshots(now time.Time) wire.SnapshotRange {
	newest := 100 + uint64((now.Sub(s.startTime)+snapshotInterval-s.publishDelay)/snapshotInterval)
	return wire.SnapshotRange{Oldest: newest - snapshotsHeld + 1, Newest: newest}
}

// drawServiceTime returns a random service time, log-normally distributed. The
// caller holds s.mu.
func (s *server) drawServiceTime() time.Duration {
	return time.Duration(float64(serviceMedian) * math.Exp(serviceSigma*s.random.NormFloat64()) * s.serviceTimeFactor)
}

// execute waits for a slot, runs one sub-request and returns the reply. When stop is
// closed first, it ends early with an unknown outcome.
func (s *server) execute(sub wire.SubRequest, stop <-chan struct{}) wire.Reply {
	stopped := wire.Reply{ID: sub.ID, Replica: s.id, Outcome: wire.Unknown, Reason: wire.ReasonCancelled}
	if !s.acquireSlot(stop) {
		return stopped
	}
	s.mu.Lock()
	start := time.Now()
	held := s.heldSnapshots(start)
	snapshot := sub.Snapshot
	if snapshot == 0 {
		snapshot = held.Newest
	}
	reply := wire.Reply{ID: sub.ID, Replica: s.id, Held: held}
	serviceTime := s.drawServiceTime()
	if !held.Contains(snapshot) {
		serviceTime, reply.Outcome, reply.Reason = 0, wire.NotRun, wire.ReasonSnapshotNotHeld
	} else {
		reply.Outcome, reply.Snapshot, reply.Range = wire.Answered, snapshot, sub.Range
	}
	s.mu.Unlock()
	timer := time.NewTimer(serviceTime)
	select {
	case <-timer.C:
	case <-stop:
		timer.Stop()
		reply = stopped
	}
	s.releaseSlot(start)
	return reply
}

// acquireSlot waits for a slot. It returns false if stop was closed first.
func (s *server) acquireSlot(stop <-chan struct{}) bool {
	s.mu.Lock()
	if s.busySlots < int(s.shape.Slots) {
		s.busySlots++
		s.mu.Unlock()
		return true
	}
	granted := make(chan struct{})
	s.slotQueue = append(s.slotQueue, granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-stop:
	}
	s.mu.Lock()
	index := slices.Index(s.slotQueue, granted)
	if index >= 0 {
		s.slotQueue = slices.Delete(s.slotQueue, index, index+1)
	}
	s.mu.Unlock()
	// No longer in the queue means that the slot was passed on in the meantime.
	return index < 0
}

// releaseSlot passes the slot to the first sub-request in the queue or frees it.
// start is when the slot was acquired.
func (s *server) releaseSlot(start time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addBusyTime(start, time.Now())
	if len(s.slotQueue) > 0 {
		close(s.slotQueue[0])
		s.slotQueue = s.slotQueue[1:]
		return
	}
	s.busySlots--
}

// addBusyTime adds the part of a slot's busy time that falls into the measurement.
// The caller holds s.mu.
func (s *server) addBusyTime(from, to time.Time) {
	if s.measureStart.IsZero() || to.Before(s.measureStart) {
		return
	}
	if from.Before(s.measureStart) {
		from = s.measureStart
	}
	s.busyTime += to.Sub(from)
}

// startMeasurement makes busy slot time count from now on.
func (s *server) startMeasurement(now time.Time) {
	s.mu.Lock()
	s.measureStart = now
	s.mu.Unlock()
}

// shutDown closes all connections and refuses new ones.
func (s *server) shutDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	for c := range s.openConns {
		c.closeOnce.Do(func() { close(c.closed) })
	}
	clear(s.openConns)
}

// dialer opens connections from one host to the servers.
type dialer struct {
	servers map[wire.ReplicaID]*server
	// roundTrip returns the round-trip time to a server, and false if the server
	// is cut off.
	roundTrip func(wire.ReplicaID) (time.Duration, bool)
}

// Dial implements backend.Dialer.
func (d *dialer) Dial(ctx context.Context, id wire.ReplicaID) (backend.Conn, error) {
	s := d.servers[id]
	trip, reachable := d.roundTrip(id)
	if !sleepContext(ctx, trip+s.shape.ConnectCost) || !reachable {
		<-ctx.Done()
		return nil, &backend.DialError{Replica: id, Err: ctx.Err()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || len(s.openConns) >= int(s.shape.Connections) {
		return nil, &backend.DialError{Replica: id, Err: refusedError{}}
	}
	c := &conn{server: s, dialer: d, closed: make(chan struct{})}
	s.openConns[c] = struct{}{}
	return c, nil
}

// sleepContext sleeps for d and returns true, or returns false when the context ends
// first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// conn is one connection to a simulated server.
type conn struct {
	server    *server
	dialer    *dialer
	closed    chan struct{} // closed with the connection
	closeOnce sync.Once
	silent    bool // accepts batches and never answers
}

// Run implements backend.Conn.
func (c *conn) Run(ctx context.Context, subs []wire.SubRequest) ([]wire.Reply, error) {
	select {
	case <-c.closed:
		return nil, &backend.NotSentError{Replica: c.server.id, Err: refusedError{}}
	default:
	}
	c.server.mu.Lock()
	if c.server.connsToSilence > 0 {
		c.server.connsToSilence--
		c.silent = true
	}
	c.server.mu.Unlock()
	sub, stop := subs[0], make(chan struct{})
	done := make(chan wire.Reply, 1)
	if !c.silent {
		c.trackSub(sub.ID, stop)
		go c.exchange(sub, stop, done)
	}
	select {
	case reply := <-done:
		c.stopSub(sub.ID)
		return []wire.Reply{reply}, nil
	case <-c.closed:
		c.stopSub(sub.ID)
		return nil, &backend.LostError{Replica: c.server.id, Err: refusedError{}}
	case <-ctx.Done():
		c.stopSub(sub.ID)
		return nil, &backend.LostError{Replica: c.server.id, Err: ctx.Err()}
	}
}

// exchange runs one sub-request on the server and sends its reply to done, each
// after half a round trip. A reply from a server that is cut off is lost.
func (c *conn) exchange(sub wire.SubRequest, stop chan struct{}, done chan<- wire.Reply) {
	trip, _ := c.dialer.roundTrip(c.server.id)
	time.Sleep(trip / 2)
	reply := c.server.execute(sub, stop)
	time.Sleep(trip / 2)
	if _, reachable := c.dialer.roundTrip(c.server.id); reachable {
		done <- reply
	}
}

// trackSub registers the channel that stops a running sub-request.
func (c *conn) trackSub(id wire.SubRequestID, stop chan struct{}) {
	c.server.mu.Lock()
	c.server.stopRunning[id] = stop
	c.server.mu.Unlock()
}

// stopSub stops a sub-request if it still runs.
func (c *conn) stopSub(id wire.SubRequestID) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if stop := c.server.stopRunning[id]; stop != nil {
		delete(c.server.stopRunning, id)
		close(stop)
	}
}

// Cancel implements backend.Conn.
func (c *conn) Cancel(ctx context.Context, ids []wire.SubRequestID) error {
	trip, reachable := c.dialer.roundTrip(c.server.id)
	if c.silent || !reachable || !sleepContext(ctx, trip) {
		<-ctx.Done()
		return &backend.LostError{Replica: c.server.id, Err: ctx.Err()}
	}
	for _, id := range ids {
		c.stopSub(id)
	}
	return nil
}

// Status implements backend.Conn.
func (c *conn) Status(ctx context.Context) (backend.Status, error) {
	trip, reachable := c.dialer.roundTrip(c.server.id)
	if c.silent || !reachable || !sleepContext(ctx, trip) {
		<-ctx.Done()
		return backend.Status{}, &backend.LostError{Replica: c.server.id, Err: ctx.Err()}
	}
	select {
	case <-c.closed:
		return backend.Status{}, &backend.LostError{Replica: c.server.id, Err: refusedError{}}
	default:
		return backend.Status{Held: c.server.heldSnapshots(time.Now())}, nil
	}
}

// Close implements backend.Conn.
func (c *conn) Close() error {
	c.server.mu.Lock()
	delete(c.server.openConns, c)
	c.server.mu.Unlock()
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}
