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
	requestA = once.HashRequest("desk", "book", []byte("crew=7"))
	requestB = once.HashRequest("desk", "book", []byte("crew=8"))
	done     = once.Answer{Status: 200, Body: []byte("booked")}
)

// inBubble runs a test in virtual time with a registry.
func inBubble(t *testing.T, opts once.Options, f func(t *testing.T, r *once.Registry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		f(t, registry(opts))
	})
}

func registry(opts once.Options) *once.Registry {
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

// fails returns the error of presenting a ticket, which must give no claim.
func fails[E error](r *once.Registry, t once.Ticket, request once.RequestHash) E {
	claim, err := r.Begin(t, request)
	Expect(claim).To(BeNil())
	var want E
	ExpectWithOffset(1, errors.As(err, &want)).To(BeTrue(), "error is %v", err)
	return want
}

// A ticket with one wrong character must not become another ticket.
func TestMistypedTicketIsInvalid(t *testing.T) {
	RegisterTestingT(t)
	text := issue(registry(once.Options{})).String()
	parsed, err := once.Parse(text)
	Expect(err).NotTo(HaveOccurred())
	Expect(parsed).To(Equal(once.Ticket{DataCentre: "badin", Addr: "127.0.0.1:7001", Incarnation: 11, Seq: 1}))
	var bad []string
	for i := range text {
		for _, c := range "aA0-_.=" {
			if byte(c) != text[i] {
				bad = append(bad, text[:i]+string(c)+text[i+1:])
			}
		}
		bad = append(bad, text[:i], text[i+1:], text[:i]+"x"+text[i:])
	}
	bad = append(bad, "", "t1.", "t2."+text[3:], text+"=", text+"\n", strings.Repeat(text, 10))
	for _, b := range bad {
		_, err := once.Parse(b)
		Expect(err).To(HaveOccurred(), b)
		var invalid *once.InvalidError
		Expect(errors.As(err, &invalid)).To(BeTrue(), b)
	}
}

// The request of a ticket must get one claim however many callers present it
// at the same time.
func TestConcurrentPresentationsGetOneClaim(t *testing.T) {
	RegisterTestingT(t)
	r := registry(once.Options{})
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
	fails[*once.RunningError](r, ticket, requestA)
	(<-claims).Finish(wire.Answered, done)
	Expect(fails[*once.UsedError](r, ticket, requestA).Stored.Answer).To(Equal(done))
}

// A caller that lost the reply must get it again for 60 s, and must be refused
// as used for the rest of the process after that.
func TestUsedTicketKeepsItsAnswerFor60Seconds(t *testing.T) {
	inBubble(t, once.Options{}, func(t *testing.T, r *once.Registry) {
		for _, outcome := range []wire.Outcome{wire.Answered, wire.Unknown} {
			ticket := issue(r)
			begin(r, ticket).Finish(outcome, done)
			time.Sleep(60*time.Second - time.Nanosecond)
			Expect(fails[*once.UsedError](r, ticket, requestA).Stored).
				To(Equal(&once.Stored{Outcome: outcome, Answer: done}))
			time.Sleep(time.Nanosecond)
			Expect(fails[*once.UsedError](r, ticket, requestA).Stored).To(BeNil())
			time.Sleep(24 * time.Hour)
			Expect(fails[*once.UsedError](r, ticket, requestA).Stored).To(BeNil())
		}
	})
}

// A ticket whose request did not run must not be lost to its caller.
func TestNotRunTicketMayBePresentedAgain(t *testing.T) {
	inBubble(t, once.Options{}, func(t *testing.T, r *once.Registry) {
		ticket := issue(r)
		claim := begin(r, ticket)
		claim.Finish(wire.NotRun, once.Answer{})
		claim.Finish(wire.Answered, done) // the second end has no effect
		fails[*once.OtherRequestError](r, ticket, requestB)
		begin(r, ticket).Finish(wire.NotRun, once.Answer{})
		time.Sleep(5 * time.Minute)
		begin(r, ticket).Finish(wire.Answered, done)
		fails[*once.UsedError](r, ticket, requestA)
	})
}

// A request that ends long after its ticket's life must not make the ticket
// usable, and must not make a used one look as if it never ran.
func TestTicketExpiresOnlyWhenUnused(t *testing.T) {
	inBubble(t, once.Options{}, func(t *testing.T, r *once.Registry) {
		unused, released, ran, slow := issue(r), issue(r), issue(r), issue(r)
		begin(r, released).Finish(wire.NotRun, once.Answer{})
		begin(r, ran).Finish(wire.Answered, done)
		claim := begin(r, slow)
		time.Sleep(5 * time.Minute)
		later := issue(r)
		time.Sleep(5 * time.Minute)
		begin(r, unused).Finish(wire.NotRun, once.Answer{}) // valid for the stated life in full
		time.Sleep(1001 * time.Millisecond)
		fails[*once.ExpiredError](r, unused, requestA)
		fails[*once.ExpiredError](r, released, requestA)
		fails[*once.UsedError](r, ran, requestA)
		fails[*once.RunningError](r, slow, requestA)
		claim.Finish(wire.NotRun, once.Answer{})
		fails[*once.ExpiredError](r, slow, requestA)
		begin(r, later)
	})
}

// A ticket must not answer or run a request that it was not first used with.
func TestTicketIsBoundToItsRequest(t *testing.T) {
	RegisterTestingT(t)
	r := registry(once.Options{})
	ticket := issue(r)
	claim := begin(r, ticket)
	fails[*once.OtherRequestError](r, ticket, requestB)
	claim.Finish(wire.Answered, done)
	fails[*once.OtherRequestError](r, ticket, requestB)
	Expect(once.HashRequest("a", "bc", nil)).NotTo(Equal(once.HashRequest("ab", "c", nil)))
}

// A ticket of another host, process or one that was never issued gives no
// claim; only the last is proof that nothing ran.
func TestForeignTicketsGetNoClaim(t *testing.T) {
	RegisterTestingT(t)
	r := registry(once.Options{})
	ticket := issue(r)
	for _, change := range []func(*once.Ticket){
		func(t *once.Ticket) { t.Addr = "127.0.0.1:7002" },
		func(t *once.Ticket) { t.DataCentre = "thatta" },
	} {
		other := ticket
		change(&other)
		fails[*once.NotMineError](r, other, requestA)
	}
	for _, incarnation := range []uint64{10, 12} {
		other := ticket
		other.Incarnation = incarnation
		fails[*once.WrongIncarnationError](r, other, requestA)
	}
	for _, seq := range []uint64{0, 2, 1 << 63} {
		other := ticket
		other.Seq = seq
		fails[*once.InvalidError](r, other, requestA)
	}
}

// Memory is bounded: valid tickets fill the record, after which issuing fails;
// a ticket that left the record counts as used, never as unused.
func TestRecordOfTicketsIsBounded(t *testing.T) {
	inBubble(t, once.Options{TicketsKept: 64}, func(t *testing.T, r *once.Registry) {
		old, err := r.Issue(64)
		Expect(err).NotTo(HaveOccurred())
		begin(r, old[0]).Finish(wire.Answered, done)
		_, err = r.Issue(1)
		var full *once.FullError
		Expect(errors.As(err, &full)).To(BeTrue())
		time.Sleep(10*time.Minute + 1001*time.Millisecond)
		fresh, err := r.Issue(64)
		Expect(err).NotTo(HaveOccurred())
		for i := range old {
			fails[*once.UsedError](r, old[i], requestA)
			begin(r, fresh[i]).Finish(wire.Answered, done)
		}
	})
}

// A request that ends after its ticket left the record must not make the
// ticket that took its place usable again.
func TestLateEndLeavesOtherTicketsAlone(t *testing.T) {
	inBubble(t, once.Options{TicketsKept: 64}, func(t *testing.T, r *once.Registry) {
		late := begin(r, issue(r))
		time.Sleep(10*time.Minute + 1001*time.Millisecond)
		fresh, err := r.Issue(64) // the last one takes the bit of the first ticket
		Expect(err).NotTo(HaveOccurred())
		begin(r, fresh[63]).Finish(wire.Answered, done)
		late.Finish(wire.NotRun, once.Answer{})
		time.Sleep(time.Minute)
		fails[*once.UsedError](r, fresh[63], requestA)
	})
}

// Bytes of answers past their retention must not crowd out later ones.
func TestDroppedAnswersFreeTheirBytes(t *testing.T) {
	inBubble(t, once.Options{AnswerBytes: 12}, func(t *testing.T, r *once.Registry) {
		for range 2 {
			a, b := issue(r), issue(r)
			begin(r, a).Finish(wire.Answered, done)
			begin(r, b).Finish(wire.Answered, done)
			Expect(fails[*once.UsedError](r, a, requestA).Stored).NotTo(BeNil())
			time.Sleep(time.Minute)
		}
	})
}

// Kept answers are bounded in number and in bytes.
func TestKeptAnswersAreBounded(t *testing.T) {
	inBubble(t, once.Options{AnswersKept: 3, AnswerBytes: 10}, func(t *testing.T, r *once.Registry) {
		a, b, c, d := issue(r), issue(r), issue(r), issue(r)
		begin(r, a).Finish(wire.NotRun, once.Answer{})
		begin(r, b).Finish(wire.Answered, done)
		begin(r, c).Finish(wire.Answered, done)
		Expect(fails[*once.UsedError](r, b, requestA).Stored).To(BeNil()) // 12 bytes are over the limit
		Expect(fails[*once.UsedError](r, c, requestA).Stored).NotTo(BeNil())
		begin(r, d).Finish(wire.Answered, once.Answer{Body: make([]byte, 11)})
		Expect(fails[*once.UsedError](r, d, requestA).Stored).To(BeNil())
		claim := begin(r, a)
		begin(r, issue(r)) // the third record, beside those of a and c
		fails[*once.FullError](r, issue(r), requestA)
		claim.Finish(wire.NotRun, once.Answer{})
		begin(r, issue(r)) // takes the place of what is known of a
		fails[*once.FullError](r, issue(r), requestA)
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
