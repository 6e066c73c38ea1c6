package catalog

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/arbutusgauge/arbutusgauge/internal/fixedseed"
	"github.com/arbutusgauge/arbutusgauge/internal/history"
	"github.com/arbutusgauge/arbutusgauge/internal/routing"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

func TestMain(m *testing.M) {
	fixedseed.Parse()
	m.Run()
}

// fakeSource is a Source in memory.
type fakeSource struct {
	mu          sync.Mutex
	revision    uint64
	table       *routing.Table
	tableRev    uint64
	log         []loggedChange
	servers     map[string]Server
	err         error // returned by every call if set
	historyGone bool  // the next watch of the servers fails with *HistoryGoneError
	calls       int   // reads, without watches
	// evacuated are the evacuations in force, evacuations all their changes.
	evacuated   map[string]bool
	evacuations []loggedEvacuation
	// tableHistoryGone makes the next watch of the table fail with *HistoryGoneError.
	tableHistoryGone bool
}

type loggedChange struct {
	ServerChange
	revision uint64
}

type loggedEvacuation struct {
	Evacuation
	revision uint64
}

type sourceError struct{}

func (sourceError) Error() string { return "source unavailable" }

func newSource() *fakeSource { return &fakeSource{revision: 1, servers: map[string]Server{}} }

