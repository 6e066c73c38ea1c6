package catalog

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/history"
)

// memoryPeers are peers that are reached without a network. Those without a catalog are
// silent.
type memoryPeers struct {
	mu       sync.Mutex
	peers    map[string]*Catalog
	slowBody atomic.Int64 // nanoseconds between the head of an answer and its body
	asked    map[string]int
}

// slowReader delays the first read.
type slowReader struct {
	io.ReadCloser
	delay time.Duration
}

func (r *slowReader) Read(p []byte) (int, error) {
	time.Sleep(r.delay)
	r.delay = 0
	return r.ReadCloser.Read(p)
}

func (m *memoryPeers) RoundTrip(r *http.Request) (*http.Response, error) {
	m.mu.Lock()
	peer := m.peers[r.URL.Host]
	m.asked[r.URL.Host]++
	m.mu.Unlock()
	if peer == nil {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	answer := httptest.NewRecorder()
	peer.ServeState(answer, r)
	response := answer.Result()
	response.Body = &slowReader{ReadCloser: response.Body, delay: time.Duration(m.slowBody.Load())}
	return response, nil
}

func (m *memoryPeers) set(addr string, peer *Catalog) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers[addr] = peer
}

func (m *memoryPeers) takeAsked() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	asked := m.asked
	m.asked = map[string]int{}
	return asked
}

// newFreshCatalog returns a catalog with a table that the source has just named.
func newFreshCatalog(g *WithT, version uint64, options Options) *Catalog {
	options.Source = newSource()
	c, err := New(options)
	g.Expect(err).NotTo(HaveOccurred())
	c.SetTable(testTable(version), "test")
	c.noteTableAnswer()
	c.setServers([]Server{newServer("i-1", "a")}, history.Position{Era: 1, Revision: version}, history.Position{})
	return c
}

// runFollower runs a host with a state that polls a number of silent leaders, in virtual time.
func runFollower(t *testing.T, leaders int, f func(g *WithT, c *Catalog, m *memoryPeers, l *fakeLeadership, start func())) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := &memoryPeers{peers: map[string]*Catalog{}, asked: map[string]int{}}
		leadership := &fakeLeadership{}
		for i := range leaders {
			leadership.addrs = append(leadership.addrs, "leader-"+strconv.Itoa(i))
		}
		c := newFreshCatalog(g, 1, Options{Leadership: leadership, PeerTransport: m})
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		defer group.Wait()
		defer cancel()
		f(g, c, m, leadership, func() { group.Go(func() { c.followPeers(ctx) }) })
	})
}

// Guards against a round of polls that takes longer the more leaders are silent, or the
// more often they have failed: the host reported late that it has no leader, and used an
// old routing table meanwhile.
func TestRoundOverSilentLeadersIsShort(t *testing.T) {
	const round = 3 * peerTimeout
	for _, leaders := range []int{1, 2, 4, 9} {
		runFollower(t, leaders, func(g *WithT, _ *Catalog, m *memoryPeers, l *fakeLeadership, start func()) {
			start()
			time.Sleep(round + time.Millisecond)
			g.Expect(l.leaderlessReports.Load()).To(BeNumerically(">=", 1), "%d leaders, first round", leaders)
			for n := range 5 {
				before := l.leaderlessReports.Load()
				time.Sleep(peerPollInterval + peerTimeout + 2*time.Millisecond)
				g.Expect(l.leaderlessReports.Load()).To(BeNumerically(">", before), "%d leaders, round %d", leaders, n)
			}
			for addr, asked := range m.takeAsked() {
				g.Expect(asked).To(BeNumerically("<=", 8), "%s", addr)
			}
		})
	}
}

// Guards against messages that are multiplied when all is well, and against a full state
// that is asked of several peers because it takes its time.
func TestHealthyLeaderIsAskedAlone(t *testing.T) {
	runFollower(t, 4, func(g *WithT, _ *Catalog, m *memoryPeers, _ *fakeLeadership, start func()) {
		for i := range 4 {
			m.set("leader-"+strconv.Itoa(i), newFreshCatalog(g, 2, Options{Clock: func() time.Duration { return 0 }}))
		}
		m.slowBody.Store(int64(time.Second)) // of the first, full state
		start()
		time.Sleep(time.Second + peerStartPollInterval - time.Millisecond)
		g.Expect(m.takeAsked()).To(Equal(map[string]int{"leader-0": 1}))
		m.slowBody.Store(0)
		time.Sleep(10 * time.Second)
		g.Expect(m.takeAsked()).To(Equal(map[string]int{"leader-0": 25}))
	})
}

// Guards against an undisturbed host that answers by an old routing table for seconds,
// while two leaders are suspended and the third one has only the table and is not fresh.
func TestTableArrivesWhileLeadersAreSuspended(t *testing.T) {
	for name, revision := range map[string]uint64{"host has servers": 1, "host has a table only": 0} {
		t.Run(name, func(t *testing.T) {
			runFollower(t, 3, func(g *WithT, c *Catalog, m *memoryPeers, l *fakeLeadership, start func()) {
				c.position.Revision = revision
				stale := newFreshCatalog(g, 9, Options{})
				stale.tableHeardAt -= time.Minute
				m.set("leader-2", stale)
				limit := 2 * peerTimeout
				if revision == 0 {
					limit = 2 * peerFullStateTimeout
				}
				start()
				time.Sleep(limit + time.Millisecond)
				g.Expect(c.View().Table.Version).To(BeEquivalentTo(9))
				g.Expect(l.leaderlessReports.Load()).To(BeNumerically(">=", 1))
			})
		})
	}
}

// Guards against a host that does not follow a leader which resumes, and one that asks
// a silent peer again while it still waits for it.
func TestResumedLeaderIsFollowedAtOnce(t *testing.T) {
	var asked atomic.Int64
	runFollower(t, 2, func(g *WithT, c *Catalog, m *memoryPeers, _ *fakeLeadership, start func()) {
		start()
		time.Sleep(3 * time.Second)
		asked.Store(int64(m.takeAsked()["leader-1"]))
		m.set("leader-1", newFreshCatalog(g, 7, Options{Clock: func() time.Duration { return 0 }}))
		time.Sleep(peerFullStateTimeout + peerPollInterval + peerTimeout)
		g.Expect(c.View().Table.Version).To(BeEquivalentTo(7))
	})
	NewWithT(t).Expect(asked.Load()).To(BeNumerically("<=", 3))
}
