// Package quarantine keeps requests that crash the backend servers that run them away
// from these servers.
//
// A server that ends while it runs a request makes that request a suspect. A suspect
// that comes again is tried on one server first. An answer clears it; when enough servers
// have ended under it and none has answered, it is quarantined: hosts refuse it without
// sending it on. Other requests that ran on the servers that a quarantined request ended
// are not blamed for these. What one host observes, it tells the leaders, and hosts learn
// it with the state of the leader that they follow, so that a quarantine holds on all
// hosts, restarted ones too.
package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// minEndings is the number of servers that must have ended under a request before it
	// is quarantined, and minLaterEndings the number of those whose run began after the
	// first of them had ended. Many servers may end at one moment for another reason,
	// under a request that ran on all of them.
	minEndings      = 3
	minLaterEndings = 2
	// maxEndings limits the endings that are remembered of a request.
	maxEndings = 32
	// Duration is how long a request is refused after the last server has ended under
	// it. Then it is tried again, on one server.
	Duration = 2 * time.Minute
	// suspicionTime is how long a request stays a suspect after the last ending.
	suspicionTime = time.Minute
	// trialTimeout is how long one trial of a request holds back the others.
	trialTimeout = 2 * time.Second
	// trialRetryAfter is the time after which a request that a trial holds back may come
	// again.
	trialRetryAfter = 200 * time.Millisecond
	// minExtension is the least time by which a quarantine is extended. Without it, hosts
	// would tell each other the ages of one quarantine, which differ a little, without end.
	minExtension = time.Second
	// maxRecords limits the requests that are remembered.
	maxRecords = 1024
)

// Registry knows the suspected and the quarantined requests. It is safe for concurrent
// use.
type Registry struct {
	options Options
	metrics metrics
	// recordCount is the number of records, for a check without mu.
	recordCount atomic.Int32
	news        chan struct{} // signals Run that there is something to tell

	mu       sync.Mutex
	revision uint64
	records  map[wire.RequestKey]*record
	told     map[string]*toldLeader // by the leader's address for peers
}

// ending is the end of a server while it ran a request.
type ending struct {
	replica wire.ReplicaID
	// began is when the run was started, at when the end was noticed.
	began, at time.Duration
}

// record is what is known of one request.
type record struct {
	endings   []ending // of different replicas, maxEndings at most
	clearedAt time.Duration
	cleared   bool
	// quarantined is set once the endings sufficed for a quarantine, on this host or on
	// another one, most recently at quarantinedAt.
	quarantined   bool
	quarantinedAt time.Duration
	// unexplained is the number of endings that no quarantined request explains; see
	// assess.
	unexplained int
	changedAt   time.Duration
	revision    uint64 // of the registry at the last change
	own         bool   // this host observed some of it
	// trialUntil is the end of a trial that this host makes.
	trialUntil time.Duration
	logged     bool // the quarantine was logged
	// pushed is the urgency with which the record was last pushed to the followers.
	pushed urgency
}

// lastEnding returns when the last server ended; 0 without endings.
func (r *record) lastEnding() time.Duration {
	var last time.Duration
	for _, e := range r.endings {
		last = max(last, e.at)
	}
	return last
}

// quarantinedFor returns the remaining time of the quarantine; 0: not quarantined.
func (r *record) quarantinedFor(now time.Duration) time.Duration {
	if !r.quarantined {
		return 0
	}
	return max(0, r.quarantinedAt+Duration-now)
}

// isSuspect reports whether the request must be tried on one server first.
func (r *record) isSuspect(now time.Duration) bool {
	return r.quarantined || r.unexplained > 0 && now-r.lastEnding() < suspicionTime
}

// add adds an ending and reports whether it changed the record.
func (r *record) add(e ending) bool {
	if r.cleared && e.began <= r.clearedAt {
		return false
	}
	if slices.ContainsFunc(r.endings, func(other ending) bool { return other.replica == e.replica }) {
		return false
	}
	if len(r.endings) < maxEndings {
		r.endings = append(r.endings, e)
		return true
	}
	// The first ending and those of later runs decide about suffices.
	slices.SortFunc(r.endings, func(a, b ending) int { return cmp.Compare(a.at, b.at) })
	first := r.endings[0].at
	replaced := slices.IndexFunc(r.endings[1:], func(other ending) bool { return other.began <= first }) + 1
	if e.began <= first || replaced == 0 {
		return false
	}
	r.endings[replaced] = e
	return true
}

// clear records that a server answered the request, and reports whether that changed the
// record.
func (r *record) clear(at time.Duration) bool {
	kept := slices.DeleteFunc(slices.Clone(r.endings), func(e ending) bool { return e.began <= at })
	changed := len(kept) != len(r.endings) || r.quarantined
	r.endings, r.cleared, r.clearedAt = kept, true, max(at, r.clearedAt)
	r.quarantined = false
	return changed
}

// quarantine quarantines the request from a time on, and reports whether that changed the
// record. An answer after that time outweighs it.
func (r *record) quarantine(at time.Duration) bool {
	if r.cleared && at <= r.clearedAt || r.quarantined && at-r.quarantinedAt < minExtension {
		return false
	}
	r.quarantined, r.quarantinedAt = true, at
	return true
}

// New returns a registry without records. A missing option gives *OptionError.
func New(options Options) (*Registry, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	return &Registry{
		options: options, metrics: newMetrics(options.Scope), news: make(chan struct{}, 1),
		records: map[wire.RequestKey]*record{}, told: map[string]*toldLeader{},
	}, nil
}

