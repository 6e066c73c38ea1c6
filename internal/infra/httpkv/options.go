// Package httpkv implements infra.Store and infra.HostList over the HTTP
// protocol of the platform.
package httpkv

import (
	"net/http"
	"net/url"
	"time"
)

const (
	// DefaultCallTimeout limits a read or a write.
	DefaultCallTimeout = 2 * time.Second
	// DefaultWatchWait is how long the platform may hold one long poll of a
	// watch. A silent connection is detected after this time plus WatchGrace;
	// the sum has to stay well below the 4 s in which a configuration comes
	// into force.
	DefaultWatchWait = time.Second
	// DefaultWatchGrace is the time beyond the wait of a long poll after which
	// the poll fails without an answer.
	DefaultWatchGrace = 500 * time.Millisecond
	// maxIdleConns is the most idle connections kept to the platform.
	maxIdleConns = 4
	// idleConnTimeout is the time after which an idle connection is closed.
	idleConnTimeout = 30 * time.Second
)

// Options configures a Client. Zero durations stand for the defaults.
type Options struct {
	// URL is the base address of the platform, such as "http://127.0.0.1:7000".
	URL string
	// CallTimeout limits a read or a write.
	CallTimeout time.Duration
	// WatchWait is how long the platform may hold one long poll of a watch.
	WatchWait time.Duration
	// WatchGrace is the time beyond its wait after which a long poll of a watch
	// or of the host list fails without an answer.
	WatchGrace time.Duration
	// Transport carries the calls. Nil stands for an http.Transport of the
	// client's own.
	Transport http.RoundTripper
}

// Validate returns *OptionError for the first option that is out of range.
func (o Options) Validate() error {
	base, err := url.Parse(o.URL)
	if err != nil || base.Host == "" {
		return &OptionError{Option: "URL", Allowed: "an address such as http://127.0.0.1:7000"}
	}
	if o.CallTimeout < 0 || o.WatchWait < 0 || o.WatchGrace < 0 {
		return &OptionError{Option: "CallTimeout, WatchWait, WatchGrace", Allowed: "a duration of at least 0"}
	}
	return nil
}

// withDefaults returns the options with zero values replaced by the defaults.
func (o Options) withDefaults() Options {
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.WatchWait == 0 {
		o.WatchWait = DefaultWatchWait
	}
	if o.WatchGrace == 0 {
		o.WatchGrace = DefaultWatchGrace
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout}
	}
	return o
}
