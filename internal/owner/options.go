package owner

import (
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/backend"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Options configures an Owner. DataCentre, Dialer and Ownership are required.
type Options struct {
	// DataCentre is the data centre of this host. Replicas of other data centres
	// are not used unless AllDataCentres is set.
	DataCentre string
	// AllDataCentres lets the owner use the replicas of every data centre.
	AllDataCentres bool
	// SkipRoutineStatusCalls omits the status calls on new connections and the
	// periodic ones on idle connections, for replicas whose status call takes a
	// slot. Checks for silent connections still use status calls.
	SkipRoutineStatusCalls bool
	// KeepSilentRuns keeps a connection open while its running sub-request is waited
	// for, however long the server is silent. The sender's hedges take its place.
	KeepSilentRuns bool
	// Clock returns a monotonic time that goes on while the host is suspended; default:
	// Go's monotonic clock, which may stop then.
	Clock     func() time.Duration
	Dialer    backend.Dialer // opens connections to replicas
	Ownership Ownership      // says which replicas this host owns
	// LeavingServer reports whether the host list names the backend server of a
	// replica as leaving. Default: no server is leaving.
	LeavingServer func(wire.ReplicaID) bool
	// RateLimiter keeps the limits that replicas advertise. Default: they are ignored.
	RateLimiter RateLimiter
	// Suspects learns which requests servers ended under. Default: nothing does.
	Suspects Suspects
	// WarmConnections is the number of connections kept open to an owned replica
	// without work. More are opened when sub-requests wait, and closed after
	// Timings.IdleTimeout without use. Default 0: one more than the slots, which
	// stay open without use.
	WarmConnections int
	Scope           tally.Scope   // default: no metrics
	Logger          log.Interface // default: no log
	Timings         Timings
}

// Timings holds the time-outs, periods and limits of an Owner. A zero field takes
// its default. Negative values are not allowed.
type Timings struct {
	QueuePerSlot       int           // queue length limit, in sub-requests per slot; default 8
	OwnerChangeOverlap time.Duration // time after an owner change with half of the slots; default 2 s
	DeadlineGrace      time.Duration // time by which a run may exceed its deadline before its connection is closed; default 50 ms
	ProbeEvery         time.Duration // period of health probes, with a jitter of 10 %; default 1 s
	ProbeTimeout       time.Duration // time-out of a probe or cancel call; default 100 ms
	MinSilence         time.Duration // least time without an answer after which a connection may count as silent; default 50 ms
	SilenceP95Factor   int           // least such time as a multiple of the p95 latency, if that is above MinSilence; default 4
	SilentAnswers      int           // answers to later sub-requests after which it counts as silent without a check; default 3
	EjectAfter         int           // consecutive failures before an ejection; default 5
	FirstEjection      time.Duration // length of the first ejection, doubled for each further one; default 1 s
	MaxEjection        time.Duration // longest ejection; default 30 s
	AnswersPerSlot     int           // answers after which a slow start adds a slot; default 8
	DialTimeout        time.Duration // time-out of a dial with its first status call; default 1 s
	FirstRedialPause   time.Duration // pause after the first failed dial, doubled for each further one; default 50 ms
	MaxRedialPause     time.Duration // longest pause after a failed dial; default 1 s
	// IdleTimeout is the time without use after which a host that owns the replica
	// closes the connections beyond the warm ones, and another host all of them;
	// default 10 s.
	IdleTimeout        time.Duration
	RefreshPeriod      time.Duration // period at which Run refreshes all replicas; default 500 ms
	MinRefreshInterval time.Duration // shortest time between two refreshes of a replica by Send; default 50 ms
	// CancelAfter is the time that a cancelled sub-request may still run before
	// its connection is closed, for servers without a cancel call. Default 0:
	// the server is sent a cancel call instead.
	CancelAfter time.Duration
	// DrainHold is the time for which a draining reply overrides the status call.
	// It is doubled for each further draining reply without an answer between
	// them, up to 4 times. Default 30 s.
	DrainHold time.Duration
}

const (
	defaultQueuePerSlot       = 8
	defaultOwnerChangeOverlap = 2 * time.Second
	defaultDeadlineGrace      = 50 * time.Millisecond
	defaultProbeEvery         = time.Second
	defaultProbeTimeout       = 100 * time.Millisecond
	defaultMinSilence         = 50 * time.Millisecond
	defaultSilenceP95Factor   = 4
	defaultSilentAnswers      = 3
	defaultEjectAfter         = 5
	defaultFirstEjection      = time.Second
	defaultMaxEjection        = 30 * time.Second
	defaultAnswersPerSlot     = 8
	defaultDialTimeout        = time.Second
	defaultFirstRedialPause   = 50 * time.Millisecond
	defaultMaxRedialPause     = time.Second
	defaultIdleTimeout        = 10 * time.Second
	defaultRefreshPeriod      = 500 * time.Millisecond
	defaultMinRefreshInterval = 50 * time.Millisecond
	defaultDrainHold          = 30 * time.Second
)

// orDefault sets a zero value to preset.
func orDefault[T int | time.Duration](value *T, preset T) {
	if *value == 0 {
		*value = preset
	}
}

func (t Timings) withDefaults() Timings {
	orDefault(&t.QueuePerSlot, defaultQueuePerSlot)
	orDefault(&t.OwnerChangeOverlap, defaultOwnerChangeOverlap)
	orDefault(&t.DeadlineGrace, defaultDeadlineGrace)
	orDefault(&t.ProbeEvery, defaultProbeEvery)
	orDefault(&t.ProbeTimeout, defaultProbeTimeout)
	orDefault(&t.MinSilence, defaultMinSilence)
	orDefault(&t.SilenceP95Factor, defaultSilenceP95Factor)
	orDefault(&t.SilentAnswers, defaultSilentAnswers)
	orDefault(&t.EjectAfter, defaultEjectAfter)
	orDefault(&t.FirstEjection, defaultFirstEjection)
	orDefault(&t.MaxEjection, defaultMaxEjection)
	orDefault(&t.AnswersPerSlot, defaultAnswersPerSlot)
	orDefault(&t.DialTimeout, defaultDialTimeout)
	orDefault(&t.FirstRedialPause, defaultFirstRedialPause)
	orDefault(&t.MaxRedialPause, defaultMaxRedialPause)
	orDefault(&t.IdleTimeout, defaultIdleTimeout)
	orDefault(&t.RefreshPeriod, defaultRefreshPeriod)
	orDefault(&t.MinRefreshInterval, defaultMinRefreshInterval)
	orDefault(&t.DrainHold, defaultDrainHold)
	return t
}

func (o Options) withDefaults() Options {
	if o.LeavingServer == nil {
		o.LeavingServer = func(wire.ReplicaID) bool { return false }
	}
	if o.Clock == nil {
		began := time.Now()
		o.Clock = func() time.Duration { return time.Since(began) }
	}
	if o.Suspects == nil {
		o.Suspects = noSuspects{}
	}
	if o.RateLimiter == nil {
		o.RateLimiter = noRateLimits{}
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Handler: discard.Default}
	}
	o.Timings = o.Timings.withDefaults()
	return o
}

// Validate returns an *OptionsError that names the first option that is missing or
// out of range, or nil.
func (o Options) Validate() error {
	switch {
	case o.DataCentre == "":
		return &OptionsError{Option: "DataCentre", Allowed: "set"}
	case o.Dialer == nil:
		return &OptionsError{Option: "Dialer", Allowed: "set"}
	case o.Ownership == nil:
		return &OptionsError{Option: "Ownership", Allowed: "set"}
	}
	t := o.Timings
	for _, value := range []time.Duration{
		time.Duration(t.QueuePerSlot), t.OwnerChangeOverlap, t.DeadlineGrace, t.ProbeEvery, t.ProbeTimeout, t.MinSilence,
		time.Duration(t.SilenceP95Factor), time.Duration(t.SilentAnswers), time.Duration(t.EjectAfter),
		t.FirstEjection, t.MaxEjection, time.Duration(t.AnswersPerSlot), t.DialTimeout, t.FirstRedialPause,
		t.MaxRedialPause, t.IdleTimeout, t.CancelAfter, t.RefreshPeriod, t.MinRefreshInterval, t.DrainHold,
	} {
		if value < 0 {
			return &OptionsError{Option: "Timings", Allowed: "free of negative values"}
		}
	}
	return nil
}
