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

// Server serves the HTTP interface of callers and operators, and the ticketed
// requests that other hosts forward.
type Server struct {
	opts    Options
	echo    *echo.Echo
	http    *http.Server
	metrics *metrics

	requestSeq   atomic.Uint64 // part of request ids
	openRequests atomic.Int64  // forwarded ones included
	stopping     atomic.Bool   // set when Stop begins; readiness fails
	refusing     atomic.Bool   // set after DrainWait; new searches are refused
	stopDone     chan struct{} // closed when Stop has ended
	stopErr      error         // of Stop; valid when stopDone is closed
}

// New returns a server; Run serves its listener. *OptionError reports an option
// that is not valid.
func New(opts Options) (*Server, error) {
	opts = opts.WithDefaults()
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	s := &Server{opts: opts, metrics: newMetrics(opts.Metrics), stopDone: make(chan struct{})}
	s.echo = s.newRouter()
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

// Handler returns the handler of all HTTP calls.
func (s *Server) Handler() http.Handler { return s.echo }

// Ready reports whether the host has a configuration and is not stopping.
func (s *Server) Ready() bool { return !s.stopping.Load() && s.opts.Configs.Current() != nil }

// OpenRequests returns the number of open requests, forwarded ones included.
func (s *Server) OpenRequests() int64 { return s.openRequests.Load() }

// Run serves the listener until Stop has ended. The end of ctx starts a stop
// that takes at most DrainWait plus StopTimeout. Run returns the error of Stop,
// that of the listener, or *OptionError when there is no listener.
func (s *Server) Run(ctx context.Context) error {
	if s.opts.Listener == nil {
		return errors.WithStack(&OptionError{Option: "Listener", Allowed: "any listener but nil; Run requires one"})
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.http.Serve(arrivalListener{s.opts.Listener}) }()
	select {
	case err := <-serveErr:
		if !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "listener")
		}
		<-s.stopDone
		return s.stopErr
	case <-ctx.Done():
		stopCtx, cancel := context.WithTimeout(context.Background(), s.opts.DrainWait+s.opts.StopTimeout)
		defer cancel()
		err := s.Stop(stopCtx)
		<-serveErr
		return err
	}
}

// Stop makes readiness fail, goes on accepting requests for DrainWait, closes
// the listener and waits for open requests. *CutOffError states how many were
// still open when ctx ended. A second call waits for the first one and returns
// its error, or that of its own ctx.
func (s *Server) Stop(ctx context.Context) error {
	if s.stopping.CompareAndSwap(false, true) {
		s.stopErr = s.stop(ctx)
		close(s.stopDone)
		return s.stopErr
	}
	select {
	case <-s.stopDone:
		return s.stopErr
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

// stop carries out the steps of Stop.
func (s *Server) stop(ctx context.Context) error {
	s.opts.Log.WithFields(log.Fields{"open": s.openRequests.Load(), "drain_wait": s.opts.DrainWait}).Info("stop began")
	drainTimer := time.NewTimer(s.opts.DrainWait)
	defer drainTimer.Stop()
	select {
	case <-drainTimer.C:
	case <-ctx.Done():
	}
	s.refusing.Store(true)
	err := s.http.Shutdown(ctx)
	cutOff := s.waitIdle(ctx)
	if err != nil {
		_ = s.http.Close() // closes the connections of the requests that are cut off
	}
	s.opts.Log.WithField("cut_off", cutOff).Info("stop ended")
	if cutOff > 0 {
		s.metrics.requestsCutOff.Inc(cutOff)
		return errors.WithStack(&CutOffError{Requests: cutOff})
	}
	return nil
}

// waitIdle waits until no request is open and returns 0, or returns the number
// of open requests when ctx ends. It covers forwarded requests, which
// http.Server.Shutdown doesn't wait for, since they don't use the listener.
func (s *Server) waitIdle(ctx context.Context) int64 {
	tick := time.NewTicker(idlePollInterval)
	defer tick.Stop()
	for {
		open := s.openRequests.Load()
		if open == 0 {
			return 0
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return open
		}
	}
}

// idlePollInterval is the interval at which waitIdle reads the number of open
// requests.
const idlePollInterval = 10 * time.Millisecond

func (s *Server) requestOpened() { s.metrics.openRequests.Update(float64(s.openRequests.Add(1))) }

func (s *Server) requestClosed() { s.metrics.openRequests.Update(float64(s.openRequests.Add(-1))) }

// nextRequestID returns a request id that no other process of the fleet uses.
func (s *Server) nextRequestID() string {
	return "q-" + strconv.FormatUint(s.opts.Incarnation, 16) + "-" + strconv.FormatUint(s.requestSeq.Add(1), 10)
}

// connState makes a connection record the arrival of its next request once it is
// idle. It is the ConnState of the HTTP server.
func connState(c net.Conn, state http.ConnState) {
	if ac, ok := c.(*arrivalConn); ok && state == http.StateIdle {
		ac.expectRequest()
	}
}
