package scatter

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// mayRestart reports whether the whole query may begin again: at most once,
// and with at least half of the time left. A query that isn't repeatable
// restarts only if nothing of it can have run.
func (q *query) mayRestart(now time.Time) bool {
	if q.work.Restarts > 0 || q.deadline.Sub(now) < q.deadline.Sub(q.began)/2 {
		return false
	}
	return q.repeatable || !q.answered && !q.mayRun
}

// restart begins the query again on a newer snapshot or configuration. If
// there is none, the parts that asked for it are left out.
func (q *query) restart(now time.Time) {
	q.restartDue = false
	if !q.repeatable && q.outstanding() > 0 {
		// Decided when the outstanding sub-requests have ended.
		q.restartDue = q.mayRestart(now)
		if q.restartDue {
			return
		}
	}
	config, t := q.newest()
	parts, _ := plan(t, q.request.Ledgers, q.repeatable)
	snapshot := chooseSnapshot(parts, now)
	newer := snapshot > q.snapshot || snapshot == q.snapshot && config != q.config
	if !q.mayRestart(now) || len(parts) == 0 || !newer {
		q.releaseStuck(now)
		return
	}
	q.cancelOutstanding(now)
	reached := q.reachedReplicas()
	q.config, q.table, q.snapshot = config, t, snapshot
	q.layOut()
	q.markReached(reached)
	q.extras, q.wakeAt = nil, time.Time{}
	q.work.Restarts++
	q.sendFirst()
}

// reachedReplicas returns the replicas on which an attempt may have run. A bound
// of replicas for a request holds across a restart.
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

func (q *query) markReached(reached map[wire.ReplicaID]bool) {
	for i := range q.parts {
		p := &q.parts[i]
		for _, r := range p.shard.replicas {
			if reached[r.id] {
				p.reached |= r.bit()
				p.spent |= r.bit()
			}
		}
	}
}

// releaseStuck goes on without a restart.
func (q *query) releaseStuck(now time.Time) {
	for i := range q.parts {
		if p := &q.parts[i]; p.stuck {
			p.stuck = false
			q.nextRound(p, now)
		}
	}
}

// newest returns the newest configuration that still has the search.
func (q *query) newest() (*release.Config, *table) {
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

func (q *query) outstanding() int {
	n := 0
	for i := range q.parts {
		n += q.parts[i].outstanding
	}
	return n
}
