package aggregate

import (
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

// fakeRunner answers queries after a time.
type fakeRunner struct {
	version uint64
	takes   time.Duration
	runs    atomic.Int64
	ended   atomic.Int64 // runs whose sender left
}

func (f *fakeRunner) Version() uint64 { return f.version }

func (f *fakeRunner) Serve(ctx context.Context, query *gateway.Forwarded) *gateway.Outcome {
	f.runs.Add(1)
	select {
	case <-time.After(f.takes):
	case <-ctx.Done():
		f.ended.Add(1)
	}
	return &gateway.Outcome{Version: f.version, Proofs: []string{"p-" + query.ID}, Records: query.Payload, Coverage: 1}
}

func staying() bool { return false }

// start serves a runner at an address.
func start(t *testing.T, runner Runner) string {
	server := httptest.NewServer(NewServer(runner, staying, tally.NoopScope, &log.Logger{Handler: discard.Default}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func clientOf(groups ...[]string) *Client {
	return New(Options{Peers: func() [][]string { return groups }})
}

func query(id string) *gateway.Forwarded {
	return &gateway.Forwarded{ID: id, Version: 3, Left: time.Second, Payload: []byte("payload of " + id)}
}

// Guards against a query that gets the answer of another one, or none.
func TestQueriesAreAnsweredByThePeer(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	runner := &fakeRunner{version: 3, takes: 2 * time.Millisecond}
	c := clientOf(nil, []string{start(t, runner)})
	var group sync.WaitGroup
	for i := range 400 {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26))
		group.Go(func() {
			outcome, err := c.Forward(t.Context(), query(id))
			var notTaken *gateway.NotTakenError
			if errors.As(err, &notTaken) {
				return // the peer is busy
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

// Guards against a handed-on query that holds its caller beyond the caller's
// patience: found on a calm day as requests without any answer.
func TestForwardEndsWithItsCaller(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := clientOf([]string{start(t, &fakeRunner{version: 3, takes: 30 * time.Millisecond})})
	var group sync.WaitGroup
	var stuck atomic.Int64
	for range 300 {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rand.Int64N(int64(40*time.Millisecond))))
			defer cancel()
			done := make(chan struct{})
			go func() { defer close(done); _, _ = c.Forward(ctx, query("x")) }()
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

// Guards against a query that runs on two hosts: a peer that said nothing in
// time must not run it when it wakes up. Found as BUDGET by the bench.
func TestSlowPeerRunsNothing(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	runner := &fakeRunner{version: 3}
	server := NewServer(runner, staying, tally.NoopScope, &log.Logger{Handler: discard.Default})
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(3 * acceptWait)
		server.ServeHTTP(w, r)
	}))
	defer slow.Close()
	c := clientOf([]string{strings.TrimPrefix(slow.URL, "http://")})
	began := time.Now()
	_, err := c.Forward(t.Context(), query("x"))
	var notTaken *gateway.NotTakenError
	g.Expect(errors.As(err, &notTaken)).To(BeTrue())
	g.Expect(time.Since(began)).To(BeNumerically("<", 2*acceptWait))
	_, err = c.Forward(t.Context(), query("y"))
	g.Expect(errors.As(err, &notTaken)).To(BeTrue(), "the peer is avoided")
	time.Sleep(4 * acceptWait)
	g.Expect(runner.runs.Load()).To(BeZero())
}

// Guards against an answer from an older table than the caller's host has used,
// and against a query that runs although the peer refused it.
func TestPeerWithAnOlderTableTakesNothing(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	runner := &fakeRunner{version: 2}
	_, err := clientOf([]string{start(t, runner)}).Forward(t.Context(), query("x"))
	var notTaken *gateway.NotTakenError
	g.Expect(errors.As(err, &notTaken)).To(BeTrue())
	g.Expect(runner.runs.Load()).To(BeZero())
}

// Guards against queries that a stopping peer takes on and can't finish.
func TestLeavingPeerTakesNothing(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	runner := &fakeRunner{version: 3}
	server := httptest.NewServer(NewServer(runner, func() bool { return true }, tally.NoopScope, &log.Logger{Handler: discard.Default}))
	defer server.Close()
	_, err := clientOf([]string{strings.TrimPrefix(server.URL, "http://")}).Forward(t.Context(), query("x"))
	var notTaken *gateway.NotTakenError
	g.Expect(errors.As(err, &notTaken)).To(BeTrue())
	g.Expect(runner.runs.Load()).To(BeZero())
}

// Guards against a query that is run here although it may run at a peer that
// was lost.
func TestLostPeerLeavesTheOutcomeUnknown(t *testing.T) {
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
	outcome, err := clientOf([]string{listener.Addr().String()}).Forward(t.Context(), query("x"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(outcome.Failure).To(Equal(gateway.FailedUnknown))
}

// Guards against replicas that work on for a caller who has left.
func TestLeavingCallerEndsTheRunAtThePeer(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	runner := &fakeRunner{version: 3, takes: 5 * time.Second}
	c := clientOf([]string{start(t, runner)})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Forward(ctx, query("x"))
	g.Expect(err).To(HaveOccurred())
	g.Eventually(runner.ended.Load, "300ms").Should(BeEquivalentTo(1))
}

// Guards against a peer elsewhere that is asked although one of the own data
// centre is there, and against a failed one that is asked again at once.
func TestNearPeersComeFirst(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	near, far := &fakeRunner{version: 3}, &fakeRunner{version: 3}
	c := clientOf([]string{start(t, near), "127.0.0.1:1"}, []string{start(t, far)})
	for range 20 {
		_, _ = c.Forward(t.Context(), query("x"))
	}
	g.Expect(far.runs.Load()).To(BeZero())
	g.Expect(near.runs.Load()).To(BeNumerically(">=", 19))
	dead := clientOf([]string{"127.0.0.1:1"}, []string{start(t, far)})
	_, err := dead.Forward(t.Context(), query("x"))
	g.Expect(err).To(HaveOccurred())
	_, err = dead.Forward(t.Context(), query("x"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(far.runs.Load()).To(BeEquivalentTo(1))
}