// set changes the source under its lock.
func (s *fakeSource) set(change func(*fakeSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeSource) putTable(version uint64) {
	s.set(func(s *fakeSource) { s.revision++; s.table, s.tableRev = testTable(version), s.revision })
}

func (s *fakeSource) putServer(server Server) {
	s.set(func(s *fakeSource) {
		s.revision++
		s.servers[server.ID] = server
		s.log = append(s.log, loggedChange{ServerChange{ID: server.ID, Server: &server, Revision: s.revision}, s.revision})
	})
}

func (s *fakeSource) removeServers(ids ...string) {
	s.set(func(s *fakeSource) {
		for _, id := range ids {
			s.revision++
			delete(s.servers, id)
			s.log = append(s.log, loggedChange{ServerChange{ID: id, Revision: s.revision}, s.revision})
		}
	})
}

// readTable returns a copy of the table: each read of a source decodes a table of
// its own, and the reader builds an index in it. The caller holds mu.
func (s *fakeSource) readTable() *routing.Table {
	if s.table == nil {
		return nil
	}
	table := *s.table
	return &table
}

// position returns the newest position. The caller holds mu.
func (s *fakeSource) position() history.Position { return history.Position{Revision: s.revision} }

func (s *fakeSource) countCall() error {
	s.calls++
	return s.err
}

func (s *fakeSource) Table(context.Context) (OperatorEntries, history.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := OperatorEntries{Table: s.readTable()}
	for name := range s.evacuated {
		entries.Evacuations = append(entries.Evacuations, Evacuation{DataCentre: name})
	}
	return entries, s.position(), s.countCall()
}

func (s *fakeSource) WatchTable(ctx context.Context, after history.Position, wait time.Duration) (OperatorEntries, history.Position, error) {
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		var entries OperatorEntries
		position, err := s.position(), s.err
		if s.tableRev > after.Revision {
			entries.Table = s.readTable()
		}
		for _, change := range s.evacuations {
			if change.revision > after.Revision {
				entries.Evacuations = append(entries.Evacuations, change.Evacuation)
			}
		}
		gone := s.tableHistoryGone
		s.tableHistoryGone = false
		s.mu.Unlock()
		switch {
		case gone:
			return OperatorEntries{}, history.Position{}, &HistoryGoneError{After: after}
		case err != nil:
			return OperatorEntries{}, history.Position{}, err
		case entries.Table != nil || len(entries.Evacuations) > 0 || !time.Now().Before(end):
			return entries, position, nil
		case ctx.Err() != nil:
			return OperatorEntries{}, history.Position{}, ctx.Err()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *fakeSource) Servers(context.Context) (ServerList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := ServerList{From: s.position(), To: s.position()}
	for _, server := range s.servers {
		list.Servers = append(list.Servers, server)
	}
	return list, s.countCall()
}

func (s *fakeSource) WatchServers(ctx context.Context, after history.Position, wait time.Duration) (ServerChanges, error) {
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		changes := ServerChanges{Position: s.position()}
		for _, c := range s.log {
			if c.revision > after.Revision {
				changes.Changes = append(changes.Changes, c.ServerChange)
			}
		}
		err, gone := s.err, s.historyGone
		s.historyGone = false
		s.mu.Unlock()
		switch {
		case err != nil:
			return ServerChanges{}, err
		case gone:
			return ServerChanges{}, &HistoryGoneError{After: after}
		case len(changes.Changes) > 0 || !time.Now().Before(end):
			return changes, nil
		case ctx.Err() != nil:
			return ServerChanges{}, ctx.Err()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func testTable(version uint64) *routing.Table {
	return &routing.Table{
		Version:  version,
		Services: map[string]routing.Service{"a": {MaxConnections: 26}, "b": {MaxConnections: 26}},
		Routes: []routing.Route{{
			Name: "sweep", Host: "h", Prefix: "/", Repeatable: true, Timeout: time.Second,
			LatencyGoal: 200 * time.Millisecond, MaxAttempts: 2, Shards: []string{"b", "a"}, LeastCoverage: 0.5,
		}},
	}
}

func newServer(id, service string) Server {
	return Server{ID: id, Born: 1, Service: service, Addr: "127.0.0.1:80", DataCentre: "badin", Slots: 2, Sequence: 1}
}

// runCatalog runs a catalog on a source in virtual time, and f after one second.
func runCatalog(t *testing.T, s *fakeSource, f func(g *WithT, c *Catalog)) {
	synctest.Test(t, func(t *testing.T) {
		c, err := New(Options{Source: s, ExtraLoad: 0.16, ExtraBurst: 48})
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { _ = c.Run(ctx) })
		time.Sleep(time.Second)
		f(NewWithT(t), c)
		cancel()
		group.Wait()
	})
}

// replicaIDs returns the replicas of the merged service in the current view.
func replicaIDs(c *Catalog) []wire.ReplicaID {
	var out []wire.ReplicaID
	for _, shard := range c.View().Config.Services[ServiceName([]string{"a", "b"})].Shards {
		for _, r := range shard.Replicas {
			out = append(out, r.Addr)
		}
	}
	return out
}

// Guards against a draining or removed server that stays in the configuration
// for longer than the 3 s after the write to the store that users allow.
func TestDrainingAndRemovedServersLoseReplicasInTime(t *testing.T) {
	s := newSource()
	s.putTable(1)
	s.putServer(newServer("i-1", "a"))
	s.putServer(newServer("i-2", "b"))
	runCatalog(t, s, func(g *WithT, c *Catalog) {
		g.Expect(replicaIDs(c)).To(HaveLen(2))
		draining := newServer("i-1", "a")
		draining.Draining, draining.Sequence = true, 2
		s.putServer(draining)
		s.removeServers("i-2")
		time.Sleep(2 * time.Second)
		g.Expect(replicaIDs(c)).To(BeEmpty())
	})
}

// Guards against a removed server that is kept as lapsed after a single failed
// call to the source (mix --seed 432957751425).
func TestRemovedServerIsDroppedAfterOneFailedCall(t *testing.T) {
	s := newSource()
	s.putTable(1)
	s.putServer(newServer("i-1", "a"))
	runCatalog(t, s, func(g *WithT, c *Catalog) {
		s.set(func(s *fakeSource) { s.err = sourceError{} })
		time.Sleep(400 * time.Millisecond)
		s.set(func(s *fakeSource) { s.err = nil })
		s.removeServers("i-1")
		time.Sleep(2 * time.Second)
		g.Expect(replicaIDs(c)).To(BeEmpty())
	})
}

// Guards against dropping live servers whose entries lapsed during an outage of
// the store, and against keeping dead ones after the grace period.
func TestLapsedEntriesAreKeptForGracePeriod(t *testing.T) {
	s := newSource()
	s.putTable(1)
	s.putServer(newServer("i-1", "a"))
	s.putServer(newServer("i-2", "b"))
	runCatalog(t, s, func(g *WithT, c *Catalog) {
		s.set(func(s *fakeSource) { s.err = sourceError{} })
		time.Sleep(5 * time.Second)
		g.Expect(replicaIDs(c)).To(HaveLen(2), "known servers are kept during the outage")
		s.removeServers("i-1", "i-2")
		s.set(func(s *fakeSource) { s.err = nil })
		time.Sleep(1500 * time.Millisecond)
		g.Expect(replicaIDs(c)).To(HaveLen(2))
		back := newServer("i-1", "a")
		back.Sequence = 9
		s.putServer(back)
		time.Sleep(4 * time.Second)
		g.Expect(replicaIDs(c)).To(ConsistOf(back.ReplicaID()), "the server that did not register again is dropped")
	})
}

// Guards against keeping servers whose removal is in a part of the history that
// the source no longer holds.
func TestHistoryGoneCausesFullRead(t *testing.T) {
	s := newSource()
	s.putTable(1)
	s.putServer(newServer("i-1", "a"))
	s.putServer(newServer("i-2", "b"))
	runCatalog(t, s, func(g *WithT, c *Catalog) {
		s.set(func(s *fakeSource) { s.historyGone = true; delete(s.servers, "i-1"); s.log = nil })
		time.Sleep(2500 * time.Millisecond)
		g.Expect(replicaIDs(c)).To(HaveLen(1))
	})
}

// Guards against a late adoption of a routing table and against a return to an
// older one.
func TestNewerTableIsAdoptedAndOlderIgnored(t *testing.T) {
	s := newSource()
	s.putTable(5)
	runCatalog(t, s, func(g *WithT, c *Catalog) {
		g.Expect(c.View().Table.Version).To(BeEquivalentTo(5))
		s.putTable(9)
		time.Sleep(100 * time.Millisecond)
		g.Expect(c.View().Table.Version).To(BeEquivalentTo(9))
		s.putTable(7)
		time.Sleep(5 * time.Second)
		g.Expect(c.View().Table.Version).To(BeEquivalentTo(9))
		g.Expect(c.SetTable(testTable(9), "peer")).To(BeFalse())
	})
}

// Guards against a watch on a silent connection that delays a change for longer
// than the 3 s that users allow.
func TestDefaultWaitsStayBelowThreeSeconds(t *testing.T) {
	o := Options{Source: newSource()}
	g := NewWithT(t)
	g.Expect(o.Validate()).To(Succeed())
	g.Expect(o.TableWait + o.CallTimeout + o.RetryPause).To(BeNumerically("<", 3*time.Second))
	g.Expect(o.ServersPace + o.CallTimeout).To(BeNumerically("<", 3*time.Second))
}

// Guards against exceeding the connection limit of a replica, or the budget of
// retries and hedges, by all hosts together.
func TestHostsShareConnectionsAndBudget(t *testing.T) {
	s := newSource()
	s.putTable(1)
	s.putServer(newServer("i-1", "a"))
	runCatalog(t, s, func(g *WithT, c *Catalog) {
		for _, hosts := range []int{1, 3, 8, 13, 26} {
			c.SetShare(Share{Hosts: hosts})
			service := c.View().Config.Services[ServiceName([]string{"a", "b"})]
			g.Expect(int(service.MaxConnections) / 2 * hosts).To(BeNumerically("<=", 26))
			g.Expect(int(service.ExtraBurst) * hosts).To(BeNumerically("<=", 48))
		}
	})
}

// Guards against exceeding the connection limit or the budget when some hosts
// answer merged queries for the others, and against warm connections of the
// other hosts, which rarely use them.
func TestAggregatorsAndOtherHostsShareConnectionsAndBudget(t *testing.T) {
	s := newSource()
	s.putTable(1)
	s.putServer(newServer("i-1", "a"))
	runCatalog(t, s, func(g *WithT, c *Catalog) {
		name := ServiceName([]string{"a", "b"})
		for hosts := 9; hosts <= 13; hosts++ {
			c.SetShare(Share{Hosts: hosts, Aggregators: 3, IsAggregator: true})
			large := c.View().Config.Services[name]
			c.SetShare(Share{Hosts: hosts, Aggregators: 3})
			small := c.View().Config.Services[name]
			g.Expect(3*int(large.MaxConnections)/2 + (hosts-3)*int(small.MaxConnections)/2).To(BeNumerically("<=", 18+hosts-3))
			g.Expect(3*int(large.ExtraBurst) + (hosts-3)*int(small.ExtraBurst)).To(BeNumerically("<=", 48))
			g.Expect(large.ConnectOnDemand).To(BeFalse())
			g.Expect(small.ConnectOnDemand).To(BeTrue())
		}
	})
}

// Guards against a new object for an unchanged service: the query modules would
// lose the state that they keep by its address.
func TestUnchangedServiceIsReused(t *testing.T) {
	s := newSource()
	s.putTable(1)
	s.putServer(newServer("i-1", "a"))
	runCatalog(t, s, func(g *WithT, c *Catalog) {
		name := ServiceName([]string{"a", "b"})
		before := c.View().Config.Services[name]
		s.putTable(2)
		again := newServer("i-1", "a")
		again.Sequence = 5
		s.putServer(again)
		time.Sleep(2 * time.Second)
		g.Expect(c.View().Table.Version).To(BeEquivalentTo(2))
		g.Expect(c.View().Config.Services[name]).To(BeIdenticalTo(before))
	})
}

// Guards against a late copy of a registration that reverts a removal or a newer
// incarnation, in any order of events.
func TestStatefulServersAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		s := newServerTable()
		newest := map[string]Server{} // by id: the newest registration, also of removed servers
		listed := map[string]bool{}
		var written []Server
		t.Repeat(map[string]func(*rapid.T){
			"register": func(t *rapid.T) {
				id := "i-" + strconv.Itoa(rapid.IntRange(0, 2).Draw(t, "id"))
				next := newServer(id, "a")
				if old, ok := newest[id]; ok {
					next.Born, next.Sequence = old.Born, old.Sequence+1
				}
				if rapid.Bool().Draw(t, "restart") {
					next.Born, next.Sequence = next.Born+1, 1
				}
				next.Draining = rapid.Bool().Draw(t, "draining")
				s.put(next)
				newest[id], listed[id] = next, true
				written = append(written, next)
			},
			"late copy": func(t *rapid.T) {
				if len(written) > 0 {
					s.put(written[rapid.IntRange(0, len(written)-1).Draw(t, "copy")])
				}
			},
			"leave": func(t *rapid.T) {
				id := "i-" + strconv.Itoa(rapid.IntRange(0, 2).Draw(t, "id"))
				if known, ok := s.known[id]; ok && !s.keepIfLapsed(id, now) {
					s.drop(known, now)
				}
				listed[id] = false
			},
			"": func(t *rapid.T) {
				for id, want := range newest {
					got, known := s.known[id]
					if known != listed[id] || known && got != want {
						t.Fatalf("%s: known %v %+v, want %v %+v", id, known, got, listed[id], want)
					}
				}
			},
		})
	})
}

