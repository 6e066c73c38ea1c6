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

// serveTicketed runs a ticketed search on this host or on the host that issued
// the ticket. The ticket is checked before everything else: a refusal for
// another reason would say "not run" about a request that ran earlier.
func (s *Server) serveTicketed(ctx context.Context, r request, body *searchBody) *response {
	ticket, err := once.Parse(body.Ticket)
	if err != nil {
		return notRunResponse(r.id, CodeTicketInvalid, errors.Cause(err).Error())
	}
	if s.opts.Tickets.IsIssuerOf(ticket) {
		return s.runOnce(ctx, r, body, ticket)
	}
	if r.forwarded {
		return unknownResponse(r.id, CodeUnknownOutcome, "ticket was issued by another host than "+s.opts.Members.View().Self.Name)
	}
	return s.forward(ctx, r, body, ticket)
}

// runOnce runs the request of a ticket that names this host, if the registry
// allows it, and stores the response with the ticket.
func (s *Server) runOnce(ctx context.Context, r request, body *searchBody, ticket once.Ticket) (out *response) {
	claim, err := s.opts.Tickets.Begin(ticket, body.requestHash(r.service, r.search))
	if err != nil {
		return s.ticketErrorResponse(r.id, err)
	}
	defer func() {
		if p := recover(); p != nil {
			out = s.panicResponse(r.id, p)
		}
		claim.Finish(out.outcome, once.Answer{Status: out.status, Body: out.body})
	}()
	return s.runSearch(ctx, r, body)
}

// ticketErrorResponse returns the response for a ticket that the registry
// refused: the stored one, if the request ran before, or an error.
func (s *Server) ticketErrorResponse(id string, err error) *response {
	message := errors.Cause(err).Error()
	switch e := errors.Cause(err).(type) {
	case *once.UsedError:
		if e.Stored != nil {
			if out, ok := parseResponse(e.Stored.Answer.Status, e.Stored.Answer.Body); ok {
				return out
			}
		}
		return unknownResponse(id, CodeTicketUsed, message)
	case *once.RunningError:
		return unknownResponse(id, CodeTicketRunning, message)
	case *once.ExpiredError:
		return notRunResponse(id, CodeTicketExpired, message)
	case *once.InvalidError, *once.OtherRequestError:
		return notRunResponse(id, CodeTicketInvalid, message)
	case *once.RegistryFullError:
		return errorResponse(id, &SearchError{
			Code: CodeOverloaded, Outcome: wire.NotRun, Message: message, RetryAfter: limitRetryAfter,
		})
	default:
		return unknownResponse(id, CodeUnknownOutcome, message)
	}
}

// limitRetryAfter is the wait stated to the caller when a request is refused
// because the ticket registry is full or too many requests are open.
const limitRetryAfter = time.Second

// forward sends a ticketed request to the host that issued the ticket. Only
// that host can say that the request did not run: an earlier call with the
// ticket may have reached it even if this one does not.
func (s *Server) forward(ctx context.Context, r request, body *searchBody, ticket once.Ticket) *response {
	host, ok := issuingHost(s.opts.Members.View(), ticket)
	if !ok {
		return unknownResponse(r.id, CodeUnknownOutcome, "host that issued the ticket is not a member")
	}
	if host.Incarnation > ticket.Incarnation {
		return unknownResponse(r.id, CodeUnknownOutcome, "host "+host.Name+" restarted after it issued the ticket")
	}
	left := s.deadlineAfterArrival(r, body) - time.Since(r.arrival)
	if left <= 0 {
		return unknownResponse(r.id, CodeUnknownOutcome, "deadline passed before the request was forwarded")
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
		return unknownResponse(r.id, CodeUnknownOutcome, "host "+host.Name+
			" that issued the ticket could not be reached; an earlier call may have run: "+err.Error())
	case err != nil:
		return unknownResponse(r.id, CodeUnknownOutcome, "reply of host "+host.Name+" was lost: "+err.Error())
	}
	out, ok := parseResponse(int(reply.GetStatus()), reply.GetBody())
	if !ok {
		return unknownResponse(r.id, CodeUnknownOutcome,
			fmt.Sprintf("reply of host %s is malformed, status %d", host.Name, reply.GetStatus()))
	}
	return out
}

// issuingHost returns the member that a ticket names. A caller can write any
// address into a ticket; only those of members are dialled.
func issuingHost(view *member.View, ticket once.Ticket) (member.Host, bool) {
	for _, h := range view.Hosts {
		if h.Addr == ticket.Addr && h.DataCentre == ticket.DataCentre {
			return h, true
		}
	}
	return member.Host{}, false
}

// deadlineAfterArrival returns the time from the arrival of a request to its
// deadline, as far as a host that forwards it knows.
func (s *Server) deadlineAfterArrival(r request, body *searchBody) time.Duration {
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
// request continues when ctx ends. The error is always nil: a refusal is sent as
// a reply.
func (s *Server) HandleTicketed(ctx context.Context, in *peerpb.TicketedRequest) (*peerpb.TicketedReply, error) {
	r := request{
		id: s.nextRequestID(), arrival: time.Now(), service: in.GetService(), search: in.GetSearch(),
		raw: in.GetBody(), forwarded: true, timeLeft: durationFromMicroseconds(in.GetTimeLeftUs()),
	}
	s.requestOpened()
	defer s.requestClosed()
	out := s.recoverPanic(r.id, func() *response { return s.serveForwarded(ctx, r, in.GetTicket()) })
	s.observe(r, out)
	return &peerpb.TicketedReply{Status: uint32(out.status), Body: out.body}, nil
}

// serveForwarded handles a forwarded request after a check that the ticket of
// the message is the one in the body.
func (s *Server) serveForwarded(ctx context.Context, r request, ticket string) *response {
	body, err := parseSearch(r.raw)
	if err == nil && (ticket == "" || body.Ticket != ticket) {
		return notRunResponse(r.id, CodeTicketInvalid, "forwarded request states two different tickets")
	}
	return s.serveSearch(ctx, r)
}

// durationFromMicroseconds converts a time stated by another host; values above
// maxTimeLeftUs are lowered to it, which prevents an overflow.
func durationFromMicroseconds(us uint64) time.Duration {
	return time.Duration(min(us, maxTimeLeftUs)) * time.Microsecond
}

// maxTimeLeftUs is the longest time to a deadline that another host can state,
// in microseconds: 24 hours.
const maxTimeLeftUs = uint64(24 * time.Hour / time.Microsecond)
