package quarantine

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// maxVerdicts limits the verdicts in the store: some 64 KB.
	maxVerdicts = 128
	// saveInterval is the time between two checks for verdicts to save. A verdict that is
	// cleared before the next check, as when another request explains its endings, is not
	// written.
	saveInterval = 500 * time.Millisecond
	// storeTimeout bounds a call to the store, storeRetryPause is the pause after a failed
	// one.
	storeTimeout    = 500 * time.Millisecond
	storeRetryPause = time.Second
	// peerStartWait is how long a starting host waits for the state of a peer before it
	// reads the store, as the catalog does for the table.
	peerStartWait = 20 * time.Millisecond
	// startDelay is the longest time by which the verdicts delay the readiness of a host
	// that has a state otherwise, startPollInterval the time between two checks of that.
	startDelay        = 100 * time.Millisecond
	startPollInterval = 10 * time.Millisecond
	// startRetryPause is the pause after a failed read at the start, maxStartReads the
	// number of reads: many hosts may start without the store.
	startRetryPause = 30 * time.Millisecond
	maxStartReads   = 3
)

// Verdict is a quarantined request as the store keeps it, or a suspected one of which only
// one trial at a time is permitted for retention. Processes have no common clock, so
// that times are ages at the time of writing; they do not grow while no host runs.
type Verdict struct {
	Key    wire.RequestKey `json:"key"`
	Age    time.Duration   `json:"age"` // since the request was quarantined, or the last server ended under it
	Trials []KnownTrials   `json:"trials,omitempty"`
	// Suspect is set if the request was not quarantined. A host of an earlier version takes it
	// for quarantined.
	Suspect bool `json:"suspect,omitempty"`
}

// Validate returns *MessageError for a verdict that no host of this program writes.
func (v *Verdict) Validate() error {
	if v.Key.IsZero() || v.Age < 0 {
		return errors.WithStack(&MessageError{Problem: "verdict is out of range"})
	}
	return validateTrials(v.Trials)
}

// level returns how far the verdict has got: it is written again only at a greater level.
func (v *Verdict) level() int {
	used := 0
	for _, t := range v.Trials {
		used += t.Count
	}
	return levelOf(!v.Suspect, used)
}

// level is Verdict.level for a record, 0 without a verdict.
func (r *record) level() int {
	if !r.quarantined && !r.isLongSuspect() {
		return 0
	}
	return levelOf(r.isProven(), r.trialsUsed())
}

// levelOf returns the level of a verdict.
func levelOf(proven bool, trials int) int {
	level := 1 + 2*min(trials, maxTrials)
	if proven {
		level++
	}
	return level
}

// isLongSuspect reports whether the request, which is not quarantined, stays a suspect for
// retention.
func (r *record) isLongSuspect() bool { return !r.quarantined && r.unexplained >= minEndings }

// isProven reports whether the request was quarantined, and not only learned as a suspect
// from the store.
func (r *record) isProven() bool { return r.quarantined && !r.suspectOfStore }

// verdictAge returns the age of the verdict on a record that has a level.
func (r *record) verdictAge(now time.Duration) time.Duration {
	if r.isLongSuspect() {
		return max(0, now-r.lastEnding())
	}
	return max(0, now-r.quarantinedAt+r.ageBefore)
}

// Store keeps verdicts beyond the end of all processes.
type Store interface {
	// Load returns the verdicts. A malformed value counts as none. stale permits a cheaper
	// read of older data, of seconds at most.
	Load(ctx context.Context, stale bool) ([]Verdict, error)
	// Save replaces the verdicts that the last Load without stale returned. *ConflictError means that
	// they were changed meanwhile. After another error they may have been replaced.
	Save(ctx context.Context, verdicts []Verdict) error
	// Era returns a number that rises when the store is restored from an older copy.
	Era() uint64
}

// verdictKeys returns the keys of the requests whose verdicts are kept: the quarantined ones,
// then the suspects, each those with the latest verdict first. The caller holds mu.
func (r *Registry) verdictKeys() []wire.RequestKey {
	now := r.options.Clock()
	var keys []wire.RequestKey
	for key, known := range r.records {
		if known.level() > 0 && known.verdictAge(now) < retention {
			keys = append(keys, key)
		}
	}
	rank := func(key wire.RequestKey) time.Duration {
		known := r.records[key]
		if known.isProven() {
			return known.verdictAge(now)
		}
		return retention + known.verdictAge(now)
	}
	slices.SortFunc(keys, func(a, b wire.RequestKey) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), bytes.Compare(a[:], b[:]))
	})
	return keys[:min(len(keys), maxVerdicts)]
}

// hasUnsaved reports whether there is a verdict that is not known to be in the store.
func (r *Registry) hasUnsaved() bool {
	if r.recordCount.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, known := range r.records {
		if known.level() > known.saved {
			return true
		}
	}
	return false
}

