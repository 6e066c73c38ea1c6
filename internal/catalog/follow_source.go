package catalog

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/history"
)

// Run keeps the catalog up to date, from the source if this host leads, else
// from peers. It returns nil when ctx ends.
func (c *Catalog) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { c.followSource(ctx, "table", c.newTableStep()) })
	group.Go(func() { c.followSource(ctx, "servers", c.newServersStep()) })
	group.Go(func() { c.expireLoop(ctx) })
	if c.options.Leadership != nil {
		group.Go(func() { c.followPeers(ctx) })
		group.Go(func() { c.startFromSource(ctx) })
		group.Go(func() { c.settleAfterStart(ctx) })
	}
	group.Wait()
	return nil
}

// settleTime is how long hosts that start together need to find their leaders and
// to be counted by them.
const settleTime = 2 * time.Second

// peerStartWait is how long a starting host waits for the state of a peer before
// it reads the source itself. It is short because no peer has a state when all
// hosts start together, and finding a leader takes several calls.
const peerStartWait = 20 * time.Millisecond

// startFromSource reads the source once if no peer has provided a table. A
// failed read is not repeated here: the leading host reads the source anyway.
func (c *Catalog) startFromSource(ctx context.Context) {
	sleep(ctx, peerStartWait)
	if c.View() != nil || ctx.Err() != nil {
		return
	}
	var group sync.WaitGroup
	defer group.Wait()
	for what, read := range map[string]followStep{"table": c.newTableStep(), "servers": c.readInitialServers} {
		group.Go(func() {
			if err := read(ctx); err != nil && ctx.Err() == nil {
				c.options.Logger.WithError(err).WithField("what", what).Info("source not read at the start")
			}
		})
	}
}

func (c *Catalog) readInitialServers(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	list, at, err := c.readServers(callCtx)
	if err != nil {
		return err
	}
	c.setInitialServers(list, at)
	return nil
}

// readServers reads all servers from the source and returns them as they were at the
// returned position. The changes since the first page are read once more and applied to
// the list, because later pages hold only some of them. *HistoryGoneError means that the
// source does not hold these changes any more.
func (c *Catalog) readServers(ctx context.Context) ([]Server, history.Position, error) {
	list, err := c.options.Source.Servers(ctx)
	if err != nil || list.From == list.To {
		return list.Servers, list.To, err
	}
	changes, err := c.options.Source.WatchServers(ctx, list.From, 0)
	if err != nil {
		return nil, history.Position{}, err
	}
	if changes.IsBefore(list.To) {
		return nil, history.Position{}, errors.WithStack(&HistoryGoneError{After: list.From})
	}
	return applyToList(list.Servers, changes.Changes), changes.Position, nil
}

// applyToList returns a list of servers with changes applied to it, in undefined order.
func applyToList(list []Server, changes []ServerChange) []Server {
	byID := make(map[string]Server, len(list))
	for _, server := range list {
		byID[server.ID] = server
	}
	for _, change := range changes {
		if change.Server == nil {
			delete(byID, change.ID)
			continue
		}
		byID[change.ID] = *change.Server
	}
	return slices.Collect(maps.Values(byID))
}

// expiryInterval is the time between two checks for expired servers.
const expiryInterval = 200 * time.Millisecond

// expireLoop periodically drops expired servers until ctx ends.
func (c *Catalog) expireLoop(ctx context.Context) {
	for ctx.Err() == nil {
		c.dropExpired()
		sleep(ctx, expiryInterval)
	}
}

// readPollInterval is the time between two checks whether this host reads the
// source.
const readPollInterval = 50 * time.Millisecond

// reads reports whether this host reads the source itself.
func (c *Catalog) reads() bool { return c.options.Leadership == nil || c.options.Leadership.Reads() }

// followStep makes one call to the source and applies its result.
type followStep func(ctx context.Context) error

