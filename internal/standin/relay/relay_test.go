package relay

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoServer starts a server that sends back what it receives, and returns its
// address.
func echoServer(t *testing.T) string {
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
			go func() { _, _ = io.Copy(conn, conn); _ = conn.Close() }()
		}
	}()
	return listener.Addr().String()
}

// startRelay starts a relay to an echo server of its own.
func startRelay(t *testing.T, link Link) *Relay {
	r, err := Start(Options{Listen: "127.0.0.1:0", Target: echoServer(t), Seed: 1, Link: link})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	return r
}

func connect(t *testing.T, r *Relay) net.Conn {
	conn, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// echo sends text and returns what comes back within timeout, and the round-trip
// time.
func echo(conn net.Conn, text string, timeout time.Duration) (string, time.Duration, error) {
	begin := time.Now()
	_ = conn.SetDeadline(begin.Add(timeout))
	if _, err := conn.Write([]byte(text)); err != nil {
		return "", 0, err
	}
	received := make([]byte, len(text))
	n, err := io.ReadFull(conn, received)
	return string(received[:n]), time.Since(begin), err
}

// Guards against faults that the relay accepts but does not inject, or that
// outlast the condition or the connections they were set for.
func TestFaultsTakeEffectAndEnd(t *testing.T) {
	g := NewWithT(t)
	r := startRelay(t, Link{Delay: jwcc.Duration(20 * time.Millisecond), Jitter: jwcc.Duration(5 * time.Millisecond)})
	existing := connect(t, r)
	_, _, err := echo(existing, "warm", time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	text, roundTrip, err := echo(existing, "one", time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(Equal("one"))
	g.Expect(roundTrip).To(BeNumerically(">=", 40*time.Millisecond))

	g.Expect(r.SetLink(Link{Cut: true})).To(Succeed())
	_, _, err = echo(existing, "two", 50*time.Millisecond)
	g.Expect(err).To(MatchError(ContainSubstring("timeout")))
	g.Expect(r.SetLink(Link{})).To(Succeed())
	text, _, err = echo(existing, "", time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(BeEmpty())
	received := make([]byte, 3)
	_, err = io.ReadFull(existing, received)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(received)).To(Equal("two"))

	r.SilenceConnections()
	_, _, err = echo(existing, "three", 50*time.Millisecond)
	g.Expect(err).To(MatchError(ContainSubstring("timeout")))
	fresh := connect(t, r)
	text, _, err = echo(fresh, "four", time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(Equal("four"))

	r.ResetConnections()
	_, _, err = echo(fresh, "five", time.Second)
	g.Expect(err).To(MatchError(ContainSubstring("reset")))
	g.Eventually(r.Connections).Should(BeZero())
	g.Expect(r.SetLink(Link{Refuse: true})).To(Succeed())
	_, err = net.Dial("tcp", r.Addr())
	g.Expect(err).To(MatchError(ContainSubstring("refused")))
	g.Expect(r.SetLink(Link{})).To(Succeed())
	text, _, err = echo(connect(t, r), "six", time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(Equal("six"))
}

// Guards against data that the relay reorders, drops, or truncates when the sender
// closes its side.
func TestForwardsAllDataInOrder(t *testing.T) {
	g := NewWithT(t)
	r := startRelay(t, Link{Jitter: jwcc.Duration(2 * time.Millisecond)})
	conn := connect(t, r)
	sent := strings.Repeat("0123456789abcdef", 1<<14)
	go func() {
		_, _ = conn.Write([]byte(sent))
		_ = conn.(*net.TCPConn).CloseWrite()
	}()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	received, err := io.ReadAll(conn)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(received) == sent).To(BeTrue(), "%d of %d bytes", len(received), len(sent))
	g.Eventually(r.Connections).Should(BeZero())
}

// Guards against admin calls that report success without effect, and against
// unknown keys, values or addresses that are accepted.
func TestAdminCalls(t *testing.T) {
	g := NewWithT(t)
	r := startRelay(t, Link{})
	handler := AdminHandler([]*Relay{r})
	call := func(method, path, body string) int {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Code
	}
	g.Expect(call("PUT", "/v1/relays/"+r.Addr()+"/link", `{"delay":"3ms"}`)).To(Equal(http.StatusOK))
	g.Expect(r.Link().Delay.D()).To(Equal(3 * time.Millisecond))
	g.Expect(call("PUT", "/v1/relays/all/link", `{"dealy":"3ms"}`)).To(Equal(http.StatusBadRequest))
	g.Expect(call("PUT", "/v1/relays/all/link", `{"delay":"-3ms"}`)).To(Equal(http.StatusBadRequest))
	g.Expect(call("POST", "/v1/relays/127.0.0.1:1/silence", "")).To(Equal(http.StatusNotFound))
	g.Expect(call("GET", "/v1/relays", "")).To(Equal(http.StatusOK))
}
