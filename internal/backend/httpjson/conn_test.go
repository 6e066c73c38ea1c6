package httpjson_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"
	"go.uber.org/goleak"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/backend/httpjson"
	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	standin "github.com/arbutusgauge/arbutusgauge/internal/standin/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startServer starts a stand-in backend server whose options change may alter.
func startServer(t *testing.T, change func(*standin.Options)) *standin.Server {
	options := standin.Options{
		Listen: "127.0.0.1:0", Service: "mill-dispatch", Shard: 3,
		Range: wire.LedgerRange{Lo: 30, Hi: 40}, Oldest: 2, Newest: 4, Slots: 4,
	}
	options.ServiceTime.Median = jwcc.Duration(time.Millisecond)
	if change != nil {
		change(&options)
	}
	s, err := standin.Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, addr wire.ReplicaID, options httpjson.Options) backend.Conn {
	d, err := httpjson.NewDialer(options)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := d.Dial(context.Background(), addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// newSub returns a sub-request with a sequence number that the stand-in server
// can answer.
func newSub(seq uint64) wire.SubRequest {
	return wire.SubRequest{
		ID: wire.SubRequestID{Host: 1<<63 + 5, Seq: seq}, Query: 9, Service: "mill-dispatch", Search: "rota", Shard: 3,
		Range: wire.LedgerRange{Lo: 32, Hi: 34}, Snapshot: 3, TimeLeft: time.Second, Payload: []byte("crew=7"),
	}
}

// contextWithTimeout returns a context that ends after limit, and with the test.
func contextWithTimeout(t *testing.T, limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a sub-request or a reply that the codecs of the two sides lose,
// alter or assign to another sub-request.
func TestBatchRoundTrip(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, nil)
	conn := dial(t, s.Addr(), httpjson.Options{})
	stale := newSub(2)
	stale.Snapshot = 1
	replies, err := conn.Run(contextWithTimeout(t, time.Second), []wire.SubRequest{newSub(1), stale})
	g.Expect(err).NotTo(HaveOccurred())
	held := wire.SnapshotRange{Oldest: 2, Newest: 4}
	g.Expect(replies).To(HaveExactElements(
		And(HaveField("ID", newSub(1).ID), HaveField("Outcome", wire.Answered), HaveField("Snapshot", uint64(3)),
			HaveField("Rows", []wire.Row{standin.RowOf(32, 3), standin.RowOf(33, 3)}),
			HaveField("Range", wire.LedgerRange{Lo: 32, Hi: 34}), HaveField("Held", held), HaveField("Replica", s.Addr())),
		And(HaveField("ID", stale.ID), HaveField("Outcome", wire.NotRun), HaveField("Reason", wire.ReasonSnapshotNotHeld)),
	))
	ran, total := s.Executions(0, 0)
	g.Expect(total).To(BeEquivalentTo(1))
	g.Expect(ran[0]).To(And(HaveField("ID", httpjson.IDForm(newSub(1).ID)), HaveField("Payload", []byte("crew=7"))))
	s.SetDraining(true)
	status, err := conn.Status(contextWithTimeout(t, time.Second))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(backend.Status{Draining: true, Held: held}))
	replies, err = conn.Run(contextWithTimeout(t, time.Second), []wire.SubRequest{newSub(3)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(replies[0]).To(And(HaveField("Outcome", wire.NotRun), HaveField("Reason", wire.ReasonDraining)))
	g.Expect(replies[0].Load.State).To(Equal(wire.ReplicaDraining))
}

// Guards against a NotSentError after bytes were sent, and against the reuse of a
// connection after an error.
func TestFaultsAtEachStage(t *testing.T) {
	cases := map[string]struct {
		faults standin.Faults
		ran    uint64
	}{
		"reset before running": {standin.Faults{ResetBefore: 1}, 0},
		"reset after running":  {standin.Faults{ResetAfter: 1}, 1},
		"reset in the reply":   {standin.Faults{ResetMiddle: 1}, 1},
		"reply dropped":        {standin.Faults{DropReplies: 1}, 1},
		"frozen":               {standin.Faults{Freeze: true}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := startServer(t, nil)
			conn := dial(t, s.Addr(), httpjson.Options{})
			g.Expect(s.SetFaults(c.faults)).To(Succeed())
			_, err := conn.Run(contextWithTimeout(t, 200*time.Millisecond), []wire.SubRequest{newSub(1)})
			var lost *backend.LostError
			g.Expect(err).To(BeAssignableToTypeOf(lost))
			_, total := s.Executions(0, 0)
			g.Expect(total).To(Equal(c.ran))
			g.Expect(s.SetFaults(standin.Faults{})).To(Succeed())
			_, err = conn.Run(contextWithTimeout(t, time.Second), []wire.SubRequest{newSub(2)})
			var unsent *backend.NotSentError
			g.Expect(err).To(BeAssignableToTypeOf(unsent))
			ran, _ := s.Executions(0, 0)
			g.Expect(ran).NotTo(ContainElement(HaveField("ID", httpjson.IDForm(newSub(2).ID))))
		})
	}
}

// Guards against a batch that is lost on a connection which the server closed
// while it was idle, and against a batch that is sent after its deadline.
func TestNotSentErrors(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, nil)
	conn := dial(t, s.Addr(), httpjson.Options{})
	_, err := conn.Run(contextWithTimeout(t, time.Second), []wire.SubRequest{newSub(1)})
	g.Expect(err).NotTo(HaveOccurred())
	s.ResetConnections()
	time.Sleep(10 * time.Millisecond)
	var unsent *backend.NotSentError
	_, err = conn.Run(contextWithTimeout(t, time.Second), []wire.SubRequest{newSub(2)})
	g.Expect(err).To(BeAssignableToTypeOf(unsent))

	late, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	_, err = dial(t, s.Addr(), httpjson.Options{}).Run(late, []wire.SubRequest{newSub(3)})
	g.Expect(err).To(BeAssignableToTypeOf(unsent))
	_, total := s.Executions(0, 0)
	g.Expect(total).To(BeEquivalentTo(1))

	g.Expect(s.SetFaults(standin.Faults{RefuseConnections: true})).To(Succeed())
	d, _ := httpjson.NewDialer(httpjson.Options{})
	_, err = d.Dial(contextWithTimeout(t, time.Second), s.Addr())
	var refused *backend.DialError
	g.Expect(err).To(BeAssignableToTypeOf(refused))
}

// Guards against a call that fails because of the deadline of an earlier one.
func TestDeadlineOfEarlierCallIsReset(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, nil)
	conn := dial(t, s.Addr(), httpjson.Options{})
	_, err := conn.Run(contextWithTimeout(t, 50*time.Millisecond), []wire.SubRequest{newSub(1)})
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(60 * time.Millisecond)
	_, err = conn.Run(contextWithTimeout(t, time.Second), []wire.SubRequest{newSub(2)})
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a missing reply that counts as answered, against a duplicate
// reply that is assigned to another sub-request, and against the reuse of the
// connection after either.
func TestIrregularReplies(t *testing.T) {
	for name, faults := range map[string]standin.Faults{"omitted": {Omit: 1}, "duplicate": {Duplicate: 1}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := startServer(t, nil)
			conn := dial(t, s.Addr(), httpjson.Options{})
			g.Expect(s.SetFaults(faults)).To(Succeed())
			replies, err := conn.Run(contextWithTimeout(t, time.Second), []wire.SubRequest{newSub(1), newSub(2)})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(replies).To(HaveLen(2))
			first := wire.Answered
			if faults.Omit > 0 {
				first = wire.Unknown
			}
			g.Expect(replies[0]).To(And(HaveField("ID", newSub(1).ID), HaveField("Outcome", first)))
			g.Expect(replies[1]).To(And(HaveField("ID", newSub(2).ID), HaveField("Outcome", wire.Answered)))
			_, err = conn.Run(contextWithTimeout(t, time.Second), []wire.SubRequest{newSub(3)})
			var unsent *backend.NotSentError
			g.Expect(err).To(BeAssignableToTypeOf(unsent))
		})
	}
}

