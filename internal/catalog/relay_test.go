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

	"github.com/arbutusgauge/arbutusgauge/internal/history"
	"github.com/arbutusgauge/arbutusgauge/internal/lead"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// maxDelay is the time within which users require that a new routing table and
// the removal of a server take effect.
const maxDelay = 3 * time.Second

// fakeLeadership is a Leadership with fixed peers. With leadsWhenLeaderless, the
// host leads 100 ms after it found no fresh peer, like a host that takes a seat.
type fakeLeadership struct {
	addrs               []string
	others              atomic.Pointer[[]string]
	leadsWhenLeaderless atomic.Bool
	leads               atomic.Bool
	followerPolls       atomic.Int64
	leaderlessReports   atomic.Int64
}

func (f *fakeLeadership) Reads() bool           { return f.leads.Load() }
func (f *fakeLeadership) Leads() bool           { return f.leads.Load() }
func (f *fakeLeadership) Peers() []string       { return f.addrs }
func (f *fakeLeadership) SampleHosts() []string { return nil }
func (f *fakeLeadership) LearnHosts([]string)   {}
func (f *fakeLeadership) LearnSeats(lead.Fleet) {}
func (f *fakeLeadership) RecordFollower(string, string, float64) {
	f.followerPolls.Add(1)
}
func (f *fakeLeadership) Fleet() lead.Fleet           { return lead.Fleet{} }
func (f *fakeLeadership) AdoptFleet(fleet lead.Fleet) {}
func (f *fakeLeadership) ReportLeaderless() {
	f.leaderlessReports.Add(1)
	if f.leadsWhenLeaderless.Load() {
		time.AfterFunc(100*time.Millisecond, func() { f.leads.Store(true) })
	}
}

// setOthers sets the addresses of the hosts that do not lead.
func (f *fakeLeadership) setOthers(addrs ...string) { f.others.Store(&addrs) }

func (f *fakeLeadership) OtherPeers() []string {
	if others := f.others.Load(); others != nil {
		return *others
	}
	return nil
}

// hostPair is a host that reads the source and a host that follows the first
// one.
type hostPair struct {
	leader, follower             *Catalog
	leaderSource, followerSource *fakeSource
	frozen                       atomic.Bool // the leader does not answer polls
	followerLeadership           *fakeLeadership
}

// newHostPair runs both hosts in real time, because they use network connections.
func newHostPair(t *testing.T) *hostPair {
	g := NewWithT(t)
	p := &hostPair{leaderSource: newSource(), followerSource: newSource()}
	p.leaderSource.putTable(1)
	p.followerSource.putTable(1)
	var err error
	p.leader, err = New(Options{Source: p.leaderSource})
	g.Expect(err).NotTo(HaveOccurred())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.frozen.Load() {
			time.Sleep(2 * peerTimeout)
			return
		}
		p.leader.ServeState(w, r)
	}))
	t.Cleanup(server.Close)
	addr := strings.TrimPrefix(server.URL, "http://")
	p.followerLeadership = &fakeLeadership{addrs: []string{addr}}
	p.followerLeadership.leadsWhenLeaderless.Store(true)
	p.follower, err = New(Options{Source: p.followerSource, Leadership: p.followerLeadership, HostName: "follower"})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = p.leader.Run(ctx) })
	// A follower that finds a leader without a table reads the source itself,
	// which these tests must avoid.
	g.Eventually(p.leader.View, "2s").ShouldNot(BeNil())
	group.Go(func() { _ = p.follower.Run(ctx) })
	t.Cleanup(group.Wait)
	t.Cleanup(cancel)
	g.Eventually(p.follower.View, "2s").ShouldNot(BeNil())
	p.resetCallCount()
	return p
}

// resetCallCount excludes the reads at the follower's start: on a slow machine
// its peer may not answer within peerStartWait.
func (p *hostPair) resetCallCount() {
	time.Sleep(5 * peerStartWait)
	p.followerSource.set(func(s *fakeSource) { s.calls = 0 })
}

