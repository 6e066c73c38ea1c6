package front

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/member"
	"github.com/arbutusgauge/arbutusgauge/internal/once"
	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// serveTicketed runs a ticketed search here or on the host that issued the
// ticket. The ticket is looked up before every other check: a refusal for
// another reason would say "not run" about a request that ran earlier.
func (s *Server) serveTicketed(ctx context.Context, r request, body *searchBody) *response {
	ticket, err := once.Parse(body.Ticket)
	if err != nil {
		return notRun(r.id, CodeTicketInvalid, errors.Cause(err).Error())
	}
	if s.opts.Tickets.Mine(ticket) {
		return s.runOnce(ctx, r, body, ticket)
	}
	if r.forwarded {
		return unknown(r.id, CodeUnknownOutcome, "ticket was issued by another host than "+s.opts.Members.View().Self.Name)
	}
	return s.forward(ctx, r, body, ticket)
}

// runOnce runs the request of a ticket of this process.
func (s *Server) runOnce(ctx context.Context, r request, body *searchBody, ticket once.Ticket) (out *response) {
	claim, err := s.opts.Tickets.Begin(ticket, body.hash(r.service, r.search))
	if err != nil {
		return s.ticketRefused(r.id, err)
	}
	defer func() {
		if p := recover(); p != nil {
			out = s.panicked(r.id, p)
		}
		claim.Finish(out.outcome, once.Answer{Status: out.status, Body: out.body})
	}()
	return s.run(ctx, r, body)
}

// ticketRefused returns the response of a ticket that gave no claim.
func (s *Server) ticketRefused(id string, err error) *response {
	message := errors.Cause(err).Error()
	switch e := errors.Cause(err).(type) {
	case *once.UsedError:
		if e.Stored != nil {
			if out, ok := replayed(e.Stored.Answer.Status, e.Stored.Answer.Body); ok {
				return out
			}
		}
		return unknown(id, CodeTicketUsed, message)
	case *once.RunningError:
		return unknown(id, CodeTicketRunning, message)
	case *once.ExpiredError:
		return notRun(id, CodeTicketExpired, message)
	case *once.InvalidError, *once.OtherRequestError:
		return notRun(id, CodeTicketInvalid, message)
	case *once.FullError:
		return fail(id, &SearchError{
			Code: CodeOverloaded, Outcome: wire.NotRun, Message: message, RetryAfter: fullRetryAfter,
		})
	default:
		return unknown(id, CodeUnknownOutcome, message)
	}
}

// fullRetryAfter is sent when the ticket registry is full or too many requests
// are open.
const fullRetryAfter = time.Second

// forward sends a ticketed request to the host that issued the ticket. Only
// that host can say that the request did not run: an earlier call with the
// ticket may have reached it even if this one does not.
func (s *Server) forward(ctx context.Context, r request, body *searchBody, ticket once.Ticket) *response {
	host, ok := memberAt(s.opts.Members.View(), ticket)
	if !ok {
		return unknown(r.id, CodeUnknownOutcome, "host that issued the ticket is not a member")
	}
	if host.Incarnation > ticket.Incarnation {
		return unknown(r.id, CodeUnknownOutcome, "host "+host.Name+" restarted after it issued the ticket")
	}
	left := s.forwardTimeLeft(r, body) - time.Since(r.arrival)
	if left <= 0 {
		return unknown(r.id, CodeUnknownOutcome, "deadline passed before the request was forwarded")
	}
	ctx, cancel := context.WithTimeout(ctx, left+s.opts.ForwardGrace)
	defer cancel()
	reply, err := s.opts.Forwarder.RunTicketed(ctx, host.Addr, &peerpb.TicketedRequest{
		Ticket:     body.Ticket,
		Body:       r.raw,
		TimeLeftUs: uint64(max(left.Microseconds(), 1)),
		Service:    r.service,
		Search:     r.search,
	})
	var notSent *NotSentError
	switch {
	case errors.As(err, &notSent):
		return unknown(r.id, CodeUnknownOutcome, "host "+host.Name+
			" that issued the ticket could not be reached; an earlier call may have run: "+err.Error())
	case err != nil:
		return unknown(r.id, CodeUnknownOutcome, "reply of host "+host.Name+" was lost: "+err.Error())
	}
	out, ok := replayed(int(reply.GetStatus()), reply.GetBody())
	if !ok {
		return unknown(r.id, CodeUnknownOutcome,
			fmt.Sprintf("reply of host %s is malformed, status %d", host.Name, reply.GetStatus()))
	}
	return out
}

// memberAt returns the member that a ticket names, so that no address is
// dialled only because a caller wrote it.
func memberAt(view *member.View, ticket once.Ticket) (member.Host, bool) {
	for _, h := range view.Hosts {
		if h.Addr == ticket.Addr && h.DataCentre == ticket.DataCentre {
			return h, true
		}
	}
	return member.Host{}, false
}

// forwardTimeLeft returns the time from arrival to the deadline.
func (s *Server) forwardTimeLeft(r request, body *searchBody) time.Duration {
	if body.Deadline != nil {
		return body.Deadline.D()
	}
	if cfg := s.opts.Configs.Current(); cfg != nil {
		if search := cfg.Searches[release.SearchKey(r.service, r.search)]; search != nil {
			return search.Deadline.D()
		}
	}
	return s.opts.ForwardTimeLeft
}

// HandleTicketed runs a ticketed request that another host forwarded. The
// request goes on when ctx ends; the error is always nil, because a refusal is
// a reply too.
func (s *Server) HandleTicketed(ctx context.Context, in *peerpb.TicketedRequest) (*peerpb.TicketedReply, error) {
	r := request{
		id: s.nextID(), arrival: time.Now(), service: in.GetService(), search: in.GetSearch(),
		raw: in.GetBody(), forwarded: true, timeLeft: microseconds(in.GetTimeLeftUs()),
	}
	s.opened()
	defer s.closed()
	out := s.guarded(r.id, func() *response { return s.serveForwarded(ctx, r, in.GetTicket()) })
	s.observe(r, out)
	return &peerpb.TicketedReply{Status: uint32(out.status), Body: out.body}, nil
}

// serveForwarded handles a forwarded request whose ticket is stated twice.
func (s *Server) serveForwarded(ctx context.Context, r request, ticket string) *response {
	body, err := parseSearch(r.raw)
	if err == nil && (ticket == "" || body.Ticket != ticket) {
		return notRun(r.id, CodeTicketInvalid, "forwarded request states two different tickets")
	}
	return s.serve(ctx, r)
}

// microseconds converts a stated time without overflow.
func microseconds(us uint64) time.Duration {
	return time.Duration(min(us, maxTimeLeftUs)) * time.Microsecond
}

const maxTimeLeftUs = uint64(24 * time.Hour / time.Microsecond)
