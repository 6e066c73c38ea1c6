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

// metrics holds the instruments of a server; scope creates the counters that
// have tags.
type metrics struct {
	scope          tally.Scope
	openRequests   tally.Gauge
	requestsCutOff tally.Counter
	panics         tally.Counter
	latency        tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:          scope,
		openRequests:   scope.Gauge("open_requests"),
		requestsCutOff: scope.Counter("requests_cut_off"),
		panics:         scope.Counter("panics"),
		latency:        scope.Histogram("request_latency", tally.MustMakeExponentialDurationBuckets(latencyStart, latencyFactor, latencyBuckets)),
	}
}

// observe records an ended search in the metrics and the service-level
// accounting, and logs it unless it was answered.
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
	// The accounting of a forwarded request is done by the host that the caller
	// sent it to.
	if r.forwarded || isCallersFault(out.code) {
		return
	}
	search := out.search
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

// isCallersFault reports whether code is a refusal that the caller caused, which
// doesn't count towards the service level.
func isCallersFault(code Code) bool {
	switch code {
	case CodeBadRequest, CodeTicketRequired, CodeTicketInvalid, CodeTicketExpired, CodeTicketRunning,
		CodeTicketUsed, CodeUnknownService, CodeUnknownSearch:
		return true
	}
	return false
}

// recoverPanic returns the response of f, or an error response if f panics.
func (s *Server) recoverPanic(id string, f func() *response) (out *response) {
	defer func() {
		if p := recover(); p != nil {
			out = s.panicResponse(id, p)
		}
	}()
	return f()
}

// panicResponse counts and logs a panic and returns its response. The outcome
// is unknown, since the search may have run before the panic.
func (s *Server) panicResponse(id string, p any) *response {
	s.metrics.panics.Inc(1)
	s.opts.Log.WithFields(log.Fields{
		"request": id, "panic": fmt.Sprint(p), "stack": string(debug.Stack()),
	}).Error("request handler panicked")
	return unknownResponse(id, CodeInternal, "internal error")
}
