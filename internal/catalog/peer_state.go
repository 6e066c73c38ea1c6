package catalog

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/history"
	"github.com/arbutusgauge/arbutusgauge/internal/lead"
	"github.com/arbutusgauge/arbutusgauge/internal/quarantine"
	"github.com/arbutusgauge/arbutusgauge/internal/ratelimit"
	"github.com/arbutusgauge/arbutusgauge/internal/routing"
)

// maxKeptChanges is the number of newest server changes that a host keeps for
// its peers; the log is cut to this number when it has grown beyond twice as
// many.
const maxKeptChanges = 2000

// maxKeptJumps is the number of jumps that a host keeps; the oldest ones are merged.
const maxKeptJumps = 16

// changeLog numbers the server changes that had an effect, from 1, and keeps the
// newest ones. The catalog's mutex guards it.
type changeLog struct {
	run     int64          // identifies the process that numbered the changes
	newest  uint64         // number of the newest change; 0: none
	changes []ServerChange // the newest ones; the last has the number newest
	jumps   []jump
}

// jump is a step of the known position for which the log has only the difference of the
// states before and after it. It lacks the removal of a server that was added and removed
// in between, which a follower that was ahead of this host may know.
type jump struct {
	after    uint64 // number of the newest change before the jump
	from, to history.Position
}

func (l *changeLog) add(change ServerChange) {
	l.newest++
	l.changes = append(l.changes, change)
	if len(l.changes) > 2*maxKeptChanges {
		l.changes = append([]ServerChange(nil), l.changes[len(l.changes)-maxKeptChanges:]...)
	}
}

// addJump records a jump that comes before the changes which are added next.
func (l *changeLog) addJump(from, to history.Position) {
	if !from.IsBefore(to) {
		return
	}
	l.jumps = append(l.jumps, jump{after: l.newest, from: from, to: to})
	if len(l.jumps) > maxKeptJumps {
		l.jumps[1].from = l.jumps[0].from
		l.jumps = slices.Delete(l.jumps, 0, 1)
	}
}

// since returns the changes after a number of a run, for a follower at a position, and
// whether they contain a jump; false if they are not all kept, the number is of another
// process, or the follower may know a server whose removal they lack.
func (l *changeLog) since(run int64, after uint64, known history.Position) (changes []ServerChange, jumped, kept bool) {
	if run != l.run || after > l.newest || l.newest-after > uint64(len(l.changes)) {
		return nil, false, false
	}
	for _, j := range l.jumps {
		if j.after < after {
			continue
		}
		if j.from.IsBefore(known) && known.IsBefore(j.to) {
			return nil, false, false
		}
		jumped = jumped || known.IsBefore(j.to)
	}
	return l.changes[uint64(len(l.changes))-(l.newest-after):], jumped, true
}

// peerState is the answer to a peer at PathState.
type peerState struct {
	// Age is the time since the source last answered; see sourceAge.
	Age   time.Duration  `json:"age"`
	Table *routing.Table `json:"table,omitempty"` // only if it is newer than the peer's
	Fleet lead.Fleet     `json:"fleet"`
	// Hosts are the addresses of some hosts, if the peer asked for them.
	Hosts []string `json:"hosts,omitempty"`
	// Revision is the source revision up to which this host knows the servers, in Era.
	Revision uint64 `json:"revision"`
	Era      uint64 `json:"era,omitempty"`
	// Evacuated are the data centres out of use; nil if this host does not know them.
	Evacuated *evacuatedState `json:"evacuated,omitempty"`
	// Run and Newest are the position in the change log after this answer.
	Run    int64  `json:"run"`
	Newest uint64 `json:"next"`
	// Servers has all servers if Full is set; else Changes has the changes since
	// the peer's position.
	Full    bool     `json:"full,omitempty"`
	Servers []Server `json:"servers,omitempty"`
	// Lapsed are the ids of those Servers whose entries are missing in the source.
	Lapsed  []string       `json:"lapsed,omitempty"`
	Changes []ServerChange `json:"changes,omitempty"`
	// Jumped is set if Changes contains a jump of the change log.
	Jumped bool `json:"jumped,omitempty"`
	// asked is the position that the peer was told with the question.
	asked history.Position
	// RateLimits are the limits that changed since the peer's position, and
	// RateLimitsRevision is the position after them.
	RateLimits         []ratelimit.Known `json:"rate_limits,omitempty"`
	RateLimitsRevision uint64            `json:"rate_limits_revision,omitempty"`
	// Quarantine are the records of suspected requests that changed since the peer's
	// position, and QuarantineRevision is the position after them.
	Quarantine         []quarantine.Known `json:"quarantine,omitempty"`
	QuarantineRevision uint64             `json:"quarantine_revision,omitempty"`
}

// decodePeerState decodes the answer of a peer. *StateError reports one that no host
// of this program sends.
func decodePeerState(body []byte) (*peerState, error) {
	var state peerState
	if err := json.Unmarshal(body, &state); err != nil {
		return nil, errors.WithStack(err)
	}
	switch {
	case state.Run == 0:
		return nil, errors.WithStack(&StateError{Problem: "it names no change log"})
	case state.Age < 0:
		return nil, errors.WithStack(&StateError{Problem: "its age is negative"})
	case state.Table != nil && state.Table.Version == 0:
		return nil, errors.WithStack(&StateError{Problem: "its routing table has no version"})
	case state.Evacuated != nil && (state.Evacuated.Revision == 0 || slices.Contains(state.Evacuated.DataCentres, "")):
		return nil, errors.WithStack(&StateError{Problem: "its evacuated data centres lack a position or a name"})
	}
	return &state, nil
}

// StateError reports a malformed state of a peer.
type StateError struct{ Problem string }

// Error implements error.
func (e *StateError) Error() string { return "malformed state: " + e.Problem }
