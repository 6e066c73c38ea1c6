package front

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// Server answers callers and operators.
type Server struct {
	opts    Options
	echo    *echo.Echo
	http    *http.Server
	metrics *metrics

	seq      atomic.Uint64
	open     atomic.Int64
	stopping atomic.Bool   // readiness fails
	refusing atomic.Bool   // new searches are refused
	stopped  chan struct{} // closed when Stop is over
	stopErr  error
}

// New returns a server that does not listen yet. *OptionError reports a bad
// option.
func New(opts Options) (*Server, error) {
	opts = opts.WithDefaults()
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	s := &Server{opts: opts, metrics: newMetrics(opts.Metrics), stopped: make(chan struct{})}
	s.echo = s.routes()
	s.http = &http.Server{
		Handler:           s.echo,
		ReadHeaderTimeout: opts.HeaderTimeout,
		ReadTimeout:       opts.ReadTimeout,
		IdleTimeout:       opts.IdleTimeout,
		MaxHeaderBytes:    opts.HeaderLimit,
		ConnContext:       connContext,
		ConnState:         connState,
	}
	return s, nil
}

// Handler returns the handler of all calls.
func (s *Server) Handler() http.Handler { return s.echo }

// Ready reports whether the host has a configuration and is not stopping.
func (s *Server) Ready() bool { return !s.stopping.Load() && s.opts.Configs.Current() != nil }

// Open returns the number of open requests.
func (s *Server) Open() int64 { return s.open.Load() }

// Run serves the listener until Stop ends, or until ctx ends, which stops the
// server gracefully. Errors: *CutOffError, or that of the listener.
func (s *Server) Run(ctx context.Context) error {
	if s.opts.Listener == nil {
		return errors.WithStack(&OptionError{Option: "Listener", Allowed: "a value; Run needs it"})
	}
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(arrivalListener{s.opts.Listener}) }()
	select {
	case err := <-served:
		if !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "listener")
		}
		<-s.stopped
		return s.stopErr
	case <-ctx.Done():
		stopCtx, cancel := context.WithTimeout(context.Background(), s.opts.DrainWait+s.opts.StopTimeout)
		defer cancel()
		err := s.Stop(stopCtx)
		<-served
		return err
	}
}

// Stop makes readiness fail, goes on serving for drain_wait, stops accepting
// and waits for open requests. *CutOffError counts those that were still open
// when ctx ended. A second call waits for the first one, or for its own ctx.
func (s *Server) Stop(ctx context.Context) error {
	if s.stopping.CompareAndSwap(false, true) {
		s.stopErr = s.stop(ctx)
		close(s.stopped)
		return s.stopErr
	}
	select {
	case <-s.stopped:
		return s.stopErr
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

func (s *Server) stop(ctx context.Context) error {
	s.opts.Log.WithFields(log.Fields{"open": s.open.Load(), "drain_wait": s.opts.DrainWait}).Info("stop began")
	wait := time.NewTimer(s.opts.DrainWait)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
	s.refusing.Store(true)
	err := s.http.Shutdown(ctx)
	cutOff := s.waitIdle(ctx)
	if err != nil {
		_ = s.http.Close() // connections of requests that are cut off
	}
	s.opts.Log.WithField("cut_off", cutOff).Info("stop ended")
	if cutOff > 0 {
		s.metrics.cutOff.Inc(cutOff)
		return errors.WithStack(&CutOffError{Requests: cutOff})
	}
	return nil
}

// waitIdle waits for forwarded requests too, which do not use the listener.
// It returns the number of requests open when ctx ended.
func (s *Server) waitIdle(ctx context.Context) int64 {
	tick := time.NewTicker(idlePoll)
	defer tick.Stop()
	for {
		n := s.open.Load()
		if n == 0 {
			return 0
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return n
		}
	}
}

const idlePoll = 10 * time.Millisecond

func (s *Server) opened() { s.metrics.open.Update(float64(s.open.Add(1))) }

func (s *Server) closed() { s.metrics.open.Update(float64(s.open.Add(-1))) }

// nextID returns a request id that no other process uses.
func (s *Server) nextID() string {
	return "q-" + strconv.FormatUint(s.opts.Incarnation, 16) + "-" + strconv.FormatUint(s.seq.Add(1), 10)
}

// connState marks the moments from which the next read begins a request.
func connState(c net.Conn, state http.ConnState) {
	if ac, ok := c.(*arrivalConn); ok && state == http.StateIdle {
		ac.await()
	}
}