// putTable writes a routing table to the sources of both hosts.
func (p *hostPair) putTable(version uint64) {
	p.leaderSource.putTable(version)
	p.followerSource.putTable(version)
}

// Guards against calls to the source that grow with the number of hosts, and
// against changes that a follower misses.
func TestFollowerMakesNoSourceCalls(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newHostPair(t)
	s := newServer("i-1", "a")
	p.leaderSource.putServer(s)
	p.leaderSource.putServer(newServer("i-2", "b"))
	g.Eventually(func() int { return len(replicaIDs(p.follower)) }, maxDelay).Should(Equal(2))
	s.Draining, s.Sequence = true, 2
	p.leaderSource.putServer(s)
	p.leaderSource.removeServers("i-2")
	p.leaderSource.putTable(4)
	g.Eventually(func() int { return len(replicaIDs(p.follower)) }, maxDelay).Should(BeZero())
	g.Eventually(func() uint64 { return p.follower.View().Table.Version }, maxDelay).Should(BeEquivalentTo(4))
	p.followerSource.set(func(s *fakeSource) { g.Expect(s.calls).To(BeZero()) })
}

// Guards against followers that keep an old state because the host that they
// follow is cut off from the source or frozen.
func TestFollowerReadsSourceWhenPeerFails(t *testing.T) {
	for name, fail := range map[string]func(p *hostPair){
		"cut off": func(p *hostPair) { p.leaderSource.set(func(s *fakeSource) { s.err = sourceError{} }) },
		"frozen":  func(p *hostPair) { p.frozen.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			p := newHostPair(t)
			time.Sleep(peerPollInterval)
			fail(p)
			p.putTable(9)
			p.followerSource.putServer(newServer("i-9", "a"))
			g.Eventually(func() uint64 { return p.follower.View().Table.Version }, maxDelay-peerPollInterval).Should(BeEquivalentTo(9))
			g.Eventually(func() int { return len(replicaIDs(p.follower)) }, maxDelay-peerPollInterval).Should(Equal(1))
		})
	}
}

// Guards against requests that are refused as an older table says, and servers that are
// used after they left, at a host that the source refuses and whose leader is behind,
// while a host that does not lead has the newer state. The host must go on looking for
// a leader meanwhile.
func TestRefusedHostLearnsFromAHostThatDoesNotLead(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newHostPair(t)
	p.followerLeadership.leadsWhenLeaderless.Store(false)
	left := newServer("i-1", "a")
	p.leaderSource.putServer(left)
	g.Eventually(func() int { return len(replicaIDs(p.follower)) }, maxDelay).Should(Equal(1))
	other, err := New(Options{Source: newSource()})
	g.Expect(err).NotTo(HaveOccurred())
	other.SetTable(testTable(9), "test")
	other.noteTableAnswer()
	other.setServers([]Server{newServer("i-2", "a")}, history.Position{Revision: 100}, history.Position{})
	p.followerLeadership.setOthers(serveCatalog(t, other))
	for _, source := range []*fakeSource{p.leaderSource, p.followerSource} {
		source.set(func(s *fakeSource) { s.err = sourceError{} })
	}
	g.Eventually(func() uint64 { return p.follower.View().Table.Version }, maxDelay).Should(BeEquivalentTo(9))
	g.Expect(replicaIDs(p.follower)).NotTo(ContainElement(left.ReplicaID()))
	g.Expect(p.followerLeadership.leaderlessReports.Load()).To(BeNumerically(">", 0))
}

