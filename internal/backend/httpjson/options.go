package httpjson

import "time"

const (
	defaultDialTimeout = time.Second
	// defaultMaxResponseBytes permits a batch of 64 replies of 256 KiB each.
	defaultMaxResponseBytes = 16 << 20
)

// Options configure a Dialer.
type Options struct {
	// DialTimeout is the longest time to open a connection; 0: 1 s.
	DialTimeout time.Duration
	// MaxResponse is the greatest size of one response with its headers, in bytes;
	// 0: 16 MiB.
	MaxResponse int64
}

func (o Options) withDefaults() Options {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.MaxResponse == 0 {
		o.MaxResponse = defaultMaxResponseBytes
	}
	return o
}

// Validate returns *OptionsError for a negative option.
func (o Options) Validate() error {
	if o.DialTimeout < 0 {
		return &OptionsError{Option: "DialTimeout", Allowed: "positive"}
	}
	if o.MaxResponse < 0 {
		return &OptionsError{Option: "MaxResponse", Allowed: "positive"}
	}
	return nil
}
