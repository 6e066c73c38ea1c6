package once_test

import (
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/arbutusgauge/arbutusgauge/internal/once"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	requestA     = once.HashRequest("desk", "book", []byte("crew=7"))
	requestB     = once.HashRequest("desk", "book", []byte("crew=8"))
	bookedAnswer = once.Answer{Status: 200, Body: []byte("booked")}
)

// runWithRegistry runs f with a new registry in virtual time.
func runWithRegistry(t *testing.T, opts once.Options, f func(t *testing.T, r *once.Registry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		f(t, newRegistry(opts))
	})
}

func newRegistry(opts once.Options) *once.Registry {
	if opts.Addr == "" {
		opts.DataCentre, opts.Addr, opts.Incarnation = "badin", "127.0.0.1:7001", 11
	}
	if opts.TicketsKept == 0 {
		opts.TicketsKept = 1 << 10
	}
	r, err := once.New(opts)
	Expect(err).NotTo(HaveOccurred())
	return r
}

func issue(r *once.Registry) once.Ticket {
	tickets, err := r.Issue(1)
	Expect(err).NotTo(HaveOccurred())
	return tickets[0]
}

func begin(r *once.Registry, t once.Ticket) once.Claim {
	claim, err := r.Begin(t, requestA)
	Expect(err).NotTo(HaveOccurred())
	return claim
}

// beginError presents a ticket, which must be refused with an error of type E,
// and returns that error.
func beginError[E error](r *once.Registry, t once.Ticket, request once.RequestHash) E {
	claim, err := r.Begin(t, request)
	Expect(claim).To(BeNil())
	var want E
	ExpectWithOffset(1, errors.As(err, &want)).To(BeTrue(), "error is %v", err)
	return want
}

// A ticket with one wrong character must not be read as another ticket.
func TestMistypedTicketIsInvalid(t *testing.T) {
	RegisterTestingT(t)
	valid := issue(newRegistry(once.Options{})).String()
	parsed, err := once.Parse(valid)
	Expect(err).NotTo(HaveOccurred())
	Expect(parsed).To(Equal(once.Ticket{DataCentre: "badin", Addr: "127.0.0.1:7001", Incarnation: 11, Seq: 1}))
	var mistyped []string
	for i := range valid {
		for _, c := range "aA0-_.=" {
			if byte(c) != valid[i] {
				mistyped = append(mistyped, valid[:i]+string(c)+valid[i+1:])
			}
		}
		mistyped = append(mistyped, valid[:i], valid[i+1:], valid[:i]+"x"+valid[i:])
	}
	mistyped = append(mistyped, "", "t1.", "t2."+valid[3:], valid+"=", valid+"\n", strings.Repeat(valid, 10))
	for _, b := range mistyped {
		_, err := once.Parse(b)
		Expect(err).To(HaveOccurred(), b)
		var invalid *once.InvalidError
		Expect(errors.As(err, &invalid)).To(BeTrue(), b)
	}
}

// When many callers present a ticket at the same time, only one of them may get
// a claim.
func TestConcurrentPresentationsGetOneClaim(t *testing.T) {
	RegisterTestingT(t)
	r := newRegistry(once.Options{})
	ticket := issue(r)
	var wg sync.WaitGroup
	claims := make(chan once.Claim, 100)
	for range 100 {
		wg.Go(func() {
			if c, err := r.Begin(ticket, requestA); err == nil {
				claims <- c
			}
		})
	}
	wg.Wait()
	Expect(claims).To(HaveLen(1))
	beginError[*once.RunningError](r, ticket, requestA)
	(<-claims).Finish(wire.Answered, bookedAnswer)
	Expect(beginError[*once.UsedError](r, ticket, requestA).Stored.Answer).To(Equal(bookedAnswer))
}

// A caller that lost the reply must get it again for 60 s. After that the ticket
// must be refused as used for as long as the process runs.
func TestUsedTicketKeepsItsAnswerFor60Seconds(t *testing.T) {
	runWithRegistry(t, once.Options{}, func(t *testing.T, r *once.Registry) {
		for _, outcome := range []wire.Outcome{wire.Answered, wire.Unknown} {
			ticket := issue(r)
			begin(r, ticket).Finish(outcome, bookedAnswer)
			time.Sleep(60*time.Second - time.Nanosecond)
			Expect(beginError[*once.UsedError](r, ticket, requestA).Stored).
				To(Equal(&once.StoredAnswer{Outcome: outcome, Answer: bookedAnswer}))
			time.Sleep(time.Nanosecond)
			Expect(beginError[*once.UsedError](r, ticket, requestA).Stored).To(BeNil())
			time.Sleep(24 * time.Hour)
			Expect(beginError[*once.UsedError](r, ticket, requestA).Stored).To(BeNil())
		}
	})
}

