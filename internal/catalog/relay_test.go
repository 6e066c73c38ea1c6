package catalog

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/lead"
)

// inTime is the least time that the users allow for a configuration and for a
// server that leaves.
const inTime = 3 * time.Second

// fakeRelay names the host to follow. A host that can follow none leads after a
// moment, as one that takes a seat does.
type fakeRelay struct {
	addrs  []string
	alone  atomic.Bool // leads once no peer is left
	leads  atomic.Bool
	asked  atomic.Int64
	orphan atomic.Int64
}

func (f *fakeRelay) Leads() bool            { return f.leads.Load() }
func (f *fakeRelay) Peers() []string        { return f.addrs }
func (f *fakeRelay) Asked(string, float64)  { f.asked.Add(1) }
func (f *fakeRelay) Fleet() lead.Fleet      { return lead.Fleet{} }
func (f *fakeRelay) Learn(fleet lead.Fleet) {}
func (f *fakeRelay) Orphaned() {
	f.orphan.Add(1)
	if f.alone.Load() {
		time.AfterFunc(100*time.Millisecond, func() { f.leads.Store(true) })
	}
}

// pair is a host that follows the source and one that follows the first.
type pair struct {
	leader, follower     *Catalog
	leaderSrc, followSrc *fakeSource
	frozen               atomic.Bool // the leader does not answer
	relay                *fakeRelay  // of the follower
}

// newPair runs both in real time, because they talk over connections.
func newPair(t *testing.T) *pair {
	g := NewWithT(t)
	p := &pair{leaderSrc: newSource(), followSrc: newSource()}
	p.leaderSrc.write(1)
	p.followSrc.write(1)
	var err error
	p.leader, err = New(Options{Source: p.leaderSrc})
	g.Expect(err).NotTo(HaveOccurred())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.frozen.Load() {
			time.Sleep(2 * relayTimeout)
			return
		}
		p.leader.ServeState(w, r)
	}))
	t.Cleanup(server.Close)
	addr := strings.TrimPrefix(server.URL, "http://")
	p.relay = &fakeRelay{addrs: []string{addr}}
	p.relay.alone.Store(true)
	p.follower, err = New(Options{Source: p.followSrc, Relay: p.relay, Name: "follower"})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = p.leader.Run(ctx) })
	// A follower that finds a leader without a table follows the source itself,
	// which the tests don't want yet.
	g.Eventually(p.leader.View, "2s").ShouldNot(BeNil())
	group.Go(func() { _ = p.follower.Run(ctx) })
	t.Cleanup(group.Wait)
	t.Cleanup(cancel)
	g.Eventually(p.follower.View, "2s").ShouldNot(BeNil())
	p.forgetStart()
	return p
}

// forgetStart leaves the reads of the follower's start out of the count: a slow
// machine may give it no answer of its peer within startAlone.
func (p *pair) forgetStart() {
	time.Sleep(5 * startAlone)
	p.followSrc.set(func(s *fakeSource) { s.calls = 0 })
}

// write changes the source of both hosts.
func (p *pair) write(version uint64) { p.leaderSrc.write(version); p.followSrc.write(version) }

// Guards against calls to the source that grow with the hosts, and against
// changes that a host misses because it does not follow the source itself.
func TestFollowerLearnsFromItsPeerAlone(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPair(t)
	s := server("i-1", "a")
	p.leaderSrc.put(s)
	p.leaderSrc.put(server("i-2", "b"))
	g.Eventually(func() int { return len(replicas(p.follower)) }, inTime).Should(Equal(2))
	s.Draining, s.Sequence = true, 2
	p.leaderSrc.put(s)
	p.leaderSrc.remove("i-2")
	p.leaderSrc.write(4)
	g.Eventually(func() int { return len(replicas(p.follower)) }, inTime).Should(BeZero())
	g.Eventually(func() uint64 { return p.follower.View().Table.Version }, inTime).Should(BeEquivalentTo(4))
	p.followSrc.set(func(s *fakeSource) { g.Expect(s.calls).To(BeZero()) })
}

// Guards against hosts that believe an old state because the host that they
// follow is cut off from the source, frozen or gone.
func TestFollowerFollowsTheSourceWhenItsPeerFails(t *testing.T) {
	for name, fail := range map[string]func(p *pair){
		"cut off": func(p *pair) { p.leaderSrc.set(func(s *fakeSource) { s.err = sourceError{} }) },
		"frozen":  func(p *pair) { p.frozen.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			p := newPair(t)
			time.Sleep(relayPace)
			fail(p)
			p.write(9)
			p.followSrc.put(server("i-9", "a"))
			g.Eventually(func() uint64 { return p.follower.View().Table.Version }, inTime-relayPace).Should(BeEquivalentTo(9))
			g.Eventually(func() int { return len(replicas(p.follower)) }, inTime-relayPace).Should(Equal(1))
		})
	}
}

