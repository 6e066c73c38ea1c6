package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/readlimit"
)

const (
	// smallestHostMemory is the memory limit of the smallest hosts, in bytes.
	smallestHostMemory = 184 << 20
	// maxPeakHeap is the heap, in bytes, that endlessConns calls may take at their
	// peak.
	maxPeakHeap  = 24 << 20
	endlessConns = 60
)

// endlessResponses are responses that never end: a prefix, then the repeated text
// until the caller closes the connection.
var endlessResponses = map[string]struct{ prefix, repeated string }{
	"head line":        {"HTTP/1.1 200 OK\r\nX-Long: ", "xxxxxxxxxxxxxxxx"},
	"status line":      {"HTTP/1.1 200 ", "OKOKOKOKOKOKOKOK"},
	"fields":           {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
	"short fields":     {"HTTP/1.1 200 OK\r\n", "a:\r\nb:\r\n"},
	"distinct fields":  {"HTTP/1.1 200 OK\r\n", distinctFields()},
	"empty lines":      {"", "\r\n"},
	"interim":          {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	"unframed body":    {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "xxxxxxxxxxxxxxxx"},
	"stated length":    {"HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n", "xxxxxxxxxxxxxxxx"},
	"chunks":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\nxxxxxxxxxxxxxxxx\r\n"},
	"tiny chunks":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"one chunk":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n", "xxxxxxxxxxxxxxxx"},
	"chunk extension":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "xxxxxxxxxxxxxxxx"},
	"chunk extensions": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\nx\r\n"},
	"trailer":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n"},
}

// distinctFields returns short fields with different names, which take the most
// memory for their bytes.
func distinctFields() string {
	var text strings.Builder
	for n := range 20000 {
		text.WriteString(strconv.FormatInt(int64(n), 36) + ":\r\n")
	}
	return text.String()
}

// endlessServer answers every request with an endless response.
func endlessServer(t *testing.T, prefix, repeated string) string {
	block := []byte(strings.Repeat(repeated, max(1, 32<<10/len(repeated))))
	return scriptServer(t, func(conn net.Conn) {
		_, err := io.WriteString(conn, prefix)
		for err == nil {
			_, err = conn.Write(block)
		}
	})
}

// writeGet writes a request without a body.
func writeGet(w io.Writer) error {
	_, err := io.WriteString(w, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	return err
}

// openConn dials a server with the options of the smallest host.
func openConn(t *testing.T, addr string, budget *readlimit.Budget) *Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c := New(conn, "replica", Options{BufferSize: 2 << 10, MaxResponse: 4 << 20, Budget: budget})
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// peakHeap returns a function that ends the measurement and returns the greatest
// size of the heap since the call, above its size at the call.
func peakHeap() func() uint64 {
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	runtime.GC()
	start := heap()
	var peak atomic.Uint64
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			peak.Store(max(peak.Load(), heap()))
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return func() uint64 {
		close(stop)
		<-stopped
		return peak.Load() - min(peak.Load(), start)
	}
}

// Guards against replicas that never stop writing: they took all memory of the
// smallest hosts within a second, and each call until its deadline.
func TestEndlessResponsesEndAtOnceWithinMemory(t *testing.T) {
	for name, response := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			addr := endlessServer(t, response.prefix, response.repeated)
			budget := readlimit.NewBudget(readlimit.BudgetOf(smallestHostMemory))
			conns := make([]*Conn, endlessConns)
			for i := range conns {
				conns[i] = openConn(t, addr, budget)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			peak := peakHeap()
			var calls sync.WaitGroup
			errs := make([]error, len(conns))
			for i, c := range conns {
				calls.Go(func() { _, errs[i] = c.Call(ctx, http.MethodGet, writeGet) })
			}
			calls.Wait()
			g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the calls end before their deadline")
			g.Expect(peak()).To(BeNumerically("<", maxPeakHeap))
			for _, err := range errs {
				var lost *backend.LostError
				g.Expect(errors.As(err, &lost)).To(BeTrue(), "%v", err)
			}
			for _, c := range conns {
				_, err := c.Call(t.Context(), http.MethodGet, writeGet)
				var notSent *backend.NotSentError
				g.Expect(errors.As(err, &notSent)).To(BeTrue(), "the connection is closed")
			}
		})
	}
}

// Guards against replicas that take the processor of a small host with chunks of a few
// bytes: a call read up to 4 MiB of them.
func TestTinyChunksEndEarly(t *testing.T) {
	for _, name := range []string{"chunks", "tiny chunks"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			response := endlessResponses[name]
			c := openConn(t, endlessServer(t, response.prefix, response.repeated), nil)
			_, err := c.Call(t.Context(), http.MethodGet, writeGet)
			g.Expect(readlimit.Exceeded(err)).To(BeTrue(), "%v", err)
			g.Expect(c.stream.read).To(BeNumerically("<", 2<<20))
		})
	}
}

