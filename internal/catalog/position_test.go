package catalog

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/history"
)

// at returns a position of the first era.
func at(revision uint64) history.Position { return history.Position{Era: 1, Revision: revision} }

func newCatalogAt(t *testing.T, revision uint64, servers ...Server) *Catalog {
	c, err := New(Options{Source: newSource()})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	c.SetTable(testTable(1), "test")
	c.setServers(servers, at(revision), history.Position{})
	return c
}

// Guards against a full read or a watch of the source that reverts what a peer provided
// while it ran.
func TestSlowReadDoesNotRevertAPeersState(t *testing.T) {
	g := NewWithT(t)
	stays, added := newServer("i-1", "a"), newServer("i-2", "b")
	c := newCatalogAt(t, 10, stays)
	c.applyPeerState(&peerState{Era: 1, Revision: 20, Changes: []ServerChange{{ID: "i-2", Server: &added, Revision: 15, Era: 1}}}, 0)
	c.setServers([]Server{stays}, at(12), at(10))
	g.Expect(c.Servers()).To(ConsistOf(stays, added), "full read")
	c.applyChanges([]ServerChange{{ID: "i-2", Revision: 14, Era: 1}}, at(16))
	g.Expect(c.Servers()).To(ConsistOf(stays, added), "watch")
}

// Guards against a removal that a host misses for good, because it got it with a state of
// the peer that was older than its own, and the peer had derived it itself.
func TestIgnoredStateIsAskedForAgain(t *testing.T) {
	g := NewWithT(t)
	stays, lapsed := newServer("i-1", "a"), newServer("i-2", "b")
	c := newCatalogAt(t, 10, stays, lapsed)
	state := peerState{Era: 1, Revision: 9}
	g.Expect(c.applyPeerState(&state, 0)).To(BeTrue())
	state.Changes = []ServerChange{{ID: "i-2"}}
	g.Expect(c.applyPeerState(&state, 0)).To(BeFalse())
	state.Full, state.Servers = true, []Server{stays}
	g.Expect(c.applyPeerState(&state, 0)).To(BeFalse())
	state.Servers = append(state.Servers, lapsed)
	g.Expect(c.applyPeerState(&state, 0)).To(BeTrue())
}

// Guards against a follower that keeps a server which was added and removed while the
// peer, or the one that the peer follows, skipped to a later state by a full read.
func TestFollowerAheadOfAJumpGetsTheFullState(t *testing.T) {
	g := NewWithT(t)
	c := newCatalogAt(t, 10)
	run, newest := c.changes.run, c.changes.newest
	c.applyPeerState(&peerState{Era: 1, Revision: 20, Jumped: true, asked: at(10)}, 0)
	for known, full := range map[uint64]bool{10: false, 15: true, 20: false} {
		state := c.stateSince(peerCursor{run: run, newest: newest, known: at(known)})
		g.Expect(state.Full).To(Equal(full), "follower at %d", known)
		g.Expect(state.Jumped).To(Equal(known == 10), "follower at %d", known)
	}
	for i := range uint64(3 * maxKeptJumps) {
		c.setServers(nil, at(30+i), at(20+i))
	}
	g.Expect(c.changes.jumps).To(HaveLen(maxKeptJumps))
	g.Expect(c.stateSince(peerCursor{run: run, newest: newest, known: at(15)}).Full).To(BeTrue(), "jumps are merged, not forgotten")
}

// Guards against a lapsed server that a host keeps for good, because a peer told it of the
// server as of any other one and then stopped.
func TestLapsedServerOfAPeerIsDroppedInTime(t *testing.T) {
	g := NewWithT(t)
	stays, lapsed := newServer("i-1", "a"), newServer("i-2", "b")
	c := newCatalogAt(t, 10)
	c.applyPeerState(&peerState{Era: 1, Revision: 10, Full: true, Servers: []Server{stays, lapsed}, Lapsed: []string{"i-2", "i-3"}}, 0)
	g.Expect(c.servers.dropLapsedAt).To(HaveLen(1))
	g.Expect(c.stateSince(peerCursor{}).Lapsed).To(ConsistOf("i-2"))
	// A registration ends the lapse, and is told to followers that have no such entry.
	lapsed.Sequence++
	before := c.changes.newest
	c.applyChanges([]ServerChange{{ID: "i-2", Server: &lapsed, Revision: 11, Era: 1}}, at(11))
	g.Expect(c.servers.dropLapsedAt).To(BeEmpty())
	g.Expect(c.changes.newest).To(Equal(before + 1))
}

// Guards against hosts that know different servers for good after a restoration of the
// source, because each had learned others in the era before: in the model, a server that
// was kept as lapsed by one host only, which then stopped.
func TestHostComparesWithItsPeerAfterARestoration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gone, stays := newServer("i-1", "a"), newServer("i-2", "b")
		peer := newCatalogAt(t, 10, gone, stays)
		host := newCatalogAt(t, 10, gone, stays)
		transport := &memoryPeers{peers: map[string]*Catalog{"p": peer}, asked: map[string]int{}}
		cursor := &peerCursor{peer: "p"}
		poll := func() {
			err := host.pollPeer(t.Context(), &http.Client{Transport: transport}, cursor, unlimitedAge)
			g.Expect(err).NotTo(HaveOccurred())
		}
		poll()
		restored := history.Position{Era: 2, Revision: 9}
		peer.setServers([]Server{stays}, restored, at(10))
		poll()
		peer.servers.drop(gone, time.Now()) // as if the peer had never known it
		time.Sleep(reregisterGrace)
		poll()
		g.Expect(host.Servers()).To(HaveLen(2))
		time.Sleep(time.Millisecond)
		poll()
		g.Expect(host.Servers()).To(ConsistOf(stays))
		g.Expect(host.needsFullState(cursor)).To(BeFalse(), "once is enough")
	})
}