// A ticket whose request did not run must stay usable.
func TestNotRunTicketMayBePresentedAgain(t *testing.T) {
	runWithRegistry(t, once.Options{}, func(t *testing.T, r *once.Registry) {
		ticket := issue(r)
		claim := begin(r, ticket)
		claim.Finish(wire.NotRun, once.Answer{})
		claim.Finish(wire.Answered, bookedAnswer) // the second call has no effect
		beginError[*once.OtherRequestError](r, ticket, requestB)
		begin(r, ticket).Finish(wire.NotRun, once.Answer{})
		time.Sleep(5 * time.Minute)
		begin(r, ticket).Finish(wire.Answered, bookedAnswer)
		beginError[*once.UsedError](r, ticket, requestA)
	})
}

// A ticket that was used must never be reported as expired, which would state
// that its request did not run. A request that ends NotRun after its ticket's
// life must not make the ticket usable again.
func TestTicketExpiresOnlyWhenUnused(t *testing.T) {
	runWithRegistry(t, once.Options{}, func(t *testing.T, r *once.Registry) {
		unused, notRun, answered, running := issue(r), issue(r), issue(r), issue(r)
		begin(r, notRun).Finish(wire.NotRun, once.Answer{})
		begin(r, answered).Finish(wire.Answered, bookedAnswer)
		claim := begin(r, running)
		time.Sleep(5 * time.Minute)
		later := issue(r)
		time.Sleep(5 * time.Minute)
		begin(r, unused).Finish(wire.NotRun, once.Answer{}) // still valid at the end of its stated life
		time.Sleep(1001 * time.Millisecond)
		beginError[*once.ExpiredError](r, unused, requestA)
		beginError[*once.ExpiredError](r, notRun, requestA)
		beginError[*once.UsedError](r, answered, requestA)
		beginError[*once.RunningError](r, running, requestA)
		claim.Finish(wire.NotRun, once.Answer{})
		beginError[*once.ExpiredError](r, running, requestA)
		begin(r, later)
	})
}

// A ticket must neither run nor return the answer to a request other than the
// one that it was first used with.
func TestTicketIsBoundToItsRequest(t *testing.T) {
	RegisterTestingT(t)
	r := newRegistry(once.Options{})
	ticket := issue(r)
	claim := begin(r, ticket)
	beginError[*once.OtherRequestError](r, ticket, requestB)
	claim.Finish(wire.Answered, bookedAnswer)
	beginError[*once.OtherRequestError](r, ticket, requestB)
	Expect(once.HashRequest("a", "bc", nil)).NotTo(Equal(once.HashRequest("ab", "c", nil)))
}

// A ticket of another host or incarnation, or one that was never issued, must
// get no claim. Only for the last may the error state that nothing ran.
func TestForeignTicketsGetNoClaim(t *testing.T) {
	RegisterTestingT(t)
	r := newRegistry(once.Options{})
	ticket := issue(r)
	for _, change := range []func(*once.Ticket){
		func(t *once.Ticket) { t.Addr = "127.0.0.1:7002" },
		func(t *once.Ticket) { t.DataCentre = "thatta" },
	} {
		foreign := ticket
		change(&foreign)
		beginError[*once.OtherHostError](r, foreign, requestA)
	}
	for _, incarnation := range []uint64{10, 12} {
		foreign := ticket
		foreign.Incarnation = incarnation
		beginError[*once.WrongIncarnationError](r, foreign, requestA)
	}
	for _, seq := range []uint64{0, 2, 1 << 63} {
		foreign := ticket
		foreign.Seq = seq
		beginError[*once.InvalidError](r, foreign, requestA)
	}
}