// Guards against changes that are lost when a peer has changed too much since,
// or has started again.
func TestPositionOutsideTheLogGetsEverything(t *testing.T) {
	g := NewWithT(t)
	c, err := New(Options{Source: newSource()})
	g.Expect(err).NotTo(HaveOccurred())
	c.SetTable(testTable(1), "test")
	for i := range 3 * keptChanges {
		s := server("i-1", "a")
		s.Sequence, s.Draining = uint64(i+1), i%2 == 0
		c.apply([]ServerChange{{ID: "i-1", Server: &s, Revision: uint64(i + 1)}}, uint64(i+1))
	}
	run, next := c.changes.run, c.changes.next
	g.Expect(c.stateAfter(position{run: run, next: next}).Changes).To(BeEmpty())
	g.Expect(c.stateAfter(position{run: run, next: next}).Full).To(BeFalse())
	g.Expect(c.stateAfter(position{run: run, next: next - 5}).Changes).To(HaveLen(5))
	g.Expect(c.stateAfter(position{run: run, next: 1}).Full).To(BeTrue())
	g.Expect(c.stateAfter(position{run: run + 1, next: next}).Full).To(BeTrue())
	g.Expect(c.stateAfter(position{run: run, next: next + 1}).Full).To(BeTrue())
	g.Expect(len(c.changes.changes)).To(BeNumerically("<=", 2*keptChanges))
}

// Guards against an absence of the source that seems to last while a peer is
// followed, after which leaving servers were kept as if their entries had lapsed.
func TestAbsenceEndsWithAnAnswerOfThePeer(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPair(t)
	p.follower.lost(sourceError{})
	away := func() bool {
		p.follower.mu.Lock()
		defer p.follower.mu.Unlock()
		return !p.follower.servers.awaySince.IsZero()
	}
	g.Expect(away()).To(BeTrue())
	g.Eventually(away, "2s").Should(BeFalse())
}

// serveCatalog serves the state of a catalog at an address.
func serveCatalog(t *testing.T, c *Catalog) string {
	server := httptest.NewServer(http.HandlerFunc(c.ServeState))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against hosts that go to the source, each for itself, while another
// followed host still has fresh knowledge.
func TestFollowerTurnsToAnotherPeer(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPair(t)
	other, err := New(Options{Source: p.leaderSrc})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = other.Run(ctx) }()
	g.Eventually(other.View, "2s").ShouldNot(BeNil())
	relay := &fakeRelay{addrs: []string{"127.0.0.1:1", serveCatalog(t, other)}}
	follower, err := New(Options{Source: p.followSrc, Relay: relay})
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = follower.Run(ctx) }()
	g.Eventually(follower.View, "2s").ShouldNot(BeNil())
	p.forgetStart()
	p.leaderSrc.write(7)
	g.Eventually(func() uint64 { return follower.View().Table.Version }, inTime).Should(BeEquivalentTo(7))
	g.Expect(relay.orphan.Load()).To(BeZero())
	p.followSrc.set(func(s *fakeSource) { g.Expect(s.calls).To(BeZero()) })
}

// Guards against a peer that is behind and takes away what a host has learned
// elsewhere: a server that it does not list yet, or brings back one that left.
func TestPeerThatIsBehindChangesNothing(t *testing.T) {
	g := NewWithT(t)
	c, err := New(Options{Source: newSource()})
	g.Expect(err).NotTo(HaveOccurred())
	c.SetTable(testTable(1), "test")
	left, stays := server("i-1", "a"), server("i-2", "b")
	c.setServers([]Server{left, stays}, 10)
	c.apply([]ServerChange{{ID: "i-1", Revision: 11}}, 11)
	c.takeState(&state{Revision: 9, Full: true, Servers: []Server{left}}, 0)
	g.Expect(replicas(c)).To(ConsistOf(stays.Replica()))
	again := left
	again.Born = 2
	c.apply([]ServerChange{{ID: "i-1", Server: &again, Revision: 12}}, 12)
	// It reports the departure that this host knows, and one that is new.
	c.takeState(&state{Revision: 13, Changes: []ServerChange{{ID: "i-1", Revision: 11}, {ID: "i-2", Revision: 13}}}, 0)
	g.Expect(replicas(c)).To(ConsistOf(again.Replica()))
	// A conclusion of the peer has no revision and always counts.
	c.takeState(&state{Revision: 13, Changes: []ServerChange{{ID: "i-1"}}}, 0)
	g.Expect(replicas(c)).To(BeEmpty())
}

// Guards against a host that wakes up from a suspension and passes its old
// knowledge on as fresh.
func TestSuspensionAgesWhatAHostKnows(t *testing.T) {
	g := NewWithT(t)
	var clock atomic.Int64
	c, err := New(Options{Source: newSource(), Clock: func() time.Duration { return time.Duration(clock.Load()) }})
	g.Expect(err).NotTo(HaveOccurred())
	c.SetTable(testTable(1), "test")
	g.Expect(c.fresh()).To(BeFalse(), "nothing was heard yet")
	c.heardOfTable()
	c.setServers(nil, 1)
	g.Expect(c.fresh()).To(BeTrue())
	clock.Add(int64(5 * time.Second)) // the steady clock stands still meanwhile
	g.Expect(c.fresh()).To(BeFalse())
	g.Expect(c.stateAfter(position{}).Age).To(Equal(5 * time.Second))
}

// Guards against hosts that start together and wait for one of them to lead
// before they know a table: found as the worst seconds after a power loss.
func TestHostThatStartsAloneReadsTheSource(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	src := newSource()
	src.write(4)
	src.put(server("i-1", "a"))
	c, err := New(Options{Source: src, Relay: &fakeRelay{}})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = c.Run(ctx) }()
	g.Eventually(func() int {
		if c.View() == nil {
			return 0
		}
		return len(replicas(c))
	}, "200ms", "5ms").Should(Equal(1))
	time.Sleep(time.Second)
	src.set(func(s *fakeSource) { g.Expect(s.calls).To(Equal(2)) })
}
