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
	// it. Then it is tried again, on one server, until maxTrials are used up.
	Duration = 2 * time.Minute
	// retention is how long a request is remembered that was quarantined, or under which
	// minEndings servers have ended. It is refused for so long after maxTrials.
	retention = 24 * time.Hour
	// suspicionTime is how long a request with fewer endings stays a suspect after the last
	// one.
	suspicionTime = time.Minute
	// recentTime is how long the other records are kept after their last change, and how
	// long leaders are told a record again.
	recentTime = Duration + suspicionTime
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
	answers     recentAnswers
	started     atomic.Bool // see Started

	mu       sync.Mutex
	revision uint64
	records  map[wire.RequestKey]*record
	told     map[string]*toldLeader // by the leader's address for peers
	// lostLeaders holds until when leaders are not asked, by their addresses.
	lostLeaders map[string]time.Duration
}

// ending is the end of a server while it ran a request.
type ending struct {
	replica wire.ReplicaID
	// began is when the run was started, at when the end was noticed.
	began, at time.Duration
	// trial is set if the run was a permitted trial.
	trial bool
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
	// convicted is set if the request was ever quarantined: the store may still have the
	// verdict, which must not be learned again once the request was cleared.
	convicted bool
	// unexplained is the number of endings that no quarantined request explains; see
	// assess.
	unexplained int
	changedAt   time.Duration
	revision    uint64 // of the registry at the last change
	own         bool   // this host observed some of it
	// trials are the counted trials since the request was last cleared, by leader.
	trials    []trialCount
	trial     ownTrial
	permitted permission
	logged    bool // the quarantine was logged
	// saved is the level of the verdict that the store has or need not have, and ageBefore
	// the age that the verdict had when it was read from there; see verdicts.go.
	saved     int
	ageBefore time.Duration
	// suspectOfStore is set if the request counts as quarantined only because the store names it
	// as a suspect.
	suspectOfStore bool
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
	if r.trialsUsed() >= maxTrials {
		return max(0, r.quarantinedAt+retention-r.ageBefore-now)
	}
	return max(0, r.quarantinedAt+Duration-now)
}

// isSuspect reports whether the request must be tried on one server first.
func (r *record) isSuspect(now time.Duration) bool {
	if r.quarantined {
		return now-r.quarantinedAt < retention
	}
	age := now - r.lastEnding()
	return r.unexplained > 0 && (age < suspicionTime || r.unexplained >= minEndings && age < retention)
}

// needsPermission reports whether a trial of the request, which is a suspect, needs the
// permission of a leader.
func (r *record) needsPermission(now time.Duration) bool {
	return r.isSuspect(now) && (r.quarantined || r.unexplained >= permissionEndings)
}

// trialsUsed returns the number of counted trials of all hosts.
func (r *record) trialsUsed() int {
	used := 0
	for _, t := range r.trials {
		used += t.count
	}
	return used
}

// quarantineIfTried quarantines the request after the last of its trials, and reports
// whether that changed the record.
func (r *record) quarantineIfTried() bool {
	if r.trialsUsed() < maxTrials {
		return false
	}
	var last time.Duration
	for _, t := range r.trials {
		last = max(last, t.at)
	}
	return r.quarantine(last)
}

// clearedSince reports whether a server answered the request at or after a time.
func (r *record) clearedSince(at time.Duration) bool { return r.cleared && r.clearedAt >= at }

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
	changed := len(kept) != len(r.endings) || r.quarantined && r.quarantinedAt <= at
	r.endings, r.cleared, r.clearedAt = kept, true, max(at, r.clearedAt)
	r.trials = slices.DeleteFunc(r.trials, func(t trialCount) bool { return t.at <= at })
	r.unexplained = min(r.unexplained, len(kept))
	if r.quarantinedAt <= at {
		r.quarantined = false
	}
	return changed
}

// quarantine quarantines the request from a time on, and reports whether that changed the
// record. An answer after that time outweighs it.
func (r *record) quarantine(at time.Duration) bool {
	if r.cleared && at <= r.clearedAt || r.quarantined && at-r.quarantinedAt < minExtension {
		return false
	}
	r.quarantined, r.convicted, r.quarantinedAt, r.ageBefore, r.suspectOfStore = true, true, at, 0, false
	return true
}

// New returns a registry without records. A missing option gives *OptionError.
func New(options Options) (*Registry, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	return &Registry{
		options: options, metrics: newMetrics(options.Scope), news: make(chan struct{}, 1),
		records: map[wire.RequestKey]*record{}, told: map[string]*toldLeader{}, lostLeaders: map[string]time.Duration{},
	}, nil
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
		began := now - run.Age
		if answered, ok := r.answers.last(run.Key, now); ok && began <= answered {
			continue // it does not crash servers
		}
		known := r.record(run.Key)
		if known.add(ending{replica: replica, began: began, at: now, trial: known.trial.covers(began)}) {
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
	if key.IsZero() {
		return
	}
	r.answers.note(key, r.options.Clock())
	if r.recordCount.Load() == 0 {
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
		if now-known.changedAt > known.retention() {
			delete(r.records, key)
			continue
		}
		// A request that was quarantined outranks any that was not.
		rank := known.changedAt
		if known.quarantined {
			rank += 2 * retention
		}
		if first.IsZero() || rank < firstRank {
			first, firstRank = key, rank
		}
	}
	if len(r.records) >= maxRecords {
		delete(r.records, first)
	}
}

// retention returns how long the record is kept after its last change.
func (r *record) retention() time.Duration {
	if r.convicted || r.unexplained >= minEndings {
		return retention
	}
	return recentTime
}

// Sources of a change, for the log.
const (
	sourceOwn  = "own"
	sourcePeer = "peer"

	sourceStore = "store"
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