// Guards against losing the state of a service because a table lists its shards
// in another order, and against two sets of shards with the same name.
func TestServiceNameDependsOnSetOnly(t *testing.T) {
	g := NewWithT(t)
	g.Expect(ServiceName([]string{"b", "a"})).To(Equal(ServiceName([]string{"a", "b"})))
	g.Expect(ServiceName([]string{"a", "b", "c"})).NotTo(Equal(ServiceName([]string{"a", "b"})))
	g.Expect(ServiceName([]string{"a"})).To(Equal("a"))
}

// Guards against health checks at the default path for services that set their own.
func TestHealthPathFollowsTheTable(t *testing.T) {
	g := NewWithT(t)
	c, err := New(Options{Source: newSource()})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.HealthPath("i-1")).To(Equal(routing.DefaultHealthPath))
	table := testTable(1)
	table.Services = map[string]routing.Service{"a": {HealthPath: "/own"}, "b": {}}
	c.SetTable(table, "test")
	c.setServers([]Server{newServer("i-1", "a"), newServer("i-2", "b")}, history.Position{Revision: 10}, history.Position{})
	g.Expect(c.HealthPath("i-1")).To(Equal("/own"))
	g.Expect(c.HealthPath("i-2")).To(Equal(routing.DefaultHealthPath))
}

