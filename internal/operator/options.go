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
	// listHostsTimeout bounds the call for the member view of one host, so that a
	// silent host does not delay the polling of the others.
	listHostsTimeout = 3 * time.Second
	// maxSearchDeadline is the longest deadline that a release note may set for a
	// search.
	maxSearchDeadline = time.Minute
	// answerGrace is how long after the deadline of a search its answer is awaited.
	answerGrace = 5 * time.Second
	// maxAnswerBytes bounds the memory that one answer takes. A longer answer is
	// truncated and counts as lost.
	maxAnswerBytes = 256 << 20
	// maxParallelCalls bounds the number of concurrent calls to different hosts.
	maxParallelCalls = 16
)

// Options are the settings of one run of gaugectl.
type Options struct {
	Hosts          []string      // HTTP addresses of entry hosts, tried in order
	Output         string        // "text" or "json"; the default is "text"
	RequestTimeout time.Duration // of one call other than a search; the default is 10 s
	Stdin          io.Reader     // read by the explain command
	Stdout, Stderr io.Writer
}

// Validate splits comma-separated hosts and sets defaults for zero fields. It
// returns a *UsageError for a value that is not allowed.
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
