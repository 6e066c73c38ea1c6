package once

import (
	"container/list"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Registry issues the tickets of one process and keeps their states. Its
// memory is bounded by the options. It is safe for concurrent use.
type Registry struct {
	opts Options

	mu      sync.Mutex
	next    uint64 // sequence number of the next ticket
	used    *window
	epochs  epochs
	records map[uint64]*record
	// kept holds used tickets with their answers, released those that ended
	// NotRun; both are ordered by the end of the request, oldest first.
	kept     *list.List
	released *list.List
	bytes    int // of kept answers
}

// record is what is known of a ticket that was presented lately.
type record struct {
	seq     uint64
	request RequestHash
	running bool
	stored  Stored
	ended   time.Time
	place   *list.Element // in kept or released; nil while running
}

// New returns an empty registry. *OptionError reports a bad option.
func New(opts Options) (*Registry, error) {
	opts = opts.WithDefaults()
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	return &Registry{
		opts:     opts,
		next:     1,
		used:     newWindow(opts.TicketsKept),
		epochs:   epochs{life: opts.TicketLife},
		records:  map[uint64]*record{},
		kept:     list.New(),
		released: list.New(),
	}, nil
}

// TicketLife returns how long an unused ticket is valid.
func (r *Registry) TicketLife() time.Duration { return r.opts.TicketLife }

// Mine reports whether the ticket names this host, in any incarnation.
func (r *Registry) Mine(t Ticket) bool {
	return t.DataCentre == r.opts.DataCentre && t.Addr == r.opts.Addr
}

// Issue returns n new tickets. *FullError means that the record is full of
// tickets that are still valid.
func (r *Registry) Issue(n int) ([]Ticket, error) {
	if n <= 0 {
		return nil, errors.WithStack(&OptionError{Option: "n", Allowed: "1 and more"})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.sweep(now)
	last := r.next + uint64(n) - 1
	// A valid ticket that left the record could no longer be told from a used
	// one, so that it would be lost to its holder.
	if uint64(n) > r.used.size || last > r.epochs.expiredThrough+r.used.size {
		return nil, errors.WithStack(&FullError{Limit: "TicketsKept", Value: r.opts.TicketsKept})
	}
	out := make([]Ticket, 0, n)
	for ; r.next <= last; r.next++ {
		r.used.clear(r.next)
		out = append(out, Ticket{
			DataCentre: r.opts.DataCentre, Addr: r.opts.Addr, Incarnation: r.opts.Incarnation, Seq: r.next,
		})
	}
	r.epochs.issued(last, now)
	return out, nil
}

// Begin gives the permission to run the request of a ticket. Errors:
// *NotMineError, *WrongIncarnationError, *InvalidError (never issued),
// *OtherRequestError, *RunningError, *UsedError, *ExpiredError, *FullError.
func (r *Registry) Begin(t Ticket, request RequestHash) (Claim, error) {
	if !r.Mine(t) {
		return nil, errors.WithStack(&NotMineError{Ticket: t})
	}
	if t.Incarnation != r.opts.Incarnation {
		return nil, errors.WithStack(&WrongIncarnationError{Ticket: t, Current: r.opts.Incarnation})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Seq == 0 || t.Seq >= r.next {
		return nil, invalid("it was never issued")
	}
	now := time.Now()
	r.sweep(now)
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
	if !r.holds(t.Seq) || r.used.has(t.Seq) {
		return nil, errors.WithStack(&UsedError{})
	}
	if r.epochs.expired(t.Seq) {
		return nil, errors.WithStack(&ExpiredError{Life: r.opts.TicketLife})
	}
	return r.start(t.Seq, rec, request)
}

// start marks the ticket as used before its request runs.
func (r *Registry) start(seq uint64, rec *record, request RequestHash) (Claim, error) {
	if rec != nil {
		r.released.Remove(rec.place)
	} else {
		if !r.makeRoom() {
			return nil, errors.WithStack(&FullError{Limit: "AnswersKept", Value: r.opts.AnswersKept})
		}
		rec = &record{seq: seq, request: request}
		r.records[seq] = rec
	}
	rec.place = nil
	rec.running = true
	r.used.set(seq)
	return &claim{registry: r, rec: rec}, nil
}

// makeRoom reports whether one more record fits. A ticket that ended NotRun
// loses only its tie to a request.
func (r *Registry) makeRoom() bool {
	if len(r.records) < r.opts.AnswersKept {
		return true
	}
	if oldest := r.released.Front(); oldest != nil {
		r.drop(r.released, oldest)
		return true
	}
	return false
}

// holds reports whether the record still covers seq.
func (r *Registry) holds(seq uint64) bool { return seq+r.used.size >= r.next }

// sweep drops what is past its retention.
func (r *Registry) sweep(now time.Time) {
	r.epochs.advance(now)
	for _, l := range []*list.List{r.kept, r.released} {
		for e := l.Front(); e != nil && now.Sub(e.Value.(*record).ended) >= r.opts.Retention; e = l.Front() {
			r.drop(l, e)
		}
	}
}

func (r *Registry) drop(l *list.List, e *list.Element) {
	rec := l.Remove(e).(*record)
	r.bytes -= len(rec.stored.Answer.Body)
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
	r.sweep(now)
	rec.running = false
	rec.ended = now
	if outcome == wire.NotRun {
		rec.stored = Stored{Outcome: wire.NotRun}
		if r.holds(rec.seq) {
			r.used.clear(rec.seq)
		}
		rec.place = r.released.PushBack(rec)
		return
	}
	if len(answer.Body) > r.opts.AnswerBytes {
		delete(r.records, rec.seq)
		return
	}
	for e := r.kept.Front(); e != nil && r.bytes+len(answer.Body) > r.opts.AnswerBytes; e = r.kept.Front() {
		r.drop(r.kept, e)
	}
	rec.stored = Stored{Outcome: outcome, Answer: answer}
	r.bytes += len(answer.Body)
	rec.place = r.kept.PushBack(rec)
}
