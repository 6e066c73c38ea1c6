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
	headerRequestID     = "X-Request-Id"
	contextKeyRequestID = "request_id"
	maxTicketsPerCall   = 1000 // limit of tickets issued by one call
)

// newRouter returns the echo server with all routes.
func (s *Server) newRouter() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = s.handleError
	e.Use(s.requestMiddleware)
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

// requestMiddleware gives each request an id, counts it while it is open and
// turns a panic into an error response. While the server stops, it makes callers
// close their connections.
func (s *Server) requestMiddleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		s.requestOpened()
		defer s.requestClosed()
		id := s.nextRequestID()
		c.Set(contextKeyRequestID, id)
		c.Response().Header().Set(headerRequestID, id)
		c.Response().Before(func() {
			// The recorders of tests return an error, as they have no write
			// deadline; their writes can't block.
			_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(s.opts.WriteTimeout))
		})
		if s.stopping.Load() {
			// Makes callers move to other hosts before the server closes the
			// connections.
			c.Response().Header().Set("Connection", "close")
		}
		defer func() {
			if p := recover(); p != nil {
				err = s.writeResponse(c, s.panicResponse(id, p))
			}
		}()
		return next(c)
	}
}

// handleError writes the errors that handlers return and those of echo itself,
// such as an unknown path.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	out := unknownResponse(requestID(c), CodeInternal, err.Error())
	var he *echo.HTTPError
	if errors.As(err, &he) && he.Code >= http.StatusBadRequest && he.Code < http.StatusInternalServerError {
		out = notRunResponse(requestID(c), CodeNotFound, http.StatusText(he.Code))
		out.status = he.Code
	}
	_ = s.writeResponse(c, out) // fails only if the caller's connection is lost
}

// requestID returns the id that requestMiddleware gave the request.
func requestID(c echo.Context) string {
	id, _ := c.Get(contextKeyRequestID).(string)
	return id
}

// writeResponse sends a response. The Retry-After header has whole seconds,
// rounded up.
func (s *Server) writeResponse(c echo.Context, out *response) error {
	if out.retryAfter > 0 {
		seconds := int(math.Ceil(out.retryAfter.Seconds()))
		c.Response().Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	return errors.WithStack(c.JSONBlob(out.status, out.body))
}

// readBody reads a body of at most limit bytes. *BodyError reports a longer body
// or one that was not received whole.
func readBody(c echo.Context, limit int64) ([]byte, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return nil, newBodyError("body is longer than %d bytes", limit)
	}
	if err != nil {
		return nil, newBodyError("body was not received: %s", err)
	}
	return raw, nil
}

// postSearch handles POST /v1/services/{service}/searches/{search}.
func (s *Server) postSearch(c echo.Context) error {
	r := request{
		id: requestID(c), arrival: requestArrival(c.Request().Context()),
		service: c.Param("service"), search: c.Param("search"),
	}
	out := s.recoverPanic(r.id, func() *response {
		raw, err := readBody(c, s.opts.BodyLimit)
		if err != nil {
			return notRunResponse(r.id, CodeBadRequest, errors.Cause(err).Error())
		}
		r.raw = raw
		return s.serveSearch(c.Request().Context(), r)
	})
	s.observe(r, out)
	return s.writeResponse(c, out)
}

// ticketsBody is the response body of POST /v1/tickets; Expires is the life of
// the tickets.
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
	if err == nil && (count < 1 || count > maxTicketsPerCall) {
		err = newBodyError("count %d is out of range; allowed is 1 to %d", count, maxTicketsPerCall)
	}
	if err != nil {
		return s.writeResponse(c, notRunResponse(id, CodeBadRequest, errors.Cause(err).Error()))
	}
	if s.refusing.Load() {
		return s.writeResponse(c, notRunResponse(id, CodeStopping, "host is stopping"))
	}
	if s.opts.Configs.Current() == nil {
		return s.writeResponse(c, notRunResponse(id, CodeNoConfiguration, "host has no configuration yet"))
	}
	tickets, err := s.opts.Tickets.Issue(count)
	var full *once.RegistryFullError
	if errors.As(err, &full) {
		return s.writeResponse(c, errorResponse(id, &SearchError{
			Code: CodeOverloaded, Outcome: wire.NotRun, Message: full.Error(), RetryAfter: limitRetryAfter,
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
