package scatter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// coverageSlack is the tolerance, in ledgers, for rounding errors in
// fraction × ledgers.
const coverageSlack = 1e-6

// query is the state of one call of Run. Only the goroutine of Run uses it,
// except for inbox and wake, which callbacks of the Sender use as well.
type query struct {
	engine        *Engine
	request       Query
	config        *release.Config
	search        *release.Search
	service       *serviceState
	latency       *latencyHistogram // of the search
	table         *shardTable
	id            uint64
	repeatable    bool    // both the request and the search are repeatable
	leastCoverage float64 // fraction from 0 to 1
	startedAt     time.Time
	deadline      time.Time
	// latencyGoalAt is the time from which an answer with the least coverage is
	// returned. It is the deadline if the search waits for its coverage or has no
	// latency goal.
	latencyGoalAt time.Time
	random        rand.PCG

	snapshot   uint64 // 0 until chosen, or set by the first accepted reply
	parts      []part
	unassigned wire.RangeSet // requested ledgers that no shard holds
	requested  uint64        // ledgers
	covered    uint64        // ledgers
	abandoned  uint64        // requested ledgers that the answer can no longer cover
	openParts  int           // parts that haven't ended
	wakeAt     time.Time     // next hedge or retry of any part; zero if none is due

	firstSeq      uint64    // sequence number of firstTries[0]
	firstTries    []attempt // one per part, in the same order
	trial         trial
	silentCheck   silentCheck
	extraAttempts map[uint64]*attempt // hedges and retries by sequence number

	answered   bool                // a reply said that a sub-request ran
	mayHaveRun bool                // an attempt ended without a conclusive reply
	failures   map[wire.Reason]int // replies without an answer, by reason
	outbox     []wire.SubRequest   // hedges and retries to send
	cancels    []wire.SubRequestID // attempts to cancel
	// restartDue makes the loop restart the query, because no replica of a part
	// is known to hold the snapshot or the range.
	restartDue  bool
	work        Work
	loadSignals LoadSignals
	leaving     []wire.ReplicaID // replicas that said so in a reply

	inbox struct {
		sync.Mutex
		replies []wire.Reply
		closed  bool // the query has ended; further replies are late
	}
	wake chan struct{} // signals that the inbox has replies
}

// newQuery plans a query. The error is a *NotRunError if the request is invalid or
// if its least coverage can't be reached.
func (e *Engine) newQuery(request Query) (*query, error) {
	q := &query{
		engine:    e,
		request:   request,
		config:    request.Config,
		id:        e.lastQueryID.Add(1),
		startedAt: time.Now(),
		wake:      make(chan struct{}, 1),
	}
	if q.config == nil {
		return nil, badRequest("no configuration is given")
	}
	config := q.config.Services[request.Service]
	q.search = q.config.Searches[release.SearchKey(request.Service, request.Search)]
	if config == nil || q.search == nil {
		return nil, badRequest("service \"" + request.Service + "\" has no search \"" + request.Search + "\"")
	}
	q.random.Seed(e.newSeed())
	q.trial.active, q.trial.losses = request.ServersEnded > 0, request.ServersEnded
	q.repeatable = request.Repeatable && q.search.Repeatable
	q.leastCoverage = max(request.LeastCoverage, q.search.LeastCoverage)
	limit := q.search.Deadline.D()
	if request.Deadline > 0 && (limit <= 0 || request.Deadline < limit) {
		limit = request.Deadline
	}
	if limit <= 0 {
		return nil, badRequest("neither the query nor its search has a deadline")
	}
	q.deadline, q.latencyGoalAt = q.startedAt.Add(limit), q.startedAt.Add(limit)
	if q.search.WaitRule == release.WaitLatency && q.search.LatencyGoal > 0 {
		q.latencyGoalAt = q.startedAt.Add(min(limit, q.search.LatencyGoal.D()-request.Elapsed))
	}
	q.service = e.service(request.Service)
	q.latency = q.service.latencyOf(request.Search)
	q.table = q.service.tableFor(config, &e.options)
	q.request.Ledgers = normalize(request.Ledgers)
	q.planParts()
	if len(q.parts) == 0 {
		return nil, badRequest("no shard of service \"" + request.Service + "\" holds a requested ledger")
	}
	if !q.reachesLeastCoverage(q.requested - q.abandoned) {
		return nil, &NotRunError{Reason: ReasonNoShard, Detail: "the shards hold too few of the requested ledgers to reach the least coverage", Coverage: q.coverage()}
	}
	if reason := q.leastCoverageObstacle(); reason != wire.ReasonNone {
		notRun := &NotRunError{Reason: reason, Coverage: q.coverage()}
		switch reason {
		case wire.ReasonBackoff:
			notRun.RetryAfter = q.timeToUsable(q.engine.options.BackoffOf)
		case wire.ReasonRateLimited:
			notRun.RetryAfter = q.timeToUsable(q.engine.options.PermitIn)
		}
		return nil, notRun
	}
	return q, nil
}

