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

// A repeated request must get the first answer, even if the search was
// withdrawn since; "not run" would be false.
func TestRepeatedTicketReturnsTheStoredAnswer(t *testing.T) {
	RegisterTestingT(t)
	s, f, _ := newFront(nothing)
	ticket := issue(s)
	first := call(s, "POST", bookPath, booking(ticket))
	Expect(first.Status).To(Equal(200), first.Text)
	Expect(f.searches[0].Repeatable).To(BeFalse())
	f.config = &release.Config{Version: 4}
	Expect(call(s, "POST", bookPath, booking(ticket)).Text).To(Equal(first.Text))
	f.config = nil
	Expect(call(s, "POST", bookPath, booking(ticket)).Text).To(Equal(first.Text))
	Expect(f.ran()).To(Equal(1))
}

// A search that allows repeats must run at most once when it has a ticket.
func TestTicketMakesARepeatableSearchRunOnce(t *testing.T) {
	RegisterTestingT(t)
	s, f, _ := newFront(nothing)
	ticket := issue(s)
	call(s, "POST", findPath, booking(ticket))
	call(s, "POST", findPath, booking(ticket))
	Expect(f.ran()).To(Equal(1))
	Expect(f.searches[0].Repeatable).To(BeFalse())
}

// A ticket must not give one request the answer of another.
func TestTicketOfAnotherRequestIsNotRun(t *testing.T) {
	RegisterTestingT(t)
	s, f, _ := newFront(nothing)
	ticket := issue(s)
	call(s, "POST", bookPath, booking(ticket))
	for path, body := range map[string]string{
		findPath:       booking(ticket),
		bookPath:       `{"ticket": "` + ticket + `", "payload": "crew=8"}`,
		bookPath + "?": `{"ticket": "` + ticket + `", "payload": "crew=7", "ledgers": [1]}`,
	} {
		r := call(s, "POST", path, body)
		Expect([]any{r.Status, r.Error, r.Outcome}).To(Equal([]any{400, "ticket_invalid", "not_run"}))
	}
	r := call(s, "POST", bookPath, `{"deadline": "50ms", "payload": "crew=7", "ticket": "`+ticket+`"}`)
	Expect(r.Status).To(Equal(200), "less time left and another order of keys are the same request")
	Expect(f.ran()).To(Equal(1))
}

// A request that was refused before it ran must not cost its ticket.
func TestNotRunTicketRunsLater(t *testing.T) {
	RegisterTestingT(t)
	s, f, _ := newFront(nothing)
	ticket := issue(s)
	f.admit = func() error { return &front.OverloadedError{} }
	Expect(call(s, "POST", bookPath, booking(ticket)).Error).To(Equal("overloaded"))
	f.admit = nil
	Expect(call(s, "POST", bookPath, booking(ticket)).Status).To(Equal(200))
}

// Searches above the limit of open requests must be refused before they run,
// but a repeated one must still get its stored answer.
func TestOpenRequestsAreBounded(t *testing.T) {
	RegisterTestingT(t)
	s, f, _ := newFrontOf(hostA, nothing, func(o *front.Options) { o.OpenLimit = 1 })
	ticket, fresh := issue(s), issue(s)
	Expect(call(s, "POST", bookPath, booking(ticket)).Status).To(Equal(200))
	f.run = func(context.Context, front.Search) (*front.Answer, error) {
		Expect(call(s, "POST", findPath, ``).Error).To(Equal("overloaded"))
		Expect(call(s, "POST", bookPath, booking(fresh)).Outcome).To(Equal("not_run"))
		Expect(call(s, "POST", bookPath, booking(ticket)).Status).To(Equal(200))
		return &front.Answer{}, nil
	}
	Expect(call(s, "POST", findPath, ``).Status).To(Equal(200))
	Expect(f.ran()).To(Equal(2))
}

