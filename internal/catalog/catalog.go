package catalog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/arbutusgauge/arbutusgauge/internal/history"
	"github.com/arbutusgauge/arbutusgauge/internal/ratelimit"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/routing"
)

// View is an immutable snapshot of the catalog: a routing table and the query
// configuration built from it.
type View struct {
	Table  *routing.Table
	Config *release.Config
	// Evacuated are the data centres whose replicas are out of use, sorted.
	Evacuated []string
	// WarmUps are the registered warm-ups of the servers whose services have a warm-up rate.
	WarmUps []ratelimit.WarmUp
	// healthPaths are the health check paths, by server id, that differ from
	// routing.DefaultHealthPath.
	healthPaths map[string]string
}

// Catalog keeps the routing table and the servers of a source up to date. It is
// safe for concurrent use.
type Catalog struct {
	options Options
	view    atomic.Pointer[View]

	mu      sync.Mutex
	table   *routing.Table
	servers serverTable
	share   Share
	// evacuated are the data centres out of use, with a position of their own.
	evacuated evacuatedSet
	settled   bool // see settleAfterStart
	changes   changeLog
	// position is the source position up to which server changes are applied.
	position history.Position
	// restoredAt is when this host last learned of a restoration of the source; zero: never.
	restoredAt time.Time
	// tableHeardAt and serversHeardAt are the times of Options.Clock at which
	// the source last answered this host or a peer that this host polled.
	tableHeardAt, serversHeardAt time.Duration
	callbacks                    []func(*View)
	catchingUp                   atomic.Bool
	// failingWatches is the number of loops (table, servers) whose last call to
	// the source failed, while this host reads it.
	failingWatches atomic.Int32
}

// New returns a catalog without a table and servers. A missing option gives
// *OptionError.
func New(options Options) (*Catalog, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	return &Catalog{
		options: options, servers: newServerTable(), evacuated: evacuatedSet{names: map[string]bool{}}, share: Share{Hosts: defaultHosts}, settled: options.Leadership == nil,
		changes:      changeLog{run: time.Now().UnixNano()},
		tableHeardAt: -neverHeardAge, serversHeardAt: -neverHeardAge,
	}, nil
}

// HealthPath returns the path of the health check of a server.
func (c *Catalog) HealthPath(serverID string) string {
	if view := c.View(); view != nil && view.healthPaths[serverID] != "" {
		return view.healthPaths[serverID]
	}
	return routing.DefaultHealthPath
}

// healthPaths returns the paths for View.healthPaths.
func healthPaths(table *routing.Table, known map[string]Server) map[string]string {
	paths := map[string]string{}
	for id, server := range known {
		path := table.Services[server.Service].HealthPath
		if path != "" && path != routing.DefaultHealthPath {
			paths[id] = path
		}
	}
	return paths
}

// warmUps returns what View.WarmUps has.
func warmUps(table *routing.Table, known map[string]Server) []ratelimit.WarmUp {
	var out []ratelimit.WarmUp
	for _, server := range known {
		if rate := table.Services[server.Service].WarmupRate; rate > 0 {
			out = append(out, ratelimit.WarmUp{
				Replica: server.ReplicaID(), PerSecond: rate, Left: server.WarmupLeft, Sequence: server.WarmupSince,
			})
		}
	}
	return out
}

// View returns the current view, or nil while no table is known.
func (c *Catalog) View() *View { return c.view.Load() }

// OnChange registers f to be called with each new view, in order of publication.
// f runs while the catalog is locked and must not call it.
func (c *Catalog) OnChange(f func(*View)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callbacks = append(c.callbacks, f)
}

// SetShare sets this host's share of the replicas' connections and of the retry
// budget. A share of less than one host is ignored.
func (c *Catalog) SetShare(share Share) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if share.Hosts < 1 || share == c.share {
		return
	}
	c.options.Logger.WithFields(log.Fields{
		"hosts": share.Hosts, "aggregators": share.Aggregators, "aggregates": share.IsAggregator, "hosts_before": c.share.Hosts,
	}).Info("share of the replicas changed")
	c.share = share
	c.rebuild()
}

// settleAfterStart ends the time in which hosts that started together count each
// other. Until then this host keeps no warm connections for merged queries: one
// from each host would exceed the replicas' limits where there are many, and the
// replicas would reset those that carry requests.
func (c *Catalog) settleAfterStart(ctx context.Context) {
	sleep(ctx, settleTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settled = true
	c.rebuild()
}

// SetExtraBudget sets the budget of retries and hedges; see Options.ExtraLoad and
// Options.ExtraBurst.
func (c *Catalog) SetExtraBudget(load float64, burst int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.options.ExtraLoad, c.options.ExtraBurst = load, burst
	c.rebuild()
}

// SetTable adopts a routing table and reports whether it did. A table that is
// not newer than the current one is ignored. source is for the log only.
func (c *Catalog) SetTable(table *routing.Table, source string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table != nil && table.Version <= c.table.Version {
		return false
	}
	c.table = table.BuildIndex()
	c.options.Scope.Gauge("version").Update(float64(table.Version))
	c.options.Logger.WithFields(log.Fields{
		"version": table.Version, "routes": len(table.Routes), "source": source,
	}).Info("routing table adopted")
	c.rebuild()
	return true
}

// setServers replaces the known servers by a full list that is valid at a position of
// the source. before is the known position at the start of the read. If a peer has
// provided a later state since then, the list is ignored, and must be read again.
func (c *Catalog) setServers(list []Server, at, before history.Position) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serversHeardAt = c.options.Clock()
	c.servers.noteSourceAnswered(now)
	if c.position != before && at.IsBefore(c.position) {
		return
	}
	c.setServersLocked(list, at, now)
}

