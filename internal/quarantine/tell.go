package quarantine

import (
	"context"
	"encoding/json"
	"sync"
	"time"
)

const (
	// tellTimeout bounds one call to a leader, tellRetryInterval is the pause after a
	// round in which a leader did not take the records.
	tellTimeout       = 500 * time.Millisecond
	tellRetryInterval = 400 * time.Millisecond
	// retellInterval is the time after which a leader is told the recent and the
	// quarantined records again, because its process may have restarted.
	retellInterval = 5 * time.Second
	// maxConcurrentPushes limits the followers that are told at the same time.
	maxConcurrentPushes = 16
)

// toldLeader is what a leader was told.
type toldLeader struct {
	revision uint64
	since    time.Duration // when it was first told, or told everything again
	present  bool          // it leads still
}

// wakeRun makes tellLoop tell the other hosts what is new.
func (r *Registry) wakeRun() {
	select {
	case r.news <- struct{}{}:
	default:
	}
}

// Run tells the leaders what this host observes, and keeps the verdicts of the store, until
// ctx ends. A leader that can't be reached, or that is new, is told later. It returns nil.
func (r *Registry) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	if r.options.Store == nil {
		r.started.Store(true)
	} else {
		group.Go(func() { r.start(ctx) })
		group.Go(func() { r.saveLoop(ctx) })
	}
	r.tellLoop(ctx)
	return nil
}

// tellLoop tells the leaders what this host observes, until ctx ends.
func (r *Registry) tellLoop(ctx context.Context) {
	ticker := time.NewTicker(tellRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.news:
		case <-ticker.C:
		}
		if r.recordCount.Load() > 0 {
			r.tellAll(ctx)
			r.pushToFollowers(ctx)
		}
	}
}

// tellAll tells each leader what it was not told yet.
func (r *Registry) tellAll(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for _, leader := range r.options.Leaders() {
		records, reached := r.newsFor(leader)
		if len(records) > 0 {
			calls.Go(func() { r.tell(ctx, leader, records, reached) })
		}
	}
	r.forgetFormerLeaders()
}

// newsFor returns the records that a leader was not told yet: those that this host
// observed or, if it leads, all. Old ones that are not quarantined are left out: they stay
// known for retention, and would be told again and again.
func (r *Registry) newsFor(leader string) ([]Known, uint64) {
	onlyOwn := !r.options.Leads()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	told := r.told[leader]
	if told == nil || now-told.since >= retellInterval {
		told = &toldLeader{since: now}
		r.told[leader] = told
	}
	told.present = true
	records, reached := r.since(told.revision, func(known *record) bool {
		return (known.own || !onlyOwn) && (known.quarantined || now-known.changedAt <= recentTime)
	})
	if len(records) == 0 {
		told.revision = reached
	}
	return records, reached
}

// urgency says how soon other hosts must know a record.
type urgency int

const (
	urgencyNone urgency = iota
	urgencySuspected
	urgencyQuarantined
)

// urgency returns how urgent the record is: hosts that do not know it yet send the
// request to a server of each shard at once.
func (r *record) urgency() urgency {
	switch {
	case r.quarantined:
		return urgencyQuarantined
	case r.unexplained >= permissionEndings:
		return urgencySuspected
	default:
		return urgencyNone
	}
}

// pushToFollowers tells the hosts that follow this one the records that have become
// urgent, before they ask for them.
func (r *Registry) pushToFollowers(ctx context.Context) {
	if !r.options.Leads() {
		return
	}
	body := r.urgentNews()
	if body == nil {
		return
	}
	slots := make(chan struct{}, maxConcurrentPushes)
	var calls sync.WaitGroup
	defer calls.Wait()
	for _, follower := range r.options.Followers() {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, tellTimeout)
			defer cancel()
			if err := r.options.Transport.Tell(ctx, follower, body); err != nil {
				// It asks for the records with its next poll.
				r.metrics.followerFailed.Inc(1)
				r.options.Logger.WithError(err).WithField("peer", follower).Debug("follower not told of a suspected request")
			}
		})
	}
}

// urgentNews returns the message with the records that have become more urgent since the
// last call, nil if there are none.
func (r *Registry) urgentNews() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	var urgent []Known
	for key, known := range r.records {
		if level := known.urgency(); level > known.pushed && len(urgent) < maxTold {
			known.pushed = level
			urgent = append(urgent, known.toKnown(key, now))
		}
	}
	if len(urgent) == 0 {
		return nil
	}
	body, err := json.Marshal(urgent)
	if err != nil {
		r.options.Logger.WithError(err).Error("suspected requests not encoded")
		return nil
	}
	return body
}

// forgetFormerLeaders drops the positions of hosts that lead no longer.
func (r *Registry) forgetFormerLeaders() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for leader, told := range r.told {
		if !told.present {
			delete(r.told, leader)
			continue
		}
		told.present = false
	}
}

// tell passes records to a leader and advances its position.
func (r *Registry) tell(ctx context.Context, leader string, records []Known, reached uint64) {
	body, err := json.Marshal(records)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, tellTimeout)
		defer cancel()
		err = r.options.Transport.Tell(ctx, leader, body)
	}
	if err != nil {
		r.metrics.leaderFailed.Inc(1)
		if ctx.Err() == nil {
			r.options.Logger.WithError(err).WithField("peer", leader).Info("leader not told of suspected requests")
		}
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if told := r.told[leader]; told != nil {
		told.revision = max(told.revision, reached)
	}
}
