package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// pipeNet is an in-memory network and listener whose connections can be made
// silent.
type pipeNet struct {
	mu             sync.Mutex
	accept         chan net.Conn
	conns          []*silentConn
	refuseDials    bool
	newConnsSilent bool // new connections open but stay silent, like those to a paused host
}

type refusedError struct{}

func (refusedError) Error() string { return "connection refused" }

func newPipeNet() *pipeNet { return &pipeNet{accept: make(chan net.Conn)} }

func (n *pipeNet) dial(ctx context.Context, _ string) (net.Conn, error) {
	n.mu.Lock()
	refuse, silent := n.refuseDials, n.newConnsSilent
	n.mu.Unlock()
	if refuse {
		return nil, refusedError{}
	}
	client, server := net.Pipe()
	select {
	case n.accept <- server:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	conn := &silentConn{Conn: client, closed: make(chan struct{}), silent: silent}
	n.mu.Lock()
	n.conns = append(n.conns, conn)
	n.mu.Unlock()
	return conn, nil
}

func (n *pipeNet) setRefuseDials(refuse bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refuseDials = refuse
}

// silenceConns makes the open connections discard what is written to them and
// deliver nothing.
func (n *pipeNet) silenceConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		conn.mu.Lock()
		conn.silent = true
		conn.mu.Unlock()
	}
}

func (n *pipeNet) dialCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// closeConns closes all connections, as a reset of the network would.
func (n *pipeNet) closeConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		_ = conn.Close()
	}
}

func (n *pipeNet) Accept() (net.Conn, error) {
	conn, ok := <-n.accept
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (n *pipeNet) Close() error   { return nil }
func (n *pipeNet) Addr() net.Addr { return &net.TCPAddr{} }

// silentConn is the client's end of a connection. While silent, writes succeed
// without an effect and reads block until it is closed.
type silentConn struct {
	net.Conn
	mu     sync.Mutex
	silent bool
	once   sync.Once
	closed chan struct{}
}

func (c *silentConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// fakeOwner answers each sub-request after a delay, or never. It records what it
// received.
type fakeOwner struct {
	mu         sync.Mutex
	delay      time.Duration
	neverReply bool
	received   map[wire.SubRequestID]int
	cancelled  []wire.SubRequestID
	batchSizes []int
}

func (o *fakeOwner) Send(subs []wire.SubRequest, done func([]wire.Reply)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.batchSizes = append(o.batchSizes, len(subs))
	for _, s := range subs {
		o.received[s.ID]++
		if o.neverReply {
			continue
		}
		time.AfterFunc(o.delay, func() {
			rows := []wire.Row{{Ledger: s.Range.Lo, Key: "k", Value: s.Payload}}
			done([]wire.Reply{{
				ID: s.ID, Replica: s.Replica, Outcome: wire.Answered, Snapshot: s.Snapshot, Range: s.Range, Rows: rows,
				Load: wire.Load{Slots: 2, QueueWait: time.Millisecond},
			}})
		})
	}
}

func (o *fakeOwner) Cancel(ids []wire.SubRequestID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cancelled = append(o.cancelled, ids...)
}

type fakeHandlers struct{}

func (fakeHandlers) HandleGossip(_ context.Context, m *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	return &peerpb.GossipMessage{Kind: peerpb.GossipMessage_ACK, ConfigVersion: m.GetConfigVersion() + 1}, nil
}

func (fakeHandlers) HandleFetch(context.Context, *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	return &peerpb.FetchConfigReply{}, nil
}

func (fakeHandlers) HandleTicketed(ctx context.Context, _ *peerpb.TicketedRequest) (*peerpb.TicketedReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (fakeHandlers) HandleReplicaStatus(context.Context, *peerpb.ReplicaStatusRequest) (*peerpb.ReplicaStatusReply, error) {
	return &peerpb.ReplicaStatusReply{}, nil
}

// replyLog collects the replies of a test by sub-request.
type replyLog struct {
	mu   sync.Mutex
	byID map[wire.SubRequestID][]wire.Reply
}

func (r *replyLog) done(batch []wire.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, reply := range batch {
		r.byID[reply.ID] = append(r.byID[reply.ID], reply)
	}
}

func (r *replyLog) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byID)
}

// only returns the reply to a sub-request and fails the test unless there is
// exactly one.
func (r *replyLog) only(g *WithT, seq uint64) wire.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	got := r.byID[wire.SubRequestID{Host: 1, Seq: seq}]
	g.Expect(got).To(HaveLen(1), "each sub-request gets exactly one reply")
	return got[0]
}

