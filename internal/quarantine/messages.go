package quarantine

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Known is the record of a request as one host tells it to another. Times are told as
// ages, because the clocks of hosts differ.
type Known struct {
	Key     wire.RequestKey `json:"key"`
	Endings []KnownEnding   `json:"endings,omitempty"`
	// Quarantined is set if a host has quarantined the request, QuarantinedAge ago.
	Quarantined    bool          `json:"quarantined,omitempty"`
	QuarantinedAge time.Duration `json:"quarantined_age,omitempty"`
	// Cleared is set if a server has answered the request, ClearedAge ago.
	Cleared    bool          `json:"cleared,omitempty"`
	ClearedAge time.Duration `json:"cleared_age,omitempty"`
	// Convicted is set if the request was quarantined, also if it was cleared since.
	Convicted bool `json:"convicted,omitempty"`
	// Trials are the counted trials since the request was last cleared.
	Trials []KnownTrials `json:"trials,omitempty"`
}

// KnownTrials are the counted trials that one leader permitted.
type KnownTrials struct {
	Leader string        `json:"leader"` // its address for peers
	Count  int           `json:"count"`
	Age    time.Duration `json:"age"` // since the end of the last one
}

// KnownEnding is the end of a server while it ran the request.
type KnownEnding struct {
	Replica  wire.ReplicaID `json:"replica"`
	BeganAge time.Duration  `json:"began_age"` // since the run was started
	Age      time.Duration  `json:"age"`       // since the end was noticed
	Trial    bool           `json:"trial,omitempty"`
}

// maxTold limits the records in one message.
const maxTold = 64

// validate returns *MessageError for a record that no host of this program sends.
func (k *Known) validate() error {
	if k.Key.IsZero() || k.ClearedAge < 0 || k.QuarantinedAge < 0 || len(k.Endings) > maxEndings {
		return errors.WithStack(&MessageError{Problem: "record of a request is out of range"})
	}
	for _, e := range k.Endings {
		if e.Replica == "" || e.Age < 0 || e.BeganAge < e.Age {
			return errors.WithStack(&MessageError{Problem: "ending of a server is out of range"})
		}
	}
	return validateTrials(k.Trials)
}

// validateTrials returns *MessageError for counts that no host of this program states.
func validateTrials(trials []KnownTrials) error {
	if len(trials) > maxTrialLeaders {
		return errors.WithStack(&MessageError{Problem: "trials of too many leaders"})
	}
	for _, t := range trials {
		if t.Count < 1 || t.Count > maxTrials || t.Age < 0 {
			return errors.WithStack(&MessageError{Problem: "count of trials is out of range"})
		}
	}
	return nil
}

// Since returns records that changed after a revision, in order of their changes and
// maxTold at most, and the revision of the last one. From revision 0 on it returns the
// newest maxVerdicts verdicts in addition, because a host that starts must know them.
func (r *Registry) Since(revision uint64) ([]Known, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	records, reached := r.since(revision, func(*record) bool { return true })
	if revision > 0 || len(records) < maxTold {
		return records, reached
	}
	now := r.options.Clock()
	for _, key := range r.verdictKeys() {
		if known := r.records[key]; known.revision > reached {
			records = append(records, known.toKnown(key, now))
		}
	}
	return records, reached
}

// since is Since for a caller that holds mu, and for the wanted records only.
func (r *Registry) since(revision uint64, wanted func(*record) bool) ([]Known, uint64) {
	if revision >= r.revision {
		return nil, r.revision
	}
	var changed []wire.RequestKey
	for key, known := range r.records {
		if known.revision > revision && wanted(known) {
			changed = append(changed, key)
		}
	}
	slices.SortFunc(changed, func(a, b wire.RequestKey) int {
		return cmp.Compare(r.records[a].revision, r.records[b].revision)
	})
	reached := r.revision
	if len(changed) > maxTold {
		changed = changed[:maxTold]
		reached = r.records[changed[maxTold-1]].revision
	}
	now := r.options.Clock()
	out := make([]Known, 0, len(changed))
	for _, key := range changed {
		out = append(out, r.records[key].toKnown(key, now))
	}
	return out, reached
}

// toKnown returns the record in the form for another host.
func (r *record) toKnown(key wire.RequestKey, now time.Duration) Known {
	k := Known{Key: key, Cleared: r.cleared, Quarantined: r.quarantined, Convicted: r.convicted}
	if r.quarantined {
		k.QuarantinedAge = now - r.quarantinedAt
	}
	if r.cleared {
		k.ClearedAge = now - r.clearedAt
	}
	for _, e := range r.endings {
		k.Endings = append(k.Endings, KnownEnding{Replica: e.replica, BeganAge: now - e.began, Age: now - e.at, Trial: e.trial})
	}
	k.Trials = r.knownTrials(now)
	return k
}

// Learn adds what a peer knows to the records. *MessageError reports a malformed record;
// then none is used.
func (r *Registry) Learn(records []Known) error {
	for i := range records {
		if err := records[i].validate(); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	for i := range records {
		r.learn(&records[i], now)
	}
	if len(records) > 0 {
		r.assess(now)
		r.wakeRun()
	}
	return nil
}

// learn adds one record of a peer. The caller holds mu.
func (r *Registry) learn(told *Known, now time.Duration) {
	known := r.records[told.Key]
	if known == nil && len(told.Endings) == 0 && !told.Quarantined && !told.Convicted {
		return // it is clear
	}
	if known == nil {
		known = r.record(told.Key)
	}
	changed := told.Convicted && !known.convicted
	known.convicted = known.convicted || told.Convicted
	if told.Cleared {
		changed = known.clear(now-told.ClearedAge) || changed
	}
	var replica wire.ReplicaID
	for _, e := range told.Endings {
		if known.add(ending{replica: e.Replica, began: now - e.BeganAge, at: now - e.Age, trial: e.Trial}) {
			changed, replica = true, e.Replica
		}
	}
	if told.Quarantined && known.quarantine(now-told.QuarantinedAge) {
		changed = true
	}
	changed = known.learnTrials(told.Trials, now) || changed
	if changed {
		r.noteChange(told.Key, known, sourcePeer, replica)
	}
	if answered, ok := r.answers.last(told.Key, now); ok && known.clear(answered) {
		known.own = true
		r.noteChange(told.Key, known, sourceOwn, "")
	}
}

// knownTrials returns the counted trials in the form for another host.
func (r *record) knownTrials(now time.Duration) []KnownTrials {
	var out []KnownTrials
	for _, t := range r.trials {
		out = append(out, KnownTrials{Leader: t.leader, Count: t.count, Age: max(0, now-t.at)})
	}
	return out
}

// learnTrials merges the counted trials that a peer knows, and reports whether that changed
// the record.
func (r *record) learnTrials(told []KnownTrials, now time.Duration) bool {
	changed := false
	for _, t := range told {
		changed = r.addTrials(trialCount{leader: t.Leader, count: t.Count, at: now - t.Age}) || changed
	}
	return r.quarantineIfTried() || changed
}

// decodeRecords decodes the body of a request at PathRecords.
func decodeRecords(body []byte) ([]Known, error) {
	var records []Known
	if err := json.Unmarshal(body, &records); err != nil {
		return nil, errors.WithStack(err)
	}
	return records, nil
}