// followSource repeats a step while this host reads the source, and logs when the source
// is lost and regained. what names the data in the log and the metrics.
func (c *Catalog) followSource(ctx context.Context, what string, step followStep) {
	logger := c.options.Logger.WithField("what", what)
	var lostAt time.Time
	for ctx.Err() == nil {
		if !c.reads() {
			if !lostAt.IsZero() {
				lostAt = time.Time{}
				c.failingWatches.Add(-1)
			}
			sleep(ctx, readPollInterval)
			continue
		}
		err := step(ctx)
		switch {
		case ctx.Err() != nil:
		case err != nil:
			c.options.Scope.Tagged(map[string]string{"what": what}).Counter("source_failed").Inc(1)
			if lostAt.IsZero() {
				lostAt = time.Now()
				c.failingWatches.Add(1)
				logger.WithError(err).Warn("source lost")
			}
			c.noteSourceError(err)
			sleep(ctx, c.options.RetryPause)
		case !lostAt.IsZero():
			logger.WithField("away", time.Since(lostAt)).Info("source regained")
			lostAt = time.Time{}
			c.failingWatches.Add(-1)
		}
	}
}

// noteSourceError records an outage of the source, in which server entries may
// lapse. *HistoryGoneError is no outage: the source answered, and entries that
// it no longer holds were removed.
func (c *Catalog) noteSourceError(err error) {
	var gone *HistoryGoneError
	if errors.As(err, &gone) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers.noteSourceLost(time.Now())
}

// newTableStep returns a step that reads the table the first time and then
// watches it.
func (c *Catalog) newTableStep() followStep {
	var at history.Position
	return func(ctx context.Context) error {
		if at.Revision == 0 {
			return c.readTable(ctx, &at)
		}
		callCtx, cancel := context.WithTimeout(ctx, c.options.TableWait+c.options.CallTimeout)
		defer cancel()
		entries, next, err := c.options.Source.WatchTable(callCtx, at, c.options.TableWait)
		if err != nil {
			return resetIfHistoryGone(err, &at)
		}
		c.noteTableAnswer()
		c.applyEvacuationChanges(entries.Evacuations, next)
		if entries.Table != nil {
			c.SetTable(entries.Table, "watch")
		}
		at = next
		return nil
	}
}

func (c *Catalog) readTable(ctx context.Context, at *history.Position) error {
	callCtx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	entries, next, err := c.options.Source.Table(callCtx)
	if err != nil {
		return err
	}
	c.noteTableAnswer()
	c.applyEvacuationRead(entries.Evacuations, next)
	if entries.Table != nil {
		c.SetTable(entries.Table, "read")
	}
	*at = next
	return nil
}

func (c *Catalog) noteTableAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tableHeardAt = c.options.Clock()
}

// newServersStep returns a step that reads the servers the first time and then
// watches them. Options.ServersPace limits the calls and batches the changes
// when many servers change.
func (c *Catalog) newServersStep() followStep {
	var at history.Position
	return func(ctx context.Context) error {
		callCtx, cancel := context.WithTimeout(ctx, c.options.ServersWait+c.options.CallTimeout)
		defer cancel()
		if at.Revision == 0 || c.hasChangesAfter(at) {
			before := c.knownPosition()
			list, next, err := c.readServers(callCtx)
			if err != nil {
				return err
			}
			c.setServers(list, next, before)
			at = next
		} else {
			changes, err := c.options.Source.WatchServers(callCtx, at, c.options.ServersWait)
			if err != nil {
				return resetIfHistoryGone(err, &at)
			}
			at = changes.Position
			c.applyChanges(changes.Changes, changes.Position)
		}
		sleep(ctx, c.options.ServersPace)
		return nil
	}
}

// hasChangesAfter reports whether changes after a position were already applied,
// from a peer. A watch from that position would apply them a second time.
func (c *Catalog) hasChangesAfter(at history.Position) bool { return at.IsBefore(c.knownPosition()) }

// resetIfHistoryGone sets the position to the beginning, which causes a full read, if
// err is *HistoryGoneError. It returns err.
func resetIfHistoryGone(err error, at *history.Position) error {
	var gone *HistoryGoneError
	if errors.As(err, &gone) {
		*at = history.Position{}
	}
	return err
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
