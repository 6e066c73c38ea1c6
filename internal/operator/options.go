package operator

import (
	"io"
	"net/netip"
	"strings"
	"time"
)

const (
	outputText = "text"
	outputJSON = "json"

	dialTimeout           = 2 * time.Second
	defaultRequestTimeout = 10 * time.Second
	defaultApplyTimeout   = 30 * time.Second
	pollInterval          = 200 * time.Millisecond
	// membersTimeout bounds a call for a member view, so that one silent host
	// does not hold up the polling of the others.
	membersTimeout = 3 * time.Second
	// longestSearch is the longest deadline that a release note may set.
	longestSearch = time.Minute
	// answerGrace is the time for an answer beyond the deadline of its search.
	answerGrace = 5 * time.Second
	// maxAnswerBytes bounds the memory that one answer takes.
	maxAnswerBytes = 256 << 20
	// parallelCalls bounds the calls to different hosts at a time.
	parallelCalls = 16
)

// Options of a run of the command.
type Options struct {
	Hosts          []string      // HTTP addresses of entry hosts, tried in order
	Output         string        // "text" or "json"; the default is "text"
	RequestTimeout time.Duration // of one call other than a search; the default is 10 s
	Stdout, Stderr io.Writer
}

// Validate fills the defaults and splits comma-separated hosts. *UsageError
// reports a value that is not allowed.
func (o *Options) Validate() error {
	o.Hosts = strings.FieldsFunc(strings.Join(o.Hosts, ","), func(r rune) bool { return r == ',' || r == '\n' })
	for _, host := range o.Hosts {
		if addr, err := netip.ParseAddrPort(host); err != nil || addr.Port() == 0 {
			return &UsageError{Message: "host \"" + host + "\" is not valid; allowed is the IP:port of an entry host's HTTP address"}
		}
	}
	if o.Output == "" {
		o.Output = outputText
	}
	if o.RequestTimeout < 0 {
		return &UsageError{Message: "request-timeout " + o.RequestTimeout.String() + " is not valid; allowed is 0s (the default) or more"}
	}
	if o.RequestTimeout == 0 {
		o.RequestTimeout = defaultRequestTimeout
	}
	return nil
}