// Guards against a bound on chunks that cuts a long body in short chunks, or a usual one
// that comes a byte at a time.
func TestLongBodiesInShortChunksAreWhole(t *testing.T) {
	for _, c := range []struct{ body, chunk int }{{40 << 10, 1}, {3 << 20, 64}, {3 << 20, 1 << 10}} {
		t.Run(strconv.Itoa(c.chunk), func(t *testing.T) {
			g := NewWithT(t)
			text := strconv.FormatInt(int64(c.chunk), 16) + "\r\n" + strings.Repeat("x", c.chunk) + "\r\n"
			addr := scriptServer(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat(text, c.body/c.chunk)+"0\r\n\r\n")
			})
			response, err := openConn(t, addr, nil).Call(t.Context(), http.MethodGet, writeGet)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(len(response.Body)).To(Equal(c.body))
		})
	}
}

// Guards against a response that comes a byte at a time and outlives its caller.
func TestResponseByteByByteEndsAtTheDeadline(t *testing.T) {
	g := NewWithT(t)
	addr := scriptServer(t, func(conn net.Conn) {
		for _, b := range []byte("HTTP/1.1 200 OK\r\nX-Slow: " + strings.Repeat("x", 1000)) {
			if _, err := conn.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := openConn(t, addr, nil).Call(ctx, http.MethodGet, writeGet)
	var lost *backend.LostError
	g.Expect(errors.As(err, &lost)).To(BeTrue())
	g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
}

// scriptServer calls respond once for each connection, after its request.
func scriptServer(t *testing.T, respond func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					respond(conn)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against an interim response that is taken for the final one.
func TestInterimResponsesAreSkipped(t *testing.T) {
	g := NewWithT(t)
	addr := scriptServer(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
		time.Sleep(50 * time.Millisecond)
	})
	response, err := openConn(t, addr, nil).Call(t.Context(), http.MethodGet, writeGet)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Code).To(Equal(http.StatusOK))
	g.Expect(string(response.Body)).To(Equal("whole"))
}

// Guards against a status that can't be passed on: writing it to the caller panicked, and
// the caller's connection ended without an answer.
func TestResponseWithAnInvalidStatusIsLost(t *testing.T) {
	g := NewWithT(t)
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		addr := scriptServer(t, func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: 5\r\n\r\nwhole")
		})
		_, err := openConn(t, addr, nil).Call(t.Context(), http.MethodGet, writeGet)
		var lost *backend.LostError
		g.Expect(errors.As(err, &lost)).To(BeTrue(), "%s: %v", status, err)
	}
}

// Guards against limits that cut responses which the pages allow: a long body, and
// a body of line breaks behind a short head.
func TestLongResponsesWithinTheLimitsAreWhole(t *testing.T) {
	g := NewWithT(t)
	for _, body := range []string{strings.Repeat("x", 3<<20), strings.Repeat("\n", 1<<20)} {
		addr := scriptServer(t, func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+strings.Repeat("X-Field: value\r\n", 100)+"\r\n"+body)
		})
		response, err := openConn(t, addr, readlimit.NewBudget(readlimit.BudgetOf(smallestHostMemory))).Call(t.Context(), http.MethodGet, writeGet)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(response.Body)).To(Equal(len(body)))
	}
}

// Guards against an answer that broke off and is taken for a whole one.
func TestBrokenOffResponsesAreLost(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, text := range map[string]string{
		"in the head":               head + "X-A: b",
		"before the stated length":  head + "Content-Length: 10\r\n\r\nhalf",
		"in a chunk":                head + "Transfer-Encoding: chunked\r\n\r\na\r\nhalf",
		"before the last chunk":     head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"in the trailer":            head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nX-A: b",
		"after an interim response": "HTTP/1.1 103 Early Hints\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			addr := scriptServer(t, func(conn net.Conn) { _, _ = io.WriteString(conn, text) })
			_, err := openConn(t, addr, nil).Call(t.Context(), http.MethodGet, writeGet)
			var lost *backend.LostError
			g.Expect(errors.As(err, &lost)).To(BeTrue(), "%v", err)
		})
	}
	t.Run("reset of a body without a length", func(t *testing.T) {
		g := NewWithT(t)
		addr := scriptServer(t, func(conn net.Conn) {
			_, _ = io.WriteString(conn, head+"Connection: close\r\n\r\nhalf")
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		})
		_, err := openConn(t, addr, nil).Call(t.Context(), http.MethodGet, writeGet)
		var lost *backend.LostError
		g.Expect(errors.As(err, &lost)).To(BeTrue(), "%v", err)
	})
}

// Guards against a response whose head breaks off anywhere, also between two fields, that
// counts as a complete one with an empty or a short body.
func TestHeadThatBreaksOffAnywhereIsLost(t *testing.T) {
	for name, fields := range map[string]string{
		"with a length":    "X-A: a\r\nX-B: s\r\nContent-Length: 4\r\n\r\n",
		"without a length": "X-A: a\r\nX-B: s\r\nConnection: close\r\n\r\n",
		"in chunks":        "X-A: a\r\nX-B: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"without a body":   "X-A: a\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			head := "HTTP/1.1 200 OK\r\n" + fields
			cuts := make(chan int, len(head))
			addr := scriptServer(t, func(conn net.Conn) { _, _ = io.WriteString(conn, head[:<-cuts]) })
			for cut := range len(head) {
				cuts <- cut
				_, err := openConn(t, addr, nil).Call(t.Context(), http.MethodGet, writeGet)
				var lost *backend.LostError
				g.Expect(errors.As(err, &lost)).To(BeTrue(), "after %q: %v", head[:cut], err)
			}
		})
	}
}
