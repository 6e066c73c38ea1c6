package scatter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// coverageSlack absorbs rounding in fraction × ledgers, in ledgers.
const coverageSlack = 1e-6

// query is the state of one execution. Only the goroutine of Run uses it,
// except for the inbox.
type query struct {
	engine     *Engine
	request    Query
	config     *release.Config
	search     *release.Search
	service    *service
	latency    *latency // of the search
	table      *table
	id         uint64
	repeatable bool
	least      float64
	began      time.Time
	deadline   time.Time
	goalAt     time.Time
	random     rand.PCG

	snapshot  uint64 // 0 until pinned
	parts     []part
	outside   wire.RangeSet
	requested uint64 // ledgers
	covered   uint64 // ledgers
	lost      uint64 // ledgers of parts that were given up
	open      int    // parts that haven't ended
	wakeAt    time.Time

	base   uint64 // sequence number of the first attempt in firsts
	firsts []attempt
	extras map[uint64]*attempt // hedges and retries by sequence number

	answered bool // a reply said that a sub-request ran
	mayRun   bool // an attempt ended without a conclusive reply
	refusals map[wire.Reason]int
	outbox   []wire.Sub   // hedges and retries to send
	cancels  []wire.SubID // attempts to cancel
	// restartDue asks the loop for a restart, because the replicas of a part
	// no longer hold the snapshot or the range.
	restartDue bool
	work       Work
	seen       Seen

	inbox struct {
		sync.Mutex
		replies []wire.Reply
		closed  bool
	}
	wake chan struct{}
}

func (e *Engine) newQuery(request Query) (*query, error) {
	q := &query{
		engine:  e,
		request: request,
		config:  request.Config,
		id:      e.queries.Add(1),
		began:   time.Now(),
		wake:    make(chan struct{}, 1),
	}
	if q.config == nil {
		return nil, badRequest("no configuration is given")
	}
	config := q.config.Services[request.Service]
	q.search = q.config.Searches[release.SearchKey(request.Service, request.Search)]
	if config == nil || q.search == nil {
		return nil, badRequest("service \"" + request.Service + "\" has no search \"" + request.Search + "\"")
	}
	q.random.Seed(e.seed())
	q.repeatable = request.Repeatable && q.search.Repeatable
	q.least = max(request.LeastCoverage, q.search.LeastCoverage)
	limit := q.search.Deadline.D()
	if request.Deadline > 0 && (limit <= 0 || request.Deadline < limit) {
		limit = request.Deadline
	}
	if limit <= 0 {
		return nil, badRequest("neither the query nor its search has a deadline")
	}
	q.deadline, q.goalAt = q.began.Add(limit), q.began.Add(limit)
	if q.search.Wait == release.WaitLatency && q.search.LatencyGoal > 0 {
		q.goalAt = q.began.Add(min(limit, q.search.LatencyGoal.D()-request.Used))
	}
	q.service = e.service(request.Service)
	q.latency = q.service.latencyOf(request.Search)
	q.table = q.service.tableFor(config, &e.options)
	q.request.Ledgers = normalize(request.Ledgers)
	q.layOut()
	if len(q.parts) == 0 {
		return nil, badRequest("no shard of service \"" + request.Service + "\" holds a requested ledger")
	}
	if !q.enough(q.requested - q.lost) {
		return nil, &NotRunError{Reason: ReasonNoShard, Detail: "no shard holds enough of the requested ledgers", Coverage: q.coverage()}
	}
	if !q.reachable() {
		return nil, &NotRunError{Reason: wire.ReasonNoReplica, Coverage: q.coverage()}
	}
	return q, nil
}

// layOut plans the parts on the current table.
func (q *query) layOut() {
	q.parts, q.outside = plan(q.table, q.request.Ledgers, q.repeatable)
	q.requested, q.covered, q.lost = q.outside.Len(), 0, q.outside.Len()
	for i := range q.parts {
		q.requested += q.parts[i].need.Len()
	}
	q.open = len(q.parts)
}

// start chooses the snapshot and sends the first tries.
func (q *query) start() {
	q.snapshot = chooseSnapshot(q.parts, time.Now())
	if q.work.Restarts == 0 {
		q.earn()
	}
	q.sendFirst()
}

// earn credits the first tries to the budgets of their shards.
func (q *query) earn() {
	if !q.table.config.ExtraPerShard {
		q.service.budget.earn(len(q.parts))
		return
	}
	for i := range q.parts {
		q.parts[i].shard.budget.earn(1)
	}
}

