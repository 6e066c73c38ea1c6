package owner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// fault is what a fake server does with a batch.
type fault int

const (
	faultNone fault = iota
	faultUnsent
	faultLostBefore // not run, but the owner can't know
	faultLostAfter  // run, reply lost
	faultShed
	faultDraining
	faultMismatch
	faultCount
)

// record is what truly happened on a fake server.
type record struct {
	ran      map[wire.SubID]int
	order    []wire.SubID
	sent     map[wire.SubID]int // Run calls that held it
	inFlight int
	most     int
	cancels  []wire.SubID
	probes   int
	misused  int // calls on a connection after an error
	cut      int // runs that ended because the connection was closed
}

// fakeServer is one replica.
type fakeServer struct {
	mu sync.Mutex
	record
	took   time.Duration
	fault  fault
	unsent int           // next calls that fail unsent
	refuse bool          // dials
	cost   time.Duration // of a new connection
	status backend.Status
	frozen bool // status calls get no answer
	silent int  // the next so many runs make their connection silent
	conns  map[*fakeConn]bool
}

type fakeDialer struct {
	mu      sync.Mutex
	servers map[wire.ReplicaID]*fakeServer
}

func (d *fakeDialer) server(id wire.ReplicaID) *fakeServer {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[id]
	if s == nil {
		s = &fakeServer{
			took: time.Millisecond, record: record{ran: map[wire.SubID]int{}, sent: map[wire.SubID]int{}},
			conns: map[*fakeConn]bool{}, status: backend.Status{Held: wire.Held{Oldest: 1, Newest: 5}},
		}
		if d.servers == nil {
			d.servers = map[wire.ReplicaID]*fakeServer{}
		}
		d.servers[id] = s
	}
	return s
}

func (d *fakeDialer) Dial(_ context.Context, id wire.ReplicaID) (backend.Conn, error) {
	s := d.server(id)
	s.mu.Lock()
	cost := s.cost
	s.mu.Unlock()
	time.Sleep(cost)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse {
		return nil, &backend.DialError{Replica: id, Err: syscall.ECONNREFUSED}
	}
	c := &fakeConn{server: s, id: id, closed: make(chan struct{})}
	s.conns[c] = true
	return c, nil
}