// The usage window must not grow: when it is full of valid tickets, issuing must
// fail, and a ticket that left it must count as used, never as unused.
func TestUsageWindowIsBounded(t *testing.T) {
	runWithRegistry(t, once.Options{TicketsKept: 64}, func(t *testing.T, r *once.Registry) {
		old, err := r.Issue(64)
		Expect(err).NotTo(HaveOccurred())
		begin(r, old[0]).Finish(wire.Answered, bookedAnswer)
		_, err = r.Issue(1)
		var full *once.RegistryFullError
		Expect(errors.As(err, &full)).To(BeTrue())
		time.Sleep(10*time.Minute + 1001*time.Millisecond)
		fresh, err := r.Issue(64)
		Expect(err).NotTo(HaveOccurred())
		for i := range old {
			beginError[*once.UsedError](r, old[i], requestA)
			begin(r, fresh[i]).Finish(wire.Answered, bookedAnswer)
		}
	})
}

// A request that ends NotRun after its ticket left the usage window must not
// make the ticket that now has the same bit usable again.
func TestLateFinishDoesNotReleaseAnotherTicket(t *testing.T) {
	runWithRegistry(t, once.Options{TicketsKept: 64}, func(t *testing.T, r *once.Registry) {
		late := begin(r, issue(r))
		time.Sleep(10*time.Minute + 1001*time.Millisecond)
		fresh, err := r.Issue(64) // the last one has the bit of the first ticket
		Expect(err).NotTo(HaveOccurred())
		begin(r, fresh[63]).Finish(wire.Answered, bookedAnswer)
		late.Finish(wire.NotRun, once.Answer{})
		time.Sleep(time.Minute)
		beginError[*once.UsedError](r, fresh[63], requestA)
	})
}

// Answers past their retention must not count against AnswerBytes.
func TestExpiredAnswersFreeTheirBytes(t *testing.T) {
	runWithRegistry(t, once.Options{AnswerBytes: 12}, func(t *testing.T, r *once.Registry) {
		for range 2 {
			a, b := issue(r), issue(r)
			begin(r, a).Finish(wire.Answered, bookedAnswer)
			begin(r, b).Finish(wire.Answered, bookedAnswer)
			Expect(beginError[*once.UsedError](r, a, requestA).Stored).NotTo(BeNil())
			time.Sleep(time.Minute)
		}
	})
}

// The kept answers must be bounded in number and in bytes.
func TestKeptAnswersAreBounded(t *testing.T) {
	runWithRegistry(t, once.Options{AnswersKept: 3, AnswerBytes: 10}, func(t *testing.T, r *once.Registry) {
		a, b, c, d := issue(r), issue(r), issue(r), issue(r)
		begin(r, a).Finish(wire.NotRun, once.Answer{})
		begin(r, b).Finish(wire.Answered, bookedAnswer)
		begin(r, c).Finish(wire.Answered, bookedAnswer)
		Expect(beginError[*once.UsedError](r, b, requestA).Stored).To(BeNil()) // two answers of 6 bytes exceed AnswerBytes
		Expect(beginError[*once.UsedError](r, c, requestA).Stored).NotTo(BeNil())
		begin(r, d).Finish(wire.Answered, once.Answer{Body: make([]byte, 11)})
		Expect(beginError[*once.UsedError](r, d, requestA).Stored).To(BeNil())
		claim := begin(r, a)
		begin(r, issue(r)) // the third record, besides those of a and c
		beginError[*once.RegistryFullError](r, issue(r), requestA)
		claim.Finish(wire.NotRun, once.Answer{})
		begin(r, issue(r)) // displaces the record of a
		beginError[*once.RegistryFullError](r, issue(r), requestA)
	})
}

func TestOptionsOutOfRangeAreNamed(t *testing.T) {
	RegisterTestingT(t)
	good := once.Options{DataCentre: "badin", Addr: "127.0.0.1:1", Incarnation: 1}
	for option, change := range map[string]func(*once.Options){
		"DataCentre":  func(o *once.Options) { o.DataCentre = "" },
		"Addr":        func(o *once.Options) { o.Addr = strings.Repeat("1", 65) },
		"Incarnation": func(o *once.Options) { o.Incarnation = 0 },
		"TicketsKept": func(o *once.Options) { o.TicketsKept = -1 },
		"Retention":   func(o *once.Options) { o.Retention = -1 },
	} {
		o := good
		change(&o)
		_, err := once.New(o)
		var bad *once.OptionError
		Expect(errors.As(err, &bad)).To(BeTrue(), option)
		Expect(bad.Option).To(Equal(option))
	}
}
