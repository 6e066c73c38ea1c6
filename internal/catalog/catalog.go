package catalog

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/routing"
)

// View is an immutable state of the catalog.
type View struct {
	Table  *routing.Table
	Config *release.Config
}

// Catalog follows a source. It is safe for concurrent use.
type Catalog struct {
	options Options
	view    atomic.Pointer[View]

	mu      sync.Mutex
	table   *routing.Table
	servers servers
	share   Share
	changes changeLog
	// revision is that of the source up to which the servers are known.
	revision uint64
	// heardTable and heardServers are when the source last answered, by the
	// clock of the options, as far as this host or the one that it follows knows.
	heardTable, heardServers time.Duration
	callbacks                []func(*View)
	catchingUp               atomic.Bool
	// sourceLost counts the followers of the source that it does not answer.
	sourceLost atomic.Int32
}

// New returns an empty catalog, or *OptionError.
func New(options Options) (*Catalog, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	return &Catalog{
		options: options, servers: newServers(), share: Share{Hosts: defaultHosts},
		changes:    changeLog{run: time.Now().UnixNano()},
		heardTable: -unheard, heardServers: -unheard,
	}, nil
}

// View returns the present state, nil while no table is known.
func (c *Catalog) View() *View { return c.view.Load() }

// OnChange registers f to be called with each new view, in order. f must not
// call the catalog.
func (c *Catalog) OnChange(f func(*View)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callbacks = append(c.callbacks, f)
}

// SetShare takes this host's share of the replicas.
func (c *Catalog) SetShare(share Share) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if share.Hosts < 1 || share == c.share {
		return
	}
	c.options.Logger.WithFields(log.Fields{
		"hosts": share.Hosts, "aggregators": share.Aggregators, "aggregates": share.Aggregates, "hosts_before": c.share.Hosts,
	}).Info("share of the replicas changed")
	c.share = share
	c.rebuild()
}

// SetExtra changes the budget of extra arrivals; see Options.
func (c *Catalog) SetExtra(load float64, burst int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.options.ExtraLoad, c.options.ExtraBurst = load, burst
	c.rebuild()
}

// SetTable brings a table into force and reports whether it did: one that is
// not newer than the one in force is ignored.
func (c *Catalog) SetTable(table *routing.Table, source string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table != nil && table.Version <= c.table.Version {
		return false
	}
	c.table = table.Index()
	c.options.Scope.Gauge("version").Update(float64(table.Version))
	c.options.Logger.WithFields(log.Fields{
		"version": table.Version, "routes": len(table.Routes), "source": source,
	}).Info("routing table adopted")
	c.rebuild()
	return true
}

// setServers takes a full list of servers as of a revision of the source.
func (c *Catalog) setServers(list []Server, revision uint64) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heardServers = c.options.Clock()
	c.servers.heard(now)
	c.takeList(list, revision, now)
}

// takeFirst is setServers for a host that starts, unless it knows more by now.
func (c *Catalog) takeFirst(list []Server, revision uint64) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision > revision {
		return
	}
	c.heardServers = c.options.Clock()
	c.takeList(list, revision, now)
}

// takeList takes a full list. The caller holds mu.
func (c *Catalog) takeList(list []Server, revision uint64, now time.Time) {
	c.revision = revision
	if c.replaceServers(list, now) {
		c.options.Logger.WithFields(log.Fields{"listed": len(list), "known": len(c.servers.known)}).Info("servers read in full")
		c.rebuild()
	}
}

// Servers returns the known servers, in no order.
func (c *Catalog) Servers() []Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Server, 0, len(c.servers.known))
	for _, server := range c.servers.known {
		list = append(list, server)
	}
	return list
}

// apply takes the changes of servers up to a revision of the source.
func (c *Catalog) apply(changes []ServerChange, revision uint64) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heardServers = c.options.Clock()
	c.servers.heard(now)
	c.revision = max(c.revision, revision)
	changed := false
	for _, change := range changes {
		changed = c.applyOne(change, now) || changed
	}
	if changed {
		c.rebuild()
	}
}

func (c *Catalog) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	gone := c.servers.expired(now)
	for i := range gone {
		c.dropServer(gone[i], 0, now, "server gone after the source's return")
	}
	if len(gone) > 0 {
		c.rebuild()
	}
}

func (c *Catalog) applyOne(change ServerChange, now time.Time) bool {
	old, known := c.servers.known[change.ID]
	if change.Server == nil {
		if !known || c.servers.mayHaveLapsed(change.ID, now) {
			return false
		}
		c.dropServer(old, change.Revision, now, "server gone")
		return true
	}
	if !c.servers.put(*change.Server) {
		return false
	}
	c.changes.add(change)
	switch {
	case change.Server.Draining:
		c.logServer("server draining", change.Server)
	case !known || old.Born != change.Server.Born:
		c.logServer("server added", change.Server)
	}
	return true
}

// replaceServers takes a full list and reports whether it changes anything.
func (c *Catalog) replaceServers(list []Server, now time.Time) bool {
	changed := false
	present := map[string]bool{}
	for i := range list {
		present[list[i].ID] = true
		if c.servers.put(list[i]) {
			c.changes.add(ServerChange{ID: list[i].ID, Server: &list[i], Revision: c.revision})
			changed = true
		}
	}
	for id, server := range c.servers.known {
		if !present[id] && !c.servers.mayHaveLapsed(id, now) {
			c.dropServer(server, c.revision, now, "server gone")
			changed = true
		}
	}
	return changed
}

func (c *Catalog) dropServer(server Server, revision uint64, now time.Time, event string) {
	c.servers.drop(server, now)
	c.changes.add(ServerChange{ID: server.ID, Revision: revision})
	c.logServer(event, &server)
}

func (c *Catalog) logServer(event string, s *Server) {
	c.options.Logger.WithFields(log.Fields{
		"server": s.ID, "born": s.Born, "service": s.Service, "addr": s.Addr, "sequence": s.Sequence,
	}).Info(event)
}

// rebuild publishes a new view. The caller holds mu.
func (c *Catalog) rebuild() {
	if c.table == nil {
		return
	}
	var previous *release.Config
	if old := c.view.Load(); old != nil {
		previous = old.Config
	}
	view := &View{
		Table:  c.table,
		Config: newBuilder(&c.options, c.share, c.servers.known, previous).build(c.table),
	}
	c.view.Store(view)
	for _, f := range c.callbacks {
		f(view)
	}
}
