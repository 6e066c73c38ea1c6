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
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction( // Ginkgo's goroutine, which runs until the process ends
		"github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
}

func TestRefusals(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "refusals")
}

// Guards against a refused search that reaches the engine, or whose response
// doesn't say "not run".
var _ = DescribeTable("a search that is refused before it runs",
	func(path, body string, status int, code string, change func(*fakes)) {
		s, f, logs := newFront(change)
		r := call(s, "POST", path, body)
		Expect(r.Status).To(Equal(status), r.Text)
		Expect(r.Error).To(Equal(code))
		Expect(r.Outcome).To(Equal("not_run"))
		Expect(r.Request).To(MatchRegexp("^q-b-[0-9]+$"))
		Expect(r.Header.Get("X-Request-Id")).To(Equal(r.Request))
		Expect(f.searchCount()).To(BeZero())
		Expect(logs.Entries).To(HaveLen(1))
		Expect(logs.Entries[0].Fields).To(HaveKeyWithValue("error", code))
		Expect(len(f.recorded) == 1).To(Equal(code == "overloaded"), "the caller's faults spend no error budget")
	},
	badRequest(`[]`), badRequest(`{"range": {"lo": 1}`), badRequest(`{} {}`), badRequest(`{"unknown": 1}`), badRequest(`{"Payload": "x"}`),
	badRequest(`{"payload": "x", "payload": "y"}`), badRequest(`{"payload": 7}`), badRequest(`{"deadline": "5"}`),
	badRequest(`{"deadline": 5}`), badRequest(`{"deadline": "0s"}`), badRequest(`{"deadline": "-1s"}`), badRequest(`{"deadline": "501ms"}`),
	badRequest(`{"least_coverage": 1.1}`), badRequest(`{"least_coverage": -0.1}`), badRequest(`{"range": {"lo": 5, "hi": 5}}`),
	badRequest(`{"range": {"lo": 0, "hi": 5, "x": 1}}`), badRequest(`{"range": {"lo": 0, "hi": 201}}`),
	badRequest(`{"ledgers": [1, 200]}`), badRequest(`{"ledgers": [-1]}`), badRequest(`{"ledgers": [1], "range": {"lo": 0, "hi": 5}}`),
	badRequest(`{"payload": "`+string(make([]byte, 1<<20))+`"}`),
	Entry(nil, findPath, `{"ticket": "t1.x"}`, 400, "ticket_invalid", unchanged),
	Entry(nil, bookPath, `{}`, 400, "ticket_required", unchanged),
	Entry(nil, "/v1/services/other/searches/find", `{}`, 404, "unknown_service", unchanged),
	Entry(nil, "/v1/services/desk/searches/other", `{}`, 404, "unknown_search", unchanged),
	Entry(nil, findPath, `{}`, 503, "no_configuration", func(f *fakes) { f.config = nil }),
	Entry(nil, findPath, `{}`, 429, "overloaded", func(f *fakes) {
		f.admit = func() error { return &front.OverloadedError{Service: "desk", RetryAfter: time.Second} }
	}),
)

func unchanged(*fakes) {}

func badRequest(body string) TableEntry {
	return Entry(body[:min(len(body), 40)], findPath, body, 400, "bad_request", unchanged)
}

// Guards against an error of the engine that is reported as "not run" although
// the engine doesn't say so.
var _ = DescribeTable("a search that fails while it runs",
	func(err error, status int, code, outcome string) {
		s, f, _ := newFront(unchanged)
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

// Guards against a search that reaches the engine with other values than the
// caller and the configuration state.
func TestSearchIsAnswered(t *testing.T) {
	RegisterTestingT(t)
	s, f, logs := newFront(unchanged)
	before := time.Now()
	r := call(s, "POST", findPath, `{"ledgers": [9, 7, 8, 7], "payload": "x", "least_coverage": 0.9, "deadline": "100ms"}`)
	Expect(r.Status).To(Equal(200), r.Text)
	Expect(r.Outcome).To(Equal("answered"))
	Expect(r.Rows).To(HaveLen(2))
	Expect(r.Rows[0].Value).To(Equal("text"))
	Expect(r.Rows[1].ValueBase64).To(Equal("/w=="))
	Expect(logs.Entries).To(BeEmpty())
	got := f.searches[0]
	Expect(got.Ledgers).To(Equal(wire.RangeSet{{Lo: 7, Hi: 10}}))
	Expect(got.LeastCoverage).To(Equal(0.9))
	Expect(got.Deadline).To(BeTemporally("~", before.Add(100*time.Millisecond), 50*time.Millisecond))
	Expect(got.Repeatable).To(BeTrue())
	Expect(f.recorded).To(HaveLen(1))
	call(s, "POST", findPath, `{"least_coverage": 0.1}`)
	Expect(f.searches[1].LeastCoverage).To(Equal(0.5)) // of the configuration, which is greater
	Expect(f.searches[1].Ledgers).To(BeNil())
}

// Guards against a Retry-After, in whole seconds, that is shorter than the time
// stated in the body.
func TestRetryAfterIsRoundedUp(t *testing.T) {
	RegisterTestingT(t)
	s, f, _ := newFront(unchanged)
	f.admit = func() error { return &front.OverloadedError{RetryAfter: 1100 * time.Millisecond} }
	r := call(s, "POST", findPath, ``)
	Expect(r.Header.Get("Retry-After")).To(Equal("2"))
	Expect(r.Text).To(ContainSubstring(`"retry_after":"1.1s"`))
}

// Guards against a panic of the engine that ends the process, or that fails more
// than its request, whose outcome must be unknown.
func TestPanicFailsOnlyItsRequest(t *testing.T) {
	RegisterTestingT(t)
	s, f, _ := newFront(unchanged)
	f.run = func(context.Context, front.Search) (*front.Answer, error) { panic("fault") }
	r := call(s, "POST", findPath, ``)
	Expect([]any{r.Status, r.Error, r.Outcome}).To(Equal([]any{500, "internal_error", "unknown"}))
	Expect(s.OpenRequests()).To(BeZero())
	ticket := issueTicket(s)
	first := call(s, "POST", bookPath, bookingBody(ticket))
	Expect([]any{first.Error, first.Outcome}).To(Equal([]any{"internal_error", "unknown"}))
	Expect(call(s, "POST", bookPath, bookingBody(ticket)).Text).To(Equal(first.Text))
	Expect(f.searchCount()).To(Equal(2)) // one with and one without ticket
}