// startScriptedServer starts a server that responds to the first request on one
// connection with the given bytes. It then closes the connection, or keeps it
// open until the other side closes it.
func startScriptedServer(t *testing.T, response string, keepOpen bool) wire.ReplicaID {
	return startServerFunc(t, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = conn.Write([]byte(response))
		}
		if keepOpen {
			_, _ = io.Copy(io.Discard, conn)
		}
	})
}

// startServerFunc starts a server that passes one accepted connection to handle
// and closes it afterwards.
func startServerFunc(t *testing.T, handle func(net.Conn)) wire.ReplicaID {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if conn, err := listener.Accept(); err == nil {
			handle(conn)
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() { _ = listener.Close(); <-done })
	return wire.ReplicaID(listener.Addr().String())
}

// httpResponse returns an HTTP response with the status line and the body.
func httpResponse(status, body string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// Guards against a malformed or oversized response that is accepted as an answer
// or as a refusal.
func TestMalformedResponses(t *testing.T) {
	reply := func(outcome, span string) string {
		return httpResponse("200 OK", `{"replies":[{"id":{"host":9223372036854775813,"seq":1},"outcome":"`+outcome+`","range":`+span+`}]}`)
	}
	lost := BeAssignableToTypeOf(&backend.LostError{})
	cases := map[string]struct {
		response string
		err      types.GomegaMatcher
		outcome  wire.Outcome
	}{
		"well formed":       {reply("answered", `{"lo":1,"hi":2}`), BeNil(), wire.Answered},
		"unknown outcome":   {reply("done", `{"lo":1,"hi":2}`), BeNil(), wire.Unknown},
		"inverted range":    {reply("answered", `{"lo":2,"hi":1}`), BeNil(), wire.Unknown},
		"other id":          {httpResponse("200 OK", `{"replies":[{"id":{"host":1,"seq":1},"outcome":"answered"}]}`), BeNil(), wire.Unknown},
		"truncated JSON":    {httpResponse("200 OK", `{"replies":[{"id"`), lost, 0},
		"not JSON":          {httpResponse("200 OK", `hello`), lost, 0},
		"refusal":           {httpResponse("503 Service Unavailable", `{"outcome":"not_run","reason":"shed"}`), BeNil(), wire.NotRun},
		"unproven refusal":  {httpResponse("503 Service Unavailable", `{"reason":"shed"}`), lost, 0},
		"proxy error":       {httpResponse("502 Bad Gateway", `oops`), lost, 0},
		"oversized body":    {httpResponse("200 OK", strings.Repeat(" ", 1<<16)), lost, 0},
		"oversized header":  {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 1<<16) + "\r\n\r\n", lost, 0},
		"not HTTP":          {"hello\r\n\r\n", lost, 0},
		"empty":             {"", lost, 0},
		"overstated length": {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n{}", lost, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			conn := dial(t, startScriptedServer(t, c.response, false), httpjson.Options{MaxResponse: 1 << 12})
			replies, err := conn.Run(contextWithTimeout(t, time.Second), []wire.SubRequest{newSub(1)})
			g.Expect(err).To(c.err)
			if err == nil {
				g.Expect(replies).To(HaveExactElements(HaveField("Outcome", c.outcome)))
			}
		})
	}
}

