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
)

// Server runs queries for peers.
type Server struct {
	runner    Runner
	isLeaving func() bool
	scope     tally.Scope
	log       log.Interface
	running   atomic.Int64
}

var _ http.Handler = (*Server)(nil)

// NewServer returns the handler of PathQuery. It refuses queries while isLeaving
// returns true, because the process may end before the answer.
func NewServer(runner Runner, isLeaving func() bool, scope tally.Scope, logger log.Interface) *Server {
	return &Server{runner: runner, isLeaving: isLeaving, scope: scope, log: logger}
}

// ServeHTTP implements http.Handler. It accepts a query by an interim response,
// which the writer must send at once, and runs the query only after the peer has
// confirmed it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := bufio.NewReader(http.MaxBytesReader(w, r.Body, maxQueryBytes))
	query, err := readQuery(body)
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
func readQuery(body *bufio.Reader) (*gateway.ForwardedQuery, error) {
	line, err := body.ReadBytes('\n')
	if err != nil {
		return nil, errors.WithStack(err)
	}
	query := &gateway.ForwardedQuery{}
	return query, errors.WithStack(json.Unmarshal(line, query))
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
