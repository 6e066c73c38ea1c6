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
	arrival time.Time // with the monotonic clock
	service string
	search  string
	raw     []byte
	// forwarded is set when another host sent the request; timeLeft is then
	// what it states, counted from arrival.
	forwarded bool
	timeLeft  time.Duration
}

// serve handles one search.
func (s *Server) serve(ctx context.Context, r request) *response {
	body, err := parseSearch(r.raw)
	if err != nil {
		return notRun(r.id, CodeBadRequest, errors.Cause(err).Error())
	}
	if body.Ticket != "" {
		// The caller may repeat the request after it disconnected, so a
		// ticketed request goes on without it.
		return s.serveTicketed(context.WithoutCancel(ctx), r, body)
	}
	return s.run(ctx, r, body)
}

// run checks a search against the configuration and runs it. A response with
// outcome NotRun is proof that no sub-request was sent.
func (s *Server) run(ctx context.Context, r request, body *searchBody) *response {
	search, refusal := s.plan(r, body)
	if refusal != nil {
		return refusal
	}
	out := s.execute(ctx, r, search)
	out.planned = search.Search
	return out
}

// execute runs a search that passed all checks.
func (s *Server) execute(ctx context.Context, r request, search *Search) *response {
	if time.Until(search.Deadline) <= 0 {
		return notRun(r.id, CodeRefused, "deadline passed before the search began")
	}
	done, err := s.opts.Admission.Admit(search.Service, search.Search)
	if err != nil {
		return s.refused(r, err)
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
		feedback.Seen = e.Seen
		if e.Outcome != wire.NotRun {
			feedback.Latency = time.Since(began)
		}
		return fail(r.id, e)
	}
	feedback = Feedback{Seen: answer.Seen, Latency: time.Since(began)}
	return answered(r.id, answer, time.Since(r.arrival))
}

// searchError returns the engine's error with its outcome. An answered outcome
// makes no sense on an error and counts as unknown, like a missing one.
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

// refused returns the response of an admission error.
func (s *Server) refused(r request, err error) *response {
	e := &SearchError{Code: CodeOverloaded, Outcome: wire.NotRun, Message: err.Error()}
	var overloaded *OverloadedError
	if errors.As(err, &overloaded) {
		e.RetryAfter = overloaded.RetryAfter
	}
	e.RetryAfter = max(e.RetryAfter, leastRetryAfter)
	return fail(r.id, e)
}

// leastRetryAfter is sent when admission gives no time.
const leastRetryAfter = 10 * time.Millisecond

// plan checks a search against the configuration in force.
func (s *Server) plan(r request, body *searchBody) (*Search, *response) {
	if s.refusing.Load() {
		return nil, notRun(r.id, CodeStopping, "host is stopping")
	}
	if open := s.open.Load(); open > s.opts.OpenLimit {
		return nil, fail(r.id, &SearchError{
			Code: CodeOverloaded, Outcome: wire.NotRun, RetryAfter: fullRetryAfter,
			Message: fmt.Sprintf("host serves %d requests at a time", s.opts.OpenLimit),
		})
	}
	cfg := s.opts.Configs.Current()
	if cfg == nil {
		return nil, notRun(r.id, CodeNoConfiguration, "host has no configuration yet")
	}
	service := cfg.Services[r.service]
	if service == nil {
		return nil, notRun(r.id, CodeUnknownService, fmt.Sprintf("service %q does not exist", r.service))
	}
	search := cfg.Searches[release.SearchKey(r.service, r.search)]
	if search == nil {
		return nil, notRun(r.id, CodeUnknownSearch,
			fmt.Sprintf("service %q has no search %q", r.service, r.search))
	}
	if !search.Repeatable && body.Ticket == "" {
		return nil, notRun(r.id, CodeTicketRequired,
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
			return nil, notRun(r.id, CodeBadRequest, fmt.Sprintf(
				"deadline %s is above the search's deadline %s", body.Deadline.D(), left))
		}
		left = body.Deadline.D()
	}
	if r.forwarded {
		left = min(left, r.timeLeft)
	}
	out.Deadline = r.arrival.Add(left)
	var err error
	if out.Ledgers, err = requested(service, body); err != nil {
		return nil, notRun(r.id, CodeBadRequest, errors.Cause(err).Error())
	}
	return out, nil
}

// requested returns the ledgers that a search asks for, nil for all of the
// service. *BodyError names the first one that the service does not have.
func requested(service *release.Service, body *searchBody) (wire.RangeSet, error) {
	var asked wire.RangeSet
	switch {
	case body.Range != nil:
		asked = wire.RangeSet{wire.KeyRange(*body.Range)}
	case len(body.Ledgers) > 0:
		asked = ledgerSet(body.Ledgers)
	default:
		return nil, nil
	}
	all := make(wire.RangeSet, 0, len(service.Shards))
	for _, shard := range service.Shards {
		all = append(all, shard.Range)
	}
	all = union(all)
	for _, r := range asked {
		if outside := all.Subtract(r); len(outside) > 0 {
			return nil, bodyError("ledgers %s are not in service %q", outside[0], service.Name)
		}
	}
	return asked, nil
}
