package catalog

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Run follows the source until ctx ends; it returns nil then.
func (c *Catalog) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { c.follow(ctx, "table", c.tableStep()) })
	group.Go(func() { c.follow(ctx, "servers", c.serversStep()) })
	group.Go(func() { c.expireLoop(ctx) })
	if c.options.Relay != nil {
		group.Go(func() { c.followPeer(ctx) })
		group.Go(func() { c.startFromSource(ctx) })
	}
	group.Wait()
	return nil
}

// startAlone is how long a host that starts waits for the state of a peer before
// it reads the source itself. When all hosts start, none has anything to tell,
// and finding a leader takes several calls.
const startAlone = 20 * time.Millisecond

// startFromSource reads the source once if no peer has given a table. What fails
// here is tried again by the host that leads.
func (c *Catalog) startFromSource(ctx context.Context) {
	sleep(ctx, startAlone)
	if c.View() != nil || ctx.Err() != nil {
		return
	}
	var group sync.WaitGroup
	defer group.Wait()
	for what, read := range map[string]step{"table": c.tableStep(), "servers": c.readServers} {
		group.Go(func() {
			if err := read(ctx); err != nil && ctx.Err() == nil {
				c.options.Logger.WithError(err).WithField("what", what).Info("source not read at the start")
			}
		})
	}
}

func (c *Catalog) readServers(ctx context.Context) error {
	limit, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	list, revision, err := c.options.Source.Servers(limit)
	if err != nil {
		return err
	}
	c.takeFirst(list, revision)
	return nil
}

// expirePeriod is the time between two looks at the lapsed servers.
const expirePeriod = 200 * time.Millisecond

// expireLoop drops the lapsed servers that did not register again in time.
func (c *Catalog) expireLoop(ctx context.Context) {
	for ctx.Err() == nil {
		c.expire()
		sleep(ctx, expirePeriod)
	}
}

// leadPoll is the time between two looks at whether this host leads by now.
const leadPoll = 50 * time.Millisecond

// leads reports whether this host follows the source itself.
func (c *Catalog) leads() bool { return c.options.Relay == nil || c.options.Relay.Leads() }

// step makes one call of a follower.
type step func(ctx context.Context) error

// follow repeats a step and logs when the source is lost and regained.
func (c *Catalog) follow(ctx context.Context, what string, next step) {
	logger := c.options.Logger.WithField("what", what)
	var lostAt time.Time
	for ctx.Err() == nil {
		if !c.leads() {
			if !lostAt.IsZero() {
				lostAt = time.Time{}
				c.sourceLost.Add(-1)
			}
			sleep(ctx, leadPoll)
			continue
		}
		err := next(ctx)
		switch {
		case ctx.Err() != nil:
		case err != nil:
			c.options.Scope.Tagged(map[string]string{"what": what}).Counter("source_failed").Inc(1)
			if lostAt.IsZero() {
				lostAt = time.Now()
				c.sourceLost.Add(1)
				logger.WithError(err).Warn("source lost")
			}
			c.lost(err)
			sleep(ctx, c.options.RetryPause)
		case !lostAt.IsZero():
			logger.WithField("away", time.Since(lostAt)).Info("source regained")
			lostAt = time.Time{}
			c.sourceLost.Add(-1)
		}
	}
}

// lost notes that the source is away, perhaps for the servers too. A source that
// only dropped its history was not, and what it lacks is gone.
func (c *Catalog) lost(err error) {
	var gone *HistoryGoneError
	if errors.As(err, &gone) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers.lost(time.Now())
}

// tableStep reads the table once and then watches it.
func (c *Catalog) tableStep() step {
	var revision uint64
	return func(ctx context.Context) error {
		if revision == 0 {
			return c.readTable(ctx, &revision)
		}
		limit, cancel := context.WithTimeout(ctx, c.options.TableWait+c.options.CallTimeout)
		defer cancel()
		table, next, err := c.options.Source.WatchTable(limit, revision, c.options.TableWait)
		if err != nil {
			return historyGone(err, &revision)
		}
		c.heardOfTable()
		if table != nil {
			c.SetTable(table, "watch")
		}
		revision = next
		return nil
	}
}

func (c *Catalog) readTable(ctx context.Context, revision *uint64) error {
	limit, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	table, next, err := c.options.Source.Table(limit)
	if err != nil {
		return err
	}
	c.heardOfTable()
	if table != nil {
		c.SetTable(table, "read")
	}
	*revision = next
	return nil
}

func (c *Catalog) heardOfTable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heardTable = c.options.Clock()
}

// serversStep reads the servers once and then watches them. The pace bounds the
// calls when many servers change, and gathers their changes.
func (c *Catalog) serversStep() step {
	var revision uint64
	return func(ctx context.Context) error {
		limit, cancel := context.WithTimeout(ctx, c.options.ServersWait+c.options.CallTimeout)
		defer cancel()
		if revision == 0 || c.knowsBeyond(revision) {
			list, next, err := c.options.Source.Servers(limit)
			if err != nil {
				return err
			}
			c.setServers(list, next)
			revision = next
		} else {
			changes, err := c.options.Source.WatchServers(limit, revision, c.options.ServersWait)
			if err != nil {
				return historyGone(err, &revision)
			}
			revision = changes.Revision
			c.apply(changes.Changes, changes.Revision)
		}
		sleep(ctx, c.options.ServersPace)
		return nil
	}
}

// knowsBeyond reports whether a peer has brought later changes than a revision.
// The changes between must not be taken a second time.
func (c *Catalog) knowsBeyond(revision uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision > revision
}

// historyGone starts over with a full read when the source dropped its history.
func historyGone(err error, revision *uint64) error {
	var gone *HistoryGoneError
	if errors.As(err, &gone) {
		*revision = 0
	}
	return err
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