// makeSubs returns sub-requests of host 1 with the sequence numbers [from, to).
func makeSubs(from, to uint64, left time.Duration) []wire.SubRequest {
	var out []wire.SubRequest
	for seq := from; seq < to; seq++ {
		out = append(out, wire.SubRequest{
			ID: wire.SubRequestID{Host: 1, Seq: seq}, Replica: "127.0.0.1:1", Snapshot: 7, TimeLeft: left,
			Range: wire.LedgerRange{Lo: seq, Hi: seq + 1}, Payload: []byte{byte(seq)}, Repeatable: true,
		})
	}
	return out
}

// runWithPeer runs a test with a client and one peer in virtual time.
func runWithPeer(t *testing.T, test func(g *WithT, n *pipeNet, o *fakeOwner, c *Client, r *replyLog)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newPipeNet()
		owner := &fakeOwner{delay: 5 * time.Millisecond, received: map[wire.SubRequestID]int{}}
		server := NewServer(owner, fakeHandlers{}, nil)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = server.Serve(ctx, n) })
		client, err := NewClient(Options{Dial: n.dial, Logger: &log.Logger{Handler: discard.Default}})
		g.Expect(err).NotTo(HaveOccurred())
		wg.Go(func() { _ = client.Run(ctx) })
		test(g, n, owner, client, &replyLog{byID: map[wire.SubRequestID][]wire.Reply{}})
		client.Close()
		n.closeConns()
		cancel()
		close(n.accept)
		wg.Wait()
	})
}

func TestBatchArrivesWhole(t *testing.T) {
	runWithPeer(t, func(g *WithT, _ *pipeNet, o *fakeOwner, c *Client, r *replyLog) {
		c.Sender("a").Send(makeSubs(0, 100, time.Second), r.done)
		time.Sleep(20 * time.Millisecond)
		for seq := range uint64(100) {
			reply := r.only(g, seq)
			g.Expect(reply.Outcome).To(Equal(wire.Answered))
			g.Expect(reply.Rows).To(Equal([]wire.Row{{Ledger: seq, Key: "k", Value: []byte{byte(seq)}}}),
				"a reply carries the rows of its own sub-request")
		}
		synctest.Wait()
		g.Expect(o.batchSizes).To(Equal([]int{64, 36}), "sub-requests of one call share messages")
	})
}

// Guards against a connection that stays open but delivers nothing: its
// sub-requests must end as unknown well before their deadline.
func TestSilentStreamIsDetected(t *testing.T) {
	runWithPeer(t, func(g *WithT, n *pipeNet, o *fakeOwner, c *Client, r *replyLog) {
		c.Sender("a").Send(makeSubs(0, 1, time.Second), r.done)
		time.Sleep(100 * time.Millisecond)
		n.silenceConns()
		start := time.Now()
		c.Sender("a").Send(makeSubs(10, 12, 2*time.Second), r.done)
		for r.count() < 3 && time.Since(start) < time.Second {
			time.Sleep(time.Millisecond)
		}
		bound := defaultSilenceBeforePing + defaultPingTimeout
		g.Expect(time.Since(start)).To(BeNumerically("<=", bound+5*time.Millisecond))
		g.Expect(r.only(g, 10).Outcome).To(Equal(wire.Unknown))
		g.Expect(r.only(g, 10).Reason).To(Equal(wire.ReasonConnSilent))
		c.Sender("a").Send(makeSubs(20, 21, time.Second), r.done)
		time.Sleep(50 * time.Millisecond)
		g.Expect(r.only(g, 20).Outcome).To(Equal(wire.Answered), "new connections work")
		synctest.Wait()
		g.Expect(o.received[wire.SubRequestID{Host: 1, Seq: 10}]).To(BeZero())
	})
}

// Guards against an idle stream whose silence is detected only by the next
// query.
func TestIdleSilentStreamIsReplaced(t *testing.T) {
	runWithPeer(t, func(g *WithT, n *pipeNet, _ *fakeOwner, c *Client, r *replyLog) {
		c.Warm("a")
		time.Sleep(50 * time.Millisecond)
		n.silenceConns()
		time.Sleep(2*defaultKeepAlivePeriod + defaultPingTimeout + 50*time.Millisecond)
		c.Sender("a").Send(makeSubs(0, 1, time.Second), r.done)
		time.Sleep(20 * time.Millisecond)
		g.Expect(r.only(g, 0).Outcome).To(Equal(wire.Answered))
	})
}