// planParts splits the query into parts by the current table.
func (q *query) planParts() {
	q.parts, q.unassigned = plan(q.table, q.request.Ledgers, q.repeatable)
	q.requested, q.covered, q.abandoned = q.unassigned.Len(), 0, q.unassigned.Len()
	for i := range q.parts {
		q.requested += q.parts[i].needed.Len()
	}
	q.openParts = len(q.parts)
}

// start chooses the snapshot and sends the first tries.
func (q *query) start() {
	q.snapshot = chooseSnapshot(q.parts, time.Now())
	if q.work.Restarts == 0 && q.request.MaxAttempts == 0 {
		q.creditBudgets()
	}
	q.beginSilentChecks()
	q.sendFirstTries()
}

// creditBudgets credits one first try per part to the budget of its shard.
func (q *query) creditBudgets() {
	if !q.table.config.ExtraPerShard {
		q.service.budget.credit(len(q.parts))
		return
	}
	for i := range q.parts {
		q.parts[i].shard.budget.credit(1)
	}
}

// loop processes replies and timers until the query ends.
func (q *query) loop(ctx context.Context) {
	timer := time.NewTimer(time.Until(q.deadline))
	defer timer.Stop()
	for {
		if q.isDone(time.Now()) {
			// Hedges, retries or a restart due to the last replies are obsolete.
			return
		}
		q.flush()
		if q.restartDue {
			q.restart(time.Now())
			q.flush()
		}
		if q.isDone(time.Now()) {
			return
		}
		timer.Reset(time.Until(q.nextWake()))
		select {
		case <-q.wake:
			q.processInbox()
		case <-timer.C:
			q.processInbox()
			now := time.Now()
			if !now.Before(q.deadline) {
				// Without this, the loop would wake up at once, again and again, until
				// the timer of ctx has run as well.
				return
			}
			q.checkSilent(now)
			q.sendDue(now)
		case <-ctx.Done():
			q.processInbox()
			return
		}
	}
}

// nextWake returns when the loop must act next if no reply arrives.
func (q *query) nextWake() time.Time {
	next := q.deadline
	if now := time.Now(); q.latencyGoalAt.After(now) && q.latencyGoalAt.Before(next) {
		next = q.latencyGoalAt
	}
	if !q.wakeAt.IsZero() && q.wakeAt.Before(next) {
		next = q.wakeAt
	}
	if at := q.silentCheck.nextAt; !at.IsZero() && at.Before(next) {
		next = at
	}
	return next
}

// isDone reports whether the query has ended: all parts have ended, the least
// coverage can't be reached any more, or it is reached at the latency goal.
func (q *query) isDone(now time.Time) bool {
	if q.openParts == 0 {
		return true
	}
	if !q.repeatable {
		// A running sub-request can't be undone, so all replies are awaited.
		return false
	}
	if !q.reachesLeastCoverage(q.requested - q.abandoned) {
		return true
	}
	return !now.Before(q.latencyGoalAt) && q.covered > 0 && q.reachesLeastCoverage(q.covered)
}

// reachesLeastCoverage reports whether the given number of ledgers is enough for
// the least coverage.
func (q *query) reachesLeastCoverage(ledgers uint64) bool {
	return float64(ledgers) >= q.leastCoverage*float64(q.requested)-coverageSlack
}