// Guards against a newer table that a host ignores because the peer that has it lost
// the source, and against a host that begins with the state of such a peer.
func TestStalePeerGivesWhatIsNewer(t *testing.T) {
	g := NewWithT(t)
	stale, err := New(Options{Source: newSource()})
	g.Expect(err).NotTo(HaveOccurred())
	stale.SetTable(testTable(5), "test")
	stale.setServers(nil, history.Position{Revision: 9}, history.Position{})
	stale.tableHeardAt -= 3 * time.Second
	for name, knowsNothing := range map[string]bool{"knows an older table": false, "knows nothing": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			host, err := New(Options{Source: newSource()})
			g.Expect(err).NotTo(HaveOccurred())
			if !knowsNothing {
				host.SetTable(testTable(4), "test")
				host.setServers([]Server{newServer("i-1", "a")}, history.Position{Revision: 8}, history.Position{})
			}
			p := newPeerSet()
			err = host.pollPeer(t.Context(), p.client, p.cursor(serveCatalog(t, stale)), maxPeerStateAge)
			g.Expect(err).To(BeAssignableToTypeOf(&StaleStateError{}))
			if knowsNothing {
				g.Expect(host.View()).To(BeNil())
				return
			}
			g.Expect(host.View().Table.Version).To(BeEquivalentTo(5))
			g.Expect(host.Servers()).To(BeEmpty())
		})
	}
}

// Guards against lost changes when the peer has dropped changes after the
// cursor from its log, or has restarted.
func TestCursorOutsideChangeLogGetsFullState(t *testing.T) {
	g := NewWithT(t)
	c, err := New(Options{Source: newSource()})
	g.Expect(err).NotTo(HaveOccurred())
	c.SetTable(testTable(1), "test")
	for i := range 3 * maxKeptChanges {
		s := newServer("i-1", "a")
		s.Sequence, s.Draining = uint64(i+1), i%2 == 0
		c.applyChanges([]ServerChange{{ID: "i-1", Server: &s, Revision: uint64(i + 1)}}, history.Position{Revision: uint64(i + 1)})
	}
	run, newest := c.changes.run, c.changes.newest
	g.Expect(c.stateSince(peerCursor{run: run, newest: newest}).Changes).To(BeEmpty())
	g.Expect(c.stateSince(peerCursor{run: run, newest: newest}).Full).To(BeFalse())
	g.Expect(c.stateSince(peerCursor{run: run, newest: newest - 5}).Changes).To(HaveLen(5))
	g.Expect(c.stateSince(peerCursor{run: run, newest: 1}).Full).To(BeTrue())
	g.Expect(c.stateSince(peerCursor{run: run + 1, newest: newest}).Full).To(BeTrue())
	g.Expect(c.stateSince(peerCursor{run: run, newest: newest + 1}).Full).To(BeTrue())
	g.Expect(len(c.changes.changes)).To(BeNumerically("<=", 2*maxKeptChanges))
}

// Guards against an outage of the source that stays recorded while a peer is
// followed: removed servers were then kept as if their entries had lapsed.
func TestPeerAnswerEndsSourceOutage(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newHostPair(t)
	p.follower.noteSourceError(sourceError{})
	away := func() bool {
		p.follower.mu.Lock()
		defer p.follower.mu.Unlock()
		return !p.follower.servers.sourceLostAt.IsZero()
	}
	g.Expect(away()).To(BeTrue())
	g.Eventually(away, "2s").Should(BeFalse())
}

// serveCatalog serves the state of a catalog and returns its address.
func serveCatalog(t *testing.T, c *Catalog) string {
	server := httptest.NewServer(http.HandlerFunc(c.ServeState))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against followers that each read the source although another peer still
// has a fresh state.
func TestFollowerFailsOverToAnotherPeer(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newHostPair(t)
	other, err := New(Options{Source: p.leaderSource})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = other.Run(ctx) }()
	g.Eventually(other.View, "2s").ShouldNot(BeNil())
	leadership := &fakeLeadership{addrs: []string{"127.0.0.1:1", serveCatalog(t, other)}}
	follower, err := New(Options{Source: p.followerSource, Leadership: leadership})
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = follower.Run(ctx) }()
	g.Eventually(follower.View, "2s").ShouldNot(BeNil())
	p.resetCallCount()
	p.leaderSource.putTable(7)
	g.Eventually(func() uint64 { return follower.View().Table.Version }, maxDelay).Should(BeEquivalentTo(7))
	g.Expect(leadership.leaderlessReports.Load()).To(BeZero())
	p.followerSource.set(func(s *fakeSource) { g.Expect(s.calls).To(BeZero()) })
}

