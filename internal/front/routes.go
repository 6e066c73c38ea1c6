package front

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/once"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	headerRequestID = "X-Request-Id"
	keyRequestID    = "request_id"
	maxTicketsCall  = 1000 // tickets issued by one call
)

// routes builds the echo server.
func (s *Server) routes() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = s.handleError
	e.Use(s.envelope)
	e.POST("/v1/services/:service/searches/:search", s.postSearch)
	e.POST("/v1/tickets", s.postTickets)
	e.GET("/ready", s.getReady)
	e.GET("/live", func(c echo.Context) error { return c.JSON(http.StatusOK, map[string]bool{"live": true}) })
	e.GET("/metrics", s.getMetrics)
	e.POST("/v1/operator/notes", s.postNote)
	e.GET("/v1/operator/config", s.getConfig)
	e.GET("/v1/operator/history", s.getHistory)
	e.GET("/v1/operator/hosts", s.getHosts)
	e.GET("/v1/operator/replicas", s.getReplicas)
	e.GET("/v1/operator/burn", s.getBurn)
	return e
}

// envelope gives each request an id, counts it while it is open and recovers
// panics.
func (s *Server) envelope(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		s.opened()
		defer s.closed()
		id := s.nextID()
		c.Set(keyRequestID, id)
		c.Response().Header().Set(headerRequestID, id)
		c.Response().Before(func() {
			// Not supported by recorders of tests, whose writes can't block.
			_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(s.opts.WriteTimeout))
		})
		if s.stopping.Load() {
			// Callers move to other hosts before connections are closed.
			c.Response().Header().Set("Connection", "close")
		}
		defer func() {
			if p := recover(); p != nil {
				err = s.write(c, s.panicked(id, p))
			}
		}()
		return next(c)
	}
}

// handleError writes errors of echo itself, such as an unknown path.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	out := unknown(requestID(c), CodeInternal, err.Error())
	var he *echo.HTTPError
	if errors.As(err, &he) && he.Code >= http.StatusBadRequest && he.Code < http.StatusInternalServerError {
		out = notRun(requestID(c), CodeNotFound, http.StatusText(he.Code))
		out.status = he.Code
	}
	_ = s.write(c, out) // the caller is gone if this fails
}

func requestID(c echo.Context) string {
	id, _ := c.Get(keyRequestID).(string)
	return id
}

// write sends a response. Retry-After is in whole seconds, rounded up.
func (s *Server) write(c echo.Context, out *response) error {
	if out.retryAfter > 0 {
		seconds := int(math.Ceil(out.retryAfter.Seconds()))
		c.Response().Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	return errors.WithStack(c.JSONBlob(out.status, out.body))
}

// readBody reads at most limit bytes. *BodyError reports a longer body or a
// caller that did not send all of it.
func readBody(c echo.Context, limit int64) ([]byte, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return nil, bodyError("body is longer than %d bytes", limit)
	}
	if err != nil {
		return nil, bodyError("body was not received: %s", err)
	}
	return raw, nil
}

// postSearch handles POST /v1/services/{service}/searches/{search}.
func (s *Server) postSearch(c echo.Context) error {
	r := request{
		id: requestID(c), arrival: arrivalOf(c.Request().Context()),
		service: c.Param("service"), search: c.Param("search"),
	}
	out := s.guarded(r.id, func() *response {
		raw, err := readBody(c, s.opts.BodyLimit)
		if err != nil {
			return notRun(r.id, CodeBadRequest, errors.Cause(err).Error())
		}
		r.raw = raw
		return s.serve(c.Request().Context(), r)
	})
	s.observe(r, out)
	return s.write(c, out)
}

type ticketsBody struct {
	Tickets []string      `json:"tickets"`
	Expires jwcc.Duration `json:"expires"`
}

// postTickets handles POST /v1/tickets.
func (s *Server) postTickets(c echo.Context) error {
	id := requestID(c)
	raw, err := readBody(c, s.opts.BodyLimit)
	count := 0
	if err == nil {
		err = decodeStrict(raw, map[string]any{"count": &count})
	}
	if err == nil && (count < 1 || count > maxTicketsCall) {
		err = bodyError("count %d is out of range; allowed is 1 to %d", count, maxTicketsCall)
	}
	if err != nil {
		return s.write(c, notRun(id, CodeBadRequest, errors.Cause(err).Error()))
	}
	if s.refusing.Load() {
		return s.write(c, notRun(id, CodeStopping, "host is stopping"))
	}
	if s.opts.Configs.Current() == nil {
		return s.write(c, notRun(id, CodeNoConfiguration, "host has no configuration yet"))
	}
	tickets, err := s.opts.Tickets.Issue(count)
	var full *once.FullError
	if errors.As(err, &full) {
		return s.write(c, fail(id, &SearchError{
			Code: CodeOverloaded, Outcome: wire.NotRun, Message: full.Error(), RetryAfter: fullRetryAfter,
		}))
	}
	if err != nil {
		return errors.WithStack(err)
	}
	s.metrics.scope.Counter("tickets_issued").Inc(int64(count))
	body := ticketsBody{Expires: jwcc.Duration(s.opts.Tickets.TicketLife())}
	for _, t := range tickets {
		body.Tickets = append(body.Tickets, t.String())
	}
	return c.JSON(http.StatusOK, body)
}

// getReady handles GET /ready.
func (s *Server) getReady(c echo.Context) error {
	status := http.StatusOK
	if !s.Ready() {
		status = http.StatusServiceUnavailable
	}
	return c.JSON(status, map[string]bool{"ready": status == http.StatusOK, "stopping": s.stopping.Load()})
}

// getMetrics handles GET /metrics.
func (s *Server) getMetrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMETextPlainCharsetUTF8)
	c.Response().WriteHeader(http.StatusOK)
	if s.opts.MetricsText == nil {
		return nil
	}
	_, err := s.opts.MetricsText.WriteTo(c.Response())
	return errors.WithStack(err)
}
