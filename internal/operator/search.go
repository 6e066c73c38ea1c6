package operator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// ticketAuto is the value of --ticket that requests a ticket from a host before
// the search.
const ticketAuto = "auto"

// newRequest returns the body of the search. *UsageError reports a flag whose
// value is not allowed.
func (f searchFlags) newRequest() (searchRequest, error) {
	out := searchRequest{LeastCoverage: f.leastCoverage, Payload: f.payload}
	switch {
	case f.hi == 0 && f.lo != 0:
		return out, &UsageError{Message: "--lo needs --hi; allowed is --lo below --hi"}
	case f.hi != 0 && f.lo >= f.hi:
		return out, &UsageError{Message: fmt.Sprintf("--lo %d is not below --hi %d", f.lo, f.hi)}
	case f.hi != 0:
		out.Range = &wire.LedgerRange{Lo: f.lo, Hi: f.hi}
	}
	if f.deadline < 0 || f.deadline > maxSearchDeadline {
		return out, &UsageError{Message: fmt.Sprintf("--deadline %s is not allowed; allowed is 0s to %s", f.deadline, maxSearchDeadline)}
	}
	if f.deadline > 0 {
		out.Deadline = f.deadline.String()
	}
	if !(f.leastCoverage >= 0 && f.leastCoverage <= 1) {
		return out, &UsageError{Message: fmt.Sprintf("--least-coverage %v is not allowed; allowed is 0 to 1", f.leastCoverage)}
	}
	return out, nil
}

func (s *session) search(ctx context.Context, f searchFlags) error {
	request, err := f.newRequest()
	if err != nil {
		return err
	}
	request.Ticket = f.ticket
	target := *s.client
	if f.ticket == ticketAuto {
		// Only the host that issued a ticket accepts a search with it.
		issuer, ticket, err := s.requestTicket(ctx)
		if err != nil {
			return err
		}
		target.hosts, request.Ticket = []string{issuer}, ticket
	}
	reply, err := target.search(ctx, f.service, f.search, request, f.deadline)
	if err != nil {
		return s.showSearchFailure(err, request.Ticket)
	}
	for _, warning := range reply.Warnings {
		s.warn("%s", warning)
	}
	return s.printResult(reply)
}

// requestTicket requests a ticket from the hosts in turn and returns it with the
// host that issued it. *NoTicketError reports that none was received.
func (s *session) requestTicket(ctx context.Context) (issuer, ticket string, err error) {
	call, err := postCall("/v1/tickets", struct {
		Count int `json:"count"`
	}{1})
	if err != nil {
		return "", "", err
	}
	var reply ticketsReply
	if issuer, err = s.client.callInTurn(ctx, call, &reply, retryRepeatable); err != nil {
		return "", "", &NoTicketError{Err: err}
	}
	if len(reply.Tickets) == 0 {
		return "", "", &NoTicketError{Err: &AnswerError{Host: issuer, Status: http.StatusOK, Reply: errorReply{Error: "no ticket"}}}
	}
	return issuer, reply.Tickets[0], nil
}

// search runs a search on the hosts in turn; a zero deadline means
// maxSearchDeadline. Hosts refuse a search without a ticket unless it is
// repeatable, so a call without a ticket may be made again on the next host after
// a failure. A call with a ticket is made again only if no byte of it was sent.
func (c *hostClient) search(ctx context.Context, service, search string, request searchRequest, deadline time.Duration) (*searchReply, error) {
	call, err := postCall("/v1/services/"+url.PathEscape(service)+"/searches/"+url.PathEscape(search), request)
	if err != nil {
		return nil, err
	}
	if deadline == 0 {
		deadline = maxSearchDeadline
	}
	call.timeout = deadline + answerGrace
	mayRetry := retryPolicy(retryRepeatable)
	if request.Ticket != "" {
		mayRetry = retryUnsent
	}
	var reply searchReply
	if _, err := c.callInTurn(ctx, call, &reply, mayRetry); err != nil {
		return nil, err
	}
	return &reply, nil
}

// showSearchFailure prints the coverage that a failed search reached, if the
// answer has one; in JSON it prints every error answer. It returns err, or an
// *UnknownSearchOutcomeError if a search with a ticket may have run.
func (s *session) showSearchFailure(err error, ticket string) error {
	var answer *AnswerError
	if errors.As(err, &answer) && (s.opts.Output == outputJSON || answer.Reply.Coverage != nil) {
		if err := s.printResult(answer.Reply); err != nil {
			return err
		}
	}
	if ticket != "" && exitCode(err) == ExitUnknownOutcome {
		return &UnknownSearchOutcomeError{Ticket: ticket, Err: err}
	}
	return err
}

// coverage runs a repeatable search over all ledgers and shows its coverage.
// *UsageError reports a search that doesn't exist or is not repeatable.
func (s *session) coverage(ctx context.Context, service, search string) error {
	cfg, err := s.fetchConfig(ctx)
	if err != nil {
		return err
	}
	searchConfig, ok := cfg.Searches[release.SearchKey(service, search)]
	if !ok {
		return &UsageError{Message: fmt.Sprintf("service %q has no search %q in version %d", service, search, cfg.Version)}
	}
	if !searchConfig.Repeatable {
		return &UsageError{Message: fmt.Sprintf("search %q is not repeatable and is not run to look at its coverage; choose another search of service %q", search, service)}
	}
	reply, err := s.client.search(ctx, service, search, searchRequest{}, searchConfig.Deadline.D())
	if err != nil {
		return s.showSearchFailure(err, "")
	}
	return s.printResult(coverageReport{reply.Coverage, reply.Timing, reply.Work})
}

func (v searchReply) writeText(w io.Writer) error {
	rows := make([][]string, 0, len(v.Rows))
	for _, r := range v.Rows {
		rows = append(rows, []string{fmt.Sprint(r.Ledger), r.Key, r.Value})
	}
	if err := writeTable(w, []string{"LEDGER", "KEY", "VALUE"}, rows); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "\nrequest %s: %d rows, snapshot %d, version %d, %s, slowest shard %d\n",
		v.Request, len(v.Rows), v.Snapshot, v.ConfigVersion, v.Timing.Total, v.Timing.SlowestShard); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "work: %s\n", v.Work); err != nil {
		return err
	}
	return v.Coverage.writeText(w)
}

// String returns the numbers of sub-requests by kind.
func (v work) String() string {
	return fmt.Sprintf("%d first tries, %d hedges, %d retries, %d cancelled, %d dropped",
		v.FirstTries, v.Hedges, v.Retries, v.Cancelled, v.Dropped)
}

func (v coverageReport) writeText(w io.Writer) error {
	if err := v.coverage.writeText(w); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "in %s, slowest shard %d; work: %s\n", v.Timing.Total, v.Timing.SlowestShard, v.Work)
	return err
}

func (v coverage) writeText(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "coverage %v: %d of %d ledgers, from %d shards\n", v.Fraction, v.Covered, v.Requested, len(v.Included)); err != nil {
		return err
	}
	for _, m := range v.Missing {
		if _, err := fmt.Fprintf(w, "missing: shard %d, ledgers %s: %s\n", m.Shard, m.Range, m.Reason); err != nil {
			return err
		}
	}
	return nil
}

func (v errorReply) writeText(w io.Writer) error {
	if v.Coverage == nil {
		return nil
	}
	return v.Coverage.writeText(w)
}