// Guards against a stale peer state that removes a server that the peer does not
// know yet, or adds one that was removed.
func TestStalePeerStateIsIgnored(t *testing.T) {
	g := NewWithT(t)
	c, err := New(Options{Source: newSource()})
	g.Expect(err).NotTo(HaveOccurred())
	c.SetTable(testTable(1), "test")
	left, stays := newServer("i-1", "a"), newServer("i-2", "b")
	c.setServers([]Server{left, stays}, history.Position{Revision: 10}, history.Position{})
	c.applyChanges([]ServerChange{{ID: "i-1", Revision: 11}}, history.Position{Revision: 11})
	c.applyPeerState(&peerState{Revision: 9, Full: true, Servers: []Server{left}}, 0)
	g.Expect(replicaIDs(c)).To(ConsistOf(stays.ReplicaID()))
	again := left
	again.Born = 2
	c.applyChanges([]ServerChange{{ID: "i-1", Server: &again, Revision: 12}}, history.Position{Revision: 12})
	// The peer reports a removal that this host knows already, and a new one.
	c.applyPeerState(&peerState{Revision: 13, Changes: []ServerChange{{ID: "i-1", Revision: 11}, {ID: "i-2", Revision: 13}}}, 0)
	g.Expect(replicaIDs(c)).To(ConsistOf(again.ReplicaID()))
	// A removal that the peer derived itself has no revision and always applies.
	c.applyPeerState(&peerState{Revision: 13, Changes: []ServerChange{{ID: "i-1"}}}, 0)
	g.Expect(replicaIDs(c)).To(BeEmpty())
}

// Guards against a host that passes on an old state as fresh after it was
// suspended.
func TestSuspensionMakesStateStale(t *testing.T) {
	g := NewWithT(t)
	var clock atomic.Int64
	c, err := New(Options{Source: newSource(), Clock: func() time.Duration { return time.Duration(clock.Load()) }})
	g.Expect(err).NotTo(HaveOccurred())
	c.SetTable(testTable(1), "test")
	g.Expect(c.isFresh()).To(BeFalse(), "the source has not answered yet")
	c.noteTableAnswer()
	c.setServers(nil, history.Position{Revision: 1}, history.Position{})
	g.Expect(c.isFresh()).To(BeTrue())
	clock.Add(int64(5 * time.Second)) // Go's monotonic clock stops during a suspension
	g.Expect(c.isFresh()).To(BeFalse())
	g.Expect(c.stateSince(peerCursor{}).Age).To(Equal(5 * time.Second))
}

// Guards against hosts that start together and have no table until one of them
// leads, which delayed the first answers after a power loss.
func TestStartingHostWithoutPeersReadsSource(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	src := newSource()
	src.putTable(4)
	src.putServer(newServer("i-1", "a"))
	c, err := New(Options{Source: src, Leadership: &fakeLeadership{}})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = c.Run(ctx) }()
	g.Eventually(func() int {
		if c.View() == nil {
			return 0
		}
		return len(replicaIDs(c))
	}, "200ms", "5ms").Should(Equal(1))
	time.Sleep(time.Second)
	src.set(func(s *fakeSource) { g.Expect(s.calls).To(Equal(2)) })
}