// loop processes replies and timers until the query ends.
func (q *query) loop(ctx context.Context) {
	timer := time.NewTimer(time.Until(q.deadline))
	defer timer.Stop()
	for {
		if q.isDone(time.Now()) {
			// What the last replies asked for is not needed any more.
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
			q.takeReplies()
		case <-timer.C:
			q.takeReplies()
			q.act(time.Now())
		case <-ctx.Done():
			q.takeReplies()
			return
		}
	}
}

// nextWake is the next time at which something is due without a reply.
func (q *query) nextWake() time.Time {
	next := q.deadline
	if now := time.Now(); q.goalAt.After(now) && q.goalAt.Before(next) {
		next = q.goalAt
	}
	if !q.wakeAt.IsZero() && q.wakeAt.Before(next) {
		next = q.wakeAt
	}
	return next
}

// isDone applies the wait rule.
func (q *query) isDone(now time.Time) bool {
	if q.open == 0 {
		return true
	}
	if !q.repeatable {
		// A sub-request that runs can't be taken back, so its reply is awaited.
		return false
	}
	if !q.enough(q.requested - q.lost) {
		return true
	}
	return !now.Before(q.goalAt) && q.covered > 0 && q.enough(q.covered)
}

// enough reports whether so many ledgers reach the least coverage.
func (q *query) enough(ledgers uint64) bool {
	return float64(ledgers) >= q.least*float64(q.requested)-coverageSlack
}

// wakeBy makes the loop act at t at the latest.
func (q *query) wakeBy(t time.Time) {
	if q.wakeAt.IsZero() || t.Before(q.wakeAt) {
		q.wakeAt = t
	}
}

// finish ends the query and states its result.
func (q *query) finish() (*Answer, error) {
	q.inbox.Lock()
	q.inbox.closed = true
	late := q.inbox.replies
	q.inbox.replies = nil
	q.inbox.Unlock()
	q.work.Dropped += len(late)
	now := time.Now()
	for i := range late {
		q.observeDropped(now, &late[i])
	}
	q.cancelOutstanding(now)
	q.outbox = nil
	q.flush()
	q.count()
	coverage := q.coverage()
	switch {
	case !q.answered && !q.mayRun:
		return nil, &NotRunError{Reason: q.mainReason(), Coverage: coverage, Work: q.work, Seen: q.seen}
	case !q.answered:
		return nil, &UnknownError{Reason: q.mainReason(), Coverage: coverage, Work: q.work, Seen: q.seen}
	case q.covered == 0 || !q.enough(q.covered):
		return nil, &BelowCoverageError{
			Least: q.least, Snapshot: q.snapshot, Coverage: coverage, Work: q.work, Seen: q.seen,
		}
	}
	return &Answer{
		Outcome:       wire.Answered,
		Query:         q.id,
		Snapshot:      q.snapshot,
		ConfigVersion: q.config.Version,
		Rows:          q.rows(),
		Coverage:      coverage,
		Timing:        q.timing(),
		Work:          q.work,
		Seen:          q.seen,
	}, nil
}

func (q *query) rows() []wire.Row {
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

func (q *query) timing() Timing {
	t := Timing{Total: time.Since(q.began)}
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

// mainReason returns the most frequent reason of failed attempts, or that of
// the parts that were given up without any.
func (q *query) mainReason() wire.Reason {
	reasons := q.refusals
	if len(reasons) == 0 {
		reasons = q.lostReasons()
	}
	best, most := wire.ReasonTimeout, 0
	for reason, n := range reasons {
		if n > most || n == most && reason < best {
			best, most = reason, n
		}
	}
	return best
}

func (q *query) lostReasons() map[wire.Reason]int {
	reasons := map[wire.Reason]int{}
	for i := range q.parts {
		if p := &q.parts[i]; p.ended && p.got.Len() < p.need.Len() {
			reasons[p.reason]++
		}
	}
	return reasons
}

func (q *query) count() {
	m, w := &q.engine.metrics, &q.work
	m.firstTries.Inc(int64(w.FirstTries))
	m.hedges.Inc(int64(w.Hedges))
	m.retries.Inc(int64(w.Retries))
	m.restarts.Inc(int64(w.Restarts))
	m.cancelled.Inc(int64(w.Cancelled))
	m.dropped.Inc(int64(w.Dropped))
	m.budgetRefused.Inc(int64(w.BudgetRefused))
}
