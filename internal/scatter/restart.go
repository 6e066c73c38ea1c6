package scatter

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// mayRestart reports whether the query may be restarted: at most once, with at
// least half of its time left and, if it isn't repeatable, only as long as none of
// its sub-requests can have run.
func (q *query) mayRestart(now time.Time) bool {
	if q.work.Restarts > 0 || q.deadline.Sub(now) < q.deadline.Sub(q.startedAt)/2 {
		return false
	}
	return q.repeatable || !q.answered && !q.mayHaveRun
}

// restart starts the query again with a newer snapshot or configuration. If there
// is neither, the query continues: the parts that wait for the restart get another
// round over their replicas or are abandoned.
func (q *query) restart(now time.Time) {
	q.restartDue = false
	if !q.repeatable && q.outstandingAttempts() > 0 {
		// Wait for the outstanding sub-requests, because their replies decide
		// whether a restart is allowed.
		q.restartDue = q.mayRestart(now)
		if q.restartDue {
			return
		}
	}
	config, t := q.newestConfig()
	parts, _ := plan(t, q.request.Ledgers, q.repeatable)
	snapshot := chooseSnapshot(parts, now)
	newer := snapshot > q.snapshot || snapshot == q.snapshot && config != q.config
	if !q.mayRestart(now) || len(parts) == 0 || !newer {
		q.continueWithoutRestart(now)
		return
	}
	q.cancelOutstanding(now)
	reached := q.reachedReplicas()
	q.config, q.table, q.snapshot = config, t, snapshot
	q.planParts()
	q.markReached(reached)
	q.extraAttempts, q.wakeAt = nil, time.Time{}
	q.work.Restarts++
	q.sendFirstTries()
}

// reachedReplicas returns the replicas on which an attempt runs or may have run.
// They count towards MaxAttempts after a restart as well.
func (q *query) reachedReplicas() map[wire.ReplicaID]bool {
	reached := map[wire.ReplicaID]bool{}
	for i := range q.parts {
		for _, r := range q.parts[i].shard.replicas {
			if q.parts[i].reached&r.bit() != 0 {
				reached[r.id] = true
			}
		}
	}
	return reached
}

// markReached makes the given replicas count towards MaxAttempts.
func (q *query) markReached(reached map[wire.ReplicaID]bool) {
	for i := range q.parts {
		p := &q.parts[i]
		for _, r := range p.shard.replicas {
			if reached[r.id] {
				p.reached |= r.bit()
				p.mayHaveRunOn |= r.bit()
			}
		}
	}
}

// continueWithoutRestart schedules another round for the parts that wait for a
// restart, or abandons them.
func (q *query) continueWithoutRestart(now time.Time) {
	for i := range q.parts {
		if p := &q.parts[i]; p.awaitsRestart {
			p.awaitsRestart = false
			q.scheduleNextRound(p, now)
		}
	}
}

// newestConfig returns the newest configuration with its table. It returns the
// query's current one if the newest lacks the search or changes whether the search
// is repeatable.
func (q *query) newestConfig() (*release.Config, *shardTable) {
	if q.engine.options.Config == nil {
		return q.config, q.table
	}
	config := q.engine.options.Config()
	if config == nil || config.Version <= q.config.Version {
		return q.config, q.table
	}
	service := config.Services[q.request.Service]
	search := config.Searches[release.SearchKey(q.request.Service, q.request.Search)]
	if service == nil || search == nil || search.Repeatable != q.search.Repeatable {
		return q.config, q.table
	}
	return config, q.service.tableFor(service, &q.engine.options)
}

// outstandingAttempts returns the number of outstanding attempts of all parts.
func (q *query) outstandingAttempts() int {
	n := 0
	for i := range q.parts {
		n += q.parts[i].outstanding
	}
	return n
}