// setInitialServers is setServers for a starting host. The list is ignored if
// later changes have been applied meanwhile.
func (c *Catalog) setInitialServers(list []Server, at history.Position) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.IsBefore(c.position) {
		return
	}
	c.serversHeardAt = c.options.Clock()
	c.setServersLocked(list, at, now)
}

// setServersLocked replaces the known servers by a full list. The caller holds
// mu.
func (c *Catalog) setServersLocked(list []Server, at history.Position, now time.Time) {
	if c.position.Era != 0 && at.Era > c.position.Era {
		c.servers.noteSourceRestored(now)
	}
	c.changes.addJump(c.position, at)
	c.setPosition(at, now)
	if c.replaceServers(list, now) {
		c.options.Logger.WithFields(log.Fields{"listed": len(list), "known": len(c.servers.known)}).Info("servers read in full")
		c.rebuild()
	}
}

// Servers returns the known servers in undefined order.
func (c *Catalog) Servers() []Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Server, 0, len(c.servers.known))
	for _, server := range c.servers.known {
		list = append(list, server)
	}
	return list
}

// setPosition sets the known position. The caller holds mu.
func (c *Catalog) setPosition(at history.Position, now time.Time) {
	if c.position.Era != 0 && at.Era > c.position.Era {
		c.restoredAt = now
	}
	c.position = at
}

// knownPosition returns the position of the source up to which server changes are
// applied.
func (c *Catalog) knownPosition() history.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position
}

// applyChanges applies the server changes up to a position of the source. Those up to
// the known position are skipped: a peer may have provided them during the watch, with
// later ones, which an earlier change would revert.
func (c *Catalog) applyChanges(changes []ServerChange, at history.Position) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serversHeardAt = c.options.Clock()
	c.servers.noteSourceAnswered(now)
	known := c.position
	if known.IsBefore(at) {
		c.setPosition(at, now)
	}
	changed := false
	for _, change := range changes {
		if change.Revision != 0 && !known.IsBefore(change.position()) {
			continue
		}
		changed = c.applyChange(change, now) || changed
	}
	if changed {
		c.rebuild()
	}
}

// dropExpired drops the lapsed servers that did not register again within the
// grace period.
func (c *Catalog) dropExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	gone := c.servers.expired(now)
	for i := range gone {
		c.dropServer(gone[i], history.Position{}, now, "server gone after the source's return")
	}
	if len(gone) > 0 {
		c.rebuild()
	}
}

// applyChange applies one change and reports whether the configuration must be
// rebuilt. The caller holds mu.
func (c *Catalog) applyChange(change ServerChange, now time.Time) bool {
	old, known := c.servers.known[change.ID]
	if change.Server == nil {
		if !known || c.servers.keepIfLapsed(change.ID, now) {
			return false
		}
		c.dropServer(old, change.position(), now, "server gone")
		return true
	}
	if !c.servers.put(*change.Server) {
		return false
	}
	stored := c.servers.known[change.ID]
	change.Server = &stored
	c.changes.add(change)
	switch {
	case change.Server.Draining:
		c.logServer("server draining", change.Server)
	case !known || old.Born != change.Server.Born:
		c.logServer("server added", change.Server)
	}
	return true
}

// replaceServers replaces the known servers by a full list and reports whether
// anything changed. The changes are logged with the known position, so the list must
// hold exactly the changes up to it: followers skip those up to their own position. The
// caller holds mu.
func (c *Catalog) replaceServers(list []Server, now time.Time) bool {
	changed := false
	present := map[string]bool{}
	for i := range list {
		present[list[i].ID] = true
		if c.servers.put(list[i]) {
			stored := c.servers.known[list[i].ID]
			c.changes.add(ServerChange{ID: list[i].ID, Server: &stored, Revision: c.position.Revision, Era: c.position.Era})
			changed = true
		}
	}
	for id, server := range c.servers.known {
		if !present[id] && !c.servers.keepIfLapsed(id, now) {
			c.dropServer(server, c.position, now, "server gone")
			changed = true
		}
	}
	return changed
}

func (c *Catalog) dropServer(server Server, at history.Position, now time.Time, event string) {
	c.servers.drop(server, now)
	c.changes.add(ServerChange{ID: server.ID, Revision: at.Revision, Era: at.Era})
	c.logServer(event, &server)
}

func (c *Catalog) logServer(event string, s *Server) {
	c.options.Logger.WithFields(log.Fields{
		"server": s.ID, "born": s.Born, "service": s.Service, "addr": s.Addr, "sequence": s.Sequence,
	}).Info(event)
}

// rebuild builds a new view and passes it to the callbacks. The caller holds mu.
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
		Config: newConfigBuilder(&c.options, c.share, c.settled, c.servers.known, previous).build(c.table),

		Evacuated: c.evacuated.sorted(),
		WarmUps:   warmUps(c.table, c.servers.known),

		healthPaths: healthPaths(c.table, c.servers.known),
	}
	c.view.Store(view)
	for _, f := range c.callbacks {
		f(view)
	}
}
