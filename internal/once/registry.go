package once

import (
	"container/list"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Registry issues the tickets of one process and records the state of each. Its
// memory use is bounded by the options. It is safe for concurrent use.
type Registry struct {
	opts Options

	mu      sync.Mutex
	nextSeq uint64 // sequence number of the next ticket
	usage   *usageWindow
	issued  issueHistory
	records map[uint64]*record
	// answered holds the records of used tickets with their answers, notRun
	// those of tickets whose request ended NotRun. Both are ordered by the end
	// of the request, oldest first.
	answered    *list.List
	notRun      *list.List
	answerBytes int // total size of the answers in answered
}

// record is the state of a ticket whose request is in progress or ended less
// than Options.Retention ago.
type record struct {
	seq     uint64
	request RequestHash
	running bool
	stored  StoredAnswer
	endedAt time.Time
	element *list.Element // in Registry.answered or Registry.notRun; nil while running
}

// New returns an empty registry. It returns an *OptionError for an option out of
// its range.
func New(opts Options) (*Registry, error) {
	opts = opts.WithDefaults()
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	return &Registry{
		opts:     opts,
		nextSeq:  1,
		usage:    newUsageWindow(opts.TicketsKept),
		issued:   issueHistory{ticketLife: opts.TicketLife},
		records:  map[uint64]*record{},
		answered: list.New(),
		notRun:   list.New(),
	}, nil
}

// TicketLife returns how long an unused ticket is valid.
func (r *Registry) TicketLife() time.Duration { return r.opts.TicketLife }

// IsIssuerOf reports whether the ticket was issued by this host, in this or
// another incarnation.
func (r *Registry) IsIssuerOf(t Ticket) bool {
	return t.DataCentre == r.opts.DataCentre && t.Addr == r.opts.Addr
}

// Issue returns n new tickets. It returns a *RegistryFullError, and issues none,
// if they would displace valid tickets from the usage window, and an *OptionError
// if n is not positive.
func (r *Registry) Issue(n int) ([]Ticket, error) {
	if n <= 0 {
		return nil, errors.WithStack(&OptionError{Option: "n", Allowed: "1 and more"})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.dropExpired(now)
	last := r.nextSeq + uint64(n) - 1
	// A ticket that has left the usage window is treated as used, so a valid one
	// must stay in it.
	if uint64(n) > r.usage.size || last > r.issued.expiredThroughSeq+r.usage.size {
		return nil, errors.WithStack(&RegistryFullError{Limit: "TicketsKept", Value: r.opts.TicketsKept})
	}
	out := make([]Ticket, 0, n)
	for ; r.nextSeq <= last; r.nextSeq++ {
		r.usage.clear(r.nextSeq)
		out = append(out, Ticket{
			DataCentre: r.opts.DataCentre, Addr: r.opts.Addr, Incarnation: r.opts.Incarnation, Seq: r.nextSeq,
		})
	}
	r.issued.add(last, now)
	return out, nil
}

// Begin returns the permission to run the request of a ticket and marks the
// ticket as used. Otherwise it returns one of *OtherHostError,
// *WrongIncarnationError, *InvalidError (never issued), *OtherRequestError,
// *RunningError, *UsedError, *ExpiredError and *RegistryFullError.
func (r *Registry) Begin(t Ticket, request RequestHash) (Claim, error) {
	if !r.IsIssuerOf(t) {
		return nil, errors.WithStack(&OtherHostError{Ticket: t})
	}
	if t.Incarnation != r.opts.Incarnation {
		return nil, errors.WithStack(&WrongIncarnationError{Ticket: t, Current: r.opts.Incarnation})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Seq == 0 || t.Seq >= r.nextSeq {
		return nil, newInvalidError("no ticket with its sequence number was issued")
	}
	now := time.Now()
	r.dropExpired(now)
	rec := r.records[t.Seq]
	if rec != nil && rec.request != request {
		return nil, errors.WithStack(&OtherRequestError{})
	}
	if rec != nil && rec.running {
		return nil, errors.WithStack(&RunningError{})
	}
	if rec != nil && rec.stored.Outcome != wire.NotRun {
		stored := rec.stored
		return nil, errors.WithStack(&UsedError{Stored: &stored})
	}
	if !r.inWindow(t.Seq) || r.usage.isSet(t.Seq) {
		return nil, errors.WithStack(&UsedError{})
	}
	if r.issued.isExpired(t.Seq) {
		return nil, errors.WithStack(&ExpiredError{Life: r.opts.TicketLife})
	}
	return r.startClaim(t.Seq, rec, request)
}

// startClaim marks the ticket as used before its request runs. rec is the
// ticket's record in notRun, or nil. It returns a *RegistryFullError if there is
// no room for a new record.
func (r *Registry) startClaim(seq uint64, rec *record, request RequestHash) (Claim, error) {
	if rec != nil {
		r.notRun.Remove(rec.element)
	} else {
		if !r.makeRoom() {
			return nil, errors.WithStack(&RegistryFullError{Limit: "AnswersKept", Value: r.opts.AnswersKept})
		}
		rec = &record{seq: seq, request: request}
		r.records[seq] = rec
	}
	rec.element = nil
	rec.running = true
	r.usage.set(seq)
	return &claim{registry: r, rec: rec}, nil
}

// makeRoom reports whether one more record fits, after removing the oldest
// NotRun record if necessary. The ticket of that record stays usable, but no
// longer only for the request that it was first presented with.
func (r *Registry) makeRoom() bool {
	if len(r.records) < r.opts.AnswersKept {
		return true
	}
	if oldest := r.notRun.Front(); oldest != nil {
		r.removeRecord(r.notRun, oldest)
		return true
	}
	return false
}

// inWindow reports whether the usage window still covers seq.
func (r *Registry) inWindow(seq uint64) bool { return seq+r.usage.size >= r.nextSeq }

// dropExpired removes expired issue batches and records past their retention.
func (r *Registry) dropExpired(now time.Time) {
	r.issued.expireBatches(now)
	for _, l := range []*list.List{r.answered, r.notRun} {
		for e := l.Front(); e != nil && now.Sub(e.Value.(*record).endedAt) >= r.opts.Retention; e = l.Front() {
			r.removeRecord(l, e)
		}
	}
}

func (r *Registry) removeRecord(l *list.List, e *list.Element) {
	rec := l.Remove(e).(*record)
	r.answerBytes -= len(rec.stored.Answer.Body)
	delete(r.records, rec.seq)
}

// claim implements Claim.
type claim struct {
	registry *Registry
	rec      *record
}

// Finish implements Claim.
func (c *claim) Finish(outcome wire.Outcome, answer Answer) {
	r := c.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := c.rec
	if rec == nil {
		return
	}
	c.rec = nil
	now := time.Now()
	r.dropExpired(now)
	rec.running = false
	rec.endedAt = now
	if outcome == wire.NotRun {
		rec.stored = StoredAnswer{Outcome: wire.NotRun}
		if r.inWindow(rec.seq) {
			r.usage.clear(rec.seq)
		}
		rec.element = r.notRun.PushBack(rec)
		return
	}
	if len(answer.Body) > r.opts.AnswerBytes {
		delete(r.records, rec.seq)
		return
	}
	for e := r.answered.Front(); e != nil && r.answerBytes+len(answer.Body) > r.opts.AnswerBytes; e = r.answered.Front() {
		r.removeRecord(r.answered, e)
	}
	rec.stored = StoredAnswer{Outcome: outcome, Answer: answer}
	r.answerBytes += len(answer.Body)
	rec.element = r.answered.PushBack(rec)
}