func (s *fakeServer) set(change func(*fakeServer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// seen returns a copy of the record.
func (s *fakeServer) seen() record {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.record
	out.ran, out.sent = maps.Clone(s.ran), maps.Clone(s.sent)
	out.order, out.cancels = slices.Clone(s.order), slices.Clone(s.cancels)
	return out
}

// crash closes every connection from the server's side.
func (s *fakeServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeOnce.Do(func() { close(c.closed) })
	}
}

func (s *fakeServer) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

type fakeConn struct {
	server    *fakeServer
	id        wire.ReplicaID
	closed    chan struct{}
	closeOnce sync.Once
	silent    bool
	failed    bool // a call returned an error
}

// begin notes a call; the caller holds the server's mutex.
func (c *fakeConn) begin() {
	if c.failed {
		c.server.misused++
	}
}

func (c *fakeConn) lost() error {
	c.server.set(func(*fakeServer) { c.failed = true })
	return &backend.LostError{Replica: c.id, Err: syscall.ECONNRESET}
}

func (c *fakeConn) Run(ctx context.Context, subs []wire.Sub) ([]wire.Reply, error) {
	s := c.server
	s.mu.Lock()
	c.begin()
	fault, took := s.fault, s.took
	select {
	case <-c.closed:
		fault = faultUnsent
	default:
	}
	if s.unsent > 0 {
		s.unsent--
		fault = faultUnsent
	}
	if fault == faultUnsent {
		c.failed = true
		s.mu.Unlock()
		time.Sleep(took / 4)
		return nil, &backend.NotSentError{Replica: c.id, Err: syscall.EPIPE}
	}
	if s.silent > 0 {
		s.silent--
		c.silent = true
	}
	s.inFlight++
	s.most = max(s.most, s.inFlight)
	for _, sub := range subs {
		s.sent[sub.ID]++
		if fault == faultNone || fault == faultLostAfter || fault == faultMismatch {
			s.ran[sub.ID]++
			s.order = append(s.order, sub.ID)
		}
	}
	s.mu.Unlock()
	defer s.set(func(s *fakeServer) { s.inFlight-- })
	if c.silent {
		took = time.Hour
	}
	select {
	case <-time.After(took):
	case <-c.closed:
		s.set(func(s *fakeServer) { s.cut++ })
		return nil, c.lost()
	case <-ctx.Done():
		return nil, c.lost()
	}
	return c.reply(fault, subs)
}

func (c *fakeConn) reply(fault fault, subs []wire.Sub) ([]wire.Reply, error) {
	var replies []wire.Reply
	for _, sub := range subs {
		r := wire.Reply{ID: sub.ID, Replica: c.id, Outcome: wire.Answered, Snapshot: 5, Range: sub.Range}
		r.Held = wire.Held{Oldest: 1, Newest: 5}
		switch fault {
		case faultLostBefore, faultLostAfter:
			return nil, c.lost()
		case faultShed:
			r.Outcome, r.Reason = wire.NotRun, wire.ReasonShed
		case faultDraining:
			r.Outcome, r.Reason = wire.NotRun, wire.ReasonDraining
		case faultMismatch:
			r.ID.Seq += 1 << 40
		}
		replies = append(replies, r)
	}
	return replies, nil
}

func (c *fakeConn) Cancel(_ context.Context, ids []wire.SubID) error {
	c.server.set(func(s *fakeServer) { c.begin(); s.cancels = append(s.cancels, ids...) })
	return nil
}

func (c *fakeConn) Status(ctx context.Context) (backend.Status, error) {
	c.server.mu.Lock()
	c.begin()
	c.server.probes++
	status, stuck := c.server.status, c.server.frozen || c.silent
	c.server.mu.Unlock()
	select {
	case <-c.closed:
		return backend.Status{}, &backend.NotSentError{Replica: c.id, Err: syscall.EPIPE}
	default:
	}
	if stuck {
		<-ctx.Done()
		return backend.Status{}, c.lost()
	}
	return status, nil
}

func (c *fakeConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.server.set(func(s *fakeServer) { delete(s.conns, c) })
	return nil
}

// ownership is a switchable Ownership; absent replicas are owned.
type ownership struct {
	mu      sync.Mutex
	foreign map[wire.ReplicaID]bool
}

func (o *ownership) Owns(_ string, _ uint32, id wire.ReplicaID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.foreign[id]
}

func (o *ownership) set(id wire.ReplicaID, owned bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.foreign == nil {
		o.foreign = map[wire.ReplicaID]bool{}
	}
	o.foreign[id] = !owned
}

// harness is an owner with fake servers in one bubble.
type harness struct {
	t         *testing.T
	owner     *Owner
	dialer    *fakeDialer
	ownership *ownership
	leaving   map[wire.ReplicaID]bool
	mu        sync.Mutex
	replies   map[wire.SubID][]wire.Reply
	at        map[wire.SubID]time.Time // of the latest reply
	next      uint64
	stop      context.CancelFunc
	stopped   chan struct{}
}

const testSlots = 2

// config has one service with a shard for every list of replicas.
func config(slots uint32, shards ...[]wire.ReplicaID) *release.Config {
	service := &release.Service{Name: "mill-dispatch", Slots: slots, Connections: 25}
	for i, replicas := range shards {
		shard := release.Shard{ID: uint32(i), Range: wire.KeyRange{Lo: uint64(i) * 10, Hi: uint64(i)*10 + 10}}
		for _, id := range replicas {
			shard.Replicas = append(shard.Replicas, release.Replica{Addr: id, DataCentre: "badin"})
		}
		service.Shards = append(service.Shards, shard)
	}
	return &release.Config{Version: 1, Services: map[string]*release.Service{service.Name: service}}
}

// newHarness starts an owner; settle waits until the overlap is over.
func newHarness(t *testing.T, cfg *release.Config, settle bool, change ...func(*Options)) *harness {
	b := &harness{
		t: t, dialer: &fakeDialer{}, ownership: &ownership{}, leaving: map[wire.ReplicaID]bool{},
		replies: map[wire.SubID][]wire.Reply{}, at: map[wire.SubID]time.Time{}, stopped: make(chan struct{}),
	}
	options := Options{
		DataCentre: "badin", Dialer: b.dialer, Ownership: b.ownership,
		LeavingServer: func(id wire.ReplicaID) bool { b.mu.Lock(); defer b.mu.Unlock(); return b.leaving[id] },
	}
	for _, f := range change {
		f(&options)
	}
	o, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	b.owner = o
	var ctx context.Context
	ctx, b.stop = context.WithCancel(context.Background())
	o.SetConfig(cfg)
	go func() { defer close(b.stopped); _ = o.Run(ctx) }()
	if settle {
		time.Sleep(2500 * time.Millisecond)
	}
	return b
}

func (b *harness) close() {
	b.stop()
	<-b.stopped
}

func (b *harness) done(replies []wire.Reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range replies {
		b.replies[r.ID] = append(b.replies[r.ID], r)
		b.at[r.ID] = time.Now()
	}
}

func (b *harness) sub(id wire.ReplicaID, left time.Duration) wire.Sub {
	b.next++
	return wire.Sub{
		ID: wire.SubID{Host: 7, Seq: b.next}, Service: "mill-dispatch", Search: "rota", Replica: id,
		Range: wire.KeyRange{Lo: 0, Hi: 10}, TimeLeft: left, Repeatable: true,
	}
}

// send sends n sub-requests and returns their ids.
func (b *harness) send(id wire.ReplicaID, left time.Duration, n int) []wire.SubID {
	var subs []wire.Sub
	var ids []wire.SubID
	for range n {
		subs = append(subs, b.sub(id, left))
		ids = append(ids, subs[len(subs)-1].ID)
	}
	b.owner.Send(subs, b.done)
	return ids
}

// reply returns the one reply to an id; the zero reply if there is none yet.
func (b *harness) reply(id wire.SubID) wire.Reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.replies[id]) > 1 {
		b.t.Errorf("%d replies to %v", len(b.replies[id]), id)
	}
	if len(b.replies[id]) == 0 {
		return wire.Reply{}
	}
	return b.replies[id][0]
}

func (b *harness) info(id wire.ReplicaID) ReplicaInfo {
	for _, info := range b.owner.ReplicaStatus("") {
		if info.Replica == id {
			return info
		}
	}
	return ReplicaInfo{}
}
