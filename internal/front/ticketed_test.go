package front_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/front"
	"github.com/arbutusgauge/arbutusgauge/internal/member"
	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Guards against "not run" in response to a repeated request whose search was
// withdrawn since; it must get the first answer.
func TestRepeatedTicketReturnsTheStoredAnswer(t *testing.T) {
	RegisterTestingT(t)
	s, f, _ := newFront(unchanged)
	ticket := issueTicket(s)
	first := call(s, "POST", bookPath, bookingBody(ticket))
	Expect(first.Status).To(Equal(200), first.Text)
	Expect(f.searches[0].Repeatable).To(BeFalse())
	f.config = &release.Config{Version: 4}
	Expect(call(s, "POST", bookPath, bookingBody(ticket)).Text).To(Equal(first.Text))
	f.config = nil
	Expect(call(s, "POST", bookPath, bookingBody(ticket)).Text).To(Equal(first.Text))
	Expect(f.searchCount()).To(Equal(1))
}

// Guards against a second run of a ticketed search that is repeatable without a
// ticket.
func TestTicketMakesARepeatableSearchRunOnce(t *testing.T) {
	RegisterTestingT(t)
	s, f, _ := newFront(unchanged)
	ticket := issueTicket(s)
	call(s, "POST", findPath, bookingBody(ticket))
	call(s, "POST", findPath, bookingBody(ticket))
	Expect(f.searchCount()).To(Equal(1))
	Expect(f.searches[0].Repeatable).To(BeFalse())
}

// Guards against a ticket that returns the answer of another request.
func TestTicketOfAnotherRequestIsNotRun(t *testing.T) {
	RegisterTestingT(t)
	s, f, _ := newFront(unchanged)
	ticket := issueTicket(s)
	call(s, "POST", bookPath, bookingBody(ticket))
	for path, body := range map[string]string{
		findPath:       bookingBody(ticket),
		bookPath:       `{"ticket": "` + ticket + `", "payload": "crew=8"}`,
		bookPath + "?": `{"ticket": "` + ticket + `", "payload": "crew=7", "ledgers": [1]}`,
	} {
		r := call(s, "POST", path, body)
		Expect([]any{r.Status, r.Error, r.Outcome}).To(Equal([]any{400, "ticket_invalid", "not_run"}))
	}
	r := call(s, "POST", bookPath, `{"deadline": "50ms", "payload": "crew=7", "ticket": "`+ticket+`"}`)
	Expect(r.Status).To(Equal(200), "less time left and another order of keys are the same request")
	Expect(f.searchCount()).To(Equal(1))
}

// Guards against a ticket that is used up by a request refused before it ran.
func TestTicketOfRefusedRequestStaysUsable(t *testing.T) {
	RegisterTestingT(t)
	s, f, _ := newFront(unchanged)
	ticket := issueTicket(s)
	f.admit = func() error { return &front.OverloadedError{} }
	Expect(call(s, "POST", bookPath, bookingBody(ticket)).Error).To(Equal("overloaded"))
	f.admit = nil
	Expect(call(s, "POST", bookPath, bookingBody(ticket)).Status).To(Equal(200))
}

// Guards against searches that run above the limit of open requests, and against
// the refusal of a repeated request that has a stored answer.
func TestOpenRequestsAreBounded(t *testing.T) {
	RegisterTestingT(t)
	s, f, _ := newFrontFor(hostA, unchanged, func(o *front.Options) { o.OpenLimit = 1 })
	ticket, unusedTicket := issueTicket(s), issueTicket(s)
	Expect(call(s, "POST", bookPath, bookingBody(ticket)).Status).To(Equal(200))
	f.run = func(context.Context, front.Search) (*front.Answer, error) {
		Expect(call(s, "POST", findPath, ``).Error).To(Equal("overloaded"))
		Expect(call(s, "POST", bookPath, bookingBody(unusedTicket)).Outcome).To(Equal("not_run"))
		Expect(call(s, "POST", bookPath, bookingBody(ticket)).Status).To(Equal(200))
		return &front.Answer{}, nil
	}
	Expect(call(s, "POST", findPath, ``).Status).To(Equal(200))
	Expect(f.searchCount()).To(Equal(2))
}

