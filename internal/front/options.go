package front

import (
	"net"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/member"
	"github.com/arbutusgauge/arbutusgauge/internal/once"
)

// Defaults of Options.
const (
	// DefaultDrainWait is how long a stopping host goes on accepting requests.
	DefaultDrainWait = 3 * time.Second
	// DefaultStopTimeout bounds the wait for open requests after DrainWait.
	DefaultStopTimeout = 30 * time.Second
	// DefaultBodyLimit bounds the body of a caller's request, in bytes.
	DefaultBodyLimit = 1 << 20
	// DefaultHeaderLimit bounds the header of one request, in bytes.
	DefaultHeaderLimit = 16 << 10
	// DefaultOpenLimit bounds the number of open requests.
	DefaultOpenLimit = 20000
	// DefaultNoteLimit bounds a release note, in bytes.
	DefaultNoteLimit = 64 << 20
	// DefaultHeaderTimeout bounds the reading of one request's header.
	DefaultHeaderTimeout = 5 * time.Second
	// DefaultReadTimeout bounds the reading of one request.
	DefaultReadTimeout = 30 * time.Second
	// DefaultWriteTimeout bounds the writing of one response.
	DefaultWriteTimeout = 30 * time.Second
	// DefaultIdleTimeout is the time after which a connection without requests
	// is closed.
	DefaultIdleTimeout = 2 * time.Minute
	// DefaultForwardTimeLeft is the deadline of a forwarded request, counted
	// from its arrival, when neither the caller nor the configuration states
	// one.
	DefaultForwardTimeLeft = 10 * time.Second
	// DefaultForwardGrace is how long after the deadline a forwarding host
	// still waits for the reply of the host that issued the ticket.
	DefaultForwardGrace = 100 * time.Millisecond
)

// Options configures a Server. Zero durations and sizes get their defaults. All
// other fields but Listener and MetricsText are required.
type Options struct {
	Listener    net.Listener // required by Run only
	Incarnation uint64       // number of this process, part of its request ids

	Engine    Engine
	Admission Admission
	Configs   Configs
	Operator  Operator
	Members   member.Members
	Replicas  Replicas
	Burn      Burn
	Forwarder Forwarder
	Tickets   *once.Registry

	Log         log.Interface
	Metrics     tally.Scope
	MetricsText MetricsText // content of /metrics; nil: empty

	DrainWait       time.Duration // time a stopping server goes on accepting requests
	StopTimeout     time.Duration // wait for open requests after DrainWait, when Run's context ends
	BodyLimit       int64         // bytes of a caller's request body
	NoteLimit       int64         // bytes of a release note
	OpenLimit       int64         // open requests above which searches are refused
	HeaderLimit     int           // bytes of a request's header
	HeaderTimeout   time.Duration // to read the header of one request
	ReadTimeout     time.Duration // to read one request
	WriteTimeout    time.Duration // to write one response
	IdleTimeout     time.Duration // of a connection between requests
	ForwardTimeLeft time.Duration // deadline of a forwarded request if neither it nor the configuration states one
	ForwardGrace    time.Duration // wait for a forwarded request's reply after its deadline
}

// WithDefaults returns the options with zero durations and sizes replaced by
// their defaults.
func (o Options) WithDefaults() Options {
	durations := []struct {
		value *time.Duration
		def   time.Duration
	}{
		{&o.DrainWait, DefaultDrainWait},
		{&o.StopTimeout, DefaultStopTimeout},
		{&o.HeaderTimeout, DefaultHeaderTimeout},
		{&o.ReadTimeout, DefaultReadTimeout},
		{&o.WriteTimeout, DefaultWriteTimeout},
		{&o.IdleTimeout, DefaultIdleTimeout},
		{&o.ForwardTimeLeft, DefaultForwardTimeLeft},
		{&o.ForwardGrace, DefaultForwardGrace},
	}
	for _, d := range durations {
		if *d.value == 0 {
			*d.value = d.def
		}
	}
	if o.BodyLimit == 0 {
		o.BodyLimit = DefaultBodyLimit
	}
	if o.NoteLimit == 0 {
		o.NoteLimit = DefaultNoteLimit
	}
	if o.HeaderLimit == 0 {
		o.HeaderLimit = DefaultHeaderLimit
	}
	if o.OpenLimit == 0 {
		o.OpenLimit = DefaultOpenLimit
	}
	return o
}

// Validate returns an *OptionError for the first option that is not valid.
func (o Options) Validate() error {
	checks := []struct {
		ok     bool
		option string
	}{
		{o.Incarnation != 0, "Incarnation"},
		{o.Engine != nil, "Engine"},
		{o.Admission != nil, "Admission"},
		{o.Configs != nil, "Configs"},
		{o.Operator != nil, "Operator"},
		{o.Members != nil, "Members"},
		{o.Replicas != nil, "Replicas"},
		{o.Burn != nil, "Burn"},
		{o.Forwarder != nil, "Forwarder"},
		{o.Tickets != nil, "Tickets"},
		{o.Log != nil, "Log"},
		{o.Metrics != nil, "Metrics"},
	}
	for _, c := range checks {
		if !c.ok {
			return errors.WithStack(&OptionError{Option: c.option, Allowed: "any value but the zero value; the option is required"})
		}
	}
	positive := []struct {
		value  int64
		option string
	}{
		{int64(o.DrainWait), "DrainWait"},
		{int64(o.StopTimeout), "StopTimeout"},
		{o.BodyLimit, "BodyLimit"},
		{o.NoteLimit, "NoteLimit"},
		{o.OpenLimit, "OpenLimit"},
		{int64(o.HeaderLimit), "HeaderLimit"},
		{int64(o.HeaderTimeout), "HeaderTimeout"},
		{int64(o.ReadTimeout), "ReadTimeout"},
		{int64(o.WriteTimeout), "WriteTimeout"},
		{int64(o.IdleTimeout), "IdleTimeout"},
		{int64(o.ForwardTimeLeft), "ForwardTimeLeft"},
		{int64(o.ForwardGrace), "ForwardGrace"},
	}
	for _, p := range positive {
		if p.value <= 0 {
			return errors.WithStack(&OptionError{Option: p.option, Allowed: "more than 0"})
		}
	}
	return nil
}
