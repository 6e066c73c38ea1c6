package aggregate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/gateway"
)

// Guards against candidates that a query would not be forwarded to.
func TestCandidatesAreOfTheFirstGroupWithAUsablePeer(t *testing.T) {
	g := NewWithT(t)
	c := newTestClient([]string{"a", "b"}, []string{"c"})
	g.Expect(c.Candidates()).To(Equal([]Peer{{Addr: "a"}, {Addr: "b"}}))
	c.avoidPeer("a", &gateway.ForwardedQuery{}, &AcceptTimeoutError{Timeout: time.Second})
	g.Expect(c.Candidates()).To(Equal([]Peer{{Addr: "b"}}))
	c.avoidPeer("b", &gateway.ForwardedQuery{}, &AcceptTimeoutError{Timeout: time.Second})
	g.Expect(c.Candidates()).To(Equal([]Peer{{Addr: "c"}}))
	g.Expect(newTestClient().Candidates()).To(BeEmpty())
}
