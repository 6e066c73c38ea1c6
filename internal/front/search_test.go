package front_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/arbutusgauge/arbutusgauge/internal/front"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction( // of the test library, for the life of the process
		"github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
}

func TestRefusals(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "refusals")
}

// A refusal must never be taken for an answer, and "not run" must be proved:
// the engine is not called.
var _ = DescribeTable("a search that is refused before it runs",
	func(path, body string, status int, code string, change func(*fakes)) {
		s, f, lines := newFront(change)
		r := call(s, "POST", path, body)
		Expect(r.Status).To(Equal(status), r.Text)
		Expect(r.Error).To(Equal(code))
		Expect(r.Outcome).To(Equal("not_run"))
		Expect(r.Request).To(MatchRegexp("^q-b-[0-9]+$"))
		Expect(r.Header.Get("X-Request-Id")).To(Equal(r.Request))
		Expect(f.ran()).To(BeZero())
		Expect(lines.Entries).To(HaveLen(1))
		Expect(lines.Entries[0].Fields).To(HaveKeyWithValue("error", code))
		Expect(len(f.recorded) == 1).To(Equal(code == "overloaded"), "the caller's faults spend no error budget")
	},
	bad(`[]`), bad(`{"range": {"lo": 1}`), bad(`{} {}`), bad(`{"unknown": 1}`), bad(`{"Payload": "x"}`),
	bad(`{"payload": "x", "payload": "y"}`), bad(`{"payload": 7}`), bad(`{"deadline": "5"}`),
	bad(`{"deadline": 5}`), bad(`{"deadline": "0s"}`), bad(`{"deadline": "-1s"}`), bad(`{"deadline": "501ms"}`),
	bad(`{"least_coverage": 1.1}`), bad(`{"least_coverage": -0.1}`), bad(`{"range": {"lo": 5, "hi": 5}}`),
	bad(`{"range": {"lo": 0, "hi": 5, "x": 1}}`), bad(`{"range": {"lo": 0, "hi": 201}}`),
	bad(`{"ledgers": [1, 200]}`), bad(`{"ledgers": [-1]}`), bad(`{"ledgers": [1], "range": {"lo": 0, "hi": 5}}`),
	bad(`{"payload": "`+string(make([]byte, 1<<20))+`"}`),
	Entry(nil, findPath, `{"ticket": "t1.x"}`, 400, "ticket_invalid", nothing),
	Entry(nil, bookPath, `{}`, 400, "ticket_required", nothing),
	Entry(nil, "/v1/services/other/searches/find", `{}`, 404, "unknown_service", nothing),
	Entry(nil, "/v1/services/desk/searches/other", `{}`, 404, "unknown_search", nothing),
	Entry(nil, findPath, `{}`, 503, "no_configuration", func(f *fakes) { f.config = nil }),
	Entry(nil, findPath, `{}`, 429, "overloaded", func(f *fakes) {
		f.admit = func() error { return &front.OverloadedError{Service: "desk", RetryAfter: time.Second} }
	}),
)

func nothing(*fakes) {}

func bad(body string) TableEntry {
	return Entry(body[:min(len(body), 40)], findPath, body, 400, "bad_request", nothing)
}

// An error of the engine must not become "not run" unless the engine says so.
var _ = DescribeTable("a search that fails while it runs",
	func(err error, status int, code, outcome string) {
		s, f, _ := newFront(nothing)
		f.run = func(context.Context, front.Search) (*front.Answer, error) { return nil, err }
		r := call(s, "POST", findPath, ``)
		Expect(r.Status).To(Equal(status), r.Text)
		Expect([]string{r.Error, r.Outcome}).To(Equal([]string{code, outcome}))
		Expect(f.recorded).To(HaveLen(1))
	},
	Entry(nil, errors.New("x"), 504, "unknown_outcome", "unknown"),
	Entry(nil, context.Canceled, 504, "unknown_outcome", "unknown"),
	Entry(nil, nil, 500, "internal_error", "unknown"),
	Entry(nil, &front.SearchError{Code: front.CodeRefused, Outcome: wire.NotRun}, 503, "refused", "not_run"),
	Entry(nil, &front.SearchError{Code: front.CodeBelowCoverage}, 502, "below_coverage", "unknown"),
	Entry(nil, &front.SearchError{Code: front.CodeUnknownOutcome, Outcome: wire.Answered}, 504, "unknown_outcome", "unknown"),
)

// The engine must get the search as the caller and the configuration state it.
func TestSearchIsAnswered(t *testing.T) {
	RegisterTestingT(t)
	s, f, lines := newFront(nothing)
	before := time.Now()
	r := call(s, "POST", findPath, `{"ledgers": [9, 7, 8, 7], "payload": "x", "least_coverage": 0.9, "deadline": "100ms"}`)
	Expect(r.Status).To(Equal(200), r.Text)
	Expect(r.Outcome).To(Equal("answered"))
	Expect(r.Rows).To(HaveLen(2))
	Expect(r.Rows[0].Value).To(Equal("text"))
	Expect(r.Rows[1].ValueBase64).To(Equal("/w=="))
	Expect(lines.Entries).To(BeEmpty())
	got := f.searches[0]
	Expect(got.Ledgers).To(Equal(wire.RangeSet{{Lo: 7, Hi: 10}}))
	Expect(got.LeastCoverage).To(Equal(0.9))
	Expect(got.Deadline).To(BeTemporally("~", before.Add(100*time.Millisecond), 50*time.Millisecond))
	Expect(got.Repeatable).To(BeTrue())
	Expect(f.recorded).To(HaveLen(1))
	call(s, "POST", findPath, `{"least_coverage": 0.1}`)
	Expect(f.searches[1].LeastCoverage).To(Equal(0.5)) // the search's own
	Expect(f.searches[1].Ledgers).To(BeNil())
}

// Retry-After must not tell callers to come back before the time stated.
func TestRetryAfterIsRoundedUp(t *testing.T) {
	RegisterTestingT(t)
	s, f, _ := newFront(nothing)
	f.admit = func() error { return &front.OverloadedError{RetryAfter: 1100 * time.Millisecond} }
	r := call(s, "POST", findPath, ``)
	Expect(r.Header.Get("Retry-After")).To(Equal("2"))
	Expect(r.Text).To(ContainSubstring(`"retry_after":"1.1s"`))
}

// A panic below must end one request, with outcome unknown, not the process.
func TestPanicIsOneFailedRequest(t *testing.T) {
	RegisterTestingT(t)
	s, f, _ := newFront(nothing)
	f.run = func(context.Context, front.Search) (*front.Answer, error) { panic("fault") }
	r := call(s, "POST", findPath, ``)
	Expect([]any{r.Status, r.Error, r.Outcome}).To(Equal([]any{500, "internal_error", "unknown"}))
	Expect(s.Open()).To(BeZero())
	ticket := issue(s)
	first := call(s, "POST", bookPath, booking(ticket))
	Expect([]any{first.Error, first.Outcome}).To(Equal([]any{"internal_error", "unknown"}))
	Expect(call(s, "POST", bookPath, booking(ticket)).Text).To(Equal(first.Text))
	Expect(f.ran()).To(Equal(2)) // one with and one without ticket
}
