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

// echoServer returns what it receives.
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

func start(t *testing.T, link Link) *Relay {
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

// echo sends text and returns what comes back within the limit, and after how
// long.
func echo(conn net.Conn, text string, limit time.Duration) (string, time.Duration, error) {
	begin := time.Now()
	_ = conn.SetDeadline(begin.Add(limit))
	if _, err := conn.Write([]byte(text)); err != nil {
		return "", 0, err
	}
	back := make([]byte, len(text))
	n, err := io.ReadFull(conn, back)
	return string(back[:n]), time.Since(begin), err
}

// Guards against faults that the relay claims and doesn't inject, or that last
// longer than they should.
func TestFaults(t *testing.T) {
	g := NewWithT(t)
	r := start(t, Link{Delay: jwcc.Duration(20 * time.Millisecond), Jitter: jwcc.Duration(5 * time.Millisecond)})
	old := connect(t, r)
	_, _, err := echo(old, "warm", time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	text, took, err := echo(old, "one", time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(Equal("one"))
	g.Expect(took).To(BeNumerically(">=", 40*time.Millisecond))

	g.Expect(r.SetLink(Link{Cut: true})).To(Succeed())
	_, _, err = echo(old, "two", 50*time.Millisecond)
	g.Expect(err).To(MatchError(ContainSubstring("timeout")))
	g.Expect(r.SetLink(Link{})).To(Succeed())
	text, _, err = echo(old, "", time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(BeEmpty())
	back := make([]byte, 3)
	_, err = io.ReadFull(old, back)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(back)).To(Equal("two"))

	r.Silence()
	_, _, err = echo(old, "three", 50*time.Millisecond)
	g.Expect(err).To(MatchError(ContainSubstring("timeout")))
	fresh := connect(t, r)
	text, _, err = echo(fresh, "four", time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(Equal("four"))

	r.Reset()
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

// Guards against data that the relay reorders, drops or cuts at the end.
func TestPassesAllDataInOrder(t *testing.T) {
	g := NewWithT(t)
	r := start(t, Link{Jitter: jwcc.Duration(2 * time.Millisecond)})
	conn := connect(t, r)
	sent := strings.Repeat("0123456789abcdef", 1<<14)
	go func() {
		_, _ = conn.Write([]byte(sent))
		_ = conn.(*net.TCPConn).CloseWrite()
	}()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	back, err := io.ReadAll(conn)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(back) == sent).To(BeTrue(), "%d of %d bytes", len(back), len(sent))
	g.Eventually(r.Connections).Should(BeZero())
}

// Guards against an admin call that reports success and changes nothing.
func TestAdmin(t *testing.T) {
	g := NewWithT(t)
	r := start(t, Link{})
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