// Load pattern: all hosts of a large fleet start at the same time, after a power
// loss. Guards against warm connections from each of them to each replica before
// they have counted each other: replicas reset what exceeds their limit.
func TestStartingHostsKeepNoWarmConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c, err := New(Options{Source: newSource(), Leadership: &fakeLeadership{}})
		g.Expect(err).NotTo(HaveOccurred())
		c.SetTable(&routing.Table{Version: 1, Routes: []routing.Route{
			{Name: "all", Repeatable: true, Timeout: time.Second, Shards: []string{"a", "b"}},
			{Name: "one", Repeatable: true, Timeout: time.Second, Targets: []routing.Target{{Service: "c", Weight: 1}}},
		}}, "test")
		onDemand := func(services ...string) bool { return c.View().Config.Services[ServiceName(services)].ConnectOnDemand }
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { _ = c.Run(ctx) })
		defer func() { cancel(); group.Wait() }()
		g.Expect(onDemand("a", "b")).To(BeTrue())
		g.Expect(onDemand("c")).To(BeFalse(), "its limit allows for all hosts")
		c.SetShare(Share{Hosts: 1}) // the first leader knows only itself
		time.Sleep(time.Second)
		g.Expect(onDemand("a", "b")).To(BeTrue())
		c.SetShare(Share{Hosts: 195, Aggregators: 15, IsAggregator: true})
		g.Expect(onDemand("a", "b")).To(BeFalse(), "it answers the queries of others")
		c.SetShare(Share{Hosts: 9})
		time.Sleep(settleTime)
		g.Expect(onDemand("a", "b")).To(BeFalse(), "each of a few hosts answers its own queries")
	})
}
