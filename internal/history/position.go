// Package history orders what is known of a store whose history may go back: a store
// that is restored from a copy loses its newest changes and gives out their revisions
// again.
package history

// Position is a point in the history of a store. A restoration starts a new era, and
// revisions of different eras say nothing of each other.
type Position struct {
	Era      uint64 `json:"era,omitempty"` // rises with each restoration; 0: the store states none
	Revision uint64 `json:"revision"`
}

// IsBefore reports whether a position is before another one. If one of them states no
// era, because it comes from a host of an earlier version, the revisions decide.
func (p Position) IsBefore(other Position) bool {
	if p.Era != other.Era && p.Era != 0 && other.Era != 0 {
		return p.Era < other.Era
	}
	return p.Revision < other.Revision
}
