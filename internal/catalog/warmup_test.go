package catalog

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/history"
	"github.com/arbutusgauge/arbutusgauge/internal/ratelimit"
	"github.com/arbutusgauge/arbutusgauge/internal/routing"
)

// Guards against a replica that counts as cold after its warm-up, or as warm in it, and against
// a change for all followers with each registration in a warm-up.
func TestWarmUpsFollowTheRegistrations(t *testing.T) {
	g := NewWithT(t)
	c, err := New(Options{Source: newSource()})
	g.Expect(err).NotTo(HaveOccurred())
	table := testTable(1)
	table.Services["a"] = routing.Service{WarmupRate: 5}
	c.SetTable(table, "test")
	server, warm := newServer("i-1", "a"), newServer("i-2", "b")
	warm.WarmupLeft = time.Minute // its service has no rate
	register := func(left time.Duration) []ratelimit.WarmUp {
		server.WarmupLeft, server.Sequence = left, server.Sequence+1
		entry := server
		c.applyChanges([]ServerChange{{ID: entry.ID, Server: &entry}}, history.Position{Revision: server.Sequence})
		return c.View().WarmUps
	}
	c.applyChanges([]ServerChange{{ID: warm.ID, Server: &warm}}, history.Position{Revision: 1})
	want := func(left time.Duration, since uint64) []ratelimit.WarmUp {
		return []ratelimit.WarmUp{{Replica: server.ReplicaID(), PerSecond: 5, Left: left, Sequence: since}}
	}
	g.Expect(register(10 * time.Second)).To(Equal(want(10*time.Second, 2)))
	changes := c.changes.newest
	register(8 * time.Second)
	register(6 * time.Second)
	g.Expect(c.changes.newest).To(Equal(changes), "it goes on")
	g.Expect(register(0)).To(Equal(want(0, 5)))
	register(0)
	g.Expect(c.changes.newest).To(Equal(changes + 1))
	g.Expect(register(5*time.Second)).To(Equal(want(5*time.Second, 7)), "cold again")
	g.Expect(register(9*time.Second)).To(Equal(want(9*time.Second, 8)), "and once more, in the warm-up")

	follower, err := New(Options{Source: newSource()})
	g.Expect(err).NotTo(HaveOccurred())
	follower.SetTable(table, "test")
	follower.setServers(c.Servers(), history.Position{Revision: 9}, history.Position{})
	g.Expect(follower.View().WarmUps).To(Equal(want(9*time.Second, 8)))
}