// The answer of a caller that went away must be kept for its next call; one
// without a ticket must be cancelled.
func TestTicketedRequestGoesOnWithoutItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		s, f, _ := newFront(nothing)
		f.run = func(ctx context.Context, s front.Search) (*front.Answer, error) {
			select {
			case <-time.After(100 * time.Millisecond):
				return &front.Answer{}, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		ticket := issue(s)
		ctx, cancel := context.WithCancel(context.Background())
		go callContext(ctx, s, "POST", bookPath, booking(ticket))
		synctest.Wait()
		cancel()
		synctest.Wait()
		again := call(s, "POST", bookPath, booking(ticket))
		Expect([]any{again.Status, again.Error, again.Outcome}).To(Equal([]any{409, "ticket_running", "unknown"}))
		time.Sleep(200 * time.Millisecond)
		Expect(call(s, "POST", bookPath, booking(ticket)).Status).To(Equal(200))
		Expect(f.ran()).To(Equal(1))
		Expect(callContext(ctx, s, "POST", findPath, ``).Outcome).To(Equal("unknown"))
	})
}

var hostB = member.Host{Name: "thatta-1", Addr: "127.0.0.1:7002", DataCentre: "thatta", Incarnation: 22}

// pair returns the fronts of hosts A and B, where B forwards to A.
func pair(t *testing.T) (a, b *front.Server, fa, fb *fakes) {
	t.Helper()
	a, fa, _ = newFrontOf(hostA, nothing)
	b, fb, _ = newFrontOf(hostB, nothing)
	fb.view.Hosts = []member.Host{hostA, hostB}
	fb.forward = func(ctx context.Context, addr string, in *peerpb.TicketedRequest) (*peerpb.TicketedReply, error) {
		return a.HandleTicketed(ctx, in)
	}
	return a, b, fa, fb
}

// A ticket presented at another host must run on the host that issued it.
func TestForwardedTicketRunsOnItsIssuer(t *testing.T) {
	RegisterTestingT(t)
	a, b, fa, fb := pair(t)
	ticket := issue(a)
	first := call(b, "POST", bookPath, booking(ticket))
	Expect(first.Status).To(Equal(200), first.Text)
	fb.config = nil // a host without configuration still knows where to ask
	Expect(call(b, "POST", bookPath, booking(ticket)).Text).To(Equal(first.Text))
	Expect(call(a, "POST", bookPath, booking(ticket)).Text).To(Equal(first.Text))
	Expect([]int{fa.ran(), fb.ran()}).To(Equal([]int{1, 0}))
	Expect(fb.recorded).To(HaveLen(1))
	Expect(fa.recorded).To(HaveLen(1)) // of the direct call
	fa.admit = func() error { return &front.OverloadedError{RetryAfter: time.Second} }
	r := call(b, "POST", bookPath, booking(issue(a)))
	Expect([]any{r.Status, r.Outcome, r.Header.Get("Retry-After")}).To(Equal([]any{429, "not_run", "1"}))
}

// An address that a caller wrote must not be dialled, and nothing but the
// issuing host's own word may be reported as "not run".
func TestUnreachableIssuerIsUnknown(t *testing.T) {
	for name, change := range map[string]func(f *fakes){
		"not a member":    func(f *fakes) { f.view.Hosts = []member.Host{hostB} },
		"other centre":    func(f *fakes) { f.view.Hosts[0].DataCentre = "tando" },
		"restarted":       func(f *fakes) { f.view.Hosts[0].Incarnation++ },
		"not sent":        fails(nil, &front.NotSentError{Err: errors.New("refused")}),
		"lost":            fails(nil, errors.New("connection reset")),
		"empty reply":     fails(&peerpb.TicketedReply{}, nil),
		"no reply":        fails(nil, nil),
		"foreign text":    fails(&peerpb.TicketedReply{Status: 400, Body: []byte("<html>")}, nil),
		"no outcome":      fails(&peerpb.TicketedReply{Status: 400, Body: []byte(`{"error": "bad_request"}`)}, nil),
		"contradiction":   fails(&peerpb.TicketedReply{Status: 200, Body: []byte(`{"outcome": "not_run"}`)}, nil),
		"forwarder fault": func(f *fakes) { f.forward = nil },
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			a, b, fa, fb := pair(t)
			ticket := issue(a)
			change(fb)
			r := call(b, "POST", bookPath, booking(ticket))
			Expect(r.Outcome).To(Equal("unknown"), r.Text)
			Expect(r.Status).To(BeElementOf(504, 500))
			if name == "not a member" || name == "other centre" || name == "restarted" {
				Expect(fb.dialled).To(BeEmpty())
			}
			Expect(fa.ran() + fb.ran()).To(BeZero())
		})
	}
}