// wakeBy makes the loop call sendDue at t at the latest.
func (q *query) wakeBy(t time.Time) {
	if q.wakeAt.IsZero() || t.Before(q.wakeAt) {
		q.wakeAt = t
	}
}

// finish closes the inbox, cancels outstanding attempts and returns the result.
func (q *query) finish() (*Answer, error) {
	q.inbox.Lock()
	q.inbox.closed = true
	unprocessed := q.inbox.replies
	q.inbox.replies = nil
	q.inbox.Unlock()
	q.work.Dropped += len(unprocessed)
	now := time.Now()
	for i := range unprocessed {
		q.observeDropped(now, &unprocessed[i])
	}
	q.cancelOutstanding(now)
	q.outbox = nil
	q.flush()
	q.reportMetrics()
	coverage := q.coverage()
	switch {
	case !q.answered && !q.mayHaveRun:
		notRun := &NotRunError{Reason: q.mainReason(), Coverage: coverage, Work: q.work, LoadSignals: q.loadSignals}
		if notRun.Reason == wire.ReasonRateLimited {
			notRun.RetryAfter = q.timeToUsable(q.engine.options.PermitIn)
		}
		return nil, notRun
	case !q.answered:
		return nil, &UnknownError{Reason: q.mainReason(), Coverage: coverage, Work: q.work, LoadSignals: q.loadSignals}
	case q.covered == 0 || !q.reachesLeastCoverage(q.covered):
		return nil, &BelowCoverageError{
			LeastCoverage: q.leastCoverage, Snapshot: q.snapshot, Coverage: coverage, Work: q.work, LoadSignals: q.loadSignals,
		}
	}
	return &Answer{
		Outcome:       wire.Answered,
		Query:         q.id,
		Snapshot:      q.snapshot,
		ConfigVersion: q.config.Version,
		Rows:          q.mergedRows(),
		Coverage:      coverage,
		Timing:        q.timing(),
		Work:          q.work,
		LoadSignals:   q.loadSignals,
		Leaving:       q.leaving,
	}, nil
}

// mergedRows returns the rows of all parts in the order of the shards.
func (q *query) mergedRows() []wire.Row {
	n := 0
	for i := range q.parts {
		n += len(q.parts[i].rows)
	}
	rows := make([]wire.Row, 0, n)
	for i := range q.parts {
		rows = append(rows, q.parts[i].rows...)
	}
	return rows
}

// timing returns the total time and the slowest shard: the first part that has
// not ended, or the one that ended last.
func (q *query) timing() Timing {
	t := Timing{Total: time.Since(q.startedAt)}
	var last time.Time
	for i := range q.parts {
		p := &q.parts[i]
		if !p.ended || p.doneAt.After(last) {
			t.SlowestShard, last = p.shard.config.ID, p.doneAt
		}
		if !p.ended {
			break
		}
	}
	return t
}

// mainReason returns the most frequent reason of failed attempts. If no attempt
// failed, it returns the most frequent reason of the abandoned parts.
func (q *query) mainReason() wire.Reason {
	reasons := q.failures
	if len(reasons) == 0 {
		reasons = q.abandonedReasons()
	}
	best, most := wire.ReasonTimeout, 0
	for reason, n := range reasons {
		if n > most || n == most && reason < best {
			best, most = reason, n
		}
	}
	return best
}

// abandonedReasons counts the reasons of parts that ended without full coverage.
func (q *query) abandonedReasons() map[wire.Reason]int {
	reasons := map[wire.Reason]int{}
	for i := range q.parts {
		if p := &q.parts[i]; p.ended && p.covered.Len() < p.needed.Len() {
			reasons[p.reason]++
		}
	}
	return reasons
}

// reportMetrics adds the work of the query to the engine's counters.
func (q *query) reportMetrics() {
	m, w := &q.engine.metrics, &q.work
	m.firstTries.Inc(int64(w.FirstTries))
	m.hedges.Inc(int64(w.Hedges))
	m.retries.Inc(int64(w.Retries))
	m.restarts.Inc(int64(w.Restarts))
	m.cancelled.Inc(int64(w.Cancelled))
	m.dropped.Inc(int64(w.Dropped))
	m.budgetRefused.Inc(int64(w.BudgetRefused))
}
