package aggregate

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/gateway"
)

// fakeRunner answers each query after runTime with the query's payload.
type fakeRunner struct {
	version       uint64
	runTime       time.Duration
	runs          atomic.Int64
	cancelledRuns atomic.Int64 // runs whose context ended before runTime
}

func (f *fakeRunner) Version() uint64 { return f.version }

func (f *fakeRunner) Serve(ctx context.Context, query *gateway.ForwardedQuery) *gateway.ForwardOutcome {
	f.runs.Add(1)
	select {
	case <-time.After(f.runTime):
	case <-ctx.Done():
		f.cancelledRuns.Add(1)
	}
	return &gateway.ForwardOutcome{Version: f.version, Proofs: []string{"p-" + query.ID}, Records: query.Payload, Coverage: 1}
}

func notLeaving() bool { return false }

// serveRunner serves a runner and returns its address.
func serveRunner(t *testing.T, runner Runner) string {
	server := httptest.NewServer(NewServer(runner, notLeaving, nil, tally.NoopScope, &log.Logger{Handler: discard.Default}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func newTestClient(groups ...[]string) *Client {
	var peers [][]Peer
	for _, group := range groups {
		var members []Peer
		for _, addr := range group {
			members = append(members, Peer{Addr: addr})
		}
		peers = append(peers, members)
	}
	return New(Options{Peers: func() [][]Peer { return peers }, AcceptTimeout: testAcceptTimeout})
}

// testAcceptTimeout replaces the default, within which the goroutines of a test that runs
// in real time do not always get a processor beside other load.
const testAcceptTimeout = 2 * time.Second

// Guards against a host that waits longer for a frozen peer than a query can bear.
func TestDefaultAcceptTimeout(t *testing.T) {
	NewWithT(t).Expect(New(Options{}).options.AcceptTimeout).To(Equal(60 * time.Millisecond))
}

func newTestQuery(id string) *gateway.ForwardedQuery {
	return &gateway.ForwardedQuery{ID: id, Version: 3, TimeLeft: time.Second, Payload: []byte("payload of " + id)}
}

// Guards against a query that gets the answer of another query, or no answer.
func TestForwardReturnsAnswerOfItsQuery(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	runner := &fakeRunner{version: 3, runTime: 2 * time.Millisecond}
	c := newTestClient(nil, []string{serveRunner(t, runner)})
	var group sync.WaitGroup
	for i := range 400 {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26))
		group.Go(func() {
			outcome, err := c.Forward(t.Context(), newTestQuery(id))
			var notForwarded *gateway.NotForwardedError
			if errors.As(err, &notForwarded) {
				return // the peer was busy
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(outcome.Proofs).To(Equal([]string{"p-" + id}))
			g.Expect(string(outcome.Records)).To(Equal("payload of " + id))
		})
		time.Sleep(time.Millisecond)
	}
	group.Wait()
	g.Expect(runner.runs.Load()).To(BeNumerically(">", 300))
}

// Guards against a forwarded query that does not return after its caller's
// context has ended, which left requests without any answer.
func TestForwardEndsWhenCallerLeaves(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := newTestClient([]string{serveRunner(t, &fakeRunner{version: 3, runTime: 30 * time.Millisecond})})
	var group sync.WaitGroup
	var stuck atomic.Int64
	for range 300 {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rand.Int64N(int64(40*time.Millisecond))))
			defer cancel()
			done := make(chan struct{})
			go func() { defer close(done); _, _ = c.Forward(ctx, newTestQuery("x")) }()
			select {
			case <-done:
			case <-time.After(2 * time.Second):
				stuck.Add(1)
			}
		})
		time.Sleep(time.Millisecond)
	}
	group.Wait()
	g.Expect(stuck.Load()).To(BeZero())
}

// Guards against a query that runs on two hosts: a peer that did not accept it
// in time must not run it later. Otherwise replicas get its requests twice, which
// exceeds the budget of retries and hedges.
func TestLateAcceptanceRunsNothing(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const acceptTimeout = testAcceptTimeout / 4
	runner := &fakeRunner{version: 3}
	server := NewServer(runner, notLeaving, nil, tally.NoopScope, &log.Logger{Handler: discard.Default})
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(3 * acceptTimeout)
		server.ServeHTTP(w, r)
	}))
	defer slow.Close()
	c := newTestClient([]string{strings.TrimPrefix(slow.URL, "http://")})
	c.options.AcceptTimeout = acceptTimeout
	began := time.Now()
	_, err := c.Forward(t.Context(), newTestQuery("x"))
	var notForwarded *gateway.NotForwardedError
	g.Expect(errors.As(err, &notForwarded)).To(BeTrue())
	g.Expect(time.Since(began)).To(BeNumerically("<", 2*acceptTimeout))
	_, err = c.Forward(t.Context(), newTestQuery("y"))
	g.Expect(errors.As(err, &notForwarded)).To(BeTrue(), "the peer is avoided")
	time.Sleep(4 * acceptTimeout)
	g.Expect(runner.runs.Load()).To(BeZero())
}

