package history

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against positions of different eras that are ordered by their revisions.
func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		a, b   Position
		before bool
	}{
		{Position{Era: 1, Revision: 5}, Position{Era: 1, Revision: 6}, true},
		{Position{Era: 1, Revision: 6}, Position{Era: 1, Revision: 6}, false},
		{Position{Era: 1, Revision: 60}, Position{Era: 2, Revision: 6}, true},
		{Position{Era: 2, Revision: 6}, Position{Era: 1, Revision: 60}, false},
		{Position{Revision: 6}, Position{Era: 2, Revision: 7}, true},
		{Position{Era: 2, Revision: 7}, Position{Revision: 6}, false},
	} {
		g.Expect(c.a.IsBefore(c.b)).To(Equal(c.before), "%v before %v", c.a, c.b)
	}
}