// Guards against a ticketed request that is cancelled when its caller
// disconnects: its answer must be kept for the next call. A request without a
// ticket must be cancelled.
func TestTicketedRequestContinuesAfterCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		s, f, _ := newFront(unchanged)
		f.run = func(ctx context.Context, s front.Search) (*front.Answer, error) {
			select {
			case <-time.After(100 * time.Millisecond):
				return &front.Answer{}, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		ticket := issueTicket(s)
		ctx, cancel := context.WithCancel(context.Background())
		go callContext(ctx, s, "POST", bookPath, bookingBody(ticket))
		synctest.Wait()
		cancel()
		synctest.Wait()
		again := call(s, "POST", bookPath, bookingBody(ticket))
		Expect([]any{again.Status, again.Error, again.Outcome}).To(Equal([]any{409, "ticket_running", "unknown"}))
		time.Sleep(200 * time.Millisecond)
		Expect(call(s, "POST", bookPath, bookingBody(ticket)).Status).To(Equal(200))
		Expect(f.searchCount()).To(Equal(1))
		Expect(callContext(ctx, s, "POST", findPath, ``).Outcome).To(Equal("unknown"))
	})
}

var hostB = member.Host{Name: "thatta-1", Addr: "127.0.0.1:7002", DataCentre: "thatta", Incarnation: 22}

// newForwardingPair returns the servers and fakes of hostA and hostB, where B
// forwards to A.
func newForwardingPair(t *testing.T) (a, b *front.Server, fa, fb *fakes) {
	t.Helper()
	a, fa, _ = newFrontFor(hostA, unchanged)
	b, fb, _ = newFrontFor(hostB, unchanged)
	fb.view.Hosts = []member.Host{hostA, hostB}
	fb.forward = func(ctx context.Context, addr string, in *peerpb.TicketedRequest) (*peerpb.TicketedReply, error) {
		return a.HandleTicketed(ctx, in)
	}
	return a, b, fa, fb
}

// Guards against a request that runs on another host than the one that issued
// its ticket.
func TestForwardedRequestRunsOnIssuingHost(t *testing.T) {
	RegisterTestingT(t)
	a, b, fa, fb := newForwardingPair(t)
	ticket := issueTicket(a)
	first := call(b, "POST", bookPath, bookingBody(ticket))
	Expect(first.Status).To(Equal(200), first.Text)
	fb.config = nil // a host without a configuration must still forward
	Expect(call(b, "POST", bookPath, bookingBody(ticket)).Text).To(Equal(first.Text))
	Expect(call(a, "POST", bookPath, bookingBody(ticket)).Text).To(Equal(first.Text))
	Expect([]int{fa.searchCount(), fb.searchCount()}).To(Equal([]int{1, 0}))
	Expect(fb.recorded).To(HaveLen(1))
	Expect(fa.recorded).To(HaveLen(1)) // from the direct call
	fa.admit = func() error { return &front.OverloadedError{RetryAfter: time.Second} }
	r := call(b, "POST", bookPath, bookingBody(issueTicket(a)))
	Expect([]any{r.Status, r.Outcome, r.Header.Get("Retry-After")}).To(Equal([]any{429, "not_run", "1"}))
}

// Guards against a call to an address that a caller wrote but no member has, and
// against "not run" without a valid reply of the issuing host that says so.
func TestFailedForwardHasUnknownOutcome(t *testing.T) {
	for name, change := range map[string]func(f *fakes){
		"not a member":               func(f *fakes) { f.view.Hosts = []member.Host{hostB} },
		"other data centre":          func(f *fakes) { f.view.Hosts[0].DataCentre = "tando" },
		"restarted":                  func(f *fakes) { f.view.Hosts[0].Incarnation++ },
		"not sent":                   forwardReturns(nil, &front.NotSentError{Err: errors.New("refused")}),
		"lost":                       forwardReturns(nil, errors.New("connection reset")),
		"empty reply":                forwardReturns(&peerpb.TicketedReply{}, nil),
		"no reply":                   forwardReturns(nil, nil),
		"body not JSON":              forwardReturns(&peerpb.TicketedReply{Status: 400, Body: []byte("<html>")}, nil),
		"no outcome":                 forwardReturns(&peerpb.TicketedReply{Status: 400, Body: []byte(`{"error": "bad_request"}`)}, nil),
		"status contradicts outcome": forwardReturns(&peerpb.TicketedReply{Status: 200, Body: []byte(`{"outcome": "not_run"}`)}, nil),
		"forwarder fault":            func(f *fakes) { f.forward = nil },
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			a, b, fa, fb := newForwardingPair(t)
			ticket := issueTicket(a)
			change(fb)
			r := call(b, "POST", bookPath, bookingBody(ticket))
			Expect(r.Outcome).To(Equal("unknown"), r.Text)
			Expect(r.Status).To(BeElementOf(504, 500))
			if name == "not a member" || name == "other data centre" || name == "restarted" {
				Expect(fb.forwardedTo).To(BeEmpty())
			}
			Expect(fa.searchCount() + fb.searchCount()).To(BeZero())
		})
	}
}

