package owner

import (
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// metrics holds the counters, so that the hot path looks up no name.
type metrics struct {
	answered tally.Counter
	notRun   map[wire.Reason]tally.Counter
	unknown  map[wire.Reason]tally.Counter
	other    tally.Counter
	opened   tally.Counter
	refused  tally.Counter
	closed   tally.Counter
	silent   tally.Counter
	checks   tally.Counter
	checkHit tally.Counter
	ejected  tally.Counter
	unsent   tally.Counter
	probes   tally.Counter
	failed   tally.Counter
	cancels  tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		answered: scope.Counter("answered"),
		notRun:   map[wire.Reason]tally.Counter{},
		unknown:  map[wire.Reason]tally.Counter{},
		other:    scope.Counter("other_reason"),
		opened:   scope.Counter("connections_opened"),
		refused:  scope.Counter("connections_refused"),
		closed:   scope.Counter("connections_closed"),
		silent:   scope.Counter("connections_silent"),
		checks:   scope.Counter("silence_checks"),
		checkHit: scope.Counter("silence_checks_positive"),
		ejected:  scope.Counter("ejections"),
		unsent:   scope.Counter("unsent_retries"),
		probes:   scope.Counter("probes"),
		failed:   scope.Counter("probes_failed"),
		cancels:  scope.Counter("cancels_sent"),
	}
	for _, reason := range []wire.Reason{
		wire.ReasonNone, wire.ReasonBadRequest, wire.ReasonQueueFull, wire.ReasonDeadlineShort,
		wire.ReasonExpired, wire.ReasonCancelled, wire.ReasonDraining, wire.ReasonEjected,
		wire.ReasonShed, wire.ReasonConnRefused, wire.ReasonConnLost, wire.ReasonConnSilent,
		wire.ReasonTimeout, wire.ReasonSnapshotGone, wire.ReasonRepartitioned,
		wire.ReasonUnknownReplica, wire.ReasonServerError,
	} {
		tags := map[string]string{"reason": string(reason)}
		m.notRun[reason] = scope.Tagged(tags).Counter("not_run")
		m.unknown[reason] = scope.Tagged(tags).Counter("unknown")
	}
	return m
}

func (m *metrics) count(outcome wire.Outcome, reason wire.Reason) {
	if outcome == wire.Answered {
		m.answered.Inc(1)
		return
	}
	table := m.unknown
	if outcome == wire.NotRun {
		table = m.notRun
	}
	if counter, ok := table[reason]; ok {
		counter.Inc(1)
		return
	}
	m.other.Inc(1)
}
