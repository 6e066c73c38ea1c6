package front

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// request is one search as received from a caller or another host.
type request struct {
	id      string
	arrival time.Time // with a monotonic clock reading
	service string
	search  string
	raw     []byte // body, not decoded
	// forwarded is set when another host sent the request. timeLeft is then the
	// time to the deadline that the host stated, counted from arrival.
	forwarded bool
	timeLeft  time.Duration
}

// serveSearch handles one search, with or without a ticket.
func (s *Server) serveSearch(ctx context.Context, r request) *response {
	body, err := parseSearch(r.raw)
	if err != nil {
		return notRunResponse(r.id, CodeBadRequest, errors.Cause(err).Error())
	}
	if body.Ticket != "" {
		// A ticketed request continues after the caller disconnects, since
		// the caller may repeat it to get the answer.
		return s.serveTicketed(context.WithoutCancel(ctx), r, body)
	}
	return s.runSearch(ctx, r, body)
}

// runSearch checks a search against the configuration and runs it. A response
// with outcome NotRun guarantees that no backend server ran a sub-request.
func (s *Server) runSearch(ctx context.Context, r request, body *searchBody) *response {
	search, refusal := s.buildSearch(r, body)
	if refusal != nil {
		return refusal
	}
	out := s.executeSearch(ctx, r, search)
	out.search = search.Search
	return out
}

// executeSearch asks admission for a search that passed all checks and runs it.
func (s *Server) executeSearch(ctx context.Context, r request, search *Search) *response {
	if time.Until(search.Deadline) <= 0 {
		return notRunResponse(r.id, CodeRefused, "deadline passed before the search began")
	}
	done, err := s.opts.Admission.Admit(search.Service, search.Search)
	if err != nil {
		return s.admissionErrorResponse(r, err)
	}
	var feedback Feedback
	defer func() { done(feedback) }()
	ctx, cancel := context.WithDeadline(ctx, search.Deadline)
	defer cancel()
	began := time.Now()
	answer, err := s.opts.Engine.Run(ctx, *search)
	if err == nil && answer == nil {
		err = errors.WithStack(&SearchError{
			Code: CodeInternal, Outcome: wire.Unknown, Message: "search ended without an answer",
		})
	}
	if err != nil {
		e := searchError(err)
		feedback.LoadSignals = e.LoadSignals
		if e.Outcome != wire.NotRun {
			feedback.Latency = time.Since(began)
		}
		return errorResponse(r.id, e)
	}
	feedback = Feedback{LoadSignals: answer.LoadSignals, Latency: time.Since(began)}
	return answeredResponse(r.id, answer, time.Since(r.arrival))
}

// searchError returns the *SearchError in an error of the engine. The outcome is
// unknown if err holds no *SearchError, or one that states Answered.
func searchError(err error) *SearchError {
	var e *SearchError
	if !errors.As(err, &e) {
		return &SearchError{Code: CodeUnknownOutcome, Outcome: wire.Unknown, Message: err.Error()}
	}
	if e.Outcome == wire.Answered {
		e.Outcome = wire.Unknown
	}
	return e
}

// admissionErrorResponse returns the response of a search that admission
// refused.
func (s *Server) admissionErrorResponse(r request, err error) *response {
	e := &SearchError{Code: CodeOverloaded, Outcome: wire.NotRun, Message: err.Error()}
	var overloaded *OverloadedError
	if errors.As(err, &overloaded) {
		e.RetryAfter = overloaded.RetryAfter
	}
	e.RetryAfter = max(e.RetryAfter, minRetryAfter)
	return errorResponse(r.id, e)
}

// minRetryAfter is the least wait that a refusal by admission states to the
// caller, even if admission itself states a shorter one or none.
const minRetryAfter = 10 * time.Millisecond

// buildSearch checks a request against the configuration in force. It returns
// the search to run, or the response of a refusal.
func (s *Server) buildSearch(r request, body *searchBody) (*Search, *response) {
	if s.refusing.Load() {
		return nil, notRunResponse(r.id, CodeStopping, "host is stopping")
	}
	if open := s.openRequests.Load(); open > s.opts.OpenLimit {
		return nil, errorResponse(r.id, &SearchError{
			Code: CodeOverloaded, Outcome: wire.NotRun, RetryAfter: limitRetryAfter,
			Message: fmt.Sprintf("host has reached its limit of %d open requests", s.opts.OpenLimit),
		})
	}
	cfg := s.opts.Configs.Current()
	if cfg == nil {
		return nil, notRunResponse(r.id, CodeNoConfiguration, "host has no configuration yet")
	}
	service := cfg.Services[r.service]
	if service == nil {
		return nil, notRunResponse(r.id, CodeUnknownService, fmt.Sprintf("service %q does not exist", r.service))
	}
	search := cfg.Searches[release.SearchKey(r.service, r.search)]
	if search == nil {
		return nil, notRunResponse(r.id, CodeUnknownSearch,
			fmt.Sprintf("service %q has no search %q", r.service, r.search))
	}
	if !search.Repeatable && body.Ticket == "" {
		return nil, notRunResponse(r.id, CodeTicketRequired,
			fmt.Sprintf("search %q is not repeatable and needs a ticket", r.search))
	}
	out := &Search{
		Request: r.id, Config: cfg, Service: service, Search: search,
		LeastCoverage: search.LeastCoverage,
		Payload:       []byte(body.Payload),
		Repeatable:    search.Repeatable && body.Ticket == "",
	}
	if body.LeastCoverage != nil {
		out.LeastCoverage = max(out.LeastCoverage, *body.LeastCoverage)
	}
	left := search.Deadline.D()
	if body.Deadline != nil {
		if body.Deadline.D() > left {
			return nil, notRunResponse(r.id, CodeBadRequest, fmt.Sprintf(
				"deadline %s is above the search's deadline %s", body.Deadline.D(), left))
		}
		left = body.Deadline.D()
	}
	if r.forwarded {
		left = min(left, r.timeLeft)
	}
	out.Deadline = r.arrival.Add(left)
	var err error
	if out.Ledgers, err = requestedLedgers(service, body); err != nil {
		return nil, notRunResponse(r.id, CodeBadRequest, errors.Cause(err).Error())
	}
	return out, nil
}

// requestedLedgers returns the ledgers that a search asks for; nil means all of
// the service. *BodyError names the first range that the service doesn't have.
func requestedLedgers(service *release.Service, body *searchBody) (wire.RangeSet, error) {
	var asked wire.RangeSet
	switch {
	case body.Range != nil:
		asked = wire.RangeSet{wire.LedgerRange(*body.Range)}
	case len(body.Ledgers) > 0:
		asked = ledgerRanges(body.Ledgers)
	default:
		return nil, nil
	}
	all := make(wire.RangeSet, 0, len(service.Shards))
	for _, shard := range service.Shards {
		all = append(all, shard.Range)
	}
	all = mergeRanges(all)
	for _, r := range asked {
		if outside := all.GapsIn(r); len(outside) > 0 {
			return nil, newBodyError("ledgers %s are not in service %q", outside[0], service.Name)
		}
	}
	return asked, nil
}