// Guards against an answer by an older routing table than that of the sending
// host, and against a query that runs although the peer refused it.
func TestPeerWithOlderTableRefuses(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	runner := &fakeRunner{version: 2}
	_, err := newTestClient([]string{serveRunner(t, runner)}).Forward(t.Context(), newTestQuery("x"))
	var notForwarded *gateway.NotForwardedError
	g.Expect(errors.As(err, &notForwarded)).To(BeTrue())
	g.Expect(runner.runs.Load()).To(BeZero())
}

// Guards against queries that a stopping peer accepts and can't finish.
func TestLeavingPeerRefuses(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	runner := &fakeRunner{version: 3}
	server := httptest.NewServer(NewServer(runner, func() bool { return true }, nil, tally.NoopScope, &log.Logger{Handler: discard.Default}))
	defer server.Close()
	_, err := newTestClient([]string{strings.TrimPrefix(server.URL, "http://")}).Forward(t.Context(), newTestQuery("x"))
	var notForwarded *gateway.NotForwardedError
	g.Expect(errors.As(err, &notForwarded)).To(BeTrue())
	g.Expect(runner.runs.Load()).To(BeZero())
}

// Guards against a query that runs on this host although it may run at a peer
// whose connection was lost.
func TestLostPeerGivesUnknownOutcome(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 4096)
		_, _ = conn.Read(buffer)
		_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n\r\n")
		time.Sleep(20 * time.Millisecond)
		_ = conn.Close()
	}()
	outcome, err := newTestClient([]string{listener.Addr().String()}).Forward(t.Context(), newTestQuery("x"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(outcome.Failure).To(Equal(gateway.FailedUnknown))
}

// Guards against replicas that go on working for a caller that has left.
func TestCancelledForwardEndsRunAtPeer(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	runner := &fakeRunner{version: 3, runTime: 5 * time.Second}
	c := newTestClient([]string{serveRunner(t, runner)})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for runner.runs.Load() == 0 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
		cancel()
	}()
	_, err := c.Forward(ctx, newTestQuery("x"))
	g.Expect(err).To(HaveOccurred())
	g.Eventually(runner.cancelledRuns.Load, "300ms").Should(BeEquivalentTo(1))
}

// Guards against use of a peer in another data centre although one of the own
// data centre is usable, and against an immediate retry at a failed peer.
func TestNearPeersArePreferred(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	near, far := &fakeRunner{version: 3}, &fakeRunner{version: 3}
	c := newTestClient([]string{serveRunner(t, near), "127.0.0.1:1"}, []string{serveRunner(t, far)})
	for range 20 {
		_, _ = c.Forward(t.Context(), newTestQuery("x"))
	}
	g.Expect(far.runs.Load()).To(BeZero())
	g.Expect(near.runs.Load()).To(BeNumerically(">=", 19))
	dead := newTestClient([]string{"127.0.0.1:1"}, []string{serveRunner(t, far)})
	_, err := dead.Forward(t.Context(), newTestQuery("x"))
	g.Expect(err).To(HaveOccurred())
	_, err = dead.Forward(t.Context(), newTestQuery("x"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(far.runs.Load()).To(BeEquivalentTo(1))
}

// Guards against a reply of a peer that broke off, or names no outcome, and reaches
// the caller as an answer without parts.
func TestReplyWithoutOutcomeIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, reply := range []string{`{}`, `null`, `[]`, `{"Proofs":[]}`, `{"Proofs":["p"]`, `{"Proofs":["p"],"Failure":7}`, ``, strings.Repeat(`{"a":`, 20000)} {
		g := NewWithT(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body := bufio.NewReader(r.Body)
			_, err := body.ReadString('\n')
			w.WriteHeader(http.StatusEarlyHints)
			if err == nil && readConfirmation(body) {
				_, _ = io.WriteString(w, reply)
			}
		}))
		outcome, err := newTestClient([]string{strings.TrimPrefix(server.URL, "http://")}).Forward(t.Context(), newTestQuery("x"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(outcome.Failure).To(Equal(gateway.FailedUnknown), reply)
		server.Close()
	}
}