// forwardReturns makes each forwarded call return the reply and the error.
func forwardReturns(reply *peerpb.TicketedReply, err error) func(*fakes) {
	return func(f *fakes) {
		f.forward = func(context.Context, string, *peerpb.TicketedRequest) (*peerpb.TicketedReply, error) {
			return reply, err
		}
	}
}

// Guards against a restarted host that runs the requests of its earlier process,
// or says "not run" about them, and against a host that forwards a request that
// was forwarded to it.
func TestReceiverDoesNotRunTicketsOfOtherProcesses(t *testing.T) {
	RegisterTestingT(t)
	a, b, fa, _ := newForwardingPair(t)
	ticket := issueTicket(a)
	in := &peerpb.TicketedRequest{Ticket: ticket, Body: []byte(bookingBody(ticket)), Service: "desk", Search: "book", TimeLeftUs: 1e5}
	restarted := hostA
	restarted.Incarnation++
	restartedServer, restartedFakes, _ := newFrontFor(restarted, unchanged)
	for _, s := range []*front.Server{restartedServer, b} {
		out, err := s.HandleTicketed(context.Background(), in)
		Expect(err).NotTo(HaveOccurred())
		Expect(out.Status).To(BeEquivalentTo(504))
		Expect(string(out.Body)).To(ContainSubstring(`"outcome":"unknown"`))
	}
	in.Ticket = issueTicket(a)
	out, _ := a.HandleTicketed(context.Background(), in)
	Expect(out.Status).To(BeEquivalentTo(400), "two different tickets")
	Expect(fa.searchCount() + restartedFakes.searchCount()).To(BeZero())
}

// Guards against a forwarded request whose deadline leaves out the time before it
// was forwarded, and so lets the receiver take more time than is left.
func TestForwardedDeadlineCountsElapsedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		a, b, fa, fb := newForwardingPair(t)
		var left time.Duration
		fb.forward = func(ctx context.Context, _ string, in *peerpb.TicketedRequest) (*peerpb.TicketedReply, error) {
			left = time.Duration(in.TimeLeftUs) * time.Microsecond
			return a.HandleTicketed(ctx, in)
		}
		r := callWithDelayedBody(b, bookPath, `{"deadline": "400ms", `+bookingBody(issueTicket(a))[1:], 150*time.Millisecond)
		Expect(r.Status).To(Equal(200), r.Text)
		Expect(left).To(Equal(250 * time.Millisecond))
		Expect(time.Until(fa.searches[0].Deadline)).To(Equal(250 * time.Millisecond))
		r = callWithDelayedBody(b, bookPath, bookingBody(issueTicket(a)), time.Second)
		Expect([]any{r.Error, r.Outcome}).To(Equal([]any{"unknown_outcome", "unknown"}))
		r = callWithDelayedBody(a, bookPath, bookingBody(issueTicket(a)), time.Second)
		Expect([]any{r.Error, r.Outcome}).To(Equal([]any{"refused", "not_run"}))
		Expect(fa.searchCount()).To(Equal(1))
	})
}

// Guards against a second run of a ticketed search whose outcome was unknown: its
// ticket must keep the response.
func TestUnknownOutcomeIsStoredForItsTicket(t *testing.T) {
	RegisterTestingT(t)
	s, f, _ := newFront(unchanged)
	f.run = func(context.Context, front.Search) (*front.Answer, error) {
		return nil, &front.SearchError{Code: front.CodeBelowCoverage, Outcome: wire.Unknown, Coverage: &front.Coverage{Fraction: 0.2}}
	}
	ticket := issueTicket(s)
	first := call(s, "POST", bookPath, bookingBody(ticket))
	Expect([]any{first.Status, first.Coverage.Fraction}).To(Equal([]any{502, 0.2}))
	Expect(call(s, "POST", bookPath, bookingBody(ticket)).Text).To(Equal(first.Text))
	Expect(f.searchCount()).To(Equal(1))
}
