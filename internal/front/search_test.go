package front_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestSearchIsAnswered(t *testing.T) {
	RegisterTestingT(t)
	s, f, _ := newFront(t)
	r := call(s, "POST", findPath, `{"range": {"lo": 0, "hi": 10}, "payload": "x"}`)
	Expect(r.Status).To(Equal(200), r.Text)
	Expect(r.Outcome).To(Equal("answered"))
	Expect(r.Rows).To(HaveLen(1))
	Expect(f.searches[0].Ledgers.Len()).To(BeEquivalentTo(10))
	Expect(f.recorded).To(HaveLen(1))
}

// A ticketed request that a caller repeats must not reach the engine again.
func TestRepeatedTicketReturnsTheStoredAnswer(t *testing.T) {
	RegisterTestingT(t)
	s, f, _ := newFront(t)
	ticket := issue(s)
	first := call(s, "POST", bookPath, booking(ticket))
	Expect(first.Status).To(Equal(200), first.Text)
	again := call(s, "POST", bookPath, booking(ticket))
	Expect(again.Text).To(Equal(first.Text))
	Expect(f.ran()).To(Equal(1))
}
