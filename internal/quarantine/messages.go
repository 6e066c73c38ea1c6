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
}

// KnownEnding is the end of a server while it ran the request.
type KnownEnding struct {
	Replica  wire.ReplicaID `json:"replica"`
	BeganAge time.Duration  `json:"began_age"` // since the run was started
	Age      time.Duration  `json:"age"`       // since the end was noticed
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
	return nil
}

// Since returns records that changed after a revision, in order of their changes and
// maxTold at most, and the revision of the last one.
func (r *Registry) Since(revision uint64) ([]Known, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.since(revision, false)
}

// since is Since for a caller that holds mu. onlyOwn leaves out what other hosts
// observed.
func (r *Registry) since(revision uint64, onlyOwn bool) ([]Known, uint64) {
	if revision >= r.revision {
		return nil, r.revision
	}
	var changed []wire.RequestKey
	for key, known := range r.records {
		if known.revision > revision && (known.own || !onlyOwn) {
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
		out = append(out, r.records[key].known(key, now))
	}
	return out, reached
}

// known returns the record in the form for another host.
func (r *record) known(key wire.RequestKey, now time.Duration) Known {
	k := Known{Key: key, Cleared: r.cleared, Quarantined: r.quarantined}
	if r.quarantined {
		k.QuarantinedAge = now - r.quarantinedAt
	}
	if r.cleared {
		k.ClearedAge = now - r.clearedAt
	}
	for _, e := range r.endings {
		k.Endings = append(k.Endings, KnownEnding{Replica: e.replica, BeganAge: now - e.began, Age: now - e.at})
	}
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
	if known == nil && len(told.Endings) == 0 && !told.Quarantined {
		return // it is clear
	}
	if known == nil {
		known = r.record(told.Key)
	}
	changed := false
	if told.Cleared {
		changed = known.clear(now - told.ClearedAge)
	}
	var replica wire.ReplicaID
	for _, e := range told.Endings {
		if known.add(ending{replica: e.Replica, began: now - e.BeganAge, at: now - e.Age}) {
			changed, replica = true, e.Replica
		}
	}
	if told.Quarantined && known.quarantine(now-told.QuarantinedAge) {
		changed = true
	}
	if changed {
		r.noteChange(told.Key, known, sourcePeer, replica)
	}
}

// decodeRecords decodes the body of a request at PathRecords.
func decodeRecords(body []byte) ([]Known, error) {
	var records []Known
	if err := json.Unmarshal(body, &records); err != nil {
		return nil, errors.WithStack(err)
	}
	return records, nil
}
