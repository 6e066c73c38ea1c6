package aggregate

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/gateway"
	"github.com/arbutusgauge/arbutusgauge/internal/readlimit"
)

// Server runs queries for peers.
type Server struct {
	runner    Runner
	isLeaving func() bool
	budget    *readlimit.Budget
	scope     tally.Scope
	log       log.Interface
	running   atomic.Int64
}

var _ http.Handler = (*Server)(nil)

// NewServer returns the handler of PathQuery. It refuses queries while isLeaving
// returns true, because the process may end before the answer. Queries take memory
// from budget while they are read.
func NewServer(runner Runner, isLeaving func() bool, budget *readlimit.Budget, scope tally.Scope, logger log.Interface) *Server {
	return &Server{runner: runner, isLeaving: isLeaving, budget: budget, scope: scope, log: logger}
}

// ServeHTTP implements http.Handler. It accepts a query by an interim response,
// which the writer must send at once, and runs the query only after the peer has
// confirmed it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	connection := http.NewResponseController(w)
	if err := connection.SetReadDeadline(time.Now().Add(offerTimeout)); err != nil {
		s.log.WithError(err).Warn("query of a peer has no time limit")
	}
	body := bufio.NewReader(r.Body)
	query, err := s.readQuery(body)
	if err != nil {
		s.log.WithError(err).Warn("query of a peer refused")
		s.refuse(w, http.StatusBadRequest, "unreadable")
		return
	}
	running := s.running.Add(1)
	defer s.running.Add(-1)
	switch {
	case s.isLeaving():
		s.refuse(w, http.StatusServiceUnavailable, "leaving")
		return
	case running > maxRunningQueries:
		s.refuse(w, http.StatusServiceUnavailable, "busy")
		return
	case s.runner.Version() < query.Version:
		// An answer from an older routing table could contradict earlier answers of
		// the peer.
		s.refuse(w, http.StatusConflict, "behind")
		return
	}
	arrived := time.Now()
	w.WriteHeader(http.StatusEarlyHints)
	if !readConfirmation(body) {
		s.refuse(w, http.StatusRequestTimeout, "withdrawn")
		return
	}
	if err := connection.SetReadDeadline(time.Time{}); err != nil {
		s.log.WithError(err).Warn("time limit of a peer's query not ended")
	}
	waited := time.Since(arrived)
	query.TimeLeft, query.Elapsed = query.TimeLeft-waited, query.Elapsed+waited
	outcome := s.runner.Serve(r.Context(), query)
	if r.Context().Err() != nil {
		return
	}
	s.scope.Counter("answered_for_peers").Inc(1)
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(outcome); err != nil {
		s.log.WithError(err).WithField("request", query.ID).Debug("answer not delivered to a peer")
	}
}

// readQuery reads the first line of a body as a query.
func (s *Server) readQuery(body *bufio.Reader) (*gateway.ForwardedQuery, error) {
	line, err := readlimit.ReadAll(&lineReader{reader: body}, -1, readlimit.Limits{
		What: "query of a peer", Max: maxQueryBytes, Budget: s.budget,
	})
	if err != nil {
		return nil, err
	}
	query := &gateway.ForwardedQuery{}
	if err := json.Unmarshal(line, query); err != nil {
		return nil, errors.WithStack(err)
	}
	if query.ID == "" || query.Version == 0 {
		return nil, errors.WithStack(&QueryError{})
	}
	return query, nil
}

// lineReader reads up to the end of a line. A line that the sender broke off gives
// io.ErrUnexpectedEOF.
type lineReader struct {
	reader *bufio.Reader
	ended  bool
}

// Read implements io.Reader.
func (l *lineReader) Read(p []byte) (int, error) {
	if l.ended {
		return 0, io.EOF
	}
	for n := range p {
		b, err := l.reader.ReadByte()
		switch {
		case err == io.EOF:
			return n, io.ErrUnexpectedEOF
		case err != nil:
			return n, errors.WithStack(err)
		case b == '\n':
			l.ended = true
			return n, io.EOF
		}
		p[n] = b
	}
	return len(p), nil
}

// readConfirmation waits for the confirmation and the end of the body, and reports
// whether both came. If not, the peer has withdrawn its offer and answers the
// query itself.
func readConfirmation(body *bufio.Reader) bool {
	received, err := body.ReadByte()
	if err != nil || received != confirmationByte {
		return false
	}
	_, err = body.ReadByte()
	return err == io.EOF
}

// refuse answers with a status code and counts the refusal by its reason.
func (s *Server) refuse(w http.ResponseWriter, code int, reason string) {
	s.scope.Tagged(map[string]string{"reason": reason}).Counter("refused_to_peers").Inc(1)
	w.WriteHeader(code)
}
