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

// Server answers queries for peers.
type Server struct {
	runner  Runner
	leaving func() bool
	scope   tally.Scope
	log     log.Interface
	running atomic.Int64
}

var _ http.Handler = (*Server)(nil)

// NewServer returns the handler of PathQuery. While leaving holds, it takes no
// query on, because its process may end before the answer.
func NewServer(runner Runner, leaving func() bool, scope tally.Scope, logger log.Interface) *Server {
	return &Server{runner: runner, leaving: leaving, scope: scope, log: logger}
}

// ServeHTTP implements http.Handler. The query runs only once the peer has
// confirmed it. The writer must not hold back the interim response.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := bufio.NewReader(http.MaxBytesReader(w, r.Body, maxQuery))
	query, err := readQuery(body)
	if err != nil {
		s.log.WithError(err).Warn("query of a peer refused")
		s.refuse(w, http.StatusBadRequest, "unreadable")
		return
	}
	running := s.running.Add(1)
	defer s.running.Add(-1)
	switch {
	case s.leaving():
		s.refuse(w, http.StatusServiceUnavailable, "leaving")
		return
	case running > maxRunning:
		s.refuse(w, http.StatusServiceUnavailable, "busy")
		return
	case s.runner.Version() < query.Version:
		// An older table could contradict what the peer has already answered.
		s.refuse(w, http.StatusConflict, "behind")
		return
	}
	arrived := time.Now()
	w.WriteHeader(http.StatusEarlyHints)
	if !isConfirmed(body) {
		s.refuse(w, http.StatusRequestTimeout, "withdrawn")
		return
	}
	waited := time.Since(arrived)
	query.Left, query.Used = query.Left-waited, query.Used+waited
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

func readQuery(body *bufio.Reader) (*gateway.Forwarded, error) {
	text, err := body.ReadBytes('\n')
	if err != nil {
		return nil, errors.WithStack(err)
	}
	query := &gateway.Forwarded{}
	return query, errors.WithStack(json.Unmarshal(text, query))
}

// isConfirmed waits for the peer's confirmation and the end of its request. Any
// other end means that the peer answers the query itself.
func isConfirmed(body *bufio.Reader) bool {
	word, err := body.ReadByte()
	if err != nil || word != confirmation {
		return false
	}
	_, err = body.ReadByte()
	return err == io.EOF
}

func (s *Server) refuse(w http.ResponseWriter, code int, reason string) {
	s.scope.Tagged(map[string]string{"reason": reason}).Counter("refused_to_peers").Inc(1)
	w.WriteHeader(code)
}