// Guards against taking a slow owner for a silent connection.
func TestSlowOwnerKeepsItsStream(t *testing.T) {
	runWithPeer(t, func(g *WithT, n *pipeNet, o *fakeOwner, c *Client, r *replyLog) {
		o.delay = 800 * time.Millisecond
		c.Sender("a").Send(makeSubs(0, 1, time.Second), r.done)
		time.Sleep(time.Second)
		g.Expect(r.only(g, 0).Outcome).To(Equal(wire.Answered))
		g.Expect(n.dialCount()).To(Equal(streamsPerPeer))
	})
}

// Guards against the outcome "not run" after bytes were sent, and against
// "unknown" when nothing could have been sent.
func TestOutcomeOfLostPeer(t *testing.T) {
	runWithPeer(t, func(g *WithT, n *pipeNet, o *fakeOwner, c *Client, r *replyLog) {
		o.neverReply = true
		c.Sender("a").Send(makeSubs(0, 2, time.Second), r.done)
		time.Sleep(10 * time.Millisecond)
		n.setRefuseDials(true)
		n.closeConns()
		time.Sleep(10 * time.Millisecond)
		g.Expect(r.only(g, 0).Outcome).To(Equal(wire.Unknown))
		g.Expect(r.only(g, 1).Reason).To(Equal(wire.ReasonPeerLost))
		c.Sender("a").Send(makeSubs(5, 6, time.Second), r.done)
		time.Sleep(10 * time.Millisecond)
		g.Expect(r.only(g, 5).Outcome).To(Equal(wire.NotRun))
		n.setRefuseDials(false)
		time.Sleep(defaultRetryMax)
		o.mu.Lock()
		o.neverReply = false
		o.mu.Unlock()
		c.Sender("a").Send(makeSubs(6, 7, time.Second), r.done)
		time.Sleep(20 * time.Millisecond)
		g.Expect(r.only(g, 6).Outcome).To(Equal(wire.Answered))
	})
}

// Guards against sending sub-requests on a stream that never answered. A paused
// host gives such streams, because its kernel still accepts connections.
func TestOpenConnectionWithoutAnswerIsAFailedDial(t *testing.T) {
	runWithPeer(t, func(g *WithT, n *pipeNet, o *fakeOwner, c *Client, r *replyLog) {
		n.mu.Lock()
		n.newConnsSilent = true
		n.mu.Unlock()
		failed := make(chan string, streamsPerPeer)
		c.opts.OnDialFailed = func(addr string) { failed <- addr }
		c.Sender("a").Send(makeSubs(0, 1, time.Second), r.done)
		time.Sleep(defaultDialTimeout)
		synctest.Wait()
		g.Expect(failed).To(Receive(Equal("a")))
		time.Sleep(time.Millisecond)
		g.Expect(r.only(g, 0).Outcome).To(Equal(wire.NotRun))
		g.Expect(o.received).To(BeEmpty())
	})
}

func TestCancelReachesTheOwner(t *testing.T) {
	runWithPeer(t, func(g *WithT, _ *pipeNet, o *fakeOwner, c *Client, r *replyLog) {
		o.delay = 100 * time.Millisecond
		c.Sender("a").Send(makeSubs(0, 2, time.Second), r.done)
		time.Sleep(10 * time.Millisecond)
		c.Sender("a").Cancel([]wire.SubRequestID{{Host: 1, Seq: 1}})
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		g.Expect(o.cancelled).To(ConsistOf(wire.SubRequestID{Host: 1, Seq: 1}))
		g.Expect(r.only(g, 1).Outcome).To(Equal(wire.Answered), "a cancelled sub-request still gets its reply")
	})
}

func TestCallErrorsSayWhetherAnythingWasSent(t *testing.T) {
	runWithPeer(t, func(g *WithT, n *pipeNet, _ *fakeOwner, c *Client, _ *replyLog) {
		reply, err := c.Gossip(context.Background(), "a", &peerpb.GossipMessage{ConfigVersion: 3})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.GetConfigVersion()).To(BeEquivalentTo(4))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err = c.RunTicketed(ctx, "a", &peerpb.TicketedRequest{})
		var lost *CallError
		g.Expect(err).To(BeAssignableToTypeOf(lost))
		n.setRefuseDials(true)
		_, err = c.Gossip(context.Background(), "a", &peerpb.GossipMessage{})
		var dial *DialError
		g.Expect(err).To(BeAssignableToTypeOf(dial))
	})
}
