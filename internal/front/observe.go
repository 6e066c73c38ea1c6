package front

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Bounds of the latency histogram.
const (
	latencyStart   = 500 * time.Microsecond
	latencyFactor  = 1.5
	latencyBuckets = 24 // the last bound is about 5.6 s
)

// metrics are the instruments of a server.
type metrics struct {
	scope   tally.Scope
	open    tally.Gauge
	cutOff  tally.Counter
	panics  tally.Counter
	latency tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:   scope,
		open:    scope.Gauge("open_requests"),
		cutOff:  scope.Counter("requests_cut_off"),
		panics:  scope.Counter("panics"),
		latency: scope.Histogram("request_latency", tally.MustMakeExponentialDurationBuckets(latencyStart, latencyFactor, latencyBuckets)),
	}
}

// observe counts an ended search and logs it when it failed.
func (s *Server) observe(r request, out *response) {
	latency := time.Since(r.arrival)
	code := string(out.code)
	if code == "" {
		code = "none"
	}
	s.metrics.scope.Tagged(map[string]string{"outcome": out.outcome.String(), "error": code}).Counter("requests").Inc(1)
	s.metrics.latency.RecordDuration(latency)
	if out.outcome != wire.Answered {
		s.opts.Log.WithFields(log.Fields{
			"request": r.id, "service": r.service, "search": r.search, "outcome": out.outcome.String(),
			"error": code, "status": out.status, "message": out.message, "latency": latency,
			"forwarded": r.forwarded,
		}).Warn("request failed")
	}
	// A forwarded request is counted by the host that the caller sent it to.
	if r.forwarded || isCallersFault(out.code) {
		return
	}
	search := out.planned
	if cfg := s.opts.Configs.Current(); search == nil && cfg != nil {
		search = cfg.Searches[release.SearchKey(r.service, r.search)]
	}
	if search != nil {
		s.opts.Burn.Record(Observation{
			Service: r.service, Search: search, Outcome: out.outcome, Code: out.code,
			Coverage: out.coverage, Latency: latency,
		})
	}
}

// isCallersFault reports a refusal that says nothing about the service level.
func isCallersFault(code Code) bool {
	switch code {
	case CodeBadRequest, CodeTicketRequired, CodeTicketInvalid, CodeTicketExpired, CodeTicketRunning,
		CodeTicketUsed, CodeUnknownService, CodeUnknownSearch:
		return true
	}
	return false
}

// guarded turns a panic of f into a response.
func (s *Server) guarded(id string, f func() *response) (out *response) {
	defer func() {
		if p := recover(); p != nil {
			out = s.panicked(id, p)
		}
	}()
	return f()
}

// panicked logs a panic and returns its response. What ran before it is not
// known.
func (s *Server) panicked(id string, p any) *response {
	s.metrics.panics.Inc(1)
	s.opts.Log.WithFields(log.Fields{
		"request": id, "panic": fmt.Sprint(p), "stack": string(debug.Stack()),
	}).Error("request handler panicked")
	return unknown(id, CodeInternal, "internal error")
}
