package once

import (
	"time"

	"github.com/pkg/errors"
)

// Defaults and bounds of Options.
const (
	// DefaultTicketsKept is the number of newest tickets whose use is recorded,
	// in one bit each. It allows 27,000 new tickets a second with a ticket life
	// of 10 min, because valid tickets must stay recorded.
	DefaultTicketsKept = 1 << 24
	// DefaultAnswersKept bounds the sum of requests in progress and kept
	// answers.
	DefaultAnswersKept = 1 << 16
	// DefaultAnswerBytes bounds the size of all kept answers in bytes.
	DefaultAnswerBytes = 64 << 20
	// DefaultRetention is how long an answer is kept.
	DefaultRetention = 60 * time.Second
	// DefaultTicketLife is how long an unused ticket is valid.
	DefaultTicketLife = 10 * time.Minute

	maxTicketsKept = 1 << 32
	maxNameBytes   = 64 // length limit of a data centre or an address in a ticket
	bitsPerWord    = 64
)

// Options configures a Registry. Limits that are zero take their defaults.
type Options struct {
	DataCentre  string
	Addr        string // advertised peer address, "ip:port"
	Incarnation uint64 // incarnation of this process, not 0; differs after a restart

	TicketsKept int           // newest tickets whose use is recorded, rounded up to a multiple of 64
	AnswersKept int           // limit on the sum of requests in progress and kept answers
	AnswerBytes int           // limit on the bytes of all kept answers; the oldest are dropped first
	Retention   time.Duration // time for which an answer is kept after its request ended
	TicketLife  time.Duration // time for which an unused ticket is valid
}

// WithDefaults returns the options with limits of zero replaced by defaults.
func (o Options) WithDefaults() Options {
	if o.TicketsKept == 0 {
		o.TicketsKept = DefaultTicketsKept
	}
	if o.AnswersKept == 0 {
		o.AnswersKept = DefaultAnswersKept
	}
	if o.AnswerBytes == 0 {
		o.AnswerBytes = DefaultAnswerBytes
	}
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.TicketLife == 0 {
		o.TicketLife = DefaultTicketLife
	}
	return o
}

// Validate returns an *OptionError for the first option out of its range.
func (o Options) Validate() error {
	checks := []struct {
		ok              bool
		option, allowed string
	}{
		{o.DataCentre != "" && len(o.DataCentre) <= maxNameBytes, "DataCentre", "1 to 64 bytes"},
		{o.Addr != "" && len(o.Addr) <= maxNameBytes, "Addr", "1 to 64 bytes"},
		{o.Incarnation != 0, "Incarnation", "any number but 0"},
		{o.TicketsKept > 0 && o.TicketsKept <= maxTicketsKept, "TicketsKept", "1 to 4294967296"},
		{o.AnswersKept > 0, "AnswersKept", "1 and more"},
		{o.AnswerBytes > 0, "AnswerBytes", "1 and more"},
		{o.Retention > 0, "Retention", "more than 0s"},
		{o.TicketLife > 0, "TicketLife", "more than 0s"},
	}
	for _, c := range checks {
		if !c.ok {
			return errors.WithStack(&OptionError{Option: c.option, Allowed: c.allowed})
		}
	}
	return nil
}
