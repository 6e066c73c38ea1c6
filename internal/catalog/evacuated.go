package catalog

import (
	"maps"
	"slices"

	"github.com/apex/log"

	"github.com/arbutusgauge/arbutusgauge/internal/history"
	"github.com/arbutusgauge/arbutusgauge/internal/routing"
)

// OperatorEntries are the entries of a source that the operators write.
type OperatorEntries struct {
	Table *routing.Table // the newest routing table, or nil if there is none
	// Evacuations are the entries that take data centres out of use: of a read, all of
	// them; of a watch, their changes in order.
	Evacuations []Evacuation
}

// Evacuation is one entry that takes a data centre out of use, or its removal.
type Evacuation struct {
	DataCentre string
	Removed    bool
}

// evacuatedSet are the data centres whose replicas are out of use. The catalog's mutex
// guards it. The set is passed on as a whole, so that no removal is lost.
type evacuatedSet struct {
	// at is the position at which the set is valid; the revision is 0 until a set is known.
	at    history.Position
	names map[string]bool
}

// evacuatedState is an evacuatedSet as one host tells it to another.
type evacuatedState struct {
	history.Position
	DataCentres []string `json:"data_centres,omitempty"` // sorted
}

// state returns the set for a peer, or nil if none is known.
func (s *evacuatedSet) state() *evacuatedState {
	if s.at.Revision == 0 {
		return nil
	}
	return &evacuatedState{Position: s.at, DataCentres: s.sorted()}
}

func (s *evacuatedSet) sorted() []string { return slices.Sorted(maps.Keys(s.names)) }

// replace replaces the set by a whole one that is valid at a position, unless that is
// before the position of the known one. It returns the names that were added and removed.
func (s *evacuatedSet) replace(names map[string]bool, at history.Position) (added, removed []string) {
	if at.Revision == 0 || s.at.Revision != 0 && at.IsBefore(s.at) {
		return nil, nil
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if !s.names[name] {
			added = append(added, name)
		}
	}
	for _, name := range s.sorted() {
		if !names[name] {
			removed = append(removed, name)
		}
	}
	s.names, s.at = names, at
	return added, removed
}

// changed returns the set after the changes of a watch. Changes that the set has already may
// be among them: the last change of each name decides.
func (s *evacuatedSet) changed(changes []Evacuation) map[string]bool {
	names := maps.Clone(s.names)
	for _, change := range changes {
		if change.Removed {
			delete(names, change.DataCentre)
		} else {
			names[change.DataCentre] = true
		}
	}
	return names
}

// applyEvacuationRead applies the evacuations of a full read at a position.
func (c *Catalog) applyEvacuationRead(entries []Evacuation, at history.Position) {
	names := map[string]bool{}
	for _, entry := range entries {
		if !entry.Removed {
			names[entry.DataCentre] = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replaceEvacuated(names, at, log.Fields{"source": "read"})
}

// applyEvacuationChanges applies the changes of a watch up to a position. The watch must
// have begun at the position of an earlier read or watch of this host, so that the set is
// not older than that.
func (c *Catalog) applyEvacuationChanges(changes []Evacuation, at history.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replaceEvacuated(c.evacuated.changed(changes), at, log.Fields{"source": "watch"})
}

// applyPeerEvacuated applies the set of a peer, nil if the peer knows none. It must be
// applied before the peer's table, so that no view has the table without the set.
func (c *Catalog) applyPeerEvacuated(state *evacuatedState, peer string) {
	if state == nil {
		return
	}
	names := map[string]bool{}
	for _, name := range state.DataCentres {
		names[name] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replaceEvacuated(names, state.Position, log.Fields{"source": "peer", "peer": peer})
}

// replaceEvacuated replaces the set, logs what changed with the fields of its source, and
// publishes a view if anything did. The caller holds mu.
func (c *Catalog) replaceEvacuated(names map[string]bool, at history.Position, source log.Fields) {
	added, removed := c.evacuated.replace(names, at)
	logger := c.options.Logger.WithFields(source).WithFields(log.Fields{"era": at.Era, "revision": at.Revision})
	for _, name := range added {
		logger.WithField("data_centre", name).Warn("data centre out of use")
	}
	for _, name := range removed {
		logger.WithField("data_centre", name).Warn("data centre back in use")
	}
	if len(added)+len(removed) > 0 {
		c.rebuild()
	}
}