func fails(reply *peerpb.TicketedReply, err error) func(*fakes) {
	return func(f *fakes) {
		f.forward = func(context.Context, string, *peerpb.TicketedRequest) (*peerpb.TicketedReply, error) {
			return reply, err
		}
	}
}

// A restarted host must not run or deny the requests of its earlier process,
// and a host must not pass a request on that was forwarded to it.
func TestReceiverRefusesForeignTickets(t *testing.T) {
	RegisterTestingT(t)
	a, b, fa, _ := pair(t)
	ticket := issue(a)
	in := &peerpb.TicketedRequest{Ticket: ticket, Body: []byte(booking(ticket)), Service: "desk", Search: "book", TimeLeftUs: 1e5}
	restarted := hostA
	restarted.Incarnation++
	again, fr, _ := newFrontOf(restarted, nothing)
	for _, s := range []*front.Server{again, b} {
		out, err := s.HandleTicketed(context.Background(), in)
		Expect(err).NotTo(HaveOccurred())
		Expect(out.Status).To(BeEquivalentTo(504))
		Expect(string(out.Body)).To(ContainSubstring(`"outcome":"unknown"`))
	}
	in.Ticket = issue(a)
	out, _ := a.HandleTicketed(context.Background(), in)
	Expect(out.Status).To(BeEquivalentTo(400), "two different tickets")
	Expect(fa.ran() + fr.ran()).To(BeZero())
}

// The time spent on the way and before reading must count; the receiver must
// not take more time than is left.
func TestForwardedDeadlineIsRelative(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		a, b, fa, fb := pair(t)
		var left time.Duration
		fb.forward = func(ctx context.Context, _ string, in *peerpb.TicketedRequest) (*peerpb.TicketedReply, error) {
			left = time.Duration(in.TimeLeftUs) * time.Microsecond
			return a.HandleTicketed(ctx, in)
		}
		r := callSlowly(b, bookPath, `{"deadline": "400ms", `+booking(issue(a))[1:], 150*time.Millisecond)
		Expect(r.Status).To(Equal(200), r.Text)
		Expect(left).To(Equal(250 * time.Millisecond))
		Expect(time.Until(fa.searches[0].Deadline)).To(Equal(250 * time.Millisecond))
		r = callSlowly(b, bookPath, booking(issue(a)), time.Second)
		Expect([]any{r.Error, r.Outcome}).To(Equal([]any{"unknown_outcome", "unknown"}))
		r = callSlowly(a, bookPath, booking(issue(a)), time.Second)
		Expect([]any{r.Error, r.Outcome}).To(Equal([]any{"refused", "not_run"}))
		Expect(fa.ran()).To(Equal(1))
	})
}

// A ticket that answers for the engine's outcome keeps it: unknown is used up.
func TestUnknownOutcomeUsesTheTicketUp(t *testing.T) {
	RegisterTestingT(t)
	s, f, _ := newFront(nothing)
	f.run = func(context.Context, front.Search) (*front.Answer, error) {
		return nil, &front.SearchError{Code: front.CodeBelowCoverage, Outcome: wire.Unknown, Coverage: &front.Coverage{Fraction: 0.2}}
	}
	ticket := issue(s)
	first := call(s, "POST", bookPath, booking(ticket))
	Expect([]any{first.Status, first.Coverage.Fraction}).To(Equal([]any{502, 0.2}))
	Expect(call(s, "POST", bookPath, booking(ticket)).Text).To(Equal(first.Text))
	Expect(f.ran()).To(Equal(1))
}