// learnVerdicts adds the verdicts of the store. One that is new here holds for the whole
// Duration again. A request that was cleared since stays clear.
func (r *Registry) learnVerdicts(verdicts []Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	for i := range verdicts {
		v := &verdicts[i]
		known := r.records[v.Key]
		if known != nil && known.cleared && !known.quarantined {
			continue
		}
		if known == nil {
			known = r.record(v.Key)
		}
		changed := known.learnTrials(v.Trials, now)
		from := now
		if v.Suspect {
			from -= Duration // it may be tried at once
		}
		if !known.quarantined && !known.isLongSuspect() && known.quarantine(from) {
			known.ageBefore, known.suspectOfStore, changed = v.Age, v.Suspect, true
		}
		known.saved = max(known.saved, v.level())
		if changed {
			r.noteChange(v.Key, known, sourceStore, "")
		}
	}
	r.wakeRun()
}

// toSave returns the verdicts for the store, and whether it lacks any of them.
func (r *Registry) toSave(stored []Verdict) ([]Verdict, bool) {
	levels := map[wire.RequestKey]int{}
	for i := range stored {
		levels[stored[i].Key] = stored[i].level()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	var verdicts []Verdict
	lacks := false
	for _, key := range r.verdictKeys() {
		known := r.records[key]
		verdicts = append(verdicts, Verdict{
			Key: key, Age: known.verdictAge(now), Trials: known.knownTrials(now), Suspect: !known.isProven(),
		})
		lacks = lacks || known.level() > levels[key]
	}
	return verdicts, lacks
}

// noteSaved records that the store has the verdicts. One that is not among them need not be
// kept.
func (r *Registry) noteSaved(verdicts []Verdict) {
	levels := map[wire.RequestKey]int{}
	for i := range verdicts {
		levels[verdicts[i].Key] = verdicts[i].level()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, known := range r.records {
		level, kept := levels[key]
		if !kept {
			level = known.level()
		}
		known.saved = max(known.saved, level)
	}
}

// saver keeps the verdicts of the store up to date while this host reads the store.
type saver struct {
	registry *Registry
	synced   bool   // the verdicts of the store were read since this host reads it
	era      uint64 // of the store when they were read
	nextAt   time.Duration
}

// saveLoop saves verdicts until ctx ends.
func (r *Registry) saveLoop(ctx context.Context) {
	s := &saver{registry: r}
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.tick(ctx)
		}
	}
}

// tick reads and writes the store if there is a reason to.
func (s *saver) tick(ctx context.Context) {
	r := s.registry
	if !r.options.Reads() {
		s.synced = false
		return
	}
	restored := r.options.Store.Era() > s.era
	if s.synced && !restored && !r.hasUnsaved() || r.options.Clock() < s.nextAt {
		return
	}
	err := s.sync(ctx)
	var conflict *ConflictError
	switch {
	case err == nil, errors.As(err, &conflict), ctx.Err() != nil:
	default:
		r.metrics.storeFailed.Inc(1)
		r.options.Logger.WithError(err).Info("verdicts not read from or written to the store")
		s.nextAt = r.options.Clock() + storeRetryPause
	}
}

// sync reads the verdicts of the store and writes those that it lacks.
func (s *saver) sync(ctx context.Context) error {
	r := s.registry
	stored, err := r.load(ctx, false)
	if err != nil {
		return err
	}
	era := r.options.Store.Era()
	verdicts, lacks := r.toSave(stored)
	if lacks {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if err := r.options.Store.Save(ctx, verdicts); err != nil {
			return err
		}
		r.metrics.saved.Inc(1)
	}
	s.synced, s.era = true, era
	r.noteSaved(verdicts)
	return nil
}

// load reads the verdicts of the store and learns them.
func (r *Registry) load(ctx context.Context, stale bool) ([]Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	verdicts, err := r.options.Store.Load(ctx, stale)
	if err != nil {
		return nil, err
	}
	r.learnVerdicts(verdicts)
	r.started.Store(true)
	return verdicts, nil
}

// Started reports whether this host knows the verdicts of before its start, or that it
// can't know them now. Until then it must not be ready, nor serve its state to peers.
func (r *Registry) Started() bool { return r.started.Load() }

// LearnState is Learn for the records in the state of a peer, which knows all verdicts.
func (r *Registry) LearnState(records []Known) error {
	err := r.Learn(records)
	if err == nil {
		r.started.Store(true)
	}
	return err
}

// start makes Started true: when a peer has provided its state, when the store has answered,
// or when this host has had a state for startDelay.
func (r *Registry) start(ctx context.Context) {
	read := make(chan struct{})
	go func() {
		defer close(read)
		r.loadAtStart(ctx)
	}()
	ticker := time.NewTicker(startPollInterval)
	defer ticker.Stop()
	readyAt := r.options.Clock() + startDelay
	for !r.Started() && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		now := r.options.Clock()
		switch {
		case !r.options.HasState():
			readyAt = now + startDelay
		case now >= readyAt:
			r.started.Store(true)
			r.options.Logger.Warn("ready without the verdicts of the store")
		}
	}
	<-read
}

// loadAtStart reads the store unless a peer has provided its state.
func (r *Registry) loadAtStart(ctx context.Context) {
	pause := peerStartWait
	for range maxStartReads {
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if r.Started() {
			return
		}
		// Many hosts may start at once. The leader that reads the store knows the newest
		// verdicts, and this host has them soon with the state of a peer.
		_, err := r.load(ctx, true)
		if err == nil {
			return
		}
		r.options.Logger.WithError(err).Info("verdicts not read at the start")
		pause = startRetryPause
	}
}
