package owner

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// metrics holds the counters, which avoids a look-up by name per sub-request.
type metrics struct {
	answered              tally.Counter
	notRun                map[wire.Reason]tally.Counter
	unknown               map[wire.Reason]tally.Counter
	otherReason           tally.Counter
	connsOpened           tally.Counter
	connsRefused          tally.Counter
	connsClosed           tally.Counter
	connsSilent           tally.Counter
	silenceChecks         tally.Counter
	silenceChecksPositive tally.Counter
	ejections             tally.Counter
	unsentRetries         tally.Counter
	probes                tally.Counter
	probesFailed          tally.Counter
	cancelsSent           tally.Counter
	longBackoffs          tally.Gauge
	evacuated             tally.Gauge
	sentNear              tally.Counter
	sentFar               tally.Counter
	inFlightSpread        tally.Gauge
	loadAge               tally.Histogram
}

// loadAgeBuckets are the bounds of the ages of stated loads: 1 ms to 8 s.
var loadAgeBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		answered:              scope.Counter("answered"),
		notRun:                map[wire.Reason]tally.Counter{},
		unknown:               map[wire.Reason]tally.Counter{},
		otherReason:           scope.Counter("other_reason"),
		connsOpened:           scope.Counter("connections_opened"),
		connsRefused:          scope.Counter("connections_refused"),
		connsClosed:           scope.Counter("connections_closed"),
		connsSilent:           scope.Counter("connections_silent"),
		silenceChecks:         scope.Counter("silence_checks"),
		silenceChecksPositive: scope.Counter("silence_checks_positive"),
		ejections:             scope.Counter("ejections"),
		unsentRetries:         scope.Counter("unsent_retries"),
		probes:                scope.Counter("probes"),
		probesFailed:          scope.Counter("probes_failed"),
		cancelsSent:           scope.Counter("cancels_sent"),
		longBackoffs:          scope.Gauge("long_backoffs"),
		evacuated:             scope.Gauge("data_centres_out_of_use"),
		sentNear:              scope.Counter("sent_near"),
		sentFar:               scope.Counter("sent_far"),
		inFlightSpread:        scope.Gauge("in_flight_spread"),
		loadAge:               scope.Histogram("load_age", loadAgeBuckets),
	}
	for _, reason := range []wire.Reason{
		wire.ReasonNone, wire.ReasonBadRequest, wire.ReasonQueueFull, wire.ReasonDeadlineTooShort,
		wire.ReasonDeadlineExpired, wire.ReasonCancelled, wire.ReasonDraining, wire.ReasonEvacuated, wire.ReasonEjected,
		wire.ReasonShed, wire.ReasonRateLimited, wire.ReasonBackoff, wire.ReasonConnRefused, wire.ReasonConnLost, wire.ReasonConnSilent,
		wire.ReasonTimeout, wire.ReasonTooLarge, wire.ReasonSnapshotNotHeld, wire.ReasonRepartitioned,
		wire.ReasonUnknownReplica, wire.ReasonServerError,
	} {
		tags := map[string]string{"reason": string(reason)}
		m.notRun[reason] = scope.Tagged(tags).Counter("not_run")
		m.unknown[reason] = scope.Tagged(tags).Counter("unknown")
	}
	return m
}

// countSent counts a sub-request that is sent to a replica of this host's data centre, near,
// or of another one.
func (m *metrics) countSent(near bool) {
	if near {
		m.sentNear.Inc(1)
	} else {
		m.sentFar.Inc(1)
	}
}

// count counts a reply by its outcome and reason. Reasons without a counter of
// their own go to otherReason.
func (m *metrics) count(outcome wire.Outcome, reason wire.Reason) {
	if outcome == wire.Answered {
		m.answered.Inc(1)
		return
	}
	counters := m.unknown
	if outcome == wire.NotRun {
		counters = m.notRun
	}
	if counter, ok := counters[reason]; ok {
		counter.Inc(1)
		return
	}
	m.otherReason.Inc(1)
}