// answeredResponse returns a well-formed response to newSub(1).
func answeredResponse() string {
	return httpResponse("200 OK", `{"replies":[{"id":{"host":9223372036854775813,"seq":1},"outcome":"answered"}]}`)
}

// Guards against surplus bytes after a response that answer the next request, and
// against a batch that is lost because the server closed the connection after a
// response.
func TestConnectionUnusableAfterResponse(t *testing.T) {
	for name, addr := range map[string]wire.ReplicaID{
		"more bytes": startScriptedServer(t, answeredResponse()+answeredResponse(), true),
		"closed":     startScriptedServer(t, answeredResponse(), false),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			conn := dial(t, addr, httpjson.Options{})
			replies, err := conn.Run(contextWithTimeout(t, time.Second), []wire.SubRequest{newSub(1)})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(replies[0].Outcome).To(Equal(wire.Answered))
			time.Sleep(10 * time.Millisecond)
			_, err = conn.Run(contextWithTimeout(t, time.Second), []wire.SubRequest{newSub(1)})
			var unsent *backend.NotSentError
			g.Expect(err).To(BeAssignableToTypeOf(unsent))
		})
	}
}

// Guards against a NotSentError when a part of the request was written.
func TestPartialWriteIsLost(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{})
	conn := dial(t, startServerFunc(t, func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetReadBuffer(1 << 12)
		<-closed
	}), httpjson.Options{})
	defer close(closed)
	large := newSub(1)
	large.Payload = make([]byte, 8<<20) // more than the socket buffers hold
	_, err := conn.Run(contextWithTimeout(t, 2*time.Second), []wire.SubRequest{large})
	g.Expect(err).To(BeAssignableToTypeOf(&backend.LostError{}))
}

// Guards against a cancelled call that continues, and against a Close that does
// not interrupt a call in progress.
func TestCancelAndCloseInterruptRun(t *testing.T) {
	g := NewWithT(t)
	slow := func(o *standin.Options) {
		o.ServiceTime.Median, o.ServiceTime.Tail = jwcc.Duration(time.Minute), jwcc.Duration(time.Minute)
	}
	s := startServer(t, slow)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	start := time.Now()
	_, err := dial(t, s.Addr(), httpjson.Options{}).Run(ctx, []wire.SubRequest{newSub(1)})
	g.Expect(err).To(BeAssignableToTypeOf(&backend.LostError{}))
	conn := dial(t, s.Addr(), httpjson.Options{})
	time.AfterFunc(20*time.Millisecond, func() { _ = conn.Close() })
	_, err = conn.Run(context.Background(), []wire.SubRequest{newSub(2)})
	g.Expect(err).To(BeAssignableToTypeOf(&backend.LostError{}))
	g.Expect(time.Since(start)).To(BeNumerically("<", 900*time.Millisecond))
}

// Guards against a cancellation that does not stop the execution on the server.
func TestCancelStopsExecution(t *testing.T) {
	g := NewWithT(t)
	slow := func(o *standin.Options) {
		o.ServiceTime.Median, o.ServiceTime.Tail = jwcc.Duration(time.Minute), jwcc.Duration(time.Minute)
	}
	s := startServer(t, slow)
	other := dial(t, s.Addr(), httpjson.Options{})
	time.AfterFunc(20*time.Millisecond, func() { _ = other.Cancel(context.Background(), []wire.SubRequestID{newSub(1).ID}) })
	long := newSub(1)
	long.TimeLeft = time.Minute
	replies, err := dial(t, s.Addr(), httpjson.Options{}).Run(contextWithTimeout(t, 5*time.Second), []wire.SubRequest{long})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(replies[0]).To(And(HaveField("Outcome", wire.Unknown), HaveField("Reason", wire.ReasonCancelled)))
	ran, _ := s.Executions(0, 0)
	g.Expect(ran).To(HaveExactElements(HaveField("Stopped", true)))
}