// Admission says how an admitted request may be sent to servers.
type Admission struct {
	// ServersEnded is the number of servers that have ended while they ran the request.
	// If it is not 0, the request must be sent to one server at a time until one answers.
	ServersEnded int
	// Done must be called at the end of the request.
	Done func()
}

// Admit decides about a request that is about to be sent to servers. *RefusedError means
// that it must not be sent.
func (r *Registry) Admit(key wire.RequestKey) (Admission, error) {
	admitted := Admission{Done: func() {}}
	if key.IsZero() || r.recordCount.Load() == 0 {
		return admitted, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	known := r.records[key]
	switch {
	case known == nil || !known.isSuspect(now):
		return admitted, nil
	case known.quarantinedFor(now) > 0:
		return Admission{}, r.refuse(key, known.quarantinedFor(now))
	case known.unexplained == 1 && !known.quarantined:
		// One server may have ended for any reason.
		admitted.ServersEnded = 1
		return admitted, nil
	case now < known.trialUntil:
		return Admission{}, r.refuse(key, trialRetryAfter)
	}
	r.metrics.trials.Inc(1)
	until := now + trialTimeout
	known.trialUntil = until
	return Admission{ServersEnded: max(1, known.unexplained), Done: func() { r.endTrial(key, until) }}, nil
}

// Check returns *RefusedError for a quarantined request.
func (r *Registry) Check(key wire.RequestKey) error {
	if key.IsZero() || r.recordCount.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if left := r.quarantinedFor(key); left > 0 {
		return r.refuse(key, left)
	}
	return nil
}

// Quarantined reports whether a request must not be sent to servers.
func (r *Registry) Quarantined(key wire.RequestKey) bool {
	if key.IsZero() || r.recordCount.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantinedFor(key) > 0
}

// quarantinedFor returns the remaining time of the quarantine of a request; 0: it is not
// quarantined. The caller holds mu.
func (r *Registry) quarantinedFor(key wire.RequestKey) time.Duration {
	known := r.records[key]
	if known == nil {
		return 0
	}
	return known.quarantinedFor(r.options.Clock())
}

// refuse returns the error for a refused request and counts it.
func (r *Registry) refuse(key wire.RequestKey, retryAfter time.Duration) error {
	r.metrics.refused.Inc(1)
	return &RefusedError{Key: key, RetryAfter: retryAfter}
}

// endTrial lets the next trial begin, unless another one has begun already.
func (r *Registry) endTrial(key wire.RequestKey, until time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.records[key]; known != nil && known.trialUntil == until {
		known.trialUntil = 0
	}
}

// Run is a run of a request on a server.
type Run struct {
	Key wire.RequestKey
	Age time.Duration // since it was started
}

// ServerEnded records that a server has ended while it ran the given requests.
func (r *Registry) ServerEnded(replica wire.ReplicaID, runs []Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	changed := false
	for _, run := range runs {
		if run.Key.IsZero() {
			continue
		}
		known := r.record(run.Key)
		if known.add(ending{replica: replica, began: now - run.Age, at: now}) {
			known.own, changed = true, true
			r.noteChange(run.Key, known, sourceOwn, replica)
		}
	}
	if changed {
		r.assess(now)
		r.wakeRun()
	}
}

// Answered records that a server answered the request, which clears it. An error
// response clears nothing: a server may send it in place of a run.
func (r *Registry) Answered(key wire.RequestKey) {
	if key.IsZero() || r.recordCount.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.records[key]
	if known != nil && known.clear(r.options.Clock()) {
		known.own = true
		r.noteChange(key, known, sourceOwn, "")
		r.wakeRun()
	}
}

// record returns the record of a request, and creates it if there is none. The caller
// holds mu.
func (r *Registry) record(key wire.RequestKey) *record {
	known := r.records[key]
	if known == nil {
		r.evict()
		known = &record{}
		r.records[key] = known
		r.recordCount.Store(int32(len(r.records)))
	}
	return known
}

// evict drops records that are no longer needed and, if there are still maxRecords, the
// one that changed longest ago; a quarantined one only if all are. The caller holds mu.
func (r *Registry) evict() {
	now := r.options.Clock()
	var first wire.RequestKey
	var firstRank time.Duration
	for key, known := range r.records {
		if now-known.changedAt > Duration+suspicionTime {
			delete(r.records, key)
			continue
		}
		// A quarantined request outranks any that is not.
		rank := known.changedAt
		if known.quarantinedFor(now) > 0 {
			rank += 2 * (Duration + suspicionTime)
		}
		if first.IsZero() || rank < firstRank {
			first, firstRank = key, rank
		}
	}
	if len(r.records) >= maxRecords {
		delete(r.records, first)
	}
}

// Sources of a change, for the log.
const (
	sourceOwn  = "own"
	sourcePeer = "peer"
)

// noteChange numbers a change of a record and logs it. The caller holds mu.
func (r *Registry) noteChange(key wire.RequestKey, known *record, source string, replica wire.ReplicaID) {
	now := r.options.Clock()
	r.revision++
	known.revision, known.changedAt = r.revision, now
	left := known.quarantinedFor(now)
	logger := r.options.Logger.WithFields(log.Fields{
		"key": key.String(), "source": source, "replica": string(replica), "servers_ended": len(known.endings),
	})
	switch {
	case left > 0 && !known.logged:
		r.metrics.quarantined.Inc(1)
		logger.WithField("for", left).Warn("request quarantined")
	case known.logged && left == 0:
		r.metrics.cleared.Inc(1)
		logger.Info("request no longer quarantined")
	case source == sourceOwn && len(known.endings) == 1:
		r.metrics.suspected.Inc(1)
		logger.Info("request suspected")
	}
	known.logged = left > 0
}