// Guards against a server that has left and a table that was replaced, in use again
// after the restart of a host whose first seed is behind, and against a host that
// does not start at all when every seed is behind.
func TestRestartPrefersAFreshSeed(t *testing.T) {
	for name, freshSeed := range map[string]bool{"one is fresh": true, "all are behind": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			left, stays := newServer("i-1", "a"), newServer("i-2", "a")
			behind, err := New(Options{Source: newSource()})
			g.Expect(err).NotTo(HaveOccurred())
			behind.SetTable(testTable(1), "test")
			behind.setServers([]Server{left, stays}, history.Position{Revision: 10}, history.Position{})
			behind.mu.Lock()
			behind.tableHeardAt -= time.Minute
			behind.mu.Unlock()
			fresh, err := New(Options{Source: newSource()})
			g.Expect(err).NotTo(HaveOccurred())
			fresh.SetTable(testTable(2), "test")
			fresh.noteTableAnswer()
			fresh.setServers([]Server{stays}, history.Position{Revision: 20}, history.Position{})
			seeds := []string{serveCatalog(t, behind), "127.0.0.1:1"}
			if freshSeed {
				seeds = append(seeds, serveCatalog(t, fresh))
			}
			restarted, err := New(Options{Source: newSource()})
			g.Expect(err).NotTo(HaveOccurred())
			go func() { _ = restarted.StartFromPeers(t.Context(), seeds) }()
			g.Eventually(restarted.View, "3s").ShouldNot(BeNil())
			if !freshSeed {
				g.Expect(restarted.View().Table.Version).To(BeEquivalentTo(1))
				return
			}
			g.Expect(restarted.View().Table.Version).To(BeEquivalentTo(2))
			g.Eventually(func() []wire.ReplicaID { return replicaIDs(restarted) }, "1s").Should(ConsistOf(stays.ReplicaID()))
		})
	}
}

// Guards against followers that order the states of a peer by revision alone: after a
// restoration of the source the revisions are lower, and each change was lost.
func TestStateOfALaterEraIsNewer(t *testing.T) {
	g := NewWithT(t)
	c, err := New(Options{Source: newSource()})
	g.Expect(err).NotTo(HaveOccurred())
	c.SetTable(testTable(1), "test")
	left, stays := newServer("i-1", "a"), newServer("i-2", "b")
	c.setServers([]Server{left, stays}, history.Position{Era: 1, Revision: 60}, history.Position{})
	c.applyPeerState(&peerState{Era: 2, Revision: 19, Changes: []ServerChange{{ID: "i-1", Revision: 19, Era: 2}}}, 0)
	g.Expect(replicaIDs(c)).To(ConsistOf(stays.ReplicaID()))
	// The state of a host that has not seen the restoration yet is older.
	c.applyPeerState(&peerState{Era: 1, Revision: 70, Changes: []ServerChange{{ID: "i-2", Revision: 70, Era: 1}}}, 0)
	g.Expect(replicaIDs(c)).To(ConsistOf(stays.ReplicaID()))
	// A host of an earlier version states no era.
	c.applyPeerState(&peerState{Revision: 20, Changes: []ServerChange{{ID: "i-2", Revision: 20}}}, 0)
	g.Expect(replicaIDs(c)).To(BeEmpty())
}

// lateLeadership is a Leadership that finds the peers some time after the start, as a
// host does that reads the seats.
type lateLeadership struct {
	fakeLeadership
	foundAt time.Time
}

func (f *lateLeadership) Peers() []string {
	if time.Now().Before(f.foundAt) {
		return nil
	}
	return f.addrs
}

// Guards against a starting host that uses the older table of a restored source, and
// knows no rate limits, for a whole poll interval after it could have asked a peer.
func TestStartingHostAsksAPeerAsSoonAsItKnowsOne(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	leader, err := New(Options{Source: newSource()})
	g.Expect(err).NotTo(HaveOccurred())
	leader.SetTable(testTable(5), "test")
	leader.noteTableAnswer()
	leader.setServers(nil, history.Position{Revision: 1}, history.Position{})

	restored := newSource()
	restored.putTable(3)
	leadership := &lateLeadership{fakeLeadership: fakeLeadership{addrs: []string{serveCatalog(t, leader)}}, foundAt: time.Now().Add(100 * time.Millisecond)}
	starting, err := New(Options{Source: restored, Leadership: leadership})
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = starting.Run(t.Context()) }()
	g.Eventually(func() uint64 {
		if starting.View() == nil {
			return 0
		}
		return starting.View().Table.Version
	}, "300ms", "5ms").Should(BeEquivalentTo(5))
}
